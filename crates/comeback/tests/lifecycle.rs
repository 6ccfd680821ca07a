//! The states of the way back.

use mosshead_comeback::{Life, Stage, Wants};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WITHIN: f64 = 10.0;

fn answers(life: &mut Life, good: usize, bad: usize) {
    (0..bad).for_each(|_| life.answered(false));
    (0..good).for_each(|_| life.answered(true));
}

/// The way of a proxy that comes back with an old list, and what it says it waits for.
#[test]
fn each_state_is_entered_for_its_reason() {
    let mut life = Life::default();
    assert_eq!(life.stage(0.0, WITHIN), (Stage::Cold, Wants::Servers));
    life.servers(true);
    answers(&mut life, 32, 0);
    assert_eq!(life.stage(0.1, WITHIN), (Stage::Listed, Wants::Word), "served by hearsay is not full");
    life = Life::default();
    life.servers(true);
    life.told(1.0);
    assert_eq!(life.stage(1.0, WITHIN), (Stage::Warming, Wants::Answers));
    answers(&mut life, 12, 20);
    assert_eq!(life.stage(2.0, WITHIN), (Stage::Warming, Wants::Time));
    answers(&mut life, 17, 0);
    assert_eq!(life.stage(3.0, WITHIN), (Stage::Full, Wants::Nothing));
    // A jam does not end it; discovery's silence does, and its word brings it back.
    answers(&mut life, 0, 32);
    assert_eq!(life.stage(4.0, WITHIN).0, Stage::Full);
    assert_eq!(life.stage(42.0, WITHIN).0, Stage::Full, "a directory that is quiet has nothing to tell");
    life.failed();
    assert_eq!(life.stage(41.0, WITHIN).0, Stage::Full);
    assert_eq!(life.stage(42.0, WITHIN), (Stage::Listed, Wants::Word));
    life.told(42.0);
    assert_eq!(life.stage(42.0, WITHIN).0, Stage::Full);
}

/// Danger: a process that stood still believes that no time has passed; all it knows is hearsay until discovery speaks.
#[test]
fn who_stood_still_starts_again_from_hearsay() {
    let mut life = Life::default();
    life.servers(true);
    life.told(1.0);
    answers(&mut life, 32, 0);
    assert_eq!(life.stage(2.0, WITHIN).0, Stage::Full);
    life.stood_still();
    assert_eq!(life.stage(2.1, WITHIN), (Stage::Listed, Wants::Word));
    life.told(2.2);
    assert_eq!(life.stage(2.2, WITHIN), (Stage::Warming, Wants::Answers));
}

/// One to whom nobody comes has nothing to wait for.
#[test]
fn who_is_asked_nothing_is_full_after_a_while() {
    let mut life = Life::default();
    life.servers(true);
    life.told(1.0);
    assert_eq!(life.stage(5.9, WITHIN).0, Stage::Warming);
    assert_eq!(life.stage(6.0, WITHIN).0, Stage::Full);
}

/// Danger: one that is asked once in some seconds would never have answers enough.
#[test]
fn who_is_asked_little_is_full_once_its_last_answers_came_in_time() {
    let mut life = Life::default();
    life.servers(true);
    life.told(1.0);
    answers(&mut life, 2, 1);
    assert_eq!(life.stage(60.0, WITHIN), (Stage::Warming, Wants::Answers));
    life.answered(true);
    assert_eq!(life.stage(60.0, WITHIN).0, Stage::Full);
}

#[derive(Clone, Debug)]
enum Step {
    Servers(bool),
    Told,
    Failed,
    Stood,
    Answers(u8, u8),
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(Step::Servers),
        Just(Step::Told),
        Just(Step::Failed),
        Just(Step::Stood),
        (0_u8..40, 0_u8..40).prop_map(|(good, bad)| Step::Answers(good, bad)),
        (0.0..60.0_f64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Nothing is full without a server or without discovery's word, and whatever went before, an instance becomes full once the
    /// world is sound.
    #[test]
    fn everybody_becomes_full_once_the_world_is_sound(steps in prop::collection::vec(step(), 0..40)) {
        let (mut life, mut now) = (Life::default(), 0.0);
        let (mut servers, mut word, mut failed) = (false, None, false);
        for step in steps {
            match step {
                Step::Servers(some) => {
                    servers = some;
                    life.servers(some);
                }
                Step::Told => {
                    (word, failed) = (Some(now), false);
                    life.told(now);
                }
                Step::Failed => {
                    failed = true;
                    life.failed();
                }
                Step::Stood => {
                    word = None;
                    life.stood_still();
                }
                Step::Answers(good, bad) => answers(&mut life, good.into(), bad.into()),
                Step::Wait(seconds) => now += seconds,
            }
            let (stage, _) = life.stage(now, WITHIN);
            prop_assert_eq!(stage == Stage::Cold, !servers);
            let heard = word.is_some_and(|word| !failed || now - word <= 4.0 * WITHIN);
            prop_assert!(stage <= Stage::Listed || (servers && heard));
        }
        life.servers(true);
        life.told(now);
        answers(&mut life, 32, 0);
        prop_assert_eq!(life.stage(now, WITHIN), (Stage::Full, Wants::Nothing));
    }
}
