//! The booking servers' side: a listener for each proxy and address, and a task for each connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use mosshead_world::events::AttemptOutcome;
use mosshead_world::scenario::LinkKind;
use mosshead_world::server::LoadReport;
use mosshead_world::{ConnectionId, Handshake, Input};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::{AbortHandle, spawn_local};

use crate::clients::answer_body;
use crate::harness::{Say, Stage};
use crate::http::{Came, Message, Wire, answer};
use crate::proxy_links::Place;

/// What is done at an address for one proxy.
enum Door {
    Open(AbortHandle),
    /// Nothing comes up there: the queue of connections is full, and these keep it so.
    Silent {
        _queue: Socket,
        _fill: Vec<Socket>,
    },
    Shut,
}

/// All addresses of booking servers.
pub(crate) struct Servers {
    proxies: usize,
    doors: RefCell<HashMap<(usize, u32), Door>>,
    places: RefCell<HashMap<(usize, u32), SocketAddr>>,
    seen: Cell<u64>,
}

impl Servers {
    pub(crate) fn new(proxies: usize) -> Self {
        Self { proxies, doors: RefCell::default(), places: RefCell::default(), seen: Cell::new(u64::MAX) }
    }

    /// Where an address is for a proxy.
    pub(crate) fn place(&self, proxy: usize, address: u32) -> SocketAddr {
        let nowhere = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
        self.places.borrow().get(&(proxy, address)).copied().unwrap_or(nowhere)
    }
}

/// The addresses of one day. Days that are played side by side by one program must not take each other's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lane(u8);

/// So many days have addresses of their own.
const LANES: u8 = 16;

impl Lane {
    pub(crate) fn next() -> Self {
        static DAYS: AtomicU8 = AtomicU8::new(0);
        Self(DAYS.fetch_add(1, Ordering::Relaxed) % LANES)
    }

    /// Each proxy sees a server at an address of its own, so that one knows who connects.
    pub(crate) fn host(self, proxy: usize, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 64 + 2 * self.0 + (proxy / 250) as u8, (proxy % 250) as u8 + 1, last)
    }
}

/// Opens and shuts doors as the world has it now.
pub(crate) fn follow(stage: &Rc<Stage>) {
    let (topology, addresses) = stage.world(|world| (world.topology_version(), world.address_count()));
    if stage.servers.seen.replace(topology) == topology {
        return;
    }
    stage.reach.send_modify(|changes| *changes += 1);
    for address in 0..addresses {
        let who = stage.world(|world| world.listener_at(address));
        for proxy in 0..stage.servers.proxies {
            let who = who.map(|(server, cut)| {
                let reached = stage.world(|world| {
                    world.link_connects(proxy, LinkKind::Server, Some(world.server_traits(server).zone))
                });
                (server, cut || !reached)
            });
            let mut doors = stage.servers.doors.borrow_mut();
            let door = doors.entry((proxy, address)).or_insert(Door::Shut);
            match (who, &*door) {
                (None, Door::Shut)
                | (Some((_, false)), Door::Open(_))
                | (Some((_, true)), Door::Silent { .. }) => {}
                (wanted, _) => {
                    if let Door::Open(task) = &*door {
                        task.abort();
                    }
                    // The old socket goes before the new one takes its place.
                    *door = Door::Shut;
                    *door = match wanted {
                        None => Door::Shut,
                        Some((_, false)) => open(stage, proxy, address),
                        Some((_, true)) => silence(stage, proxy, address),
                    };
                }
            }
        }
    }
}

/// Listens at a place, also where others listened before.
pub(crate) fn listen(place: SocketAddr, backlog: i32) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&place.into())?;
    socket.listen(backlog)?;
    Ok(socket)
}

fn bind(stage: &Stage, proxy: usize, address: u32, backlog: i32) -> std::io::Result<Socket> {
    let place = stage.servers.places.borrow().get(&(proxy, address)).copied();
    let fresh = SocketAddr::new(IpAddr::V4(stage.lane.host(proxy, (address % 250) as u8 + 1)), 0);
    let socket = listen(place.unwrap_or(fresh), backlog)?;
    if let Some(place) = socket.local_addr()?.as_socket() {
        stage.servers.places.borrow_mut().insert((proxy, address), place);
    }
    Ok(socket)
}

fn open(stage: &Rc<Stage>, proxy: usize, address: u32) -> Door {
    let listener = bind(stage, proxy, address, 1024).and_then(|socket| TcpListener::from_std(socket.into()));
    let Ok(listener) = listener else { return Door::Shut };
    let stage = stage.clone();
    let accept = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(accepted(stage.clone(), proxy, address, stream))),
                // Descriptors are short: whoever connects waits.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    Door::Open(spawn_local(accept).abort_handle())
}

async fn accepted(stage: Rc<Stage>, proxy: usize, address: u32, stream: TcpStream) {
    let server = stage.world(|world| world.listener_at(address).map(|(server, _)| server));
    let zone = server.map(|server| stage.world(|world| world.server_traits(server).zone));
    let address_there = stage.servers.place(proxy, address);
    let place = Place { way: LinkKind::Server, proxy, server, zone, address: address_there };
    if let Ok(stream) = stage.between.through(place, stream).await {
        connection(stage, proxy, address, stream).await;
    }
}

/// A machine that says nothing: once the queue of a listener is full, the kernel drops what comes.
fn silence(stage: &Rc<Stage>, proxy: usize, address: u32) -> Door {
    let Ok(queue) = bind(stage, proxy, address, 0) else { return Door::Shut };
    let place = stage.servers.place(proxy, address);
    Door::Silent { _fill: fill(place), _queue: queue }
}

