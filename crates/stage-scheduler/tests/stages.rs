//! The stage scheduler: how many servers run prefill, which are reassigned, and that it converges.

use mosshead_registry::{OperState, Server, Stage};
use mosshead_stage_scheduler::{AssignmentOutcome, StagePolicy, StageScheduler, fencing_token};
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

/// Six of nine run prefill.
fn two_thirds_prefill() -> StagePolicy {
    StagePolicy { prefill_share: 0.67, ..StagePolicy::default() }
}

fn prefill_servers(servers: &[Server]) -> usize {
    servers.iter().filter(|server| server.stage == Some(Stage::Prefill)).count()
}

/// The number of assignments that are due.
fn due_count(scheduler: &mut StageScheduler, now: Instant, servers: &[Server]) -> usize {
    scheduler.due_assignments(now, servers.iter()).len()
}

fn millis(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Carries out all assignments at once that are due between two instants. Returns how many there were.
fn carry_out(scheduler: &mut StageScheduler, servers: &mut [Server], from: Instant, to: Instant) -> usize {
    let mut count = 0;
    let mut now = from;
    while now < to {
        for assignment in scheduler.due_assignments(now, servers.iter()) {
            let server = servers
                .iter_mut()
                .find(|server| server.id == assignment.instance_id)
                .expect("assignments name listed servers");
            assert_ne!(server.stage, Some(assignment.stage), "an assignment that changes nothing");
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
fn nothing_is_assigned_before_the_share_has_been_off_for_the_delay() {
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
fn three_quarters_run_prefill_by_default() {
    let policy = StagePolicy::default();
    assert_eq!([2, 3, 9, 18, 90].map(|count| policy.target_prefill_servers(count)), [1, 1, 7, 14, 68]);
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

#[test]
fn fencing_tokens_rise_with_terms_and_differ_between_proposers() {
    assert!(fencing_token(3, u64::MAX) < fencing_token(4, 0));
    assert!(fencing_token(3, 1 << 60) < fencing_token(3, 1 << 62));
    assert!(fencing_token(u64::MAX, u64::MAX) < 1 << 53, "a JSON number holds it exactly");
}

quickcheck! {
    /// Any service reaches the share, keeps enough servers that decode, and no server is reassigned twice.
    fn any_service_converges(count: u8, initial_prefill: u8) -> bool {
        let count = usize::from(count % 40);
        let (mut scheduler, mut servers) = (StageScheduler::new(StagePolicy::default()), fleet(count, usize::from(initial_prefill) % (count + 1)));
        let before = prefill_servers(&servers);
        let assignments = carry_out(&mut scheduler, &mut servers, millis(0), millis(30_000));
        let after = prefill_servers(&servers);
        let has_min_decode = count < 3 || count - after >= 2;
        (count < 2 || after == StagePolicy::default().target_prefill_servers(count)) && has_min_decode && assignments == after.abs_diff(before)
    }
}
