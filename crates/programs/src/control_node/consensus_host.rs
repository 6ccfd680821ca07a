//! Runs this node's member of the consensus group, and provides its clock, its log, its messages to other members, and
//! the replies to pending requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;

use mosshead_consensus::{
    ClientReply, ControlState, Founding, FoundingError, GroupHealth, Input, Member, Node, Output,
    Settings as NodeSettings, StoredStateError, Term,
};
use mosshead_control_plane::{ChangeProposal, PrimaryHint, QuorumContact};
use mosshead_record_log::LogWriter;
use mosshead_time::{Duration, Instant};
use rand_pcg::Pcg64Mcg;
use tokio::time::timeout;

use super::change_notifier::ChangeNotifier;
use super::config_store::ConfigStore;
use super::consensus_sender::ConsensusSender;
use super::pending_requests::{PendingConsensusRequests, PendingRequest};
use crate::clock::Clock;

/// A change or a read without a reply after this time is answered as unavailable.
const CLIENT_REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// The consensus node with its I/O. The node and its log are absent until the log is opened.
pub(super) struct ConsensusHost {
    local_address: SocketAddrV4,
    clock: Clock,
    node: RefCell<Option<Node<Pcg64Mcg>>>,
    log: RefCell<Option<LogWriter>>,
    requests: PendingConsensusRequests,
    /// When this node's contact with a quorum began, with the resolution of its ticks; `None` without contact.
    quorum_contact_since: Cell<Option<Instant>>,
    sender: Rc<ConsensusSender>,
    /// Receives the committed states.
    configs: Rc<ConfigStore>,
    /// Notified when this node becomes the primary or steps down, and when a newer configuration is committed.
    changes: Rc<ChangeNotifier>,
}

impl ConsensusHost {
    pub(super) fn new(
        local_address: SocketAddrV4,
        clock: Clock,
        sender: Rc<ConsensusSender>,
        configs: Rc<ConfigStore>,
        changes: Rc<ChangeNotifier>,
    ) -> Rc<ConsensusHost> {
        Rc::new(ConsensusHost {
            local_address,
            clock,
            node: RefCell::default(),
            log: RefCell::default(),
            requests: PendingConsensusRequests::default(),
            quorum_contact_since: Cell::default(),
            sender,
            configs,
            changes,
        })
    }

    /// Sets the log, once it is open for writes.
    pub(super) fn set_log(&self, log: LogWriter) {
        self.log.replace(Some(log));
    }

    /// Starts the node from the records of its log.
    pub(super) fn start_node(
        &self,
        settings: NodeSettings,
        records: &[Vec<u8>],
        random: Pcg64Mcg,
    ) -> Result<(), StoredStateError> {
        let node = Node::new(settings, records, self.clock.now(), random)?;
        self.node.replace(Some(node));
        Ok(())
    }

    /// Submits a change of the configuration to the consensus group.
    pub(super) async fn submit_change(self: &Rc<Self>, change: ChangeProposal) -> ClientReply {
        let ChangeProposal { base_revision, revision, body, digest } = change;
        self.request(|request_id| Input::Change { request_id, base_revision, revision, body, digest }).await
    }

    /// Reads the newest committed state, after a quorum has confirmed it.
    pub(super) async fn read_confirmed(self: &Rc<Self>) -> ClientReply {
        self.request(|request_id| Input::Read { request_id }).await
    }

    async fn request(self: &Rc<Self>, input: impl FnOnce(u64) -> Input) -> ClientReply {
        let PendingRequest { id, reply } = self.requests.begin();
        self.step(input(id));
        let reply = timeout(CLIENT_REQUEST_TIMEOUT, reply).await;
        self.requests.abandon(id);
        reply.ok().and_then(Result::ok).unwrap_or(ClientReply::Unavailable)
    }

