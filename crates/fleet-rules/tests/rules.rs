//! Each rule: what keeps it, what breaks it, and what excuses it.

mod common;

use common::{
    OTHER_SERVER, RESUMABLE, SERVER, STREAM, at, attempt, change, cut_off, drain, happen, instance, order,
    read_back, refused, run, serve, served, started_fleet,
};
use mosshead_fleet_rules::{
    BodyDigest, ChangeOutcome, History, MachineId, ProcessEventKind, RequestEnd, RequestKind, ResponseHead,
    Rule, RunEnd, RunOutcome, SlowSpan, check,
};
use mosshead_time::{Duration, Instant};

const ONCE: RequestKind = RequestKind::NonIdempotent;
/// Longer than `loss_slack`.
const LONG: Duration = Duration::from_millis(300);
const SHORT: Duration = Duration::from_millis(100);

fn broken_rules(history: &History) -> Vec<Rule> {
    check(history).violations.iter().map(|violation| violation.rule).collect()
}

fn probe(revision: u64) -> RequestKind {
    RequestKind::Probe { revision }
}

#[test]
fn a_fleet_that_serves_breaks_no_rule_and_all_its_facts_are_judged() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 4000);
    for (number, kind) in [RequestKind::Idempotent, ONCE, STREAM, RESUMABLE, probe(2)].into_iter().enumerate()
    {
        serve(&mut history, &format!("a-{number}"), kind, 8000);
    }
    history.requests.push(refused("r", ONCE, 8000, 503));
    drain(&mut history, OTHER_SERVER, 9000, 1);
    order(&mut history, 0, 4000, 1);
    read_back(&mut history, 2);
    history.final_calm_at = Some(at(8000));
    let findings = check(&history);
    assert_eq!(findings.violations, []);
    for rule in Rule::ALL {
        assert!(findings.judged.count(rule) > 0, "{rule}");
    }
}

#[test]
fn a_request_that_was_read_and_cut_off_is_lost() {
    let mut history = started_fleet();
    history.requests.push(cut_off("read", ONCE, 5000, LONG));
    assert_eq!(broken_rules(&history), [Rule::Lost]);
    history.requests = vec![cut_off("passed-on", ONCE, 5000, SHORT)];
    assert_eq!(broken_rules(&history), []);
    history.runs.push(run("passed-on", SERVER, 5010, RunEnd::Abandoned));
    assert_eq!(broken_rules(&history), [Rule::Lost]);
}

#[test]
fn a_lost_request_is_excused_by_its_server_its_deadline_and_unplanned_trouble() {
    let mut history = started_fleet();
    history.requests.push(cut_off("a", ONCE, 9000, LONG));
    let lost = history.clone();
    history.runs.push(run("a", SERVER, 9010, RunEnd::BrokenOff));
    assert_eq!(broken_rules(&history), []);
    let mut late = lost.clone();
    late.requests[0].deadline = at(9300);
    assert_eq!(broken_rules(&late), []);
    for (machine, kind, excused) in [
        (MachineId::proxy(0), ProcessEventKind::Killed, true),
        (MachineId::control_node(2), ProcessEventKind::Frozen, true),
        (MachineId::proxy(1), ProcessEventKind::Killed, false),
        (MachineId::proxy(0), ProcessEventKind::HungUp, false),
        (MachineId::proxy(0), ProcessEventKind::Terminated, false),
    ] {
        let mut troubled = lost.clone();
        happen(&mut troubled, machine, 7000, kind);
        assert_eq!(broken_rules(&troubled).is_empty(), excused, "{machine} {kind:?}");
        let mut long_ago = lost.clone();
        happen(&mut long_ago, machine, 4000, kind);
        happen(&mut long_ago, machine, 4100, ProcessEventKind::Continued);
        assert_eq!(broken_rules(&long_ago), [Rule::Lost], "{machine} {kind:?}");
    }
    let mut slow = lost.clone();
    slow.slow_spans.push(SlowSpan { from: at(8000), until: at(8500) });
    assert_eq!(broken_rules(&slow), []);
}

