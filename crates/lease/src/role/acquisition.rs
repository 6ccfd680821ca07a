//! Acquisition of the role: the call to the store, and the handling of its response.

use super::{Phase, Renewal, SingletonRole, Tenure};
use crate::fencing::FencingToken;
use crate::instant::Instant;
use crate::lease_state::InactiveReason;
use crate::messages::{CallId, Command, LeaseId, StoreId};

impl SingletonRole {
    pub(super) fn start_acquisition(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let call_id = self.next_call_id();
        self.phase = Phase::Acquiring { call_id, sent_at: now };
        commands.push(Command::Acquire { call_id, epoch: self.highest_seen.epoch });
    }

    /// Returns true if this call is the acquisition in flight.
    pub(super) fn is_acquisition_in_flight(&self, call_id: CallId) -> bool {
        matches!(self.phase, Phase::Acquiring { call_id: in_flight, .. } if in_flight == call_id)
    }

    pub(super) fn on_acquired(
        &mut self,
        now: Instant,
        call_id: CallId,
        store_id: StoreId,
        token: FencingToken,
        lease_id: LeaseId,
        commands: &mut Vec<Command>,
    ) {
        let sent_at = match self.phase {
            Phase::Acquiring { call_id: in_flight, sent_at } if in_flight == call_id => sent_at,
            // This is the response to an earlier call that is no longer awaited. If its lease were not
            // released, no member could act until it expired.
            _ => return commands.push(Command::Release(lease_id)),
        };
        if let Some(reason) = self.rejection_reason(store_id, token) {
            self.phase = Phase::Inactive(reason);
            return commands.extend([Command::Release(lease_id), Command::ReadAndWatch]);
        }
        self.highest_seen = token;
        self.phase = Phase::Holding(Tenure {
            token,
            lease_id,
            permit_until: sent_at + self.timing.permit_duration(),
            renewal: Renewal::Due(sent_at + self.timing.renewal_interval),
            is_watching: true,
        });
        // From now on the watch reports if the role is taken away, for example by an operator who deletes its
        // key in the store.
        commands.push(Command::ReadAndWatch);
        self.run_due_work(now, commands);
    }

    /// Returns why an acquisition must be rejected; `None` if it is valid. A store that was restored between
    /// the last update and the acquisition may have issued a token under which another member still acts.
    fn rejection_reason(&self, store_id: StoreId, token: FencingToken) -> Option<InactiveReason> {
        if store_id != self.store_id {
            Some(InactiveReason::ForeignStore)
        } else if token < self.highest_seen {
            Some(InactiveReason::StoreRolledBack)
        } else {
            None
        }
    }
}
