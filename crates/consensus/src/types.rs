use core::fmt;
use core::net::SocketAddrV4;
use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::stored::StoredState;

/// How many of the latest calls a state remembers.
pub const REMEMBERED_CALLS: usize = 256;

/// The random number of a disk. Zero stands for a founder that is known by its address only.
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
    pub(crate) fn founder(address: SocketAddrV4) -> Member {
        Member { id: MemberId(0), address }
    }
}

/// The number of an attempt to lead; its round is the fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Ballot {
    /// Rises with every attempt.
    #[n(0)]
    pub round: u64,
    /// Whose attempt it is.
    #[n(1)]
    pub member: MemberId,
}

/// An epoch: who leads, who holds the state, who votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Record {
    /// The attempt that proposed it.
    #[n(0)]
    pub ballot: Ballot,
    /// The members before; other than `members` only while members change. A majority of both decides.
    #[n(1)]
    pub previous: Vec<Member>,
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

impl Record {
    /// Whether members are changing: the old ones have a say still.
    pub fn is_joint(&self) -> bool {
        self.previous != self.members
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
        all.extend(self.previous.iter().filter(|m| !self.members.contains(m)));
        all
    }

    pub(crate) fn is_sane(&self) -> bool {
        let most = crate::settings::MOST_MEMBERS;
        self.members.len() <= most && self.previous.len() <= most && self.backups.len() <= most
    }
}

/// Which state it is: of two, the one that is higher holds. One body belongs to each pair of revision and origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Version {
    /// The ballot under which it was written here.
    #[n(0)]
    pub stamp: Ballot,
    /// The operator's number.
    #[n(1)]
    pub revision: u64,
    /// The ballot under which it was written first.
    #[n(2)]
    pub origin: Ballot,
}

impl Version {
    pub(crate) fn same_body(&self, other: &Version) -> bool {
        self.revision == other.revision && self.origin == other.origin
    }
}

/// What tells an operator's call from every other one: the SHA-256 of all that it says.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct CallDigest(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 32]);

impl fmt::Debug for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A call that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Call {
    /// The revision that it made.
    #[n(0)]
    pub revision: u64,
    /// The digest of the call.
    #[n(1)]
    pub digest: CallDigest,
}

/// What a state says of an operator's call, before anything is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Exactly this call has been taken.
    Taken,
    /// It builds on the current revision and numbers above it.
    Acceptable,
    /// It has never been taken, and never will be.
    Stale,
    /// It is so old that it can't be told from a call that was taken and has been forgotten: no clear answer.
    Forgotten,
}

/// The control state. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode)]
pub struct State {
    /// The ballot under which it was written.
    #[n(0)]
    pub ballot: Ballot,
    /// The ballot under which this revision was written first.
    #[n(1)]
    pub origin: Ballot,
    /// The operator's number; zero before the first change.
    #[n(2)]
    pub revision: u64,
    /// What the operator wrote, opaque here.
    #[cbor(n(3), encode_with = "encode_body")]
    pub body: Arc<[u8]>,
    /// The latest calls that were taken, oldest first.
    #[cbor(n(4), encode_with = "encode_taken")]
    pub taken: Arc<[Call]>,
    /// The highest revision whose call was taken and is remembered no more; zero while all are remembered.
    #[n(5)]
    pub forgotten: u64,
}

impl State {
    /// Which state it is.
    pub fn version(&self) -> Version {
        Version { stamp: self.ballot, revision: self.revision, origin: self.origin }
    }

    pub(crate) fn stamped(&self, ballot: Ballot) -> State {
        State { ballot, ..self.clone() }
    }

    pub(crate) fn has_taken(&self, call: Call) -> bool {
        self.taken.contains(&call)
    }

    /// What is to be said of a call that builds on the revision `base`, if this state is the newest one.
    pub fn judge(&self, base: u64, call: Call) -> Judgement {
        if self.has_taken(call) {
            Judgement::Taken
        } else if base == self.revision {
            // A call that was taken on this base would have made another revision current.
            if call.revision > base { Judgement::Acceptable } else { Judgement::Stale }
        } else if call.revision <= base || call.revision > self.forgotten {
            // Each call that was taken numbers above its base, and all above `forgotten` are remembered.
            Judgement::Stale
        } else {
            Judgement::Forgotten
        }
    }

    /// The state after a call.
    pub fn after(&self, ballot: Ballot, call: Call, body: Arc<[u8]>) -> State {
        let dropped = (self.taken.len() + 1).saturating_sub(REMEMBERED_CALLS);
        let forgotten = self.taken.iter().take(dropped).map(|c| c.revision).fold(self.forgotten, u64::max);
        let taken = self.taken.iter().skip(dropped).copied().chain([call]).collect();
        State { ballot, origin: ballot, revision: call.revision, body, taken, forgotten }
    }

    pub(crate) fn is_sane(&self) -> bool {
        self.taken.len() <= REMEMBERED_CALLS
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

fn encode_taken<C, W: minicbor::encode::Write>(
    taken: &Arc<[Call]>,
    e: &mut minicbor::Encoder<W>,
    context: &mut C,
) -> Result<(), minicbor::encode::Error<W::Error>> {
    e.array(taken.len() as u64)?;
    for call in taken.iter() {
        call.encode(e, context)?;
    }
    Ok(())
}

impl<'b, C> Decode<'b, C> for State {
    fn decode(d: &mut minicbor::Decoder<'b>, context: &mut C) -> Result<State, minicbor::decode::Error> {
        StoredState::decode(d, context).map(State::from)
    }
}
