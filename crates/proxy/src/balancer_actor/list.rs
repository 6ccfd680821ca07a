//! Handles updates of the endpoint list.

use mosshead_decide::interface::{Event, ListUpdate, Membership, Seconds};
use mosshead_snapshot::server_list::ServerList;

use super::{BalancerActor, ScheduledTask};

/// The delay before discovery's agent is called again after a failed call. The agent counts what it sent as delivered,
/// and continues a watch if the next call comes within 0.2 s. It runs on this machine, so a call is cheap.
const LIST_RETRY_DELAY: Seconds = 0.1;

impl BalancerActor {
    /// Watches the list if it is pushed. The balancer assumes that pushed lists arrive without a watch, but over HTTP
    /// the agent on this machine sends them only in response to a watch. Without one, the saved list would never be
    /// replaced.
    pub(super) fn watch_pushed_list(&self) {
        if self.membership == Membership::Push {
            self.list.watch();
        }
    }

    pub(super) fn on_list_call_failed(&mut self) {
        // The proxy serves even if discovery is down from the start.
        self.handle.lifecycle.set_ready();
        if self.suspension.should_retry_list_at_once() {
            return self.list.watch();
        }
        self.dispatch_event(Event::ListUpdated(ListUpdate::Failed));
        self.schedule(self.now() + LIST_RETRY_DELAY, ScheduledTask::WatchList);
    }

    pub(super) fn on_list_updated(&mut self, list: ServerList) {
        let is_complete = list.is_complete;
        self.list_version = list.version;
        let former = if self.stored_state.is_some() { self.current_list().servers } else { Vec::new() };
        let entries = self.apply_list(list);
        let has_changed = !entries.is_empty() || is_complete;
        if let Some(stored_state) = &mut self.stored_state {
            let listed = self.servers.iter().filter(|server| server.is_listed);
            stored_state.record_list(&former, listed.map(|server| &server.listing));
        }
        self.handle.lifecycle.set_ready();
        let update = if is_complete { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        self.dispatch_event(Event::ListUpdated(update));
        for index in 0..self.servers.len() {
            self.remove_server_if_unused(index);
        }
        if has_changed {
            self.write_snapshot();
        }
    }
}
