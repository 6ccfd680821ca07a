//! The command line: exit codes, errors that name what is wrong, and days that do not depend on where they run.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread::JoinHandle;

use rstest::rstest;
use serde_json::Value;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mossheadctl")).args(arguments).output().expect("the program can be run")
}

/// All that a command has printed.
fn printed_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

fn write_temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mossheadctl-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[rstest]
#[case::none(&[], "Usage")]
#[case::unknown(&["dance"], "unrecognized subcommand")]
#[case::scenario(&["simulate", "clam"], "no scenario \"clam\": name a TOML file, or one of calm, churn")]
#[case::policy(&["simulate", "calm", "--policy", "best"], "no policy \"best\": there are mosshead, random")]
#[case::seed(&["simulate", "calm", "--seed", "x"], "invalid value 'x'")]
#[case::oracle(&["simulate", "calm", "--policy", "oracle", "--processes", "2"], "use --threads")]
#[case::late(&["emulate", "calm", "--late-ms", "0"], "--late-ms 0: write a time above 0")]
#[case::missing(&["simulate", "/nonexistent.toml"], "/nonexistent.toml")]
fn a_usage_error_exits_with_2_and_is_named(#[case] arguments: &[&str], #[case] message: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2), "{}", printed_text(&output));
    assert!(printed_text(&output).contains(message), "{}", printed_text(&output));
}

/// The author of a scenario is told the file, the line, and what to write.
#[test]
fn an_invalid_scenario_is_rejected_with_file_line_and_help() {
    let text = include_str!("../../../scenarios/calm.toml").replacen("\"40s..50s\"", "\"40..50\"", 1);
    let path = write_temporary_file("unit", &text);
    let name = path.to_str().expect("the path is UTF-8");
    let output = run(&["simulate", name]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(output.status.code(), Some(2));
    let printed = printed_text(&output);
    assert!(printed.contains(name) && printed.contains("line 3"), "{printed}");
    assert!(printed.contains("needs a unit of time"), "{printed}");
}

#[test]
fn every_scenario_of_the_folder_is_built_in_and_valid() {
    let listed = printed_text(&run(&["scenarios"]));
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder is read") {
        let name = entry.expect("the entry is read").path();
        let name = name.file_stem().and_then(|stem| stem.to_str()).expect("the name is UTF-8").to_owned();
        assert!(listed.lines().any(|line| line.split(' ').next() == Some(&name)), "{name}");
        count += 1;
    }
    assert_eq!(listed.lines().count(), count);
    assert!(count >= 10);
}

fn play_day(arguments: &[&str]) -> Value {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(0), "{}", printed_text(&output));
    serde_json::from_slice(&output.stdout).expect("the day is printed as JSON")
}

/// Days can be compared only if they do not depend on how many processes play them.
#[test]
fn a_day_is_the_same_in_one_process_and_in_several() {
    let arguments = ["simulate", "churn", "--seed", "9", "--json"];
    let here = play_day(&arguments);
    assert!(here["facts"].as_u64().is_some_and(|facts| facts > 10_000));
    for hosts in [["--processes", "3"], ["--threads", "4"]] {
        let there = play_day(&[&arguments[..], &hosts[..]].concat());
        assert_eq!(here["digest"], there["digest"], "{hosts:?}");
        assert_eq!(here["ledger"], there["ledger"], "{hosts:?}");
    }
}

/// Scripts learn of a broken rule by the exit code, and people by the timeline of its request.
#[test]
fn a_broken_rule_exits_with_1_and_is_printed() {
    let output = run(&["simulate", "churn", "--policy", "two-reports", "--seed", "4"]);
    assert_eq!(output.status.code(), Some(1), "{}", printed_text(&output));
    assert!(printed_text(&output).contains("BROKEN at"), "{}", printed_text(&output));
}

#[test]
fn a_program_that_does_not_exist_is_named() {
    let output = run(&["emulate", "minute", "--", "/nonexistent/proxy"]);
    assert_eq!(output.status.code(), Some(1), "{}", printed_text(&output));
    assert!(printed_text(&output).contains("cannot start `/nonexistent/proxy`"), "{}", printed_text(&output));
}

