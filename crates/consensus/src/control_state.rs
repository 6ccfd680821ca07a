use core::fmt;
use core::net::SocketAddrV4;
use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::stored_state::StoredState;

/// How many of the latest calls a state remembers.
pub const DEDUPLICATION_WINDOW: usize = 256;

/// The random number of a disk. Zero stands for a bootstrap voter that is known by its address only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct MemberId(#[n(0)] pub u64);

/// A disk and the internal address of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The number of the disk.
    #[n(0)]
    pub id: MemberId,
    /// Where its process hears the others.
    #[n(1)]
    pub address: SocketAddrV4,
}

impl Member {
    pub(crate) fn bootstrap_voter(address: SocketAddrV4) -> Member {
        Member { id: MemberId(0), address }
    }
}

/// The number of an attempt to lead; its round is the fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Term {
    /// Rises with every attempt.
    #[n(0)]
    pub number: u64,
    /// Whose attempt it is.
    #[n(1)]
    pub proposer: MemberId,
}

/// An epoch: who leads, who holds the state, who votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct EpochConfig {
    /// The attempt that proposed it.
    #[n(0)]
    pub term: Term,
    /// The members before; other than `members` only while members change. A majority of both decides.
    #[n(1)]
    pub outgoing_members: Vec<Member>,
    /// The members.
    #[n(2)]
    pub members: Vec<Member>,
    /// The member that leads.
    #[n(3)]
    pub primary: MemberId,
    /// The members that keep the state beside the primary; the others are witnesses.
    #[n(4)]
    pub backups: Vec<MemberId>,
}

impl EpochConfig {
    /// Whether members are changing: the old ones have a say still.
    pub fn is_joint(&self) -> bool {
        self.outgoing_members != self.members
    }

    pub(crate) fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    pub(crate) fn holds_state(&self, id: MemberId) -> bool {
        self.primary == id || self.backups.contains(&id)
    }

    /// All that have a say, each address and number once.
    pub(crate) fn voters(&self) -> Vec<Member> {
        let mut all = self.members.clone();
        all.extend(self.outgoing_members.iter().filter(|m| !self.members.contains(m)));
        all
    }

    pub(crate) fn is_within_bounds(&self) -> bool {
        let most = crate::settings::MOST_MEMBERS;
        self.members.len() <= most && self.outgoing_members.len() <= most && self.backups.len() <= most
    }
}

/// Which state it is: of two, the one that is higher holds. One body belongs to each pair of revision and first_write_term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StateVersion {
    /// The term under which it was written here.
    #[n(0)]
    pub write_term: Term,
    /// The operator's number.
    #[n(1)]
    pub revision: u64,
    /// The term under which it was written first.
    #[n(2)]
    pub first_write_term: Term,
}

impl StateVersion {
    pub(crate) fn same_body(&self, other: &StateVersion) -> bool {
        self.revision == other.revision && self.first_write_term == other.first_write_term
    }
}

/// What tells an operator's call from every other one: the SHA-256 of all that it says.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct RequestDigest(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 32]);

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A call that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AppliedRequest {
    /// The revision that it made.
    #[n(0)]
    pub revision: u64,
    /// The digest of the call.
    #[n(1)]
    pub digest: RequestDigest,
}

/// What a state says of an operator's call, before anything is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// Exactly this call has been taken.
    AlreadyApplied,
    /// It builds on the current revision and numbers above it.
    Acceptable,
    /// It has never been taken, and never will be.
    Stale,
    /// It is so old that it can't be told from a call that was taken and has been forgotten: no clear answer.
    Expired,
}

/// The control state. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode)]
pub struct ControlState {
    /// The term under which it was written.
    #[n(0)]
    pub write_term: Term,
    /// The term under which this revision was written first.
    #[n(1)]
    pub first_write_term: Term,
    /// The operator's number; zero before the first change.
    #[n(2)]
    pub revision: u64,
    /// What the operator wrote, opaque here.
    #[cbor(n(3), encode_with = "encode_body")]
    pub body: Arc<[u8]>,
    /// The latest calls that were taken, oldest first.
    #[cbor(n(4), encode_with = "encode_applied_requests")]
    pub applied_requests: Arc<[AppliedRequest]>,
    /// The highest revision whose call was taken and is remembered no more; zero while all are remembered.
    #[n(5)]
    pub highest_expired_revision: u64,
}

impl ControlState {
    /// Which state it is.
    pub fn version(&self) -> StateVersion {
        StateVersion {
            write_term: self.write_term,
            revision: self.revision,
            first_write_term: self.first_write_term,
        }
    }

    pub(crate) fn stamped(&self, term: Term) -> ControlState {
        ControlState { write_term: term, ..self.clone() }
    }

    pub(crate) fn has_applied(&self, call: AppliedRequest) -> bool {
        self.applied_requests.contains(&call)
    }

    /// What is to be said of a call that builds on the revision `base`, if this state is the newest one.
    pub fn classify_request(&self, base: u64, call: AppliedRequest) -> RequestStatus {
        if self.has_applied(call) {
            RequestStatus::AlreadyApplied
        } else if base == self.revision {
            // A call that was taken on this base would have made another revision current.
            if call.revision > base { RequestStatus::Acceptable } else { RequestStatus::Stale }
        } else if call.revision <= base || call.revision > self.highest_expired_revision {
            // Each call that was taken numbers above its base, and all above `forgotten` are remembered.
            RequestStatus::Stale
        } else {
            RequestStatus::Expired
        }
    }

    /// The state after a call.
    pub fn with_request_applied(&self, term: Term, call: AppliedRequest, body: Arc<[u8]>) -> ControlState {
        let dropped = (self.applied_requests.len() + 1).saturating_sub(DEDUPLICATION_WINDOW);
        let highest_expired_revision = self
            .applied_requests
            .iter()
            .take(dropped)
            .map(|c| c.revision)
            .fold(self.highest_expired_revision, u64::max);
        let taken = self.applied_requests.iter().skip(dropped).copied().chain([call]).collect();
        ControlState {
            write_term: term,
            first_write_term: term,
            revision: call.revision,
            body,
            applied_requests: taken,
            highest_expired_revision,
        }
    }

    pub(crate) fn is_within_bounds(&self) -> bool {
        self.applied_requests.len() <= DEDUPLICATION_WINDOW
    }
}

pub(crate) fn encode_body<C, W: minicbor::encode::Write>(
    body: &Arc<[u8]>,
    e: &mut minicbor::Encoder<W>,
    _: &mut C,
) -> Result<(), minicbor::encode::Error<W::Error>> {
    e.bytes(body)?;
    Ok(())
}

pub(crate) fn decode_body<C>(
    d: &mut minicbor::Decoder<'_>,
    _: &mut C,
) -> Result<Arc<[u8]>, minicbor::decode::Error> {
    Ok(d.bytes()?.into())
}

fn encode_applied_requests<C, W: minicbor::encode::Write>(
    taken: &Arc<[AppliedRequest]>,
    e: &mut minicbor::Encoder<W>,
    context: &mut C,
) -> Result<(), minicbor::encode::Error<W::Error>> {
    e.array(taken.len() as u64)?;
    for call in taken.iter() {
        call.encode(e, context)?;
    }
    Ok(())
}

impl<'b, C> Decode<'b, C> for ControlState {
    fn decode(
        d: &mut minicbor::Decoder<'b>,
        context: &mut C,
    ) -> Result<ControlState, minicbor::decode::Error> {
        StoredState::decode(d, context).map(ControlState::from)
    }
}
