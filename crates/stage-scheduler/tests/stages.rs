//! The stage scheduler: how many servers run prefill, which servers are reassigned, and that the stages converge.

use mosshead_registry::{OperState, Server, Stage};
use mosshead_stage_scheduler::{AssignmentOutcome, ServerLoad, StagePolicy, StageScheduler, TakeoverDelay};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

fn server(index: usize, zone: usize, stage: Stage) -> Server {
    Server {
        id: format!("i-{index}"),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: format!("z{zone}"),
        software_revision: String::new(),
        slots: 64,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: Some(stage),
        models: Vec::new(),
        sequence: 1,
    }
}

fn fleet(count: usize, prefill_servers: usize) -> Vec<Server> {
    (0..count)
        .map(|index| {
            server(index, index % 3, if index < prefill_servers { Stage::Prefill } else { Stage::Decode })
        })
        .collect()
}

/// Lets six of nine servers run prefill.
fn two_thirds_prefill() -> StagePolicy {
    StagePolicy { max_prefill_share: 0.67, ..StagePolicy::default() }
}

fn prefill_servers(servers: &[Server]) -> usize {
    servers.iter().filter(|server| server.stage == Some(Stage::Prefill)).count()
}

/// The number of assignments due at this instant.
fn due_count(scheduler: &mut StageScheduler, now: Instant, servers: &[Server]) -> usize {
    scheduler.due_assignments(now, servers.iter()).len()
}

fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Immediately carries out each assignment that becomes due between two instants. Returns the number of assignments.
fn carry_out(scheduler: &mut StageScheduler, servers: &mut [Server], from: Instant, to: Instant) -> usize {
    let mut count = 0;
    let mut now = from;
    while now < to {
        for assignment in scheduler.due_assignments(now, servers.iter()) {
            let server = servers
                .iter_mut()
                .find(|server| server.id == assignment.instance_id)
                .expect("assignments name listed servers");
            assert_ne!(server.stage, Some(assignment.stage), "the server already runs the assigned stage");
            server.stage = Some(assignment.stage);
            scheduler.record_outcome(AssignmentOutcome::Accepted);
            count += 1;
        }
        now += Duration::from_millis(100);
    }
    count
}

#[test]
fn the_share_is_reached_with_the_fewest_assignments_and_then_kept() {
    let (mut scheduler, mut servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 4));
    assert_eq!(carry_out(&mut scheduler, &mut servers, millis(0), millis(2000)), 2);
    assert_eq!(prefill_servers(&servers), 6);
    assert_eq!(carry_out(&mut scheduler, &mut servers, millis(2000), millis(60_000)), 0);
}

#[test]
fn nothing_is_assigned_before_the_imbalance_has_lasted_for_the_delay() {
    let (mut scheduler, servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 4));
    assert_eq!(due_count(&mut scheduler, millis(0), &servers), 0);
    assert_eq!(due_count(&mut scheduler, millis(299), &servers), 0);
    assert_eq!(due_count(&mut scheduler, millis(300), &servers), 2);
}

#[test]
fn an_imbalance_of_one_server_has_a_longer_delay() {
    let (mut scheduler, servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 5));
    assert!((0..4000).step_by(100).all(|now| due_count(&mut scheduler, millis(now), &servers) == 0));
    assert_eq!(due_count(&mut scheduler, millis(4000), &servers), 1);
}

#[test]
fn three_quarters_run_prefill_initially_if_servers_have_64_slots() {
    let policy = StagePolicy::default();
    let share = policy.initial_prefill_share(64);
    assert_eq!([2, 3, 9, 18, 90].map(|count| policy.target_prefill_servers(count, share)), [1, 1, 7, 14, 68]);
}

#[test]
fn an_assignment_in_flight_counts_as_carried_out() {
    let (mut scheduler, servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 4));
    due_count(&mut scheduler, millis(0), &servers);
    assert_eq!(due_count(&mut scheduler, millis(400), &servers), 2);
    // The heartbeats of the servers still report their former stage.
    assert!((500..8000).step_by(100).all(|now| due_count(&mut scheduler, millis(now), &servers) == 0));
}

