//! Changes by `Configuration.Modify`.

mod common;

use common::{Sample, SampleChange, apply_change, assert_same, example, parse};
use mosshead_config::{Config, ConfigError, Limits, MAX_BYTES, WeightedBackend};
use quickcheck::quickcheck;

fn modify(text: &str) -> Result<Config, ConfigError> {
    example().modify(text.as_bytes())
}

const ROUTE: &str =
    r#"{"name":"r-9","host_header":"h","path_prefix":"/","timeout_ms":1,"backend_service":"wuno96b"}"#;

#[test]
fn items_are_replaced_in_place_and_added_at_the_end() {
    let first = ROUTE.replace("r-9", "r-1").replace("\"/\"", "\"/n/\"");
    let config = modify(&format!(
        r#"{{"revision":9,"upsert":{{"route_entries":[{ROUTE},{first}]}},"withdraw":{{"route_entries":["r-2","r-0"]}}}}"#
    ))
    .expect("valid");
    assert_eq!(config.revision(), 9);
    assert!(config.routes().iter().map(|route| route.name.as_str()).eq(["r-1", "r-9"]));
    assert_eq!(config.routes()[0].path_prefix, "/n/");
    assert!(
        config.json().starts_with(&format!(r#"{{"revision":9,"route_entries":[{first},{ROUTE}],"backend_"#))
    );
    assert!(config.json().ends_with(r#""text":"a b\t\u0041"}}"#));
    assert_same(&config, &parse(config.json()).expect("valid"));
}

#[test]
fn an_item_withdrawn_and_upserted_moves_to_the_end() {
    let second = ROUTE.replace("r-9", "r-1");
    let config = modify(&format!(
        r#"{{"revision":9,"upsert":{{"route_entries":[{second}]}},"withdraw":{{"route_entries":["r-1"]}}}}"#
    ))
    .expect("valid");
    assert!(config.routes().iter().map(|route| route.name.as_str()).eq(["r-2", "r-1"]));
}

#[test]
fn limits_and_unknown_lists_are_changed() {
    let config = modify(
        r#"{"revision":9,"upsert":{"limits":{"max_header_bytes":20000},"walls":[{"name":"a"},{"name":"b","x":1}]},
            "withdraw":null,"why":"x"}"#,
    )
    .expect("valid");
    assert_eq!(*config.limits(), Limits { max_header_bytes: 20_000, ..Limits::default() });
    let config = config
        .modify(br#"{"revision":10,"upsert":{"walls":[{"name":"b","x":2}]},"withdraw":{"walls":["a"],"doors":["a"]}}"#)
        .expect("valid");
    assert!(config.json().contains(r#""walls":[{"name":"b","x":2}]"#));
    assert!(config.json().contains(r#""limits":{"max_header_bytes":20000}"#));
    assert_same(&config, &parse(config.json()).expect("valid"));
}

#[test]
fn every_part_of_a_change_is_validated() {
    let code_and_location = |text: &str| {
        modify(text).map_err(|error| (error.code(), error.location)).expect_err("must be rejected")
    };
    let assert_error = |text: &str, code: u16, location: &str| {
        assert_eq!(code_and_location(text), (code, location.to_owned()), "{text}");
    };
    assert_error(r#"{"revision":9,"withdraw":{"backend_services":["wuno96b"]}}"#, 9, "route_entries[1]");
    let one = |route: &str| format!(r#"{{"revision":9,"upsert":{{"route_entries":[{route}]}}}}"#);
    assert_error(&one(&ROUTE.replace("wuno96b", "w")), 9, "route_entries[2]");
    assert_error(
        &one(&ROUTE.replace("\"h\"", "\"ficu95.example\"").replace("\"/\"", "\"/lohu930/\"")),
        10,
        "route_entries[2]",
    );
    assert_error(&one(&ROUTE.replace(":1", ":0")), 7, "upsert.route_entries[0].timeout_ms");
    assert_error(&one(&format!("{ROUTE},{ROUTE}")), 13, "upsert.route_entries[1].name");
    assert_error(&one("{}"), 8, "upsert.route_entries[0].name");
    assert_error(r#"{"upsert":{}}"#, 8, "revision");
    assert_error(r#"{"revision":null}"#, 6, "revision");
    assert_error(r#"{"revision":9,"upsert":[]}"#, 6, "upsert");
    assert_error(r#"{"revision":9,"withdraw":{"route_entries":"r-1"}}"#, 6, "withdraw.route_entries");
    assert_error(r#"{"revision":9,"withdraw":{"route_entries":[1]}}"#, 6, "withdraw.route_entries[0]");
    assert_error(r#"{"revision":9,"upsert":{"route_entries":{}}}"#, 6, "upsert.route_entries");
    assert_error(r#"{"revision":9,"upsert":{"later":[{"name":"a"}]}}"#, 6, "upsert.later");
    assert_error(r#"{"revision":9,"upsert":{"limits":[]}}"#, 6, "upsert.limits");
    assert_error(r#"{"revision":9,"upsert":{"limits":{"max_body_bytes":-1}}}"#, 7, "limits.max_body_bytes");
    assert_error(r#"{"revision":9,"upsert":{"route_entries":[]},"why":nothing}"#, 3, "why");
    assert_eq!(code_and_location(r#"{"revision":9,"revision":10}"#).0, 5);
    assert_eq!(code_and_location(r#"{"revision":9"#).0, 3);
    assert_error("[]", 6, "body");
}

#[test]
fn a_service_moves_with_its_routes() {
    let text = r#"{"revision":9,"upsert":{"backend_services":[{"name":"new"}],"route_entries":[
        {"name":"r-2","host_header":"ficu95.example","path_prefix":"/lohu930/","timeout_ms":5,"backend_service":"new"}]},
        "withdraw":{"backend_services":["wuno96b"]}}"#;
    let config = modify(text).expect("valid");
    assert!(config.services().keys().eq(["huvo11a", "new"]));
    assert_eq!(config.routes()[1].backends, [WeightedBackend { service: "new".to_owned(), weight: 1.0 }]);
}

quickcheck! {
    /// Modify and Replace with the same resulting lists give the same configuration or the same error.
    fn modify_equals_replace_with_the_changed_lists(sample: Sample, changes: SampleChange) -> bool {
        let before = parse(&sample.text()).expect("samples are valid");
        let mut after = sample.clone();
        after.revision += 1 + sample.revision % 3;
        apply_change(&mut after.routes, &changes.routes, &changes.withdrawn_routes);
        apply_change(&mut after.services, &changes.services, &changes.withdrawn_services);
        let modified = before.modify(changes.text(after.revision).as_bytes());
        let replaced = Config::parse_replacement(Some(&before), after.text().as_bytes());
        match (modified, replaced) {
            (Ok(modified), Ok(replaced)) => {
                assert_same(&modified, &replaced);
                true
            }
            (Err(one), Err(other)) => one == other,
            (one, other) => panic!("{one:?} and {other:?}"),
        }
    }
}

#[test]
fn a_change_may_not_make_the_text_too_long() {
    let upsert = |key: &str| {
        let big = "x".repeat(MAX_BYTES * 2 / 3);
        format!(r#"{{"revision":9,"upsert":{{"{key}":"{big}"}}}}"#)
    };
    let config = modify(&upsert("one")).expect("within the limit");
    let error = config.modify(upsert("two").replace(":9", ":10").as_bytes()).expect_err("above the limit");
    assert_eq!((error.code(), error.location.as_str()), (1, "body"));
    let smaller = config.modify(br#"{"revision":11,"upsert":{"one":1}}"#).expect("valid");
    for (from, to) in [(&config, &smaller), (&smaller, &config)] {
        assert_same(&from.apply_patch(&from.patch_to(to)).expect("the patch applies"), to);
    }
}
