//! What every transport holds to, over the network and without one.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use common::{
    Count, Divide, Fill, LONG, Misread, NOUGHT, NotDivide, Once, Quotient, fill, handlers, host, run,
};
use mosshead_rpc::{CallError, CallRejection, Caller, Handlers, LoopbackTransport, ServerLimits, Transport};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// Hosts on a transport.
trait Net {
    type Transport: Transport + Clone + 'static;
    fn transport(&self) -> Self::Transport;
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4;
}

#[derive(Default)]
struct Sockets(Caller);

impl Net for Sockets {
    type Transport = Caller;
    fn transport(&self) -> Caller {
        self.0.clone()
    }
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4 {
        host(handlers).await.0
    }
}

#[derive(Default)]
struct Memory(LoopbackTransport, u16);

impl Net for Memory {
    type Transport = LoopbackTransport;
    fn transport(&self) -> LoopbackTransport {
        self.0.at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1))
    }
    async fn host(&mut self, handlers: Handlers) -> SocketAddrV4 {
        self.1 += 1;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + self.1);
        self.0.serve(address, Rc::new(handlers));
        address
    }
}

async fn answers(mut net: impl Net) {
    let count = Count::default();
    let to = net.host(handlers(&count)).await;
    let transport = net.transport();
    for number in 0..20 {
        let answer = transport.call(to, &Divide { number, by: 3 }, LONG).await;
        assert_eq!(answer, Ok(Quotient { whole: number / 3, rest: number % 3 }));
        assert_eq!(transport.call(to, &Once { number }, LONG).await, Ok(number));
    }
    assert_eq!(count.get(), 20);
}

async fn carries_long_bodies(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    let answer = net.transport().call(to, &fill(8_000_000, 8_000_000), LONG).await.unwrap();
    assert_eq!(answer.ballast.len(), 8_000_000);
}

async fn refuses_bodies_that_are_too_long(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    let transport = net.transport();
    assert_eq!(transport.call(to, &fill(1, 8 << 20), LONG).await, Err(CallError::TooLong));
    let refused = Err(CallError::Rejected(CallRejection::HandlerFailed));
    assert_eq!(transport.call(to, &fill(8 << 20, 1), LONG).await, refused);
    assert!(transport.call(to, &fill(1, 1), LONG).await.is_ok());
}

async fn hands_on_refusals(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    let transport = net.transport();
    for code in [NOUGHT, 1, u16::MAX] {
        let to = if code == NOUGHT {
            to
        } else {
            net.host(
                Handlers::new()
                    .with_handler::<Divide>(async move |_, _| Err(CallRejection::Application(code))),
            )
            .await
        };
        let refused = Err(CallError::Rejected(CallRejection::Application(code)));
        assert_eq!(transport.call(to, &Divide { number: 1, by: 0 }, LONG).await, refused);
    }
}

async fn refuses_what_it_does_not_know(mut net: impl Net) {
    let to = net.host(Handlers::new()).await;
    let refused = Err(CallError::Rejected(CallRejection::UnknownCall));
    assert_eq!(net.transport().call(to, &Divide { number: 1, by: 1 }, LONG).await, refused);
}

async fn refuses_what_it_can_not_read(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    let refused = Err(CallError::Rejected(CallRejection::Malformed));
    assert_eq!(net.transport().call(to, &NotDivide { text: "x".to_owned() }, LONG).await, refused);
    let answer = net.transport().call(to, &Misread { number: 1, by: 1 }, LONG).await;
    assert_eq!(answer, Err(CallError::Malformed));
}

async fn a_handler_that_fails_is_a_refusal(mut net: impl Net) {
    let to = net
        .host(handlers(&Count::default()).with_handler::<Divide>(async |_, _| panic!("as the test wants")))
        .await;
    let transport = net.transport();
    for _ in 0..2 {
        let refused = Err(CallError::Rejected(CallRejection::HandlerFailed));
        assert_eq!(transport.call(to, &Divide { number: 1, by: 1 }, LONG).await, refused);
    }
    assert!(transport.call(to, &fill(1, 1), LONG).await.is_ok());
}

async fn nobody_there_is_a_fault(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    // Nobody listens at port 1, and nobody was said to.
    let nobody = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let transport = net.transport();
    assert_eq!(transport.call(nobody, &fill(1, 1), LONG).await, Err(CallError::Connect));
    assert!(transport.call(to, &fill(1, 1), LONG).await.is_ok());
}

/// A handler that says when it has begun and waits to be told to go on; says by what it ended.
type Begun = mpsc::UnboundedReceiver<oneshot::Sender<()>>;

fn waiting() -> (Handlers, Begun, mpsc::UnboundedReceiver<bool>) {
    let (begins, begun) = mpsc::unbounded_channel();
    let (ends, ended) = mpsc::unbounded_channel();
    let handlers = Handlers::new().with_handler::<Divide>(async move |call, _| {
        let (go, gone) = oneshot::channel();
        let _ = begins.send(go);
        let told = gone.await.is_ok();
        let _ = ends.send(told);
        Ok(Quotient { whole: call.number, rest: 0 })
    });
    (handlers, begun, ended)
}

