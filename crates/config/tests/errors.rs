//! Every fault, with its place.

mod common;

use common::{WHOLE, read, whole};
use mosshead_config::{Config, ConfigError, ConfigErrorKind, ERROR_CODES, MAX_BYTES, MAX_DEPTH};

/// The example with one piece of text exchanged.
fn with(old: &str, new: &str) -> ConfigError {
    assert!(WHOLE.contains(old), "{old} is in the example");
    read(&WHOLE.replacen(old, new, 1)).expect_err("must be refused")
}

fn at(fault: ConfigError) -> (u16, String) {
    (fault.code(), fault.location)
}

fn is(fault: ConfigError, code: u16, place: &str) {
    assert_eq!(at(fault), (code, place.to_owned()));
}

#[test]
fn a_text_cut_short_anywhere_is_refused() {
    for end in 0..WHOLE.len() {
        let fault = read(&WHOLE[..end]).expect_err("cut short");
        assert_eq!(fault.code(), 3, "cut at {end}: {fault}");
    }
    for end in 0..WHOLE.len() {
        let tail = WHOLE.get(end + 1..).unwrap_or_default();
        let _ = read(&format!("{}{tail}", &WHOLE[..end]));
    }
}

#[test]
fn a_text_that_is_not_json_is_refused() {
    is(Config::parse(b"{\"revision\":\xff1}").expect_err("bytes"), 2, "byte 12");
    is(Config::parse(&vec![b' '; MAX_BYTES + 1]).expect_err("long"), 1, "body");
    for text in
        ["", " ", "x", "{]", "{}}", "{} {}", "{\"a\" 1}", "{\"a\":1,}", "{,}", "{\"a\":}", "{1:1}", "nul"]
    {
        assert_eq!(read(text).expect_err(text).code(), 3, "{text}");
    }
    assert_eq!(read(&format!("{WHOLE}x")).expect_err("trailing").code(), 3);
    assert_eq!(read(&format!("{WHOLE},")).expect_err("trailing").code(), 3);
    assert_eq!(
        read("[]").expect_err("a list"),
        ConfigError { kind: ConfigErrorKind::WrongType("an object"), location: "body".into() }
    );
    is(with("\"blue\"", "blue"), 3, "route_entries[1]");
    is(with("\"blue\"", "01"), 3, "route_entries[1]");
    is(with("\"blue\"", "1 2"), 3, "route_entries[1]");
    is(with("\"blue\"", "\"\\ud800\""), 3, "route_entries[1]");
    is(with("\"later\": {", "\"later\": {1:"), 3, "later");
    assert_eq!(with("\"blue\"", "\"\\u 0041\"").code(), 3);
    assert_eq!(with("\"blue\"", "\"a\nb\"").code(), 3);
    assert_eq!(with("\"later\"", "\"la\nter\"").code(), 3);
    assert_eq!(with("\"later\"", "\"la\\ud800ter\"").code(), 3);
    assert_eq!(with("\"later\": {", "\"later\" {").code(), 3);
}

#[test]
fn a_text_nested_too_deep_is_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let deep = |levels: usize| format!("{}0{}", open.repeat(levels), close.repeat(levels));
        let text = |levels: usize| WHOLE.replace("\"blue\"", &deep(levels));
        // The item lies three levels down.
        assert!(read(&text(MAX_DEPTH - 3)).is_ok());
        assert_eq!(read(&text(MAX_DEPTH - 2)).expect_err("deep").code(), 4);
        assert_eq!(read(&text(100_000)).expect_err("deep").code(), 4);
        assert_eq!(read(&open.repeat(500_000)).expect_err("deep").code(), 4);
    }
}

#[test]
fn a_key_that_comes_twice_is_refused() {
    assert_eq!(with("\"colour\":", "\"name\":").code(), 5);
    assert_eq!(with("\"colour\":", "\"n\\u0061me\":").code(), 5);
    assert_eq!(with("\"later\":", "\"limits\":").code(), 5);
    let fault = with("\"text\":", "\"big\":");
    assert_eq!(fault.kind, ConfigErrorKind::DuplicateKey("big".into()));
    assert_eq!(fault.location, format!("byte {}", WHOLE.find("\"text\"").expect("there")));
    assert!(read(&WHOLE.replace("\"blue\"", "[{\"a\":1},{\"a\":{\"a\":2}},\"a\",\"a\"]")).is_ok());
}

