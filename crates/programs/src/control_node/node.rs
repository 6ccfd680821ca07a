//! The control node: its parts, and what one triggers in another.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{ClientReply, ControlState, Input, Output, Term};
use mosshead_control_plane::{ChangeProposal, PrimaryHint, QuorumContact};
use mosshead_registry::SourceId;
use mosshead_rpc::Caller;
use mosshead_stage_scheduler::{StageAssignment, StageScheduler};
use mosshead_time::Duration;
use tokio::time::{Instant, timeout};

use super::change_notifier::ChangeNotifier;
use super::client_requests::ClientRequests;
use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;
use super::consensus_sender::ConsensusSender;
use super::proxy_presence::ProxyPresence;
use super::registry_host::RegistryHost;
use crate::clock::Clock;
use crate::gossip::Gossip;
use crate::settings::Settings;

/// A change or a read without a reply within this time is answered as unavailable.
const CLIENT_REQUEST_TIMEOUT: Duration = Duration::from_millis(3000);

/// A control node. Each part owns its state; none is borrowed across an `await`.
pub(crate) struct ControlNode {
    /// The settings of the process.
    pub(crate) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
    pub(super) clock: Clock,
    pub(super) caller: Caller,
    pub(super) gossip: Rc<Gossip>,
    pub(super) consensus: ConsensusHost,
    pub(super) registry: RegistryHost,
    pub(super) configs: ConfigStore,
    pub(super) proxies: ProxyPresence,
    pub(super) changes: ChangeNotifier,
    client_requests: ClientRequests,
    consensus_sender: Rc<ConsensusSender>,
}

impl ControlNode {
    /// A control node whose logs are not open yet. `incarnation` is that of the process.
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        clock: Clock,
        gossip: Rc<Gossip>,
    ) -> Rc<ControlNode> {
        let caller = Caller::new();
        Rc::new(ControlNode {
            incarnation,
            started_at: Instant::now(),
            clock,
            gossip,
            consensus: ConsensusHost::new(clock),
            registry: RegistryHost::new(clock, SourceId(incarnation), settings.heartbeat_interval),
            configs: ConfigStore::default(),
            proxies: ProxyPresence::default(),
            changes: ChangeNotifier::default(),
            client_requests: ClientRequests::default(),
            consensus_sender: ConsensusSender::new(caller.clone()),
            caller,
            settings,
        })
    }

    /// The newest committed configuration that is known here.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.configs.current()
    }

    /// The newest committed state that is known here.
    pub(crate) fn committed_state(&self) -> Option<ControlState> {
        self.consensus.committed_state()
    }

    /// Whether a quorum of the members was recently in contact with this node. Without that, what it knows may be outdated.
    pub(crate) fn quorum_contact(&self) -> QuorumContact {
        self.consensus.quorum_contact()
    }

    /// The primary, as far as this node knows.
    pub(crate) fn known_primary(&self) -> PrimaryHint {
        match self.consensus.primary() {
            // Also while a primary takes over from itself: its consensus node queues the requests meanwhile.
            Some(address) if address == self.settings.internal_address() => PrimaryHint::Local,
            Some(address) => PrimaryHint::Remote(address),
            None => PrimaryHint::Unknown,
        }
    }

    /// The term under which this node is the primary; `None` if it is not, or its lease does not hold.
    pub(crate) fn primary_term(&self) -> Option<Term> {
        self.consensus.term().filter(|_| self.consensus.is_primary())
    }

    /// Submits a change of the configuration to the consensus group.
    pub(crate) async fn submit_change(self: &Rc<Self>, change: ChangeProposal) -> ClientReply {
        let ChangeProposal { base_revision, revision, body, digest } = change;
        self.request(|request_id| Input::Change { request_id, base_revision, revision, body, digest }).await
    }

    /// Reads the newest committed state, once a quorum has confirmed that it is.
    pub(crate) async fn read_confirmed(self: &Rc<Self>) -> ClientReply {
        self.request(|request_id| Input::Read { request_id }).await
    }

    async fn request(self: &Rc<Self>, input: impl FnOnce(u64) -> Input) -> ClientReply {
        let (id, reply) = self.client_requests.begin();
        self.step(input(id));
        let reply = timeout(CLIENT_REQUEST_TIMEOUT, reply).await;
        self.client_requests.abandon(id);
        reply.ok().and_then(Result::ok).unwrap_or(ClientReply::Unavailable)
    }

    /// Lets time pass for the consensus node.
    pub(crate) fn tick(self: &Rc<Self>) {
        self.step(Input::Tick);
    }

    /// Writes what is new in the registry to disk.
    pub(crate) fn persist_registry(&self) {
        self.registry.persist();
    }

    /// The settings name other seeds.
    pub(crate) fn set_seeds(self: &Rc<Self>, seeds: Vec<SocketAddrV4>) {
        self.step(Input::Seeds(seeds));
    }

    /// The process is about to shut down: the node asks for its removal from the consensus group, and serves until then.
    pub(crate) fn begin_shutdown(self: &Rc<Self>) {
        self.step(Input::ShutDown);
    }

    /// Whether the other members can do without this process.
    pub(crate) fn may_shut_down(&self) -> bool {
        self.consensus.may_shut_down()
    }

    /// The stage assignments that are due.
    pub(crate) fn due_assignments(&self, scheduler: &mut StageScheduler) -> Vec<StageAssignment> {
        self.registry.due_assignments(scheduler)
    }

    /// The address of a model server.
    pub(crate) fn address_of(&self, id: &str) -> Option<SocketAddrV4> {
        self.registry.address_of(id)
    }

    /// Steps the consensus node, and carries out its outputs.
    pub(super) fn step(self: &Rc<Self>, input: Input) {
        let request_id = match input {
            Input::Change { request_id, .. } | Input::Read { request_id } => Some(request_id),
            _ => None,
        };
        let Some(outputs) = self.consensus.step(input) else {
            // The log is not open yet, so that no reply would come.
            if let Some(request_id) = request_id {
                self.client_requests.reply(request_id, ClientReply::Unavailable);
            }
            return;
        };
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => {
                if let Some(from) = self.consensus.local_member() {
                    self.consensus_sender.send(from, to, message);
                }
            }
            Output::Write { token, record } => {
                let is_queued = self.consensus.append(token, record);
                self.on_write_queued(token, is_queued);
            }
            Output::Rewrite { token, record } => {
                let is_queued = self.consensus.rewrite(token, record);
                self.on_write_queued(token, is_queued);
            }
            Output::Reply { request_id, reply } => self.client_requests.reply(request_id, reply),
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

    /// A write that could not be queued fails after the outputs that are carried out now.
    fn on_write_queued(self: &Rc<Self>, token: u64, is_queued: bool) {
        if is_queued {
            return;
        }
        let control_node = self.clone();
        tokio::task::spawn_local(async move { control_node.step(Input::WriteFailed { token }) });
    }

    fn on_committed(&self, state: &ControlState) {
        match self.configs.commit(state) {
            Ok(Some(config)) => {
                spdlog::info!("config: committed revision={}", config.revision);
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
}
