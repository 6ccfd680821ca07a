//! Silence: who marks whom, and when a silent server counts as gone.
//!
//! The source that heard a server last marks it. Where that source has not been in touch, any other does, under
//! its own name. What each core hears is told to the others as a digest, since steady beats make no versions.

use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::{OperState, Registry, SourceId};

/// A server that has been silent for longer is gone.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(20);
/// A source that has not been in touch for longer is lost: others speak for what it heard.
pub const SOURCE_TIMEOUT: Duration = Duration::from_secs(3);

/// When somebody else has to speak, look again after this.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Registry {
    /// Another core process has been in touch.
    pub fn record_contact(&mut self, now: Instant, source: SourceId) {
        if source != self.local_id {
            self.sources.record_contact(now, source);
        }
    }

    /// The servers whose beats came to this very process at `since` or later, with their last sequences. To be
    /// told to the other core processes every few hundred milliseconds; `since` well before the last one that
    /// arrived there.
    pub fn heartbeats_since(&self, since: Instant) -> Vec<(String, u64)> {
        self.records
            .values()
            .filter(|record| {
                record.heard_by == self.local_id && record.direct_at.is_some_and(|at| at >= since)
            })
            .map(|record| (record.entry.server.id.clone(), record.heard_sequence))
            .collect()
    }

    /// Takes in what `source` has heard.
    pub fn record_remote_heartbeats<'a>(
        &mut self,
        now: Instant,
        source: SourceId,
        digest: impl IntoIterator<Item = (&'a str, u64)>,
    ) {
        self.record_contact(now, source);
        for (id, sequence) in digest {
            if let Some(record) = self.records.get_mut(id)
                && sequence > record.heard_sequence
                && sequence < u64::MAX
            {
                record.heard_sequence = sequence;
                record.heard_at = now;
                record.heard_by = source;
            }
        }
    }

    /// Marks the silent, ends those silent for long, and drops what is no longer needed. To be called at least
    /// once per keepalive: a longer pause means that this process stood still, and nobody is blamed for it.
    /// Returns whether an entry has changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        if self.last_tick.is_none_or(|last| now.duration_since(last) > self.keepalive) {
            self.awake_since = now;
        }
        self.last_tick = Some(now);
        while let Some((since, id)) = self.tombstones.first().cloned() {
            if now.duration_since(since) < crate::TOMBSTONE_LIFETIME {
                break;
            }
            self.drop_record(&id);
        }
        self.sources.trim();
        // Not at once in the merge: the vector shown after it tells the giver what is held.
        if std::mem::take(&mut self.doubts) {
            self.sources.forget(self.local_id);
        }
        let mut due = Vec::new();
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            due.extend(self.timers.pop_first());
        }
        let mut changed = false;
        for (_, id) in due {
            changed |= self.look_at(now, &id);
        }
        changed
    }

    fn look_at(&mut self, now: Instant, id: &Arc<str>) -> bool {
        let Some(record) = self.records.get_mut(id) else { return false };
        record.timer = None;
        let Some(at) = self.due(id) else { return false };
        if at > now {
            self.arm_at(id, at);
            return false;
        }
        let Some(record) = self.records.get(id) else { return false };
        let is_silent = record.entry.server.is_suspected;
        let speaker = if is_silent { record.entry.source } else { record.heard_by };
        if speaker != self.local_id && !self.is_lost(now, speaker) {
            self.arm_at(id, now + RECHECK_INTERVAL);
            return false;
        }
        self.mark(now, id, |server| {
            if is_silent {
                server.state = OperState::Removed;
            } else {
                server.is_suspected = true;
            }
        });
        true
    }

    /// When this server is to be called silent or gone, as far as is known now.
    fn due(&self, id: &str) -> Option<Instant> {
        let record = self.records.get(id)?;
        let server = &record.entry.server;
        if self.is_read_replica || server.is_removed() {
            return None;
        }
        let sign = record.heard_at.max(self.awake_since);
        let silence = self.keepalive.saturating_mul(16) / 5;
        let at = match server.is_suspected {
            true => (sign + silence).max(record.since + SUSPICION_TIMEOUT),
            false => sign + silence,
        };
        Some(at + Duration::from_millis(1))
    }

    /// Sets the timer of a record whose entry has changed. Beats that change nothing leave it: it is looked at
    /// again when it goes off.
    pub(crate) fn arm(&mut self, id: &Arc<str>) {
        match self.due(id) {
            Some(at) => self.arm_at(id, at),
            None => self.disarm(id),
        }
    }

    fn arm_at(&mut self, id: &Arc<str>, at: Instant) {
        self.disarm(id);
        if let Some(record) = self.records.get_mut(id) {
            record.timer = Some(at);
            self.timers.insert((at, id.clone()));
        }
    }

    fn disarm(&mut self, id: &Arc<str>) {
        if let Some(record) = self.records.get_mut(id)
            && let Some(at) = record.timer.take()
        {
            self.timers.remove(&(at, id.clone()));
        }
    }

    /// Whether a source has not been in touch for so long that others speak for it.
    pub(crate) fn is_lost(&self, now: Instant, source: SourceId) -> bool {
        source != self.local_id
            && self
                .sources
                .seen(source)
                .is_none_or(|seen| now.duration_since(seen.max(self.awake_since)) > SOURCE_TIMEOUT)
    }
}
