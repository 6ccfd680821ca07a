//! The servers that the balancer knows by number: what the list says of each, and what is in flight there.

use mosshead_decide::interface::*;
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::unix_time::ServerStart;

use super::{BalancerActor, MAX_CLOCK_SKEW, ServerEntry};
use crate::messages::{EndpointStatus, ServerMessage};
use crate::server;
use crate::stored_state::NameTables;

impl BalancerActor {
    /// The list as it is known now.
    pub(super) fn current_list(&self) -> ServerList {
        let listed = self.servers.iter().filter(|server| server.listed);
        ServerList {
            version: self.version,
            is_complete: true,
            servers: listed.map(|server| server.machine.clone()).collect(),
        }
    }

    pub(super) fn name_tables(&self) -> NameTables<'_> {
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.listed);
        let nodes = listed.map(|(at, server)| (at as u32, server.machine.id.as_str())).collect();
        NameTables { zones: &self.zones, kinds: &self.kinds, classes: self.class_table.names(), nodes }
    }

    pub(super) fn post_to_server(&self, endpoint: EndpointId, message: ServerMessage) {
        if let Some(server) = self.servers.get(endpoint.0 as usize) {
            let _ = server.mailbox.send(message);
        }
    }

    /// Something out at a server has its outcome.
    pub(super) fn release_server(&mut self, endpoint: EndpointId) {
        let at = endpoint.0 as usize;
        if let Some(server) = self.servers.get_mut(at) {
            server.in_flight = server.in_flight.saturating_sub(1);
            self.retire_server(at);
        }
    }

    /// Lets go of a server that has left the list and owes nothing. Servers come and go all day; kept for
    /// good, they would fill the memory. The balancer has been told: whoever gets the number starts afresh.
    pub(super) fn retire_server(&mut self, at: usize) {
        let server = &mut self.servers[at];
        // An id that has come back may have another number by now.
        if !server.listed && server.in_flight == 0 && self.server_numbers.get(&server.machine.id) == Some(&at)
        {
            self.server_numbers.remove(&server.machine.id);
            let _ = server.mailbox.send(ServerMessage::Shutdown);
            self.free_numbers.push(at);
        }
    }

    /// Tells the servers what the list says of them, and puts it in the balancer's terms.
    pub(super) fn apply_list(
        &mut self,
        listed_servers: Vec<ListedServer>,
        is_complete: bool,
    ) -> Vec<ListEntry> {
        if is_complete {
            self.servers.iter_mut().for_each(|server| server.listed = false);
        }
        let mut entries = Vec::with_capacity(listed_servers.len());
        for machine in listed_servers {
            let listed = machine.readiness != Readiness::Removed;
            let status = EndpointStatus {
                addr: machine.address,
                readiness: machine.readiness,
                started_ms: machine.started_at.as_unix_millis(),
            };
            let at = match self.server_numbers.get(&machine.id).copied() {
                Some(at) => {
                    // An instant reckoned anew with each list would differ a little: a restart each time.
                    if self.servers[at].machine.started_at != machine.started_at {
                        self.servers[at].started_at = self.started_at(&machine);
                    }
                    self.servers[at].listed = listed;
                    self.servers[at].machine.clone_from(&machine);
                    self.post_to_server(EndpointId(at as u32), ServerMessage::StatusChanged(status));
                    at
                }
                None if !listed => continue,
                None => self.add_server(machine.clone(), status),
            };
            let endpoint = EndpointId(at as u32);
            entries.push(ListEntry {
                endpoint,
                readiness: machine.readiness,
                zone: ZoneId(self.zones.intern(&machine.zone)),
                kind: MachineKindId(self.kinds.intern(&machine.machine_kind)),
                group: GroupId(machine.cell),
                weight: machine.weight,
                started_at: self.servers[at].started_at,
            });
        }
        for at in self.server_numbers.values().copied().filter(|at| !self.servers[*at].listed) {
            self.post_to_server(EndpointId(at as u32), ServerMessage::Removed);
        }
        entries
    }

    /// When a machine started. With a clock that is behind all that starts looks as if it started later than now, and would be
    /// held for cold until then: it has started by now, whatever its clock says.
    pub(super) fn started_at(&self, machine: &ListedServer) -> Option<Seconds> {
        let at = (machine.started_at.as_unix_millis() - self.start_unix_ms) / 1000.0;
        (machine.started_at > ServerStart::LONG_AGO)
            .then(|| if at > self.now() + MAX_CLOCK_SKEW { self.now() } else { at })
    }

    /// Starts the actor of a server that is new here, under a number that nobody has.
    pub(super) fn add_server(&mut self, machine: ListedServer, status: EndpointStatus) -> usize {
        let mailbox = server::start(&self.limits, self.budget.clone(), status);
        let at = self.free_numbers.pop().unwrap_or(self.servers.len());
        self.server_numbers.insert(machine.id.clone(), at);
        let started_at = self.started_at(&machine);
        let server = ServerEntry { machine, mailbox, listed: true, started_at, in_flight: 0 };
        match self.servers.get_mut(at) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        at
    }
}