#[test]
fn a_server_at_work_in_the_second_half_of_the_grace_period_excuses_a_lost_request() {
    for (work_millis, excused) in [(3900, false), (4100, true)] {
        let mut history = started_fleet();
        happen(&mut history, MachineId::proxy(0), 5000, ProcessEventKind::Terminated);
        let mut request = cut_off("a", ONCE, 8000, Duration::from_millis(1800));
        request.deadline = at(20_000);
        history.requests.push(request);
        let mut late_run = run("a", SERVER, 8010, RunEnd::Abandoned);
        if let RunOutcome::Executed { ended_at, .. } = &mut late_run.outcome {
            *ended_at = at(5000 + work_millis);
        }
        history.runs.push(late_run);
        assert_eq!(broken_rules(&history).is_empty(), excused, "{work_millis}");
    }
}

#[test]
fn a_request_that_may_run_once_must_not_run_twice() {
    for (kind, breaks) in [(ONCE, true), (STREAM, true), (RESUMABLE, false), (RequestKind::Idempotent, false)]
    {
        let mut history = started_fleet();
        serve(&mut history, "a", kind, 5000);
        history.runs.push(run("a", OTHER_SERVER, 4990, RunEnd::BrokenOff));
        let broken = broken_rules(&history);
        assert_eq!(broken, if breaks { vec![Rule::Twice] } else { vec![] }, "{kind:?}");
        for outcome in [RunOutcome::Rejected { status: 503 }, RunOutcome::Prefilled] {
            history.runs[1].outcome = outcome;
            assert_eq!(broken_rules(&history), [], "{kind:?} {outcome:?}");
        }
    }
}

#[test]
fn a_refused_request_must_not_have_run() {
    for (status, breaks) in [(503, true), (429, true), (408, true), (502, false), (500, false)] {
        let mut history = started_fleet();
        history.requests.push(refused("a", ONCE, 5000, status));
        history.runs.push(run("a", SERVER, 6000, RunEnd::Abandoned));
        let broken = broken_rules(&history);
        assert_eq!(broken, if breaks { vec![Rule::Refused] } else { vec![] }, "{status}");
    }
}

#[test]
fn an_answer_has_to_be_the_server_s() {
    let mut history = started_fleet();
    serve(&mut history, "a", ONCE, 5000);
    type Change = fn(&mut ResponseHead, &mut BodyDigest);
    let changes: [(&str, Change); 6] = [
        ("no seal", |head, _| head.seal = None),
        ("another server's seal", |head, _| head.seal = Some(instance(OTHER_SERVER))),
        ("another request's answer", |head, _| head.attempt = Some(attempt("b"))),
        ("another body", |_, body| *body = BodyDigest::of(b"bod")),
        ("another success", |head, _| head.status = 201),
        ("a failure for a success", |head, _| head.status = 500),
    ];
    for (what, change) in changes {
        let mut changed = history.clone();
        let request = &mut changed.requests[0];
        let mut head = request.head.take().expect("a head");
        change(&mut head, &mut request.body);
        request.head = Some(head);
        assert_eq!(broken_rules(&changed), [Rule::Mixed], "{what}");
    }
}

#[test]
fn the_events_of_a_stream_come_once_and_in_order() {
    for ids in [vec![1, 2], vec![1, 3, 3], vec![1, 1, 2], vec![2, 3, 4], vec![1, 2, 3, 4], vec![]] {
        let mut history = started_fleet();
        serve(&mut history, "a", RESUMABLE, 5000);
        let event = history.requests[0].events[0].clone();
        history.requests[0].events =
            ids.iter().map(|id| mosshead_fleet_rules::StreamEvent { id: *id, ..event.clone() }).collect();
        assert_eq!(broken_rules(&history), [Rule::Order], "{ids:?}");
        // A part of a stream that is cut off may be delivered.
        history.requests[0].end = RequestEnd::CutOff;
        history.runs[0] = run("a", SERVER, 5005, RunEnd::BrokenOff);
        let is_part = ids.iter().copied().eq(1..=ids.len() as u64);
        assert_eq!(broken_rules(&history).is_empty(), is_part, "{ids:?}");
    }
}

