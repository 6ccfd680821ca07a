//! Orders on sockets: each arrives once at most, and none after its holder has lost its place or its time.

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
        timeout(Duration::from_secs(20), test).await.expect("in time");
    });
}

/// What a server does with an order.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// An answer of this status.
    Answer(u16),
    /// The connection ends once the order is there.
    Close,
    /// Nothing.
    Silence,
}

/// The orders that arrived whole, as text.
type Orders = Rc<RefCell<Vec<String>>>;

async fn server(act: Act) -> (SocketAddrV4, Orders) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        panic!("loopback is IPv4 here")
    };
    let orders = Orders::default();
    let taken = orders.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(connection(stream, act, taken.clone()));
        }
    });
    (address, orders)
}

async fn connection(mut stream: TcpStream, act: Act, orders: Orders) {
    let mut got = Vec::new();
    while stream.read_buf(&mut got).await.unwrap_or(0) > 0 {
        // An order ends with its body.
        if !got.ends_with(b"}") {
            continue;
        }
        orders.borrow_mut().push(String::from_utf8_lossy(&got).into_owned());
        got.clear();
        match act {
            Act::Answer(status) => {
                let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(answer.as_bytes()).await;
            }
            Act::Close => return,
            Act::Silence => {}
        }
    }
}

async fn sent(address: SocketAddrV4, may_send: impl Fn() -> bool) -> AssignmentOutcome {
    let order = StageAssignment { instance_id: "i-1".into(), stage: Stage::Prefill };
    let message = OrderMessage { address, assignment: &order, owner: "node-7", fencing_token: 41 };
    send_order(&message, may_send).await
}

#[test]
fn an_order_looks_like_this() {
    run(async {
        let (address, orders) = server(Act::Answer(202)).await;
        assert_eq!(sent(address, || true).await, AssignmentOutcome::Accepted);
        let text = format!(
            "POST /order HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\ncontent-length: 70\r\n\
             x-target-instance: i-1\r\n\r\n\
             {{\"opcode\":\"stage\",\"stage\":\"prefill\",\"owner\":\"node-7\",\"fence_token\":41}}"
        );
        assert_eq!(*orders.borrow(), [text]);
    });
}

#[test]
fn whatever_comes_of_an_order_it_arrives_once() {
    run(async {
        for (act, answer) in [
            (Act::Answer(200), AssignmentOutcome::Accepted),
            (Act::Answer(412), AssignmentOutcome::StaleFence),
            (Act::Answer(409), AssignmentOutcome::Unknown),
            (Act::Answer(421), AssignmentOutcome::Unknown),
            (Act::Close, AssignmentOutcome::Unknown),
            (Act::Silence, AssignmentOutcome::Unknown),
        ] {
            let (address, orders) = server(act).await;
            assert_eq!(sent(address, || true).await, answer, "{act:?}");
            assert_eq!(orders.borrow().len(), 1, "{act:?}");
        }
    });
}

/// What came before the order is no answer to it.
#[test]
fn an_answer_that_was_not_asked_for_is_none() {
    run(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let SocketAddr::V4(address) = listener.local_addr().expect("bound") else { panic!("no IPv4") };
        let (tells, told) = std::sync::mpsc::channel();
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            stream.write_all(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n").expect("room");
            tells.send(()).expect("a listener");
            stream.set_read_timeout(Some(Duration::from_secs(2))).expect("an option");
            let mut got = Vec::new();
            let _ = stream.read_to_end(&mut got);
            got
        });
        // The bytes are there before the order leaves.
        let answer = sent(address, || told.recv_timeout(Duration::from_secs(5)).is_ok()).await;
        assert_eq!(answer, AssignmentOutcome::Unknown);
        tokio::task::yield_now().await;
        assert!(server.join().expect("no fault").is_empty(), "nothing was written");
    });
}

#[test]
fn an_order_does_not_leave_once_its_place_is_lost() {
    run(async {
        let (address, orders) = server(Act::Answer(202)).await;
        let asked = Cell::new(0);
        let answer = sent(address, || {
            asked.set(asked.get() + 1);
            false
        });
        assert_eq!((answer.await, asked.get()), (AssignmentOutcome::Unknown, 1));
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(orders.borrow().is_empty());
    });
}

/// The machine is frozen between the last look at its place and the first byte.
#[test]
fn an_order_whose_time_is_over_does_not_leave() {
    run(async {
        let (address, orders) = server(Act::Answer(202)).await;
        let frozen = || {
            std::thread::sleep(Duration::from_millis(650));
            true
        };
        assert_eq!(sent(address, frozen).await, AssignmentOutcome::Unknown);
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(orders.borrow().is_empty());
    });
}
