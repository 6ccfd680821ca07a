//! The control node: creates its components, and passes calls, HTTP requests and tasks on to them.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;

use bytes::Bytes;
use mosshead_consensus::{Founding, FoundingError, Input, Settings as NodeSettings, Timings};
use mosshead_control_plane::{ChangeResponse, OperatorChange, ReadResponse};
use mosshead_registry::{Server, SourceId};
use mosshead_rpc::{Caller, Handlers};
use tinyjson::JsonValue;
use tokio::task::JoinSet;

use super::change_notifier::ChangeNotifier;
use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;
use super::consensus_sender::ConsensusSender;
use super::consensus_storage::run_consensus;
use super::directory::ControlNodeDirectory;
use super::fleet_service::{FleetService, FleetSources};
use super::handlers::handlers;
use super::operator_service::OperatorService;
use super::peer_exchange::PeerExchange;
use super::peer_followers::PeerFollowers;
use super::registration::Registration;
use super::registry_host::RegistryHost;
use super::registry_storage::run_registry_log;
use super::stage_role::StageRole;
use super::stage_targets::StageTargets;
use super::status::status;
use super::update_service::{UpdateService, UpdateSources};
use crate::clock::Clock;
use crate::gossip::Gossip;
use crate::settings::Settings;

/// A control node. Each component owns its state in cells, which are never borrowed across an `await`.
pub(crate) struct ControlNode {
    settings: Settings,
    gossip: Rc<Gossip>,
    consensus: Rc<ConsensusHost>,
    registry: Rc<RegistryHost>,
    configs: Rc<ConfigStore>,
    operator: OperatorService,
    registration: Rc<Registration>,
    updates: Rc<UpdateService>,
    peer_exchange: Rc<PeerExchange>,
    fleet: FleetService,
    stage_targets: Rc<StageTargets>,
}