#[test]
fn only_a_stream_that_may_be_resumed_has_events_of_two_servers() {
    for (kind, breaks) in [(STREAM, true), (RESUMABLE, false)] {
        let mut history = started_fleet();
        serve(&mut history, "a", kind, 5000);
        history.requests[0].events[2].instance = instance(OTHER_SERVER);
        assert_eq!(broken_rules(&history), if breaks { vec![Rule::Order] } else { vec![] });
    }
}

#[test]
fn a_request_must_not_reach_a_server_long_after_its_draining_was_acknowledged() {
    let mut history = started_fleet();
    drain(&mut history, SERVER, 5000, 0);
    serve(&mut history, "early", ONCE, 6900);
    assert_eq!(broken_rules(&history), []);
    serve(&mut history, "late", ONCE, 7100);
    assert_eq!(broken_rules(&history), [Rule::Drain]);
    for (machine, millis) in
        [(0, 3000), (0, 6000), (1, 6000)].map(|(node, at)| (MachineId::control_node(node), at))
    {
        let mut excused = history.clone();
        happen(&mut excused, machine, millis, ProcessEventKind::Killed);
        happen(&mut excused, machine, millis + 1, ProcessEventKind::Started);
        assert_eq!(broken_rules(&excused), [], "{machine}");
    }
    let mut wrong_instance = history.clone();
    wrong_instance.runs[1].outcome = RunOutcome::Rejected { status: 421 };
    wrong_instance.requests.pop();
    assert_eq!(broken_rules(&wrong_instance), []);
}

#[test]
fn an_acknowledged_configuration_is_in_force_after_the_bound() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 5000);
    let mut early = history.clone();
    serve(&mut early, "old-at-first", probe(1), 7000);
    early.requests.push(refused("new-at-first", probe(2), 7000, 404));
    assert_eq!(broken_rules(&early), []);
    let mut old = history.clone();
    serve(&mut old, "a", probe(1), 7100);
    assert_eq!(broken_rules(&old), [Rule::Config]);
    let mut missing = history.clone();
    missing.requests.push(refused("a", probe(2), 7100, 404));
    assert_eq!(broken_rules(&missing), [Rule::Config]);
    // A later change that may be in force, though nobody has acknowledged it, allows it.
    change(&mut missing, 2, 3, 7050);
    missing.changes[2].outcome = ChangeOutcome::Unclear;
    assert_eq!(broken_rules(&missing), []);
    // A refused one does not.
    missing.changes[2].outcome = ChangeOutcome::Refused;
    assert_eq!(broken_rules(&missing), [Rule::Config]);
}

#[test]
fn an_unstable_core_stretches_the_bound_of_a_configuration() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 5000);
    for killed_at in [6000, 8500, 11_000] {
        happen(&mut history, MachineId::control_node(0), killed_at, ProcessEventKind::Killed);
        happen(&mut history, MachineId::control_node(0), killed_at + 500, ProcessEventKind::Started);
    }
    for (sent, breaks) in [(7100, false), (11_900, false), (12_100, true)] {
        let mut probed = history.clone();
        serve(&mut probed, "a", probe(1), sent);
        assert_eq!(!broken_rules(&probed).is_empty(), breaks, "{sent}");
    }
    // Without a majority nobody is held to it.
    happen(&mut history, MachineId::control_node(1), 11_100, ProcessEventKind::Killed);
    serve(&mut history, "a", probe(1), 12_100);
    assert_eq!(broken_rules(&history), []);
}

