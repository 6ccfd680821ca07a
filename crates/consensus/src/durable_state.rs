use core::net::SocketAddrV4;
use std::collections::VecDeque;

use minicbor::{Decode, Encode};
use quick_error::quick_error;

use crate::control_state::{ControlState, EpochConfig, Member, MemberId, StateVersion, Term};
use crate::state_delta::StateDelta;

quick_error! {
    /// What can be wrong with a log, numbered.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoredStateError {
        /// 721: a record can't be read. A disk whose records are lost is to be emptied: its promises are forgotten.
        Unreadable(index: usize) {
            display("record {index} of the control state can't be read")
        }
        /// 722: the records don't fit each other.
        Disordered(index: usize) {
            display("record {index} of the control state does not fit those before it")
        }
    }
}

/// What a disk is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct Identity {
    #[n(0)]
    pub(crate) id: MemberId,
    /// The bootstrap voters' addresses, if this disk is one of theirs.
    #[n(1)]
    pub(crate) bootstrap_voters: Option<Vec<SocketAddrV4>>,
}

/// One record of the log.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum LogRecord {
    #[n(0)]
    Identity(#[n(0)] Identity),
    #[n(1)]
    Promise(#[n(0)] Term),
    #[n(2)]
    Accept(#[n(0)] EpochConfig),
    #[n(3)]
    ControlState(#[n(0)] ControlState),
    /// The state before this one with another stamp.
    #[n(4)]
    RewriteUnderNewTerm(#[n(0)] StateVersion),
    #[n(5)]
    Snapshot(#[n(0)] Box<Stable>),
    /// A record that this disk has no say in; it tells where the others are.
    #[n(6)]
    Seen(#[n(0)] EpochConfig),
    /// The state before this one with a change.
    #[n(7)]
    Change(#[n(0)] StateDelta),
}

impl LogRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Writing to memory doesn't fail.
        minicbor::to_vec(self).unwrap_or_default()
    }
}

/// What the disk holds for certain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct Stable {
    #[n(0)]
    pub(crate) identity: Option<Identity>,
    #[n(1)]
    pub(crate) promised: Term,
    #[n(2)]
    pub(crate) accepted: Option<EpochConfig>,
    #[n(3)]
    pub(crate) state: Option<ControlState>,
    #[n(4)]
    pub(crate) seen: Option<EpochConfig>,
}

impl Stable {
    /// Reads a log from its start; says how many bytes of bodies it has made out of changes, too.
    pub(crate) fn replay(records: &[Vec<u8>]) -> Result<(Stable, usize), StoredStateError> {
        let (mut stable, mut rebuilt_bytes) = (Stable::default(), 0_usize);
        for (index, bytes) in records.iter().enumerate() {
            let record = minicbor::decode(bytes).map_err(|_| StoredStateError::Unreadable(index))?;
            let changes = matches!(record, LogRecord::Change(_));
            if !stable.apply(record) {
                return Err(StoredStateError::Disordered(index));
            }
            let body = stable.state.as_ref().filter(|_| changes).map_or(0, |state| state.body.len());
            rebuilt_bytes = rebuilt_bytes.saturating_add(body);
        }
        Ok((stable, rebuilt_bytes))
    }

    pub(crate) fn version(&self) -> Option<StateVersion> {
        self.state.as_ref().map(ControlState::version)
    }

    pub(crate) fn accepted_ballot(&self) -> Term {
        self.accepted.as_ref().map(|r| r.term).unwrap_or_default()
    }

    /// Says whether the record fits.
    pub(crate) fn apply(&mut self, record: LogRecord) -> bool {
        match record {
            LogRecord::Identity(identity) => {
                if self.identity.as_ref().is_some_and(|known| *known != identity) {
                    return false;
                }
                self.identity = Some(identity);
            }
            LogRecord::Promise(term) => self.promised = self.promised.max(term),
            LogRecord::Accept(record) => {
                self.promised = self.promised.max(record.term);
                if record.term >= self.accepted_ballot() {
                    self.accepted = Some(record);
                }
            }
            LogRecord::ControlState(state) => {
                self.promised = self.promised.max(state.write_term);
                if self.version().is_none_or(|held| held <= state.version()) {
                    self.state = Some(state);
                }
            }
            LogRecord::RewriteUnderNewTerm(version) => {
                self.promised = self.promised.max(version.write_term);
                match &mut self.state {
                    Some(state) if state.version().same_body(&version) => {
                        state.write_term = state.write_term.max(version.write_term);
                    }
                    _ => return false,
                }
            }
            LogRecord::Snapshot(stable) => *self = *stable,
            LogRecord::Seen(record) => self.seen = Some(record),
            LogRecord::Change(change) => {
                let Some(state) = self.state.as_ref().and_then(|held| change.apply(held)) else {
                    return false;
                };
                return self.apply(LogRecord::ControlState(state));
            }
        }
        true
    }
}

/// A write that the host has not answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pending {
    pub(crate) token: u64,
    pub(crate) since: u64,
    pub(crate) effect: Effect,
    /// Who is to be told.
    pub(crate) to: Option<Member>,
}

/// What holds once a write is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Effect {
    Identity(Identity),
    Promise(Term),
    Accept(EpochConfig),
    ControlState(ControlState),
    /// A change of the state before it, and the state that it makes.
    Change(StateDelta, ControlState),
    RewriteUnderNewTerm(StateVersion),
    Seen(EpochConfig),
    Rewrite,
}

impl Effect {
    pub(crate) fn record(&self) -> Option<LogRecord> {
        Some(match self {
            Effect::Identity(identity) => LogRecord::Identity(identity.clone()),
            Effect::Promise(term) => LogRecord::Promise(*term),
            Effect::Accept(record) => LogRecord::Accept(record.clone()),
            Effect::ControlState(state) => LogRecord::ControlState(state.clone()),
            Effect::Change(change, _) => LogRecord::Change(change.clone()),
            Effect::RewriteUnderNewTerm(version) => LogRecord::RewriteUnderNewTerm(*version),
            Effect::Seen(record) => LogRecord::Seen(record.clone()),
            Effect::Rewrite => return None,
        })
    }

    /// The state that it writes, if it writes one.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        match self {
            Effect::ControlState(state) | Effect::Change(_, state) => Some(state),
            _ => None,
        }
    }
}

