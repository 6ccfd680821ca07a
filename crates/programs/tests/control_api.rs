//! Heartbeats of model servers and digests of operator requests, as the HTTP API processes them.

use mosshead_programs::control_api::{parse_heartbeat, request_digest};
use mosshead_registry::{Model, OperState, Server, Stage};
use mosshead_time::Duration;
use quickcheck::{TestResult, quickcheck};

const HEARTBEAT: &str = include_str!("samples/heartbeat.json");

fn parse_changed_sample(from: &str, to: &str) -> Option<Server> {
    let text = HEARTBEAT.replace(from, to);
    assert_ne!(text, HEARTBEAT, "{from} is in the sample");
    parse_heartbeat("i-7f3a91c2", text.as_bytes())
}

#[test]
fn the_documented_sample_is_parsed() {
    let expected = Server {
        id: "i-7f3a91c2".into(),
        service: "huvo11a".into(),
        address: "10.128.0.9:8080".parse().expect("an address"),
        zone: "taoyuan-hall".into(),
        software_revision: "v1".into(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: Some(Stage::Decode),
        models: vec![Model { name: "m".into(), revision: 1, adapters: Vec::new() }],
        sequence: 4,
    };
    assert_eq!(parse_heartbeat("i-7f3a91c2", HEARTBEAT.as_bytes()), Some(expected));
}

#[test]
fn the_fields_of_a_heartbeat_are_parsed() {
    let state = |text: &str| parse_changed_sample("\"up\"", text).map(|server| server.state);
    assert_eq!(state("\"draining\""), Some(OperState::Draining));
    let stage = |text: &str| parse_changed_sample("\"decode\"", text).and_then(|server| server.stage);
    assert_eq!((stage("\"prefill\""), stage("null")), (Some(Stage::Prefill), None));
    let warming_up =
        parse_changed_sample("\"warmup_left_ms\":0", "\"warmup_left_ms\":1250,\"of_tomorrow\":[{}]");
    assert_eq!(warming_up.map(|server| server.warmup_remaining), Some(Duration::from_millis(1250)));
    let adapters =
        parse_changed_sample("\"adapter_list\":[]", "\"adapter_list\":[\"a\",\"b\"]").expect("valid");
    assert_eq!(adapters.models[0].adapters, ["a", "b"]);
}

#[test]
fn a_heartbeat_needs_a_service_and_an_address() {
    assert_eq!(parse_changed_sample("\"backend_service\"", "\"other\""), None);
    assert_eq!(parse_changed_sample("\"address\"", "\"other\""), None);
    assert_eq!(parse_changed_sample("10.128.0.9:8080", "10.128.0.9"), None);
    assert_eq!(parse_heartbeat("", HEARTBEAT.as_bytes()), None);
    assert_eq!(parse_heartbeat(&"i".repeat(201), HEARTBEAT.as_bytes()), None);
    let long = format!("{HEARTBEAT}{}", " ".repeat(256 * 1024));
    assert_eq!(parse_heartbeat("i", long.as_bytes()), None);
    for text in ["", "null", "[]", "{}", "4", "{\"backend_service\":4,\"address\":4}"] {
        assert_eq!(parse_heartbeat("i", text.as_bytes()), None, "{text}");
    }
}

quickcheck! {
    fn arbitrary_bytes_never_panic(id: String, body: Vec<u8>) -> bool {
        let _ = parse_heartbeat(&id, &body);
        true
    }

    /// A part of the sample is replaced by arbitrary bytes.
    fn a_mutated_sample_never_panics(position: usize, length: u8, replacement: Vec<u8>) -> bool {
        let mut bytes = HEARTBEAT.as_bytes().to_vec();
        let from = position % bytes.len();
        let to = (from + usize::from(length)).min(bytes.len());
        bytes.splice(from..to, replacement);
        let _ = parse_heartbeat("i", &bytes);
        true
    }

    /// Any number in place of a number of the sample is accepted or ignored.
    fn any_number_is_tolerated(number: f64) -> bool {
        let text = HEARTBEAT.replace("\"slots\":64", &format!("\"slots\":{number}"));
        let text = text.replace("\"sequence\":4", &format!("\"sequence\":{number}"));
        let _ = parse_heartbeat("i", text.as_bytes());
        true
    }

    fn the_same_request_has_the_same_digest(path: String, base: u64, body: Vec<u8>) -> bool {
        request_digest(&path, base, &body) == request_digest(&path, base, &body.clone())
    }

    fn another_path_has_another_digest(path: String, other: String, base: u64, body: Vec<u8>) -> TestResult {
        if path == other {
            return TestResult::discard();
        }
        TestResult::from_bool(request_digest(&path, base, &body) != request_digest(&other, base, &body))
    }

    fn another_base_has_another_digest(path: String, base: u64, other: u64, body: Vec<u8>) -> TestResult {
        if base == other {
            return TestResult::discard();
        }
        TestResult::from_bool(request_digest(&path, base, &body) != request_digest(&path, other, &body))
    }

    fn another_body_has_another_digest(path: String, base: u64, body: Vec<u8>, other: Vec<u8>) -> TestResult {
        if body == other {
            return TestResult::discard();
        }
        TestResult::from_bool(request_digest(&path, base, &body) != request_digest(&path, base, &other))
    }

    /// A difference in a single byte changes the digest.
    fn another_byte_has_another_digest(base: u64, body: Vec<u8>, position: usize, flipped_bits: u8) -> TestResult {
        if body.is_empty() || flipped_bits == 0 {
            return TestResult::discard();
        }
        let mut other = body.clone();
        other[position % body.len()] ^= flipped_bits;
        let path = "/Configuration.Replace";
        TestResult::from_bool(request_digest(path, base, &body) != request_digest(path, base, &other))
    }
}

#[test]
fn replace_and_modify_have_different_digests() {
    let (replace, modify) = ("/Configuration.Replace", "/Configuration.Modify");
    assert_ne!(request_digest(replace, 5, b"{}"), request_digest(modify, 5, b"{}"));
    assert_ne!(request_digest(replace, 5, b"{}"), request_digest(replace, 6, b"{}"));
    assert_ne!(request_digest(replace, 5, b"{}"), request_digest(replace, 5, b"{} "));
    assert_ne!(request_digest(replace, 5, b""), request_digest(replace, 5, b"\0"));
}

/// These two bodies had the same digest, c26c5b9c75a6ffec, under the 64-bit function of an earlier version. With a
/// collision, both operators are told that their change was accepted, although only one was.
#[test]
fn bodies_that_collided_in_a_64_bit_digest_have_different_digests() {
    let path = "/Configuration.Replace";
    let body = |text: &str| format!("{{\"revision\":1,\"x\":\"{text}\"}}").into_bytes();
    assert_ne!(request_digest(path, 0, &body("hHh6mvhYQDH")), request_digest(path, 0, &body("pRkmGoE1dMI")));
}

/// The expected SHA-256 was computed by another implementation, over path, base revision and body, each prefixed with
/// its length in eight bytes.
#[test]
fn the_digest_matches_another_implementation() {
    let expected = "c4fe1c8d04f00fa9be601e0475c40d7c7bba7bb26d093c614b49ffb490e3b756";
    assert_eq!(format!("{:?}", request_digest("/Configuration.Replace", 5, b"{}")), expected);
}

/// Prints the time to compute the digest of a large configuration:
/// `cargo test --release -p mosshead-programs cost_of_a_digest -- --nocapture`.
#[test]
fn the_cost_of_a_digest_is_printed() {
    let body = vec![b'x'; 3 << 20];
    let start = std::time::Instant::now();
    let rounds = 5;
    for round in 0..rounds {
        assert_ne!(request_digest("/Configuration.Replace", round, &body), request_digest("", round, b""));
    }
    println!("3 MiB: {:?} each", start.elapsed() / rounds as u32);
}

#[test]
fn a_deeply_nested_heartbeat_is_rejected() {
    for text in ["[".repeat(250_000), "{\"a\":".repeat(40_000)] {
        assert_eq!(parse_heartbeat("i", text.as_bytes()), None);
    }
}
