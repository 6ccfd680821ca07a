//! Planned changes of machines, and the losses that the platform may add right after them: a machine that has started counts
//! as back after a span of the platform, and others may be lost then.

use mosshead_consensus::{EpochConfig, InjectedFault, Node, Timings};
use mosshead_time::Duration;

use crate::day::Act;
use crate::support::{calm, commit_change, current_primary, ensure, roles};
use crate::world::{AfterShutdown, Event, World};

/// The spans from a start to the next loss, as the platform may set them.
const SYNCS: [u64; 3] = [1_500, 4_000, 6_000];

/// What is done in a whole fleet; it ends before the next losses.
type Scenario = fn(&mut World, u64) -> Result<(), String>;

/// A fleet in calm whose spans follow from the platform's.
pub(crate) fn fleet(
    seed: u64,
    sync: u64,
    failures: usize,
    injected_fault: Option<InjectedFault>,
) -> Result<World, String> {
    let mut world = World::new(seed, 2 * failures + 1, failures, injected_fault);
    world.noise = 0;
    world
        .machines
        .iter_mut()
        .for_each(|m| m.settings.timings = Timings::for_join_deadline(Duration::from_millis(sync)));
    world.run(3_000)?;
    for _ in 0..3 {
        commit_change(&mut world, 400)?;
    }
    Ok(world)
}

impl World {
    /// A new machine that starts now, with the spans of the others.
    pub(crate) fn newcomer(&mut self) -> usize {
        let timings = self.machines[0].settings.timings.clone();
        let seeds = self.some_seeds();
        let new = self.add_machine(false);
        self.machines[new].settings.timings = timings;
        self.machines[new].settings.seeds = seeds;
        self.start(new);
        new
    }

    pub(crate) fn newcomers(&mut self, count: usize) {
        for _ in 0..count {
            self.newcomer();
        }
    }

    /// A machine is taken away without notice.
    pub(crate) fn take_away(&mut self, machine: usize) {
        self.kill(machine, true);
        self.machines[machine].gone = true;
    }

    /// The primary and as many other holders of the state as may be lost lose their disks, for good.
    pub(crate) fn lose_holders(&mut self) -> Result<(), String> {
        let (primary, backups, witnesses) = roles(self)?;
        let lost: Vec<usize> = [primary].into_iter().chain(backups).chain(witnesses).collect();
        for machine in lost.into_iter().take(self.failures) {
            self.take_away(machine);
        }
        Ok(())
    }

    /// Some member by the primary's record, by chance.
    pub(crate) fn some_member(&mut self) -> Result<usize, String> {
        let (primary, backups, witnesses) = roles(self)?;
        Ok(match self.below(3) {
            0 => primary,
            1 => backups.first().copied().unwrap_or(primary),
            _ => witnesses.first().copied().unwrap_or(primary),
        })
    }

    pub(crate) fn run_until(&mut self, at: u64) -> Result<(), String> {
        self.run(at.saturating_sub(self.now))
    }

    pub(crate) fn run_until_ended(&mut self, machine: usize) -> Result<(), String> {
        while self.machines[machine].shutdown.is_some() {
            self.run(5)?;
        }
        Ok(())
    }

    /// The record of a primary, so a decided one.
    pub(crate) fn decided(&self) -> Option<EpochConfig> {
        let primary = self.running().into_iter().find(|m| self.node(*m).is_some_and(Node::is_primary))?;
        self.node(primary).and_then(Node::epoch_config).cloned()
    }

    pub(crate) fn round(&self) -> Result<u64, String> {
        self.decided().map(|record| record.term.number).ok_or("no record".to_string())
    }

    /// Whether as many may be lost as should be: all members run, and nothing is changing.
    pub(crate) fn is_whole(&self) -> bool {
        let Some(record) = self.decided() else { return false };
        let here =
            |id| self.running().into_iter().any(|m| self.node(m).is_some_and(|n| n.local_member().id == id));
        let holders = record.backups.len() == self.failures && record.backups.iter().all(|id| here(*id));
        !record.is_joint() && holders && record.members.iter().all(|m| here(m.id))
    }

    /// Waits until the fleet is whole; says how long that took since a moment.
    pub(crate) fn whole_since(&mut self, since: u64) -> Result<u64, String> {
        while !self.is_whole() {
            ensure(self.now < since + 10_000, "the fleet doesn't become whole")?;
            self.run(10)?;
        }
        Ok(self.now - since)
    }
}

/// The new machine has waited for long: the old one is told to end, and nothing is waited for after its end.
fn replaced_after_a_wait(world: &mut World, sync: u64) -> Result<(), String> {
    world.newcomer();
    world.run(sync)?;
    let old = world.some_member()?;
    world.act(Act::Shutdown(old, AfterShutdown::Gone));
    world.run_until_ended(old)?;
    if roles(world).is_err() {
        // The leaver was primary: its successor may be on its way.
        world.run(100)?;
    }
    Ok(())
}

