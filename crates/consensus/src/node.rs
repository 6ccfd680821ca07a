//! One node of the group: [`Node::step`] passes an input to the node's parts and its current role, and returns the outputs.

mod acceptance;
mod disk;
mod follower;
mod membership;
mod messages;
mod queries;
mod requests;
mod responses;
mod role;
mod state_transfers;

use std::collections::BTreeSet;

use mosshead_time::Instant;
use rand_core::RngCore;

use self::role::Role;
use crate::context::Context;
use crate::control_state::AppliedRequest;
use crate::durable_state::{DiskIdentity, StoredStateError};
use crate::event::{Input, Output};
use crate::limits::{MAX_FAILURES, MAX_MEMBERS};
use crate::message::Message;
use crate::node_core::NodeCore;
use crate::settings::Settings;
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
    /// Restores a node from the records of its log, oldest first. Without records, the disk is new and gets a random
    /// identity.
    ///
    /// # Errors
    ///
    /// A record can't be read or does not continue those before it, or the records lack the identity of the disk.
    pub fn new(
        mut settings: Settings,
        records: &[Vec<u8>],
        now: Instant,
        mut rng: R,
    ) -> Result<Node<R>, StoredStateError> {
        settings.max_failures = settings.max_failures.min(MAX_FAILURES);
        let storage = Storage::open(records, || new_identity(&settings, &mut rng))?;
        let local = Member { id: storage.identity().id, address: settings.address };
        let mut core = NodeCore::new(Context::new(settings, local, now), storage, rng.next_u64());
        core.election_timer.schedule_first_attempt(now, &mut rng);
        Ok(Node { core, role: Role::Follower, rng })
    }

    /// Processes one input and returns the outputs, which the host carries out in this order. A `now` before that of the
    /// previous step counts as the previous one.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        self.core.context.start_step(now);
        // After a suspension (of a paused virtual machine, for example), the lease or the take-over is checked before any
        // input that arrived meanwhile.
        self.renew_lease_or_step_down();
        self.end_overdue_take_over();
        self.on_input(input);
        // Until the identity is durable, only the timers of the disk run: its first write is the identity.
        self.run_disk_timers();
        if self.core.storage.is_open() {
            self.run_timers();
        }
        // Expired requests are answered before any is served, so that a request that was answered as unavailable is not
        // started afterwards.
        self.core.requests.expire(&mut self.core.context);
        self.serve_requests();
        #[cfg(feature = "fault-injection")]
        self.complete_unsynced_writes();
        self.core.context.take_outputs()
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Tick => {}
            Input::Message { from, message } => {
                if self.may_receive(from, &message) {
                    self.on_message(from, message);
                }
            }
            Input::Written { token } => self.on_written(token),
            Input::WriteFailed { token } => self.on_write_failed(token),
            Input::Change { request_id, base_revision, revision, body, digest } => {
                self.on_change(request_id, base_revision, AppliedRequest { revision, digest }, body);
            }
            Input::Read { request_id } => self.on_read(request_id),
            Input::ShutDown => self.core.removal.request_shutdown(self.core.context.now()),
            Input::FoundAnew => self.found_anew(),
            Input::Seeds(seeds) => {
                self.core.context.set_seeds(seeds);
                self.core.reset_addresses();
            }
        }
    }

    /// Returns true if the message may be handled. Nothing is promised or answered before the identity of the disk is
    /// durable.
    fn may_receive(&self, from: Member, message: &Message) -> bool {
        let is_own = from.id == self.core.local().id;
        self.core.storage.is_open() && message.is_within_bounds() && !is_own
    }

    fn run_timers(&mut self) {
        self.run_election_timers();
        self.run_join_timers();
        if let Role::TakingOver(take_over) = &mut self.role {
            let transition = take_over.run_timers(&mut self.core);
            self.apply(transition);
        }
        self.run_leadership_transfer_timers();
        if let Role::Primary(primary) = &mut self.role {
            let transition = primary.run_timers(&mut self.core);
            self.apply(transition);
        }
        self.core.transfers.run_timers(&mut self.core.context);
        self.announce_shutdown();
    }

    /// Extends the lease of a primary, which steps down if the lease has expired.
    fn renew_lease_or_step_down(&mut self) {
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

    fn run_leadership_transfer_timers(&mut self) {
        let core = &mut self.core;
        core.leadership_transfer.run_timers(&mut core.context, core.acceptor.promised());
    }
}

/// Creates the identity of an empty disk.
fn new_identity(settings: &Settings, rng: &mut impl RngCore) -> DiskIdentity {
    let is_bootstrap_voter = settings.bootstrap && settings.seeds.contains(&settings.address);
    let voters: BTreeSet<_> = settings.seeds.iter().take(MAX_MEMBERS).copied().collect();
    DiskIdentity {
        // Zero is reserved for members whose disk is unknown.
        id: MemberId(rng.next_u64().max(1)),
        bootstrap_voters: is_bootstrap_voter.then(|| voters.into_iter().collect()),
    }
}
