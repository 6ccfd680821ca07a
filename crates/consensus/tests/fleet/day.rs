//! What may happen to the machines, and days full of it by seed.

use mosshead_consensus::{InjectedFault, Input, Node};

use crate::checker::Kind;
use crate::world::{AfterShutdown, Event, Shutdown, World, address};

#[derive(Clone, Debug)]
pub(crate) enum Act {
    Start(usize),
    Kill(Vec<usize>),
    Power(Vec<usize>),
    /// The disks are lost with the processes.
    Wipe(Vec<usize>),
    /// Some disks are lost, all others lose power.
    WipeAndPower(Vec<usize>),
    /// The primary and so many others lose their disks.
    WipePrimary(usize),
    /// The machines are gone for good; others come at new addresses.
    Replace(Vec<usize>),
    Freeze(Vec<usize>),
    /// Messages from the first to the second are lost.
    Cut(Vec<(usize, usize)>),
    /// Messages from the first to the second are held back; a few of them come when the link works again.
    Hold(Vec<(usize, usize)>),
    Stall(Vec<usize>, u64),
    Full(Vec<usize>),
    Terminate(usize),
    /// The machine is told to end, and does when it may, or at its grace.
    Shutdown(usize, AfterShutdown),
    Seeds,
}

impl Act {
    fn loses_disks(&self) -> bool {
        matches!(self, Act::Wipe(_) | Act::WipeAndPower(_) | Act::WipePrimary(_) | Act::Replace(_))
    }
}

impl World {
    pub(crate) fn act(&mut self, act: Act) {
        if self.trace {
            println!("{} ACT {act:?}", self.now);
        }
        match act {
            Act::Start(machine) => self.start(machine),
            Act::Kill(machines) => machines.into_iter().for_each(|m| self.kill(m, false)),
            Act::Power(machines) => machines.into_iter().for_each(|m| self.kill(m, true)),
            Act::Wipe(machines) => machines.into_iter().for_each(|m| self.wipe(m)),
            Act::WipeAndPower(machines) => {
                for machine in self.standing() {
                    self.kill(machine, true);
                }
                machines.into_iter().for_each(|m| self.wipe(m));
            }
            Act::WipePrimary(others) => {
                let first = self.primary();
                let mut machines: Vec<usize> = first.into_iter().collect();
                while machines.len() < others + 1 {
                    let standing = self.standing();
                    let other = standing[self.below(standing.len() as u64) as usize];
                    if !machines.contains(&other) {
                        machines.push(other);
                    }
                }
                machines.into_iter().for_each(|m| self.wipe(m));
            }
            Act::Replace(machines) => {
                for machine in machines {
                    self.kill(machine, true);
                    self.machines[machine].gone = true;
                    let new = self.add_machine(false);
                    self.machines[new].settings.seeds = self.some_seeds();
                    let span = self.below(2_000);
                    self.after(span, Event::Act(Act::Start(new)));
                }
            }
            Act::Freeze(machines) => machines.into_iter().for_each(|m| self.machines[m].frozen = true),
            Act::Cut(links) => self.cuts.extend(links),
            Act::Hold(links) => self.held_links.extend(links),
            Act::Stall(machines, span) => {
                machines.into_iter().for_each(|m| self.machines[m].disk.stalled_until = self.now + span);
            }
            Act::Full(machines) => machines.into_iter().for_each(|m| self.machines[m].disk.full = true),
            Act::Terminate(machine) => {
                self.step(machine, Input::ShutDown);
                let span = 200 + self.below(1_500);
                self.after(span, Event::Act(Act::Kill(vec![machine])));
                let pause = self.below(500);
                self.after(span + pause, Event::Act(Act::Start(machine)));
            }
            Act::Shutdown(machine, then) => {
                self.machines[machine].shutdown = Some(Shutdown { since: self.now, then });
                self.step(machine, Input::ShutDown);
            }
            Act::Seeds => {
                let seeds = self.some_seeds();
                for machine in self.running() {
                    self.step(machine, Input::Seeds(seeds.clone()));
                }
            }
        }
    }

    pub(crate) fn wipe(&mut self, machine: usize) {
        self.kill(machine, true);
        self.machines[machine].disk.wipe();
        self.machines[machine].settings.seeds = self.some_seeds();
        self.machines[machine].settings.bootstrap = false;
    }

    pub(crate) fn some_seeds(&mut self) -> Vec<std::net::SocketAddrV4> {
        let standing = self.standing();
        let first = self.below(standing.len() as u64) as usize;
        (0..3).map(|i| address(standing[(first + i) % standing.len()])).collect()
    }

