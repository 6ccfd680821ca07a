//! The relay of one connection.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use mosshead_emulator::proxy_links::LinkEndpoint;
use mosshead_world::scenario::Direction;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{LinksState, OpenConnection};
use crate::link_record::{ConnectionReader, LinkEventKind};

/// The most bytes that a link carries at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// Both sides have closed it.
    Closed,
    /// One side has reset it, or a fault has.
    Reset,
}

/// Relays a connection of a proxy until it ends.
pub(super) async fn relay(
    links: Rc<LinksState>,
    endpoint: LinkEndpoint,
    proxy_stream: TcpStream,
    endpoint_stream: TcpStream,
) {
    let connection = links.next_connection();
    // With Nagle's algorithm small messages would be late by tens of milliseconds, which days would count as the proxy's.
    let _ = proxy_stream.set_nodelay(true);
    let reset = Rc::new(Notify::new());
    let open = OpenConnection { endpoint, reset: reset.clone() };
    links.open_connections.borrow_mut().insert(connection, open);
    links.record(endpoint, connection, vec![LinkEventKind::ConnectionOpened]);
    let reader = RefCell::new(ConnectionReader::new(endpoint.kind));
    let link = Link { links: &links, endpoint, connection, reader: &reader };
    let (from_proxy, to_proxy) = proxy_stream.into_split();
    let (from_endpoint, to_endpoint) = endpoint_stream.into_split();
    let mut forward = DirectionRelay {
        link,
        direction: Direction::FromProxy,
        from: from_proxy,
        to: to_endpoint,
        was_held: false,
    };
    let mut back = DirectionRelay {
        link,
        direction: Direction::ToProxy,
        from: from_endpoint,
        to: to_proxy,
        was_held: false,
    };
    forward.was_held = links.wait_until(|faults| faults.accepts(endpoint)).await;
    let end = tokio::select! {
        end = relay_both(forward.run(), back.run()) => end,
        () = reset.notified() => RelayEnd::Reset,
    };
    links.open_connections.borrow_mut().remove(&connection);
    links.record(endpoint, connection, vec![LinkEventKind::ConnectionEnded]);
    if end == RelayEnd::Reset {
        for stream in [forward.from.as_ref(), back.from.as_ref()] {
            // A stream that has ended already needs no reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Runs both directions until each has been closed, or one has been reset.
async fn relay_both(
    forward: impl Future<Output = RelayEnd>,
    back: impl Future<Output = RelayEnd>,
) -> RelayEnd {
    let (mut forward, mut back) = (pin!(forward), pin!(back));
    let (first_end, other): (RelayEnd, Pin<&mut dyn Future<Output = RelayEnd>>) = tokio::select! {
        end = &mut forward => (end, back),
        end = &mut back => (end, forward),
    };
    match first_end {
        RelayEnd::Reset => RelayEnd::Reset,
        RelayEnd::Closed => other.await,
    }
}

/// What both directions of a connection share.
#[derive(Clone, Copy)]
struct Link<'a> {
    links: &'a LinksState,
    endpoint: LinkEndpoint,
    connection: u64,
    reader: &'a RefCell<ConnectionReader>,
}

/// One direction of a connection.
struct DirectionRelay<'a> {
    link: Link<'a>,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    /// What is read next has waited on the link, since a fault held it up.
    was_held: bool,
}

impl DirectionRelay<'_> {
    async fn run(&mut self) -> RelayEnd {
        let Link { links, endpoint, .. } = self.link;
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let Ok(count) = self.from.read(&mut chunk).await else { return RelayEnd::Reset };
            // The record has what leaves a proxy when it leaves, and what reaches a proxy when it arrives.
            if self.direction == Direction::FromProxy {
                self.record_messages(&chunk[..count]);
            }
            let delay = self.draw_delay();
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let direction = self.direction;
            self.was_held |= links.wait_until(|faults| faults.passes(endpoint, direction)).await;
            // What was held up for a sender that has closed since is lost with the connection.
            let was_held = std::mem::take(&mut self.was_held);
            if was_held && count > 0 && direction == Direction::FromProxy && self.sender_has_closed() {
                return RelayEnd::Reset;
            }
            if count == 0 {
                return if self.to.shutdown().await.is_ok() { RelayEnd::Closed } else { RelayEnd::Reset };
            }
            let bytes_per_second = links.faults.borrow().bytes_per_second(endpoint);
            if let Some(bytes_per_second) = bytes_per_second {
                sleep(Duration::from_secs_f64(count as f64 / bytes_per_second as f64)).await;
            }
            if self.to.write_all(&chunk[..count]).await.is_err() {
                return RelayEnd::Reset;
            }
            if direction == Direction::ToProxy {
                self.record_messages(&chunk[..count]);
            }
        }
    }

    /// Each slow fault delays by its time and a random part up to the same again.
    fn draw_delay(&self) -> Duration {
        let Link { links, endpoint, .. } = self.link;
        let delays = links.faults.borrow().delays(endpoint);
        let drawn = delays.into_iter().map(|delay| delay.scaled_by(1.0 + links.random_share()));
        drawn.map(|delay| Duration::from_micros(delay.0)).sum()
    }

    fn record_messages(&self, bytes: &[u8]) {
        let Link { links, endpoint, connection, reader } = self.link;
        let at = links.now();
        let events = match self.direction {
            Direction::ToProxy => reader.borrow_mut().on_bytes_to_proxy(at, bytes),
            Direction::FromProxy | Direction::Both => reader.borrow_mut().on_bytes_from_proxy(at, bytes),
        };
        if !events.is_empty() {
            links.record(endpoint, connection, events);
        }
    }

    /// Whether the sender has closed its side behind what it has sent. Does not wait for more bytes from it.
    fn sender_has_closed(&self) -> bool {
        let stream: &TcpStream = self.from.as_ref();
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
