//! Serves the requests of clients on the primary.

use super::PrimaryState;
use crate::node_core::NodeCore;

impl PrimaryState {
    /// Applies changes, one being written at a time, and sends the replies that are confirmed.
    pub(crate) fn serve_requests(&mut self, core: &mut NodeCore) {
        while !core.removal.is_shutting_down() {
            let Some(change) = core.requests.next_change() else { break };
            let next_heartbeat = self.next_heartbeat();
            let state = core.requests.apply_change(&mut core.context, &self.state, next_heartbeat, change);
            if let Some(state) = state {
                self.start_write(core, state);
            }
        }
        self.confirm_requests(core);
    }

    /// Sends the replies that a majority has confirmed, and sends heartbeats to confirm the others: one round at a time,
    /// whatever the number of requests.
    fn confirm_requests(&mut self, core: &mut NodeCore) {
        loop {
            let (confirmed, last) = (self.confirmed_heartbeat(core), self.last_heartbeat);
            core.requests.reply_confirmed(&mut core.context, &self.state, confirmed, last);
            if !core.requests.awaits_heartbeat_after(last) {
                return;
            }
            self.send_heartbeats_to_voters(core);
            // A primary that is the only voter confirms at once.
            if self.confirmed_heartbeat(core) <= last {
                return;
            }
        }
    }
}
