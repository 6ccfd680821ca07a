//! What operators, proxies and servers saw, and whether that breaks a rule.

use std::collections::{BTreeMap, BTreeSet};

use mosshead_config::Config;
use mosshead_consensus::RequestDigest;
use mosshead_control_plane::ChangeKind;

/// A machine that was cut off from a majority for so long hands out no configuration.
pub const ISOLATED_MS: u64 = 2_000;

/// A control machine and the life of its process.
type Holder = (usize, u64);

/// A digest of its own for each change.
fn digest(change: usize) -> RequestDigest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&(change as u64 + 1).to_be_bytes());
    RequestDigest(bytes)
}

pub struct ChangeRecord {
    pub kind: ChangeKind,
    pub base: u64,
    pub revision: u64,
    pub digest: RequestDigest,
    pub body: Vec<u8>,
    pub is_valid: bool,
    /// The changes that the configuration is made of when this one is in force.
    pub marks: BTreeSet<usize>,
    is_accepted: bool,
    is_refused: bool,
    was_in_force: bool,
}

/// A server that was told that its word to leave is known.
pub struct Drain {
    pub server: String,
    pub acknowledged: u64,
}

#[derive(Default)]
pub struct Ledger {
    pub changes: Vec<ChangeRecord>,
    accepted_on: BTreeMap<u64, usize>,
    texts: BTreeMap<u64, String>,
    /// When each revision was acknowledged.
    acknowledged: BTreeMap<u64, u64>,
    pub drains: Vec<Drain>,
    /// Checks of a drain at a proxy that counted.
    pub drain_checks: u64,
    highest_fence: Option<(u64, Holder)>,
    pub orders: u64,
    pub reads: u64,
    pub refusals: u64,
    pub repeats: u64,
    pub configurations: u64,
    pub violation: Option<String>,
}

impl Ledger {
    pub fn broken(&mut self, rule: &str, what: String) {
        self.violation.get_or_insert_with(|| format!("{rule}: {what}"));
    }

    pub fn new_change(
        &mut self,
        kind: ChangeKind,
        base: (u64, &BTreeSet<usize>),
        revision: u64,
        is_valid: bool,
    ) -> usize {
        let change = self.changes.len();
        let mut marks = base.1.clone();
        marks.insert(change);
        let body = match (kind, is_valid) {
            (_, false) => {
                format!(r#"{{"revision":{revision},"route_entries":4,"upsert":{{"route_entries":4}}}}"#)
            }
            (ChangeKind::Replace, true) => {
                let items: Vec<String> =
                    marks.iter().map(|mark| format!(r#"{{"name":"m{mark}"}}"#)).collect();
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
            marks,
            is_accepted: false,
            is_refused: false,
            was_in_force: false,
        });
        change
    }

    /// The highest revision that an operator was told to be taken.
    pub fn highest_acknowledged(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    /// The highest that was acknowledged by then.
    pub fn acknowledged_by(&self, time: u64) -> u64 {
        let before = self.acknowledged.iter().filter(|(_, at)| **at <= time);
        before.map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    pub fn accepted_count(&self) -> usize {
        self.acknowledged.len()
    }

    pub fn accepted(&mut self, now: u64, change: usize) {
        let record = &mut self.changes[change];
        self.repeats += u64::from(record.is_accepted);
        record.is_accepted = true;
        let (base, revision) = (record.base, record.revision);
        let (is_refused, is_valid) = (record.is_refused, record.is_valid);
        if is_refused || !is_valid {
            self.broken("refused", format!("change {change} was refused or invalid, and is accepted"));
        }
        let winner = *self.accepted_on.entry(base).or_insert(change);
        if winner != change {
            self.broken("winners", format!("changes {winner} and {change} are both accepted on {base}"));
        }
        self.acknowledged.entry(revision).or_insert(now);
        let without = self.texts.range(revision..).find(|(_, text)| !marks(text).contains(&change));
        if let Some((at, _)) = without {
            let what = format!("change {change} is accepted as {revision}, and {at} is without it");
            self.broken("lost", what);
        }
    }

    /// Answered 412. `acknowledged` is the highest revision that was acknowledged when the call was sent.
    pub fn stale(&mut self, change: usize, current: u64, acknowledged: u64) {
        self.refusals += 1;
        if current < acknowledged {
            let what =
                format!("change {change} is refused by {current}, when {acknowledged} was acknowledged");
            self.broken("old knowledge", what);
        }
        self.refused(change);
    }

    /// Answered 400.
    pub fn invalid(&mut self, change: usize) {
        if self.changes[change].is_valid {
            self.broken("refused", format!("change {change} is valid, and refused as invalid"));
        }
        self.refused(change);
    }

    fn refused(&mut self, change: usize) {
        let record = &mut self.changes[change];
        record.is_refused = true;
        if record.is_accepted || record.was_in_force {
            self.broken("refused", format!("change {change} was taken, and is refused"));
        }
    }

    pub fn shown(&mut self, revision: u64, text: &str, acknowledged: u64) {
        self.reads += 1;
        if revision < acknowledged {
            self.broken("lost", format!("read back {revision}, when {acknowledged} was acknowledged"));
        }
        if revision > 0 {
            self.seen(revision, text);
        }
    }

    /// A proxy has taken a configuration into force.
    pub fn in_force(&mut self, now: u64, proxy: usize, config: &Config, isolated_ms: u64) {
        self.configurations += 1;
        if isolated_ms > ISOLATED_MS {
            let what = format!(
                "proxy {proxy} takes {} at {now} from a machine that was cut off for {isolated_ms} ms",
                config.revision
            );
            self.broken("touch", what);
        }
        self.seen(config.revision, config.json());
    }

    fn seen(&mut self, revision: u64, text: &str) {
        let known = self.texts.entry(revision).or_insert_with(|| text.to_owned());
        if known != text {
            return self.broken("winners", format!("two configurations are number {revision}"));
        }
        let Some(author) = author(text).filter(|author| *author < self.changes.len()) else {
            return self.broken("invalid", format!("number {revision} is nobody's"));
        };
        let record = &mut self.changes[author];
        record.was_in_force = true;
        let is_sound = record.is_valid && !record.is_refused && record.revision == revision;
        let marks = marks(text);
        let is_whole = marks == record.marks;
        if !is_sound {
            self.broken("refused", format!("change {author} is in force as {revision}"));
        }
        if !is_whole {
            self.broken("lost", format!("number {revision} holds {marks:?}"));
        }
        let is_missing = |(change, record): &(usize, &ChangeRecord)| {
            record.is_accepted && record.revision <= revision && !marks.contains(change)
        };
        if let Some((change, _)) = self.changes.iter().enumerate().find(is_missing) {
            self.broken("lost", format!("change {change} was accepted, and {revision} is without it"));
        }
    }

    pub fn order_sent(&mut self, holder: Holder, fence: u64) {
        self.orders += 1;
        if let Some((highest, other)) = self.highest_fence
            && (fence < highest || fence == highest && holder != other)
        {
            let what = format!("{holder:?} orders under {fence:#x} after {other:?} under {highest:#x}");
            self.broken("fence", what);
        }
        if self.highest_fence.is_none_or(|(highest, _)| fence > highest) {
            self.highest_fence = Some((fence, holder));
        }
    }
}

fn author(text: &str) -> Option<usize> {
    let rest = text.split_once("\"author\":")?.1;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// The changes that a configuration is made of.
pub fn marks(text: &str) -> BTreeSet<usize> {
    let parts = text.split("{\"name\":\"m").skip(1);
    parts.filter_map(|part| part.split('"').next()?.parse().ok()).collect()
}
