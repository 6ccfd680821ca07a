//! Valid configurations are parsed with their defaults and minimums, and keep their text.

mod common;

use std::time::Duration;

use common::{EXAMPLE, example, parse};
use mosshead_config::{Config, Limits, RouteType, WeightedBackend};

fn backend(service: &str, weight: f64) -> WeightedBackend {
    WeightedBackend { service: service.to_owned(), weight }
}

#[test]
fn the_example_is_parsed() {
    let config = example();
    assert_eq!(config.revision(), 7);
    let [first, second] = config.routes().as_ref() else { panic!("two routes") };
    assert_eq!((first.name.as_str(), first.host.as_str()), ("r-1", "ficu95.example"));
    assert_eq!((first.path_prefix.as_str(), first.route_type), ("/pufi791/", RouteType::Streaming));
    assert_eq!(
        (first.timeout, first.target_latency),
        (Duration::from_millis(2500), Duration::from_millis(300))
    );
    assert_eq!(first.priority, 0);
    assert_eq!(first.backends, [backend("huvo11a", 1.0)]);
    assert_eq!((first.retry_count, first.persistence, first.resume), (2, true, true));
    assert_eq!(first.event_gap_target, Duration::from_millis(200));
    assert_eq!(second.backends, [backend("huvo11a", 90.0), backend("wuno96b", 10.0)]);
    assert_eq!((second.retry_count, second.route_type), (1, RouteType::NonIdempotent));
    assert!(first.is_idempotent() && !second.is_idempotent());
    let service = config.service("huvo11a").expect("a service");
    assert_eq!((service.health_path.as_str(), service.max_connections), ("/health", 360));
    let engine = service.engine.as_ref().expect("an engine");
    assert_eq!((engine.slots, engine.cache_tokens, engine.token_size_bytes), (64, 648_485, 163_840));
    assert_eq!((engine.link_mbps, engine.stride), (1_700_000.0, 9));
    assert_eq!(
        (engine.handle_ttl, engine.stage_switch_time),
        (Duration::from_secs(5), Duration::from_millis(860))
    );
    assert_eq!(engine.models, ["m"]);
    assert!(config.services()["wuno96b"].engine.is_none());
    assert_eq!(*config.limits(), Limits::default());
}