#[test]
fn wrong_types_are_refused() {
    for (old, new, place) in [
        ("7,", "\"7\",", "revision"),
        ("2500", "\"2500\"", "route_entries[0].timeout_ms"),
        ("\"Ficu95.example\"", "1", "route_entries[0].host_header"),
        ("\"r-2\"", "[]", "route_entries[1].name"),
        ("true", "1", "route_entries[0].persistence"),
        ("\"streaming\"", "1", "route_entries[0].route_type"),
        (
            "\"backend_service\":\"huvo11a\",\"retry",
            "\"backend_service\":{},\"retry",
            "route_entries[0].backend_service",
        ),
        ("{\"backend_service\":\"huvo11a\",\"weight\":90}", "90", "route_entries[1].weighted_backends[0]"),
        ("\"weight\":10", "\"weight\":\"10\"", "route_entries[1].weighted_backends[1].weight"),
        ("360", "\"360\"", "backend_services[0].max_connections"),
        ("\"slots\":64", "\"slots\":{}", "backend_services[0].engine.slots"),
        ("[{\"name\":\"m\"}]", "\"m\"", "backend_services[0].engine.model_list"),
        ("16384,", "\"16384\",", "limits.max_header_bytes"),
        ("\"limits\": {", "\"limits\": [], \"other\": {", "limits"),
        ("\"route_entries\": [", "\"route_entries\": {}, \"other\": [", "route_entries"),
        ("\"route_entries\": [", "\"route_entries\": [3,", "route_entries[0]"),
        ("\"backend_services\": [", "\"backend_services\": null, \"other\": [", "backend_services"),
    ] {
        is(with(old, new), 6, place);
    }
}

#[test]
fn numbers_out_of_range_are_refused() {
    let fault = with("2500", "0");
    assert_eq!(fault.to_string(), "M07 at route_entries[0].timeout_ms: must be above 0");
    for (old, new, place) in [
        ("2500", "-1", "route_entries[0].timeout_ms"),
        ("2500", "1e999", "route_entries[0].timeout_ms"),
        ("2500", "0.0", "route_entries[0].timeout_ms"),
        ("2500", "-0", "route_entries[0].timeout_ms"),
        ("7,", "7.5,", "revision"),
        ("7,", "-7,", "revision"),
        ("7,", "9007199254740994,", "revision"),
        ("7,", "1e999,", "revision"),
        ("\"weight\":10", "\"weight\":-10", "route_entries[1].weighted_backends[1].weight"),
        ("\"weight\":10", "\"weight\":1e999", "route_entries[1].weighted_backends[1].weight"),
        ("\"/pufi791/\"", "\"pufi791/\"", "route_entries[0].path_prefix"),
        ("4194304", "-1", "limits.max_body_bytes"),
    ] {
        is(with(old, new), 7, place);
    }
    assert!(read(&WHOLE.replacen("7,", "9007199254740992,", 1)).is_ok());
}

#[test]
fn what_is_missing_is_refused() {
    for (old, new, place) in [
        ("\"revision\": 7,", "", "revision"),
        ("\"timeout_ms\":2500,", "", "route_entries[0].timeout_ms"),
        ("2500", "null", "route_entries[0].timeout_ms"),
        ("\"name\":\"r-1\",", "", "route_entries[0].name"),
        ("\"r-2\"", "\"\"", "route_entries[1].name"),
        ("\"host_header\":\"Ficu95.example\",", "", "route_entries[0].host_header"),
        ("\"Ficu95.example\"", "\":80\"", "route_entries[0].host_header"),
        ("\"path_prefix\":\"/pufi791/\",", "", "route_entries[0].path_prefix"),
        ("\"backend_service\":\"huvo11a\",\"retry", "\"retry", "route_entries[0].backend_service"),
        ("\"backend_service\":\"wuno96b\",", "", "route_entries[1].weighted_backends[1].backend_service"),
        ("{\"name\":\"wuno96b\",", "{", "backend_services[1].name"),
        ("\"route_entries\"", "\"routes\"", "route_entries"),
        ("\"backend_services\"", "\"services\"", "backend_services"),
    ] {
        is(with(old, new), 8, place);
    }
}

#[test]
fn an_unknown_service_is_refused() {
    let fault = with("\"backend_service\":\"huvo11a\"", "\"backend_service\":\"huvo11\"");
    assert_eq!(
        fault.to_string(),
        "M09 at route_entries[0]: route \"r-1\" names the unknown service \"huvo11\""
    );
    is(
        with("{\"backend_service\":\"wuno96b\",\"weight\":10}", "{\"backend_service\":\"x\",\"weight\":0}"),
        9,
        "route_entries[1]",
    );
    is(
        with("\"weighted_backends\":[", "\"backend_service\":\"x\",\"weighted_backends\":["),
        9,
        "route_entries[1]",
    );
    is(with("{\"name\":\"wuno96b\"", "{\"name\":\"wuno\""), 9, "route_entries[1]");
}