/// The new machine starts first, and the old one is told to end within a second.
fn replaced(world: &mut World, sync: u64) -> Result<(), String> {
    for _ in 0..2 {
        let counts = world.now + sync;
        world.newcomer();
        let pause = world.below(1_000);
        world.run(pause)?;
        let old = world.some_member()?;
        world.act(Act::Shutdown(old, AfterShutdown::Gone));
        world.run_until(counts)?;
    }
    Ok(())
}

/// The old machine is told to end first, and the new one starts soon after.
fn replaced_late(world: &mut World, sync: u64) -> Result<(), String> {
    let old = world.some_member()?;
    world.act(Act::Shutdown(old, AfterShutdown::Gone));
    let pause = world.below(600);
    world.run(pause)?;
    world.newcomer();
    world.run(sync)
}

/// As many as may be are lost without notice as their successors start.
fn lost(world: &mut World, sync: u64) -> Result<(), String> {
    world.lose_holders()?;
    world.newcomers(world.failures);
    world.run(sync)
}

/// All members are restarted in place, one after the other; one loses its disk between.
fn rolled(world: &mut World, sync: u64) -> Result<(), String> {
    let all = world.standing();
    let wiped = all[world.below(all.len() as u64) as usize];
    for machine in all {
        if machine == wiped {
            world.act(Act::Wipe(vec![machine]));
            let pause = 50 + world.below(400);
            world.after(pause, Event::Act(Act::Start(machine)));
            world.run(pause)?;
        } else {
            world.act(Act::Shutdown(machine, AfterShutdown::Restart));
            world.run_until_ended(machine)?;
            while world.node(machine).is_none() {
                world.run(5)?;
            }
        }
        world.run(sync)?;
    }
    Ok(())
}

/// A machine comes back with an empty disk twice within a second.
fn wiped_twice(world: &mut World, sync: u64) -> Result<(), String> {
    let machine = world.some_member()?;
    for _ in 0..2 {
        world.act(Act::Wipe(vec![machine]));
        let pause = 20 + world.below(300);
        world.run(pause)?;
        world.start(machine);
        let pause = world.below(300);
        world.run(pause)?;
    }
    world.run(sync)
}

/// A newcomer knows three seeds: one is gone, one is cut off from the others, one lives. The one that is cut off is lost.
fn joined_by_old_seeds(world: &mut World, sync: u64) -> Result<(), String> {
    let (primary, backups, witnesses) = roles(world)?;
    let (backup, witness) = (backups[0], witnesses[0]);
    world.newcomer();
    world.run(sync)?;
    world.act(Act::Shutdown(witness, AfterShutdown::Gone));
    world.run(sync)?;
    let cut = [primary, backup][world.below(2) as usize];
    let living = [primary, backup].into_iter().find(|m| *m != cut).ok_or("none")?;
    let new = world.add_machine(false);
    let seeds = [witness, cut, living].map(|m| world.machines[m].address);
    world.machines[new].settings.seeds = seeds.to_vec();
    world.machines[new].settings.timings = Timings::for_join_deadline(Duration::from_millis(sync));
    world.start(new);
    let others: Vec<usize> = world.standing().into_iter().filter(|m| *m != cut && *m != new).collect();
    world.act(Act::Cut(others.iter().flat_map(|o| [(*o, cut), (cut, *o)]).collect()));
    world.run(sync)?;
    world.take_away(cut);
    Ok(())
}

const STORIES: [Scenario; 7] =
    [replaced_after_a_wait, replaced, replaced_late, lost, rolled, wiped_twice, joined_by_old_seeds];

/// A story, and the losses right after it: the rest goes on, and nothing that was acknowledged is lost.
fn and_losses(
    scenario: Scenario,
    seed: u64,
    sync: u64,
    injected_fault: Option<InjectedFault>,
) -> Result<World, String> {
    let mut world = fleet(seed, sync, 1 + seed as usize % 2, injected_fault)?;
    world.hire(2 * (seed as usize / 2 % 2));
    scenario(&mut world, sync)?;
    world.lose_holders()?;
    world.probe()?;
    Ok(world)
}

/// Some stories after each other, each with its losses, whose successors have their time before the next one.
fn day(seed: u64, sync: u64) -> Result<World, String> {
    let mut world = fleet(seed, sync, 1 + seed as usize % 2, None)?;
    world.hire(2);
    for _ in 0..3 {
        let scenario = STORIES[world.below(STORIES.len() as u64) as usize];
        scenario(&mut world, sync)?;
        world.lose_holders()?;
        world.probe()?;
        world.heal();
        world.newcomers(world.failures);
        world.run(sync)?;
    }
    world.lose_holders()?;
    world.probe()?;
    Ok(world)
}

