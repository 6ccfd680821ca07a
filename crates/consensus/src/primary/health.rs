//! The health of the group as the primary reports it.

use mosshead_time::Instant;

use super::PrimaryState;
use crate::group_health::{GroupHealth, MemberHealth, MemberRole};
use crate::node_core::NodeCore;
use crate::term::Member;

impl PrimaryState {
    pub(crate) fn group_health(&self, core: &NodeCore, now: Instant) -> GroupHealth {
        let mut members: Vec<MemberHealth> =
            self.config.members.iter().map(|member| self.member_health(core, *member, now)).collect();
        members.sort_by_key(|health| (health.member.id != self.config.primary, health.member.address));
        GroupHealth { members, is_changing: self.config.is_joint() }
    }

    fn member_health(&self, core: &NodeCore, member: Member, now: Instant) -> MemberHealth {
        if member.id == core.local().id {
            let is_healthy = core.is_healthy();
            return MemberHealth { member, role: MemberRole::Primary, silence: None, is_healthy };
        }
        let is_backup = self.config.backups.contains(&member.id);
        let role = if is_backup { MemberRole::Backup } else { MemberRole::Witness };
        let peer = core.peers.get(member.id);
        let suspicion_timeout = core.context.timings().suspicion_timeout;
        let is_departing = core.removal.is_departing(member.id, now);
        let is_healthy = peer
            .is_some_and(|peer| peer.is_healthy() && !is_departing && peer.silence(now) <= suspicion_timeout);
        MemberHealth { member, role, silence: peer.map(|peer| peer.silence(now)), is_healthy }
    }
}
