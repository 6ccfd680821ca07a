//! Records what operators, proxies and servers observe, and reports violated invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;

use mosshead_config::Config;
use mosshead_consensus::RequestDigest;
use mosshead_control_plane::ChangeKind;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{ProcessId, millis};

use crate::stage_role::LEASE;

/// A control node that has been isolated from a quorum for longer than this must not serve a configuration or
/// acknowledge a shutdown.
pub(crate) const MAX_ISOLATION: Duration = millis(2_000);

/// A distinct digest for each change.
fn digest(change: usize) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&(change as u64 + 1).to_be_bytes());
    RequestDigest(bytes)
}

/// A configuration that an operator knows and bases its next change on.
#[derive(Clone, Default)]
pub(crate) struct KnownConfig {
    pub(crate) revision: u64,
    /// The changes that the configuration contains.
    pub(crate) applied_changes: BTreeSet<usize>,
}

/// The highest fencing token, and the process that assigned stages with it.
#[derive(Clone, Copy)]
struct HighestToken {
    token: u64,
    holder: ProcessId,
}

/// How often each checked event has occurred.
#[derive(Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) accepted: u64,
    /// Repeated changes that were accepted again.
    pub(crate) repeats: u64,
    /// Changes that were rejected as stale.
    pub(crate) rejections: u64,
    pub(crate) read_backs: u64,
    pub(crate) configs_in_force: u64,
    pub(crate) assignments: u64,
    /// Checks whether a proxy knows an acknowledged shutdown.
    pub(crate) shutdown_checks: u64,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.accepted += other.accepted;
        self.repeats += other.repeats;
        self.rejections += other.rejections;
        self.read_backs += other.read_backs;
        self.configs_in_force += other.configs_in_force;
        self.assignments += other.assignments;
        self.shutdown_checks += other.shutdown_checks;
    }
}

pub(crate) struct ChangeRecord {
    pub(crate) kind: ChangeKind,
    pub(crate) base: u64,
    pub(crate) revision: u64,
    pub(crate) digest: RequestDigest,
    pub(crate) body: Vec<u8>,
    pub(crate) is_valid: bool,
    /// The changes that the configuration contains once this one is applied.
    pub(crate) applied_changes: BTreeSet<usize>,
    is_accepted: bool,
    is_rejected: bool,
    was_in_force: bool,
}

/// A server whose shutdown was acknowledged to it.
pub(crate) struct AcknowledgedServer {
    pub(crate) server: String,
    pub(crate) acknowledged_at: Instant,
}

#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) changes: Vec<ChangeRecord>,
    accepted_by_base: BTreeMap<u64, usize>,
    texts: BTreeMap<u64, String>,
    /// When each revision was acknowledged to an operator.
    acknowledged: BTreeMap<u64, Instant>,
    pub(crate) shutdowns: Vec<AcknowledgedServer>,
    highest_token: Option<HighestToken>,
    /// The process that last assigned a stage, and when.
    last_assignment: Option<(ProcessId, Instant)>,
    pub(crate) counts: Counts,
    pub(crate) violation: Option<String>,
}

impl Checker {
    pub(crate) fn report_violation(&mut self, rule: &str, description: String) {
        self.violation.get_or_insert_with(|| format!("{rule}: {description}"));
    }

