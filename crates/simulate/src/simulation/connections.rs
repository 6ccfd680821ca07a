//! Connections of the simulated proxies to servers: each carries one attempt or probe at a time, and waits for the next one.

use mosshead_decide::interface::Outcome;
use mosshead_world::{ConnectionId, Handshake, Input, ListEntry, ServerId, ServerState, Time};

use super::attempts::AttemptId;
use super::proxy_process::IdleConnection;
use super::{Due, Simulation, take_next};

/// An idle connection is used no longer than this share of the time after which its server closes it.
const IDLE_SHARE: f64 = 0.9;

/// What a connection is used for.
#[derive(Clone, Copy)]
pub(super) enum ConnectionUse {
    Attempt(AttemptId),
    Probe { proxy: usize, server: ServerId, sent_at: Time },
}

/// The state of a connection.
#[derive(Clone, Copy)]
pub(super) enum ConnectionState {
    /// It is being established, for this.
    Connecting(ConnectionUse),
    /// This was sent on it, and has no response yet.
    Busy(ConnectionUse),
    Idle,
}

/// A connection to a server.
pub(super) struct Connection {
    pub(super) proxy: usize,
    server: ServerId,
    /// The address of the server when this was opened.
    address: u32,
    pub(super) state: ConnectionState,
}

impl Simulation<'_> {
    /// Uses an idle connection, or opens one: the message is written once it is established.
    pub(super) fn use_connection(
        &mut self,
        proxy: usize,
        server: ServerId,
        usage: ConnectionUse,
    ) -> ConnectionId {
        if let Some(connection) = self.take_idle_connection(proxy, server) {
            self.write(connection, usage);
            return connection;
        }
        let address = self.proxies[proxy].known_server(server).map_or(0, |known| known.entry.address);
        let id = ConnectionId(take_next(&mut self.next_ids.connection));
        let state = ConnectionState::Connecting(usage);
        self.connections.insert(id, Connection { proxy, server, address, state });
        let handshake = Handshake::Simulated;
        let opened = Input::ConnectionOpened { connection: id, proxy, address, handshake };
        self.world.handle_input(self.now, opened);
        let timeout = self.world.scenario().proxy.connect_timeout;
        self.queue.push(self.now + timeout, Due::ConnectTimeout(id));
        id
    }

    /// The idle connection that was used last, unless the server may close it soon. Those that it may close are closed.
    fn take_idle_connection(&mut self, proxy: usize, server: ServerId) -> Option<ConnectionId> {
        let max_idle_time = self.world.server_traits(server).idle_timeout.scaled_by(IDLE_SHARE);
        let known = self.proxies[proxy].known_server_mut(server)?;
        let (mut expired, mut usable) = (Vec::new(), None);
        while let Some(IdleConnection { connection, since }) = known.idle_connections.pop() {
            if since + max_idle_time > self.now {
                usable = Some(connection);
                break;
            }
            expired.push(connection);
        }
        for connection in expired {
            self.close_connection(connection);
        }
        usable
    }

    /// Writes an attempt or a probe to an established connection.
    fn write(&mut self, id: ConnectionId, usage: ConnectionUse) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.state = ConnectionState::Busy(usage);
        match usage {
            ConnectionUse::Probe { .. } => {
                let number = take_next(&mut self.next_ids.probe);
                self.world.handle_input(self.now, Input::ProbeSent { connection: id, number });
            }
            ConnectionUse::Attempt(attempt) => self.write_attempt(id, attempt),
        }
    }

    /// Writes an attempt, unless its server has changed since it was selected. The grace for a draining server counts from the
    /// first byte, and a connection may take long to be established; and a server that has started anew meanwhile is cold,
    /// although a warm one was selected.
    fn write_attempt(&mut self, connection: ConnectionId, id: AttemptId) {
        let Some(proxy) = self.proxy_of(connection) else { return };
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.connection = Some(connection);
        let known = self.proxies[proxy].known_server(attempt.server);
        if known.is_none_or(|known| known.entry != attempt.selected_entry) {
            self.close_connection(connection);
            return self.end_use(ConnectionUse::Attempt(id), Outcome::NotSent, None);
        }
        attempt.is_written = true;
        let request = id.request;
        self.world.handle_input(self.now, Input::AttemptStarted { connection, request });
        let written = Input::AttemptWritten { connection, request, is_intact: true };
        self.world.handle_input(self.now, written);
    }

    /// A connection waits for the next message, if its server still serves at the same address.
    pub(super) fn release_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.state = ConnectionState::Idle;
        let (proxy, server, address) = (connection.proxy, connection.server, connection.address);
        let known = self.proxies[proxy].known_server_mut(server);
        let is_usable = |entry: &ListEntry| entry.state == ServerState::Serving && entry.address == address;
        match known.filter(|known| is_usable(&known.entry)) {
            Some(known) => {
                known.idle_connections.push(IdleConnection { connection: id, since: self.now });
            }
            None => self.close_connection(id),
        }
    }

    /// Closes a connection from the proxy's side.
    pub(super) fn close_connection(&mut self, connection: ConnectionId) {
        if self.remove_connection(connection).is_some() {
            self.world.handle_input(self.now, Input::ConnectionClosed { connection });
        }
    }

    fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(known) = self.proxies[connection.proxy].known_server_mut(connection.server) {
            known.idle_connections.retain(|idle| idle.connection != id);
        }
        Some(connection)
    }

    pub(super) fn close_idle_connections(&mut self, proxy: usize, server: ServerId) {
        let known = self.proxies[proxy].known_server_mut(server);
        let idle = known.map(|known| std::mem::take(&mut known.idle_connections)).unwrap_or_default();
        for IdleConnection { connection, .. } in idle {
            self.close_connection(connection);
        }
    }

    pub(super) fn on_connection_established(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id)
            && let ConnectionState::Connecting(usage) = connection.state
        {
            self.write(id, usage);
        }
    }

    pub(super) fn on_connection_refused(&mut self, id: ConnectionId) {
        self.on_connection_ended(id, Outcome::ConnectFailed);
    }

    pub(super) fn on_connection_reset(&mut self, id: ConnectionId) {
        self.on_connection_ended(id, Outcome::Reset);
    }

    /// The server's side has ended a connection; `outcome` is that of a message on it.
    fn on_connection_ended(&mut self, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.remove_connection(id) else { return };
        match connection.state {
            ConnectionState::Idle => {}
            ConnectionState::Connecting(usage) => self.end_use(usage, Outcome::ConnectFailed, None),
            ConnectionState::Busy(usage) => self.end_use(usage, outcome, None),
        }
    }

    pub(super) fn on_connect_timeout(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id)
            && let ConnectionState::Connecting(usage) = connection.state
        {
            self.close_connection(id);
            self.end_use(usage, Outcome::ConnectFailed, None);
        }
    }
}
