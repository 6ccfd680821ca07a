//! Connections to servers that wait for their next request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_http_links::{Link, Opening, Side};
use tokio::time::{Duration, Instant};

/// On whose account a message goes to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A client sent it; it bears the client's id, which the answer echoes.
    Client,
    /// The proxy asks for itself; neither the call nor its answer bears an id.
    Proxy,
}

/// A connection to a server. It carries messages of one origin only: a late answer to the one kind can't stand where
/// an answer to the other is due.
#[derive(Debug)]
pub(crate) struct ServerLink {
    pub(crate) link: Link<Full<Bytes>>,
    origin: Origin,
}

/// An idle connection is kept for so long where the server doesn't say.
const KEPT: Duration = Duration::from_secs(12);
/// It is let go of so long before the server would close it.
const EARLY: Duration = Duration::from_millis(700);
/// So many wait at one server for requests of clients.
const MOST_IDLE: usize = 24;
/// So many wait at one server for the proxy's own calls.
const MOST_IDLE_OWN: usize = 2;
/// After an answer it has to show within this that it can carry the next message.
const SETTLES: Duration = Duration::from_millis(2);
/// A connection comes up within this.
const CONNECT: Duration = Duration::from_millis(250);
/// A machine that acknowledges nothing for so long is dark.
const DARK: Duration = Duration::from_millis(400);

/// Ends of these connections are not logged one by one.
const SERVER: Side = Side { name: "server", log: |_| {} };

/// Counts a connection as open until it is closed.
struct Held(Rc<Cell<usize>>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

struct Idle {
    link: ServerLink,
    until: Instant,
}

#[derive(Default)]
struct Server {
    for_clients: Vec<Idle>,
    for_own_calls: Vec<Idle>,
    open: Rc<Cell<usize>>,
}

impl Server {
    fn idle(&mut self, origin: Origin) -> &mut Vec<Idle> {
        match origin {
            Origin::Client => &mut self.for_clients,
            Origin::Proxy => &mut self.for_own_calls,
        }
    }
}

/// By instance: an address may pass on to another one.
#[derive(Default)]
pub(crate) struct Links {
    servers: RefCell<HashMap<Rc<str>, Server>>,
}

impl Links {
    /// A connection that waits, if there is one. The newest one first: old ones may have been closed unseen.
    pub(crate) fn idle(&self, id: &str, origin: Origin) -> Option<ServerLink> {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let waiting = servers.get_mut(id)?.idle(origin);
        while let Some(idle) = waiting.pop() {
            if !idle.link.link.closed() && idle.until > now {
                return Some(idle.link);
            }
        }
        None
    }

    /// A new connection; `most` may be open at once.
    pub(crate) async fn open(
        &self,
        id: &Rc<str>,
        origin: Origin,
        to: SocketAddrV4,
        most: usize,
        left: Duration,
    ) -> Opened {
        let open = self.servers.borrow_mut().entry(id.clone()).or_default().open.clone();
        if open.get() >= most {
            return Opened::TooMany;
        }
        open.set(open.get() + 1);
        let held = Held(open);
        let how = Opening { within: CONNECT.min(left), user_timeout: Some(DARK) };
        match Link::open(SERVER, to.into(), how, held).await {
            Some(link) => Opened::Link(ServerLink { link, origin }),
            None => Opened::Unreachable,
        }
    }

    /// The answer on this connection has been read to its end: it waits for the next message, if that was in time and
    /// nothing stands behind it. `kept`: for how long the server keeps it.
    pub(crate) async fn put(
        &self,
        id: &Rc<str>,
        mut link: ServerLink,
        kept: Option<Duration>,
        until: Instant,
    ) {
        let kept = kept.map_or(KEPT, |kept| kept.saturating_sub(EARLY)).min(KEPT);
        // Danger: after a freeze nobody knows for how long the answer lay there, nor what the server has done since.
        if kept.is_zero() || Instant::now() >= until || !link.link.reusable(SETTLES).await {
            return;
        }
        let most = match link.origin {
            Origin::Client => MOST_IDLE,
            Origin::Proxy => MOST_IDLE_OWN,
        };
        let mut servers = self.servers.borrow_mut();
        let waiting = servers.entry(id.clone()).or_default().idle(link.origin);
        if waiting.len() < most {
            waiting.push(Idle { link, until: Instant::now() + kept });
        }
    }

    /// Lets go of the connections to servers that are gone and of those that waited too long.
    pub(crate) fn keep(&self, known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.servers.borrow_mut().retain(|id, server| {
            for waiting in [&mut server.for_clients, &mut server.for_own_calls] {
                waiting.retain(|idle| idle.until > now && !idle.link.link.closed());
            }
            known(id) || server.open.get() > 0
        });
    }
}

/// What came of opening one.
pub(crate) enum Opened {
    Link(ServerLink),
    TooMany,
    Unreachable,
}
