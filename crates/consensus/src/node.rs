//! One node: it takes what happens, lets its parts and its role act on it, and returns what is to be done.

mod disk;
mod follower;
mod messages;
mod queries;
mod role;

use std::collections::BTreeSet;

use mosshead_time::Instant;
use rand_core::RngCore;

use self::role::Role;
use crate::acceptor::Acceptor;
use crate::context::Context;
use crate::control_state::AppliedRequest;
use crate::delta_log::DeltaLog;
use crate::durable_state::{DiskIdentity, DurableState, StoredStateError};
use crate::election::Election;
use crate::epoch_view::EpochView;
use crate::event::{ClientReply, Input, Output};
use crate::injected_fault::InjectedFault;
use crate::join_requests::JoinRequests;
use crate::learner::Learner;
use crate::limits::{MAX_BODY_BYTES, MAX_FAILURES, MAX_MEMBERS};
use crate::member_removal::MemberRemoval;
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::peers::Peers;
use crate::pending_requests::{ChangeRequest, PendingRequests};
use crate::settings::Settings;
use crate::snapshot_transfer::SnapshotTransfers;
use crate::storage::Storage;
use crate::term::{Member, MemberId};

/// A replica of the control state, without I/O, clock or randomness of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node<R> {
    core: NodeCore,
    role: Role,
    rng: R,
}

impl<R: RngCore> Node<R> {
    /// A node from the records of its log, oldest first.
    ///
    /// # Errors
    ///
    /// A record can't be read, or does not fit those before it.
    pub fn new(
        mut settings: Settings,
        records: &[Vec<u8>],
        now: Instant,
        mut rng: R,
    ) -> Result<Node<R>, StoredStateError> {
        settings.max_failures = settings.max_failures.min(MAX_FAILURES);
        let (durable, rebuilt_bytes) = DurableState::replay(records)?;
        let identity = match &durable.identity {
            Some(identity) => identity.clone(),
            None if !records.is_empty() => return Err(StoredStateError::MissingIdentity),
            None => new_identity(&settings, &mut rng),
        };
        let local = Member { id: identity.id, address: settings.address };
        let core = NodeCore {
            context: Context::new(settings, local, now),
            acceptor: Acceptor::new(durable.promised),
            epoch: EpochView::new(durable.promised),
            storage: Storage::new(identity, durable, records, rebuilt_bytes),
            learner: Learner::new(rng.next_u64()),
            election: Election::default(),
            joins: JoinRequests::new(now),
            removal: MemberRemoval::default(),
            transfers: SnapshotTransfers::default(),
            requests: PendingRequests::default(),
            peers: Peers::default(),
            primary_lease_confirmed_at: None,
            delta_log: DeltaLog::default(),
            leadership_transfer: None,
        };
        let mut node = Node { core, role: Role::Follower, rng };
        node.reset_addresses();
        let durable = &node.core.storage.durable;
        for config in [durable.accepted.clone(), durable.learned.clone()].into_iter().flatten() {
            node.observe_config(&config);
        }
        node.core.election.schedule_first_attempt(now, &mut node.rng);
        Ok(node)
    }