    /// Everything works again.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.release_links();
        for machine in self.standing() {
            let m = &mut self.machines[machine];
            m.disk.stalled_until = 0;
            m.disk.full = false;
            if m.frozen {
                self.thaw(machine);
            }
            if m_is_down(self, machine) {
                let span = self.below(600);
                self.after(span, Event::Act(Act::Start(machine)));
            }
        }
    }

    pub(crate) fn some(&mut self, most: usize) -> Vec<usize> {
        let mut all = self.standing();
        let wanted = 1 + self.below(most.max(1) as u64) as usize;
        while all.len() > wanted {
            let index = self.below(all.len() as u64) as usize;
            all.swap_remove(index);
        }
        all
    }

    fn random_cut(&mut self) -> Act {
        let all = self.standing();
        let kind = self.below(5);
        let side: Vec<usize> = self.some(all.len() - 1);
        let mut links = Vec::new();
        for from in &all {
            for to in all.iter().filter(|to| *to != from) {
                let (a, b) = (side.contains(from), side.contains(to));
                let cut = match kind {
                    0 => a != b,
                    1 => a && !b,
                    2 => self.below(3) == 0,
                    3 => (*from == side[0]) != (*to == side[0]),
                    _ => *from == side[0],
                };
                if cut {
                    links.push((*from, *to));
                }
            }
        }
        Act::Cut(links)
    }

    /// Some trouble. Disks are lost only after the fleet had time to make up for the last loss.
    fn random_act(&mut self, may_lose_disks: bool) -> Act {
        let all = self.standing();
        let f = self.failures;
        match self.below(if may_lose_disks { 18 } else { 14 }) {
            0 => Act::Kill(self.some(all.len())),
            1 => Act::Kill(all),
            2 => Act::Power(all),
            3 => Act::Power(self.some(f)),
            4 => Act::Freeze(self.some(f + 1)),
            5..=7 => self.random_cut(),
            8 => {
                let span = self.below(6_000);
                Act::Stall(self.some(f), span)
            }
            9 => Act::Full(self.some(f)),
            10 => Act::Full(self.some(all.len())),
            11 => Act::Terminate(self.some(1)[0]),
            12 => Act::Seeds,
            13 => match self.random_cut() {
                Act::Cut(links) => Act::Hold(links),
                other => other,
            },
            14 => Act::Wipe(self.some(f)),
            15 => Act::WipeAndPower(self.some(f)),
            16 => Act::WipePrimary(f - 1),
            _ => Act::Replace(self.some(f)),
        }
    }

    /// What may strike at the moment of an acknowledgement.
    pub(crate) fn arm(&mut self) {
        let all = self.standing();
        let f = self.failures;
        self.armed = Some(match self.below(6) {
            0 => Act::WipePrimary(f - 1),
            1 => Act::WipeAndPower(self.some(f)),
            2 => Act::Power(all),
            3 => Act::Kill(all),
            4 => Act::Replace(self.primary().into_iter().collect()),
            _ => Act::Freeze(self.primary().into_iter().collect()),
        });
    }

    /// In calm, a change sent to the primary is answered, and an old read is never given.
    pub(crate) fn probe(&mut self) -> Result<(), String> {
        let noise = std::mem::take(&mut self.noise);
        self.run(2_500)?;
        let Some(primary) = self.primary() else {
            return Err(format!("at {}: liveness: no primary", self.now));
        };
        // Operators race: somebody's change gets through.
        let taken = self.checker.taken;
        let change = self.fresh_change(primary);
        let request_id = self.send_request(primary, Kind::Change(change));
        let read = self.send_request(primary, Kind::Read);
        self.run(700)?;
        let (change, read) = (self.checker.reply(request_id).cloned(), self.checker.reply(read).cloned());
        use mosshead_consensus::ClientReply::{ChangeCommitted, CurrentState, Stale};
        let change_fine = matches!(change, Some(ChangeCommitted { .. } | Stale { .. }));
        if !change_fine || !matches!(read, Some(CurrentState { .. })) || self.checker.taken == taken {
            return Err(format!("at {}: liveness: m{primary} answered {change:?}, {read:?}", self.now));
        }
        self.noise = noise;
        Ok(())
    }

    /// So many machines as may be lost are in trouble, and stay so: the others go on.
    fn lasting_trouble(&mut self) -> Result<(), String> {
        let bad = self.some(self.failures);
        let others: Vec<usize> = self.standing().into_iter().filter(|m| !bad.contains(m)).collect();
        let out = bad.iter().flat_map(|b| others.iter().map(move |o| (*b, *o)));
        let back = bad.iter().flat_map(|b| others.iter().map(move |o| (*o, *b)));
        let act = match self.below(9) {
            8 => Act::Hold(out.chain(back).collect()),
            0 => Act::Kill(bad),
            1 => Act::Freeze(bad),
            2 => Act::Cut(out.chain(back).collect()),
            3 => Act::Cut(out.collect()),
            4 => Act::Cut(back.collect()),
            5 => Act::Full(bad),
            6 => Act::Terminate(bad[0]),
            _ => Act::Stall(bad, 8_000),
        };
        let (spare, named) = (self.below(400), format!("{act:?}"));
        self.run(spare)?;
        self.act(act);
        self.probe().map_err(|what| format!("{what} with {named:.60}"))?;
        let more = self.below(3_000);
        self.run(more)?;
        self.heal();
        self.run(700)
    }

    /// In a long calm, all know all.
    pub(crate) fn settle(&mut self) -> Result<(), String> {
        self.dismiss();
        self.armed = None;
        self.noise = 0;
        self.run(5_000)?;
        let standing = self.standing();
        let newest = self.checker.acknowledged;
        let primary = self.primary();
        for machine in &standing {
            let Some(node) = self.node(*machine) else { return Err(format!("m{machine} doesn't run")) };
            let committed = node.committed_state().map(|s| s.revision);
            let members = node.members().len();
            let wanted = standing.len().min(2 * self.failures + 1);
            let member = |m: &usize| {
                self.node(*m).is_some_and(|n| node.members().iter().any(|other| *other == n.local_member()))
            };
            let alive = standing.iter().filter(|m| member(m)).count();
            let led = node.primary().map(|p| p.address) == primary.map(|p| self.machines[p].address);
            if committed < Some(newest)
                || members != wanted
                || alive != wanted
                || !self.in_touch(*machine)
                || !led
            {
                let now = self.now;
                return Err(format!(
                    "at {now}: settled: m{machine} has {committed:?} of {newest}, {members} members, {alive} alive, \
                     led {led}, in touch {}",
                    self.in_touch(*machine)
                ));
            }
        }
        let reads: Vec<u64> = primary.into_iter().map(|p| self.send_request(p, Kind::Read)).collect();
        self.run(300)?;
        match reads.first().and_then(|r| self.checker.reply(*r)) {
            Some(mosshead_consensus::ClientReply::CurrentState { .. }) => Ok(()),
            other => Err(format!("at {}: settled: read {other:?}", self.now)),
        }
    }
}