/// The case that the language is for, from end to end: the checker names the line, the comparison names the effect.
#[test]
fn a_site_is_checked_compared_and_explained() {
    let broken = write_temporary_file(
        "broken",
        "pool \"old\" { kind \"oldest\"; }\nroute \"pay\" { class \"package-pay\"; to \"od\"; }\n",
    );
    let name = broken.to_str().expect("the path is UTF-8").to_owned();
    let output = run(&["config", "check", &name]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        printed_text(&output).contains("no pool is named \"od\"")
            && printed_text(&output).contains("did you mean")
    );
    let output = run(&["config", "check", &name, "--json"]);
    let faults: Value = serde_json::from_slice(&output.stdout).expect("the faults are printed as JSON");
    assert_eq!((&faults["faults"][0]["line"], &faults["faults"][0]["column"]), (&2.into(), &39.into()));

    let one = write_temporary_file(
        "one",
        "pool \"one\" { id \"s-8\"; }\nroute \"pay\" { class \"package-pay\"; to \"one\"; }\n",
    );
    let name = one.to_str().expect("the path is UTF-8").to_owned();
    assert_eq!(run(&["config", "check", &name]).status.code(), Some(0));
    let printed = printed_text(&run(&["config", "diff", "none", &name]));
    assert!(printed.contains("package-pay for band-voice now goes to 1 server of "), "{printed}");
    assert!(printed_text(&run(&["config", "diff", &name, &name])).contains("no change of behaviour"));
    let printed = printed_text(&run(&["config", "explain", &name, "--class", "package-pay"]));
    assert!(
        printed.contains("route \"pay\"") && printed.contains(":2)") && printed.contains("s-8"),
        "{printed}"
    );
    assert_eq!(run(&["config", "explain", &name, "--class", "dance"]).status.code(), Some(2));

    assert_eq!(run(&["config", "fmt", "--check", &name]).status.code(), Some(1));
    assert_eq!(run(&["config", "fmt", &name]).status.code(), Some(0));
    assert_eq!(run(&["config", "fmt", "--check", &name]).status.code(), Some(0));
    for path in [broken, one] {
        let _ = std::fs::remove_file(path);
    }
}

/// The example can be put in force without a change of what the proxies do.
#[test]
fn the_example_site_behaves_like_no_site() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/site.kdl");
    let output = run(&["config", "diff", "none", example]);
    assert!(
        output.status.success() && printed_text(&output).contains("no change of behaviour"),
        "{}",
        printed_text(&output)
    );
    assert!(run(&["config", "fmt", "--check", example]).status.success());
}

/// An admin endpoint that reports this stage, twice; its address, and the thread that serves it.
fn serve_stage(stage: &'static str) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the address is known").to_string();
    let server = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().expect("the command connects");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("the head is received completely");
                head.push(byte[0]);
            }
            assert!(head.starts_with(b"GET /ops/state HTTP/1.1\r\n"));
            let body = format!(
                r#"{{"stage":"{stage}","wants":"x","for_s":1.5,"full_after_s":0.25,"up_s":9,"life":3,"draining":false}}"#
            );
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(response.as_bytes()).expect("the response is written");
        }
    });
    (address, server)
}

/// Whoever waits for a fleet to recover needs one call to each proxy, an exit code that says whether all are in full service, and a
/// line also for a proxy that does not respond.
#[test]
fn way_back_reports_every_proxy_and_fails_unless_all_are_in_full_service() {
    let (full, full_server) = serve_stage("full");
    let (warming, warming_server) = serve_stage("warming");
    // The listener is dropped at once: nothing listens at its address any more.
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port is bound").local_addr();
    let closed = closed.expect("the address is known").to_string();
    let output = run(&["way-back", &full]);
    assert_eq!(output.status.code(), Some(0), "{}", printed_text(&output));
    assert!(printed_text(&output).contains("1 of 1 in full service"), "{}", printed_text(&output));
    let output = run(&["way-back", &full, &warming, &closed]);
    let printed = printed_text(&output);
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains("1 of 3 in full service") && printed.contains("no connection"), "{printed}");
    let output = run(&["way-back", "--json", &warming]);
    let line: Value = serde_json::from_slice(&output.stdout).expect("the line is JSON");
    assert_eq!((line["stage"].as_str(), line["at"].as_str()), (Some("warming"), Some(warming.as_str())));
    full_server.join().expect("both calls came");
    warming_server.join().expect("both calls came");
}

#[test]
fn a_study_writes_a_table_of_medians_its_days_and_charts() {
    let out = std::env::temp_dir().join(format!("mossheadctl-study-{}", std::process::id()));
    let folder = out.to_str().expect("the path is UTF-8");
    let arguments = [
        "back-study",
        "back-herd",
        "--virtual",
        "--seeds",
        "2",
        "--sizes",
        "3,6",
        "--folder",
        "kept",
        "--out",
        folder,
    ];
    let output = run(&arguments);
    assert_eq!(output.status.code(), Some(0), "{}", printed_text(&output));
    let table = std::fs::read_to_string(out.join("back-study.md")).expect("the table is written");
    assert_eq!(table.lines().filter(|line| line.starts_with("| back-herd")).count(), 2, "{table}");
    let days = std::fs::read_to_string(out.join("back-study.jsonl")).expect("the days are written");
    assert_eq!(days.lines().count(), 4);
    for chart in ["full.svg", "load.svg"] {
        let drawn = std::fs::read_to_string(out.join(chart)).expect("the chart is written");
        assert!(drawn.contains("back-herd"), "{chart}");
    }
    let _ = std::fs::remove_dir_all(&out);
    let output = run(&["back-study", "back-herd", "--virtual", "--folder", "gone"]);
    assert_eq!(output.status.code(), Some(2), "{}", printed_text(&output));
}
