//! Deltas give back the target, pay, and do no harm when they are made up.

use minicbor::Encoder;
use mosshead_consensus::{BodyDelta, MAX_BODY_BYTES};
use quickcheck::{TestResult, quickcheck};

/// Lines as in a configuration, each with its number.
fn lines(from: usize, count: usize) -> Vec<u8> {
    let line =
        |number: usize| format!("{{\"route\":\"r{number}\",\"service\":\"s{}\"}},\n", number * 7 % 311);
    (from..from + count).map(line).collect::<String>().into_bytes()
}

fn gives_back(base: &[u8], target: &[u8]) -> bool {
    BodyDelta::between(base, target).is_none_or(|delta| delta.apply(base).as_deref() == Some(target))
}

/// A delta of the given bytes, as a message may bring it.
fn made_up(instructions: &[u8]) -> Option<BodyDelta> {
    let mut bytes = Vec::new();
    Encoder::new(&mut bytes).array(1).ok()?.bytes(instructions).ok()?;
    minicbor::decode(&bytes).ok()
}

quickcheck! {
    fn the_target_comes_back(base: Vec<u8>, target: Vec<u8>) -> bool {
        gives_back(&base, &target)
    }

    /// Pieces replaced in a long text, anywhere and several at once.
    fn edits_come_back(edits: Vec<(u16, u8, Vec<u8>)>) -> bool {
        let base = lines(0, 200);
        let mut target = base.clone();
        for (at, length, with) in edits {
            let from = usize::from(at) % (target.len() + 1);
            let to = (from + usize::from(length)).min(target.len());
            target.splice(from..to, with);
        }
        gives_back(&base, &target) && gives_back(&target, &base)
    }

    /// Few different bytes: many blocks are alike.
    fn repetitive_bodies_come_back(base: Vec<bool>, target: Vec<bool>, times: u8) -> bool {
        let stretch = |bits: &[bool]| -> Vec<u8> {
            bits.iter().flat_map(|bit| vec![u8::from(*bit); usize::from(times)]).collect()
        };
        gives_back(&stretch(&base), &stretch(&target))
    }

    fn made_up_deltas_do_no_harm(instructions: Vec<u8>, base: Vec<u8>) -> TestResult {
        let Some(delta) = made_up(&instructions) else { return TestResult::discard() };
        TestResult::from_bool(delta.apply(&base).is_none_or(|target| target.len() <= MAX_BODY_BYTES))
    }

    /// A sound delta with a bit turned over, on its base and on another one.
    fn broken_deltas_do_no_harm(at: usize, bit: u8, other: Vec<u8>) -> bool {
        let (base, target) = (lines(0, 50), [lines(10, 30), lines(90, 3)].concat());
        let Some(delta) = BodyDelta::between(&base, &target) else { return false };
        let Ok(mut bytes) = minicbor::to_vec(&delta) else { return false };
        let place = at % bytes.len();
        bytes[place] ^= 1 << (bit % 8);
        let broken: Option<BodyDelta> = minicbor::decode(&bytes).ok();
        let fits = |body: Vec<u8>| body.len() <= MAX_BODY_BYTES;
        broken.is_none_or(|d| d.apply(&base).is_none_or(fits) && d.apply(&other).is_none_or(fits))
    }
}

#[test]
fn a_small_edit_of_a_large_body_is_small() {
    let base = lines(0, 60_000);
    let mut target = base.clone();
    let middle = target.len() / 2;
    target.splice(middle..middle + 5, *b"another text");
    let delta = BodyDelta::between(&base, &target).expect("a delta");
    assert!(delta.len() < 60, "{}", delta.len());
    assert_eq!(delta.apply(&base), Some(target));
}

#[test]
fn several_edits_and_moved_parts_are_small() {
    let base = lines(0, 3_000);
    let target =
        [lines(1_000, 2_000), lines(9_000, 2), lines(0, 500), lines(9_100, 1), lines(500, 500)].concat();
    let delta = BodyDelta::between(&base, &target).expect("a delta");
    assert!(delta.len() < 600, "{}", delta.len());
    assert_eq!(delta.apply(&base), Some(target));
}

#[test]
fn a_body_that_has_nothing_in_common_goes_whole() {
    assert_eq!(BodyDelta::between(&[1; 1_000], &[2; 1_000]), None);
    assert_eq!(BodyDelta::between(b"", b"some text"), None);
    assert_eq!(BodyDelta::between(b"some text", b""), None);
}

#[test]
fn a_delta_that_does_not_pay_is_none() {
    let base = lines(0, 20_000);
    let much_new = |bytes: usize| [&base[..1_000], &vec![b'#'; bytes][..], &base[1_000..]].concat();
    assert!(BodyDelta::between(&base, &much_new(250 << 10)).is_some());
    assert_eq!(BodyDelta::between(&base, &much_new(257 << 10)), None);
    // Most of a short body is new.
    assert_eq!(BodyDelta::between(&base[..100], &much_new(1_000)[..1_600]), None);
}

#[test]
fn a_body_over_the_limit_has_no_delta() {
    let base = vec![7; MAX_BODY_BYTES];
    assert!(BodyDelta::between(&base, &base).is_some());
    assert_eq!(BodyDelta::between(&base, &vec![7; MAX_BODY_BYTES + 1]), None);
}

#[test]
fn lengths_that_are_not_true_are_refused() {
    // Two bytes by a copy of two.
    assert_eq!(made_up(&[2, 4, 0]).and_then(|d| d.apply(b"ab")), Some(b"ab".to_vec()));
    let bad: [&[u8]; 9] = [
        // Nothing, more than the limit, more than fits a number.
        &[],
        &[0xff, 0xff, 0xff, 0x7f, 4, 0],
        &[0xff; 20],
        // Too few bytes, too many, a copy beyond the base, an insertion that is cut short, one of nothing.
        &[3, 4, 0],
        &[1, 4, 0],
        &[2, 4, 1],
        &[2, 5, 9],
        &[2, 0, 0, 4, 0],
        // A copy whose start and length don't fit together.
        &[2, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1],
    ];
    for instructions in bad {
        assert_eq!(made_up(instructions).and_then(|d| d.apply(b"ab")), None, "{instructions:?}");
    }
}