#[test]
fn a_proxy_does_not_go_back_within_one_incarnation() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 5000);
    serve(&mut history, "new", probe(2), 5100);
    serve(&mut history, "soon", probe(1), 5300);
    assert_eq!(broken_rules(&history), []);
    serve(&mut history, "later", probe(1), 5400);
    assert_eq!(broken_rules(&history), [Rule::Config]);
    happen(&mut history, MachineId::proxy(0), 5380, ProcessEventKind::Killed);
    happen(&mut history, MachineId::proxy(0), 5390, ProcessEventKind::Started);
    assert_eq!(broken_rules(&history), []);
}

#[test]
fn a_refused_configuration_is_never_in_force_and_one_of_two_changes_wins() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 5000);
    change(&mut history, 1, 3, 5000);
    assert_eq!(broken_rules(&history), [Rule::Config]);
    history.changes[2].outcome = ChangeOutcome::Refused;
    assert_eq!(broken_rules(&history), []);
    serve(&mut history, "a", probe(3), 5100);
    // It is refused, and no revision from the newest that is due on allows it.
    assert_eq!(broken_rules(&history), [Rule::Config; 2]);
}

#[test]
fn the_newest_acknowledged_configuration_is_read_back() {
    let mut history = started_fleet();
    change(&mut history, 0, 1, 100);
    change(&mut history, 1, 2, 5000);
    change(&mut history, 2, 3, 9000);
    history.changes[2].outcome = ChangeOutcome::Unclear;
    for (revision, breaks) in [(1, true), (2, false), (3, false), (4, true)] {
        read_back(&mut history, revision);
        assert_eq!(!broken_rules(&history).is_empty(), breaks, "{revision}");
    }
    history.changes[2].outcome = ChangeOutcome::Refused;
    read_back(&mut history, 3);
    assert_eq!(broken_rules(&history), [Rule::Config]);
    history.read_back =
        history.read_back.map(|found| mosshead_fleet_rules::ReadBack { revision: None, ..found });
    assert_eq!(broken_rules(&history), [Rule::Config]);
}

#[test]
fn one_holder_gives_orders_at_a_time() {
    let mut history = started_fleet();
    order(&mut history, 0, 5000, 1);
    order(&mut history, 0, 5100, 1);
    order(&mut history, 1, 8100, 2);
    assert_eq!(broken_rules(&history), []);
    let mut turns = history.clone();
    order(&mut turns, 2, 9000, 3);
    assert_eq!(broken_rules(&turns), [Rule::One]);
    // The former holder is not in touch any more.
    happen(&mut turns, MachineId::control_node(1), 8500, ProcessEventKind::Killed);
    assert_eq!(broken_rules(&turns), []);
    let mut shared = history.clone();
    order(&mut shared, 2, 20_000, 2);
    assert_eq!(broken_rules(&shared), [Rule::One]);
    // What was sent before a freeze may arrive right after it.
    happen(&mut shared, MachineId::control_node(2), 19_900, ProcessEventKind::Continued);
    assert_eq!(broken_rules(&shared), []);
}

#[test]
fn a_process_must_not_end_by_itself_and_the_fleet_serves_once_it_is_left_alone() {
    let mut history = started_fleet();
    happen(&mut history, MachineId::proxy(1), 5000, ProcessEventKind::EndedByItself);
    assert_eq!(broken_rules(&history), [Rule::Fault]);
    let mut silent = started_fleet();
    silent.final_calm_at = Some(Instant::ORIGIN);
    assert_eq!(broken_rules(&silent), [Rule::Fault]);
    silent.requests.extend((0..4).map(|number| refused(&format!("r-{number}"), ONCE, 10, 503)));
    assert_eq!(broken_rules(&silent), [Rule::Fault]);
    serve(&mut silent, "s", ONCE, 10);
    silent.requests.pop();
    silent.requests[3] = served("s", ONCE, 10);
    assert_eq!(broken_rules(&silent), []);
}
