//! The values read from JSON, and the error messages.

use mosshead_settings::{InvalidValue, JsonError, JsonField, parse_json};

/// Reads a text with a function; an error is returned as its message.
fn read<T>(text: &str, read: impl Fn(&JsonField) -> Result<T, JsonError>) -> Result<T, String> {
    let json = parse_json(text).map_err(|error| error.to_string())?;
    read(&JsonField::root(&json)).map_err(|error| error.to_string())
}

#[test]
fn an_error_names_the_path_of_the_value() {
    let target = |root: &JsonField| root.field("classes")?.items()?[1].field("target_s")?.number();
    assert_eq!(read(r#"{"classes":[{},{"target_s":2.5}]}"#, target), Ok(2.5));
    for (text, error) in [
        (
            r#"{"classes":[{},{"target_s":"2"}]}"#,
            "classes[1].target_s: invalid type: \"2\", expected a number",
        ),
        (r#"{"classes":[{},{"target_s":null}]}"#, "classes[1]: missing field `target_s`"),
        (r#"{"classes":[{},7]}"#, "classes[1]: invalid type: 7, expected an object"),
        (r#"{"classes":{}}"#, "classes: invalid type: an object, expected a list"),
        ("{}", "missing field `classes`"),
        ("true", "invalid type: true, expected an object"),
    ] {
        assert_eq!(read(text, target), Err(error.to_owned()), "{text}");
    }
}

#[test]
fn integers_are_accepted_only_in_the_exact_range() {
    for (text, number) in [("0", Some(0)), ("7", Some(7)), ("9007199254740991", Some((1 << 53) - 1))] {
        assert_eq!(read(text, |root| root.integer()).ok(), number, "{text}");
    }
    for text in ["-1", "0.5", "9007199254740992", "1e400", "\"7\""] {
        assert!(read(text, |root| root.integer()).is_err(), "{text}");
    }
}

#[test]
fn names_are_mapped_to_values() {
    let names = [("push", 1), ("ask", 2)];
    assert_eq!(read("\"ask\"", |root| root.one_of(&names)), Ok(2));
    assert_eq!(read("\"pull\"", |root| root.one_of(&names)), Err("\"pull\" is not known".to_owned()));
    let broken = JsonError::Invalid { path: String::new(), reason: InvalidValue::BrokenRule("too large") };
    assert_eq!(JsonField::root(&parse_json("7").expect("JSON")).broken_rule("too large"), broken);
}

#[test]
fn a_text_that_nests_too_deeply_is_rejected_before_it_is_parsed() {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    assert!(parse_json(&nested(32)).is_ok());
    assert_eq!(parse_json(&nested(33)).err(), Some(JsonError::TooDeep));
    assert_eq!(parse_json(&nested(1_000_000)).err(), Some(JsonError::TooDeep));
    assert!(
        parse_json(&format!("[\"{}\\\"[\"]", "[".repeat(100))).is_ok(),
        "brackets in strings don't count"
    );
    assert!(matches!(parse_json("{").err(), Some(JsonError::Syntax(_))));
}
