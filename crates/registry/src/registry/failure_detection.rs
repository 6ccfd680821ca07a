//! Failure detection: suspects servers whose heartbeats have stopped, and removes suspected servers.
//!
//! The node that last received a heartbeat from a server suspects it once the heartbeats stop. If that node
//! itself is lost (see [`SOURCE_TIMEOUT`]), any other node suspects the server instead, and publishes that as
//! an entry of its own. Heartbeats that change nothing get no version, so control nodes send each other
//! digests of the servers that still send them heartbeats.

use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::server::DEREGISTERED_SEQUENCE;
use crate::{OperState, ReceivedHeartbeat, Registry, SOURCE_TIMEOUT, SourceId};

/// A server that has been suspected for longer than this is removed.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(20);

/// A server is suspected after more than 3.2 heartbeat intervals without a heartbeat. The factor is in
/// fifths, so that the deadline is computed with integers.
const SUSPECTED_AFTER_FIFTHS: u32 = 16;

/// How often a server is checked again while another source has to decide about it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Registry {
    /// Records a contact with another control node.
    pub fn record_contact(&mut self, now: Instant, source: SourceId) {
        if source != self.local_id {
            self.sources.record_contact(now, source);
        }
    }

    /// Returns the last heartbeats of the servers from which this process itself has received one at `since`
    /// or later, without servers whose last heartbeat another control node has received. The host sends them
    /// to the other control nodes every few hundred milliseconds; `since` should lie well before the last
    /// digest that arrived there.
    pub fn heartbeats_since(&self, since: Instant) -> Vec<ReceivedHeartbeat> {
        self.records
            .values()
            .filter(|record| record.last_receiver == self.local_id)
            .filter(|record| record.last_local_heartbeat_at.is_some_and(|received_at| received_at >= since))
            .map(|record| ReceivedHeartbeat {
                server_id: record.entry.server.id.clone(),
                sequence: record.last_sequence,
            })
            .collect()
    }

    /// Records heartbeats that another control node has received.
    pub fn record_remote_heartbeats(
        &mut self,
        now: Instant,
        source: SourceId,
        heartbeats: &[ReceivedHeartbeat],
    ) {
        self.record_contact(now, source);
        for ReceivedHeartbeat { server_id, sequence } in heartbeats {
            if let Some(record) = self.records.get_mut(server_id.as_str())
                && *sequence > record.last_sequence
                && *sequence < DEREGISTERED_SEQUENCE
            {
                record.raise_sequence(now, *sequence, source);
            }
        }
    }

    /// Suspects servers without heartbeats, removes those that have been suspected for too long, and drops
    /// expired tombstones. Returns true if an entry has changed.
    ///
    /// Must be called at least once in each heartbeat interval: after a longer pause of this process, all
    /// servers get their full timeout again.
    pub fn tick(&mut self, now: Instant) -> bool {
        self.uptime.tick(now, self.heartbeat_interval);
        self.expire_tombstones(now);
        self.sources.drop_empty_sources();
        // The vector is reset here rather than by the merge, because the vector sent right after the merge
        // tells the sender which entries were received.
        if self.divergence.take_full_sync_request() {
            self.sources.reset_known_versions(self.local_id);
        }
        let mut changed = false;
        for id in self.timers.take_until(now) {
            changed |= self.check_server(now, &id);
        }
        changed
    }

    /// Suspects or removes a server whose timer has expired, if that is due and no other node has to decide
    /// it. Returns true if its entry has changed.
    fn check_server(&mut self, now: Instant, id: &Arc<str>) -> bool {
        let Some(record) = self.records.get_mut(id) else { return false };
        record.timer = None;
        let Some(deadline) = self.deadline(id) else { return false };
        if deadline > now {
            self.schedule_check_at(id, deadline);
            return false;
        }
        let Some(record) = self.records.get(id) else { return false };
        let is_suspected = record.entry.server.is_suspected;
        // The node that received the last heartbeat suspects the server. The node that published the
        // suspicion removes it.
        let responsible = if is_suspected { record.entry.source } else { record.last_receiver };
        if responsible != self.local_id && !self.is_source_lost(now, responsible) {
            self.schedule_check_at(id, now + RECHECK_INTERVAL);
            return false;
        }
        self.publish_change(now, id, |server| {
            if is_suspected {
                server.state = OperState::Removed;
            } else {
                server.is_suspected = true;
            }
        });
        true
    }

    /// Returns when the server is to be suspected, or removed if it is already suspected, as far as known
    /// now.
    fn deadline(&self, id: &str) -> Option<Instant> {
        let record = self.records.get(id)?;
        let server = &record.entry.server;
        if self.is_read_replica || server.is_removed() {
            return None;
        }
        let last_evidence = record.last_heartbeat_at.max(self.uptime.running_since());
        let heartbeat_deadline =
            last_evidence + self.heartbeat_interval.saturating_mul(SUSPECTED_AFTER_FIFTHS) / 5;
        let tolerated_until = if server.is_suspected {
            heartbeat_deadline.max(record.state_since + SUSPICION_TIMEOUT)
        } else {
            heartbeat_deadline
        };
        // The timeout must be exceeded, not only reached.
        Some(tolerated_until + Duration::from_millis(1))
    }

    /// Sets the timer of a record whose entry has changed. Heartbeats that change nothing do not reset the
    /// timer: the deadline is computed again when it expires.
    pub(super) fn schedule_check(&mut self, id: &Arc<str>) {
        match self.deadline(id) {
            Some(deadline) => self.schedule_check_at(id, deadline),
            None => self.cancel_timer(id),
        }
    }

    fn schedule_check_at(&mut self, id: &Arc<str>, expires_at: Instant) {
        self.cancel_timer(id);
        if let Some(record) = self.records.get_mut(id) {
            record.timer = Some(expires_at);
            self.timers.insert(expires_at, id);
        }
    }

    pub(super) fn cancel_timer(&mut self, id: &Arc<str>) {
        if let Some(record) = self.records.get_mut(id)
            && let Some(expires_at) = record.timer.take()
        {
            self.timers.remove(expires_at, id);
        }
    }

    /// Returns true if a source has been without contact for so long that other nodes decide in its place.
    fn is_source_lost(&self, now: Instant, source: SourceId) -> bool {
        let last_seen_at = self.sources.last_seen_at(source);
        source != self.local_id
            && last_seen_at
                .is_none_or(|last| now.duration_since(last.max(self.uptime.running_since())) > SOURCE_TIMEOUT)
    }
}
