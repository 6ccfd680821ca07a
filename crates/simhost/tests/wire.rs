//! The simulator's wire protocol: sample exchanges, unusual but valid input, and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use mosshead_simhost::{LineError, Session, WireError};

const SETTINGS: &str = r#"{"classes":[{"deadline_s":1.0,"dedup_window_s":5.0,"effect":"free","gain":2.0,"group":"all","late_worth":0.0,"name":"read","streaming":false,"target_s":0.4},{"deadline_s":2.0,"effect":"single_shot","gain":10.0,"late_worth":0.0,"name":"write","target_s":0.4}],"unknown":{"a":[1]},"group_size":3,"limits":{"may_cancel":true,"most_held":20000,"probes":false,"retry_after":true,"max_retry_after_s":1.5,"second_copies":true,"keepalive_s":30.0,"send_cap":3},"machine_types":["m"],"membership_mode":"push","over_share_worth":0.1,"prices":{"cross_zone":0.12},"rank":0,"reporting":{"how":"piggyback","names":["queue","inflight"]},"rules":{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_from":0.15,"drain_grace_s":0.25,"fall_multiple":3.0,"fall_s":1.5,"warm_up_s":23.0},"tenants":[{"name":"farm","quota_per_s":172.0,"share":0.45}],"tick_s":0.005,"weights":"nominal","zone":"b","zones":["a","b"]}"#;

/// A batch that configures instance 3 and gives it a list with one server.
fn configuration_lines() -> Vec<String> {
    vec![
        "turn ts_s=8".into(),
        "about i=3".into(),
        format!("configure rng_seed=5 info={SETTINGS}"),
        "list bank=0 lines=1".into(),
        "item group=0 readiness=Running family_type=m share=1.5 server=10.0.0.1:80 failure_domain=b".into(),
        "topology bank=0 scope=SAVED serial=1".into(),
    ]
}

fn lines_after_configuration(more: &[&str]) -> Vec<String> {
    configuration_lines().into_iter().chain(more.iter().map(|line| line.to_string())).collect()
}

/// Returns all replies of a session.
fn play(lines: &[String]) -> Result<String, WireError> {
    let mut session = Session::new();
    let mut replies = String::new();
    for line in lines {
        replies += &session.handle_line(line)?.unwrap_or_default();
    }
    session.finish()?;
    Ok(replies)
}

/// Returns the error message of a session.
fn error_of(lines: &[String]) -> String {
    play(lines).expect_err("the input has an error").to_string()
}

/// Returns the error message of an instance with these settings.
fn settings_error(settings: &str) -> String {
    error_of(&lines_after_configuration(&[&format!("configure rng_seed=1 info={settings}"), "commit"]))
}

const REQUEST: &str = "ingress job=00000000000000aa ttl_s=0.9 band=write client_group=farm flags=0";

#[test]
fn a_request_is_delivered_and_surrendered_after_its_error() {
    let reply = play(&lines_after_configuration(&[
        REQUEST,
        "commit",
        "turn ts_s=8.01",
        "about i=3",
        "report_back server=10.0.0.1:80 job=00000000000000aa round_no=0 verdict=BAD rtt_s=0.01 settled=0 metrics=queue:3,inflight:7,new:1",
        "commit",
    ]))
    .expect("the lines are legal");
    assert_eq!(
        reply,
        "as i=3\ndeliver job=00000000000000aa server=10.0.0.1:80 until_s=8.900000\ndefer in_s=0.395000 cookie=1\n\
         yield\nas i=3\nsurrender job=00000000000000aa\nyield\n"
    );
}

#[test]
fn decisions_of_an_instance_that_stops_in_the_same_batch_are_dropped() {
    let mut all = lines_after_configuration(&[REQUEST, "stop"]);
    all.extend(configuration_lines().into_iter().skip(2));
    all.push("commit".into());
    assert_eq!(play(&all).expect("the lines are legal"), "yield\n");
}

#[test]
fn a_list_number_may_be_reused_within_a_batch() {
    let reply = play(&lines_after_configuration(&[
        "list bank=0 lines=1",
        "item group=1 readiness=Running server=10.0.0.2:80 failure_domain=elsewhere",
        "topology bank=0 scope=FULL serial=2",
        REQUEST,
        "commit",
    ]))
    .expect("the lines are legal");
    assert!(reply.contains("server=10.0.0.2:80") && !reply.contains("10.0.0.1"), "{reply}");
}

#[test]
fn unusual_valid_input_is_accepted() {
    for more in [
        &["mail who=2 raw=68692037", "commit"][..],
        &["withdrawn job=00000000000000ff", "tick_due cookie=77", "commit", "turn ts_s=9", "commit"],
        &["list bank=4 lines=0", "topology bank=4 scope=FULL serial=2", "commit"],
        &["topology bank=9 scope=FAILED serial=2", "commit"],
        &[
            REQUEST,
            "withdrawn job=00000000000000aa",
            "begun job=00000000000000aa round_no=0 rtt_s=0.1",
            "commit",
        ],
        &["probe_done server=10.0.0.1:80 verdict=GOOD rtt_s=0.1 metrics=queue:0,inflight:0", "commit"],
    ] {
        let reply =
            play(&lines_after_configuration(more)).unwrap_or_else(|error| panic!("{more:?}: {error}"));
        assert!(reply.ends_with("yield\n"));
    }
}

