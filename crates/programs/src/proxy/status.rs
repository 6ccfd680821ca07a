//! The status of a proxy as JSON.

use mosshead_data_plane::{DataPlane, Frontend};
use mosshead_registry::Registry;
use tinyjson::JsonValue;

use super::sink::DataPlaneSink;
use crate::gossip::Gossip;
use crate::update_watcher::UpdateWatcher;

/// The value of `core_heard_s` before a control node has responded.
const NO_CONTACT_SECONDS: f64 = -1.0;

/// The status as a JSON object; docs/operators/fleet.md documents the fields.
pub(super) fn status(
    data_plane: &DataPlane,
    registry: &Registry,
    watcher: &UpdateWatcher<DataPlaneSink>,
    gossip: &Gossip,
    frontend: &Frontend,
) -> String {
    let config = data_plane.config();
    let since_contact =
        watcher.last_contact().map_or(NO_CONTACT_SECONDS, |contact| contact.elapsed().as_secs_f64());
    let counters = &data_plane.counters;
    let memory = data_plane.memory().used_by_kind();
    format!(
        concat!(
            "{{\"ready\":{},\"revision\":{},\"routes\":{},\"servers\":{},\"core_heard_s\":{:.3},\"cores\":{},",
            "\"proxies\":{},\"connections\":{},\"open\":{},\"requests\":{},\"served\":{},\"refused\":{},",
            "\"failed\":{},\"resumed\":{},\"handed_over\":{},\"freed\":{},\"body_bytes\":{},",
            "\"request_bytes\":{},\"response_bytes\":{},\"event_bytes\":{},\"stalled_bytes\":{},\"body_bytes_limit\":{},",
            "\"learned\":{}}}"
        ),
        data_plane.is_ready(),
        config.as_ref().map_or(0, |config| config.revision()),
        config.as_ref().map_or(0, |config| config.routes().len()),
        registry.len(),
        since_contact,
        watcher.control_node_count(),
        gossip.live_proxy_count(),
        frontend.open_connections(),
        data_plane.in_flight_requests(),
        counters.requests.get(),
        counters.completed.get(),
        counters.rejected.get(),
        counters.failed.get(),
        counters.resumed.get(),
        counters.handed_over.get(),
        counters.freed_handles.get(),
        memory.total(),
        memory.requests,
        memory.responses,
        memory.events,
        memory.stalled,
        data_plane.memory().limit(),
        learned(data_plane),
    )
}

/// The learned latencies of each service, as a JSON object.
fn learned(data_plane: &DataPlane) -> String {
    let services: Vec<String> = data_plane
        .learned_latencies()
        .into_iter()
        .filter_map(|(service, learned)| Some((JsonValue::String(service).stringify().ok()?, learned)))
        .map(|(service, learned)| {
            format!(
                concat!(
                    "{}:{{\"prefill_ms\":{:.1},\"prefill_ms_per_token\":{:.5},\"handover_ms\":{:.1},",
                    "\"local_ms\":{:.1},\"local_ms_per_token\":{:.5}}}"
                ),
                service,
                learned.prefill_fixed_millis,
                learned.prefill_millis_per_token,
                learned.handover_millis,
                learned.local_fixed_millis,
                learned.local_millis_per_token,
            )
        })
        .collect();
    format!("{{{}}}", services.join(","))
}
