//! Instants keep their order, never wrap, and are written as plain milliseconds.

use minicbor::{Decode, Encode};
use mosshead_time::{Duration, Instant, whole_millis};
use quickcheck::quickcheck;

#[derive(Debug, PartialEq, Encode, Decode)]
struct Message {
    #[n(0)]
    sent_at: Instant,
    #[cbor(n(1), with = "mosshead_time::duration_millis")]
    wait: Duration,
}

#[derive(Encode)]
struct PlainMessage {
    #[n(0)]
    sent_at: u64,
    #[n(1)]
    wait: u64,
}

quickcheck! {
    fn adding_a_span_and_taking_it_away_gives_the_instant_back(at: u32, span: u32) -> bool {
        let (at, span) = (Instant::from_millis(at.into()), Duration::from_millis(span.into()));
        (at + span) - span == at && (at + span) - at == span
    }

    fn messages_are_read_and_written_as_plain_milliseconds(sent_at: u64, wait: u64) -> bool {
        let message = Message { sent_at: Instant::from_millis(sent_at), wait: Duration::from_millis(wait) };
        let bytes = minicbor::to_vec(&message).unwrap();
        bytes == minicbor::to_vec(PlainMessage { sent_at, wait }).unwrap()
            && minicbor::decode::<Message>(&bytes).unwrap() == message
    }
}

#[test]
fn arithmetic_saturates_at_both_ends() {
    let second = Duration::from_secs(1);
    assert_eq!(Instant::ORIGIN - second, Instant::ORIGIN);
    assert_eq!(Instant::FAR_FUTURE + second, Instant::FAR_FUTURE);
    assert_eq!(Instant::ORIGIN - Instant::from_millis(5), Duration::ZERO);
    assert_eq!(Instant::ORIGIN + Duration::MAX, Instant::FAR_FUTURE);
}

#[test]
fn parts_of_a_millisecond_are_cut_off() {
    assert_eq!(whole_millis(Duration::from_micros(1_999)), 1);
    assert_eq!(Instant::ORIGIN + Duration::from_micros(1_999), Instant::from_millis(1));
}
