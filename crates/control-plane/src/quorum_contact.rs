//! Quorum contact of a control node.

/// Tells whether a quorum of the members has recently confirmed the epoch that a control node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// A quorum has confirmed the epoch: the node knows the newest state, except for what is being committed.
    Confirmed,
    /// No quorum has confirmed the epoch recently: the state that the node knows may be outdated.
    Unconfirmed,
}

impl QuorumContact {
    /// Converts the flag that consensus reports and responses carry.
    pub fn from_flag(has_quorum_contact: bool) -> QuorumContact {
        if has_quorum_contact { QuorumContact::Confirmed } else { QuorumContact::Unconfirmed }
    }

    /// Returns true if a quorum has confirmed the epoch.
    pub fn is_confirmed(self) -> bool {
        self == QuorumContact::Confirmed
    }
}
