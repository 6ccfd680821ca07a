//! The state machine of one member: its phases, and the events that lead from one to another. Submodules
//! handle reports of the store (`store_updates`), acquisition and renewal.

mod acquisition;
mod renewal;
mod store_updates;

use crate::fencing::{FencingToken, LeasePermit};
use crate::instant::Instant;
use crate::lease_state::{InactiveReason, LeaseState};
use crate::messages::{CallId, Command, Event, LeaseId, StoreId};
use crate::timing::LeaseTiming;

/// The state machine by which one member takes part in a singleton role. Its host drives it with events.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SingletonRole {
    timing: LeaseTiming,
    phase: Phase,
    /// The highest token, or position of the store, that the member has seen. A store with a lower position
    /// has lost changes.
    highest_seen: FencingToken,
    /// The store of the last update that was applied.
    store_id: StoreId,
    last_call_id: CallId,
}

/// What the member knows about the role, and what it is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The member does not take part until the reason no longer applies.
    Inactive(InactiveReason),
    /// A call has failed or the watch was lost, so the holder is not known. The store is read again at
    /// `read_at`.
    BackingOff { read_at: Instant },
    /// A read is in flight. It is repeated if it has not returned by `timeout_at`.
    Reading { timeout_at: Instant },
    /// The role has a holder that is not known to be this member. It may be this member nevertheless, by an
    /// acquisition whose response was lost.
    HeldByAnother,
    /// The role has no holder. A former holder may act until `acquire_at`.
    Unheld { acquire_at: Instant },
    /// The store was asked for the role by a call sent at `sent_at`.
    Acquiring { call_id: CallId, sent_at: Instant },
    /// The member has acquired the role. Its permit may have ended since.
    Holding(Tenure),
}

/// The period in which the member holds the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Tenure {
    token: FencingToken,
    lease_id: LeaseId,
    /// The end of the permit. It is counted from when the last successful call was sent, which is before the
    /// store started the lease.
    permit_until: Instant,
    renewal: Renewal,
    /// True if the watch has had no gap since the last read.
    is_watching: bool,
}

/// The next renewal of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Renewal {
    Due(Instant),
    InFlight { call_id: CallId, sent_at: Instant },
}

