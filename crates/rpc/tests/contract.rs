//! The contract of every transport, tested over sockets and in memory.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use common::{
    DIVISION_BY_ZERO, Divide, DivideWithTextResponse, Fill, HandledCalls, LONG_TIMEOUT, MalformedDivide,
    Quotient, SingleUse, fill, handlers, host, run,
};
use mosshead_rpc::{CallError, CallRejection, Caller, Handlers, LoopbackTransport, ServerLimits, Transport};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// A transport, with the servers that it can reach.
trait Network {
    type Transport: Transport + Clone + 'static;
    fn transport(&self) -> Self::Transport;
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4;
}

#[derive(Default)]
struct Sockets(Caller);

impl Network for Sockets {
    type Transport = Caller;
    fn transport(&self) -> Caller {
        self.0.clone()
    }
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4 {
        host(handlers).await.0
    }
}

#[derive(Default)]
struct InMemory {
    transport: LoopbackTransport,
    hosts: u16,
}

impl Network for InMemory {
    type Transport = LoopbackTransport;
    fn transport(&self) -> LoopbackTransport {
        self.transport.at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1))
    }
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4 {
        self.hosts += 1;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + self.hosts);
        self.transport.serve(address, Rc::new(handlers));
        address
    }
}

async fn calls_are_answered(mut network: impl Network) {
    let count = HandledCalls::default();
    let to = network.host(handlers(&count)).await;
    let transport = network.transport();
    for number in 0..20 {
        let response = transport.call(to, &Divide { number, by: 3 }, LONG_TIMEOUT).await;
        assert_eq!(response, Ok(Quotient { quotient: number / 3, remainder: number % 3 }));
        assert_eq!(transport.call(to, &SingleUse { number }, LONG_TIMEOUT).await, Ok(number));
    }
    assert_eq!(count.get(), 20);
}

async fn long_bodies_are_carried(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    let response = network.transport().call(to, &fill(8_000_000, 8_000_000), LONG_TIMEOUT).await.unwrap();
    assert_eq!(response.padding.len(), 8_000_000);
}

