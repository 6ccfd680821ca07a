//! The servers that the balancer knows by number: the list entry of each, and what is in flight there.

use mosshead_decide::interface::*;
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::unix_time::ServerStart;

use super::{BalancerActor, ServerEntry};
use crate::messages::{EndpointStatus, ServerMessage};
use crate::server;
use crate::stored_state::NameTables;

/// The maximum clock skew between two machines.
const MAX_CLOCK_SKEW: Seconds = 2.0;

impl BalancerActor {
    /// The current endpoint list.
    pub(super) fn current_list(&self) -> ServerList {
        let listed = self.servers.iter().filter(|server| server.is_listed);
        ServerList {
            version: self.list_version,
            is_complete: true,
            servers: listed.map(|server| server.listing.clone()).collect(),
        }
    }

    pub(super) fn name_tables(&self) -> NameTables<'_> {
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.is_listed);
        let servers = listed.map(|(index, server)| (index as u32, server.listing.id.as_str())).collect();
        NameTables { zones: &self.zones, kinds: &self.kinds, classes: self.class_table.names(), servers }
    }

    pub(super) fn post_to_server(&self, endpoint: EndpointId, message: ServerMessage) {
        if let Some(server) = self.servers.get(endpoint.0 as usize) {
            let _ = server.mailbox.send(message);
        }
    }

    /// An attempt or probe at the server has ended.
    pub(super) fn release_server(&mut self, endpoint: EndpointId) {
        let index = endpoint.0 as usize;
        if let Some(server) = self.servers.get_mut(index) {
            server.in_flight = server.in_flight.saturating_sub(1);
            self.remove_server_if_unused(index);
        }
    }

    /// Ends the actor of a server that is no longer listed and has nothing in flight; otherwise memory would grow as
    /// servers come and go. The balancer knows that the server is removed, so the next server with this number starts
    /// without its history.
    pub(super) fn remove_server_if_unused(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let is_unused = !server.is_listed && server.in_flight == 0;
        // If the id was listed again, it may have another number.
        if is_unused && self.server_indices.get(&server.listing.id) == Some(&index) {
            self.server_indices.remove(&server.listing.id);
            let _ = server.mailbox.send(ServerMessage::Shutdown);
            self.free_indices.push(index);
        }
    }

    /// Sends the actors of the servers their list entries. Returns the list in the balancer's terms.
    pub(super) fn apply_list(&mut self, list: ServerList) -> Vec<ListEntry> {
        if list.is_complete {
            self.servers.iter_mut().for_each(|server| server.is_listed = false);
        }
        let mut entries = Vec::with_capacity(list.servers.len());
        for listing in list.servers {
            entries.extend(self.apply_listing(&listing));
        }
        for index in self.server_indices.values().copied().filter(|index| !self.servers[*index].is_listed) {
            self.post_to_server(EndpointId(index as u32), ServerMessage::Removed);
        }
        entries
    }

    /// Applies the list entry of one server. Returns none if the server is removed and was not known.
    fn apply_listing(&mut self, listing: &ListedServer) -> Option<ListEntry> {
        let is_listed = listing.readiness != Readiness::Removed;
        let status = EndpointStatus {
            addr: listing.address,
            readiness: listing.readiness,
            started_at: listing.started_at,
        };
        let index = match self.server_indices.get(&listing.id).copied() {
            Some(index) => {
                // If the time were recomputed for each list, it would differ slightly, which would look like a restart.
                if self.servers[index].listing.started_at != listing.started_at {
                    self.servers[index].started_at = self.started_at(listing);
                }
                self.servers[index].is_listed = is_listed;
                self.servers[index].listing.clone_from(listing);
                self.post_to_server(EndpointId(index as u32), ServerMessage::StatusChanged(status));
                index
            }
            None if !is_listed => return None,
            None => self.add_server(listing.clone(), status),
        };
        Some(ListEntry {
            endpoint: EndpointId(index as u32),
            readiness: listing.readiness,
            zone: ZoneId(self.zones.intern(&listing.zone)),
            kind: MachineKindId(self.kinds.intern(&listing.machine_kind)),
            group: GroupId(listing.cell),
            weight: listing.weight,
            started_at: self.servers[index].started_at,
        })
    }

    /// When a server started, in the balancer's time; none if that is not known. A start in the future counts as now:
    /// with a wall clock that is behind, each starting server would otherwise count as cold until that time.
    fn started_at(&self, listing: &ListedServer) -> Option<Seconds> {
        let started_at = (listing.started_at.as_unix_millis() - self.start_unix_ms) / 1000.0;
        let is_in_future = started_at > self.now() + MAX_CLOCK_SKEW;
        (listing.started_at > ServerStart::LONG_AGO)
            .then(|| if is_in_future { self.now() } else { started_at })
    }

    /// Starts the actor of a new server and assigns it a free number.
    fn add_server(&mut self, listing: ListedServer, status: EndpointStatus) -> usize {
        let mailbox = server::start(&self.limits, self.budget.clone(), status);
        let index = self.free_indices.pop().unwrap_or(self.servers.len());
        self.server_indices.insert(listing.id.clone(), index);
        let started_at = self.started_at(&listing);
        let server = ServerEntry { listing, mailbox, is_listed: true, started_at, in_flight: 0 };
        match self.servers.get_mut(index) {
            Some(entry) => *entry = server,
            None => self.servers.push(server),
        }
        index
    }
}
