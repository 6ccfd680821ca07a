//! Each kind of error is reported with its code and location.

mod common;

use common::{EXAMPLE, example, parse};
use mosshead_config::{Config, ConfigError, ConfigErrorKind, ERROR_CODES, MAX_BYTES, MAX_DEPTH};

/// The error of the example after a part of its text is replaced.
fn error_with(old: &str, new: &str) -> ConfigError {
    assert!(EXAMPLE.contains(old), "{old} is in the example");
    parse(&EXAMPLE.replacen(old, new, 1)).expect_err("must be rejected")
}

fn code_and_location(error: ConfigError) -> (u16, String) {
    (error.code(), error.location)
}

fn assert_error(error: ConfigError, code: u16, location: &str) {
    assert_eq!(code_and_location(error), (code, location.to_owned()));
}

#[test]
fn a_truncated_text_is_malformed() {
    for end in 0..EXAMPLE.len() {
        let error = parse(&EXAMPLE[..end]).expect_err("cut short");
        assert_eq!(error.code(), 3, "cut at {end}: {error}");
    }
    for end in 0..EXAMPLE.len() {
        let tail = EXAMPLE.get(end + 1..).unwrap_or_default();
        let _ = parse(&format!("{}{tail}", &EXAMPLE[..end]));
    }
}

#[test]
fn a_text_that_is_not_json_is_malformed() {
    assert_error(Config::parse(b"{\"revision\":\xff1}").expect_err("bytes"), 2, "byte 12");
    assert_error(Config::parse(&vec![b' '; MAX_BYTES + 1]).expect_err("long"), 1, "body");
    for text in
        ["", " ", "x", "{]", "{}}", "{} {}", "{\"a\" 1}", "{\"a\":1,}", "{,}", "{\"a\":}", "{1:1}", "nul"]
    {
        assert_eq!(parse(text).expect_err(text).code(), 3, "{text}");
    }
    assert_eq!(parse(&format!("{EXAMPLE}x")).expect_err("trailing").code(), 3);
    assert_eq!(parse(&format!("{EXAMPLE},")).expect_err("trailing").code(), 3);
    assert_eq!(
        parse("[]").expect_err("a list"),
        ConfigError { kind: ConfigErrorKind::WrongType("an object"), location: "body".into() }
    );
    assert_error(error_with("\"blue\"", "blue"), 3, "route_entries[1]");
    assert_error(error_with("\"blue\"", "01"), 3, "route_entries[1]");
    assert_error(error_with("\"blue\"", "1 2"), 3, "route_entries[1]");
    assert_error(error_with("\"blue\"", "\"\\ud800\""), 3, "route_entries[1]");
    assert_error(error_with("\"later\": {", "\"later\": {1:"), 3, "later");
    assert_eq!(error_with("\"blue\"", "\"\\u 0041\"").code(), 3);
    assert_eq!(error_with("\"blue\"", "\"a\nb\"").code(), 3);
    assert_eq!(error_with("\"later\"", "\"la\nter\"").code(), 3);
    assert_eq!(error_with("\"later\"", "\"la\\ud800ter\"").code(), 3);
    assert_eq!(error_with("\"later\": {", "\"later\" {").code(), 3);
}

#[test]
fn a_text_nested_too_deep_is_rejected() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let deep = |levels: usize| format!("{}0{}", open.repeat(levels), close.repeat(levels));
        let text = |levels: usize| EXAMPLE.replace("\"blue\"", &deep(levels));
        // The value of the field is at nesting level three.
        assert!(parse(&text(MAX_DEPTH - 3)).is_ok());
        assert_eq!(parse(&text(MAX_DEPTH - 2)).expect_err("deep").code(), 4);
        assert_eq!(parse(&text(100_000)).expect_err("deep").code(), 4);
        assert_eq!(parse(&open.repeat(500_000)).expect_err("deep").code(), 4);
    }
}

#[test]
fn duplicate_keys_are_rejected() {
    assert_eq!(error_with("\"colour\":", "\"name\":").code(), 5);
    assert_eq!(error_with("\"colour\":", "\"n\\u0061me\":").code(), 5);
    assert_eq!(error_with("\"later\":", "\"limits\":").code(), 5);
    let error = error_with("\"text\":", "\"big\":");
    assert_eq!(error.kind, ConfigErrorKind::DuplicateKey("big".into()));
    assert_eq!(
        error.location,
        format!("byte {}", EXAMPLE.find("\"text\"").expect("contained in the example"))
    );
    assert!(parse(&EXAMPLE.replace("\"blue\"", "[{\"a\":1},{\"a\":{\"a\":2}},\"a\",\"a\"]")).is_ok());
}

#[test]
fn wrong_types_are_rejected() {
    for (old, new, location) in [
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
        assert_error(error_with(old, new), 6, location);
    }
}

#[test]
fn numbers_out_of_range_are_rejected() {
    let error = error_with("2500", "0");
    assert_eq!(error.to_string(), "M07 at route_entries[0].timeout_ms: must be above 0");
    for (old, new, location) in [
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
        assert_error(error_with(old, new), 7, location);
    }
    assert!(parse(&EXAMPLE.replacen("7,", "9007199254740992,", 1)).is_ok());
}

#[test]
fn missing_fields_are_rejected() {
    for (old, new, location) in [
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
        assert_error(error_with(old, new), 8, location);
    }
}

