//! Whether a control node is in contact with a quorum.

/// Whether a quorum of the members has lately confirmed the epoch that a control node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// A quorum has confirmed the epoch: the node knows the newest state, but for what is being committed.
    Confirmed,
    /// What the node knows may be outdated.
    Unconfirmed,
}

impl QuorumContact {
    /// From the flag that consensus reports and responses carry.
    pub fn from_flag(has_quorum_contact: bool) -> QuorumContact {
        if has_quorum_contact { QuorumContact::Confirmed } else { QuorumContact::Unconfirmed }
    }

    /// Whether a quorum has confirmed the epoch.
    pub fn is_confirmed(self) -> bool {
        self == QuorumContact::Confirmed
    }
}
