//! The duty of stages: how many read, who is ordered, and that it comes to rest.

use mosshead_registry::{OperState, Server, Stage};
use mosshead_stage_scheduler::{AssignmentOutcome, StagePolicy, StageScheduler, fencing_token};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

fn server(at: usize, zone: usize, stage: Stage) -> Server {
    Server {
        id: format!("i-{at}"),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
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

fn fleet(count: usize, readers: usize) -> Vec<Server> {
    (0..count)
        .map(|at| server(at, at % 3, if at < readers { Stage::Prefill } else { Stage::Decode }))
        .collect()
}

/// Six of nine read.
fn two_thirds() -> StagePolicy {
    StagePolicy { prefill_share: 0.67, ..StagePolicy::default() }
}

fn readers(servers: &[Server]) -> usize {
    servers.iter().filter(|one| one.stage == Some(Stage::Prefill)).count()
}

/// Lets orders be carried out at once.
fn play(duty: &mut StageScheduler, servers: &mut [Server], from: u64, to: u64) -> usize {
    let mut count = 0;
    for now in (from..to).step_by(100) {
        for order in duty.due_assignments(Instant::from_millis(now), servers.iter()) {
            let one =
                servers.iter_mut().find(|one| one.id == order.instance_id).expect("a server of the list");
            assert_ne!(one.stage, Some(order.stage), "an order that changes nothing is priced for nothing");
            one.stage = Some(order.stage);
            duty.record_outcome(&order.instance_id, AssignmentOutcome::Accepted);
            count += 1;
        }
    }
    count
}

#[test]
fn the_share_is_reached_with_the_fewest_orders_and_then_nothing_is_ordered() {
    let (mut duty, mut servers) = (StageScheduler::new(two_thirds()), fleet(9, 4));
    assert_eq!(play(&mut duty, &mut servers, 0, 2000), 2);
    assert_eq!(readers(&servers), 6);
    assert_eq!(play(&mut duty, &mut servers, 2000, 60_000), 0);
}

#[test]
fn nothing_is_ordered_before_the_share_has_been_off_for_a_while() {
    let (mut duty, servers) = (StageScheduler::new(two_thirds()), fleet(9, 4));
    assert!(duty.due_assignments(Instant::from_millis(0), servers.iter()).is_empty());
    assert!(duty.due_assignments(Instant::from_millis(299), servers.iter()).is_empty());
    assert_eq!(duty.due_assignments(Instant::from_millis(300), servers.iter()).len(), 2);
}

#[test]
fn one_server_too_few_waits_for_what_comes_and_goes() {
    let (mut duty, servers) = (StageScheduler::new(two_thirds()), fleet(9, 5));
    assert!(
        (0..4000)
            .step_by(100)
            .all(|now| duty.due_assignments(Instant::from_millis(now), servers.iter()).is_empty())
    );
    assert_eq!(duty.due_assignments(Instant::from_millis(4000), servers.iter()).len(), 1);
}

#[test]
fn three_quarters_read_unless_told_otherwise() {
    let duty = StageScheduler::new(StagePolicy::default());
    assert_eq!([2, 3, 9, 18, 90].map(|count| duty.target_prefill_servers(count)), [1, 1, 7, 14, 68]);
}

#[test]
fn an_order_on_its_way_counts_as_carried_out() {
    let (mut duty, servers) = (StageScheduler::new(two_thirds()), fleet(9, 4));
    duty.due_assignments(Instant::from_millis(0), servers.iter());
    assert_eq!(duty.due_assignments(Instant::from_millis(400), servers.iter()).len(), 2);
    // The servers still beat with their old part.
    assert!(
        (500..8000)
            .step_by(100)
            .all(|now| duty.due_assignments(Instant::from_millis(now), servers.iter()).is_empty())
    );
}

#[test]
fn who_was_told_of_a_higher_fence_orders_nothing_more() {
    let (mut duty, servers) = (StageScheduler::new(two_thirds()), fleet(9, 4));
    duty.record_outcome("i-1", AssignmentOutcome::StaleFence);
    assert!(
        (0..5000)
            .step_by(100)
            .all(|now| duty.due_assignments(Instant::from_millis(now), servers.iter()).is_empty())
    );
}

#[test]
fn zones_take_turns() {
    let mut servers: Vec<Server> = (0..9).map(|at| server(at, at / 3, Stage::Decode)).collect();
    let mut duty = StageScheduler::new(StagePolicy { max_assignments_at_once: 9, ..two_thirds() });
    play(&mut duty, &mut servers, 0, 2000);
    for zone in ["z0", "z1", "z2"] {
        let here = servers.iter().filter(|one| one.zone == zone && one.stage == Some(Stage::Prefill)).count();
        assert_eq!(here, 2, "{zone}");
    }
}

#[test]
fn fences_rise_with_rounds_and_tell_members_apart() {
    assert!(fencing_token(3, u64::MAX) < fencing_token(4, 0));
    assert!(fencing_token(3, 1 << 60) < fencing_token(3, 1 << 62));
    assert!(fencing_token(u64::MAX, u64::MAX) < 1 << 53, "a number that every reader of JSON keeps exact");
}

quickcheck! {
    /// Any fleet comes to rest at the share, keeps enough that generate, and no server is ordered to and fro.
    fn any_fleet_comes_to_rest(count: u8, first: u8) -> bool {
        let count = usize::from(count % 40);
        let (mut duty, mut servers) = (StageScheduler::new(StagePolicy::default()), fleet(count, usize::from(first) % (count + 1)));
        let before = readers(&servers);
        let orders = play(&mut duty, &mut servers, 0, 30_000);
        let after = readers(&servers);
        let enough = count < 3 || count - after >= 2;
        (count < 2 || after == duty.target_prefill_servers(count)) && enough && orders == after.abs_diff(before)
    }
}
