//! Tests of `mosshead::operators`.

use mosshead::OperatorConfig;

/// A misspelt key would be ignored, and a relative path would depend on the working directory.
#[test]
fn an_error_in_the_operators_file_names_the_key() {
    let with_folder = OperatorConfig { state: Some("/var/lib/mosshead".into()) };
    assert_eq!(OperatorConfig::read(r#"{"state":{"folder":"/var/lib/mosshead"}}"#), Ok(with_folder));
    assert_eq!(OperatorConfig::read("{}"), Ok(OperatorConfig::default()));
    for (text, message) in [
        (r#"{"stat":{}}"#, "stat: not known here"),
        (r#"{"state":{"folder":"x"}}"#, "state.folder: not an absolute path"),
        (r#"{"state":{"folder":"/x","size":1}}"#, "state.size: not known here"),
        (r#"{"state":{}}"#, "state: missing field `folder`"),
    ] {
        assert_eq!(OperatorConfig::read(text).expect_err(text).to_string(), message);
    }
}
