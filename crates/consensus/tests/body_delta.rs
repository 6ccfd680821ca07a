//! Body deltas restore the target and are smaller than it; arbitrary and corrupted deltas cause no panic.

use minicbor::Encoder;
use mosshead_consensus::{BodyDelta, MAX_BODY_BYTES};
use quickcheck::{TestResult, quickcheck};

/// Lines like those of a configuration, numbered from `first`.
fn lines(first: usize, count: usize) -> Vec<u8> {
    let line =
        |number: usize| format!("{{\"route\":\"r{number}\",\"service\":\"s{}\"}},\n", number * 7 % 311);
    (first..first + count).map(line).collect::<String>().into_bytes()
}

fn restores(base: &[u8], target: &[u8]) -> bool {
    BodyDelta::between(base, target).is_none_or(|delta| delta.apply(base).as_deref() == Some(target))
}

/// A delta with the given instructions, as decoded from a message.
fn arbitrary_delta(instructions: &[u8]) -> Option<BodyDelta> {
    let mut bytes = Vec::new();
    Encoder::new(&mut bytes).array(1).ok()?.bytes(instructions).ok()?;
    minicbor::decode(&bytes).ok()
}

quickcheck! {
    fn a_delta_restores_the_target(base: Vec<u8>, target: Vec<u8>) -> bool {
        restores(&base, &target)
    }

    /// Several replacements at arbitrary positions of a long text.
    fn a_delta_restores_several_edits(edits: Vec<(u16, u8, Vec<u8>)>) -> bool {
        let base = lines(0, 200);
        let mut target = base.clone();
        for (position, length, replacement) in edits {
            let start = usize::from(position) % (target.len() + 1);
            let end = (start + usize::from(length)).min(target.len());
            target.splice(start..end, replacement);
        }
        restores(&base, &target) && restores(&target, &base)
    }

    /// Bodies of two different bytes, so that many blocks are equal.
    fn a_delta_restores_repetitive_bodies(base: Vec<bool>, target: Vec<bool>, times: u8) -> bool {
        let repeat_bits = |bits: &[bool]| -> Vec<u8> {
            bits.iter().flat_map(|bit| vec![u8::from(*bit); usize::from(times)]).collect()
        };
        restores(&repeat_bits(&base), &repeat_bits(&target))
    }

    fn an_arbitrary_delta_makes_no_body_over_the_limit(instructions: Vec<u8>, base: Vec<u8>) -> TestResult {
        let Some(delta) = arbitrary_delta(&instructions) else { return TestResult::discard() };
        TestResult::from_bool(delta.apply(&base).is_none_or(|target| target.len() <= MAX_BODY_BYTES))
    }

    /// A valid delta with a flipped bit, applied to its base and to another one.
    fn a_corrupted_delta_makes_no_body_over_the_limit(position: usize, bit: u8, other: Vec<u8>) -> bool {
        let (base, target) = (lines(0, 50), [lines(10, 30), lines(90, 3)].concat());
        let Some(delta) = BodyDelta::between(&base, &target) else { return false };
        let Ok(mut bytes) = minicbor::to_vec(&delta) else { return false };
        let position = position % bytes.len();
        bytes[position] ^= 1 << (bit % 8);
        let corrupted: Option<BodyDelta> = minicbor::decode(&bytes).ok();
        let is_within_limit = |body: Vec<u8>| body.len() <= MAX_BODY_BYTES;
        corrupted.is_none_or(|delta| {
            delta.apply(&base).is_none_or(is_within_limit) && delta.apply(&other).is_none_or(is_within_limit)
        })
    }
}

#[test]
fn the_delta_of_a_small_edit_of_a_large_body_is_small() {
    let base = lines(0, 60_000);
    let mut target = base.clone();
    let middle = target.len() / 2;
    target.splice(middle..middle + 5, *b"another text");
    let delta = BodyDelta::between(&base, &target).expect("the bodies have most in common");
    assert!(delta.len() < 60, "{}", delta.len());
    assert_eq!(delta.apply(&base), Some(target));
}

#[test]
fn the_delta_of_several_edits_and_moved_parts_is_small() {
    let base = lines(0, 3_000);
    let target =
        [lines(1_000, 2_000), lines(9_000, 2), lines(0, 500), lines(9_100, 1), lines(500, 500)].concat();
    let delta = BodyDelta::between(&base, &target).expect("the bodies have most in common");
    assert!(delta.len() < 600, "{}", delta.len());
    assert_eq!(delta.apply(&base), Some(target));
}

#[test]
fn a_body_that_has_nothing_in_common_with_its_base_has_no_delta() {
    assert_eq!(BodyDelta::between(&[1; 1_000], &[2; 1_000]), None);
    assert_eq!(BodyDelta::between(b"", b"some text"), None);
    assert_eq!(BodyDelta::between(b"some text", b""), None);
}

#[test]
fn a_delta_that_saves_too_little_is_not_made() {
    let base = lines(0, 20_000);
    let with_new_bytes = |bytes: usize| [&base[..1_000], &vec![b'#'; bytes][..], &base[1_000..]].concat();
    assert!(BodyDelta::between(&base, &with_new_bytes(250 << 10)).is_some());
    assert_eq!(BodyDelta::between(&base, &with_new_bytes(257 << 10)), None);
    // Most of a short body is new.
    assert_eq!(BodyDelta::between(&base[..100], &with_new_bytes(1_000)[..1_600]), None);
}

#[test]
fn a_body_over_the_limit_has_no_delta() {
    let base = vec![7; MAX_BODY_BYTES];
    assert!(BodyDelta::between(&base, &base).is_some());
    assert_eq!(BodyDelta::between(&base, &vec![7; MAX_BODY_BYTES + 1]), None);
}

#[test]
fn a_delta_with_invalid_instructions_is_rejected() {
    // A valid delta: a target of two bytes by a copy of two bytes.
    assert_eq!(arbitrary_delta(&[2, 4, 0]).and_then(|delta| delta.apply(b"ab")), Some(b"ab".to_vec()));
    let invalid: [&[u8]; 9] = [
        // Empty; a target over the limit; a number of more than 64 bits.
        &[],
        &[0xff, 0xff, 0xff, 0x7f, 4, 0],
        &[0xff; 20],
        // Too few bytes; too many; a copy beyond the end of the base; a truncated insertion; an empty copy.
        &[3, 4, 0],
        &[1, 4, 0],
        &[2, 4, 1],
        &[2, 5, 9],
        &[2, 0, 0, 4, 0],
        // A copy whose start plus length overflows.
        &[2, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1],
    ];
    for instructions in invalid {
        assert_eq!(
            arbitrary_delta(instructions).and_then(|delta| delta.apply(b"ab")),
            None,
            "{instructions:?}"
        );
    }
}