#[test]
fn the_text_is_kept_without_white_space() {
    let config = example();
    let text = config.json();
    assert!(
        text.starts_with(r#"{"revision":7,"route_entries":[{"name":"r-1","host_header":"Ficu95.example","#)
    );
    assert!(text.contains(r#""link_mbps":1700000.0,"#), "numbers are spelled as sent");
    assert!(text.contains(r#""colour":"blue""#), "unknown fields of items stay");
    assert!(text.ends_with(r#""later":{"big":12345678901234567890,"text":"a b\t\u0041"}}"#));
    assert_eq!(Config::parse(text.as_bytes()).as_ref(), Ok(&config));
}

#[test]
fn absent_fields_have_defaults() {
    let config = parse(
        r#"{"revision":1.0,"route_entries":[{"name":"r","host_header":"h:8080","path_prefix":"/","timeout_ms":0.5,
            "backend_service":"s","resume":null,"weighted_backends":[]}],"backend_services":[{"name":"s"}]}"#,
    )
    .expect("valid");
    let route = &config.routes()[0];
    let one_milli = Duration::from_millis(1);
    assert_eq!((route.host.as_str(), route.timeout, route.target_latency), ("h", one_milli, one_milli));
    assert_eq!((route.route_type, route.priority, route.retry_count), (RouteType::NonIdempotent, 5, 1));
    assert!(!route.persistence && !route.resume && route.event_gap_target.is_zero());
    let service = &config.services()["s"];
    assert_eq!((service.health_path.as_str(), service.max_connections), ("/health", 64));
    assert_eq!(*config.limits(), Limits::default());
}

#[test]
fn limits_have_minimums() {
    let text = EXAMPLE.replace("16384,", "0,").replace("15000}", "1}").replace("4194304", "5e5");
    let limits = *parse(&text).expect("valid").limits();
    assert_eq!(limits.max_header_bytes, Limits::MINIMUM.max_header_bytes);
    assert_eq!(limits.idle_timeout, Limits::MINIMUM.idle_timeout);
    assert_eq!((limits.max_body_bytes, limits.header_timeout), (500_000, Duration::from_secs(3)));
}

#[test]
fn a_service_with_weight_zero_is_never_chosen() {
    let text = EXAMPLE.replace("\"weight\":90", "\"weight\":0.0");
    let config = parse(&text).expect("one weight may be 0");
    let route = &config.routes()[1];
    for unit in [0.0, 0.3, 1.0, -1.0, 2.0, f64::NAN] {
        assert_eq!(route.choose_service(unit), Some("wuno96b"));
    }
    let with_both = example();
    assert_eq!(with_both.routes()[1].choose_service(0.89), Some("huvo11a"));
    assert_eq!(with_both.routes()[1].choose_service(0.91), Some("wuno96b"));
}

#[test]
fn a_single_service_in_addition_to_weighted_ones_gets_no_request() {
    let text =
        EXAMPLE.replace("\"weighted_backends\":[", "\"backend_service\":\"wuno96b\",\"weighted_backends\":[");
    let text = text.replace(",{\"backend_service\":\"wuno96b\",\"weight\":10}", "");
    let config = parse(&text).expect("valid");
    assert_eq!(config.routes()[1].backends, [backend("huvo11a", 90.0), backend("wuno96b", 0.0)]);
    assert_eq!(config.routes()[1].choose_service(1.0), Some("huvo11a"));
}

const ONE_ROUTE: &str = r#"{"revision":1,"route_entries":[{"name":NAME,"host_header":"h","path_prefix":"/",
    "timeout_ms":TIMEOUT,"backend_service":"s"}],"backend_services":[{"name":"s"}]}"#;

/// Most values are parsed without the library, which is slower. The results must be the same as those of the library.
#[test]
fn numbers_are_parsed_as_the_library_parses_them() {
    let numbers = [
        "1",
        "9",
        "10",
        "2500",
        "123456789012345",
        "999999999999999",
        "1234567890123456",
        "9007199254740991",
        "9007199254740993",
        "99999999999999999999",
        "0.5",
        "1.5",
        "1e3",
        "1E+2",
        "2.50",
        "01",
        "007",
        "+1",
        "1x",
        "1_0",
        "--1",
        "1.",
        ".5",
        "1e",
        "0x1",
        "tru",
        "nulll",
        "\"",
        "1 1",
        "[1",
        "{\"a\"}",
        "[1,]",
        "{,}",
    ];
    for number in numbers {
        let text = ONE_ROUTE.replace("NAME", "\"r\"").replace("TIMEOUT", number);
        match (parse(&text), number.parse::<tinyjson::JsonValue>()) {
            (Ok(config), Ok(tinyjson::JsonValue::Number(value))) => {
                let max_whole_number = 9_007_199_254_740_992.0;
                let timeout = Duration::from_millis(f64::min(value, max_whole_number).ceil() as u64);
                assert_eq!(config.routes()[0].timeout, timeout, "{number}");
            }
            (Err(error), Err(_)) => assert_eq!(error.code(), 3, "{number}"),
            (config, value) => panic!("{number}: {config:?}, {value:?}"),
        }
    }
}

quickcheck::quickcheck! {
    fn any_name_is_parsed_as_it_was_written(name: String) -> bool {
        let quoted = tinyjson::JsonValue::from(name.clone()).stringify().expect("a string");
        let config = parse(&ONE_ROUTE.replace("TIMEOUT", "1").replace("NAME", &quoted));
        config.map_or(name.is_empty(), |config| config.routes()[0].name == name)
    }
}
