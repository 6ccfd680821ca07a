//! The network of the tests of others: hosts that go, cuts of one way and of both.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use common::{Count, LONG, Once, handlers, run};
use minicbor::encode::{Error, Write};
use minicbor::{Decode, Encode, Encoder};
use mosshead_rpc::{Call, CallError, CallRejection, LoopbackTransport, RetryPolicy, Transport};
use quickcheck::quickcheck;

const HERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7720);
const THERE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 2), 7720);

#[test]
fn a_host_that_stops_is_not_there() {
    run(async {
        let net = LoopbackTransport::new();
        let count = Count::default();
        net.serve(THERE, Rc::new(handlers(&count)));
        let here = net.at(HERE);
        assert_eq!(here.call(THERE, &Once { number: 1 }, LONG).await, Ok(1));
        net.stop_serving(THERE);
        assert_eq!(here.call(THERE, &Once { number: 2 }, LONG).await, Err(CallError::Connect));
        net.serve(THERE, Rc::new(handlers(&count)));
        assert_eq!(here.call(THERE, &Once { number: 3 }, LONG).await, Ok(3));
        assert_eq!(count.get(), 2);
    });
}

#[test]
fn cuts_are_of_one_way() {
    run(async {
        tokio::time::pause();
        let net = LoopbackTransport::new();
        let count = Count::default();
        net.serve(THERE, Rc::new(handlers(&count)));
        let here = net.at(HERE);
        let late = Err(CallError::Timeout);
        net.partition(HERE, THERE);
        assert_eq!(here.call(THERE, &Once { number: 1 }, LONG).await, late);
        assert_eq!(count.get(), 0, "the call is lost");
        net.heal(HERE, THERE);
        net.partition(THERE, HERE);
        assert_eq!(here.call(THERE, &Once { number: 1 }, LONG).await, late);
        assert_eq!(count.get(), 1, "the answer is lost");
        net.heal(THERE, HERE);
        assert_eq!(here.call(THERE, &Once { number: 1 }, LONG).await, Ok(1));
    });
}

/// Any bytes under the name of a call.
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
    const NAME: &'static str = Once::NAME;
    const RETRY_POLICY: RetryPolicy = RetryPolicy::Always;
    type Response = u32;
}

fn raw(bytes: Vec<u8>) -> Result<u32, CallError> {
    run(async {
        let net = LoopbackTransport::new();
        net.serve(THERE, Rc::new(handlers(&Count::default())));
        net.at(HERE).call(THERE, &Raw(bytes), LONG).await
    })
}

#[test]
fn bytes_behind_a_call_are_refused() {
    let call = minicbor::to_vec(Once { number: 5 }).unwrap();
    assert_eq!(raw(call.clone()), Ok(5));
    assert_eq!(raw([call.clone(), vec![0]].concat()), Err(CallError::Rejected(CallRejection::Malformed)));
    assert_eq!(raw(call[..call.len() - 1].to_vec()), Err(CallError::Rejected(CallRejection::Malformed)));
}

quickcheck! {
    fn any_bytes_are_borne(bytes: Vec<u8>) -> bool {
        let read = minicbor::decode::<Once>(&bytes).is_ok();
        matches!(raw(bytes), Err(CallError::Rejected(CallRejection::Malformed))) || read
    }
}

#[test]
fn numbers_of_refusals_come_back() {
    for code in 0..=u16::MAX {
        assert_eq!(CallRejection::from_code(code).code(), code);
    }
}
