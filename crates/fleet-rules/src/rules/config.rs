//! CONFIG: which configuration is in force at proxies, seen by probes of a route that only one revision has.

use std::collections::BTreeMap;

use mosshead_time::{Duration, Instant};

use super::{Case, Findings};
use crate::history::{
    Change, ChangeOutcome, MachineId, ProcessEventKind, Request, RequestEnd, RequestKind, RunOutcome,
};
use crate::violation::{Details, Rule};

/// The status for a path without a route.
const NO_ROUTE: u16 = 404;
/// On a slowed machine an older configuration may show for this many times `rollback_slack`.
const SLOWED_FACTOR: u32 = 8;

/// What a probe shows about the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shown {
    /// The configuration of this revision: a server ran the request.
    Revision(u64),
    /// Any other configuration than that of this revision: there was no route.
    Other(u64),
}

impl Shown {
    fn of(request: &Request) -> Option<Shown> {
        let RequestKind::Probe { revision } = request.kind else { return None };
        let head = request.head.as_ref().filter(|_| request.end == RequestEnd::Complete)?;
        match head.status {
            NO_ROUTE if head.seal.is_none() => Some(Shown::Other(revision)),
            _ if head.seal.is_some() => Some(Shown::Revision(revision)),
            _ => None,
        }
    }

    /// True if a configuration of this revision handles the probe so.
    fn is_allowed_by(self, revision: u64) -> bool {
        match self {
            Shown::Revision(shown) => revision == shown,
            Shown::Other(missing) => revision != missing,
        }
    }
}

pub(super) fn check(case: &Case<'_>, findings: &mut Findings) {
    check_outcomes(case, findings);
    check_read_back(case, findings);
    let mut probes: BTreeMap<usize, Vec<(&Request, Shown)>> = BTreeMap::new();
    for request in &case.history.requests {
        let Some(shown) = Shown::of(request) else { continue };
        check_refused(case, request, shown, findings);
        check_applied(case, request, shown, findings);
        probes.entry(request.proxy).or_default().push((request, shown));
    }
    for probes in probes.values() {
        check_regress(case, probes, findings);
    }
}

/// Of two changes on top of one revision, one wins.
fn check_outcomes(case: &Case<'_>, findings: &mut Findings) {
    let mut by_base: BTreeMap<u64, usize> = BTreeMap::new();
    for change in &case.history.changes {
        if let ChangeOutcome::Acknowledged(acknowledgement) = change.outcome {
            let count = by_base.entry(change.base).or_default();
            *count += 1;
            if *count == 2 {
                let details = Details::TwoOnOneBase { base: change.base };
                findings.report(Rule::Config, acknowledgement.at, details);
            }
        }
    }
}

fn check_read_back(case: &Case<'_>, findings: &mut Findings) {
    let Some(read_back) = case.history.read_back else { return };
    let changes = &case.history.changes;
    let acknowledged = changes
        .iter()
        .filter(|change| matches!(change.outcome, ChangeOutcome::Acknowledged(_)))
        .map(|change| change.revision)
        .max()
        .unwrap_or(0);
    let is_right = read_back.revision.is_some_and(|found| {
        let may_be_in_force =
            changes.iter().any(|change| change.revision == found && change.may_be_in_force());
        found >= acknowledged && may_be_in_force && read_back.is_as_sent
    });
    if !is_right {
        let at = case.history.process_events.last().map_or(Instant::ORIGIN, |event| event.at);
        let details = Details::WrongReadBack { found: read_back.revision, acknowledged };
        findings.report(Rule::Config, at, details);
    }
}

/// A refused configuration must not be in force.
fn check_refused(case: &Case<'_>, request: &Request, shown: Shown, findings: &mut Findings) {
    let Shown::Revision(revision) = shown else { return };
    let mut changes = case.history.changes.iter();
    if changes.any(|change| change.revision == revision && !change.may_be_in_force()) {
        let details = Details::RefusedInForce { attempt: request.attempt.clone(), revision };
        findings.report(Rule::Config, request.ended_at, details);
    }
}

