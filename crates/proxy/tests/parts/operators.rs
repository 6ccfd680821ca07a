//! Tests of `mosshead::operators`.

use mosshead::OperatorConfig;

/// Guards against a folder that nobody meant: a misspelt key or a path that depends on where the program was started.
#[test]
fn what_is_at_fault_is_named() {
    let granted = OperatorConfig { state: Some("/var/lib/mosshead".into()) };
    assert_eq!(OperatorConfig::read(r#"{"state":{"folder":"/var/lib/mosshead"}}"#), Ok(granted));
    assert_eq!(OperatorConfig::read("{}"), Ok(OperatorConfig::default()));
    for (text, fault) in [
        (r#"{"stat":{}}"#, "stat: not known here"),
        (r#"{"state":{"folder":"x"}}"#, "state.folder: not an absolute path"),
        (r#"{"state":{"folder":"/x","size":1}}"#, "state.size: not known here"),
        (r#"{"state":{}}"#, "state: missing field `folder`"),
    ] {
        assert_eq!(OperatorConfig::read(text).expect_err(text).to_string(), fault);
    }
}