    pub(crate) fn new_change(
        &mut self,
        kind: ChangeKind,
        base: &KnownConfig,
        revision: u64,
        is_valid: bool,
    ) -> usize {
        let change = self.changes.len();
        let mut applied_changes = base.applied_changes.clone();
        applied_changes.insert(change);
        let body = match (kind, is_valid) {
            (_, false) => {
                format!(r#"{{"revision":{revision},"route_entries":4,"upsert":{{"route_entries":4}}}}"#)
            }
            (ChangeKind::Replace, true) => {
                let items: Vec<String> =
                    applied_changes.iter().map(|mark| format!(r#"{{"name":"m{mark}"}}"#)).collect();
                let items = items.join(",");
                format!(
                    r#"{{"revision":{revision},"route_entries":[],"backend_services":[],"author":{change},"marks":[{items}]}}"#
                )
            }
            (ChangeKind::Modify, true) => format!(
                r#"{{"revision":{revision},"upsert":{{"author":{change},"marks":[{{"name":"m{change}"}}]}}}}"#
            ),
        };
        self.changes.push(ChangeRecord {
            kind,
            base: base.revision,
            revision,
            digest: digest(change),
            body: body.into_bytes(),
            is_valid,
            applied_changes,
            is_accepted: false,
            is_rejected: false,
            was_in_force: false,
        });
        change
    }

    /// Returns the highest revision that was acknowledged to an operator.
    pub(crate) fn highest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    /// Returns the highest revision that was acknowledged at this instant or before.
    pub(crate) fn acknowledged_by(&self, instant: Instant) -> u64 {
        let before = self.acknowledged.iter().filter(|(_, at)| **at <= instant);
        before.map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    pub(crate) fn on_accepted(&mut self, now: Instant, change: usize) {
        let record = &mut self.changes[change];
        self.counts.repeats += u64::from(record.is_accepted);
        record.is_accepted = true;
        let (base, revision) = (record.base, record.revision);
        let (is_rejected, is_valid) = (record.is_rejected, record.is_valid);
        if is_rejected || !is_valid {
            self.report_violation(
                "rejected",
                format!("change {change} was rejected or is invalid, but was accepted"),
            );
        }
        let first_accepted = *self.accepted_by_base.entry(base).or_insert(change);
        if first_accepted != change {
            self.report_violation(
                "conflict",
                format!("changes {first_accepted} and {change} were both accepted on base revision {base}"),
            );
        }
        self.acknowledged.entry(revision).or_insert(now);
        self.counts.accepted = self.acknowledged.len() as u64;
        let without = self.texts.range(revision..).find(|(_, text)| !applied_changes(text).contains(&change));
        if let Some((at, _)) = without {
            let description =
                format!("change {change} was accepted as revision {revision}, but revision {at} lacks it");
            self.report_violation("lost change", description);
        }
    }

    /// Checks the rejection of a change as stale. `acknowledged` is the highest revision that was
    /// acknowledged when the call was sent.
    pub(crate) fn on_stale(&mut self, change: usize, current: u64, acknowledged: u64) {
        self.counts.rejections += 1;
        if current < acknowledged {
            let description = format!(
                "change {change} was rejected at revision {current} after {acknowledged} was acknowledged"
            );
            self.report_violation("outdated state", description);
        }
        self.on_rejected(change);
    }

    /// Checks the rejection of a change as invalid.
    pub(crate) fn on_invalid(&mut self, change: usize) {
        if self.changes[change].is_valid {
            self.report_violation("rejected", format!("valid change {change} was rejected as invalid"));
        }
        self.on_rejected(change);
    }

    fn on_rejected(&mut self, change: usize) {
        let record = &mut self.changes[change];
        record.is_rejected = true;
        if record.is_accepted || record.was_in_force {
            self.report_violation("rejected", format!("applied change {change} was rejected"));
        }
    }

    pub(crate) fn on_read(&mut self, revision: u64, text: &str, acknowledged: u64) {
        self.counts.read_backs += 1;
        if revision < acknowledged {
            self.report_violation(
                "lost change",
                format!("revision {revision} was read after {acknowledged} was acknowledged"),
            );
        }
        if revision > 0 {
            self.on_config(revision, text);
        }
    }

    /// Checks a configuration that a proxy has put in force.
    pub(crate) fn on_config_in_force(
        &mut self,
        now: Instant,
        proxy: usize,
        config: &Config,
        isolated_for: Duration,
    ) {
        self.counts.configs_in_force += 1;
        if isolated_for > MAX_ISOLATION {
            let description = format!(
                "at {now} proxy {proxy} put revision {} in force, from a control node isolated for {isolated_for:?}",
                config.revision()
            );
            self.report_violation("quorum contact", description);
        }
        self.on_config(config.revision(), config.json());
    }

    fn on_config(&mut self, revision: u64, text: &str) {
        let known = self.texts.entry(revision).or_insert_with(|| text.to_owned());
        if known != text {
            return self.report_violation("conflict", format!("two configurations have revision {revision}"));
        }
        let Some(author) = author(text).filter(|author| *author < self.changes.len()) else {
            return self.report_violation("invalid", format!("revision {revision} has no known author"));
        };
        let record = &mut self.changes[author];
        record.was_in_force = true;
        let may_be_in_force = record.is_valid && !record.is_rejected && record.revision == revision;
        let applied_changes = applied_changes(text);
        let is_complete = applied_changes == record.applied_changes;
        if !may_be_in_force {
            self.report_violation("rejected", format!("change {author} is in force as revision {revision}"));
        }
        if !is_complete {
            self.report_violation(
                "lost change",
                format!("revision {revision} contains the changes {applied_changes:?}"),
            );
        }
        let is_missing = |(change, record): &(usize, &ChangeRecord)| {
            record.is_accepted && record.revision <= revision && !applied_changes.contains(change)
        };
        if let Some((change, _)) = self.changes.iter().enumerate().find(is_missing) {
            self.report_violation(
                "lost change",
                format!("change {change} was accepted, but revision {revision} lacks it"),
            );
        }
    }

    pub(crate) fn on_assignment(&mut self, now: Instant, holder: ProcessId, token: u64) {
        self.counts.assignments += 1;
        if let Some((other, at)) = self.last_assignment.replace((holder, now))
            && other != holder
            && now - at < LEASE
        {
            let description = format!("{holder:?} assigns a stage {:?} after {other:?}", now - at);
            self.report_violation("overlapping holders", description);
        }
        let highest = self.highest_token;
        if let Some(HighestToken { token: highest, holder: other }) = highest
            && (token < highest || token == highest && holder != other)
        {
            let description =
                format!("{holder:?} assigns a stage with token {token:#x} after {other:?} with {highest:#x}");
            self.report_violation("fencing token", description);
        }
        if highest.is_none_or(|highest| token > highest.token) {
            self.highest_token = Some(HighestToken { token, holder });
        }
    }
}

fn author(text: &str) -> Option<usize> {
    let (_, behind) = text.split_once("\"author\":")?;
    behind.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Returns the changes that a configuration contains.
pub(crate) fn applied_changes(text: &str) -> BTreeSet<usize> {
    let parts = text.split("{\"name\":\"m").skip(1);
    parts.filter_map(|part| part.split('"').next()?.parse().ok()).collect()
}