#[test]
fn a_fenced_scheduler_assigns_nothing_more() {
    let (mut scheduler, servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 4));
    scheduler.record_outcome(AssignmentOutcome::StaleFence);
    assert!((0..5000).step_by(100).all(|now| due_count(&mut scheduler, millis(now), &servers) == 0));
}

/// The first 412 response ends the assignments of this term, whatever the results of other assignments that were due at
/// the same time. The scheduler of a later term is not fenced.
#[test]
fn a_412_response_fences_the_scheduler_of_one_term_only() {
    let (mut scheduler, servers) = (StageScheduler::new(two_thirds_prefill()), fleet(9, 4));
    assert!(!scheduler.is_fenced());
    scheduler.record_outcome(AssignmentOutcome::Unknown);
    assert!(!scheduler.is_fenced(), "an assignment without a response says nothing about fencing");
    for outcome in [AssignmentOutcome::StaleFence, AssignmentOutcome::Accepted, AssignmentOutcome::StaleFence]
    {
        scheduler.record_outcome(outcome);
        assert!(scheduler.is_fenced());
    }
    assert!((0..60_000).step_by(100).all(|now| due_count(&mut scheduler, millis(now), &servers) == 0));
    let mut next_term_scheduler = StageScheduler::new(two_thirds_prefill());
    assert!(
        (0..60_000).step_by(100).any(|now| due_count(&mut next_term_scheduler, millis(now), &servers) > 0)
    );
}

/// The previous owner may have sent its last command just before its lease ended, and clocks differ.
#[test]
fn a_new_owner_sends_no_command_until_the_previous_lease_has_certainly_expired() {
    let lease = Duration::from_millis(3_000);
    let takeover_delay = TakeoverDelay::begin(millis(1_000), lease);
    assert!((0..1_000 + 3_500).all(|now| !takeover_delay.may_send_commands(millis(now))));
    assert!(takeover_delay.may_send_commands(millis(1_000 + 3_500)));
}

#[test]
fn prefill_servers_are_spread_over_zones() {
    let mut servers: Vec<Server> = (0..9).map(|index| server(index, index / 3, Stage::Decode)).collect();
    let mut scheduler =
        StageScheduler::new(StagePolicy { max_assignments_at_once: 9, ..two_thirds_prefill() });
    carry_out(&mut scheduler, &mut servers, millis(0), millis(2000));
    for zone in ["z0", "z1", "z2"] {
        let prefill_in_zone = servers
            .iter()
            .filter(|server| server.zone == zone && server.stage == Some(Stage::Prefill))
            .count();
        assert_eq!(prefill_in_zone, 2, "{zone}");
    }
}

/// A fleet with a constant amount of work, independent of how many servers run each stage.
struct LoadedFleet {
    scheduler: StageScheduler,
    servers: Vec<Server>,
    /// The work of each stage, as the number of servers that it keeps busy.
    prefill_work: f64,
    decode_work: f64,
    now: Instant,
    assignments: usize,
}

impl LoadedFleet {
    fn new(count: usize, prefill_servers: usize, prefill_work: f64, decode_work: f64) -> Self {
        let scheduler = StageScheduler::new(StagePolicy::default());
        let servers = fleet(count, prefill_servers);
        Self { scheduler, servers, prefill_work, decode_work, now: millis(1_000), assignments: 0 }
    }

    /// The load that a server of the fleet reports.
    fn load_of(&self, server: &Server) -> ServerLoad {
        let prefill_servers = prefill_servers(&self.servers);
        let decode_servers = self.servers.len() - prefill_servers;
        if server.stage == Some(Stage::Prefill) {
            let utilization = self.prefill_work / prefill_servers.max(1) as f64;
            ServerLoad { queued: (utilization - 1.0).max(0.0) * 10.0, active: utilization.min(1.0) }
        } else {
            let utilization = self.decode_work / decode_servers.max(1) as f64;
            ServerLoad { queued: 0.0, active: utilization * f64::from(server.slots) }
        }
    }

