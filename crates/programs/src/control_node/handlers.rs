//! The handlers of the RPC calls to a control node.

use std::rc::Rc;

use mosshead_consensus::Input;
use mosshead_registry::{SourceId, VersionVector};
use mosshead_rpc::Handlers;
use mosshead_time::Duration;
use tokio::time::Instant;

use super::consensus_host::ConsensusHost;
use super::registry_host::RegistryHost;
use super::update_service::UpdateService;
use crate::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, PersistAck, PersistEntries, ReplicateAck,
    ReplicateEntries, WatchUpdates,
};

/// The maximum wait for the disk, regardless of what the caller requests.
const MAX_PERSIST_WAIT: Duration = Duration::from_millis(1_000);

/// Creates the handlers, which pass each call to the component that processes it.
pub(super) fn handlers(
    consensus: Rc<ConsensusHost>,
    registry: Rc<RegistryHost>,
    updates: Rc<UpdateService>,
) -> Handlers {
    let (heartbeat_registry, persist_registry, config_updates) =
        (registry.clone(), registry.clone(), updates.clone());
    Handlers::new()
        .with_handler::<WatchUpdates>(async move |call, _| Ok(updates.clone().watch_updates(call).await))
        .with_handler::<FetchConfig>(async move |call, _| Ok(config_updates.fetch_config(call.0)))
        .with_handler::<ReplicateEntries>(async move |call, _| {
            let changed = registry.merge(call.delta);
            Ok(ReplicateAck { changed, vector: registry.vector() })
        })
        .with_handler::<PersistEntries>(async move |call, _| {
            persist_registry.merge(call.delta);
            let deadline = Instant::now() + call.wait.min(MAX_PERSIST_WAIT);
            let durable = persist_registry.persist_until(deadline).await;
            Ok(PersistAck { vector: persist_registry.vector(), durable })
        })
        .with_handler::<CompareHeartbeats>(async move |call, _| {
            heartbeat_registry.record_remote_heartbeats(SourceId(call.source), &call.heartbeats);
            Ok(ReplicateAck { changed: false, vector: VersionVector::default() })
        })
        .with_handler::<ConsensusMessage>(async move |call, _| {
            consensus.step(Input::Message { from: call.from, message: call.message });
            Ok(())
        })
}