impl ControlNode {
    /// Creates a control node whose logs are not open yet. `incarnation` is the incarnation of the process.
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        clock: Clock,
        gossip: Rc<Gossip>,
    ) -> Rc<ControlNode> {
        let (source, caller, address) = (SourceId(incarnation), Caller::new(), settings.internal_address());
        let (changes, configs) = (Rc::<ChangeNotifier>::default(), Rc::<ConfigStore>::default());
        let sender = ConsensusSender::new(caller.clone());
        let consensus = ConsensusHost::new(address, clock, sender, configs.clone(), changes.clone());
        let registry = RegistryHost::new(clock, source, settings.heartbeat_interval, changes.clone());
        let seeds = settings.internal_seed_addresses();
        let directory = ControlNodeDirectory::new(address, seeds, consensus.clone(), gossip.clone());
        let registration = Registration::new(
            registry.clone(),
            consensus.clone(),
            directory.clone(),
            caller.clone(),
            settings.node_failures,
        );
        let peer_exchange =
            PeerExchange::new(&settings.node_name, incarnation, registry.clone(), directory.clone(), caller);
        let sources = UpdateSources {
            registry: registry.clone(),
            configs: configs.clone(),
            consensus: consensus.clone(),
            directory,
            gossip: gossip.clone(),
            changes,
        };
        let updates = UpdateService::new(source, sources);
        let stage_targets = Rc::<StageTargets>::default();
        let fleet_sources = FleetSources {
            consensus: consensus.clone(),
            registry: registry.clone(),
            configs: configs.clone(),
            updates: updates.clone(),
            stage_targets: stage_targets.clone(),
        };
        let fleet = FleetService::new(&settings.node_name, address, fleet_sources);
        Rc::new(ControlNode {
            settings,
            gossip,
            operator: OperatorService::new(consensus.clone(), configs.clone()),
            updates,
            fleet,
            stage_targets,
            consensus,
            registry,
            configs,
            registration,
            peer_exchange,
        })
    }

    /// Starts the tasks for the logs, the peers and the stage role, which run until the process ends. `seed` seeds
    /// the random numbers of the consensus node.
    pub(crate) fn spawn_tasks(&self, tasks: &mut JoinSet<()>, data_directory: PathBuf, seed: u64) {
        let (consensus, registry) = (&self.consensus, &self.registry);
        tasks.spawn_local(self.peer_exchange.clone().exchange_heartbeats());
        tasks.spawn_local(self.stage_role().run());
        tasks.spawn_local(run_registry_log(registry.clone(), data_directory.clone()));
        let settings = consensus_settings(&self.settings);
        tasks.spawn_local(run_consensus(consensus.clone(), settings, data_directory, seed));
    }

    fn stage_role(&self) -> StageRole {
        let Settings { node_name, .. } = &self.settings;
        let lease = self.settings.lease();
        let targets = self.stage_targets.clone();
        StageRole::new(self.consensus.clone(), self.registry.clone(), node_name, lease, targets)
    }

    /// Creates the set of tasks that watch the peers, which is empty at first.
    pub(crate) fn peer_followers(&self) -> PeerFollowers {
        PeerFollowers::new(self.peer_exchange.clone())
    }

    /// The handlers of the calls between processes of the fleet.
    pub(crate) fn handlers(&self) -> Handlers {
        handlers(self.consensus.clone(), self.registry.clone(), self.updates.clone())
    }

    /// Records a model server's heartbeat. Returns true if it may be acknowledged.
    pub(crate) async fn record_heartbeat(&self, server: Server) -> bool {
        self.registration.record_heartbeat(server).await
    }

    /// Records that a model server has shut down. Returns true if this may be acknowledged.
    pub(crate) async fn deregister(&self, id: &str) -> bool {
        self.registration.deregister(id).await
    }

    /// Processes a change of the configuration by the operator.
    pub(crate) async fn change_config(&self, request: OperatorChange<Bytes>) -> ChangeResponse {
        self.operator.change(request).await
    }

    /// Reads the configuration, after a quorum has confirmed it.
    pub(crate) async fn read_config(&self) -> ReadResponse {
        self.operator.read().await
    }

    /// Converts the internal address of the primary to its API address; `None` if this node is the primary or has no
    /// API. All control nodes must serve their API on the same port.
    pub(crate) fn api_address_of(&self, primary: SocketAddrV4) -> Option<SocketAddrV4> {
        let own_api = self.settings.control_plane?;
        let is_remote = primary != self.settings.internal_address();
        is_remote.then(|| SocketAddrV4::new(*primary.ip(), own_api.port()))
    }

    /// The status as a JSON object.
    pub(crate) fn status(&self) -> String {
        status(&self.consensus, &self.configs, &self.registry, &self.gossip)
    }

    /// The fleet as this node knows it, as a JSON object.
    pub(crate) fn fleet_status(&self) -> JsonValue {
        self.fleet.status()
    }

    /// A dry run of founding the fleet anew from this node's state.
    pub(crate) fn founding(&self) -> Result<Founding, FoundingError> {
        self.fleet.founding()
    }

    /// Founds the fleet anew at the operator's request.
    pub(crate) fn found_anew(&self) -> Result<Founding, FoundingError> {
        self.fleet.found_anew()
    }

    /// Advances the timers of the consensus node.
    pub(crate) fn tick(&self) {
        self.consensus.tick();
    }

    /// Queues new registry entries to be written to disk.
    pub(crate) fn persist_registry(&self) {
        self.registry.persist();
    }

    /// Passes the seeds of reloaded settings to the consensus node.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        self.consensus.step(Input::Seeds(seeds));
    }

    /// Requests the removal of this node from the consensus group before the process shuts down. The node continues
    /// to serve until it is removed.
    pub(crate) fn begin_shutdown(&self) {
        self.consensus.step(Input::ShutDown);
    }

    /// True if the other members no longer need this process.
    pub(crate) fn may_shut_down(&self) -> bool {
        self.consensus.may_shut_down()
    }
}

fn consensus_settings(settings: &Settings) -> NodeSettings {
    NodeSettings {
        timings: Timings::for_join_deadline(settings.sync_time()),
        ..NodeSettings::new(
            settings.internal_address(),
            settings.node_failures,
            settings.bootstrap,
            settings.internal_seed_addresses(),
        )
    }
}
