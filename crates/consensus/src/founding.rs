//! Forced recovery, called founding anew in the operator's commands: a first epoch of the remaining nodes after a
//! majority of the members was lost for good.
//!
//! No majority can decide on it, so an operator does. It is refused while the reachable nodes could elect a primary by
//! themselves. The new term is so far above all known ones that no lost disk can have used one as high: a node raises its
//! term only with the pre-votes of a majority, or as the primary, or at the primary's request. The newest state of the
//! remaining nodes is kept; changes that were committed only on the lost nodes are lost.

use quick_error::quick_error;

use crate::epoch_config::EpochConfig;
use crate::node_core::NodeCore;
use crate::term::Member;
use crate::votes::{QuorumRule, Votes};

/// How far the term of a forced recovery is above the highest known one.
pub const FOUNDING_TERM_STEP: u64 = 1 << 16;

/// The plan of a forced recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Founding {
    /// The members of the new epoch: this node, reachable members of the last epoch, and other nodes that have sent join
    /// requests.
    pub members: Vec<Member>,
    /// The members of the last known epoch that can't be reached.
    pub lost: Vec<Member>,
    /// The revision of the newest state that this node knows; none if it knows no state. Another member may have a newer
    /// one, which is then kept.
    pub known_revision: Option<u64>,
}

quick_error! {
    /// The reason why a forced recovery is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FoundingError {
        /// A primary is alive, or a take-over is under way.
        HasPrimary {
            display("a primary is alive or is being elected")
        }
        /// Enough members can be reached to elect a primary. Holds their number, and that of all members.
        MajorityReachable(reachable: usize, members: usize) {
            display("{reachable} of {members} members can be reached, which can elect a primary")
        }
        /// A state could not be stored on enough disks. Holds the number of nodes that can be reached, and the number needed.
        TooFewNodes(reachable: usize, needed: usize) {
            display("{reachable} nodes can be reached, and {needed} are needed to store the state")
        }
        /// The disk of this node accepts no writes, or the node is shutting down.
        Unhealthy {
            display("the disk of this node takes no writes, or the node shuts down")
        }
    }
}

/// Plans a forced recovery of this node and the nodes that have recently sent join requests.
///
/// # Errors
///
/// The recovery is not possible, or not needed.
pub(crate) fn plan_founding(core: &NodeCore) -> Result<Founding, FoundingError> {
    if core.failure_detector.trusts_primary(&core.context) {
        return Err(FoundingError::HasPrimary);
    }
    if !core.is_healthy() {
        return Err(FoundingError::Unhealthy);
    }
    let reachable = reachable_nodes(core);
    if let Some(config) = core.epoch.config()
        && can_elect_primary(config, &reachable)
    {
        let present = config.members.iter().filter(|member| reachable.contains(member)).count();
        return Err(FoundingError::MajorityReachable(present, config.members.len()));
    }
    let settings = core.context.settings();
    let needed = settings.max_failures + 1;
    if reachable.len() < needed {
        return Err(FoundingError::TooFewNodes(reachable.len(), needed));
    }
    let former = core.epoch.config().map_or(&[][..], |config| &config.members);
    let lost = former.iter().filter(|member| !reachable.contains(member)).copied().collect();
    let members = reachable.into_iter().take(settings.member_count()).collect();
    Ok(Founding { members, lost, known_revision: known_revision(core) })
}

/// This node, then members of the last known epoch, then others; one node for each address.
fn reachable_nodes(core: &NodeCore) -> Vec<Member> {
    let local = core.local();
    let mut others: Vec<Member> = core.joins.recent(core.now()).map(|join| join.member).collect();
    others.sort_by_key(|member| (!core.epoch.has_member(member.id), *member));
    let mut nodes = vec![local];
    for other in others {
        if nodes.iter().all(|node| node.address != other.address) {
            nodes.push(other);
        }
    }
    nodes
}

/// Returns true if these nodes could elect a primary without an operator: a majority that includes a holder of the state.
fn can_elect_primary(config: &EpochConfig, nodes: &[Member]) -> bool {
    let mut votes = Votes::default();
    for node in nodes {
        votes.add(*node, false);
    }
    votes.are_quorum_of(config, QuorumRule::Joint) && votes.include_state_holder(config)
}

fn known_revision(core: &NodeCore) -> Option<u64> {
    let durable = core.storage.state().map(|state| state.revision);
    durable.max(core.learner.revision())
}
