//! The stages of recovery.

use mosshead_recovery::{InstanceRecovery, RecoveryBlocker, RecoveryStage, RecoveryStatus};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALL_INTERVAL_S: f64 = 10.0;

fn record_responses(lifecycle: &mut InstanceRecovery, in_time: usize, late: usize) {
    (0..late).for_each(|_| lifecycle.on_response(false));
    (0..in_time).for_each(|_| lifecycle.on_response(true));
}

/// The recovery of a proxy that starts with a stored list, and what it says it waits for.
#[test]
fn each_stage_is_entered_for_its_reason() {
    let mut lifecycle = InstanceRecovery::default();
    assert_eq!(
        lifecycle.status(0.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::NoServers, blocker: RecoveryBlocker::Servers }
    );
    lifecycle.set_has_servers(true);
    record_responses(&mut lifecycle, 32, 0);
    assert_eq!(
        lifecycle.status(0.1, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate },
        "service by an unconfirmed list is not full"
    );
    lifecycle = InstanceRecovery::default();
    lifecycle.set_has_servers(true);
    lifecycle.on_discovery_update(1.0);
    assert_eq!(
        lifecycle.status(1.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
    record_responses(&mut lifecycle, 12, 20);
    assert_eq!(
        lifecycle.status(2.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::TimelyResponses }
    );
    record_responses(&mut lifecycle, 17, 0);
    assert_eq!(
        lifecycle.status(3.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::FullService, blocker: RecoveryBlocker::Nothing }
    );
    // Late responses don't end it; an outdated list does, and an update restores it.
    record_responses(&mut lifecycle, 0, 32);
    assert_eq!(lifecycle.status(4.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    assert_eq!(
        lifecycle.status(42.0, CALL_INTERVAL_S).stage,
        RecoveryStage::FullService,
        "silence without a failure means no change"
    );
    lifecycle.on_discovery_failure();
    assert_eq!(lifecycle.status(41.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    assert_eq!(
        lifecycle.status(42.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate }
    );
    lifecycle.on_discovery_update(42.0);
    assert_eq!(lifecycle.status(42.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
}

/// A suspended process believes that no time has passed, so its list is unconfirmed until discovery sends an update.
#[test]
fn a_suspended_instance_starts_again_from_an_unconfirmed_list() {
    let mut lifecycle = InstanceRecovery::default();
    lifecycle.set_has_servers(true);
    lifecycle.on_discovery_update(1.0);
    record_responses(&mut lifecycle, 32, 0);
    assert_eq!(lifecycle.status(2.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
    lifecycle.on_suspended();
    assert_eq!(
        lifecycle.status(2.1, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker: RecoveryBlocker::DiscoveryUpdate }
    );
    lifecycle.on_discovery_update(2.2);
    assert_eq!(
        lifecycle.status(2.2, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
}

/// An instance without requests has no responses to wait for.
#[test]
fn an_instance_without_requests_is_in_full_service_after_a_while() {
    let mut lifecycle = InstanceRecovery::default();
    lifecycle.set_has_servers(true);
    lifecycle.on_discovery_update(1.0);
    assert_eq!(lifecycle.status(5.9, CALL_INTERVAL_S).stage, RecoveryStage::WarmingUp);
    assert_eq!(lifecycle.status(6.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
}

/// An instance with a request every few seconds would never have enough responses.
#[test]
fn an_instance_with_few_requests_is_in_full_service_once_its_last_responses_are_in_time() {
    let mut lifecycle = InstanceRecovery::default();
    lifecycle.set_has_servers(true);
    lifecycle.on_discovery_update(1.0);
    record_responses(&mut lifecycle, 2, 1);
    assert_eq!(
        lifecycle.status(60.0, CALL_INTERVAL_S),
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker: RecoveryBlocker::Responses }
    );
    lifecycle.on_response(true);
    assert_eq!(lifecycle.status(60.0, CALL_INTERVAL_S).stage, RecoveryStage::FullService);
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

    /// No instance is in full service without servers or with an outdated list, and each reaches it, whatever went before,
    /// once there are no faults.
    #[test]
    fn every_instance_reaches_full_service_once_there_are_no_faults(steps in prop::collection::vec(step(), 0..40)) {
        let (mut lifecycle, mut now) = (InstanceRecovery::default(), 0.0);
        let (mut has_servers, mut last_update_at, mut has_call_failed) = (false, None, false);
        for step in steps {
            match step {
                Step::Servers(has_servers_now) => {
                    has_servers = has_servers_now;
                    lifecycle.set_has_servers(has_servers_now);
                }
                Step::DiscoveryUpdate => {
                    (last_update_at, has_call_failed) = (Some(now), false);
                    lifecycle.on_discovery_update(now);
                }
                Step::DiscoveryFailure => {
                    has_call_failed = true;
                    lifecycle.on_discovery_failure();
                }
                Step::Suspended => {
                    last_update_at = None;
                    lifecycle.on_suspended();
                }
                Step::Responses(in_time, late) => record_responses(&mut lifecycle, in_time.into(), late.into()),
                Step::Wait(seconds) => now += seconds,
            }
            let stage = lifecycle.status(now, CALL_INTERVAL_S).stage;
            prop_assert_eq!(stage == RecoveryStage::NoServers, !has_servers);
            let is_list_current = last_update_at.is_some_and(|last_update_at| !has_call_failed || now - last_update_at <= 4.0 * CALL_INTERVAL_S);
            prop_assert!(stage <= RecoveryStage::UnconfirmedList || (has_servers && is_list_current));
        }
        lifecycle.set_has_servers(true);
        lifecycle.on_discovery_update(now);
        record_responses(&mut lifecycle, 32, 0);
        prop_assert_eq!(lifecycle.status(now, CALL_INTERVAL_S), RecoveryStatus { stage: RecoveryStage::FullService, blocker: RecoveryBlocker::Nothing });
    }
}
