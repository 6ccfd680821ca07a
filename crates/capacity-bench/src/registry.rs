//! What the registry of servers costs: a proxy, a control node, and one server that ends and comes back.

use mosshead_time::Duration;

use crate::counter::{Counter, Rates};
use crate::memory;
use crate::registry_fleet::{FleetSize, RegistryFleet};
use crate::table::Table;

/// After this time from the start of a fleet, the calls of its start are over.
const WARM_UP: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
const MEBIBYTE: f64 = 1_048_576.0;

/// What was counted in a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    /// Each proxy on average.
    pub proxy: Rates,
    /// The control node that uses the most processor time.
    pub busiest_control_node: Rates,
    /// Each control node on average.
    pub control_node: Rates,
}

/// Which part of a fleet's size differs from row to row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VariedPart {
    /// The control nodes.
    ControlNodes,
    /// The servers.
    Servers,
    /// The proxies.
    Proxies,
}

impl VariedPart {
    /// As the tables call it.
    fn name(self) -> &'static str {
        match self {
            VariedPart::ControlNodes => "sources",
            VariedPart::Servers => "servers",
            VariedPart::Proxies => "pullers",
        }
    }

    fn of(self, size: &FleetSize) -> usize {
        match self {
            VariedPart::ControlNodes => size.control_nodes,
            VariedPart::Servers => size.servers,
            VariedPart::Proxies => size.proxies,
        }
    }
}

/// Counts for the whole seconds of a span, in each of which `ending_servers` servers end and are replaced later.
pub fn measure_rates(fleet: &mut RegistryFleet, span: Duration, ending_servers: u64) -> Measurement {
    fleet.reset_counters();
    for _ in 0..span.as_secs() {
        (0..ending_servers).for_each(|_| fleet.end_and_replace_server());
        fleet.run(SECOND);
    }
    let span = Duration::from_secs(span.as_secs());
    let sum_of = |counters: &mut dyn Iterator<Item = &Counter>| {
        counters.fold(Counter::default(), |mut sum, counter| {
            sum.add(counter);
            sum
        })
    };
    let proxies = fleet.proxies();
    let with_registry = || proxies.iter().filter(|proxy| proxy.has_registry());
    let all_proxies = sum_of(&mut proxies.iter().map(|proxy| &proxy.counter));
    let timed_proxies = sum_of(&mut with_registry().map(|proxy| &proxy.counter));
    let control_nodes = fleet.control_nodes();
    let all_control_nodes = sum_of(&mut control_nodes.iter().map(|node| &node.counter));
    let busiest = control_nodes.iter().map(|node| node.counter).max_by_key(|counter| counter.processor_time);
    let processor_share = timed_proxies.rates(span, with_registry().count()).processor_share;
    Measurement {
        proxy: Rates { processor_share, ..all_proxies.rates(span, proxies.len()) },
        busiest_control_node: busiest.unwrap_or_default().rates(span, 1),
        control_node: all_control_nodes.rates(span, control_nodes.len()),
    }
}

/// Measures fleets of these sizes: three tables, of proxies, of control nodes, and of one change.
pub fn measure(varied_part: VariedPart, sizes: &[FleetSize], span: Duration) -> Vec<Table> {
    let name = varied_part.name();
    let title = |subject: &str| format!("Register of servers (registry) by {name}: {subject}");
    let columns = ["msgs/s", "bytes/s", "core %", "MB each", "KB a list", "ms a list"];
    let mut proxies = Table::new(title("a proxy, calm"), name, &columns);
    let columns =
        ["msgs/s max", "KB/s max", "core % max", "msgs/s mean", "KB/s mean", "core % mean", "MB each"];
    let mut control_nodes = Table::new(title("a core process, calm"), name, &columns);
    let columns =
        ["msgs a proxy", "bytes a proxy", "us a proxy", "msgs a core", "KB a core", "us a core max"];
    let mut changes = Table::new(title("one server that ends and is back"), name, &columns);
    for size in sizes {
        let mut fleet = RegistryFleet::new(*size);
        fleet.run(WARM_UP);
        let calm = measure_rates(&mut fleet, span, 0);
        let changing = measure_rates(&mut fleet, span, 1);
        let row = varied_part.of(size);
        proxies.add_row(row, proxy_values(&fleet, size, &calm));
        control_nodes.add_row(row, control_node_values(&fleet, &calm));
        changes.add_row(row, change_values(&calm, &changing));
        memory::leak(fleet);
    }
    if let Some(size) = sizes.first() {
        proxies.add_note(format!(
            "first row: {} servers, {} sources, {} pullers, {} of them with a register",
            size.servers, size.control_nodes, size.proxies, size.proxies_with_registry
        ));
    }
    proxies.add_note("in and out, HTTP headers left out; all pulls go to the first three sources");
    control_nodes.add_note("in and out; without the walks over members and askers that go with each answer");
    changes.add_note("one end a second, less calm; 1 of 30 without a word, others drained");
    vec![proxies, control_nodes, changes]
}

fn proxy_values(fleet: &RegistryFleet, size: &FleetSize, calm: &Measurement) -> Vec<f64> {
    let initial_sync = fleet.initial_sync();
    vec![
        calm.proxy.messages,
        calm.proxy.bytes,
        calm.proxy.processor_share * 100.0,
        initial_sync.proxy_memory / MEBIBYTE,
        initial_sync.list_len as f64 / 1024.0,
        initial_sync.list_counter.processor_time.as_secs_f64() * 1e3
            / size.proxies_with_registry.max(1) as f64,
    ]
}

fn control_node_values(fleet: &RegistryFleet, calm: &Measurement) -> Vec<f64> {
    let (busiest, mean) = (calm.busiest_control_node, calm.control_node);
    vec![
        busiest.messages,
        busiest.bytes / 1024.0,
        busiest.processor_share * 100.0,
        mean.messages,
        mean.bytes / 1024.0,
        mean.processor_share * 100.0,
        fleet.initial_sync().control_node_memory / MEBIBYTE,
    ]
}

fn change_values(calm: &Measurement, changing: &Measurement) -> Vec<f64> {
    let busiest_shares =
        (changing.busiest_control_node.processor_share, calm.busiest_control_node.processor_share);
    vec![
        changing.proxy.messages - calm.proxy.messages,
        changing.proxy.bytes - calm.proxy.bytes,
        (changing.proxy.processor_share - calm.proxy.processor_share) * 1e6,
        changing.control_node.messages - calm.control_node.messages,
        (changing.control_node.bytes - calm.control_node.bytes) / 1024.0,
        (busiest_shares.0 - busiest_shares.1) * 1e6,
    ]
}
