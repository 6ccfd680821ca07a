//! Reads of the store, the watches that continue them, and gaps in the watches.

use super::{Phase, SingletonRole, Tenure};
use crate::instant::Instant;
use crate::lease_state::InactiveReason;
use crate::messages::{Command, StoreUpdate};

impl SingletonRole {
    pub(super) fn start_read(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let timeout_at = now + self.timing.lease_duration;
        self.phase = Phase::Reading { timeout_at };
        commands.extend([Command::ReadAndWatch, Command::SetTimer(timeout_at)]);
    }

    pub(super) fn on_store_update(&mut self, now: Instant, update: StoreUpdate, commands: &mut Vec<Command>) {
        match self.phase {
            Phase::Inactive(InactiveReason::NotJoined) => return,
            _ if update.position.epoch == 0 => {
                return self.deactivate(InactiveReason::MissingEpoch, commands);
            }
            _ if update.store_id != update.epoch_store_id => {
                return self.deactivate(InactiveReason::ForeignStore, commands);
            }
            // The watch may still report states from before this member acquired the role.
            Phase::Holding(Tenure { token, .. })
                if update.position < token && update.position.epoch == token.epoch =>
            {
                return;
            }
            Phase::Holding(Tenure { token, .. }) if update.holder == Some(token) => {
                self.highest_seen = self.highest_seen.max(update.position);
                return;
            }
            // The awaited response decides, since it may report that this member has acquired the role.
            Phase::Acquiring { .. } => return,
            _ => {}
        }
        if update.position < self.highest_seen {
            return self.deactivate(InactiveReason::StoreRolledBack, commands);
        }
        self.apply_update(now, update);
        self.run_due_work(now, commands);
    }

    /// Moves to the phase that the update implies. A holder that learns of another holder, or of none, is no
    /// longer the holder. Its lease has ended, so there is nothing to release.
    fn apply_update(&mut self, now: Instant, update: StoreUpdate) {
        let is_same_epoch = update.position.epoch == self.highest_seen.epoch;
        (self.highest_seen, self.store_id) = (update.position, update.store_id);
        self.phase = match (update.holder, self.phase) {
            (Some(_), _) => Phase::HeldByAnother,
            // The watch reported, without a gap, a holder and then the end of its lease: no member may act
            // any more.
            (None, Phase::HeldByAnother) if is_same_epoch => Phase::Unheld { acquire_at: now },
            (None, Phase::Unheld { acquire_at }) if is_same_epoch => Phase::Unheld { acquire_at },
            // After a gap it is unknown whether the holder has ended its lease or the store has lost it. A
            // former holder may still act until its lease has expired.
            (None, _) => Phase::Unheld { acquire_at: now + self.timing.expiry_wait() },
        };
    }

    pub(super) fn on_watch_lost(
        &mut self,
        now: Instant,
        jitter_millionths: u64,
        commands: &mut Vec<Command>,
    ) {
        match &mut self.phase {
            Phase::Inactive(InactiveReason::NotJoined) | Phase::Acquiring { .. } => {}
            // The next successful renewal shows that the store can be read again.
            Phase::Holding(tenure) => tenure.is_watching = false,
            _ => {
                let read_at = now + self.timing.retry_delay_with_jitter(jitter_millionths);
                self.phase = Phase::BackingOff { read_at };
                commands.push(Command::SetTimer(read_at));
            }
        }
    }
}