async fn bodies_that_are_too_long_are_rejected(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    let transport = network.transport();
    assert_eq!(transport.call(to, &fill(1, 8 << 20), LONG_TIMEOUT).await, Err(CallError::TooLong));
    let rejected = Err(CallError::Rejected(CallRejection::HandlerFailed));
    assert_eq!(transport.call(to, &fill(8 << 20, 1), LONG_TIMEOUT).await, rejected);
    assert!(transport.call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
}

async fn rejections_of_handlers_reach_the_caller(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    let transport = network.transport();
    for code in [DIVISION_BY_ZERO, 1, u16::MAX] {
        let to = if code == DIVISION_BY_ZERO {
            to
        } else {
            network
                .host(
                    Handlers::new()
                        .with_handler::<Divide>(async move |_, _| Err(CallRejection::Application(code))),
                )
                .await
        };
        let rejected = Err(CallError::Rejected(CallRejection::Application(code)));
        assert_eq!(transport.call(to, &Divide { number: 1, by: 0 }, LONG_TIMEOUT).await, rejected);
    }
}

async fn unknown_calls_are_rejected(mut network: impl Network) {
    let to = network.host(Handlers::new()).await;
    let rejected = Err(CallError::Rejected(CallRejection::UnknownCall));
    assert_eq!(network.transport().call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await, rejected);
}

async fn malformed_messages_are_rejected(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    let rejected = Err(CallError::Rejected(CallRejection::Malformed));
    assert_eq!(
        network.transport().call(to, &MalformedDivide { text: "x".to_owned() }, LONG_TIMEOUT).await,
        rejected
    );
    let response = network
        .transport()
        .call(to, &DivideWithTextResponse(Divide { number: 1, by: 1 }), LONG_TIMEOUT)
        .await;
    assert_eq!(response, Err(CallError::Malformed));
}

async fn a_handler_that_panics_is_a_rejection(mut network: impl Network) {
    let to = network
        .host(
            handlers(&HandledCalls::default())
                .with_handler::<Divide>(async |_, _| panic!("injected by the test")),
        )
        .await;
    let transport = network.transport();
    for _ in 0..2 {
        let rejected = Err(CallError::Rejected(CallRejection::HandlerFailed));
        assert_eq!(transport.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await, rejected);
    }
    assert!(transport.call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
}

async fn without_a_server_the_connection_fails(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    // Nothing listens on port 1, over sockets or in memory.
    let nobody = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let transport = network.transport();
    assert_eq!(transport.call(nobody, &fill(1, 1), LONG_TIMEOUT).await, Err(CallError::Connect));
    assert!(transport.call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
}

/// Each item is a started handler. Sending to the item resumes the handler.
type Started = mpsc::UnboundedReceiver<oneshot::Sender<()>>;

fn suspended_handler() -> (Handlers, Started, mpsc::UnboundedReceiver<bool>) {
    let (start_sender, started) = mpsc::unbounded_channel();
    let (finish_sender, finished) = mpsc::unbounded_channel();
    let handlers = Handlers::new().with_handler::<Divide>(async move |call, _| {
        let (resume, resumption) = oneshot::channel();
        let _ = start_sender.send(resume);
        let resumed = resumption.await.is_ok();
        let _ = finish_sender.send(resumed);
        Ok(Quotient { quotient: call.number, remainder: 0 })
    });
    (handlers, started, finished)
}

async fn a_late_response_is_a_timeout(mut network: impl Network) {
    let (handlers, mut started, mut finished) = suspended_handler();
    let to = network.host(handlers).await;
    let transport = network.transport();
    let caller = transport.clone();
    let call = spawn_local(async move { caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await });
    let resume = started.recv().await.unwrap();
    // While paused, the clock jumps to the timeout as soon as the runtime is idle.
    tokio::time::pause();
    assert_eq!(call.await.unwrap(), Err(CallError::Timeout));
    tokio::time::resume();
    // The handler was not cancelled, and the next call gets its own response.
    resume.send(()).unwrap();
    assert_eq!(finished.recv().await, Some(true));
    let caller = transport.clone();
    let call = spawn_local(async move { caller.call(to, &Divide { number: 2, by: 1 }, LONG_TIMEOUT).await });
    started.recv().await.unwrap().send(()).unwrap();
    assert_eq!(call.await.unwrap(), Ok(Quotient { quotient: 2, remainder: 0 }));
}

async fn a_dropped_call_is_still_handled(mut network: impl Network) {
    let (handlers, mut started, mut finished) = suspended_handler();
    let to = network.host(handlers).await;
    let transport = network.transport();
    let call =
        spawn_local(async move { transport.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await });
    let resume = started.recv().await.unwrap();
    call.abort();
    assert!(call.await.unwrap_err().is_cancelled());
    resume.send(()).unwrap();
    assert_eq!(finished.recv().await, Some(true));
}

async fn concurrent_calls_are_answered(mut network: impl Network) {
    let (handlers, mut started, _) = suspended_handler();
    let to = network.host(handlers).await;
    let calls: Vec<_> = (0..30)
        .map(|number| {
            let transport = network.transport();
            spawn_local(async move { transport.call(to, &Divide { number, by: 1 }, LONG_TIMEOUT).await })
        })
        .collect();
    let mut resumptions = Vec::new();
    for _ in 0..30 {
        resumptions.push(started.recv().await.unwrap());
    }
    for resume in resumptions.into_iter().rev() {
        resume.send(()).unwrap();
    }
    for (number, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap(), Ok(Quotient { quotient: number as u32, remainder: 0 }));
    }
}

async fn too_many_concurrent_calls_are_rejected(mut network: impl Network) {
    let (handlers, mut started, mut finished) = suspended_handler();
    let to = network
        .host(handlers.with_limits(ServerLimits { max_concurrent_calls: 1, ..ServerLimits::default() }))
        .await;
    let transport = network.transport();
    let caller = transport.clone();
    let call = spawn_local(async move { caller.call(to, &Divide { number: 1, by: 1 }, LONG_TIMEOUT).await });
    let resume = started.recv().await.unwrap();
    let rejected = Err(CallError::Rejected(CallRejection::Overloaded));
    assert_eq!(transport.call(to, &Divide { number: 2, by: 1 }, LONG_TIMEOUT).await, rejected);
    // A call whose caller has given up counts while its handler runs.
    call.abort();
    assert!(call.await.is_err());
    assert_eq!(transport.call(to, &Divide { number: 2, by: 1 }, LONG_TIMEOUT).await, rejected);
    resume.send(()).unwrap();
    assert_eq!(finished.recv().await, Some(true));
    let call =
        spawn_local(async move { transport.call(to, &Divide { number: 3, by: 1 }, LONG_TIMEOUT).await });
    started.recv().await.unwrap().send(()).unwrap();
    assert_eq!(call.await.unwrap(), Ok(Quotient { quotient: 3, remainder: 0 }));
}

async fn extreme_timeouts_do_no_harm(mut network: impl Network) {
    let to = network.host(handlers(&HandledCalls::default())).await;
    for timeout in [std::time::Duration::ZERO, std::time::Duration::MAX] {
        let response = network.transport().call(to, &fill(1, 1), timeout).await;
        assert!(
            !timeout.is_zero()
                || response.is_err()
                || response.is_ok_and(|response| response.padding.len() == 1)
        );
    }
    assert!(network.transport().call(to, &fill(1, 1), LONG_TIMEOUT).await.is_ok());
}

async fn handlers_get_the_address_of_the_caller(mut network: impl Network) {
    let (sender, mut addresses) = mpsc::unbounded_channel();
    let to = network
        .host(Handlers::new().with_handler::<Fill>(async move |_, peer| {
            let _ = sender.send(*peer.address.ip());
            Err(CallRejection::Application(1))
        }))
        .await;
    assert!(network.transport().call(to, &fill(1, 1), LONG_TIMEOUT).await.is_err());
    assert_eq!(addresses.recv().await, Some(Ipv4Addr::LOCALHOST));
}

macro_rules! contract {
    ($($name:ident)*) => {
        mod over_sockets {
            $(#[test] fn $name() { super::run(super::$name(super::Sockets::default())); })*
        }
        mod in_memory {
            $(#[test] fn $name() { super::run(super::$name(super::InMemory::default())); })*
        }
    };
}

contract! {
    calls_are_answered long_bodies_are_carried bodies_that_are_too_long_are_rejected rejections_of_handlers_reach_the_caller unknown_calls_are_rejected
    malformed_messages_are_rejected a_handler_that_panics_is_a_rejection without_a_server_the_connection_fails
    a_late_response_is_a_timeout a_dropped_call_is_still_handled
    concurrent_calls_are_answered too_many_concurrent_calls_are_rejected extreme_timeouts_do_no_harm handlers_get_the_address_of_the_caller
}
