//! The server against queueing theory: waiting times within 3 % of the formulas over a long run.

use mosshead_world::Time;
use mosshead_world::random::RandomStream;
use mosshead_world::scenario::Scenario;
use mosshead_world::server::{Admission, CollapseLimit, Executed, Server, ServerTraits, StartCondition};
use rstest::rstest;

const KIND: &str = r#"
title = "theory"
about = "one kind"
length = "10s"
zones = ["a"]
load = { proxies = 1, rate = "1/s" }
[[kind]]
name = "plain"
count = 1
cores = CORES
slots_per_core = 1
queue_per_core = 9000000
[[class]]
name = "any"
share = "100%"
work = "10ms"
target = "1s"
deadline = "1s"
worth = 1
effect = "safe"
"#;

/// The mean wait before service of M/M/c, in service times (Erlang's C).
fn erlang_c_wait(cores: u32, load: f64) -> f64 {
    let offered = f64::from(cores) * load;
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= offered / f64::from(k);
        sum += term;
    }
    let waiting_term = term * offered / f64::from(cores) / (1.0 - load);
    waiting_term / (sum + waiting_term) / (f64::from(cores) * (1.0 - load))
}

/// Guards every result of the model: its queues behave as queueing theory says.
#[rstest]
#[case::mm1_half(1, 0.5)]
#[case::mm1_busy(1, 0.8)]
#[case::mm3(3, 0.7)]
#[case::mm8(8, 0.85)]
fn mean_waiting_times_are_those_of_queueing_theory(#[case] cores: u32, #[case] load: f64) {
    let scenario = Scenario::read(&KIND.replace("CORES", &cores.to_string())).expect("a scenario");
    let mut random = RandomStream::new(11, "theory", 0);
    let traits = ServerTraits::draw(&scenario.kinds[0], 0, 0, &mut random);
    let mut server = Server::start(
        Time::ZERO,
        traits,
        StartCondition::Warm,
        CollapseLimit { multiple: 3.0, window: Time::from_millis(3000) },
    );
    let (service, count) = (0.01, 1_500_000_u64);
    let rate = f64::from(cores) * load / service;
    let mut arrivals = std::collections::HashMap::new();
    let (mut done, mut now, mut sojourn, mut executed) = (Vec::new(), Time::ZERO, 0.0, 0_u64);
    for id in 0..count {
        now += Time::from_seconds(random.exponential(1.0 / rate));
        server.advance(now, &mut done);
        let work = random.exponential(service);
        assert_eq!(server.offer_request(id, work), Admission::Accepted);
        arrivals.insert(id, now);
        for Executed { at, id } in done.drain(..) {
            sojourn += (at - arrivals.remove(&id).expect("it has arrived")).as_seconds();
            executed += 1;
        }
    }
    let mean = sojourn / executed as f64 / service;
    let expected = erlang_c_wait(cores, load) + 1.0;
    assert!((mean / expected - 1.0).abs() < 0.03, "{mean:.4} service times, by the formula {expected:.4}");
}
