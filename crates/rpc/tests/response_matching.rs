//! Each call gets its own answer or none, and what may not be repeated arrives once: against a peer that answers twice,
//! late, under another id, not at all, closes or resets.

mod common;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use common::{Divide, LONG, Once, address_of, run};
use mosshead_rpc::{Call, CallError, Caller};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A call that arrived with its last byte.
#[derive(Clone, Debug)]
struct Arrival {
    connection: usize,
    id: Option<String>,
    body: Vec<u8>,
}

/// What the peer does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// The answer, and nothing more.
    Answer,
    /// The answer twice, at once.
    Doubled,
    /// The answer, and once more as soon as the next call is on its way.
    DoubledLate,
    /// The answer under another id.
    OtherId,
    /// The answer without an id.
    NoId,
    /// The answer, and the connection ends.
    AnswerAndClose,
    /// The answer, and the connection is reset.
    AnswerAndReset,
    /// The connection ends once the call is there.
    Close,
    /// The connection is reset once the call is there.
    Reset,
    /// Nothing.
    Silence,
    /// All but the last byte of the answer, and then that byte and nothing that runs on this machine until the call is
    /// overdue, as if it had been frozen.
    Frozen,
}

const ACTS: [Act; 10] = [
    Act::Answer,
    Act::Doubled,
    Act::DoubledLate,
    Act::OtherId,
    Act::NoId,
    Act::AnswerAndClose,
    Act::AnswerAndReset,
    Act::Close,
    Act::Reset,
    Act::Silence,
];

/// A peer whose n-th call is dealt with by what `act` says of n.
struct Peer {
    address: SocketAddrV4,
    arrivals: RefCell<Vec<Arrival>>,
    act: Box<dyn Fn(usize) -> Act>,
}

fn response(id: Option<&str>, body: &[u8]) -> Vec<u8> {
    let echo = id.map_or(String::new(), |id| format!("call-id: {id}\r\n"));
    let head = format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The answer to `Divide` and to `Once`: made of the call itself.
fn own(arrival: &Arrival) -> Vec<u8> {
    match minicbor::decode::<Divide>(&arrival.body) {
        Ok(call) => minicbor::to_vec(common::Quotient { whole: call.number, rest: call.by }),
        Err(_) => minicbor::to_vec(minicbor::decode::<Once>(&arrival.body).expect("a call").number),
    }
    .expect("it encodes")
}

impl Peer {
    async fn new(act: impl Fn(usize) -> Act + 'static) -> Rc<Peer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = address_of(&listener);
        let peer = Rc::new(Peer { address, arrivals: RefCell::default(), act: Box::new(act) });
        let serving = Rc::clone(&peer);
        spawn_local(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                spawn_local(Rc::clone(&serving).connection(stream, connection));
            }
        });
        peer
    }

    async fn connection(self: Rc<Peer>, mut stream: TcpStream, connection: usize) {
        let (mut got, mut late) = (Vec::new(), None::<Vec<u8>>);
        while let Some((id, body)) = read(&mut stream, &mut got, &mut late).await {
            let place = self.arrivals.borrow().len();
            let arrival = Arrival { connection, id, body };
            self.arrivals.borrow_mut().push(arrival.clone());
            let act = (self.act)(place);
            let id = match act {
                Act::OtherId => Some("0"),
                Act::NoId => None,
                _ => arrival.id.as_deref(),
            };
            let answer = response(id, &own(&arrival));
            match act {
                Act::Close => return,
                Act::Reset => return reset(&stream),
                Act::Silence => continue,
                Act::Frozen => {
                    freeze(&mut stream, &answer).await;
                    continue;
                }
                _ => {}
            }
            let _ = stream.write_all(&answer).await;
            match act {
                Act::Doubled => drop(stream.write_all(&answer).await),
                Act::DoubledLate => late = Some(answer),
                Act::AnswerAndClose => return,
                Act::AnswerAndReset => return reset(&stream),
                _ => {}
            }
        }
    }

    /// How often a call of this number arrived whole.
    fn count<C: Call>(&self, call: &C) -> usize {
        let body = minicbor::to_vec(call).expect("it encodes");
        self.arrivals.borrow().iter().filter(|arrival| arrival.body == body).count()
    }

    fn connections(&self) -> Vec<usize> {
        self.arrivals.borrow().iter().map(|arrival| arrival.connection).collect()
    }
}

