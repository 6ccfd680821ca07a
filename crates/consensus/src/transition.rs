//! The transitions that a role can request from its node in response to an event.

use mosshead_time::Instant;

use crate::control_state::ControlState;
use crate::epoch_config::EpochConfig;
use crate::term::{Member, Term};
use crate::votes::Votes;

/// A transition of the role.
#[derive(Debug)]
pub(crate) enum Transition {
    Stay,
    /// Become a follower.
    StepDown,
    TakeOver(TakeOverPlan),
    BecomePrimary(Box<DecidedEpoch>),
}

/// The parameters of a take-over that is to be started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TakeOverPlan {
    /// In a renewal, the term of this primary's epoch, which is known to be decided; `None` for a follower.
    pub(crate) decided_term: Option<Term>,
    /// The members that the primary wants, if they should change.
    pub(crate) wanted_members: Option<Vec<Member>>,
    /// The members of a forced recovery that an operator requested; `None` for any other take-over.
    pub(crate) founding_members: Option<Vec<Member>>,
    /// How many take-overs in a row were rejected before this one; counted for renewals only.
    pub(crate) rejections: u8,
}

/// An epoch that a majority has accepted.
#[derive(Debug)]
pub(crate) struct DecidedEpoch {
    pub(crate) config: EpochConfig,
    /// The state on the disks of the primary and of the backups.
    pub(crate) state: ControlState,
    pub(crate) votes: Votes,
    /// When the configuration was proposed.
    pub(crate) proposed_at: Instant,
    /// True if this node was primary just before.
    pub(crate) is_renewal: bool,
    /// True if nobody else can have been primary since this node was.
    pub(crate) is_continued: bool,
}
