//! The health of the consensus group as its primary knows it: who the members are, who holds the state, and whether one more
//! machine may be lost.

use core::time::Duration;

use quick_error::quick_error;

use crate::term::Member;

/// What a member does in the present epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// It decides on changes, and holds the state.
    Primary,
    /// It holds the state.
    Backup,
    /// It votes, and holds no state.
    Witness,
}

impl MemberRole {
    /// Whether every committed state is on the member's disk.
    pub fn holds_state(self) -> bool {
        self != MemberRole::Witness
    }
}

/// A member as the primary knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberHealth {
    /// The member.
    pub member: Member,
    /// What it does.
    pub role: MemberRole,
    /// How long it has sent nothing; none for the primary itself, and for a member that nothing is known of.
    pub silence: Option<Duration>,
    /// Whether it answers in time, its disk takes writes and it does not shut down.
    pub is_healthy: bool,
}

quick_error! {
    /// Why no further machine may be lost now.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LossRisk {
        /// The members are changing.
        MembersChanging {
            display("the members are changing")
        }
        /// Without one more, the healthy members are no majority.
        NoSpareVote(healthy: usize, members: usize) {
            display("{healthy} of {members} members are healthy: without one more there is no majority")
        }
        /// Without one more, nobody has the state.
        NoSpareReplica(healthy: usize) {
            display("{healthy} healthy members hold the state")
        }
    }
}

/// The members, and whether their number suffices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHealth {
    /// All members, the primary first.
    pub members: Vec<MemberHealth>,
    /// Whether the outgoing members still vote beside the new ones.
    pub is_changing: bool,
}

impl GroupHealth {
    /// Whether any one machine may be lost now without a loss of acknowledged changes or of the service.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn tolerates_a_loss(&self) -> Result<(), LossRisk> {
        if self.is_changing {
            return Err(LossRisk::MembersChanging);
        }
        let healthy = || self.members.iter().filter(|member| member.is_healthy);
        let (votes, members) = (healthy().count(), self.members.len());
        let majority = members / 2 + 1;
        if votes <= majority {
            return Err(LossRisk::NoSpareVote(votes, members));
        }
        match healthy().filter(|member| member.role.holds_state()).count() {
            replicas @ (0 | 1) => Err(LossRisk::NoSpareReplica(replicas)),
            _ => Ok(()),
        }
    }
}