/// An acknowledged configuration is in force at machines in touch after the bound.
fn check_applied(case: &Case<'_>, request: &Request, shown: Shown, findings: &mut Findings) {
    let acknowledged = case.history.changes.iter().filter_map(|change| match change.outcome {
        ChangeOutcome::Acknowledged(acknowledgement) => Some((change, acknowledgement.at)),
        ChangeOutcome::Refused | ChangeOutcome::Unclear => None,
    });
    let due = acknowledged.filter(|(_, acknowledged_at)| {
        apply_bound(case, request, *acknowledged_at)
            .is_some_and(|bound| request.sent_at > *acknowledged_at + bound)
    });
    let Some(newest) = due.map(|(change, _)| change.revision).max() else { return };
    findings.judge(Rule::Config);
    report_unless_allowed(case, request, shown, newest, findings);
}

/// The time after which an acknowledged configuration has to be in force for this request; `None` if its machine is not
/// held to any.
fn apply_bound(case: &Case<'_>, request: &Request, acknowledged_at: Instant) -> Option<Duration> {
    let bounds = &case.history.bounds;
    let proxy = MachineId::proxy(request.proxy);
    let instants = [request.sent_at, request.ended_at];
    if instants.iter().all(|at| case.contact.is_in_touch(proxy, *at)) {
        return Some(bounds.config_apply);
    }
    let has_majority = case.contact.has_majority_throughout(acknowledged_at, request.ended_at);
    let is_undisturbed = instants.iter().all(|at| case.contact.is_undisturbed(proxy, *at));
    (has_majority && is_undisturbed).then_some(bounds.config_apply + bounds.max_skew)
}

/// Within one incarnation, a proxy that has shown a configuration does not go back.
fn check_regress(case: &Case<'_>, probes: &[(&Request, Shown)], findings: &mut Findings) {
    let seen: Vec<(Instant, u64)> = probes
        .iter()
        .filter_map(|(request, shown)| match shown {
            Shown::Revision(revision) => Some((seen_at(case, request)?, *revision)),
            Shown::Other(_) => None,
        })
        .collect();
    for (request, shown) in probes {
        let proxy = MachineId::proxy(request.proxy);
        let incarnation = case.contact.latest(proxy, ProcessEventKind::Started, request.sent_at);
        let slack = rollback_slack(case, request);
        let earlier = seen.iter().filter(|(at, _)| {
            *at + slack < request.sent_at
                && case.contact.latest(proxy, ProcessEventKind::Started, *at) == incarnation
        });
        if let Some(newest) = earlier.map(|(_, revision)| *revision).max() {
            report_unless_allowed(case, request, *shown, newest, findings);
        }
    }
}

fn rollback_slack(case: &Case<'_>, request: &Request) -> Duration {
    let slack = case.history.bounds.rollback_slack;
    let from = request.sent_at - case.history.bounds.contact;
    if case.contact.is_slow(from, request.ended_at) { slack * SLOWED_FACTOR } else { slack }
}

/// When a server saw the effect of the configuration.
fn seen_at(case: &Case<'_>, request: &Request) -> Option<Instant> {
    let runs = case.runs_of(&request.attempt).iter();
    runs.filter(|run| !matches!(run.outcome, RunOutcome::Rejected { .. })).map(|run| run.arrived_at).min()
}

/// Reports a probe that no configuration from this revision on allows.
fn report_unless_allowed(
    case: &Case<'_>,
    request: &Request,
    shown: Shown,
    newest: u64,
    findings: &mut Findings,
) {
    let is_candidate = |change: &&Change| {
        change.may_be_in_force() && change.sent_at <= request.ended_at && change.revision >= newest
    };
    let mut candidates = case.history.changes.iter().filter(is_candidate);
    if !candidates.any(|change| shown.is_allowed_by(change.revision)) {
        let details =
            Details::OlderInForce { attempt: request.attempt.clone(), proxy: request.proxy, newest };
        findings.report(Rule::Config, request.ended_at, details);
    }
}
