//! The last phase of a take-over: proposes the configuration of the new epoch.

use super::{Phase, TakeOver};
use crate::control_state::ControlState;
use crate::disk_writes::DurabilityEffect;
use crate::epoch_config::EpochConfig;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::term::{Member, MemberId, Term};
use crate::transition::{DecidedEpoch, Transition};
use crate::votes::Votes;

impl TakeOver {
    /// Proposes the configuration with these backups, which hold the state.
    pub(super) fn propose_config(
        &mut self,
        core: &mut NodeCore,
        state: ControlState,
        backups: Vec<MemberId>,
    ) {
        let config = EpochConfig {
            term: self.term,
            outgoing_members: self.next_members.outgoing.clone(),
            members: self.next_members.members.clone(),
            primary: core.local().id,
            backups,
        };
        core.epoch.observe_config(&config);
        let votes = Votes::default();
        self.enter(
            Phase::Accept { config: config.clone(), state, votes, is_on_local_disk: false },
            core.now(),
        );
        core.write(DurabilityEffect::Accept(config), core.local());
        self.send_accepts(core);
    }

    pub(super) fn send_accepts(&self, core: &mut NodeCore) {
        let Phase::Accept { config, votes, .. } = &self.phase else { return };
        for member in config.voters().iter().filter(|member| !votes.includes(member)) {
            core.send(member.address, Message::Accept { config: config.clone() });
        }
    }

    pub(crate) fn on_local_config_written(&mut self, core: &NodeCore, term: Term) -> Transition {
        if self.term != term {
            return Transition::Stay;
        }
        let Phase::Accept { is_on_local_disk, .. } = &mut self.phase else { return Transition::Stay };
        *is_on_local_disk = true;
        self.on_accepted(core, core.local(), term, core.is_bootstrap_voter())
    }

    /// A member has accepted the configuration. Once a majority has, this node becomes primary.
    pub(crate) fn on_accepted(
        &mut self,
        core: &NodeCore,
        from: Member,
        term: Term,
        is_bootstrap_voter: bool,
    ) -> Transition {
        if self.term != term {
            return Transition::Stay;
        }
        let Phase::Accept { config, state, votes, is_on_local_disk } = &mut self.phase else {
            return Transition::Stay;
        };
        votes.add(from, is_bootstrap_voter);
        if !*is_on_local_disk || !votes.are_quorum_of(config, core.quorum_rule()) {
            return Transition::Stay;
        }
        Transition::BecomePrimary(Box::new(DecidedEpoch {
            config: config.clone(),
            state: state.clone(),
            votes: votes.clone(),
            proposed_at: self.phase_started_at,
            is_renewal: self.plan.decided_term.is_some(),
            is_continued: self.plan.decided_term == Some(self.base_term),
        }))
    }
}