/// A place that says nothing, for as long as this is held.
pub(crate) fn mute(place: SocketAddr) -> std::io::Result<(Socket, Vec<Socket>)> {
    let queue = listen(place, 0)?;
    Ok((queue, fill(place)))
}

/// Connections that nobody accepts.
fn fill(place: SocketAddr) -> Vec<Socket> {
    let one = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // It is under way: whether it comes up does not matter.
        let _ = socket.connect(&place.into());
        Some(socket)
    };
    (0..4).filter_map(one).collect()
}

async fn connection(stage: Rc<Stage>, proxy: usize, address: u32, stream: TcpStream) {
    let conn = ConnectionId(stage.number());
    let (tell, mut told) = unbounded_channel();
    stage.conns.borrow_mut().insert(conn, tell);
    stage.input(Input::ConnectionOpened {
        connection: conn,
        proxy,
        address,
        handshake: Handshake::DoneByKernel,
    });
    let mut wire = Wire::new(stream);
    let by_us = speak(&stage, proxy, conn, &mut wire, &mut told).await;
    stage.conns.borrow_mut().remove(&conn);
    if by_us {
        // A process that dies resets its connections.
        let _ = SockRef::from(&wire.stream).set_linger(Some(Duration::ZERO));
    } else {
        stage.input(Input::ConnectionClosed { connection: conn });
    }
}

/// Carries one message after the other; true if this side ends the connection.
async fn speak(
    stage: &Rc<Stage>,
    proxy: usize,
    conn: ConnectionId,
    wire: &mut Wire,
    told: &mut UnboundedReceiver<Say>,
) -> bool {
    loop {
        let message = tokio::select! {
            biased;
            say = told.recv() => match say {
                Some(Say::Reset) | None => return true,
                Some(_) => continue,
            },
            came = wire.read(false) => match came {
                Came::Message(message) => message,
                Came::Closed | Came::Broken => return false,
            },
        };
        let reply = match take(stage, proxy, conn, &message) {
            Taken::Probe | Taken::Request => tokio::select! {
                biased;
                say = told.recv() => match say {
                    Some(Say::Reset) | None => return true,
                    Some(Say::Probed(report)) => answer(200, "", load(&report).as_bytes()),
                    Some(Say::Answer(job, verdict, report)) => {
                        encode(verdict, &report, &answer_body(stage.seed, job), conn)
                    }
                },
                // One request at a time: what comes meanwhile is the end, or a fault of the proxy.
                stirs = wire.stirs() => {
                    if stirs {
                        stage.fault(proxy, "a second request on a connection with one under way");
                    }
                    return false;
                }
            },
            Taken::No(status) => answer(status, "", b""),
        };
        // An answer that breaks off in the middle of its body is the last on its connection.
        let breaks = reply.ends_with(HALF);
        if wire.write(&reply).await.is_err() || breaks {
            return false;
        }
    }
}

/// What there is of the body of an answer that breaks off.
const HALF: &[u8] = b"half of it, and then";

enum Taken {
    Probe,
    Request,
    No(u16),
}

fn take(stage: &Rc<Stage>, proxy: usize, conn: ConnectionId, message: &Message) -> Taken {
    if matches!(message.target.as_str(), "/ping" | "/_load") {
        if !stage.world(|world| world.scenario().proxy.allows_probes) {
            return Taken::No(404);
        }
        stage.input(Input::ProbeSent { connection: conn, number: conn.0 });
        return Taken::Probe;
    }
    let Some(id) = message.header("x-correlation-id") else { return Taken::No(404) };
    let Some((job, intact)) = stage.clients.sent(proxy, id, message) else {
        stage.fault(proxy, "a request whose id no client sent");
        return Taken::No(400);
    };
    stage.input(Input::AttemptStarted { connection: conn, request: job });
    stage.input(Input::AttemptWritten { connection: conn, request: job, is_intact: intact });
    Taken::Request
}

fn load(report: &LoadReport) -> String {
    let LoadReport { requests_per_second: qps, in_flight, queued: queue, utilization: util, .. } = report;
    format!("qps={qps:.1},inflight={in_flight:.0},queue={queue:.0},util={util:.3}")
}

fn encode(verdict: AttemptOutcome, report: &LoadReport, body: &[u8], conn: ConnectionId) -> Vec<u8> {
    let load = format!("X-Backend-Load: {}\r\n", load(report));
    match verdict {
        AttemptOutcome::Served => answer(200, &load, body),
        AttemptOutcome::Errored | AttemptOutcome::Reset => answer(500, &load, b""),
        AttemptOutcome::Rejected => answer(503, &format!("{load}X-Unprocessed: 1\r\n"), b""),
        AttemptOutcome::Corrupted => match conn.0 % 5 {
            0 => b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec(),
            1 => [b"HTTP/1.1 200 X\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\n", body].concat(),
            2 => b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nmuch".to_vec(),
            3 => [b"HTTP/1.1 200 X\r\nContent-Length: 400\r\n\r\n", HALF].concat(),
            _ => b"HTTP/1.1 20".to_vec(),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the silent machine: connections to it never come up, where a closed port would refuse at once.
    #[test]
    fn a_full_queue_lets_nothing_come_up() {
        let queue = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        queue.bind(&SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0).into()).expect("a port");
        queue.listen(0).expect("listening");
        let place = queue.local_addr().ok().and_then(|place| place.as_socket()).expect("a place");
        let _fill = fill(place);
        let error = std::net::TcpStream::connect_timeout(&place, Duration::from_millis(300));
        assert_eq!(error.expect_err("nothing comes up").kind(), std::io::ErrorKind::TimedOut);
    }
}