    /// Runs the scheduler for a time. All servers report each second, and carry out assignments immediately.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for server in &self.servers {
                self.scheduler.record_report(self.now, &server.id, self.load_of(server));
            }
            let next = self.now + Duration::from_millis(1_000);
            self.assignments += carry_out(&mut self.scheduler, &mut self.servers, self.now, next);
            self.now = next;
        }
    }
}

#[test]
fn a_busy_stage_gets_servers_of_the_other_one_and_then_no_stage_changes() {
    for (prefill_work, decode_work, expected) in
        [(6.0, 18.0, 12..=17), (20.0, 20.0, 20..=29), (24.0, 8.0, 30..=36)]
    {
        let mut fleet = LoadedFleet::new(48, 24, prefill_work, decode_work);
        fleet.run(Duration::from_secs(60));
        let prefill = prefill_servers(&fleet.servers);
        assert!(expected.contains(&prefill), "{prefill_work} {decode_work}: {prefill}");
        let before = fleet.assignments;
        fleet.run(Duration::from_secs(300));
        assert_eq!(fleet.assignments, before, "{prefill_work} {decode_work}: the stages must not oscillate");
    }
}

#[test]
fn idle_servers_keep_their_stages() {
    let mut fleet = LoadedFleet::new(48, 24, 10.0, 3.0);
    fleet.run(Duration::from_secs(60));
    assert_eq!((prefill_servers(&fleet.servers), fleet.assignments), (24, 0));
}

#[test]
fn a_short_burst_changes_no_stage() {
    let mut fleet = LoadedFleet::new(48, 24, 8.0, 8.0);
    fleet.run(Duration::from_secs(20));
    fleet.decode_work = 26.0;
    fleet.run(Duration::from_secs(4));
    fleet.decode_work = 8.0;
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.assignments, 0);
}

#[test]
fn a_new_owner_starts_with_the_current_stages() {
    let mut fleet = LoadedFleet::new(48, 15, 5.0, 10.0);
    fleet.run(Duration::from_secs(30));
    assert_eq!((prefill_servers(&fleet.servers), fleet.assignments), (15, 0));
}

#[test]
fn invalid_reports_cause_no_assignment() {
    let mut fleet = LoadedFleet::new(48, 24, 8.0, 8.0);
    fleet.run(Duration::from_secs(20));
    for invalid_number in [f64::NAN, f64::INFINITY, -1e300] {
        for _ in 0..60 {
            let id = fleet.servers[40].id.clone();
            fleet.scheduler.record_report(
                fleet.now,
                &id,
                ServerLoad { queued: invalid_number, active: invalid_number },
            );
            fleet.assignments += due_count(&mut fleet.scheduler, fleet.now, &fleet.servers);
            fleet.now += Duration::from_millis(50);
        }
    }
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.assignments, 0);
}

#[test]
fn the_initial_share_depends_on_the_slots_of_the_servers() {
    let policy = StagePolicy::default();
    assert_eq!(
        [4, 16, 64, 128].map(|slots| policy.target_prefill_servers(48, policy.initial_prefill_share(slots))),
        [10, 24, 36, 36]
    );
}

quickcheck! {
    /// Any service reaches the target share with the fewest reassignments, and keeps enough decode servers.
    fn every_service_converges_to_its_target_share(count: u8, initial_prefill: u8) -> bool {
        let count = usize::from(count % 40);
        let (mut scheduler, mut servers) = (StageScheduler::new(StagePolicy::default()), fleet(count, usize::from(initial_prefill) % (count + 1)));
        let before = prefill_servers(&servers);
        let assignments = carry_out(&mut scheduler, &mut servers, millis(0), millis(30_000));
        let after = prefill_servers(&servers);
        let has_min_decode = count < 3 || count - after >= 2;
        (count < 2 || after == StagePolicy::default().target_prefill_servers(count, 0.75)) && has_min_decode && assignments == after.abs_diff(before)
    }
}
