//! Test calls with their handlers, a test server, and a runtime.
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

/// A timeout that is longer than any test.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// The rejection code of a division by zero.
pub(crate) const DIVISION_BY_ZERO: u16 = 42;

#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Divide {
    #[n(0)]
    pub(crate) number: u32,
    #[n(1)]
    pub(crate) by: u32,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Quotient {
    #[n(0)]
    pub(crate) quotient: u32,
    #[n(1)]
    pub(crate) remainder: u32,
}

impl Call for Divide {
    const NAME: &'static str = "test/divide";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Quotient;
}

/// The response contains the requested number of bytes, and the port of the caller.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct Fill {
    #[n(0)]
    pub(crate) bytes: u32,
    #[n(1)]
    pub(crate) padding: minicbor::bytes::ByteVec,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub(crate) struct Filled {
    #[n(0)]
    pub(crate) port: u16,
    #[n(1)]
    pub(crate) padding: minicbor::bytes::ByteVec,
}

impl Call for Fill {
    const NAME: &'static str = "fill";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Filled;
}

pub(crate) fn fill(bytes: u32, padding: usize) -> Fill {
    Fill { bytes, padding: vec![7; padding].into() }
}

/// A call that must not be sent twice.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct SingleUse {
    #[n(0)]
    pub(crate) number: u32,
}

impl Call for SingleUse {
    const NAME: &'static str = "once";
    const RETRY_POLICY: RetryPolicy = RetryPolicy::OnlyIfNeverSent;
    type Response = u32;
}

/// A call with the name of `Divide`, but a different body.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct MalformedDivide {
    #[n(0)]
    pub(crate) text: String,
}

impl Call for MalformedDivide {
    const NAME: &'static str = Divide::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = Quotient;
}

/// The same as `Divide` on the wire, but expects a text as the response.
#[derive(Clone, Debug, Encode, Decode)]
#[cbor(transparent)]
pub(crate) struct DivideWithTextResponse(#[n(0)] pub(crate) Divide);

impl Call for DivideWithTextResponse {
    const NAME: &'static str = Divide::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = String;
}

/// A completely received call.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    /// The value of the header `call-id`.
    pub(crate) id: Option<String>,
    pub(crate) body: Vec<u8>,
    /// The head and body as received.
    pub(crate) bytes: Vec<u8>,
}

/// Removes the first call from the received bytes; `None` if it is not complete yet.
pub(crate) fn take_call(received: &mut Vec<u8>) -> Option<ReceivedCall> {
    let head_length = received.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8(received[..head_length].to_vec()).expect("UTF-8").to_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
    let body_start = head_length + 4;
    let body_length = header("content-length: ").expect("the length of the body");
    let end = body_start + body_length.parse::<usize>().expect("a number");
    if received.len() < end {
        return None;
    }
    let bytes: Vec<u8> = received.drain(..end).collect();
    Some(ReceivedCall { id: header("call-id: "), body: bytes[body_start..].to_vec(), bytes })
}

/// The number of handled `SingleUse` calls.
pub(crate) type HandledCalls = Rc<Cell<u32>>;

pub(crate) fn handlers(count: &HandledCalls) -> Handlers {
    let count = Rc::clone(count);
    Handlers::new()
        .with_handler::<Divide>(async |call, _| {
            if call.by == 0 {
                return Err(CallRejection::Application(DIVISION_BY_ZERO));
            }
            Ok(Quotient { quotient: call.number / call.by, remainder: call.number % call.by })
        })
        .with_handler::<Fill>(async |call, peer| {
            Ok(Filled { port: peer.address.port(), padding: vec![1; call.bytes as usize].into() })
        })
        .with_handler::<SingleUse>(async move |call, _| {
            count.set(count.get() + 1);
            Ok(call.number)
        })
}

/// Runs a test on a single-threaded runtime with a `LocalSet`.
pub(crate) fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Starts a server on a free port.
pub(crate) async fn host(handlers: Handlers) -> (SocketAddrV4, JoinHandle<()>) {
    host_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), handlers).await
}

pub(crate) async fn host_at(address: SocketAddrV4, handlers: Handlers) -> (SocketAddrV4, JoinHandle<()>) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = address_of(&listener);
    (address, spawn_local(serve(listener, Rc::new(handlers))))
}

pub(crate) fn address_of(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address}"),
    }
}
