//! The time from a loss to full service, in virtual time: until a change is acknowledged again, and all live members have
//! quorum contact.
//!
//! By default, a few seeds run. `CONSENSUS_RECOVERY=1000` runs that many, and prints the table of
//! `docs/measurements/control-recovery.md`.

use mosshead_consensus::{ClientReply, Node};
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Noise, millis};

use crate::checker::RequestKind;
use crate::fault_actions::FaultAction;
use crate::simulation::{Event, Kill, Simulation};
use crate::support::{current_primary, ensure, links_of, passes, stable_fleet};

/// The default number of seeds for each loss.
const SEEDS: u64 = 60;
/// The highest accepted median of the times until full service.
const MAX_MEDIAN: Duration = millis(1_500);
/// A fleet that takes longer counts as not recovered.
const RECOVERY_TIMEOUT: Duration = millis(30_000);
/// How long a primary is cut off.
const CUT_DURATION: Duration = millis(20_000);

/// The loss that a fleet without other faults suffers.
#[derive(Clone, Copy, Debug)]
enum Loss {
    PrimaryKilled,
    /// What the primary sends is lost.
    PrimaryCutFrom,
    /// What is sent to the primary is lost.
    PrimaryCutTo,
    PrimaryCutBoth,
    /// A cut of 20 s ends. Measured until the old primary has quorum contact, too.
    CutPrimaryBack,
    PrimaryPaused,
    /// The primary's disk is lost; its machine starts again within 0.6 s.
    PrimaryWiped,
    /// The primary's machine is removed; another one starts at a new address within 2 s.
    PrimaryReplaced,
    /// All machines lose power at once and start again within 0.3 s.
    AllPower,
}

const LOSSES: [Loss; 9] = [
    Loss::PrimaryKilled,
    Loss::PrimaryCutFrom,
    Loss::PrimaryCutTo,
    Loss::PrimaryCutBoth,
    Loss::CutPrimaryBack,
    Loss::PrimaryPaused,
    Loss::PrimaryWiped,
    Loss::PrimaryReplaced,
    Loss::AllPower,
];

/// The times since the loss; zero until reached.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    /// Until a change was acknowledged.
    acknowledged: Duration,
    /// Until, in addition, all live members had quorum contact.
    full_service: Duration,
    /// Until, in addition, the configuration had its full number of live members.
    all_members: Duration,
}

/// Requests changes like an operator that always knows who is primary.
#[derive(Default)]
struct Prober {
    request_ids: Vec<u64>,
}

impl Prober {
    fn probe(&mut self, simulation: &mut Simulation, reachable: &[usize]) {
        for machine in reachable {
            let clock = simulation.clock(*machine);
            let has_lease = simulation.node(*machine).is_some_and(|node| node.holds_primary_lease(clock));
            let mut request_ids = self.request_ids.iter();
            let waits = request_ids.any(|id| simulation.checker.is_open_at(*id, *machine));
            if has_lease && !waits {
                let change = simulation.new_change(*machine);
                self.request_ids.push(simulation.send_request(*machine, RequestKind::Change(change)));
            }
        }
    }

    fn is_acknowledged(&self, simulation: &Simulation) -> bool {
        let is_committed =
            |id: &u64| matches!(simulation.checker.reply(*id), Some(ClientReply::ChangeCommitted { .. }));
        self.request_ids.iter().any(is_committed)
    }
}

/// The live members in the configuration of the highest term.
struct LiveMembers {
    /// The machines of the members that run and can be reached.
    machines: Vec<usize>,
    /// The number of members in the configuration.
    named: usize,
}

impl LiveMembers {
    fn of(simulation: &Simulation, reachable: &[usize]) -> LiveMembers {
        let configs =
            reachable.iter().filter_map(|machine| simulation.node(*machine).and_then(Node::epoch_config));
        let Some(config) = configs.max_by_key(|config| config.term) else {
            return LiveMembers { machines: Vec::new(), named: 0 };
        };
        let is_member = |machine: &usize| {
            simulation.node(*machine).is_some_and(|node| config.members.contains(&node.local_member()))
        };
        let machines = reachable.iter().copied().filter(is_member).collect();
        LiveMembers { machines, named: config.members.len() }
    }

    /// Returns true if the live members are a majority, and all of them have quorum contact.
    fn have_quorum_contact(&self, simulation: &Simulation) -> bool {
        2 * self.machines.len() > self.named
            && self.machines.iter().all(|machine| simulation.has_quorum_contact(*machine))
    }
}

/// Waits for full service among the machines that can be reached.
fn run_until_full_service(
    simulation: &mut Simulation,
    out_of_reach: &[usize],
    since: Instant,
) -> Result<Times, String> {
    let (mut times, mut prober) = (Times::default(), Prober::default());
    let wanted = 2 * simulation.tolerated_failures + 1;
    let max_missing = if out_of_reach.is_empty() { 0 } else { 1 };
    while simulation.now() < since + RECOVERY_TIMEOUT {
        simulation.run(millis(5))?;
        let running = simulation.running();
        let reachable: Vec<usize> =
            running.into_iter().filter(|machine| !out_of_reach.contains(machine)).collect();
        let took = simulation.now() - since;
        if times.acknowledged.is_zero() {
            prober.probe(simulation, &reachable);
            if prober.is_acknowledged(simulation) {
                times.acknowledged = took;
            }
        }
        let live = LiveMembers::of(simulation, &reachable);
        if times.full_service.is_zero()
            && !times.acknowledged.is_zero()
            && live.have_quorum_contact(simulation)
        {
            times.full_service = took;
        }
        if !times.full_service.is_zero() && live.machines.len() + max_missing >= wanted {
            times.all_members = took;
            return Ok(times);
        }
    }
    Err(format!("at {}: no full service: {times:?}", simulation.now()))
}

