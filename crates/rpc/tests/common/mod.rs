//! Calls for the tests, and what runs them.
#![allow(dead_code)]

use std::cell::Cell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use minicbor::{Decode, Encode};
use mosshead_rpc::{Call, CallRejection, Handlers, RetryPolicy, serve};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Longer than any test.
pub const LONG: Duration = Duration::from_secs(60);
/// What `Divide` by nought is refused with.
pub const NOUGHT: u16 = 42;

#[derive(Clone, Debug, Encode, Decode)]
pub struct Divide {
    #[n(0)]
    pub number: u32,
    #[n(1)]
    pub by: u32,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Quotient {
    #[n(0)]
    pub whole: u32,
    #[n(1)]
    pub rest: u32,
}

impl Call for Divide {
    const NAME: &'static str = "test/divide";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Quotient;
}

/// Answers as many bytes as it says, and tells the caller's port.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Fill {
    #[n(0)]
    pub bytes: u32,
    #[n(1)]
    pub ballast: minicbor::bytes::ByteVec,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Filled {
    #[n(0)]
    pub port: u16,
    #[n(1)]
    pub ballast: minicbor::bytes::ByteVec,
}

impl Call for Fill {
    const NAME: &'static str = "fill";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Filled;
}

pub fn fill(bytes: u32, ballast: usize) -> Fill {
    Fill { bytes, ballast: vec![7; ballast].into() }
}

/// Never to be sent twice.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Once {
    #[n(0)]
    pub number: u32,
}

impl Call for Once {
    const NAME: &'static str = "once";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = u32;
}

/// Bears the name of `Divide`, and asks for something else.
#[derive(Clone, Debug, Encode, Decode)]
pub struct NotDivide {
    #[n(0)]
    pub text: String,
}

impl Call for NotDivide {
    const NAME: &'static str = Divide::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Quotient;
}

/// Is `Divide`, but takes the answer for something else.
#[derive(Clone, Debug, Encode, Decode)]
pub struct Misread {
    #[n(0)]
    pub number: u32,
    #[n(1)]
    pub by: u32,
}

impl Call for Misread {
    const NAME: &'static str = Divide::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = String;
}

/// How often `Once` was handled.
pub type Count = Rc<Cell<u32>>;

pub fn handlers(count: &Count) -> Handlers {
    let count = Rc::clone(count);
    Handlers::new()
        .with_handler::<Divide>(async |call, _| {
            if call.by == 0 {
                return Err(CallRejection::Application(NOUGHT));
            }
            Ok(Quotient { whole: call.number / call.by, rest: call.number % call.by })
        })
        .with_handler::<Fill>(async |call, peer| {
            Ok(Filled { port: peer.address.port(), ballast: vec![1; call.bytes as usize].into() })
        })
        .with_handler::<Once>(async move |call, _| {
            count.set(count.get() + 1);
            Ok(call.number)
        })
}

/// Runs a test on one thread.
pub fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// A server on the network.
pub async fn host(handlers: Handlers) -> (SocketAddrV4, JoinHandle<()>) {
    host_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), handlers).await
}

pub async fn host_at(address: SocketAddrV4, handlers: Handlers) -> (SocketAddrV4, JoinHandle<()>) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = address_of(&listener);
    (address, spawn_local(serve(listener, Rc::new(handlers))))
}

pub fn address_of(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address}"),
    }
}
