//! The failure detector of a follower, which decides whether the primary is suspected.

use mosshead_time::{Duration, Instant};

use crate::context::Context;
use crate::known_primary::KnownPrimary;
use crate::term::{Member, MemberId, Term};

/// Detects the failure of the primary by its heartbeats, and by the stamps that they return.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    /// The primary of the highest term of which a heartbeat has arrived; this node itself while it is primary.
    primary: Option<KnownPrimary>,
}

impl FailureDetector {
    /// The primary, suspected or not.
    pub(crate) fn primary(&self) -> Option<&KnownPrimary> {
        self.primary.as_ref()
    }

    /// The primary, if a heartbeat from it has arrived within this time.
    pub(crate) fn primary_within(&self, max_silence: Duration, now: Instant) -> Option<Member> {
        let primary = self.primary.as_ref().filter(|primary| primary.silence(now) <= max_silence)?;
        Some(primary.member())
    }

    /// The instant until which the primary is not suspected.
    pub(crate) fn trusted_until(&self, context: &Context) -> Instant {
        let until = |primary: &KnownPrimary| primary.trusted_until(context.timings());
        self.primary.as_ref().map_or(Instant::ORIGIN, until)
    }

    /// Returns true if the primary is known to have been alive recently, or is new.
    pub(crate) fn trusts_primary(&self, context: &Context) -> bool {
        context.now() < self.trusted_until(context)
    }

    /// Returns true if heartbeats of this term are from the known primary or a newer one.
    pub(crate) fn accepts_heartbeat(&self, term: Term) -> bool {
        self.primary.as_ref().is_none_or(|primary| primary.term() <= term)
    }

    /// Records the arrival of a heartbeat, whenever it was sent.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, member: Member, term: Term) {
        match &mut self.primary {
            Some(primary) if primary.term() == term => primary.record_heartbeat(now),
            _ => self.primary = Some(KnownPrimary::new(member, term, now)),
        }
    }

    /// Records that the primary was alive at this instant or later.
    pub(crate) fn confirm_primary_alive(&mut self, at: Instant) {
        if let Some(primary) = &mut self.primary {
            primary.confirm_alive(at);
        }
    }

    /// Records that a member has become primary.
    pub(crate) fn start_epoch(&mut self, now: Instant, member: Member, term: Term) {
        self.primary = Some(KnownPrimary::new(member, term, now));
    }

    /// Forgets the primary if it is this member.
    pub(crate) fn forget_primary(&mut self, id: MemberId) {
        self.primary = self.primary.take().filter(|primary| primary.member().id != id);
    }
}
