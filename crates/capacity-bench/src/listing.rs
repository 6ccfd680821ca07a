//! The part of a proxy's list: the register walked whole into the board, once a second and at each change.

use mosshead_time::Instant;
use std::time::Duration;

use mosshead_programs::control_api;
use mosshead_registry::{Registry, SourceId};
use mosshead_routing::{RetryBudgetLimits, Router, RoutingWeights};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::counter::Counter;
use crate::fleet::{KEEPALIVE, body};
use crate::memory;
use crate::table::Table;

/// Lists of these sizes, each walked `turns` times after a first time.
pub fn cost(sizes: &[usize], turns: u64) -> Table {
    let columns = ["us the first", "us again", "core % once a second", "KB of board"];
    let mut table = Table::new("A proxy's list (router)", "servers", &columns);
    for &size in sizes {
        let mut register = Registry::new(SourceId(1), Duration::from_millis(KEEPALIVE));
        for at in 0..size {
            let beat =
                control_api::parse_heartbeat(&format!("instance-{at:05}-0001"), body(at, 1, "up").as_bytes());
            beat.map(|server| register.record_heartbeat(Instant::from_millis(1), server).is_ok());
        }
        let weights = RoutingWeights::new(RetryBudgetLimits {
            retry_ratio: 0.2,
            extra_retries: 52.0,
            window: Duration::from_secs(10),
        });
        let mut router = Router::new(weights, "region-1-zone-1", Pcg64Mcg::seed_from_u64(1));
        let (mut first, mut again) = (Counter::default(), Counter::default());
        let before = memory::resident();
        first.time(|| router.update_servers(register.servers()));
        let kb = memory::each(before, memory::resident(), 1) / 1024.0;
        (0..turns).for_each(|_| again.time(|| router.update_servers(register.servers())));
        let micros = again.busy.as_secs_f64() * 1e6 / turns.max(1) as f64;
        table.row(size, vec![first.busy.as_secs_f64() * 1e6, micros, micros * 1e-4, kb]);
        std::mem::forget((register, router));
    }
    table.notes.push(
        "crates/programs/src/proxy.rs does this every second and with each answer that brings entries".into(),
    );
    table
}
