//! Arbitrary and mutated texts cause no panic, and are accepted only if they are valid JSON.

mod common;

use common::{EXAMPLE, Sample, assert_same, choose, example, parse};
use mosshead_config::Config;
use quickcheck::{Arbitrary, Gen, QuickCheck, quickcheck};
use tinyjson::JsonValue;

/// A configuration with a few bytes inserted, removed, replaced or repeated.
#[derive(Debug, Clone)]
struct MutatedText(Vec<u8>);

const FRAGMENTS: [&str; 24] = [
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "\"",
    "\\",
    "null",
    "0",
    "-1",
    "1e999",
    "\"a\"",
    "\"name\"",
    " ",
    "\n",
    "\\u12",
    "\\ud800",
    "é",
    "true",
    "{}",
    "[]",
    "\"route_entries\"",
    "[{\"name\":\"x\"}]",
];

fn mutate(g: &mut Gen, text: &str) -> MutatedText {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..choose(g, &[1, 1, 1, 2, 3, 8]) {
        let at = usize::arbitrary(g) % (bytes.len() + 1);
        let end = (at + usize::arbitrary(g) % 12).min(bytes.len());
        let new: Vec<u8> = match u8::arbitrary(g) % 5 {
            0 => Vec::new(),
            1 => vec![u8::arbitrary(g)],
            2 => bytes[at..end].repeat(2),
            _ => choose(g, &FRAGMENTS).as_bytes().to_vec(),
        };
        let end = if bool::arbitrary(g) { at } else { end };
        bytes.splice(at..end, new);
    }
    MutatedText(bytes)
}

impl Arbitrary for MutatedText {
    fn arbitrary(g: &mut Gen) -> Self {
        let sample = Sample::arbitrary(g).text();
        let text = if bool::arbitrary(g) { EXAMPLE } else { &sample };
        mutate(g, text)
    }
}

/// A mutated change or patch.
#[derive(Debug, Clone)]
struct MutatedChange(Vec<u8>);

impl Arbitrary for MutatedChange {
    fn arbitrary(g: &mut Gen) -> Self {
        let text = if bool::arbitrary(g) {
            common::SampleChange::arbitrary(g).text(u64::from(u8::arbitrary(g)))
        } else {
            let other = EXAMPLE.replace("2500", "2600").replace("r-2", "r-3");
            example().patch_to(&parse(&other).expect("valid"))
        };
        MutatedChange(mutate(g, &text).0)
    }
}

fn json(text: &str) -> JsonValue {
    text.parse().expect("JSON")
}

fn assert_round_trips(config: &Config) {
    assert_same(config, &parse(config.json()).expect("its own text is valid"));
    json(config.json());
}

quickcheck! {
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, text: String) -> bool {
        let config = example();
        for bytes in [bytes.as_slice(), text.as_bytes()] {
            let _ = (Config::parse(bytes), config.modify(bytes), Config::parse_replacement(Some(&config), bytes));
        }
        let _ = (config.apply_patch(&text), config.find_route(&text, &text));
        true
    }
}

#[test]
fn an_accepted_text_keeps_its_json_value() {
    fn property(mutated: MutatedText) -> bool {
        if let Ok(config) = Config::parse(&mutated.0) {
            assert_eq!(json(std::str::from_utf8(&mutated.0).expect("UTF-8")), json(config.json()));
            assert_round_trips(&config);
        }
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(MutatedText) -> bool);
}

#[test]
fn accepted_changes_and_patches_result_in_valid_configurations() {
    fn property(mutated: MutatedChange) -> bool {
        let config = example();
        if let Ok(config) = config.modify(&mutated.0) {
            json(std::str::from_utf8(&mutated.0).expect("UTF-8"));
            assert_round_trips(&config);
        }
        if let Ok(Ok(config)) = std::str::from_utf8(&mutated.0).map(|text| config.apply_patch(text)) {
            assert_round_trips(&config);
        }
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(MutatedChange) -> bool);
}

#[test]
fn incremental_parsing_of_mutated_texts_equals_full_parsing() {
    fn property(base: Sample, mutated: MutatedText) -> bool {
        let bases = [example(), parse(&base.text()).expect("valid")];
        bases.iter().all(|base| base.parse_sharing(&mutated.0) == Config::parse(&mutated.0))
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(Sample, MutatedText) -> bool);
}
