//! When a follower looks for a new primary, and who would promise it a term.

use core::time::Duration;
use std::collections::BTreeMap;

use mosshead_time::Instant;
use rand_core::RngCore;

use crate::context::Context;
use crate::known_primary::KnownPrimary;
use crate::random_delay::random_delay;
use crate::term::{Member, MemberId, Term};
use crate::votes::Votes;

/// Followers that miss their primary at the same time are spread over this time.
const ATTEMPT_SPREAD: Duration = Duration::from_millis(150);
/// Witnesses wait this much longer than those that hold the state.
const WITNESS_DELAY: Duration = Duration::from_millis(150);
/// The first attempt after a start comes after this delay and a random one.
const FIRST_ATTEMPT: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(200));
/// The next pre-vote comes after this delay and a random one.
const PRE_VOTE_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(80));
/// The next attempt after a failed take-over comes after this delay and a random one.
const TAKE_OVER_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(250));
/// A granted pre-vote counts for this long.
const PRE_VOTE_LIFETIME: Duration = Duration::from_millis(300);
/// More granted pre-votes than this are ignored.
const MAX_PRE_VOTES: usize = 64;

/// The failure detector of a follower, and its next attempt to become primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Election {
    pub(crate) known_primary: Option<KnownPrimary>,
    next_attempt_at: Instant,
    pre_votes: BTreeMap<MemberId, GrantedPreVote>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedPreVote {
    member: Member,
    is_bootstrap_voter: bool,
    received_at: Instant,
}

impl Election {
    /// Until when the primary is not suspected.
    fn trusted_until(&self, context: &Context) -> Instant {
        let until = |primary: &KnownPrimary| primary.trusted_until(context.timings());
        self.known_primary.as_ref().map_or(Instant::ORIGIN, until)
    }

    /// Whether the primary is known to have been alive lately, or is new.
    pub(crate) fn trusts_primary(&self, context: &Context) -> bool {
        context.now < self.trusted_until(context)
    }

    pub(crate) fn is_attempt_due(&self, now: Instant) -> bool {
        now >= self.next_attempt_at
    }

    /// Waits for a primary; those that hold the state attempt first.
    pub(crate) fn await_primary(&mut self, context: &Context, rng: &mut impl RngCore, holds_state: bool) {
        self.schedule_attempt(context.now + context.timings().suspicion_timeout, rng, holds_state);
    }

    /// Attempts nothing while the primary is trusted.
    pub(crate) fn await_suspicion(&mut self, context: &Context, rng: &mut impl RngCore, holds_state: bool) {
        self.schedule_attempt(self.trusted_until(context), rng, holds_state);
    }

    fn schedule_attempt(&mut self, earliest: Instant, rng: &mut impl RngCore, holds_state: bool) {
        let witness_delay = if holds_state { Duration::ZERO } else { WITNESS_DELAY };
        self.next_attempt_at = earliest + random_delay(rng, ATTEMPT_SPREAD) + witness_delay;
        self.pre_votes.clear();
    }

    pub(crate) fn schedule_first_attempt(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule_after(now, FIRST_ATTEMPT, rng);
    }

    pub(crate) fn schedule_pre_vote_retry(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule_after(now, PRE_VOTE_RETRY, rng);
    }

    pub(crate) fn schedule_take_over_retry(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule_after(now, TAKE_OVER_RETRY, rng);
    }

    fn schedule_after(
        &mut self,
        now: Instant,
        (delay, spread): (Duration, Duration),
        rng: &mut impl RngCore,
    ) {
        self.next_attempt_at = now + delay + random_delay(rng, spread);
    }

    /// Counts a granted pre-vote; returns all that count still.
    pub(crate) fn add_pre_vote(&mut self, now: Instant, member: Member, is_bootstrap_voter: bool) -> Votes {
        self.pre_votes.retain(|_, vote| now - vote.received_at <= PRE_VOTE_LIFETIME);
        if self.pre_votes.len() < MAX_PRE_VOTES {
            let vote = GrantedPreVote { member, is_bootstrap_voter, received_at: now };
            self.pre_votes.insert(member.id, vote);
        }
        let mut votes = Votes::default();
        for vote in self.pre_votes.values() {
            votes.add(vote.member, vote.is_bootstrap_voter);
        }
        votes
    }

    /// Whether heartbeats of the term are of the known primary or a newer one.
    pub(crate) fn accepts_heartbeat(&self, term: Term) -> bool {
        self.known_primary.as_ref().is_none_or(|primary| primary.term <= term)
    }

    /// A heartbeat has arrived, whenever it was sent.
    pub(crate) fn record_heartbeat(&mut self, now: Instant, member: Member, term: Term) {
        match &mut self.known_primary {
            Some(primary) if primary.term == term => primary.last_heartbeat_at = now,
            _ => self.known_primary = Some(KnownPrimary::new(member, term, now)),
        }
    }

    /// The primary is known to have been alive at this instant, or later.
    pub(crate) fn confirm_primary_alive(&mut self, at: Instant) {
        if let Some(primary) = &mut self.known_primary {
            primary.confirmed_at = primary.confirmed_at.max(Some(at));
        }
    }

    /// The local member is no primary any more.
    pub(crate) fn forget_primary(&mut self, id: MemberId) {
        self.known_primary = self.known_primary.take().filter(|primary| primary.member.id != id);
    }
}
