//! Whether a follower suspects its primary.

use mosshead_time::{Duration, Instant};

use crate::context::Context;
use crate::known_primary::KnownPrimary;
use crate::term::{Member, MemberId, Term};

/// Detects the failure of the primary by its heartbeats, and by the stamps that they return.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    /// The primary of the highest term that a heartbeat has arrived of; this node itself while it is primary.
    primary: Option<KnownPrimary>,
}

impl FailureDetector {
    /// The primary, suspected or not.
    pub(crate) fn primary(&self) -> Option<&KnownPrimary> {
        self.primary.as_ref()
    }

    /// The primary, if a heartbeat of it has arrived within this time.
    pub(crate) fn primary_within(&self, max_silence: Duration, now: Instant) -> Option<Member> {
        let primary = self.primary.as_ref().filter(|primary| primary.silence(now) <= max_silence)?;
        Some(primary.member())
    }

    /// Until when the primary is not suspected.
    pub(crate) fn trusted_until(&self, context: &Context) -> Instant {
        let until = |primary: &KnownPrimary| primary.trusted_until(context.timings());
        self.primary.as_ref().map_or(Instant::ORIGIN, until)
    }

    /// Whether the primary is known to have been alive lately, or is new.
    pub(crate) fn trusts_primary(&self, context: &Context) -> bool {
        context.now() < self.trusted_until(context)
    }

    /// Whether heartbeats of the term are of the known primary or a newer one.
    pub(crate) fn accepts_heartbeat(&self, term: Term) -> bool {
        self.primary.as_ref().is_none_or(|primary| primary.term() <= term)
    }

    /// A heartbeat has arrived, whenever it was sent.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, member: Member, term: Term) {
        match &mut self.primary {
            Some(primary) if primary.term() == term => primary.record_heartbeat(now),
            _ => self.primary = Some(KnownPrimary::new(member, term, now)),
        }
    }

    /// The primary is known to have been alive at this instant, or later.
    pub(crate) fn confirm_primary_alive(&mut self, at: Instant) {
        if let Some(primary) = &mut self.primary {
            primary.confirm_alive(at);
        }
    }

    /// A member has become primary.
    pub(crate) fn start_epoch(&mut self, now: Instant, member: Member, term: Term) {
        self.primary = Some(KnownPrimary::new(member, term, now));
    }

    /// The member is no primary any more.
    pub(crate) fn forget_primary(&mut self, id: MemberId) {
        self.primary = self.primary.take().filter(|primary| primary.member().id != id);
    }
}
