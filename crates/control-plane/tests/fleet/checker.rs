//! What operators, proxies and servers observed, and whether it violates an invariant.

use std::collections::{BTreeMap, BTreeSet};

use mosshead_config::Config;
use mosshead_consensus::RequestDigest;
use mosshead_control_plane::ChangeKind;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::millis;

/// A control node that was isolated from a quorum for longer must serve no configuration and acknowledge no shutdown.
pub(crate) const MAX_ISOLATION: Duration = millis(2_000);

/// A control node and the incarnation of its process.
type TokenHolder = (usize, u64);

/// A distinct digest for each change.
fn digest(change: usize) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&(change as u64 + 1).to_be_bytes());
    RequestDigest(bytes)
}

pub(crate) struct ChangeRecord {
    pub(crate) kind: ChangeKind,
    pub(crate) base: u64,
    pub(crate) revision: u64,
    pub(crate) digest: RequestDigest,
    pub(crate) body: Vec<u8>,
    pub(crate) is_valid: bool,
    /// The changes that the configuration consists of while this one is in force.
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
    accepted_on: BTreeMap<u64, usize>,
    texts: BTreeMap<u64, String>,
    /// When each revision was acknowledged to an operator.
    acknowledged: BTreeMap<u64, Instant>,
    pub(crate) shutdowns: Vec<AcknowledgedServer>,
    /// How many shutdowns were checked at a proxy.
    pub(crate) shutdown_checks: u64,
    highest_token: Option<(u64, TokenHolder)>,
    pub(crate) assignments: u64,
    pub(crate) reads: u64,
    pub(crate) rejections: u64,
    pub(crate) repeats: u64,
    pub(crate) configurations: u64,
    pub(crate) violation: Option<String>,
}

impl Checker {
    pub(crate) fn report_violation(&mut self, rule: &str, description: String) {
        self.violation.get_or_insert_with(|| format!("{rule}: {description}"));
    }

    pub(crate) fn new_change(
        &mut self,
        kind: ChangeKind,
        base: (u64, &BTreeSet<usize>),
        revision: u64,
        is_valid: bool,
    ) -> usize {
        let change = self.changes.len();
        let mut applied_changes = base.1.clone();
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
            base: base.0,
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

    /// The highest revision that was acknowledged to an operator.
    pub(crate) fn highest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    /// The highest revision that was acknowledged by then.
    pub(crate) fn acknowledged_by(&self, instant: Instant) -> u64 {
        let before = self.acknowledged.iter().filter(|(_, at)| **at <= instant);
        before.map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    pub(crate) fn accepted_count(&self) -> usize {
        self.acknowledged.len()
    }

    pub(crate) fn on_accepted(&mut self, now: Instant, change: usize) {
        let record = &mut self.changes[change];
        self.repeats += u64::from(record.is_accepted);
        record.is_accepted = true;
        let (base, revision) = (record.base, record.revision);
        let (is_rejected, is_valid) = (record.is_rejected, record.is_valid);
        if is_rejected || !is_valid {
            self.report_violation(
                "rejected",
                format!("change {change} was rejected or invalid, and is accepted"),
            );
        }
        let winner = *self.accepted_on.entry(base).or_insert(change);
        if winner != change {
            self.report_violation(
                "conflict",
                format!("changes {winner} and {change} are both accepted on {base}"),
            );
        }
        self.acknowledged.entry(revision).or_insert(now);
        let without = self.texts.range(revision..).find(|(_, text)| !applied_changes(text).contains(&change));
        if let Some((at, _)) = without {
            let description = format!("change {change} is accepted as {revision}, and {at} is without it");
            self.report_violation("lost change", description);
        }
    }

    /// A change is rejected as stale. `acknowledged` is the highest revision acknowledged when the call was sent.
    pub(crate) fn on_stale(&mut self, change: usize, current: u64, acknowledged: u64) {
        self.rejections += 1;
        if current < acknowledged {
            let description =
                format!("change {change} is rejected by {current}, when {acknowledged} was acknowledged");
            self.report_violation("outdated state", description);
        }
        self.on_rejected(change);
    }

    /// A change is rejected as invalid.
    pub(crate) fn on_invalid(&mut self, change: usize) {
        if self.changes[change].is_valid {
            self.report_violation("rejected", format!("change {change} is valid, and rejected as invalid"));
        }
        self.on_rejected(change);
    }

    fn on_rejected(&mut self, change: usize) {
        let record = &mut self.changes[change];
        record.is_rejected = true;
        if record.is_accepted || record.was_in_force {
            self.report_violation("rejected", format!("change {change} was applied, and is rejected"));
        }
    }

    pub(crate) fn on_read(&mut self, revision: u64, text: &str, acknowledged: u64) {
        self.reads += 1;
        if revision < acknowledged {
            self.report_violation(
                "lost change",
                format!("read back {revision}, when {acknowledged} was acknowledged"),
            );
        }
        if revision > 0 {
            self.on_config(revision, text);
        }
    }

    /// A proxy has put a configuration in force.
    pub(crate) fn on_config_in_force(
        &mut self,
        now: Instant,
        proxy: usize,
        config: &Config,
        isolated_for: Duration,
    ) {
        self.configurations += 1;
        if isolated_for > MAX_ISOLATION {
            let description = format!(
                "proxy {proxy} takes {} at {now} from a control node isolated for {isolated_for:?}",
                config.revision()
            );
            self.report_violation("quorum contact", description);
        }
        self.on_config(config.revision(), config.json());
    }

    fn on_config(&mut self, revision: u64, text: &str) {
        let known = self.texts.entry(revision).or_insert_with(|| text.to_owned());
        if known != text {
            return self.report_violation("conflict", format!("two configurations are number {revision}"));
        }
        let Some(author) = author(text).filter(|author| *author < self.changes.len()) else {
            return self.report_violation("invalid", format!("number {revision} has no known author"));
        };
        let record = &mut self.changes[author];
        record.was_in_force = true;
        let may_be_in_force = record.is_valid && !record.is_rejected && record.revision == revision;
        let applied_changes = applied_changes(text);
        let is_complete = applied_changes == record.applied_changes;
        if !may_be_in_force {
            self.report_violation("rejected", format!("change {author} is in force as {revision}"));
        }
        if !is_complete {
            self.report_violation(
                "lost change",
                format!("number {revision} consists of {applied_changes:?}"),
            );
        }
        let is_missing = |(change, record): &(usize, &ChangeRecord)| {
            record.is_accepted && record.revision <= revision && !applied_changes.contains(change)
        };
        if let Some((change, _)) = self.changes.iter().enumerate().find(is_missing) {
            self.report_violation(
                "lost change",
                format!("change {change} was accepted, and {revision} is without it"),
            );
        }
    }

    pub(crate) fn on_assignment(&mut self, holder: TokenHolder, token: u64) {
        self.assignments += 1;
        if let Some((highest, other)) = self.highest_token
            && (token < highest || token == highest && holder != other)
        {
            let description =
                format!("{holder:?} assigns under {token:#x} after {other:?} under {highest:#x}");
            self.report_violation("fencing token", description);
        }
        if self.highest_token.is_none_or(|(highest, _)| token > highest) {
            self.highest_token = Some((token, holder));
        }
    }
}

fn author(text: &str) -> Option<usize> {
    let (_, behind) = text.split_once("\"author\":")?;
    behind.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// The changes that a configuration consists of.
pub(crate) fn applied_changes(text: &str) -> BTreeSet<usize> {
    let parts = text.split("{\"name\":\"m").skip(1);
    parts.filter_map(|part| part.split('"').next()?.parse().ok()).collect()
}