    /// Takes what happened; returns what is to be done, in this order. An instant before that of the last step counts as that
    /// one.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.core.context.now = self.core.context.now.max(now);
        // A node that was suspended (a paused virtual machine) checks its lease, or its take-over, before anything that
        // arrived meanwhile.
        self.renew_lease();
        self.end_overdue_take_over();
        self.on_input(input);
        // Before the identity is durable, only the disk has timers: its first write is the identity.
        self.run_disk_timers();
        if self.core.storage.is_open() {
            self.run_timers();
        }
        // Before requests are served: one that was answered as unavailable is not started afterwards.
        self.core.requests.expire(&mut self.core.context);
        self.serve_requests();
        self.complete_unsynced_writes();
        self.core.context.take_outputs()
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                let is_own = from.id == self.core.local().id;
                if self.core.storage.is_open() && message.is_within_bounds() && !is_own {
                    self.on_message(from, message);
                }
            }
            Input::Written { token } => self.on_written(token),
            Input::WriteFailed { token } => self.on_write_failed(token),
            Input::Change { request_id, base_revision, revision, body, digest } => {
                if body.len() > MAX_BODY_BYTES {
                    return self.core.context.reply(request_id, ClientReply::TooLarge);
                }
                let received_at = self.core.now();
                let (request, body) = (AppliedRequest { revision, digest }, body.into());
                self.on_change(ChangeRequest { request_id, received_at, base_revision, request, body });
            }
            Input::Read { request_id } => self.on_read(request_id),
            Input::ShutDown => self.core.removal.request_shutdown(self.core.context.now),
            Input::Seeds(seeds) => {
                self.core.context.settings.seeds = seeds;
                self.reset_addresses();
            }
        }
    }

    fn run_timers(&mut self) {
        self.run_election_timers();
        self.run_join_timers();
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.run_timers(&mut self.core);
            self.apply(transition);
        }
        self.run_transfer_of_leadership();
        if let Role::Primary(primary) = &mut self.role {
            let transition = primary.run_timers(&mut self.core);
            self.apply(transition);
        }
        self.core.transfers.run_timers(&mut self.core.context);
        self.announce_shutdown();
    }

    /// A primary without contact to a majority steps down.
    fn renew_lease(&mut self) {
        if let Role::Primary(primary) = &self.role
            && !primary.renew_lease(&mut self.core)
        {
            self.step_down();
        }
    }

    fn end_overdue_take_over(&mut self) {
        if let Role::TakingOver(take_over) = &self.role
            && take_over.is_overdue(&self.core)
        {
            self.step_down();
        }
    }

    fn run_transfer_of_leadership(&mut self) {
        let promised = self.core.acceptor.promised();
        if let Some(transfer) = &mut self.core.leadership_transfer
            && transfer.run_timers(&mut self.core.context, promised)
        {
            self.core.leadership_transfer = None;
        }
    }

    fn announce_shutdown(&mut self) {
        if self.core.removal.take_due_announcement(&self.core.context) {
            for member in self.core.electorate() {
                self.core.send(member.address, Message::RequestRemoval);
            }
        }
    }

    /// Keeps the addresses of the seeds and of the members only.
    fn reset_addresses(&mut self) {
        let electorate = self.core.electorate();
        self.core.epoch.reset_addresses(&self.core.context.settings.seeds, &electorate);
    }

    /// Whether this node is primary, or may be so soon, and takes requests.
    fn takes_requests(&self) -> bool {
        !self.role.is_follower() && !self.core.removal.is_shutting_down()
    }

    fn on_change(&mut self, change: ChangeRequest) {
        if !self.takes_requests() {
            return self.redirect(change.request_id);
        }
        self.core.requests.add_change(&mut self.core.context, change);
    }

    fn on_read(&mut self, request_id: u64) {
        if !self.takes_requests() {
            return self.redirect(request_id);
        }
        let core = &mut self.core;
        let next_heartbeat = match &self.role {
            Role::Primary(primary) => Some(primary.next_heartbeat()),
            _ => None,
        };
        if core.has_fault(InjectedFault::ReadUnconfirmed)
            && next_heartbeat.is_some()
            && let Some(state) = core.learner.committed.clone()
        {
            return core.context.reply(request_id, ClientReply::CurrentState { state });
        }
        core.requests.add_read(&mut core.context, request_id, next_heartbeat);
    }

    fn redirect(&mut self, request_id: u64) {
        let primary = self.redirect_address();
        self.core.context.reply(request_id, ClientReply::NotPrimary { primary });
    }

    fn serve_requests(&mut self) {
        if let Role::Primary(primary) = &mut self.role {
            primary.serve_requests(&mut self.core);
        }
    }
}

/// The identity of an empty disk.
fn new_identity(settings: &Settings, rng: &mut impl RngCore) -> DiskIdentity {
    let is_bootstrap_voter = settings.bootstrap && settings.seeds.contains(&settings.address);
    let voters: BTreeSet<_> = settings.seeds.iter().take(MAX_MEMBERS).copied().collect();
    DiskIdentity {
        // Zero stands for an unknown disk.
        id: MemberId(rng.next_u64().max(1)),
        bootstrap_voters: is_bootstrap_voter.then(|| voters.into_iter().collect()),
    }
}
