/// Whether a control machine has lately been in contact with a majority of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// A majority has confirmed the epoch that this machine follows.
    Confirmed,
    /// What this machine knows may be old.
    Unconfirmed,
}

impl QuorumContact {
    /// From the word of the consensus state.
    pub fn from_flag(in_touch: bool) -> QuorumContact {
        if in_touch { QuorumContact::Confirmed } else { QuorumContact::Unconfirmed }
    }

    /// Whether the machine is in touch.
    pub fn is_confirmed(self) -> bool {
        self == QuorumContact::Confirmed
    }
}