fn run_loss(seed: u64, loss: Loss) -> Result<Times, String> {
    let (machines, failures) = if seed.is_multiple_of(2) { (3, 1) } else { (5, 2) };
    let mut simulation = stable_fleet(seed, machines, failures, None)?;
    simulation.noise = Noise::per_mille(5);
    let phase = simulation.random_duration_below(millis(1_000));
    simulation.run(phase)?;
    let primary = current_primary(&simulation)?;
    let mut since = simulation.now();
    let mut out_of_reach = vec![primary];
    let links = links_of(&simulation, primary).into_iter().filter(|(from, to)| from != to);
    match loss {
        Loss::PrimaryKilled => simulation.kill(primary, Kill::PowerLoss),
        Loss::PrimaryPaused => simulation.apply(FaultAction::Pause(vec![primary])),
        Loss::PrimaryCutFrom => {
            let links = links.filter(|(from, _)| *from == primary).collect();
            simulation.apply(FaultAction::BufferLinks(links));
        }
        Loss::PrimaryCutTo => {
            let links = links.filter(|(_, to)| *to == primary).collect();
            simulation.apply(FaultAction::BufferLinks(links));
        }
        Loss::PrimaryCutBoth => simulation.apply(FaultAction::BufferLinks(links.collect())),
        Loss::CutPrimaryBack => {
            simulation.apply(FaultAction::BufferLinks(links.collect()));
            simulation.run(CUT_DURATION)?;
            since = simulation.now();
            simulation.heal();
            out_of_reach.clear();
        }
        Loss::PrimaryWiped => {
            simulation.apply(FaultAction::Wipe(vec![primary]));
            start_within(&mut simulation, primary, millis(600));
            out_of_reach.clear();
        }
        Loss::PrimaryReplaced => {
            simulation.apply(FaultAction::Replace(vec![primary]));
            out_of_reach.clear();
        }
        Loss::AllPower => {
            simulation.apply(FaultAction::LosePower(simulation.remaining()));
            for machine in simulation.remaining() {
                start_within(&mut simulation, machine, millis(300));
            }
            out_of_reach.clear();
        }
    }
    run_until_full_service(&mut simulation, &out_of_reach, since)
}

fn start_within(simulation: &mut Simulation, machine: usize, bound: Duration) {
    let pause = simulation.random_duration_below(bound);
    simulation.after(pause, Event::Fault(FaultAction::Start(machine)));
}

/// The value at a percentile, in percent.
fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

/// The sorted times of a loss over the seeds.
#[derive(Default)]
struct SortedTimes {
    acknowledged: Vec<Duration>,
    full_service: Vec<Duration>,
    all_members: Vec<Duration>,
}

fn measure(loss: Loss, seeds: u64) -> SortedTimes {
    let mut sorted = SortedTimes::default();
    for seed in 0..seeds {
        let times = passes(&format!("{loss:?}, seed {seed}"), || run_loss(seed, loss));
        sorted.acknowledged.push(times.acknowledged);
        sorted.full_service.push(times.full_service);
        sorted.all_members.push(times.all_members);
    }
    sorted.acknowledged.sort_unstable();
    sorted.full_service.sort_unstable();
    sorted.all_members.sort_unstable();
    sorted
}

#[test]
fn the_median_recovery_to_full_service_takes_at_most_1500_ms() {
    let wanted = std::env::var("CONSENSUS_RECOVERY").ok().and_then(|count| count.parse().ok());
    let seeds: u64 = wanted.unwrap_or(SEEDS);
    println!(
        "| loss | acknowledged: median | 99 in 100 | full service: median | 99 in 100 | worst | all members: median | 99 in 100 |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut slow = Vec::new();
    for loss in LOSSES {
        let SortedTimes { acknowledged, full_service, all_members } = measure(loss, seeds);
        println!(
            "| {loss:?} | {} | {} | {} | {} | {} | {} | {} |",
            percentile(&acknowledged, 50).as_millis(),
            percentile(&acknowledged, 99).as_millis(),
            percentile(&full_service, 50).as_millis(),
            percentile(&full_service, 99).as_millis(),
            percentile(&full_service, 100).as_millis(),
            percentile(&all_members, 50).as_millis(),
            percentile(&all_members, 99).as_millis(),
        );
        if let Err(violation) = ensure(percentile(&full_service, 50) <= MAX_MEDIAN, &format!("{loss:?}")) {
            slow.push(violation);
        }
    }
    assert!(slow.is_empty(), "slower than {MAX_MEDIAN:?}: {slow:?}");
}
