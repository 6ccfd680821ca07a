//! What membership costs: a calm fleet, one that forms, and one under faults.

use mosshead_time::Duration;

use crate::counter::{Counter, mean_micros};
use crate::machines::ZONES;
use crate::membership_fleet::MembershipFleet;
use crate::memory;
use crate::table::Table;

/// The number of control nodes of a large fleet.
const CONTROL_NODES: usize = 33;
/// Datagrams without updates are shorter than this on average.
const CALM_DATAGRAM_LEN: u64 = 130;
/// Larger fleets take too long to simulate until they are calm.
const MAX_CALM_FLEET: usize = 1_000;
/// All members have started after this.
const START_PERIOD: Duration = Duration::from_secs(3);
/// How long the gossip after the start is measured, and over what time datagrams are counted to find out whether it is over.
const GOSSIP_SPAN: Duration = Duration::from_secs(5);
/// How long a fleet is measured before a fault, and on after it has recovered.
const FAULT_SPAN: Duration = Duration::from_secs(10);
/// After this a fleet counts as never calm.
const MAX_CALMING_TIME: Duration = Duration::from_secs(600);
/// After this members count as never converged.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// The same after regions were disconnected, which takes longer.
const RECONNECTION_TIMEOUT: Duration = Duration::from_secs(300);
/// The interval at which the convergence of the members is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Measures fleets of these sizes, for `span` each once they are calm: when no member has updates to send. Those of more
/// than a thousand are measured only while they form.
pub fn measure_calm(sizes: &[usize], span: Duration) -> Table {
    let columns = [
        "msgs/s each",
        "bytes/s each",
        "core % each",
        "KB each",
        "us a list of cores",
        "s to form",
        "s of news",
        "bytes/s in news",
        "core % in news",
    ];
    let mut table = Table::new("Membership (membership), calm and while it forms", "members", &columns);
    for &size in sizes {
        table.add_row(size, measure_calm_size(size, span));
    }
    table.add_note("bytes with 28 of IPv4 and UDP each; sent ones: as many are received");
    table.add_note(
        "in news: the first 5 s after all know of all; s of news: from then until datagrams are short",
    );
    table.add_note("a list of cores: what crates/programs/src/core.rs walks for each answer to a pull");
    table
}

fn measure_calm_size(size: usize, span: Duration) -> Vec<f64> {
    let before = memory::resident_bytes();
    let mut fleet = MembershipFleet::new(size, CONTROL_NODES.min(size / 10), size as u64);
    fleet.run(START_PERIOD);
    let forming_seconds = fleet
        .run_until_converged(CONVERGENCE_TIMEOUT)
        .map_or(f64::NAN, |duration| seconds(duration) + seconds(START_PERIOD));
    fleet.counter = Counter::default();
    fleet.run(GOSSIP_SPAN);
    let gossip = fleet.counter.rates(GOSSIP_SPAN, size);
    let kilobytes = memory::growth_per_process(before, memory::resident_bytes(), size) / 1024.0;
    let listing_micros = control_node_listing_micros(&fleet);
    let calming_time = if size <= MAX_CALM_FLEET { run_until_calm(&mut fleet) } else { None };
    let (calm, gossip_seconds) = match calming_time {
        Some(calming_time) => {
            fleet.counter = Counter::default();
            fleet.run(span);
            let rates = fleet.counter.rates(span, size);
            let calm = [rates.messages, rates.bytes, rates.processor_share * 100.0];
            (calm, seconds(calming_time) + seconds(GOSSIP_SPAN))
        }
        None => ([f64::NAN; 3], f64::NAN),
    };
    memory::leak(fleet);
    let others = [kilobytes, listing_micros, forming_seconds, gossip_seconds];
    [&calm[..], &others, &[gossip.bytes, gossip.processor_share * 100.0]].concat()
}

/// Runs until the gossip about members that have started is over: until datagrams are short, for ten minutes at most. How
/// long that took.
fn run_until_calm(fleet: &mut MembershipFleet) -> Option<Duration> {
    let start = fleet.now();
    while fleet.now() - start < MAX_CALMING_TIME {
        let before = fleet.counter;
        fleet.run(GOSSIP_SPAN);
        let messages = fleet.counter.messages.saturating_sub(before.messages);
        if fleet.counter.bytes.saturating_sub(before.bytes) < CALM_DATAGRAM_LEN * messages {
            return Some(fleet.now() - start);
        }
    }
    None
}

/// Microseconds that one member takes to list the live control nodes.
fn control_node_listing_micros(fleet: &MembershipFleet) -> f64 {
    let Some(membership) = fleet.memberships().next() else { return 0.0 };
    mean_micros(200, || {
        let control_nodes =
            membership.members().filter(|(peer, state)| peer.is_control_node && state.is_live());
        control_nodes.map(|(peer, _)| peer.address).collect::<Vec<_>>()
    })
}

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// This many members end abruptly.
    MembersEnd(usize),
    /// One member ends abruptly and starts again after a second.
    MemberRestarts,
    /// No datagram passes between regions for this long.
    RegionsDisconnected(Duration),
}

