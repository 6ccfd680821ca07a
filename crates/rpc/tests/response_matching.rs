//! Each call gets its own response or none, and a call that must not be repeated arrives at most once, even if the peer
//! responds twice, late, with another id or not at all, or closes or resets the connection.

mod common;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use common::{Divide, LONG_TIMEOUT, ReceivedCall, SingleUse, address_of, run, take_call};
use mosshead_rpc::{Call, CallError, Caller, Transport};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A completely received call.
#[derive(Clone, Debug)]
struct Arrival {
    connection: usize,
    id: Option<String>,
    body: Vec<u8>,
}

/// How the peer reacts to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerAction {
    /// Sends the response.
    Respond,
    /// Sends the response twice, without a delay.
    RespondTwice,
    /// Sends the response, and sends it again when the first byte of the next call arrives.
    RespondTwiceDelayed,
    /// Sends the response with another id.
    OtherId,
    /// Sends the response without an id.
    NoId,
    /// Sends the response and closes the connection.
    RespondAndClose,
    /// Sends the response and resets the connection.
    RespondAndReset,
    /// Closes the connection when the call has arrived.
    Close,
    /// Resets the connection when the call has arrived.
    Reset,
    /// Sends nothing.
    Ignore,
    /// Sends the last byte of the response separately, then blocks the thread until the call has timed out, as if the
    /// process had been suspended.
    RespondAfterSuspension,
}

const ACTIONS: [PeerAction; 10] = [
    PeerAction::Respond,
    PeerAction::RespondTwice,
    PeerAction::RespondTwiceDelayed,
    PeerAction::OtherId,
    PeerAction::NoId,
    PeerAction::RespondAndClose,
    PeerAction::RespondAndReset,
    PeerAction::Close,
    PeerAction::Reset,
    PeerAction::Ignore,
];

/// A peer that performs `action(n)` for its n-th call.
struct Peer {
    address: SocketAddrV4,
    arrivals: RefCell<Vec<Arrival>>,
    action: Box<dyn Fn(usize) -> PeerAction>,
}

