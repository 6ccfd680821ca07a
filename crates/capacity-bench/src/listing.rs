//! What a proxy's endpoint table costs: the whole registry is copied into it once a second and at each change.

use std::time::Duration;

use mosshead_programs::control_api;
use mosshead_registry::{Registry, SourceId};
use mosshead_routing::{RetryBudgetLimits, Router, RoutingWeights};
use mosshead_time::Instant;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::counter::Counter;
use crate::memory;
use crate::registry_fleet::{HEARTBEAT_INTERVAL, heartbeat_body};
use crate::table::Table;

/// Measures registries with these numbers of servers, each copied `repetitions` times after a first time.
pub fn measure(sizes: &[usize], repetitions: u64) -> Table {
    let columns = ["us the first", "us again", "core % once a second", "KB of board"];
    let mut table = Table::new("A proxy's list (router)", "servers", &columns);
    for &size in sizes {
        let registry = registry_of(size);
        let mut router = Router::new(weights(), "region-1-zone-1", Pcg64Mcg::seed_from_u64(1));
        let (mut first, mut repeated) = (Counter::default(), Counter::default());
        let before = memory::resident_bytes();
        first.time(|| router.update_servers(registry.servers()));
        let kilobytes = memory::growth_per_process(before, memory::resident_bytes(), 1) / 1024.0;
        (0..repetitions).for_each(|_| repeated.time(|| router.update_servers(registry.servers())));
        let micros = repeated.processor_time.as_secs_f64() * 1e6 / repetitions.max(1) as f64;
        let first_micros = first.processor_time.as_secs_f64() * 1e6;
        table.add_row(size, vec![first_micros, micros, micros * 1e-4, kilobytes]);
        memory::leak((registry, router));
    }
    table.add_note(
        "crates/programs/src/proxy.rs does this every second and with each answer that brings entries",
    );
    table
}

fn registry_of(servers: usize) -> Registry {
    let mut registry = Registry::new(SourceId(1), HEARTBEAT_INTERVAL);
    for server in 0..servers {
        let body = heartbeat_body(server, 1, "up");
        let heartbeat = control_api::parse_heartbeat(&format!("instance-{server:05}-0001"), body.as_bytes());
        heartbeat.map(|server| registry.record_heartbeat(Instant::from_millis(1), server).is_ok());
    }
    registry
}

fn weights() -> RoutingWeights {
    RoutingWeights::new(RetryBudgetLimits {
        retry_ratio: 0.2,
        extra_retries: 52.0,
        window: Duration::from_secs(10),
    })
}
