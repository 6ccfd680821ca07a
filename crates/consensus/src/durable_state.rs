//! The durable state of a node, and the log records from which it is replayed.

use core::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use quick_error::quick_error;

use crate::control_state::{ControlState, StateVersion};
use crate::epoch_config::EpochConfig;
use crate::state_delta::StateDelta;
use crate::term::{MemberId, Term};

quick_error! {
    /// Why a log can't be replayed. Each error has a number in `docs/codes.md`.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoredStateError {
        /// 721: a record can't be decoded. A disk that has lost records has lost promises, so it has to be wiped.
        Unreadable(index: usize) {
            display("record {index} of the control state can't be read")
        }
        /// 722: a record does not follow from the previous ones.
        OutOfSequence(index: usize) {
            display("record {index} of the control state does not fit those before it")
        }
        /// 722: there are records, but none of them has the identity of the disk. It is always written first, so the
        /// log is incomplete. The text is that of the row of 722 in `docs/codes.md`.
        MissingIdentity {
            display("record 0 of the control state does not fit those before it")
        }
    }
}

impl StoredStateError {
    /// The number of the error in logs and in `docs/codes.md`.
    pub fn code(&self) -> u16 {
        match self {
            StoredStateError::Unreadable(_) => 721,
            StoredStateError::OutOfSequence(_) | StoredStateError::MissingIdentity => 722,
        }
    }
}

/// The identity of a disk. Never changes once it is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct DiskIdentity {
    #[n(0)]
    pub(crate) id: MemberId,
    /// The addresses of all bootstrap voters; none if this disk does not belong to one of them.
    #[n(1)]
    pub(crate) bootstrap_voters: Option<Vec<SocketAddrV4>>,
}

/// A record of the log.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) enum LogRecord {
    #[n(0)]
    Identity(#[n(0)] DiskIdentity),
    #[n(1)]
    Promise(#[n(0)] Term),
    #[n(2)]
    Accept(#[n(0)] EpochConfig),
    #[n(3)]
    State(#[n(0)] ControlState),
    /// The last state before this record, written again under another term.
    #[n(4)]
    RewriteUnderNewTerm(#[n(0)] StateVersion),
    /// Replaces all records before it.
    #[n(5)]
    Snapshot(#[n(0)] Box<DurableState>),
    /// A configuration in which this disk has no vote, stored for the addresses of the members.
    #[n(6)]
    Learned(#[n(0)] EpochConfig),
    /// A change to the last state before this record.
    #[n(7)]
    Delta(#[n(0)] StateDelta),
}

impl LogRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Writing to memory doesn't fail.
        minicbor::to_vec(self).unwrap_or_default()
    }
}

/// The durable state: everything that is synced to the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct DurableState {
    /// None until the first write of an empty disk is synced.
    #[n(0)]
    identity: Option<DiskIdentity>,
    /// The highest term that this disk has promised; at least the terms of `accepted` and `state`.
    #[n(1)]
    promised: Term,
    /// The highest configuration that this disk has accepted.
    #[n(2)]
    accepted: Option<EpochConfig>,
    /// The state with the highest version that was written.
    #[n(3)]
    state: Option<ControlState>,
    /// The last stored configuration in which this disk has no vote.
    #[n(4)]
    learned: Option<EpochConfig>,
}

/// The result of a replay.
pub(crate) struct Replay {
    pub(crate) durable: DurableState,
    /// The total length of the bodies that were rebuilt from deltas.
    pub(crate) rebuilt_bytes: usize,
}

impl DurableState {
    /// Replays the records of a log, oldest first.
    ///
    /// # Errors
    ///
    /// If a record can't be decoded or does not follow from the previous ones.
    pub(crate) fn replay(records: &[Vec<u8>]) -> Result<Replay, StoredStateError> {
        let (mut durable, mut rebuilt_bytes) = (DurableState::default(), 0_usize);
        for (index, bytes) in records.iter().enumerate() {
            let record = minicbor::decode(bytes).map_err(|_| StoredStateError::Unreadable(index))?;
            let is_delta = matches!(record, LogRecord::Delta(_));
            if !durable.apply(record) {
                return Err(StoredStateError::OutOfSequence(index));
            }
            let body_bytes = durable.state.as_ref().filter(|_| is_delta).map_or(0, |state| state.body.len());
            rebuilt_bytes = rebuilt_bytes.saturating_add(body_bytes);
        }
        Ok(Replay { durable, rebuilt_bytes })
    }

    /// None until the first write of an empty disk is synced.
    pub(crate) fn identity(&self) -> Option<&DiskIdentity> {
        self.identity.as_ref()
    }

    /// The highest term that this disk has promised.
    pub(crate) fn promised(&self) -> Term {
        self.promised
    }

    /// A copy with another promise.
    pub(crate) fn with_promise(&self, promised: Term) -> DurableState {
        DurableState { promised, ..self.clone() }
    }

    /// The state with the highest version that was written.
    pub(crate) fn state(&self) -> Option<&ControlState> {
        self.state.as_ref()
    }

    /// The accepted configuration, then the learned one.
    pub(crate) fn configs(&self) -> impl Iterator<Item = &EpochConfig> {
        [&self.accepted, &self.learned].into_iter().flatten()
    }

    pub(crate) fn version(&self) -> Option<StateVersion> {
        self.state.as_ref().map(ControlState::version)
    }

    /// The term of the accepted configuration; the lowest term if there is none.
    pub(crate) fn accepted_term(&self) -> Term {
        self.accepted.as_ref().map(|config| config.term).unwrap_or_default()
    }

    /// Applies a record. Returns false if it does not follow from the previous ones.
    pub(crate) fn apply(&mut self, record: LogRecord) -> bool {
        match record {
            LogRecord::Identity(identity) => return self.apply_identity(identity),
            LogRecord::Promise(term) => self.promised = self.promised.max(term),
            LogRecord::Accept(config) => self.apply_accept(config),
            LogRecord::State(state) => self.apply_state(state),
            LogRecord::RewriteUnderNewTerm(version) => return self.apply_rewrite(version),
            LogRecord::Snapshot(snapshot) => *self = *snapshot,
            LogRecord::Learned(config) => self.learned = Some(config),
            LogRecord::Delta(delta) => {
                let state = self.state.as_ref().and_then(|previous| delta.apply(previous));
                let Some(state) = state else { return false };
                self.apply_state(state);
            }
        }
        true
    }

    fn apply_identity(&mut self, identity: DiskIdentity) -> bool {
        if self.identity.as_ref().is_some_and(|known| *known != identity) {
            return false;
        }
        self.identity = Some(identity);
        true
    }

    fn apply_accept(&mut self, config: EpochConfig) {
        self.promised = self.promised.max(config.term);
        if config.term >= self.accepted_term() {
            self.accepted = Some(config);
        }
    }

    fn apply_state(&mut self, state: ControlState) {
        self.promised = self.promised.max(state.write_term);
        if self.version().is_none_or(|durable| durable <= state.version()) {
            self.state = Some(state);
        }
    }

    fn apply_rewrite(&mut self, version: StateVersion) -> bool {
        self.promised = self.promised.max(version.write_term);
        match &mut self.state {
            Some(state) if state.version().has_same_body(&version) => {
                state.write_term = state.write_term.max(version.write_term);
                true
            }
            _ => false,
        }
    }
}
