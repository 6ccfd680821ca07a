//! A model server that answers too often, too late or not at all, and counts what reached it whole.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use mosshead_registry::{Server, Stage};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::common::{SEAL, server};

/// A request that arrived with its last byte.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Connections count from 0.
    pub connection: usize,
    /// Its place among all requests of clients at this server, from 0; own calls of the proxy don't count.
    pub number: usize,
    pub method: String,
    pub path: String,
    pub head: String,
}

impl Arrival {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    pub fn id(&self) -> Option<&str> {
        self.header("x-attempt-id")
    }

    /// The proxy asks on its own account, not for a client.
    pub fn is_own_call(&self) -> bool {
        self.path == "/report" || self.path.starts_with("/kv-handle/")
    }
}

/// What follows behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aftermath {
    /// Nothing.
    Quiet,
    /// The same answer again, at once.
    Doubled,
    /// The same answer again, as soon as the first byte of the next request is there.
    DoubledLate,
    /// The connection ends in good order.
    Closes,
    /// The connection is reset.
    Resets,
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// These bytes, and what follows.
    Bytes(Vec<u8>, Aftermath),
    /// Half of these bytes, and then the rest at once with nothing on this machine running for so long, as if it had
    /// been frozen.
    Frozen(Vec<u8>, Duration),
    /// The connection ends without an answer, in good order.
    Close,
    /// The connection is reset without an answer.
    Reset,
    /// No answer, and the connection stays.
    Silence,
}

/// An answer with the echo of the request's id, if it has one.
pub fn answer(status: u16, id: Option<&str>, more: &str, body: &str) -> Vec<u8> {
    let echo = id.map_or(String::new(), |id| format!("X-Attempt-Id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{echo}{more}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The success that belongs to this request and no other.
pub fn own_answer(arrival: &Arrival) -> Vec<u8> {
    let body = format!("for {}", arrival.id().unwrap_or("none"));
    answer(200, arrival.id(), &format!("X-Server-Seal: {SEAL}\r\n"), &body)
}

/// A server that did not run the request.
pub fn never_ran(arrival: &Arrival) -> Vec<u8> {
    answer(503, arrival.id(), "X-Not-Executed: 1\r\n", "")
}

type Script = Box<dyn Fn(&Arrival) -> Reply>;

pub struct Hostile {
    pub server: Server,
    script: Script,
    arrivals: RefCell<Vec<Arrival>>,
    connections: Cell<usize>,
}

async fn bound() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    match listener.local_addr().expect("bound") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => panic!("loopback is IPv4 here"),
    }
}

impl Hostile {
    pub async fn new(
        id: &str,
        service: &str,
        stage: Option<Stage>,
        script: impl Fn(&Arrival) -> Reply + 'static,
    ) -> Rc<Self> {
        let (listener, address) = bound().await;
        let hostile = Rc::new(Self {
            server: server(id, service, stage, address),
            script: Box::new(script),
            arrivals: RefCell::default(),
            connections: Cell::new(0),
        });
        let serving = hostile.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().connection(stream));
            }
        });
        hostile
    }

    async fn connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = self.connections.replace(self.connections.get() + 1);
        let (mut got, mut late) = (Vec::new(), None::<Vec<u8>>);
        loop {
            let Some((head, end)) = request(&mut stream, &mut got, &mut late).await else { return };
            got.drain(..end);
            let arrival = self.arrived(connection, head);
            match (self.script)(&arrival) {
                Reply::Bytes(bytes, aftermath) => {
                    let _ = stream.write_all(&bytes).await;
                    match aftermath {
                        Aftermath::Quiet => {}
                        Aftermath::Doubled => drop(stream.write_all(&bytes).await),
                        Aftermath::DoubledLate => late = Some(bytes),
                        Aftermath::Closes => return,
                        Aftermath::Resets => return reset(stream),
                    }
                }
                Reply::Frozen(bytes, span) => {
                    let (first, rest) = bytes.split_at(bytes.len() - 2);
                    let _ = stream.write_all(first).await;
                    turns(5).await;
                    let _ = stream.write_all(rest).await;
                    let thawed = std::time::Instant::now() + span;
                    while std::time::Instant::now() < thawed {
                        std::thread::yield_now();
                    }
                }
                Reply::Close => return,
                Reply::Reset => return reset(stream),
                Reply::Silence => {}
            }
        }
    }

    fn arrived(&self, connection: usize, head: String) -> Arrival {
        let mut words = head.split(' ').map(str::to_owned);
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let number = self.requests().len();
        let arrival = Arrival { connection, number, method, path, head };
        self.arrivals.borrow_mut().push(arrival.clone());
        arrival
    }

    /// All that arrived whole.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.borrow().clone()
    }

    /// The requests of clients that arrived whole.
    pub fn requests(&self) -> Vec<Arrival> {
        self.arrivals().into_iter().filter(|arrival| !arrival.is_own_call()).collect()
    }

    /// How often a request of this id arrived whole.
    pub fn count(&self, id: &str) -> usize {
        self.requests().iter().filter(|arrival| arrival.id() == Some(id)).count()
    }

    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

/// Reads one request; `late` goes out as its first byte is there. The head, and where the request ends.
async fn request(
    stream: &mut TcpStream,
    got: &mut Vec<u8>,
    late: &mut Option<Vec<u8>>,
) -> Option<(String, usize)> {
    loop {
        if let Some(head) = got.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8(got[..head].to_vec()).ok()?;
            let length = text.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let end = head + 4 + length.unwrap_or(0);
            if got.len() >= end {
                return Some((text, end));
            }
        }
        if stream.read_buf(got).await.unwrap_or(0) == 0 {
            return None;
        }
        if let Some(late) = late.take() {
            let _ = stream.write_all(&late).await;
        }
    }
}

/// The other side finds its connection reset.
fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Lets all else that can go on do so, until `done` or a bound.
pub async fn until(done: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if done() {
            return;
        }
        turns(1).await;
    }
}

/// Lets the runtime read its sockets so many times.
pub async fn turns(count: u32) {
    for _ in 0..count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
