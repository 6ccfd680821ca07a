//! The record of a day: what crossed each link and what was done to processes, in the order of time.

mod connection_reader;
mod text;

use std::net::SocketAddr;

use mosshead_emulator::proxy_links::{LinkEndpoint, ProcessEvent};
use mosshead_world::Time;
use mosshead_world::events::{Event, EventKind};
use mosshead_world::scenario::LinkKind;

pub use connection_reader::ConnectionReader;

/// An entry of the endpoint list, as a proxy received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEntry {
    /// The server's id.
    pub id: String,
    /// Where this proxy reaches the server.
    pub address: SocketAddr,
    /// Whether new requests may be sent there.
    pub is_serving: bool,
}

/// Something that crossed a link, or was done to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEventKind {
    /// A connection was established.
    ConnectionOpened,
    /// A connection has ended.
    ConnectionEnded,
    /// The last byte of a call for the endpoint list has left the proxy.
    ListRequested {
        /// The version that the proxy has; `None` for the full list.
        from: Option<u64>,
    },
    /// The last byte of a response to such a call has reached the proxy.
    ListReceived {
        /// The status of the response; without 200 there is no list.
        status: u16,
        /// The version of the list.
        version: u64,
        /// Whether it names all servers, not only those that have changed.
        is_full: bool,
        /// The entries.
        entries: Vec<ReceivedEntry>,
    },
    /// The last byte of an attempt has left the proxy.
    AttemptSent {
        /// The correlation id of the request.
        id: String,
        /// The class of the request, by the first segment of its path.
        class: String,
        /// When its first byte left.
        started_at: Time,
    },
    /// The last byte of a response to an attempt has reached the proxy.
    ResponseReceived {
        /// The correlation id of the request.
        id: String,
        /// The status of the response.
        status: u16,
        /// Whether the server promises that the request was not executed.
        not_executed: bool,
    },
    /// The last byte of a response of the admin endpoint has left the proxy.
    StageReported {
        /// The status of the response.
        status: u16,
        /// How far the proxy says that it has recovered.
        stage: String,
    },
    /// Something was done to the proxy's process.
    Process(ProcessEvent),
}

/// What happened, when, and on which link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkEvent {
    /// The instant of the day; what happened before its start is at zero.
    pub at: Time,
    /// The proxy whose link or process it is.
    pub proxy: usize,
    /// The far end of the link; `None` for a process.
    pub endpoint: Option<LinkEndpoint>,
    /// The connection, numbered over all links from 1; 0 for a process.
    pub connection: u64,
    /// What happened.
    pub kind: LinkEventKind,
}

/// All that a checker reads.
#[derive(Clone, Debug, Default)]
pub struct LinkRecord {
    /// What crossed the links and was done to processes, in order.
    pub link_events: Vec<LinkEvent>,
    /// What the world did: starts and ends of servers and proxies, faults.
    pub world_events: Vec<Event>,
}

impl LinkRecord {
    /// Adds an event of the world, if checkers need it: what is about single requests they read from the links.
    pub fn add_world_event(&mut self, event: &Event) {
        let is_needed = matches!(
            event.kind,
            EventKind::ServerStarted { .. }
                | EventKind::ServerEnded { .. }
                | EventKind::ServerCollapsed { .. }
                | EventKind::ServerCongested { .. }
                | EventKind::ProxyStarted { .. }
                | EventKind::ProxyStopped { .. }
                | EventKind::ProxyPaused { .. }
                | EventKind::ProxyResumed { .. }
                | EventKind::LinkFaultChanged { .. }
        );
        if is_needed {
            self.world_events.push(*event);
        }
    }

    /// Every event on links of this kind, with the far end of the link.
    pub fn on_links(&self, kind: LinkKind) -> impl Iterator<Item = (&LinkEvent, LinkEndpoint)> {
        self.link_events.iter().filter_map(move |event| {
            let endpoint = event.endpoint.filter(|endpoint| endpoint.kind == kind)?;
            Some((event, endpoint))
        })
    }
}