#[test]
fn two_routes_at_one_place_are_refused() {
    let fault = with("/lohu930/", "/pufi791/");
    assert_eq!(fault.kind, ConfigErrorKind::DuplicateMatch("r-2".into(), "r-1".into()));
    is(fault, 10, "route_entries[1]");
    let text = WHOLE.replace("/lohu930/", "/pufi791/");
    assert!(read(&text.replace("Ficu95.example", "other.example")).is_ok());
    is(read(&text.replace("Ficu95.example", "FICU95.example:80")).expect_err("same"), 10, "route_entries[1]");
}

#[test]
fn weights_that_add_up_to_nothing_are_refused() {
    let none = WHOLE.replace("\"weight\":90", "\"weight\":0").replace("\"weight\":10", "\"weight\":0.0");
    is(read(&none).expect_err("no weight"), 11, "route_entries[1].weighted_backends");
    let beside =
        none.replace("\"weighted_backends\":[", "\"backend_service\":\"huvo11a\",\"weighted_backends\":[");
    is(read(&beside).expect_err("no weight"), 11, "route_entries[1].weighted_backends");
    let empty = "\"weighted_backends\":[],\"other\":[";
    is(with("\"weighted_backends\":[", empty), 11, "route_entries[1].weighted_backends");
}

#[test]
fn a_revision_that_is_not_above_the_current_one_is_refused() {
    let config = whole();
    let replace = |revision: u64| {
        let text = WHOLE.replacen("7,", &format!("{revision},"), 1);
        Config::parse_replacement(Some(&config), text.as_bytes())
    };
    assert_eq!(
        replace(7).expect_err("equal").to_string(),
        "M12 at revision: 7 is not above the current revision, 7"
    );
    is(replace(6).expect_err("below"), 12, "revision");
    assert_eq!(replace(8).map(|config| config.revision), Ok(8));
    let modify = |revision: u64| config.modify(format!("{{\"revision\":{revision}}}").as_bytes());
    is(modify(7).expect_err("equal"), 12, "revision");
    is(modify(0).expect_err("below"), 12, "revision");
    assert_eq!(modify(12).map(|config| config.revision), Ok(12));
    assert_eq!(Config::parse_replacement(None, WHOLE.as_bytes()), Ok(config.clone()));
    let nothing = WHOLE.replacen("7,", "0,", 1);
    is(Config::parse_replacement(None, nothing.as_bytes()).expect_err("0 is none"), 12, "revision");
}

#[test]
fn two_items_of_one_name_are_refused() {
    is(with("\"r-2\"", "\"r-1\""), 13, "route_entries[1].name");
    is(with("\"r-2\"", "\"r-\\u0031\""), 13, "route_entries[1].name");
    is(with("{\"name\":\"wuno96b\"", "{\"name\":\"huvo11a\""), 13, "backend_services[1].name");
    // In lists that mean nothing here names may be as they like.
    assert!(
        read(&WHOLE.replace("\"later\":", "\"more\":[{\"name\":\"a\"},{\"name\":\"a\"}],\"later\":")).is_ok()
    );
}

#[test]
fn what_a_fault_says_is_short() {
    let long = "x".repeat(100_000);
    for fault in [
        with("\"r-1\"", &format!("\"r-1\",\"backend_service\":\"{long}\",\"o\":\"")),
        with("\"backend_service\":\"wuno96b\"", &format!("\"backend_service\":\"é{long}\"")),
        with("\"blue\"", &format!("{{[\"{long}\"]:1}}")),
        with("\"later\": {", &format!("\"{long}\":{{\"{long}\":1,\"{long}\":2}},\"later\":{{")),
        with("\"later\":", &format!("\"{long}\":x,\"later\":")),
    ] {
        assert!(fault.to_string().len() < 600, "{} bytes", fault.to_string().len());
    }
}

#[test]
fn the_table_has_every_code_once() {
    assert!(ERROR_CODES.iter().map(|(code, _)| *code).eq(1..=14));
    let fault = with("2500", "0");
    assert_eq!((fault.status(), fault.message().as_str()), (400, "must be above 0"));
}
