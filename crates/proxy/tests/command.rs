//! The command line: sub-commands, exit codes, and errors in the configuration that name the key.

use std::process::{Command, Output};

use rstest::rstest;

fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mosshead"));
    command.args(arguments).env_remove("BALANCER_CONFIG").output().expect("the program runs")
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&["dance"])]
#[case::option(&["version", "--loud"])]
#[case::two(&["version", "serve"])]
#[case::no_config(&["serve"])]
fn an_invalid_command_line_exits_with_2(#[case] arguments: &[&str]) {
    let output = run_program(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("usage: mosshead serve"));
}

#[test]
fn the_version_is_printed() {
    let output = run_program(&["version"]);
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), format!("mosshead {}\n", env!("CARGO_PKG_VERSION")));
}

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:2","zone":"z","kind":"m","cell":3,"state":"SERVING","weight":1.0,"started_ms":0}]},
"settings":{"classes":[{"name":"slot-lookup","target_s":0.8,"deadline_s":4.0,"gain":1.0,"effect":"free"}],
"limits":{"may_cancel":true,"probes":true,"second_copies":true,"send_cap":4,"connect_timeout_s":0.25},
"membership_mode":"ask","tick_s":0.005,"reporting":{"how":"piggyback"},"weights":"silent","zone":"z","zones":["z"],
"rules":{"ask_within_s":10.0,"cold_from":0.35,"fall_multiple":3.0,"fall_s":3.0,"warm_up_s":8.3}}}"#;

/// If part of a configuration were ignored, the proxy would start and break rules hours later.
#[rstest]
#[case::valid("", "", "")]
#[case::not_json("{", "", "")]
#[case::missing("\"seed\":\"8c1f30d27a5be964\",", "", "missing field `seed`")]
#[case::address("\"127.0.0.1:0\"", "\"localhost\"", "listen: not an address")]
#[case::server("\"127.0.0.1:2\"", "7", "known.servers[0].addr: invalid type")]
#[case::state("SERVING", "DANCING", "known.servers[0].state: \"DANCING\" is not known")]
#[case::setting("\"send_cap\":4", "\"send_cap\":-4", "settings.limits.send_cap: invalid type")]
#[case::number("\"cold_from\":0.35", "\"cold_from\":35", "setting rules.cold_from is 35")]
#[case::sockets("\"sockets\":1024", "\"sockets\":8", "limits.sockets: too few")]
fn an_error_in_the_configuration_names_the_key(#[case] old: &str, #[case] new: &str, #[case] message: &str) {
    let config = if new.is_empty() && message.is_empty() && !old.is_empty() {
        old.to_owned()
    } else {
        CONFIG.replacen(old, new, 1)
    };
    let name = format!("mosshead-command-{}-{}.json", std::process::id(), message.len() + old.len() * 100);
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("the file is written");
    let output = run_program(&["check-config", "--config", path.to_str().expect("the path is text")]);
    let _ = std::fs::remove_file(&path);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    if old.is_empty() {
        assert!(output.status.success(), "{text}");
    } else {
        assert_eq!((output.status.code(), text.lines().count()), (Some(1), 1), "{text}");
        assert!(text.contains(message), "{text}");
    }
}

/// The proxy must use no folder that was not granted, and a misspelt key must not leave a granted folder unused.
#[test]
fn the_operators_own_file_is_checked_with_the_configuration() {
    let folder = tempfile::tempdir().expect("a folder");
    let (config, operators) = (folder.path().join("config.json"), folder.path().join("operators.json"));
    std::fs::write(&config, CONFIG).expect("the file is written");
    let check = |text: &str| {
        std::fs::write(&operators, text).expect("the file is written");
        let path = |path: &std::path::Path| path.to_str().expect("the path is text").to_owned();
        run_program(&["check-config", "--config", &path(&config), "--operators", &path(&operators)])
    };
    let example = check(include_str!("../../../deploy/operators.json"));
    let text = String::from_utf8_lossy(&example.stdout).into_owned();
    assert!(example.status.success() && text.contains("state is kept in /var/lib/mosshead"), "{text}");
    let bad = check(r#"{"state":{"folders":"/var/lib/mosshead"}}"#);
    let text = String::from_utf8_lossy(&bad.stderr).into_owned();
    assert_eq!(bad.status.code(), Some(1));
    assert!(text.contains("operators.json: state.folders: not known here"), "{text}");
    let without_file = run_program(&["check-config", "--config", config.to_str().expect("the path is text")]);
    let text = String::from_utf8_lossy(&without_file.stdout).into_owned();
    assert!(!text.contains("state"), "without the file nothing is granted");
}
