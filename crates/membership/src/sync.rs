//! The anti-entropy sync: compares digests on each received datagram, and requests the updates that differ.

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};

use crate::settings::half;
use crate::state::ProtocolState;
use crate::wire::{BUCKETS, MAX_DATAGRAM_LEN, MemberUpdate, Message, MessageBody};

/// A lower bound of the length of an encoded update, in bytes.
const MIN_UPDATE_LEN: usize = 16;
/// A response that changes at least this many members is followed by another request if the views still differ.
const MIN_CHANGES_FOR_ANOTHER_REQUEST: u64 = 8;
/// This many consecutive datagrams with the same digest show that the other members agree, and that the local view is
/// incomplete.
const MIN_MATCHING_DIGESTS: u32 = 4;
/// Up to this number of missing members, gossip gets time to spread the changes. If more are missing, the interval
/// between requests is shorter.
const MAX_MISSING_FOR_GOSSIP: usize = 3;
/// A sync is urgent if the number of missing members exceeds both the number of known ones divided by this, and
/// [`MAX_MISSING_FOR_GOSSIP`].
const URGENT_DIVISOR: usize = 8;

/// The digest and number of another member's live members, from its datagram.
#[derive(Clone, Copy)]
pub(crate) struct RemoteDigest {
    pub(crate) digest: u64,
    pub(crate) live_member_count: u32,
}

/// Decides when to request a sync.
#[derive(Default)]
pub(crate) struct Synchronizer {
    last_request_at: Instant,
    /// Added to the intervals between requests. It is drawn anew for each request, so that members don't all request
    /// at the same time.
    jitter: Duration,
    /// The digest of the last datagram.
    last_digest: u64,
    /// The number of consecutive datagrams with `last_digest`, since the last request that was due.
    matching_digests: u32,
    /// [`ChangeCounter::count`](crate::change_counter::ChangeCounter::count) at the last request.
    changes_at_request: u64,
}

impl Synchronizer {
    /// Treats the start of the process as a request.
    pub(crate) fn start(&mut self, now: Instant) {
        self.last_request_at = now;
    }

    /// Requests the updates of the buckets that differ from the receiver's.
    pub(crate) fn request(&mut self, state: &mut ProtocolState, destination: SocketAddrV4) {
        self.last_request_at = state.now();
        self.jitter = state.random_duration_below(half(state.settings().sync_quiet_period));
        self.changes_at_request = state.changes().count();
        let bucket_hashes = state.table().encoded_bucket_hashes();
        let message = state.message(MessageBody::SyncRequest { bucket_hashes });
        state.send_without_gossip(destination, &message);
    }

    /// Handles the end of a response, after its updates were applied. If the response changed many members and more
    /// updates are missing, requests them and returns false. Otherwise returns true if the local member knows another
    /// live member, and has therefore joined.
    pub(crate) fn on_response_end(
        &mut self,
        state: &mut ProtocolState,
        sender: SocketAddrV4,
        remote_digest: u64,
        has_more: bool,
    ) -> bool {
        let differs = remote_digest != state.table().digest();
        let changes = state.changes().count().saturating_sub(self.changes_at_request);
        if (has_more || differs) && changes >= MIN_CHANGES_FOR_ANOTHER_REQUEST {
            self.request(state, sender);
            return false;
        }
        state.table().live_member_count() > 1
    }

    /// Counts the consecutive datagrams with the same digest.
    pub(crate) fn observe(&mut self, digest: u64) {
        let is_same = digest == self.last_digest;
        self.last_digest = digest;
        self.matching_digests = if is_same { self.matching_digests.saturating_add(1) } else { 1 };
    }

    /// Requests a sync from the sender of a datagram if its digest differs and the request interval has passed.
    pub(crate) fn request_if_due(
        &mut self,
        state: &mut ProtocolState,
        sender: SocketAddrV4,
        remote: RemoteDigest,
    ) {
        if remote.digest == state.table().digest() {
            return;
        }
        if state.now() - self.last_request_at >= self.request_interval(state, remote.live_member_count) {
            self.matching_digests = 0;
            self.request(state, sender);
        }
    }

    /// The minimum time between two requests. It is shorter if many members are missing in the local view, or if
    /// several consecutive datagrams agree with each other but not with it. Otherwise gossip gets time to spread the
    /// changes, and views that still differ are synced after a quiet period without changes.
    fn request_interval(&self, state: &ProtocolState, remote_live_member_count: u32) -> Duration {
        let local = state.table().live_member_count();
        let missing = (remote_live_member_count as usize).saturating_sub(local);
        let quiet_period = state.settings().sync_quiet_period + self.jitter;
        if missing > (local / URGENT_DIVISOR).max(MAX_MISSING_FOR_GOSSIP)
            || self.matching_digests >= MIN_MATCHING_DIGESTS
        {
            state.settings().join_retry_interval
        } else if missing > MAX_MISSING_FOR_GOSSIP {
            half(quiet_period)
        } else if state.now() >= state.changes().last_at() + quiet_period {
            quiet_period
        } else {
            state.settings().max_sync_delay + self.jitter
        }
    }
}

/// Sends the updates of the buckets that differ from the requester's, in a limited number of datagrams.
/// `first_update` comes first, then the buckets from a random one on, so that repeated requests return different
/// updates if not all fit.
pub(crate) fn respond(
    state: &mut ProtocolState,
    requester: SocketAddrV4,
    bucket_hashes: &[u8],
    first_update: Option<MemberUpdate>,
) {
    let max_datagrams = state.settings().max_sync_datagrams;
    // More updates than fit, to detect whether some are left.
    let max_updates = max_datagrams * MAX_DATAGRAM_LEN / MIN_UPDATE_LEN;
    let first_bucket = state.random_index(BUCKETS);
    let differing = state.table().differing_updates(bucket_hashes, first_bucket, max_updates);
    let mut updates = first_update.into_iter().chain(differing).peekable();
    for number in 1..=max_datagrams {
        let mut message = state.message(MessageBody::SyncResponse { is_last: false, has_more: false });
        add_fitting_updates(&mut message, &mut updates);
        let has_more = updates.peek().is_some();
        let is_last = !has_more || number == max_datagrams;
        message.body = MessageBody::SyncResponse { is_last, has_more };
        state.send_without_gossip(requester, &message);
        if is_last {
            break;
        }
    }
}

/// Moves updates into a message while they fit.
fn add_fitting_updates(
    message: &mut Message,
    updates: &mut std::iter::Peekable<impl Iterator<Item = MemberUpdate>>,
) {
    let mut remaining = message.remaining_bytes();
    while let Some(update) = updates.next_if(|update| minicbor::len(update) <= remaining) {
        remaining -= minicbor::len(&update);
        message.updates.push(update);
    }
}