async fn freeze(stream: &mut TcpStream, answer: &[u8]) {
    let (first, last) = answer.split_at(answer.len() - 1);
    let _ = stream.write_all(first).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    let _ = stream.write_all(last).await;
    let thawed = std::time::Instant::now() + SHORT;
    while std::time::Instant::now() < thawed {
        std::thread::yield_now();
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads one call; `late` goes out as its first byte is there.
async fn read(
    stream: &mut TcpStream,
    got: &mut Vec<u8>,
    late: &mut Option<Vec<u8>>,
) -> Option<(Option<String>, Vec<u8>)> {
    loop {
        if let Some(head) = got.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8(got[..head].to_vec()).expect("text");
            let of = |name: &str| text.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
            let end = head + 4 + of("content-length: ").map_or(0, |length| length.parse().expect("a number"));
            if got.len() >= end {
                let body = got[head + 4..end].to_vec();
                got.drain(..end);
                return Some((of("call-id: "), body));
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

const SHORT: Duration = Duration::from_millis(150);

#[test]
fn each_call_gets_its_own_answer_or_none() {
    run(async {
        for act in ACTS {
            let peer = Peer::new(move |place| if place % 2 == 0 { act } else { Act::Answer }).await;
            let caller = Caller::new();
            for number in 0..6 {
                let call = Divide { number, by: 1000 + number };
                match caller.call(peer.address, &call, SHORT).await {
                    Ok(answer) => assert_eq!((answer.whole, answer.rest), (call.number, call.by), "{act:?}"),
                    Err(fault) => assert!(
                        matches!(
                            fault,
                            CallError::ConnectionLost
                                | CallError::Timeout
                                | CallError::Malformed
                                | CallError::ResponseMismatch
                        ),
                        "{act:?}: {fault}"
                    ),
                }
            }
        }
    });
}

#[test]
fn a_call_that_may_not_be_repeated_arrives_once_on_kept_and_new_connections() {
    run(async {
        for act in ACTS {
            for kept in [true, false] {
                let first = usize::from(kept);
                let peer = Peer::new(move |place| if place < first { Act::Answer } else { act }).await;
                let caller = Caller::new();
                if kept {
                    assert!(caller.call(peer.address, &Divide { number: 1, by: 2 }, LONG).await.is_ok());
                }
                for number in 10..14 {
                    let call = Once { number };
                    if let Ok(answer) = caller.call(peer.address, &call, SHORT).await {
                        assert_eq!(answer, number, "{act:?}");
                    }
                    assert!(peer.count(&call) <= 1, "{act:?}: sent twice");
                }
            }
        }
    });
}

/// What a peer has closed or reset while the connection was idle costs no call, and none arrives twice.
#[test]
fn a_connection_that_ended_unseen_costs_no_call() {
    run(async {
        for act in [Act::AnswerAndClose, Act::AnswerAndReset] {
            let peer = Peer::new(move |_| act).await;
            let caller = Caller::new();
            for number in 0..5 {
                assert_eq!(caller.call(peer.address, &Once { number }, LONG).await, Ok(number), "{act:?}");
                assert_eq!(peer.count(&Once { number }), 1);
                // The end of the connection is on its way.
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    });
}

#[test]
fn a_connection_on_which_another_s_answer_came_is_closed() {
    run(async {
        for act in [Act::OtherId, Act::NoId] {
            let peer = Peer::new(move |place| if place == 0 { act } else { Act::Answer }).await;
            let caller = Caller::new();
            let answer = caller.call(peer.address, &Once { number: 1 }, LONG).await;
            assert_eq!(answer, Err(CallError::ResponseMismatch), "{act:?}");
            assert_eq!(caller.call(peer.address, &Once { number: 2 }, LONG).await, Ok(2));
            assert_eq!(peer.connections(), [0, 1]);
        }
    });
}

/// The end of the answer lay in the kernel while this process was frozen: what it says may be long out of date.
#[test]
fn an_answer_that_is_read_after_its_time_is_none() {
    run(async {
        let peer = Peer::new(|place| if place == 0 { Act::Frozen } else { Act::Answer }).await;
        let caller = Caller::new();
        let (calling, address) = (caller.clone(), peer.address);
        // A task of its own: it runs behind the one that reads the connection.
        let call =
            spawn_local(async move { calling.call(address, &Divide { number: 1, by: 1 }, SHORT).await });
        assert_eq!(call.await.expect("an end"), Err(CallError::Timeout));
        assert!(caller.call(peer.address, &Divide { number: 2, by: 1 }, LONG).await.is_ok());
        assert_eq!(peer.connections(), [0, 1]);
    });
}