fn more_seeds() -> u64 {
    std::env::var("CONSENSUS_TURNOVERS").ok().and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// What was broken over some seeds and all spans.
fn broken(play: impl Fn(u64, u64) -> Result<World, String>, seeds: u64) -> Vec<String> {
    let all = (0..seeds).flat_map(|seed| SYNCS.map(|sync| (seed, sync)));
    let what = all.filter_map(|(seed, sync)| {
        let what = play(seed, sync).err()?;
        Some(format!("seed {seed}, sync {sync}: {what:.300}"))
    });
    what.collect()
}

fn holds(scenario: Scenario) {
    let found = broken(|seed, sync| and_losses(scenario, seed, sync, None), 60 + more_seeds());
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

fn finds(scenario: Scenario, injected_fault: InjectedFault, rules: &[&str]) {
    let found = broken(|seed, sync| and_losses(scenario, seed, sync, Some(injected_fault)), 30);
    assert!(!found.is_empty(), "{injected_fault:?} was not found");
    println!("{injected_fault:?}: {} of 90, {:.200}", found.len(), found[0]);
    let named = |what: &String| rules.iter().any(|rule| what.contains(rule));
    assert!(found.iter().all(named), "{injected_fault:?}:\n{}", found.join("\n"));
}

#[test]
fn a_member_shuts_down_when_others_have_its_vote_and_its_copy() {
    holds(replaced_after_a_wait);
}

#[test]
fn others_may_be_lost_after_a_replacement() {
    holds(replaced);
}

#[test]
fn others_may_be_lost_after_a_replacement_by_a_late_newcomer() {
    holds(replaced_late);
}

#[test]
fn others_may_be_lost_after_losses() {
    holds(lost);
}

#[test]
fn others_may_be_lost_after_a_rolling_restart() {
    holds(rolled);
}

#[test]
fn others_may_be_lost_after_two_wipes_in_a_row() {
    holds(wiped_twice);
}

#[test]
fn a_newcomer_needs_one_living_seed() {
    holds(joined_by_old_seeds);
}

#[test]
fn days_of_planned_changes() {
    let found = broken(day, 60 + more_seeds());
    assert!(found.is_empty(), "{}:\n{}", found.len(), found.join("\n"));
}

#[test]
fn a_member_that_shuts_down_at_once_is_missed() {
    finds(replaced_after_a_wait, InjectedFault::ShutDownAtOnce, &["no primary"]);
}

#[test]
fn a_departing_member_that_keeps_its_place_is_missed() {
    finds(replaced_after_a_wait, InjectedFault::KeepDepartingMembers, &["no primary"]);
}

#[test]
fn a_place_that_is_kept_for_long_is_missed() {
    finds(lost, InjectedFault::SlowReplacement, &["no primary"]);
}

#[test]
fn a_configuration_names_no_holder_without_the_state() {
    let lax = |seed, sync| {
        let mut world = World::new(seed, 3, 1, Some(InjectedFault::SkipRewriteUnderNewTerm));
        world.checks_holders = true;
        replaced(&mut world, sync).map(|()| world)
    };
    let found = broken(lax, 1);
    assert!(!found.is_empty() && found.iter().all(|what| what.contains("holders")), "{}", found.join("\n"));
}

/// A member that restarts in place keeps its vote, and ends soon.
#[test]
fn a_restart_in_place_is_quick_and_changes_no_member() {
    for seed in 0..60 {
        let scenario = || {
            let mut world = calm(seed, 3, 1, None)?;
            let before = world.decided().ok_or("no record")?.members;
            let machine = world.some_member()?;
            world.act(Act::Shutdown(machine, AfterShutdown::Restart));
            world.run_until_ended(machine)?;
            ensure(world.longest_shutdown <= 600, &format!("it took {} ms to end", world.longest_shutdown))?;
            commit_change(&mut world, 400)?;
            world.run(1_000)?;
            let after = world.decided().ok_or("no record")?.members;
            ensure(before == after, "the members have changed")?;
            current_primary(&world).map(|_| ())
        };
        scenario().unwrap_or_else(|what: String| panic!("seed {seed}: {what}"));
    }
}

/// Without a primary nobody lets a leaver go: it ends by itself, well before its grace.
#[test]
fn a_member_that_nobody_hears_shuts_down() {
    for seed in 0..20 {
        let scenario = || {
            let mut world = calm(seed, 3, 1, None)?;
            let all = world.standing();
            for machine in &all {
                world.act(Act::Shutdown(*machine, AfterShutdown::Restart));
            }
            world.run(5_000)?;
            ensure(
                (2_500..=2_700).contains(&world.longest_shutdown),
                &format!("{} ms", world.longest_shutdown),
            )?;
            commit_change(&mut world, 400).map(|_| ())
        };
        scenario().unwrap_or_else(|what: String| panic!("seed {seed}: {what}"));
    }
}
