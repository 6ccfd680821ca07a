//! Bytes of any kind: no panic, and nothing taken that isn't JSON.

mod common;

use common::{Sample, WHOLE, pick, read, same, whole};
use mosshead_config::Config;
use quickcheck::{Arbitrary, Gen, QuickCheck, quickcheck};
use tinyjson::JsonValue;

/// A text with a few bytes put in, taken out, exchanged or doubled.
#[derive(Debug, Clone)]
struct Bent(Vec<u8>);

const PIECES: [&str; 24] = [
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

fn bend(g: &mut Gen, text: &str) -> Bent {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..pick(g, &[1, 1, 1, 2, 3, 8]) {
        let at = usize::arbitrary(g) % (bytes.len() + 1);
        let end = (at + usize::arbitrary(g) % 12).min(bytes.len());
        let new: Vec<u8> = match u8::arbitrary(g) % 5 {
            0 => Vec::new(),
            1 => vec![u8::arbitrary(g)],
            2 => bytes[at..end].repeat(2),
            _ => pick(g, &PIECES).as_bytes().to_vec(),
        };
        let end = if bool::arbitrary(g) { at } else { end };
        bytes.splice(at..end, new);
    }
    Bent(bytes)
}

impl Arbitrary for Bent {
    fn arbitrary(g: &mut Gen) -> Self {
        let sample = Sample::arbitrary(g).text();
        let text = if bool::arbitrary(g) { WHOLE } else { &sample };
        bend(g, text)
    }
}

/// A change or a patch, bent.
#[derive(Debug, Clone)]
struct BentChange(Vec<u8>);

impl Arbitrary for BentChange {
    fn arbitrary(g: &mut Gen) -> Self {
        let text = if bool::arbitrary(g) {
            common::SampleChange::arbitrary(g).text(u64::from(u8::arbitrary(g)))
        } else {
            let other = WHOLE.replace("2500", "2600").replace("r-2", "r-3");
            whole().patch_to(&read(&other).expect("valid"))
        };
        BentChange(bend(g, &text).0)
    }
}

fn json(text: &str) -> JsonValue {
    text.parse().expect("JSON")
}

fn taken(config: &Config) {
    same(config, &read(config.json()).expect("its own text is valid"));
    json(config.json());
}

quickcheck! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>, text: String) -> bool {
        let config = whole();
        for bytes in [bytes.as_slice(), text.as_bytes()] {
            let _ = (Config::parse(bytes), config.modify(bytes), Config::parse_replacement(Some(&config), bytes));
        }
        let _ = (config.apply_patch(&text), config.find_route(&text, &text));
        true
    }
}

#[test]
fn what_is_taken_is_the_value_that_was_sent() {
    fn property(bent: Bent) -> bool {
        if let Ok(config) = Config::parse(&bent.0) {
            assert_eq!(json(std::str::from_utf8(&bent.0).expect("UTF-8")), json(config.json()));
            taken(&config);
        }
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(Bent) -> bool);
}

#[test]
fn bent_changes_and_patches_are_taken_whole_or_refused() {
    fn property(bent: BentChange) -> bool {
        let config = whole();
        if let Ok(config) = config.modify(&bent.0) {
            json(std::str::from_utf8(&bent.0).expect("UTF-8"));
            taken(&config);
        }
        if let Ok(Ok(config)) = std::str::from_utf8(&bent.0).map(|text| config.apply_patch(text)) {
            taken(&config);
        }
        true
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(BentChange) -> bool);
}

#[test]
fn bent_texts_are_read_beside_another_as_alone() {
    fn property(base: Sample, bent: Bent) -> bool {
        let bases = [whole(), read(&base.text()).expect("valid")];
        bases.iter().all(|base| base.parse_sharing(&bent.0) == Config::parse(&bent.0))
    }
    QuickCheck::new().tests(3_000).quickcheck(property as fn(Sample, Bent) -> bool);
}
