//! The health of the consensus group as its primary knows it: the members, the holders of the state, and whether one more
//! machine may be lost.

use core::time::Duration;

use quick_error::quick_error;

use crate::term::Member;

/// The role of a member in the current epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Decides on changes, and holds the state.
    Primary,
    /// Holds the state.
    Backup,
    /// Votes, and holds no state.
    Witness,
}

impl MemberRole {
    /// Returns true if every committed state is on the member's disk.
    pub fn holds_state(self) -> bool {
        self != MemberRole::Witness
    }
}

/// A member as the primary knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberHealth {
    /// The member.
    pub member: Member,
    /// The role of the member.
    pub role: MemberRole,
    /// The time since its last message; `None` for the primary itself, and for a member about which nothing is known.
    pub silence: Option<Duration>,
    /// True if it answers in time, its disk accepts writes, and it is not shutting down.
    pub is_healthy: bool,
}

quick_error! {
    /// The reason why no further machine may be lost now.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LossRisk {
        /// The members are changing.
        MembersChanging {
            display("the members are changing")
        }
        /// Without one more member, the healthy ones would be no majority. Holds the number of healthy members, and that
        /// of all members.
        NoSpareVote(healthy: usize, members: usize) {
            display("{healthy} of {members} members are healthy: without one more there is no majority")
        }
        /// Without one more member, the state could be lost. Holds the number of healthy members that hold it.
        NoSpareReplica(healthy: usize) {
            display("{healthy} healthy members hold the state")
        }
    }
}

/// The members and their health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHealth {
    /// All members, the primary first.
    pub members: Vec<MemberHealth>,
    /// True while the outgoing members vote in addition to the new ones.
    pub is_changing: bool,
}

impl GroupHealth {
    /// Checks that any one machine may be lost now without losing acknowledged changes or the service.
    ///
    /// # Errors
    ///
    /// The reason why the loss is not tolerated.
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