#[test]
fn an_unknown_service_is_rejected() {
    let error = error_with("\"backend_service\":\"huvo11a\"", "\"backend_service\":\"huvo11\"");
    assert_eq!(
        error.to_string(),
        "M09 at route_entries[0]: route \"r-1\" names the unknown service \"huvo11\""
    );
    assert_error(
        error_with(
            "{\"backend_service\":\"wuno96b\",\"weight\":10}",
            "{\"backend_service\":\"x\",\"weight\":0}",
        ),
        9,
        "route_entries[1]",
    );
    assert_error(
        error_with("\"weighted_backends\":[", "\"backend_service\":\"x\",\"weighted_backends\":["),
        9,
        "route_entries[1]",
    );
    assert_error(error_with("{\"name\":\"wuno96b\"", "{\"name\":\"wuno\""), 9, "route_entries[1]");
}

#[test]
fn routes_with_the_same_host_and_prefix_are_rejected() {
    let error = error_with("/lohu930/", "/pufi791/");
    assert_eq!(error.kind, ConfigErrorKind::DuplicateMatch("r-2".into(), "r-1".into()));
    assert_error(error, 10, "route_entries[1]");
    let text = EXAMPLE.replace("/lohu930/", "/pufi791/");
    assert!(parse(&text.replace("Ficu95.example", "other.example")).is_ok());
    assert_error(
        parse(&text.replace("Ficu95.example", "FICU95.example:80")).expect_err("same"),
        10,
        "route_entries[1]",
    );
}

#[test]
fn weights_that_add_up_to_zero_are_rejected() {
    let none = EXAMPLE.replace("\"weight\":90", "\"weight\":0").replace("\"weight\":10", "\"weight\":0.0");
    assert_error(parse(&none).expect_err("no weight"), 11, "route_entries[1].weighted_backends");
    let beside =
        none.replace("\"weighted_backends\":[", "\"backend_service\":\"huvo11a\",\"weighted_backends\":[");
    assert_error(parse(&beside).expect_err("no weight"), 11, "route_entries[1].weighted_backends");
    let empty = "\"weighted_backends\":[],\"other\":[";
    assert_error(error_with("\"weighted_backends\":[", empty), 11, "route_entries[1].weighted_backends");
}

#[test]
fn a_stale_revision_is_rejected() {
    let config = example();
    let replace = |revision: u64| {
        let text = EXAMPLE.replacen("7,", &format!("{revision},"), 1);
        Config::parse_replacement(Some(&config), text.as_bytes())
    };
    assert_eq!(
        replace(7).expect_err("equal").to_string(),
        "M12 at revision: 7 is not above the current revision, 7"
    );
    assert_error(replace(6).expect_err("below"), 12, "revision");
    assert_eq!(replace(8).map(|config| config.revision()), Ok(8));
    let modify = |revision: u64| config.modify(format!("{{\"revision\":{revision}}}").as_bytes());
    assert_error(modify(7).expect_err("equal"), 12, "revision");
    assert_error(modify(0).expect_err("below"), 12, "revision");
    assert_eq!(modify(12).map(|config| config.revision()), Ok(12));
    assert_eq!(Config::parse_replacement(None, EXAMPLE.as_bytes()), Ok(config.clone()));
    let zero = EXAMPLE.replacen("7,", "0,", 1);
    assert_error(
        Config::parse_replacement(None, zero.as_bytes()).expect_err("0 is no revision"),
        12,
        "revision",
    );
}

#[test]
fn duplicate_names_are_rejected() {
    assert_error(error_with("\"r-2\"", "\"r-1\""), 13, "route_entries[1].name");
    assert_error(error_with("\"r-2\"", "\"r-\\u0031\""), 13, "route_entries[1].name");
    assert_error(
        error_with("{\"name\":\"wuno96b\"", "{\"name\":\"huvo11a\""),
        13,
        "backend_services[1].name",
    );
    // In lists that this crate does not interpret, names may be equal.
    assert!(
        parse(&EXAMPLE.replace("\"later\":", "\"more\":[{\"name\":\"a\"},{\"name\":\"a\"}],\"later\":"))
            .is_ok()
    );
}

#[test]
fn error_messages_quote_only_the_beginning_of_a_text() {
    let long = "x".repeat(100_000);
    for error in [
        error_with("\"r-1\"", &format!("\"r-1\",\"backend_service\":\"{long}\",\"o\":\"")),
        error_with("\"backend_service\":\"wuno96b\"", &format!("\"backend_service\":\"é{long}\"")),
        error_with("\"blue\"", &format!("{{[\"{long}\"]:1}}")),
        error_with("\"later\": {", &format!("\"{long}\":{{\"{long}\":1,\"{long}\":2}},\"later\":{{")),
        error_with("\"later\":", &format!("\"{long}\":x,\"later\":")),
    ] {
        assert!(error.to_string().len() < 600, "{} bytes", error.to_string().len());
    }
}

/// The library quotes a key that is not a string, with the fields of an object in random order. Parsing one text 20
/// times gave up to 20 different messages.
#[test]
fn one_text_has_one_error_message() {
    let keys: String = (0..20).map(|number| format!("\"k{number}\":1,")).collect();
    let read = || error_with("\"blue\"", &format!("{{{{{keys}\"last\":1}}:2}}"));
    let first = read();
    assert_eq!(first.code(), 3);
    assert!(first.message().ends_with("Key of object must be string"), "{first}");
    (0..20).for_each(|_| assert_eq!(read(), first));
}

#[test]
fn the_table_of_codes_is_complete() {
    assert!(ERROR_CODES.iter().map(|(code, _)| *code).eq(1..=14));
    let error = error_with("2500", "0");
    assert_eq!((error.status(), error.message().as_str()), (400, "must be above 0"));
}
