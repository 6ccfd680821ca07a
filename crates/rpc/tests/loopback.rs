//! The loopback transport: stopped hosts, one-way partitions, and malformed calls.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use common::{HandledCalls, LONG_TIMEOUT, SingleUse, handlers, run};
use minicbor::encode::{Error, Write};
use minicbor::{Decode, Encode, Encoder};
use mosshead_rpc::{Call, CallError, CallRejection, LoopbackTransport, RetryPolicy, Transport};
use quickcheck::quickcheck;

const HERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7720);
const THERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 7720);

#[test]
fn a_stopped_host_can_not_be_reached() {
    run(async {
        let network = LoopbackTransport::new();
        let count = HandledCalls::default();
        network.serve(THERE, Rc::new(handlers(&count)));
        let here = network.at(HERE);
        assert_eq!(here.call(THERE, &SingleUse { number: 1 }, LONG_TIMEOUT).await, Ok(1));
        network.stop_serving(THERE);
        assert_eq!(here.call(THERE, &SingleUse { number: 2 }, LONG_TIMEOUT).await, Err(CallError::Connect));
        network.serve(THERE, Rc::new(handlers(&count)));
        assert_eq!(here.call(THERE, &SingleUse { number: 3 }, LONG_TIMEOUT).await, Ok(3));
        assert_eq!(count.get(), 2);
    });
}

#[test]
fn partitions_affect_one_direction() {
    run(async {
        tokio::time::pause();
        let network = LoopbackTransport::new();
        let count = HandledCalls::default();
        network.serve(THERE, Rc::new(handlers(&count)));
        let here = network.at(HERE);
        let timeout = Err(CallError::Timeout);
        network.partition(HERE, THERE);
        assert_eq!(here.call(THERE, &SingleUse { number: 1 }, LONG_TIMEOUT).await, timeout);
        assert_eq!(count.get(), 0, "the call is lost");
        network.heal(HERE, THERE);
        network.partition(THERE, HERE);
        assert_eq!(here.call(THERE, &SingleUse { number: 1 }, LONG_TIMEOUT).await, timeout);
        assert_eq!(count.get(), 1, "the response is lost");
        network.heal(THERE, HERE);
        assert_eq!(here.call(THERE, &SingleUse { number: 1 }, LONG_TIMEOUT).await, Ok(1));
    });
}

/// A call with arbitrary bytes as its body.
#[derive(Debug)]
struct Raw(Vec<u8>);

impl<C> Encode<C> for Raw {
    fn encode<W: Write>(&self, encoder: &mut Encoder<W>, _: &mut C) -> Result<(), Error<W::Error>> {
        encoder.writer_mut().write_all(&self.0).map_err(Error::write)
    }
}

impl<'b, C> Decode<'b, C> for Raw {
    fn decode(_: &mut minicbor::Decoder<'b>, _: &mut C) -> Result<Raw, minicbor::decode::Error> {
        Ok(Raw(Vec::new()))
    }
}

impl Call for Raw {
    const NAME: &'static str = SingleUse::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = u32;
}

fn raw(bytes: Vec<u8>) -> Result<u32, CallError> {
    run(async {
        let network = LoopbackTransport::new();
        network.serve(THERE, Rc::new(handlers(&HandledCalls::default())));
        network.at(HERE).call(THERE, &Raw(bytes), LONG_TIMEOUT).await
    })
}

#[test]
fn trailing_bytes_are_rejected() {
    let call = minicbor::to_vec(SingleUse { number: 5 }).unwrap();
    assert_eq!(raw(call.clone()), Ok(5));
    assert_eq!(raw([call.clone(), vec![0]].concat()), Err(CallError::Rejected(CallRejection::Malformed)));
    assert_eq!(raw(call[..call.len() - 1].to_vec()), Err(CallError::Rejected(CallRejection::Malformed)));
}

quickcheck! {
    fn arbitrary_bytes_are_rejected_or_decoded(bytes: Vec<u8>) -> bool {
        let read = minicbor::decode::<SingleUse>(&bytes).is_ok();
        matches!(raw(bytes), Err(CallError::Rejected(CallRejection::Malformed))) || read
    }
}

#[test]
fn codes_of_rejections_are_preserved() {
    for code in 0..=u16::MAX {
        assert_eq!(CallRejection::from_code(code).code(), code);
    }
}
