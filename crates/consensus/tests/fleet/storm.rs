//! Storms: troubles come and go at any moment, and the spans of the nodes are anything. Only what must always hold is asked.

use mosshead_consensus::{InjectedFault, Timings};
use mosshead_time::Duration;

use crate::day::Act;
use crate::world::World;

fn any_timings(world: &mut World) -> Timings {
    let mut between = |low: u64, high: u64| Duration::from_millis(low + world.below(high - low + 1));
    Timings {
        heartbeat_interval: between(30, 100),
        suspicion_timeout: between(100, 600),
        lease: between(100, 20_000),
        replacement_timeout: between(150, 2_500),
        backup_write_timeout: between(50, 400),
        local_write_timeout: between(100, 5_000),
        unhealthy_write_timeout: between(50, 400),
        disk_retry_interval: between(50, 1_000),
        request_timeout: Timings::default().request_timeout,
        take_over_step_timeout: between(100, 2_000),
        resend_interval: between(30, 200),
        state_resend_interval: between(50, 400),
        bootstrap_timeout: between(0, 1_500),
    }
}

impl World {
    /// One small change of what works and what doesn't.
    fn gust(&mut self) {
        let all = self.standing();
        let machine = all[self.below(all.len() as u64) as usize];
        let other = all[self.below(all.len() as u64) as usize];
        match self.below(31) {
            0 | 1 => self.kill(machine, false),
            2 => self.kill(machine, true),
            3 => all.into_iter().for_each(|m| self.kill(m, true)),
            4..=7 => all.into_iter().for_each(|m| self.start(m)),
            8 => self.act(Act::Freeze(vec![machine])),
            9 | 10 => self.thaw(machine),
            11..=13 => {
                self.cuts.insert((machine, other));
            }
            14 => {
                let links = all.into_iter().flat_map(|m| [(m, machine), (machine, m)]);
                self.cuts.extend(links);
            }
            15 | 16 => self.cuts.clear(),
            28 | 29 => {
                self.held_links.insert((machine, other));
            }
            30 => self.release_links(),
            17 => {
                let span = self.below(800);
                self.act(Act::Stall(vec![machine], span));
            }
            18 => self.machines[machine].disk.full = !self.machines[machine].disk.full,
            19..=23 => {
                let kind = self.below(self.kind_loss.len() as u64) as usize;
                self.kind_loss[kind] = [300, 800, 1_000][self.below(3) as usize];
            }
            24..=26 => self.kind_loss.fill(0),
            _ => self.step(machine, mosshead_consensus::Input::ShutDown),
        }
    }

    /// A time without trouble; says whether the fleet is whole after it, so that disks may be lost.
    fn calm(&mut self) -> Result<bool, String> {
        let noise = std::mem::take(&mut self.noise);
        self.armed = None;
        self.kind_loss.fill(0);
        self.heal();
        self.run(4_600)?;
        self.noise = noise;
        let standing = self.standing();
        let wanted = standing.len().min(2 * self.failures + 1);
        let Some(record) = self.primary().and_then(|p| self.node(p)).and_then(|n| n.epoch_config()).cloned()
        else {
            return Ok(false);
        };
        let alive = |m: &&mosshead_consensus::Member| {
            standing.iter().any(|s| self.node(*s).is_some_and(|n| n.local_member() == **m))
        };
        let here = record.members.iter().filter(alive).count();
        Ok(!record.is_joint() && here == wanted && record.members.len() == wanted)
    }
}

/// A whole storm by its seed.
pub(crate) fn play(seed: u64, injected_fault: Option<InjectedFault>) -> Result<World, String> {
    let (machines, failures) = match seed % 4 {
        0 => (5, 2),
        1 | 2 => (4, 1),
        _ => (3, 1),
    };
    let mut world = World::new(seed ^ 0x5707, machines, failures, injected_fault);
    let storm = |world: &mut World| -> Result<(), String> {
        let timings = any_timings(world);
        world.machines.iter_mut().for_each(|m| m.settings.timings = timings.clone());
        world.noise = [5, 50, 150][world.below(3) as usize];
        world.disk_span = [4, 30, 150][world.below(3) as usize];
        let quiet = world.below(3) == 0;
        let mut may_lose = false;
        for _ in 0..4 {
            if !quiet || world.below(3) == 0 {
                world.hire(2 + (seed % 3) as usize);
            }
            for _ in 0..40 {
                world.gust();
                let span = world.below(200);
                world.run(span)?;
                if may_lose && world.below(15) == 0 {
                    may_lose = false;
                    let act = match world.below(4) {
                        0 => Act::WipePrimary(failures - 1),
                        1 => Act::WipeAndPower(world.some(failures)),
                        2 => Act::Wipe(world.some(failures)),
                        _ => Act::Replace(world.some(failures)),
                    };
                    world.act(act);
                }
            }
            if quiet {
                world.dismiss();
            }
            may_lose = world.calm()?;
            if may_lose && world.below(2) == 0 {
                may_lose = false;
                world.arm();
            }
        }
        // Whoever comes back with the usual spans has kept everything.
        world.dismiss();
        for machine in world.standing() {
            world.kill(machine, false);
        }
        world.machines.iter_mut().for_each(|m| m.settings.timings = Timings::default());
        world.armed = None;
        world.disk_span = 4;
        world.noise = 0;
        world.heal();
        world.run(3_500)?;
        world.settle()
    };
    match storm(&mut world) {
        Ok(()) => Ok(world),
        Err(what) => Err(format!("storm {seed}: {what}")),
    }
}
