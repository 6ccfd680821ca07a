//! Shared test fixtures: a proxy on loopback, stubs of model servers, and a client.
#![allow(dead_code, unused_imports, reason = "each test binary uses only some of the fixtures")]

mod client;
mod proxy;
mod raw_connection;
mod raw_server;
mod stub_server;

use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};

use mosshead_registry::{OperState, Server, Stage};
use mosshead_time::Duration;
use tokio::net::TcpListener;
use tokio::time::{advance, pause, resume, timeout};

pub(crate) use client::{ATTEMPT_ID, CLIENT_TIMEOUT, ClientResponse, REQUEST_BODY, send_request};
pub(crate) use proxy::{GRACE, HOST, IDEMPOTENT, NON_IDEMPOTENT, NOT_RESUMABLE, Proxy, RESUMABLE, config};
pub(crate) use raw_connection::RawConnection;
pub(crate) use raw_server::raw_server;
pub(crate) use stub_server::{
    Behavior, ReceivedRequest, StubServer, event, events, handle_response, not_executed, ok_response,
};

/// The seal in servers' successful responses.
pub(crate) const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
/// An attempt id that no request has.
pub(crate) const FOREIGN_ATTEMPT_ID: &str = "0000000000000000";

/// The timeout of each test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test's body on a single-threaded runtime, with a timeout.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { timeout(TEST_TIMEOUT, test).await.expect("ends in time") });
}

/// Moves the clock of all timers forward, without waiting.
pub(crate) async fn advance_clock(by: Duration) {
    pause();
    advance(by).await;
    resume();
}

/// The registry entry of a server.
pub(crate) fn server(id: &str, service: &str, stage: Option<Stage>, address: SocketAddrV4) -> Server {
    Server {
        id: id.into(),
        service: service.into(),
        address,
        zone: "here".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage,
        models: Vec::new(),
        sequence: 1,
    }
}

/// Opens a listener on a free loopback port.
pub(crate) async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    match listener.local_addr().expect("bound") {
        SocketAddr::V4(address) => (listener, address),
        SocketAddr::V6(_) => panic!("loopback is IPv4 here"),
    }
}

/// A loopback address on which nothing listens.
pub(crate) async fn unused_address() -> SocketAddrV4 {
    listen().await.1
}
