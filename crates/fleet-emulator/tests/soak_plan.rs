//! The plan of a soak: it repeats by its seed, and the seeds together cover what can be done.

use std::collections::BTreeSet;
use std::time::Duration;

use mosshead_fleet_emulator::{Action, PlannedAction, draw_plan};
use mosshead_fleet_rules::MachineKind;

const LENGTH: Duration = Duration::from_secs(75);
const CALM: Duration = Duration::from_secs(18);
const CONTROL_NODES: usize = 3;
const PROXIES: usize = 4;

fn plan(seed: u64) -> Vec<PlannedAction> {
    draw_plan(seed, LENGTH, CONTROL_NODES, PROXIES)
}

/// The kind of an action, with that of its machine.
fn kind(action: Action) -> &'static str {
    let of = |machine: mosshead_fleet_rules::MachineId, core, edge| {
        if machine.kind == MachineKind::ControlNode { core } else { edge }
    };
    match action {
        Action::Terminate(machine) => of(machine, "terminate control node", "terminate proxy"),
        Action::HangUp(machine) => of(machine, "hang up control node", "hang up proxy"),
        Action::Kill(machine, _) => of(machine, "kill control node", "kill proxy"),
        Action::KillAndHangUp(_) => "kill and hang up",
        Action::Freeze(machine, _) => of(machine, "freeze control node", "freeze proxy"),
        Action::KillCore(_) => "kill core",
        Action::Configure => "configure",
        Action::ConfigureTwice => "configure twice",
        Action::ReplaceServer => "replace server",
        Action::CrashServer => "crash server",
    }
}

#[test]
fn the_same_seed_gives_the_same_plan_and_another_one_another() {
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

#[test]
fn the_last_part_is_calm_and_actions_come_in_the_order_of_time() {
    for seed in 0..50 {
        let plan = plan(seed);
        assert!(plan.len() > 20, "{seed}");
        assert!(plan.is_sorted_by_key(|planned| planned.at), "{seed}");
        assert!(plan.iter().all(|planned| planned.at < LENGTH - CALM), "{seed}");
    }
}

#[test]
fn fifty_seeds_do_everything_to_every_machine() {
    let actions: Vec<Action> = (0..50).flat_map(plan).map(|planned| planned.action).collect();
    let kinds: BTreeSet<&str> = actions.iter().map(|action| kind(*action)).collect();
    assert_eq!(kinds.len(), 14, "{kinds:?}");
    let terminated: BTreeSet<_> = actions
        .iter()
        .filter_map(|action| if let Action::Terminate(machine) = action { Some(*machine) } else { None })
        .collect();
    assert_eq!(terminated.len(), CONTROL_NODES + PROXIES);
}