/// The writes under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Writes {
    pub(crate) queue: VecDeque<Pending>,
    pub(crate) next_token: u64,
    /// The bytes of the log, as far as known.
    pub(crate) log_bytes: usize,
    /// The bytes of the log when it was rewritten last.
    pub(crate) snapshot_bytes: usize,
    /// The bytes of all bodies that a replay of the log has to make out of changes.
    pub(crate) rebuilt_bytes: usize,
    /// When a write failed last, if none was done since.
    pub(crate) failed: Option<u64>,
    /// A state or a change that failed may stand in the log, so nothing may refer to the one before it.
    pub(crate) body_unsure: bool,
}

impl Writes {
    pub(crate) const MOST: usize = 32;
    /// The log is rewritten when its replay has to make more bytes of bodies than this.
    pub(crate) const MOST_REBUILT_BYTES: usize = 128 << 20;

    pub(crate) fn is_full(&self) -> bool {
        self.queue.len() >= Writes::MOST
    }

    /// How long the oldest write is under way.
    pub(crate) fn age(&self, now: u64) -> u64 {
        self.queue.front().map_or(0, |w| now.saturating_sub(w.since))
    }

    pub(crate) fn take(&mut self, token: u64) -> Option<Pending> {
        let index = self.queue.iter().position(|w| w.token == token)?;
        self.queue.remove(index)
    }

    pub(crate) fn has_state(&self) -> bool {
        self.queue
            .iter()
            .any(|w| w.effect.state().is_some() || matches!(w.effect, Effect::RewriteUnderNewTerm(_)))
    }
}