/// `read` may be served only by `special` machines in zone `a`; no list has machines of that kind at first.
#[test]
fn bindings_and_objectives_reach_the_decisions() {
    let bound = SETTINGS
        .replacen("\"name\":\"read\"", "\"name\":\"read\",\"runs_on\":[\"special\"],\"runs_in\":[\"a\"]", 1)
        .replacen(
            "\"rank\"",
            "\"goal\":{\"tail_part\":0.2,\"tail_slack\":0.01,\"availability\":null},\"rank\"",
            1,
        )
        .replacen("\"fall_s\"", "\"shed_after_start\":true,\"fall_s\"", 1);
    let mut all = lines_after_configuration(&[
        "list bank=0 lines=3",
        "item readiness=Running family_type=m server=10.0.0.1:80 failure_domain=a",
        "item readiness=Running family_type=special server=10.0.0.2:80 failure_domain=b",
        "item readiness=Running family_type=special server=10.0.0.3:80 failure_domain=a",
        "topology bank=0 scope=FULL serial=2",
        "ingress job=00000000000000aa ttl_s=0.9 band=read",
        "ingress job=00000000000000ab ttl_s=0.9 band=write",
        "commit",
        "turn ts_s=8.01",
        "about i=3",
    ]);
    all[2] = format!("configure rng_seed=5 info={bound}");
    let reply = play(&[all.clone(), vec!["commit".into()]].concat()).expect("the lines are legal");
    assert!(reply.contains("deliver job=00000000000000aa server=10.0.0.3:80"), "{reply}");
    let server = reply
        .split("deliver job=00000000000000ab server=")
        .nth(1)
        .expect("the request was delivered")
        .split(' ')
        .next();
    all.extend([
        format!(
            "report_back server={} job=00000000000000ab round_no=0 verdict=FULL rtt_s=0.01",
            server.expect("a delivery names its server")
        ),
        "commit".into(),
    ]);
    let reply = play(&all).expect("the lines are legal");
    assert!(reply.ends_with("as i=3\nsurrender job=00000000000000ab\nyield\n"), "{reply}");
}

#[test]
fn a_rejection_says_when_to_retry_and_old_idle_connections_are_closed() {
    let empty_list_and_request =
        ["list bank=0 lines=0", "topology bank=0 scope=FULL serial=2", REQUEST, "commit", "turn ts_s=8.9"];
    let timer_lines = ["about i=3", "tick_due cookie=1", "commit"];
    let reply = play(&lines_after_configuration(&[&empty_list_and_request[..], &timer_lines].concat()))
        .expect("the lines are legal");
    let advice = reply
        .split("push_back job=00000000000000aa not_before_for_s=")
        .nth(1)
        .expect("the rejection says when to retry");
    let wait: f64 =
        advice.lines().next().expect("the reply has this line").parse().expect("the delay is a number");
    assert!((0.0..=1.5).contains(&wait), "{wait}");
    let success_lines = [
        "turn ts_s=8.1",
        "about i=3",
        "report_back server=10.0.0.1:80 job=00000000000000aa verdict=GOOD round_no=0 rtt_s=0.1 settled=1",
        "commit",
    ];
    let later_request_lines =
        ["turn ts_s=70", "about i=3", "ingress job=00000000000000ab ttl_s=0.9 band=write", "commit"];
    let reply = play(&lines_after_configuration(
        &[&[REQUEST, "commit"][..], &success_lines, &later_request_lines].concat(),
    ))
    .expect("the lines are legal");
    assert!(reply.contains("close server=10.0.0.1:80\ndeliver job=00000000000000ab"), "{reply}");
}

#[test]
fn an_invalid_message_is_rejected_with_its_line_and_member() {
    for (line, expected) in [
        ("shout loud=1", "line 7: unknown message \"shout\""),
        ("ingress job=00000000000000aa band=read", "line 7: member ttl_s is missing"),
        ("ingress job=aa ttl_s=1 band=read", "line 7: job=aa is not 16 hex digits"),
        ("ingress job=00000000000000aa ttl_s=soon band=read", "line 7: ttl_s=soon is not a number"),
        ("ingress job=00000000000000aa ttl_s=1 band=poem", "line 7: class \"poem\" was never introduced"),
        (
            "ingress job=00000000000000aa ttl_s=1 band=read client_group=x",
            "line 7: tenant \"x\" was never introduced",
        ),
        (
            "probe_done server=1.1.1.1:1 verdict=GOOD rtt_s=1",
            "line 7: server \"1.1.1.1:1\" was never introduced",
        ),
        ("probe_done server=10.0.0.1:80 verdict=FINE rtt_s=1", "line 7: verdict \"FINE\" is not known"),
        ("topology bank=7 scope=FULL serial=1", "line 7: list 7 was never introduced"),
        ("topology bank=0 scope=SOME serial=1", "line 7: scope \"SOME\" is not known"),
        ("begun job=00000000000000ff round_no=0", "line 7: job 00000000000000ff was never introduced"),
        ("tick_due cookie=-1", "line 7: cookie=-1 is not a whole number in range"),
        ("configure rng_seed=1 info={", "line 7: info: "),
        ("configure rng_seed=1 info={}", "line 7: info: missing field"),
    ] {
        let error = error_of(&lines_after_configuration(&[line, "commit"]));
        assert!(error.starts_with(expected), "{line}: {error}");
    }
}

