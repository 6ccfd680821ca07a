//! The handlers of the calls between processes of the fleet.

use std::rc::Rc;

use mosshead_consensus::Input;
use mosshead_registry::{SourceId, VersionVector};
use mosshead_rpc::Handlers;

use super::node::ControlNode;
use crate::calls::{
    CompareHeartbeats, ConsensusMessage, FetchConfig, ReplicateAck, ReplicateEntries, WatchUpdates,
};

/// The handlers of a control node.
pub(crate) fn handlers(control_node: &Rc<ControlNode>) -> Handlers {
    let [watched, fetched, replicated, compared, stepped] = std::array::from_fn(|_| control_node.clone());
    Handlers::new()
        .with_handler::<WatchUpdates>(async move |call, _| Ok(watched.clone().watch_updates(call).await))
        .with_handler::<FetchConfig>(async move |call, _| Ok(fetched.fetch_config(call.0)))
        .with_handler::<ReplicateEntries>(async move |call, _| {
            let changed = replicated.merge_entries(call.delta);
            Ok(ReplicateAck { changed, vector: replicated.registry.vector() })
        })
        .with_handler::<CompareHeartbeats>(async move |call, _| {
            compared.registry.record_remote_heartbeats(SourceId(call.source), &call.sequences);
            Ok(ReplicateAck { changed: false, vector: VersionVector::default() })
        })
        .with_handler::<ConsensusMessage>(async move |call, _| {
            stepped.step(Input::Message { from: call.from, message: call.message });
            Ok(())
        })
}