/// What a fault costs, from its start to ten seconds after its effects are over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultCost {
    /// Seconds until all members have converged again.
    pub recovery_seconds: f64,
    /// Messages of each member above those of a calm fleet.
    pub messages: f64,
    /// Bytes of each member above those of a calm fleet.
    pub bytes: f64,
}

impl FaultCost {
    const NOT_MEASURED: FaultCost =
        FaultCost { recovery_seconds: f64::NAN, messages: f64::NAN, bytes: f64::NAN };
}

/// Injects a fault into a calm fleet; none if the fleet does not become calm, or does not recover in time. Members that
/// have ended are started again afterwards.
pub fn measure_fault(fleet: &mut MembershipFleet, fault: Fault) -> Option<FaultCost> {
    let size = fleet.size();
    fleet.run_until_converged(CONVERGENCE_TIMEOUT)?;
    run_until_calm(fleet)?;
    fleet.counter = Counter::default();
    fleet.run(FAULT_SPAN);
    let calm = std::mem::take(&mut fleet.counter);
    let start = fleet.now();
    let recovery_time = recover_from(fleet, fault)?;
    fleet.run(FAULT_SPAN);
    let spans = (fleet.now() - start).as_millis() as f64 / FAULT_SPAN.as_millis() as f64;
    let above_calm = |total: u64, calm: u64| (total as f64 - calm as f64 * spans) / size as f64;
    let messages = above_calm(fleet.counter.messages, calm.messages);
    let bytes = above_calm(fleet.counter.bytes, calm.bytes);
    fleet.start_ended();
    Some(FaultCost { recovery_seconds: seconds(recovery_time), messages, bytes })
}

/// Injects a fault and runs until the fleet has converged; how long that took from the end of the fault.
fn recover_from(fleet: &mut MembershipFleet, fault: Fault) -> Option<Duration> {
    let size = fleet.size();
    match fault {
        Fault::MembersEnd(count) => {
            (size.saturating_sub(count)..size).for_each(|machine| fleet.kill(machine));
            fleet.run(POLL_INTERVAL);
            Some(fleet.run_until_converged(CONVERGENCE_TIMEOUT)? + POLL_INTERVAL)
        }
        Fault::MemberRestarts => {
            let machine = size - 1;
            fleet.kill(machine);
            fleet.run(Duration::from_secs(1));
            fleet.start(machine);
            let start = fleet.now();
            while !(fleet.is_instance_known(machine) && fleet.is_converged()) {
                if fleet.now() - start > CONVERGENCE_TIMEOUT {
                    return None;
                }
                fleet.run(POLL_INTERVAL);
            }
            Some(fleet.now() - start)
        }
        Fault::RegionsDisconnected(duration) => {
            fleet.disconnect_regions();
            fleet.run(duration);
            fleet.connect_regions();
            fleet.run(POLL_INTERVAL);
            Some(fleet.run_until_converged(RECONNECTION_TIMEOUT)? + POLL_INTERVAL)
        }
    }
}

/// Measures faults in fleets of these sizes; regions are disconnected for so long.
pub fn measure_faults(sizes: &[usize], disconnection: Duration) -> Table {
    let columns = [
        "s one lost",
        "msgs each",
        "bytes each",
        "s restart",
        "msgs each",
        "bytes each",
        "s rack of 20",
        "bytes each",
        "s zone lost",
        "bytes each",
        "s joined",
        "bytes each",
    ];
    let mut table = Table::new("Membership under faults", "members", &columns);
    for &size in sizes {
        table.add_row(size, measure_faults_of_size(size, disconnection));
    }
    let seconds = disconnection.as_secs();
    table.add_note(format!("regions apart for {seconds} s; s joined: from then until all agree on all"));
    table.add_note("messages and bytes: above calm, from the fault to 10 s after all agree");
    table
}

fn measure_faults_of_size(size: usize, disconnection: Duration) -> Vec<f64> {
    let mut fleet = MembershipFleet::new(size, CONTROL_NODES.min(size / 10), size as u64 + 1);
    fleet.run(START_PERIOD);
    let mut measure = |fault| measure_fault(&mut fleet, fault).unwrap_or(FaultCost::NOT_MEASURED);
    let one = measure(Fault::MembersEnd(1));
    let restart = measure(Fault::MemberRestarts);
    let rack = measure(Fault::MembersEnd(20.min(size / 3)));
    let zone = measure(Fault::MembersEnd(size.div_ceil(ZONES)));
    let regions = measure(Fault::RegionsDisconnected(disconnection));
    vec![
        one.recovery_seconds,
        one.messages,
        one.bytes,
        restart.recovery_seconds,
        restart.messages,
        restart.bytes,
        rack.recovery_seconds,
        rack.bytes,
        zone.recovery_seconds,
        zone.bytes,
        regions.recovery_seconds,
        regions.bytes,
    ]
}

/// Seconds, with a precision of a millisecond.
fn seconds(duration: Duration) -> f64 {
    duration.as_millis() as f64 / 1000.0
}