impl SingletonRole {
    /// Creates a member that has not joined.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            phase: Phase::Inactive(InactiveReason::NotJoined),
            highest_seen: FencingToken::default(),
            store_id: StoreId::default(),
            last_call_id: CallId::default(),
        }
    }

    /// Returns the permit, if the member may act now.
    pub fn permit(&self, now: Instant) -> Option<LeasePermit> {
        match self.phase {
            Phase::Holding(Tenure { token, permit_until, .. }) if now < permit_until => {
                Some(LeasePermit { token, valid_until: permit_until })
            }
            _ => None,
        }
    }

    /// Returns the state of the member's lease now.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        match self.phase {
            Phase::Inactive(reason) => LeaseState::Inactive(reason),
            Phase::BackingOff { .. } | Phase::Reading { .. } => LeaseState::Unknown,
            Phase::HeldByAnother | Phase::Unheld { .. } => LeaseState::Standby,
            Phase::Acquiring { .. } => LeaseState::Acquiring,
            Phase::Holding(_) if self.permit(now).is_some() => LeaseState::Holder,
            Phase::Holding(_) => LeaseState::PermitExpired,
        }
    }

    /// Handles one event, and appends to `commands` what the host has to do, in this order.
    /// `jitter_millionths`, a random number from 0 to 999,999, spreads the retries of a fleet.
    pub fn handle_event(
        &mut self,
        now: Instant,
        event: Event,
        jitter_millionths: u64,
        commands: &mut Vec<Command>,
    ) {
        match event {
            Event::Join => {
                if let Phase::Inactive(InactiveReason::NotJoined) = self.phase {
                    self.start_read(now, commands);
                }
            }
            Event::Leave => self.deactivate(InactiveReason::NotJoined, commands),
            Event::StoreUpdated(update) => self.on_store_update(now, update, commands),
            Event::WatchLost => self.on_watch_lost(now, jitter_millionths, commands),
            Event::Acquired { call_id, store_id, token, lease_id } => {
                self.on_acquired(now, call_id, store_id, token, lease_id, commands);
            }
            Event::NotAcquired { call_id } => {
                // Updates that arrived during the call were not applied, so the store is read again.
                if self.is_acquisition_in_flight(call_id) {
                    self.start_read(now, commands);
                }
            }
            Event::Renewed { call_id } => self.on_renewed(now, call_id, commands),
            Event::LeaseNotFound { call_id } => {
                if self.is_renewal_in_flight(call_id) {
                    self.start_read(now, commands);
                }
            }
            Event::CallFailed { call_id } => self.on_call_failed(now, call_id, jitter_millionths, commands),
            Event::TokenRejected { highest_seen } => self.on_token_rejected(highest_seen, commands),
            Event::TimerExpired => self.run_due_work(now, commands),
        }
    }

    fn on_token_rejected(&mut self, highest_seen: FencingToken, commands: &mut Vec<Command>) {
        self.highest_seen = self.highest_seen.max(highest_seen);
        if let Phase::Holding(Tenure { token, .. }) = self.phase
            && token < highest_seen
        {
            self.deactivate(InactiveReason::StoreRolledBack, commands);
            // The watch will report the higher epoch that operators have to assign to the store.
            commands.push(Command::ReadAndWatch);
        }
    }

    fn on_call_failed(
        &mut self,
        now: Instant,
        call_id: CallId,
        jitter_millionths: u64,
        commands: &mut Vec<Command>,
    ) {
        let retry_at = now + self.timing.retry_delay_with_jitter(jitter_millionths);
        if self.is_acquisition_in_flight(call_id) {
            // The call may have succeeded. The role then depends on a lease that no member renews, and that
            // will expire.
            self.phase = Phase::BackingOff { read_at: retry_at };
            commands.push(Command::SetTimer(retry_at));
        } else if let Phase::Holding(tenure) = &mut self.phase
            && tenure.renewal.is_in_flight(call_id)
        {
            tenure.renewal = Renewal::Due(retry_at);
            commands.push(Command::SetTimer(retry_at));
        }
    }

    /// Does the work that is due now, or sets the timer for the next.
    fn run_due_work(&mut self, now: Instant, commands: &mut Vec<Command>) {
        match self.phase {
            Phase::BackingOff { read_at: due_at } | Phase::Reading { timeout_at: due_at }
                if now >= due_at =>
            {
                self.start_read(now, commands);
            }
            Phase::Unheld { acquire_at } if now >= acquire_at => self.start_acquisition(now, commands),
            Phase::BackingOff { read_at: due_at }
            | Phase::Reading { timeout_at: due_at }
            | Phase::Unheld { acquire_at: due_at } => commands.push(Command::SetTimer(due_at)),
            Phase::Holding(Tenure { renewal: Renewal::Due(due_at), .. }) if now >= due_at => {
                self.start_renewal(now, commands);
            }
            Phase::Holding(Tenure { renewal: Renewal::Due(due_at), .. }) => {
                commands.push(Command::SetTimer(due_at));
            }
            Phase::Inactive(_) | Phase::HeldByAnother | Phase::Acquiring { .. } | Phase::Holding(_) => {}
        }
    }

    fn next_call_id(&mut self) -> CallId {
        self.last_call_id = self.last_call_id.next();
        self.last_call_id
    }

    /// Stops taking part, and releases the lease if the member holds the role.
    fn deactivate(&mut self, reason: InactiveReason, commands: &mut Vec<Command>) {
        if let Phase::Holding(Tenure { lease_id, .. }) = self.phase {
            commands.push(Command::Release(lease_id));
        }
        self.phase = Phase::Inactive(reason);
    }
}
