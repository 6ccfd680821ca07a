//! Renewal of the holder's lease, which extends its permit.

use super::{Phase, Renewal, SingletonRole};
use crate::instant::Instant;
use crate::messages::{CallId, Command};

impl Renewal {
    /// Returns true if this call is the renewal in flight.
    pub(super) fn is_in_flight(&self, call_id: CallId) -> bool {
        matches!(self, Renewal::InFlight { call_id: in_flight, .. } if *in_flight == call_id)
    }
}

impl SingletonRole {
    pub(super) fn start_renewal(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let call_id = self.next_call_id();
        if let Phase::Holding(tenure) = &mut self.phase {
            tenure.renewal = Renewal::InFlight { call_id, sent_at: now };
            commands.push(Command::Renew { call_id, lease_id: tenure.lease_id });
        }
    }

    /// Returns true if this call is the renewal in flight.
    pub(super) fn is_renewal_in_flight(&self, call_id: CallId) -> bool {
        matches!(&self.phase, Phase::Holding(tenure) if tenure.renewal.is_in_flight(call_id))
    }

    pub(super) fn on_renewed(&mut self, now: Instant, call_id: CallId, commands: &mut Vec<Command>) {
        if let Phase::Holding(tenure) = &mut self.phase
            && let Renewal::InFlight { call_id: in_flight, sent_at } = tenure.renewal
            && in_flight == call_id
        {
            tenure.permit_until = tenure.permit_until.max(sent_at + self.timing.permit_duration());
            tenure.renewal = Renewal::Due(sent_at + self.timing.renewal_interval);
            // If the watch had a gap, the store is read again now that it responds.
            if !std::mem::replace(&mut tenure.is_watching, true) {
                commands.push(Command::ReadAndWatch);
            }
            self.run_due_work(now, commands);
        }
    }
}
