//! The links: each connection between a proxy and the emulator passes through one, byte by byte.

mod active_faults;
mod relay;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mosshead_emulator::proxy_links::{LinkEndpoint, ProcessEvent, ProxyLinks};
use mosshead_world::events::Event;
use mosshead_world::{LinkChange, LinkFault, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use crate::link_record::{LinkEvent, LinkEventKind, LinkRecord};
use active_faults::ActiveFaults;

/// The second octet of the addresses of relays for the first proxies; the emulator has the ones below.
const FIRST_RELAY_OCTET: u8 = 96;
/// Proxies that share a second octet.
const PROXIES_PER_OCTET: usize = 250;

/// All links of a day, and the record of what crossed them.
pub struct RecordedLinks(Rc<LinksState>);

/// What the relays of a day share.
struct LinksState {
    /// The start of the day; `None` until then.
    started_at: Cell<Option<Instant>>,
    faults: RefCell<ActiveFaults>,
    /// Counts the changes of `faults`.
    fault_changes: watch::Sender<u64>,
    open_connections: RefCell<HashMap<u64, OpenConnection>>,
    last_connection: Cell<u64>,
    record: RefCell<LinkRecord>,
    /// By proxy, the listener that makes the two ends of a relay's own connection.
    pair_listeners: RefCell<HashMap<usize, std::net::TcpListener>>,
    random: RefCell<Pcg32>,
}

struct OpenConnection {
    endpoint: LinkEndpoint,
    /// Notified when the connection is to be reset.
    reset: Rc<Notify>,
}

impl RecordedLinks {
    /// Links whose delays are drawn from this seed.
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(LinksState {
            started_at: Cell::new(None),
            faults: RefCell::default(),
            fault_changes: watch::Sender::new(0),
            open_connections: RefCell::default(),
            last_connection: Cell::new(0),
            record: RefCell::default(),
            pair_listeners: RefCell::default(),
            random: RefCell::new(Pcg32::seed_from_u64(seed)),
        }))
    }

    /// Takes the record of the day.
    pub fn take_record(&self) -> LinkRecord {
        self.0.record.take()
    }
}

impl ProxyLinks for RecordedLinks {
    fn on_day_started(&self, at: Instant) {
        self.0.started_at.set(Some(at));
    }

    fn relay(
        &self,
        endpoint: LinkEndpoint,
        proxy_stream: TcpStream,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>> {
        let links = self.0.clone();
        Box::pin(async move {
            let (relay_stream, endpoint_stream) = links.connect_pair(endpoint.proxy)?;
            // The relay ends with its connection, or with the day.
            spawn_local(relay::relay(links, endpoint, proxy_stream, relay_stream));
            Ok(endpoint_stream)
        })
    }

    fn set_fault(&self, fault: &LinkFault, is_active: bool) {
        match (fault.change, is_active) {
            (LinkChange::Reset, true) => self.0.reset_connections(fault),
            // A reset takes no time.
            (LinkChange::Reset, false) => {}
            (_, true) => self.0.faults.borrow_mut().add(fault.clone()),
            (_, false) => self.0.faults.borrow_mut().remove(fault),
        }
        self.0.fault_changes.send_modify(|changes| *changes += 1);
    }

    fn on_event(&self, event: &Event) {
        self.0.record.borrow_mut().add_world_event(event);
    }

    fn on_process_event(&self, proxy: usize, event: ProcessEvent) {
        let kind = LinkEventKind::Process(event);
        let event = LinkEvent { at: self.0.now(), proxy, endpoint: None, connection: 0, kind };
        self.0.record.borrow_mut().link_events.push(event);
    }
}

impl LinksState {
    fn now(&self) -> Time {
        let passed = self.started_at.get().map_or(Duration::ZERO, |started_at| started_at.elapsed());
        Time(passed.as_micros() as u64)
    }

    /// A draw from 0 to 1.
    fn random_share(&self) -> f64 {
        f64::from(self.random.borrow_mut().next_u32()) / f64::from(u32::MAX)
    }

    fn record(&self, endpoint: LinkEndpoint, connection: u64, kinds: Vec<LinkEventKind>) {
        let (at, proxy) = (self.now(), endpoint.proxy);
        let event = |kind| LinkEvent { at, proxy, endpoint: Some(endpoint), connection, kind };
        self.record.borrow_mut().link_events.extend(kinds.into_iter().map(event));
    }

    fn next_connection(&self) -> u64 {
        self.last_connection.set(self.last_connection.get() + 1);
        self.last_connection.get()
    }

    fn reset_connections(&self, fault: &LinkFault) {
        for open in self.open_connections.borrow().values() {
            if fault.includes(open.endpoint.proxy, open.endpoint.kind, open.endpoint.zone) {
                open.reset.notify_one();
            }
        }
    }

    /// The two ends of a new connection. Each proxy has a listener of its own, so that ports do not run short.
    fn connect_pair(&self, proxy: usize) -> io::Result<(TcpStream, TcpStream)> {
        let mut listeners = self.pair_listeners.borrow_mut();
        let listener = match listeners.entry(proxy) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(unknown) => {
                let second = FIRST_RELAY_OCTET + (proxy / PROXIES_PER_OCTET) as u8;
                let host = Ipv4Addr::new(127, second, (proxy % PROXIES_PER_OCTET) as u8 + 1, 1);
                unknown.insert(std::net::TcpListener::bind(SocketAddr::new(host.into(), 0))?)
            }
        };
        // The kernel establishes connections to a listener by itself: neither call waits.
        let connected = std::net::TcpStream::connect(listener.local_addr()?)?;
        let (accepted, _) = listener.accept()?;
        for stream in [&connected, &accepted] {
            stream.set_nonblocking(true)?;
            stream.set_nodelay(true)?;
        }
        Ok((TcpStream::from_std(connected)?, TcpStream::from_std(accepted)?))
    }

    /// Waits until this holds, looking again with each change of faults; true if it had to wait.
    async fn wait_until(&self, holds: impl Fn(&ActiveFaults) -> bool) -> bool {
        let mut changes = self.fault_changes.subscribe();
        let mut has_waited = false;
        while !holds(&self.faults.borrow()) {
            has_waited = true;
            // The sender is in `self`, so that it is not dropped while this waits.
            let _ = changes.changed().await;
        }
        has_waited
    }
}
