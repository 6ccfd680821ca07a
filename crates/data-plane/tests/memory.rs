//! The memory budget for bodies: its bound holds, and every way in which a request ends releases its reservation.

mod common;

use std::rc::Rc;

use common::{
    Behavior, GRACE, HOST, IDEMPOTENT, NON_IDEMPOTENT, Proxy, RawConnection, StubServer, advance_clock,
    ok_response, run, send_request,
};
use mosshead_data_plane::{BodyKind, MemoryBudget, MemoryReservation};
use mosshead_time::Duration;
use quickcheck::quickcheck;
use tokio::task::yield_now;

const LIMIT: usize = 1 << 20;
/// The size of a large body.
const LARGE: usize = 64 * 1024 + 1;
/// The bytes of a budget of [`SMALL_BUDGET`] that one large body of [`MAX_BODY`] bytes takes up.
const MAX_BODY: usize = 65_536;
/// A budget with room for one body of [`MAX_BODY`] bytes and not for two.
const SMALL_BUDGET: usize = 100_000;
/// Longer than the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(16);

/// How often the proxy checks that a body's sender makes progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Enough bytes for a sender that makes progress.
const PROGRESS_BYTES: usize = 4096;

/// Plays one step on the open reservations.
fn play_step(
    open: &mut Vec<bytes::Bytes>,
    growing: &mut Vec<MemoryReservation>,
    budget: &MemoryBudget,
    step: (u8, u32),
) {
    let (action, size) = (step.0, step.1 as usize % (2 * LARGE));
    match action % 8 {
        0 => growing.extend(budget.try_reserve(BodyKind::Request, size)),
        1 => growing.extend(budget.try_reserve(BodyKind::Response, size)),
        2 => drop(growing.last_mut().map(|reservation| reservation.try_grow_to(size))),
        3 => drop(growing.last_mut().map(|reservation| reservation.shrink_to(size))),
        4 => open
            .extend(growing.pop().map(|reservation| reservation.attach(bytes::Bytes::from_static(b"body")))),
        5 => drop(growing.last_mut().map(|reservation| reservation.keep(size % 2 == 0, budget.refusals()))),
        6 => {
            let part = growing.last_mut().map(|reservation| reservation.split_off(size));
            growing.extend(part);
        }
        _ => drop(if size % 2 == 0 { growing.pop().map(drop) } else { open.pop().map(drop) }),
    }
}

quickcheck! {
    /// For any sequence of reservations, growth, release and cancellation.
    fn the_budget_never_passes_its_limit_and_returns_to_zero(steps: Vec<(u8, u32)>) -> bool {
        let budget = MemoryBudget::new(LIMIT);
        let (mut open, mut growing) = (Vec::new(), Vec::new());
        let mut holds = true;
        for step in steps.iter().cycle().take(steps.len() * 8) {
            play_step(&mut open, &mut growing, &budget, *step);
            holds &= budget.used() <= budget.limit();
        }
        let copies = open.clone();
        drop((open, growing));
        let held_by_copies = budget.used() > 0;
        let had_copies = !copies.is_empty();
        drop(copies);
        let is_released = budget.used() == 0 && budget.used_by_kind().stalled == 0;
        holds && is_released && (had_copies || !held_by_copies)
    }
}

/// Small requests must not starve beside large ones, nor responses beside requests.
#[test]
fn large_requests_leave_memory_to_small_ones_and_these_to_responses() {
    let budget = MemoryBudget::new(16 * LIMIT);
    let fill = |kind, size| std::iter::from_fn(|| budget.try_reserve(kind, size)).collect::<Vec<_>>();
    let large = fill(BodyKind::Request, LARGE);
    let small = fill(BodyKind::Request, 1000);
    let responses = fill(BodyKind::Response, LARGE);
    assert!(!large.is_empty() && small.len() > 1000 && !responses.is_empty());
    drop((large, small, responses));
    assert_eq!(budget.used(), 0);
}

async fn small_proxy(behavior: Behavior) -> (Proxy, Rc<StubServer>) {
    let stub = StubServer::start("s-1", "plain", None, move |_| behavior.clone()).await;
    let proxy = Proxy::with_memory(SMALL_BUDGET).await.configured(&[&stub.server]);
    (proxy, stub)
}