fn http_response(id: Option<&str>, body: &[u8]) -> Vec<u8> {
    let echo = id.map_or(String::new(), |id| format!("call-id: {id}\r\n"));
    let head = format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The response to `Divide` or `SingleUse`, computed from the call.
fn response_body(arrival: &Arrival) -> Vec<u8> {
    match minicbor::decode::<Divide>(&arrival.body) {
        Ok(call) => minicbor::to_vec(common::Quotient { quotient: call.number, remainder: call.by }),
        Err(_) => minicbor::to_vec(minicbor::decode::<SingleUse>(&arrival.body).expect("a call").number),
    }
    .expect("encodes")
}

impl Peer {
    async fn new(action: impl Fn(usize) -> PeerAction + 'static) -> Rc<Peer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = address_of(&listener);
        let peer = Rc::new(Peer { address, arrivals: RefCell::default(), action: Box::new(action) });
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
        let (mut received, mut delayed_copy) = (Vec::new(), None::<Vec<u8>>);
        while let Some(call) = read(&mut stream, &mut received, &mut delayed_copy).await {
            let index = self.arrivals.borrow().len();
            let arrival = Arrival { connection, id: call.id, body: call.body };
            self.arrivals.borrow_mut().push(arrival.clone());
            let action = (self.action)(index);
            let id = match action {
                PeerAction::OtherId => Some("0"),
                PeerAction::NoId => None,
                _ => arrival.id.as_deref(),
            };
            let response = http_response(id, &response_body(&arrival));
            match action {
                PeerAction::Close => return,
                PeerAction::Reset => return reset(&stream),
                PeerAction::Ignore => continue,
                PeerAction::RespondAfterSuspension => {
                    respond_after_suspension(&mut stream, &response).await;
                    continue;
                }
                _ => {}
            }
            let _ = stream.write_all(&response).await;
            match action {
                PeerAction::RespondTwice => drop(stream.write_all(&response).await),
                PeerAction::RespondTwiceDelayed => delayed_copy = Some(response),
                PeerAction::RespondAndClose => return,
                PeerAction::RespondAndReset => return reset(&stream),
                _ => {}
            }
        }
    }

    /// The number of complete arrivals of this call.
    fn count<C: Call>(&self, call: &C) -> usize {
        let body = minicbor::to_vec(call).expect("encodes");
        self.arrivals.borrow().iter().filter(|arrival| arrival.body == body).count()
    }

    fn connections(&self) -> Vec<usize> {
        self.arrivals.borrow().iter().map(|arrival| arrival.connection).collect()
    }
}

async fn respond_after_suspension(stream: &mut TcpStream, response: &[u8]) {
    let (first, last) = response.split_at(response.len() - 1);
    let _ = stream.write_all(first).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    let _ = stream.write_all(last).await;
    let resumed_at = std::time::Instant::now() + SHORT_TIMEOUT;
    while std::time::Instant::now() < resumed_at {
        std::thread::yield_now();
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads one call. Sends `delayed_copy` when the call's first byte has arrived.
async fn read(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    delayed_copy: &mut Option<Vec<u8>>,
) -> Option<ReceivedCall> {
    loop {
        if let Some(call) = take_call(received) {
            return Some(call);
        }
        if stream.read_buf(received).await.unwrap_or(0) == 0 {
            return None;
        }
        if let Some(delayed_copy) = delayed_copy.take() {
            let _ = stream.write_all(&delayed_copy).await;
        }
    }
}

const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

#[test]
fn each_call_gets_its_own_response_or_none() {
    run(async {
        for action in ACTIONS {
            let peer =
                Peer::new(move |index| if index % 2 == 0 { action } else { PeerAction::Respond }).await;
            let caller = Caller::new();
            for number in 0..6 {
                let call = Divide { number, by: 1000 + number };
                match caller.call(peer.address, &call, SHORT_TIMEOUT).await {
                    Ok(response) => {
                        assert_eq!(
                            (response.quotient, response.remainder),
                            (call.number, call.by),
                            "{action:?}"
                        );
                    }
                    Err(error) => assert!(
                        matches!(
                            error,
                            CallError::ConnectionLost
                                | CallError::Timeout
                                | CallError::Malformed
                                | CallError::ResponseMismatch
                        ),
                        "{action:?}: {error}"
                    ),
                }
            }
        }
    });
}

#[test]
fn a_call_that_must_not_be_repeated_arrives_once_on_idle_and_new_connections() {
    run(async {
        for action in ACTIONS {
            for is_idle in [true, false] {
                let first = usize::from(is_idle);
                let peer =
                    Peer::new(move |index| if index < first { PeerAction::Respond } else { action }).await;
                let caller = Caller::new();
                if is_idle {
                    assert!(
                        caller.call(peer.address, &Divide { number: 1, by: 2 }, LONG_TIMEOUT).await.is_ok()
                    );
                }
                for number in 10..14 {
                    let call = SingleUse { number };
                    if let Ok(response) = caller.call(peer.address, &call, SHORT_TIMEOUT).await {
                        assert_eq!(response, number, "{action:?}");
                    }
                    assert!(peer.count(&call) <= 1, "{action:?}: sent twice");
                }
            }
        }
    });
}

/// If a peer closes or resets an idle connection, no call is lost, and none arrives twice.
#[test]
fn a_connection_that_ended_unnoticed_costs_no_call() {
    run(async {
        for action in [PeerAction::RespondAndClose, PeerAction::RespondAndReset] {
            let peer = Peer::new(move |_| action).await;
            let caller = Caller::new();
            for number in 0..5 {
                assert_eq!(
                    caller.call(peer.address, &SingleUse { number }, LONG_TIMEOUT).await,
                    Ok(number),
                    "{action:?}"
                );
                assert_eq!(peer.count(&SingleUse { number }), 1);
                // Gives the end of the connection time to arrive.
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    });
}

#[test]
fn a_connection_with_a_mismatched_response_is_closed() {
    run(async {
        for action in [PeerAction::OtherId, PeerAction::NoId] {
            let peer = Peer::new(move |index| if index == 0 { action } else { PeerAction::Respond }).await;
            let caller = Caller::new();
            let response = caller.call(peer.address, &SingleUse { number: 1 }, LONG_TIMEOUT).await;
            assert_eq!(response, Err(CallError::ResponseMismatch), "{action:?}");
            assert_eq!(caller.call(peer.address, &SingleUse { number: 2 }, LONG_TIMEOUT).await, Ok(2));
            assert_eq!(peer.connections(), [0, 1]);
        }
    });
}

/// The last byte of the response waits in the kernel's buffer while the process is suspended, so the response may be
/// outdated.
#[test]
fn a_response_that_is_read_after_the_deadline_is_a_timeout() {
    run(async {
        let peer =
            Peer::new(
                |index| if index == 0 { PeerAction::RespondAfterSuspension } else { PeerAction::Respond },
            )
            .await;
        let caller = Caller::new();
        let (task_caller, address) = (caller.clone(), peer.address);
        // A separate task, which runs after the one that reads the connection.
        let call = spawn_local(async move {
            task_caller.call(address, &Divide { number: 1, by: 1 }, SHORT_TIMEOUT).await
        });
        assert_eq!(call.await.expect("the task does not panic"), Err(CallError::Timeout));
        assert!(caller.call(peer.address, &Divide { number: 2, by: 1 }, LONG_TIMEOUT).await.is_ok());
        assert_eq!(peer.connections(), [0, 1]);
    });
}
