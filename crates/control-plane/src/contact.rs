/// Whether a control machine has lately been in contact with a majority of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// A majority has confirmed the epoch that this machine follows.
    InTouch,
    /// What this machine knows may be old.
    OutOfTouch,
}

impl Contact {
    /// From the word of the consensus state.
    pub fn from_flag(in_touch: bool) -> Contact {
        if in_touch { Contact::InTouch } else { Contact::OutOfTouch }
    }

    /// Whether the machine is in touch.
    pub fn is_in_touch(self) -> bool {
        self == Contact::InTouch
    }
}
