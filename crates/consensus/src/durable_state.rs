//! What a disk holds, and the records of the log that it is replayed from.

use core::net::SocketAddrV4;

use minicbor::{Decode, Encode};
use quick_error::quick_error;

use crate::control_state::{ControlState, StateVersion};
use crate::epoch_config::EpochConfig;
use crate::state_delta::StateDelta;
use crate::term::{MemberId, Term};

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
        /// 722: there are records, but none with the identity of the disk, which is written first: the log is incomplete.
        /// The text is that of the number's row in `docs/codes.md`.
        MissingIdentity {
            display("record 0 of the control state does not fit those before it")
        }
    }
}

impl StoredStateError {
    /// The number of the error, for logs and the table in `docs/codes.md`.
    pub fn code(&self) -> u16 {
        match self {
            StoredStateError::Unreadable(_) => 721,
            StoredStateError::Disordered(_) | StoredStateError::MissingIdentity => 722,
        }
    }
}

/// What a disk is, once and for all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct DiskIdentity {
    #[n(0)]
    pub(crate) id: MemberId,
    /// The addresses of the bootstrap voters, if this disk is one of theirs.
    #[n(1)]
    pub(crate) bootstrap_voters: Option<Vec<SocketAddrV4>>,
}

/// One record of the log.
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
    /// The state before this record, written under another term.
    #[n(4)]
    RewriteUnderNewTerm(#[n(0)] StateVersion),
    /// Replaces everything before it.
    #[n(5)]
    Snapshot(#[n(0)] Box<DurableState>),
    /// A configuration that this disk has no vote in; it says where the others are.
    #[n(6)]
    Learned(#[n(0)] EpochConfig),
    /// A change of the state before this record.
    #[n(7)]
    Delta(#[n(0)] StateDelta),
}

impl LogRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        // Writing to memory doesn't fail.
        minicbor::to_vec(self).unwrap_or_default()
    }
}

/// What the disk holds for certain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub(crate) struct DurableState {
    /// None until the first write of an empty disk is synced.
    #[n(0)]
    pub(crate) identity: Option<DiskIdentity>,
    /// The highest term that this disk has promised.
    #[n(1)]
    pub(crate) promised: Term,
    /// The highest configuration that this disk has accepted.
    #[n(2)]
    pub(crate) accepted: Option<EpochConfig>,
    /// The highest state that was written.
    #[n(3)]
    pub(crate) state: Option<ControlState>,
    /// The latest configuration that was learned without a vote.
    #[n(4)]
    pub(crate) learned: Option<EpochConfig>,
}

impl DurableState {
    /// Replays a log from its start. Also returns how many bytes of bodies it has rebuilt from deltas.
    ///
    /// # Errors
    ///
    /// A record can't be decoded or does not fit those before it.
    pub(crate) fn replay(records: &[Vec<u8>]) -> Result<(DurableState, usize), StoredStateError> {
        let (mut durable, mut rebuilt_bytes) = (DurableState::default(), 0_usize);
        for (index, bytes) in records.iter().enumerate() {
            let record = minicbor::decode(bytes).map_err(|_| StoredStateError::Unreadable(index))?;
            let is_delta = matches!(record, LogRecord::Delta(_));
            if !durable.apply(record) {
                return Err(StoredStateError::Disordered(index));
            }
            let body_bytes = durable.state.as_ref().filter(|_| is_delta).map_or(0, |state| state.body.len());
            rebuilt_bytes = rebuilt_bytes.saturating_add(body_bytes);
        }
        Ok((durable, rebuilt_bytes))
    }

    pub(crate) fn version(&self) -> Option<StateVersion> {
        self.state.as_ref().map(ControlState::version)
    }

    pub(crate) fn accepted_term(&self) -> Term {
        self.accepted.as_ref().map(|config| config.term).unwrap_or_default()
    }

    /// Applies a record; false if it does not fit those before it.
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
                let state = self.state.as_ref().and_then(|held| delta.apply(held));
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
        if self.version().is_none_or(|held| held <= state.version()) {
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
