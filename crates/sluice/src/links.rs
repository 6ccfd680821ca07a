//! Connections to servers that wait for their next request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use mosshead_conduit::{Link, Opening, Side};
use tokio::time::{Duration, Instant};

pub(crate) type ServerLink = Link<Full<Bytes>>;

/// An idle connection is kept for so long where the server doesn't say.
const KEPT: Duration = Duration::from_secs(12);
/// It is let go of so long before the server would close it.
const EARLY: Duration = Duration::from_millis(700);
/// So many wait at one server.
const MOST_IDLE: usize = 24;
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
    idle: Vec<Idle>,
    open: Rc<Cell<usize>>,
}

/// By instance: an address may pass on to another one.
#[derive(Default)]
pub(crate) struct Links {
    servers: RefCell<HashMap<Rc<str>, Server>>,
}

impl Links {
    /// A connection that waits, if there is one. The newest one first: old ones may have been closed unseen.
    pub(crate) fn idle(&self, id: &str) -> Option<ServerLink> {
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(id)?;
        while let Some(idle) = server.idle.pop() {
            if !idle.link.closed() && idle.until > now {
                return Some(idle.link);
            }
        }
        None
    }

    /// A new connection; `most` may be open at once.
    pub(crate) async fn open(&self, id: &Rc<str>, to: SocketAddrV4, most: usize, left: Duration) -> Opened {
        let open = self.servers.borrow_mut().entry(id.clone()).or_default().open.clone();
        if open.get() >= most {
            return Opened::TooMany;
        }
        open.set(open.get() + 1);
        let held = Held(open);
        let how = Opening { within: CONNECT.min(left), user_timeout: Some(DARK) };
        match Link::open(SERVER, to.into(), how, held).await {
            Some(link) => Opened::Link(link),
            None => Opened::Unreachable,
        }
    }

    /// The connection is free for the next request.
    pub(crate) fn put(&self, id: &Rc<str>, link: ServerLink, kept: Option<Duration>) {
        let kept = kept.map_or(KEPT, |kept| kept.saturating_sub(EARLY)).min(KEPT);
        if link.closed() || kept.is_zero() {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(id.clone()).or_default();
        if server.idle.len() < MOST_IDLE {
            server.idle.push(Idle { link, until: Instant::now() + kept });
        }
    }

    /// Lets go of the connections to servers that are gone and of those that waited too long.
    pub(crate) fn keep(&self, known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.servers.borrow_mut().retain(|id, server| {
            server.idle.retain(|idle| idle.until > now && !idle.link.closed());
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