    /// Steps the node and executes its outputs. Before the node is started, a change or a read is answered as
    /// unavailable, and any other input is dropped.
    pub(super) fn step(self: &Rc<Self>, input: Input) {
        let request_id = match input {
            Input::Change { request_id, .. } | Input::Read { request_id } => Some(request_id),
            _ => None,
        };
        let outputs = self.node.borrow_mut().as_mut().map(|node| node.step(self.clock.now(), input));
        if let Some(outputs) = outputs {
            outputs.into_iter().for_each(|output| self.execute(output));
        } else if let Some(request_id) = request_id {
            // The log is not open yet, so no reply would arrive.
            self.requests.reply(request_id, ClientReply::Unavailable);
        }
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(from) = self.local_member() {
                    self.sender.send(from, to, message);
                }
            }
            Output::Write { token, record } => {
                if !self.append(token, record) {
                    self.fail_write_later(token);
                }
            }
            Output::Rewrite { token, record } => {
                if !self.rewrite(token, record) {
                    self.fail_write_later(token);
                }
            }
            Output::Reply { request_id, reply } => self.requests.reply(request_id, reply),
            Output::StateCommitted { state } => self.on_committed(&state),
            Output::BecamePrimary { term, .. } => {
                spdlog::info!("consensus: became primary term={}", term.number);
                self.changes.notify();
            }
            Output::SteppedDown => {
                spdlog::info!("consensus: stepped down as primary");
                self.changes.notify();
            }
        }
    }

    /// Queues a record for the log. Returns false if it can't be queued.
    fn append(&self, token: u64, record: Vec<u8>) -> bool {
        self.log.borrow().as_ref().is_some_and(|log| log.append(token, record).is_ok())
    }

    /// Queues the replacement of the log by one record. Returns false if it can't be queued.
    fn rewrite(&self, token: u64, record: Vec<u8>) -> bool {
        self.log.borrow().as_ref().is_some_and(|log| log.rewrite(token, vec![record]).is_ok())
    }

    /// Reports to the node that a write could not be queued. A separate task does so, after the current outputs are
    /// executed.
    fn fail_write_later(self: &Rc<Self>, token: u64) {
        let host = self.clone();
        tokio::task::spawn_local(async move { host.step(Input::WriteFailed { token }) });
    }

    fn on_committed(&self, state: &ControlState) {
        match self.configs.commit(state) {
            Ok(Some(config)) => {
                spdlog::info!("config: committed revision={}", config.revision());
                self.changes.notify();
            }
            Ok(None) => {}
            Err(error) => {
                let revision = state.revision;
                spdlog::error!(
                    "config: committed configuration unreadable revision={revision} error={error}"
                );
            }
        }
    }

    /// The length of the log after its last write, in bytes; 0 while it is not open.
    pub(super) fn log_bytes(&self) -> u64 {
        self.log.borrow().as_ref().map_or(0, LogWriter::length)
    }

    fn local_member(&self) -> Option<Member> {
        self.node.borrow().as_ref().map(Node::local_member)
    }

    /// The addresses of the members; empty while none are known.
    pub(super) fn members(&self) -> Vec<SocketAddrV4> {
        let node = self.node.borrow();
        node.iter().flat_map(|node| node.members()).map(|member| member.address).collect()
    }

    /// True if this node is the primary and its lease is currently valid.
    pub(super) fn is_primary(&self) -> bool {
        self.node.borrow().as_ref().is_some_and(|node| node.holds_primary_lease(self.clock.now()))
    }

    /// The address of the primary, if this node knows it.
    pub(super) fn primary(&self) -> Option<SocketAddrV4> {
        let node = self.node.borrow();
        node.as_ref().and_then(|node| node.primary_at(self.clock.now())).map(|primary| primary.address)
    }

    /// The primary, which decides on changes, if this node knows it.
    pub(super) fn known_primary(&self) -> PrimaryHint {
        match self.primary() {
            // This includes a primary that is elected again: its consensus node queues the requests in the meantime.
            Some(address) if address == self.local_address => PrimaryHint::Local,
            Some(address) => PrimaryHint::Remote(address),
            None => PrimaryHint::Unknown,
        }
    }

    /// Tells whether this node recently had contact with a quorum of the members. Without contact, its data may be
    /// outdated.
    pub(super) fn quorum_contact(&self) -> QuorumContact {
        let node = self.node.borrow();
        QuorumContact::from_flag(node.as_ref().is_some_and(|node| node.has_quorum_contact(self.clock.now())))
    }

    /// Advances the node's timers, and tracks the quorum contact.
    pub(super) fn tick(self: &Rc<Self>) {
        self.step(Input::Tick);
        let since = self.quorum_contact_since.get().unwrap_or(self.clock.now());
        self.quorum_contact_since.set(self.quorum_contact().is_confirmed().then_some(since));
    }

    /// For how long this node has had contact with a quorum; `None` without contact.
    pub(super) fn quorum_contact_age(&self) -> Option<Duration> {
        self.quorum_contact_since.get().map(|since| self.clock.now() - since)
    }

    /// The health of the group, if this node is the primary.
    pub(super) fn group_health(&self) -> Option<GroupHealth> {
        self.node.borrow().as_ref().and_then(|node| node.group_health(self.clock.now()))
    }

    /// A dry run of founding the fleet anew from this node's state.
    pub(super) fn founding(&self) -> Result<Founding, FoundingError> {
        self.node.borrow().as_ref().map_or(Err(FoundingError::Unhealthy), Node::founding)
    }

    /// The newest term that this node knows.
    pub(super) fn term(&self) -> Option<Term> {
        self.node.borrow().as_ref().map(Node::term)
    }

    /// The term in which this node is the primary; `None` if it is not, or if its lease has expired.
    pub(super) fn primary_term(&self) -> Option<Term> {
        self.term().filter(|_| self.is_primary())
    }

    /// The newest committed state that this node knows.
    pub(super) fn committed_state(&self) -> Option<ControlState> {
        self.node.borrow().as_ref().and_then(|node| node.committed_state().cloned())
    }

    /// True if the other members no longer need this process.
    pub(super) fn may_shut_down(&self) -> bool {
        self.node.borrow().as_ref().is_none_or(Node::may_shut_down)
    }
}
