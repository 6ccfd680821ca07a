//! The recovery stages of an instance, and the events that change them.

use mosshead_recovery::{InstanceRecovery, RecoveryBlocker, RecoveryStage, RecoveryStatus};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALL_INTERVAL_S: f64 = 10.0;

fn record_responses(instance_recovery: &mut InstanceRecovery, in_time: usize, late: usize) {
    (0..late).for_each(|_| instance_recovery.on_response(false));
    (0..in_time).for_each(|_| instance_recovery.on_response(true));
}

/// A proxy that starts with a stored list passes through the stages, and states in each what it waits for.
#[test]
fn each_stage_names_what_it_waits_for() {
    let mut instance_recovery = InstanceRecovery::default();
    assert_eq!(
        instance_recovery.status(0.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::NoServers, blocker: RecoveryBlocker::Servers }
    );
    instance_recovery.set_has_servers(true);
    record_responses(&mut instance_recovery, 32, 0);
    assert_eq!(
        instance_recovery.status(0.1, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate },
        "service with an unconfirmed list is not full service"
    );
    instance_recovery = InstanceRecovery::default();
    instance_recovery.set_has_servers(true);
    instance_recovery.on_discovery_update(1.0);
    assert_eq!(
        instance_recovery.status(1.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
    record_responses(&mut instance_recovery, 12, 20);
    assert_eq!(
        instance_recovery.status(2.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::TimelyResponses }
    );
    record_responses(&mut instance_recovery, 17, 0);
    assert_eq!(
        instance_recovery.status(3.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::FullService, blocker: RecoveryBlocker::Nothing }
    );
    // Late responses don't end full service. An outdated list does, and an update restores it.
    record_responses(&mut instance_recovery, 0, 32);
    assert_eq!(instance_recovery.status(4.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    assert_eq!(
        instance_recovery.status(42.0, CALL_INTERVAL_S).stage,
        RecoveryStage::FullService,
        "without a failed call the list counts as unchanged"
    );
    instance_recovery.on_discovery_failure();
    assert_eq!(instance_recovery.status(41.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    assert_eq!(
        instance_recovery.status(42.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate }
    );
    instance_recovery.on_discovery_update(42.0);
    assert_eq!(instance_recovery.status(42.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
}

/// A suspended process does not notice that time has passed, so its list is unconfirmed until discovery sends an
/// update.
#[test]
fn a_suspended_instance_starts_again_from_an_unconfirmed_list() {
    let mut instance_recovery = InstanceRecovery::default();
    instance_recovery.set_has_servers(true);
    instance_recovery.on_discovery_update(1.0);
    record_responses(&mut instance_recovery, 32, 0);
    assert_eq!(instance_recovery.status(2.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    instance_recovery.on_suspended();
    assert_eq!(
        instance_recovery.status(2.1, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate }
    );
    instance_recovery.on_discovery_update(2.2);
    assert_eq!(
        instance_recovery.status(2.2, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
}

/// An instance without requests has no responses to wait for.
#[test]
fn an_instance_without_requests_reaches_full_service_after_a_delay() {
    let mut instance_recovery = InstanceRecovery::default();
    instance_recovery.set_has_servers(true);
    instance_recovery.on_discovery_update(1.0);
    assert_eq!(instance_recovery.status(5.9, CALL_INTERVAL_S).stage, RecoveryStage::WarmingUp);
    assert_eq!(instance_recovery.status(6.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
}

/// An instance with a request every few seconds would never have enough responses.
#[test]
fn an_instance_with_few_requests_reaches_full_service_once_its_last_responses_are_in_time() {
    let mut instance_recovery = InstanceRecovery::default();
    instance_recovery.set_has_servers(true);
    instance_recovery.on_discovery_update(1.0);
    record_responses(&mut instance_recovery, 2, 1);
    assert_eq!(
        instance_recovery.status(60.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
    instance_recovery.on_response(true);
    assert_eq!(instance_recovery.status(60.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
}

#[derive(Clone, Debug)]
enum Step {
    Servers(bool),
    DiscoveryUpdate,
    DiscoveryFailure,
    Suspended,
    Responses(u8, u8),
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Servers),
        Just(Step::DiscoveryUpdate),
        Just(Step::DiscoveryFailure),
        Just(Step::Suspended),
        (0_u8..40, 0_u8..40).prop_map(|(in_time, late)| Step::Responses(in_time, late)),
        (0.0..60.0_f64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// No instance is in full service without servers or with an outdated list. After any sequence of events, each
    /// instance reaches full service once there are no more faults.
    #[test]
    fn every_instance_reaches_full_service_once_there_are_no_faults(steps in prop::collection::vec(step(), 0..40)) {
        let (mut instance_recovery, mut now) = (InstanceRecovery::default(), 0.0);
        let (mut has_servers, mut last_update_at, mut has_call_failed) = (false, None, false);
        for step in steps {
            match step {
                Step::Servers(has_servers_now) => {
                    has_servers = has_servers_now;
                    instance_recovery.set_has_servers(has_servers_now);
                }
                Step::DiscoveryUpdate => {
                    (last_update_at, has_call_failed) = (Some(now), false);
                    instance_recovery.on_discovery_update(now);
                }
                Step::DiscoveryFailure => {
                    has_call_failed = true;
                    instance_recovery.on_discovery_failure();
                }
                Step::Suspended => {
                    last_update_at = None;
                    instance_recovery.on_suspended();
                }
                Step::Responses(in_time, late) => record_responses(&mut instance_recovery, in_time.into(), late.into()),
                Step::Wait(seconds) => now += seconds,
            }
            let stage = instance_recovery.status(now, CALL_INTERVAL_S).stage;
            prop_assert_eq!(stage == RecoveryStage::NoServers, !has_servers);
            let is_list_current = last_update_at.is_some_and(|last_update_at| !has_call_failed || now - last_update_at <= 4.0 * CALL_INTERVAL_S);
            prop_assert!(stage <= RecoveryStage::UnconfirmedList || (has_servers && is_list_current));
        }
        instance_recovery.set_has_servers(true);
        instance_recovery.on_discovery_update(now);
        record_responses(&mut instance_recovery, 32, 0);
        prop_assert_eq!(instance_recovery.status(now, CALL_INTERVAL_S), RecoveryStatus { stage: RecoveryStage::FullService, blocker: RecoveryBlocker::Nothing });
    }
}
