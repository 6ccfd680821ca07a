//! Orders over sockets: each arrives at most once, and none is sent after the loss of the role or after the timeout.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use mosshead_programs::stage_orders::{OrderMessage, send_order};
use mosshead_registry::Stage;
use mosshead_stage_scheduler::{AssignmentOutcome, StageAssignment};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(20), test).await.expect("ends in time");
    });
}

/// How a server reacts to an order.
#[derive(Clone, Copy, Debug)]
enum Reaction {
    /// Responds with this status.
    Respond(u16),
    /// Closes the connection once the order has arrived.
    Close,
    /// Never responds.
    NoResponse,
}

/// The complete orders that a server has received, as text.
type Orders = Rc<RefCell<Vec<String>>>;

async fn server(reaction: Reaction) -> (SocketAddrV4, Orders) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        panic!("loopback is IPv4 here")
    };
    let orders = Orders::default();
    let arrived = orders.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(connection(stream, reaction, arrived.clone()));
        }
    });
    (address, orders)
}

async fn connection(mut stream: TcpStream, reaction: Reaction, orders: Orders) {
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.unwrap_or(0) > 0 {
        // An order ends with its body.
        if !received.ends_with(b"}") {
            continue;
        }
        orders.borrow_mut().push(String::from_utf8_lossy(&received).into_owned());
        received.clear();
        match reaction {
            Reaction::Respond(status) => {
                let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(response.as_bytes()).await;
            }
            Reaction::Close => return,
            Reaction::NoResponse => {}
        }
    }
}

async fn send_test_order(address: SocketAddrV4, may_send: impl Fn() -> bool) -> AssignmentOutcome {
    let order = StageAssignment { instance_id: "i-1".into(), stage: Stage::Prefill };
    let message = OrderMessage { address, assignment: &order, owner: "node-7", fencing_token: 41 };
    send_order(&message, may_send).await
}

#[test]
fn an_order_has_the_documented_form() {
    run(async {
        let (address, orders) = server(Reaction::Respond(202)).await;
        assert_eq!(send_test_order(address, || true).await, AssignmentOutcome::Accepted);
        let text = format!(
            "POST /order HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\ncontent-length: 70\r\n\
             x-target-instance: i-1\r\n\r\n\
             {{\"opcode\":\"stage\",\"stage\":\"prefill\",\"owner\":\"node-7\",\"fence_token\":41}}"
        );
        assert_eq!(*orders.borrow(), [text]);
    });
}

#[test]
fn an_order_arrives_once_whatever_its_outcome() {
    run(async {
        for (reaction, outcome) in [
            (Reaction::Respond(200), AssignmentOutcome::Accepted),
            (Reaction::Respond(412), AssignmentOutcome::StaleFence),
            (Reaction::Respond(409), AssignmentOutcome::Unknown),
            (Reaction::Respond(421), AssignmentOutcome::Unknown),
            (Reaction::Close, AssignmentOutcome::Unknown),
            (Reaction::NoResponse, AssignmentOutcome::Unknown),
        ] {
            let (address, orders) = server(reaction).await;
            assert_eq!(send_test_order(address, || true).await, outcome, "{reaction:?}");
            assert_eq!(orders.borrow().len(), 1, "{reaction:?}");
        }
    });
}

/// Bytes received before the order was sent are not a response to it.
#[test]
fn a_response_before_the_request_is_ignored() {
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("bound") else { panic!("no IPv4") };
        let (sender, receiver) = std::sync::mpsc::channel();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            stream.write_all(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").expect("the peer reads");
            sender.send(()).expect("a listener");
            stream.set_read_timeout(Some(Duration::from_secs(2))).expect("an option");
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received);
            received
        });
        // `may_send` waits until the server has written its bytes.
        let outcome =
            send_test_order(address, || receiver.recv_timeout(Duration::from_secs(5)).is_ok()).await;
        assert_eq!(outcome, AssignmentOutcome::Unknown);
        tokio::task::yield_now().await;
        assert!(server.join().expect("the thread does not panic").is_empty(), "nothing was written");
    });
}

#[test]
fn an_order_is_not_sent_once_the_role_is_lost() {
    run(async {
        let (address, orders) = server(Reaction::Respond(202)).await;
        let checks = Cell::new(0);
        let outcome = send_test_order(address, || {
            checks.set(checks.get() + 1);
            false
        });
        assert_eq!((outcome.await, checks.get()), (AssignmentOutcome::Unknown, 1));
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(orders.borrow().is_empty());
    });
}

/// The process is suspended between the last check of its role and sending the order.
#[test]
fn an_order_is_not_sent_after_its_timeout() {
    run(async {
        let (address, orders) = server(Reaction::Respond(202)).await;
        let suspended = || {
            std::thread::sleep(Duration::from_millis(650));
            true
        };
        assert_eq!(send_test_order(address, suspended).await, AssignmentOutcome::Unknown);
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(orders.borrow().is_empty());
    });
}