fn head(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n{framing}\r\n\r\n")
}

/// Opens a connection whose request reserves `MAX_BODY` bytes and sends only a part of them.
async fn reserve_and_stall(proxy: &Proxy) -> RawConnection {
    let used_before = proxy.data_plane.memory().used();
    let mut connection = RawConnection::open(proxy.address).await;
    connection.send(&head(IDEMPOTENT, &format!("Content-Length: {MAX_BODY}"))).await;
    connection.send("a part").await;
    while proxy.data_plane.memory().used() == used_before {
        yield_now().await;
    }
    connection
}

async fn wait_until_released(proxy: &Proxy) {
    while proxy.data_plane.memory().used() > 0 {
        yield_now().await;
    }
}

/// Guards against bodies on their way that count in no bound, so that many at once exceed the memory of the process.
#[test]
fn a_body_that_does_not_fit_is_rejected_before_it_is_read_and_the_connection_stays_usable() {
    run(async {
        let (proxy, stub) = small_proxy(ok_response("served")).await;
        let stalled = reserve_and_stall(&proxy).await;
        let mut connection = RawConnection::open(proxy.address).await;
        connection.send(&head(IDEMPOTENT, &format!("Content-Length: {MAX_BODY}"))).await;
        let rejection = connection.read_head().await;
        assert!(rejection.starts_with("HTTP/1.1 503 ") && rejection.contains("retry-after: "), "{rejection}");
        connection.send(&"x".repeat(MAX_BODY)).await;
        // A small request is served beside the large one, on the same connection.
        connection.send(&head(IDEMPOTENT, "Content-Length: 2")).await;
        connection.send("ok").await;
        let response = connection.read_head().await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        assert_eq!(stub.received().len(), 1);
        assert!(proxy.data_plane.memory().used() >= MAX_BODY, "the stalled request keeps its reservation");
        drop(stalled);
        drop(connection);
        wait_until_released(&proxy).await;
    });
}

#[test]
fn a_body_without_a_length_is_rejected_when_it_no_longer_fits() {
    run(async {
        let (proxy, stub) = small_proxy(ok_response("served")).await;
        let stalled = reserve_and_stall(&proxy).await;
        let mut connection = RawConnection::open(proxy.address).await;
        connection.send(&head(IDEMPOTENT, "Transfer-Encoding: chunked")).await;
        let chunk = format!("c000\r\n{}\r\n", "x".repeat(0xc000));
        connection.send(&chunk).await;
        let rejection = connection.read_head().await;
        assert!(rejection.starts_with("HTTP/1.1 503 "), "{rejection}");
        assert!(stub.received().is_empty());
        drop((stalled, connection));
        wait_until_released(&proxy).await;
    });
}

#[test]
fn the_reservation_ends_with_the_request_however_it_ends() {
    run(async {
        let (proxy, stub) = small_proxy(ok_response("served")).await;
        let body: &'static str = Box::leak("x".repeat(MAX_BODY).into_boxed_str());
        // Answered, and rejected for its length.
        for body in [body, Box::leak("x".repeat(MAX_BODY + 1).into_boxed_str())] {
            send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body).await;
            wait_until_released(&proxy).await;
        }
        assert_eq!(stub.received().len(), 1);
        // The client leaves.
        drop(reserve_and_stall(&proxy).await);
        wait_until_released(&proxy).await;
        // The body comes too slowly.
        let stalled = reserve_and_stall(&proxy).await;
        advance_clock(BODY_TIMEOUT).await;
        let response = stalled.read_to_end().await;
        assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
        assert_eq!(proxy.data_plane.memory().used(), 0);
    });
}

#[test]
fn the_reservation_ends_when_the_client_or_the_process_leaves_a_request_that_is_under_way() {
    run(async {
        let (proxy, stub) = small_proxy(Behavior::Hang).await;
        let body: &'static str = Box::leak("x".repeat(MAX_BODY).into_boxed_str());
        let request = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body);
        tokio::select! {
            response = request => panic!("unexpected response {response:?}"),
            () = stub.wait_until_received(|_| true) => {}
        }
        assert!(proxy.data_plane.memory().used() >= MAX_BODY);
        stub.wait_until_abandoned().await;
        wait_until_released(&proxy).await;
        let stalled = reserve_and_stall(&proxy).await;
        proxy.data_plane.start_draining(GRACE);
        advance_clock(GRACE).await;
        let response = stalled.read_to_end().await;
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert_eq!(proxy.data_plane.memory().used(), 0);
    });
}