#[test]
fn invalid_settings_are_rejected_with_the_path_of_the_value() {
    for (old, new, expected) in [
        (
            "\"name\":\"read\"",
            "\"name\":\"read\",\"runs_on\":\"m\"",
            "info: classes[0].runs_on: invalid type",
        ),
        (
            "\"name\":\"read\"",
            "\"name\":\"read\",\"runs_in\":[1]",
            "info: classes[0].runs_in[0]: invalid type",
        ),
        (
            "\"name\":\"read\"",
            "\"name\":\"read\",\"runs_on\":[]",
            "setting classes.runs_on is 0: it must be absent",
        ),
        (
            "\"name\":\"read\"",
            "\"name\":\"read\",\"runs_in\":[]",
            "setting classes.runs_in is 0: it must be absent",
        ),
        ("\"fall_s\"", "\"shed_after_start\":1,\"fall_s\"", "info: rules.shed_after_start: invalid type"),
        ("\"rank\"", "\"goal\":{\"tail_slack\":\"x\"},\"rank\"", "info: goal.tail_slack: invalid type"),
        (
            "\"rank\"",
            "\"goal\":{\"tail_slack\":1.5},\"rank\"",
            "setting goal.tail_slack is 1.5: it must be from 0 to 1",
        ),
        (
            "\"rank\"",
            "\"goal\":{\"tail_part\":-1},\"rank\"",
            "setting goal.tail_part is -1: it must be finite",
        ),
        (
            "\"rank\"",
            "\"goal\":{\"nines_wanted\":0},\"rank\"",
            "setting goal.nines_wanted is 0: it must be finite",
        ),
        (
            "\"rank\"",
            "\"goal\":{\"availability\":-0.1},\"rank\"",
            "setting goal.availability is -0.1: it must",
        ),
    ] {
        let error = settings_error(&SETTINGS.replacen(old, new, 1));
        assert!(error.starts_with(&format!("line 7: {expected}")), "{new}: {error}");
    }
    let error = settings_error(&SETTINGS.replace("\"send_cap\":3", "\"send_cap\":0"));
    assert_eq!(error, "line 7: setting limits.max_attempts is 0: it must be at least 1");
}

#[test]
fn a_message_in_the_wrong_place_is_rejected() {
    let outside_batch = WireError { line: 1, error: LineError::OutsideBatch("commit".to_owned()) };
    assert_eq!(play(&["commit".into()]), Err(outside_batch));
    assert_eq!(error_of(&["commit".into()]), "line 1: \"commit\" outside a batch");
    assert_eq!(error_of(&configuration_lines()), "line 6: the input ends within a batch");
    let incomplete_list =
        ["turn ts_s=1", "list bank=0 lines=2", "item server=a:1 readiness=Running", "commit"];
    let error = error_of(&incomplete_list.map(String::from));
    assert_eq!(error, "line 4: 1 more item lines are due, not \"commit\"");
    let unconfigured = ["turn ts_s=1", "about i=1", "tick_due cookie=1", "commit"];
    let error = error_of(&unconfigured.map(String::from));
    assert_eq!(error, "line 3: instance 1 was never configured");
}

fn run_program(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mosshead-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may stop reading at an error.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input);
    child.wait_with_output().expect("the program ends")
}

#[test]
fn the_program_succeeds_at_the_end_of_its_input_and_fails_at_an_error() {
    let complete = run_program(b"turn ts_s=8.4\ncommit\n\nturn ts_s=8.5\ncommit\n");
    assert!(complete.status.success());
    assert_eq!(String::from_utf8_lossy(&complete.stdout), "yield\nyield\n");
    for input in
        [&b"turn ts_s=8.4\n"[..], b"turn\n", b"\xff\xfe\n", b"turn ts_s=1\nabout i=1\nboom\ncommit\n"]
    {
        let failed = run_program(input);
        let error = String::from_utf8_lossy(&failed.stderr).into_owned();
        assert_eq!(failed.status.code(), Some(1), "{error}");
        assert!(error.starts_with("mosshead-simhost: line ") && !error.contains("panicked"), "{error}");
        assert!(failed.stdout.is_empty());
    }
}
