//! Tracks the recovery of the proxy after a start or a suspension, from the events that it handles.

use mosshead_recovery::RecoveryStatus;

use crate::Balancer;
use crate::interface::{Action, Event, ListUpdate, Outcome, Seconds};

impl Balancer {
    /// Handles one event that happened at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        self.record_recovery(now, &event);
        let is_list_update = matches!(event, Event::ListUpdated(_));
        let first_new = actions.len();
        self.handle_event(now, event, actions);
        if is_list_update {
            let has_servers = [&self.state.local, &self.state.remote, &self.state.slow_starting]
                .into_iter()
                .any(|servers| !servers.is_empty());
            self.state.recovery.set_has_servers(has_servers);
        }
        let is_unserved = |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
        for _ in actions[first_new..].iter().filter(is_unserved) {
            self.state.recovery.on_response(false);
        }
        // Full service is kept once `status` has seen its conditions met, so that is called after each event.
        self.recovery_status(now);
    }

    fn record_recovery(&mut self, now: Seconds, event: &Event) {
        match event {
            Event::ListUpdated(ListUpdate::Full(_) | ListUpdate::Changes(_)) => {
                self.state.recovery.on_discovery_update(now);
            }
            Event::ListUpdated(ListUpdate::Failed) => self.state.recovery.on_discovery_failure(),
            Event::AttemptEnded { request, outcome: Outcome::Served, settled: true, .. } => {
                if let Some(target_time) = self.state.request_mut(*request).map(|pending| pending.target_time)
                {
                    self.state.recovery.on_response(now <= target_time);
                }
            }
            _ => {}
        }
    }

    /// The recovery stage of the proxy, and what blocks the next one.
    pub fn recovery_status(&mut self, now: Seconds) -> RecoveryStatus {
        self.state.recovery.status(now, self.settings.rules.refresh_within)
    }

    /// Records that the process was suspended and has resumed; it may have missed list updates.
    pub fn on_process_suspended(&mut self) {
        self.state.recovery.on_suspended();
    }
}