/// Guards against senders that declare or begin bodies and stall, and for whom others are refused until the timeout.
#[test]
fn a_sender_that_stalls_is_given_up_once_others_are_refused_for_its_memory() {
    run(async {
        let (proxy, stub) = small_proxy(ok_response("served")).await;
        let mut stalled = reserve_and_stall(&proxy).await;
        // Nobody else needs the memory: it may go on stalling.
        advance_clock(2 * PROGRESS_INTERVAL).await;
        assert!(proxy.data_plane.memory().used() >= MAX_BODY);
        let body: &'static str = Box::leak("x".repeat(MAX_BODY).into_boxed_str());
        let refused = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body).await;
        assert_eq!(refused.status, 503);
        advance_clock(PROGRESS_INTERVAL).await;
        let rejection = stalled.read_head().await;
        assert!(rejection.starts_with("HTTP/1.1 503 ") && rejection.contains("retry-after: "), "{rejection}");
        let served = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body).await;
        assert_eq!((served.status, stub.received().len()), (200, 1));
        wait_until_released(&proxy).await;
    });
}

/// A slow sender is not a stalled one.
#[test]
fn a_sender_that_makes_progress_keeps_its_memory_though_others_are_refused() {
    run(async {
        let (proxy, _stub) = small_proxy(ok_response("served")).await;
        let mut slow = reserve_and_stall(&proxy).await;
        let body: &'static str = Box::leak("x".repeat(MAX_BODY).into_boxed_str());
        for _ in 0..3 {
            slow.send(&"y".repeat(PROGRESS_BYTES)).await;
            let refused = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body).await;
            assert_eq!(refused.status, 503);
            advance_clock(PROGRESS_INTERVAL).await;
        }
        assert!(proxy.data_plane.memory().used() >= MAX_BODY);
        slow.send(&"z".repeat(MAX_BODY - "a part".len() - 3 * PROGRESS_BYTES)).await;
        assert!(slow.read_head().await.starts_with("HTTP/1.1 200 "));
    });
}

/// Guards against memory that counts as stalled for good, so that slow senders are given up although nobody stalls.
#[test]
fn a_body_that_is_complete_no_longer_counts_as_stalled() {
    run(async {
        let (proxy, stub) = small_proxy(ok_response("served")).await;
        let mut slow = reserve_and_stall(&proxy).await;
        advance_clock(2 * PROGRESS_INTERVAL).await;
        while proxy.data_plane.memory().used_by_kind().stalled == 0 {
            yield_now().await;
        }
        slow.send(&"z".repeat(MAX_BODY - "a part".len())).await;
        assert!(slow.read_head().await.starts_with("HTTP/1.1 200 "));
        assert_eq!((stub.received().len(), proxy.data_plane.memory().used_by_kind().stalled), (1, 0));
    });
}

/// A response has run: its server's silence is no reason to give it up (RULES.md, LOST).
#[test]
fn a_response_that_stalls_keeps_its_memory_though_others_are_refused() {
    run(async {
        let (proxy, _stub) = small_proxy(Behavior::StreamAndStall(1..=1500)).await;
        let response = tokio::task::spawn_local(send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], ""));
        while proxy.data_plane.memory().used_by_kind().responses <= SMALL_BUDGET / 4 {
            yield_now().await;
        }
        let body: &'static str = Box::leak("x".repeat(MAX_BODY).into_boxed_str());
        for _ in 0..3 {
            let refused = send_request(proxy.address, "POST", NON_IDEMPOTENT, &[], body).await;
            assert_eq!(refused.status, 503);
            advance_clock(PROGRESS_INTERVAL).await;
        }
        assert!(proxy.data_plane.memory().used_by_kind().responses > SMALL_BUDGET / 4);
        assert!(!response.is_finished());
    });
}