async fn an_answer_that_does_not_come_in_time_is_a_fault(mut net: impl Net) {
    let (handlers, mut begun, mut ended) = waiting();
    let to = net.host(handlers).await;
    let transport = net.transport();
    let calling = transport.clone();
    let call = spawn_local(async move { calling.call(to, &Divide { number: 1, by: 1 }, LONG).await });
    let go = begun.recv().await.unwrap();
    // From here the clock jumps to the time limit as soon as nothing else is to be done.
    tokio::time::pause();
    assert_eq!(call.await.unwrap(), Err(CallError::Timeout));
    tokio::time::resume();
    // The handler has not been cut off, and the next call gets its own answer.
    go.send(()).unwrap();
    assert_eq!(ended.recv().await, Some(true));
    let calling = transport.clone();
    let call = spawn_local(async move { calling.call(to, &Divide { number: 2, by: 1 }, LONG).await });
    begun.recv().await.unwrap().send(()).unwrap();
    assert_eq!(call.await.unwrap(), Ok(Quotient { whole: 2, rest: 0 }));
}

async fn a_call_that_is_dropped_is_handled_all_the_same(mut net: impl Net) {
    let (handlers, mut begun, mut ended) = waiting();
    let to = net.host(handlers).await;
    let transport = net.transport();
    let call = spawn_local(async move { transport.call(to, &Divide { number: 1, by: 1 }, LONG).await });
    let go = begun.recv().await.unwrap();
    call.abort();
    assert!(call.await.unwrap_err().is_cancelled());
    go.send(()).unwrap();
    assert_eq!(ended.recv().await, Some(true));
}

async fn many_at_once_are_answered(mut net: impl Net) {
    let (handlers, mut begun, _) = waiting();
    let to = net.host(handlers).await;
    let calls: Vec<_> = (0..30)
        .map(|number| {
            let transport = net.transport();
            spawn_local(async move { transport.call(to, &Divide { number, by: 1 }, LONG).await })
        })
        .collect();
    let mut waiting = Vec::new();
    for _ in 0..30 {
        waiting.push(begun.recv().await.unwrap());
    }
    for go in waiting.into_iter().rev() {
        go.send(()).unwrap();
    }
    for (number, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap(), Ok(Quotient { whole: number as u32, rest: 0 }));
    }
}

async fn too_many_at_once_are_refused(mut net: impl Net) {
    let (handlers, mut begun, mut ended) = waiting();
    let to = net
        .host(handlers.with_limits(ServerLimits { max_concurrent_calls: 1, ..ServerLimits::default() }))
        .await;
    let transport = net.transport();
    let calling = transport.clone();
    let call = spawn_local(async move { calling.call(to, &Divide { number: 1, by: 1 }, LONG).await });
    let go = begun.recv().await.unwrap();
    let refused = Err(CallError::Rejected(CallRejection::Overloaded));
    assert_eq!(transport.call(to, &Divide { number: 2, by: 1 }, LONG).await, refused);
    // One whose caller is gone counts as long as it runs.
    call.abort();
    assert!(call.await.is_err());
    assert_eq!(transport.call(to, &Divide { number: 2, by: 1 }, LONG).await, refused);
    go.send(()).unwrap();
    assert_eq!(ended.recv().await, Some(true));
    let call = spawn_local(async move { transport.call(to, &Divide { number: 3, by: 1 }, LONG).await });
    begun.recv().await.unwrap().send(()).unwrap();
    assert_eq!(call.await.unwrap(), Ok(Quotient { whole: 3, rest: 0 }));
}

async fn no_time_at_all_is_borne(mut net: impl Net) {
    let to = net.host(handlers(&Count::default())).await;
    for within in [std::time::Duration::ZERO, std::time::Duration::MAX] {
        let answer = net.transport().call(to, &fill(1, 1), within).await;
        assert!(!within.is_zero() || answer.is_err() || answer.is_ok_and(|answer| answer.ballast.len() == 1));
    }
    assert!(net.transport().call(to, &fill(1, 1), LONG).await.is_ok());
}

async fn the_caller_is_told(mut net: impl Net) {
    let (tells, mut told) = mpsc::unbounded_channel();
    let to = net
        .host(Handlers::new().with_handler::<Fill>(async move |_, peer| {
            let _ = tells.send(*peer.address.ip());
            Err(CallRejection::Application(1))
        }))
        .await;
    assert!(net.transport().call(to, &fill(1, 1), LONG).await.is_err());
    assert_eq!(told.recv().await, Some(Ipv4Addr::LOCALHOST));
}

macro_rules! contract {
    ($($name:ident)*) => {
        mod over_sockets {
            $(#[test] fn $name() { super::run(super::$name(super::Sockets::default())); })*
        }
        mod in_memory {
            $(#[test] fn $name() { super::run(super::$name(super::Memory::default())); })*
        }
    };
}

contract! {
    answers carries_long_bodies refuses_bodies_that_are_too_long hands_on_refusals refuses_what_it_does_not_know
    refuses_what_it_can_not_read a_handler_that_fails_is_a_refusal nobody_there_is_a_fault
    an_answer_that_does_not_come_in_time_is_a_fault a_call_that_is_dropped_is_handled_all_the_same
    many_at_once_are_answered too_many_at_once_are_refused no_time_at_all_is_borne the_caller_is_told
}
