//! The health of the group as the primary reports it, and whether one more machine may be lost.

use mosshead_consensus::{GroupHealth, LossRisk, MemberRole};
use mosshead_virtual_fleet::millis;

use crate::fault_actions::FaultAction;
use crate::simulation::{Kill, Simulation};
use crate::support::{Roles, commit_change, current_primary, ensure, passes, roles, stable_fleet};

fn health(simulation: &Simulation) -> Result<GroupHealth, String> {
    let primary = current_primary(simulation)?;
    let health = simulation.node(primary).and_then(|node| node.group_health(simulation.clock(primary)));
    health.ok_or("no health".to_owned())
}

#[test]
fn the_primary_names_the_members_and_who_holds_the_state() {
    passes("five members", || {
        let simulation = stable_fleet(170, 5, 2, None)?;
        let health = health(&simulation)?;
        let with_role = |role| health.members.iter().filter(|member| member.role == role).count();
        ensure(with_role(MemberRole::Primary) == 1, "primaries")?;
        ensure(with_role(MemberRole::Backup) == 2, "backups")?;
        ensure(with_role(MemberRole::Witness) == 2, "witnesses")?;
        ensure(health.members.iter().all(|member| member.is_healthy), "health")?;
        ensure(health.tolerates_a_loss() == Ok(()), "tolerance")?;
        let primary = current_primary(&simulation)?;
        let others = simulation.remaining().into_iter().filter(|machine| *machine != primary);
        let has_health = |machine: usize| {
            simulation
                .node(machine)
                .is_some_and(|node| node.group_health(simulation.clock(machine)).is_some())
        };
        ensure(!others.into_iter().any(has_health), "a follower speaks for the group")
    });
}

/// The report of the primary is correct: after a loss that it does not tolerate, there is no primary; after one that it
/// tolerates, there is one.
#[test]
fn a_loss_that_is_not_tolerated_stops_the_group() {
    for seed in 171..191 {
        passes(&format!("seed {seed}"), || {
            let mut simulation = stable_fleet(seed, 3, 1, None)?;
            ensure(
                health(&simulation)?.tolerates_a_loss() == Ok(()),
                "no loss is tolerated without a fault",
            )?;
            let Roles { backups, witnesses, .. } = roles(&simulation)?;
            let lost = if seed % 2 == 0 { witnesses[0] } else { backups[0] };
            simulation.kill(lost, Kill::Process);
            simulation.run(millis(1_500))?;
            commit_change(&mut simulation, millis(400))?;
            let risk = health(&simulation)?.tolerates_a_loss();
            ensure(risk == Err(LossRisk::NoSpareVote(2, 3)), &format!("{risk:?}"))?;
            let primary = current_primary(&simulation)?;
            simulation.kill(primary, Kill::Process);
            simulation.run(millis(2_000))?;
            ensure(simulation.primary().is_none(), "one of three is primary")?;
            simulation.start(lost);
            simulation.start(primary);
            simulation.run(millis(3_000))?;
            ensure(health(&simulation)?.tolerates_a_loss() == Ok(()), "it does not recover")
        });
    }
}

/// A backup with a full disk does not count as a replica: no loss is tolerated until a witness has replaced it.
#[test]
fn a_full_disk_counts_as_no_replica() {
    passes("a full disk", || {
        let mut simulation = stable_fleet(192, 3, 1, None)?;
        let Roles { backups, witnesses, .. } = roles(&simulation)?;
        simulation.kill(witnesses[0], Kill::Process);
        simulation.apply(FaultAction::FillDisks(backups));
        simulation.run(millis(1_500))?;
        let Ok(health) = health(&simulation) else { return Ok(()) };
        ensure(health.tolerates_a_loss().is_err(), "a loss is tolerated")
    });
}