fn m_is_down(world: &World, machine: usize) -> bool {
    world.machines[machine].node.is_none()
}

/// A whole day by its seed.
pub(crate) fn play(seed: u64, injected_fault: Option<InjectedFault>) -> Result<World, String> {
    let (machines, failures) = match seed % 4 {
        0 => (5, 2),
        1 => (4, 1),
        _ => (3, 1),
    };
    let mut world = World::new(seed, machines, failures, injected_fault);
    world.hire(2);
    let day = |world: &mut World| -> Result<(), String> {
        if seed.is_multiple_of(3) {
            // Trouble while the founders look for each other.
            let span = world.below(900);
            world.run(span)?;
            let act = match world.below(4) {
                0 => Act::Kill(world.standing()),
                1 => Act::Power(world.standing()),
                2 => Act::Kill(world.some(2)),
                _ => world.random_cut(),
            };
            let starts = world.below(2) == 0;
            if starts && world.running().len() == machines && all_named(world) {
                world.machines.iter_mut().for_each(|m| m.settings.bootstrap = false);
            }
            world.act(act);
            let span = world.below(2_000);
            world.run(span)?;
            world.heal();
        }
        // The time by which the founders have all started.
        world.run(600)?;
        world.probe()?;
        let mut calm_since = world.now;
        for _ in 0..6 {
            let calm = world.below(1_500);
            world.run(calm)?;
            let fresh = world.now - calm_since >= 4_000;
            if world.below(3) == 0 && fresh {
                world.arm();
                world.run(1_000)?;
                world.armed = None;
            } else {
                for _ in 0..1 + world.below(2) {
                    let down =
                        (0..world.machines.len()).any(|m| m_is_down(world, m) && !world.machines[m].gone);
                    let act = world.random_act(fresh && !down);
                    let ends = act.loses_disks();
                    world.act(act);
                    if ends {
                        break;
                    }
                }
            }
            let span = world.below(4_000);
            world.run(span)?;
            world.heal();
            world.run(700)?;
            calm_since = world.now;
            match world.below(4) {
                0 => world.probe()?,
                1 => world.run(4_500)?,
                2 => {
                    // The fleet makes up for lost disks first.
                    world.run(4_600)?;
                    world.lasting_trouble()?;
                    calm_since = world.now;
                }
                _ => {}
            }
        }
        // Whatever ends the day.
        world.run(4_500)?;
        if world.below(2) == 0 {
            world.arm();
        }
        world.run(1_500)?;
        world.heal();
        world.run(2_600)?;
        world.probe()?;
        world.settle()
    };
    match day(&mut world) {
        Ok(()) => Ok(world),
        Err(what) => Err(format!("seed {seed}: {what}")),
    }
}

/// Whether all machines have their numbers on disk.
fn all_named(world: &World) -> bool {
    world.machines.iter().all(|m| !m.disk.records.is_empty())
        && world.running().iter().all(|m| world.node(*m).map(Node::local_member).is_some())
}
