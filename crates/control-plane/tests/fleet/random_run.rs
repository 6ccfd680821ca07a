//! A short day: one trouble after another, then calm, in which all has to come back.

use crate::messages::Party;
use crate::operator::Operator;
use crate::simulation::{Event, Mutant, World, address};

/// A machine that is back is in sync after so long.
const SYNC_MS: u64 = 5_000;
const CALM_MS: u64 = 10_000;
/// A proxy in touch has an acknowledged configuration in force within this.
const CONFIG_BOUND_MS: u64 = 4_000;

#[derive(Clone, Debug)]
pub enum Act {
    Thaw(Party),
    Heal,
    Start(usize),
    StartAll,
    /// So many machines, the primary first, lose their processes, or their disks with them.
    LosePrimary {
        count: usize,
        wipe: bool,
        back: u64,
    },
    /// As many machines that hold a server's word as may be lost are lost, and the server ends. Only where it was
    /// acknowledged by this machine, if one is named.
    LoseHolders {
        only: Option<usize>,
        word: Option<Word>,
    },
}

/// A leaving server's word, at the moment of its acknowledgement.
#[derive(Clone, Debug)]
pub struct Word {
    core: usize,
    server: usize,
    id: String,
}

impl Act {
    /// Whether the act is meant for an acknowledgement by this machine.
    pub fn is_for(&self, core: usize) -> bool {
        !matches!(self, Act::LoseHolders { only: Some(only), .. } if *only != core)
    }

    /// The same act, once it is known whose word was acknowledged where.
    pub fn after_drain(self, core: usize, server: usize, id: &str) -> Act {
        match self {
            Act::LoseHolders { only, .. } => {
                Act::LoseHolders { only, word: Some(Word { core, server, id: id.to_owned() }) }
            }
            other => other,
        }
    }
}

/// Plays the day of a seed.
pub fn play(seed: u64, mutant: Mutant) -> Result<World, String> {
    let mut world = World::new(seed, 1 + (seed % 2) as usize, mutant);
    let day = world.play_day();
    day.map_err(|what| format!("seed {seed}: {what}"))?;
    Ok(world)
}

impl World {
    fn play_day(&mut self) -> Result<(), String> {
        self.run(5_000)?;
        for _ in 0..6 {
            self.trouble();
            let pause = 500 + self.below(7_000);
            self.run(pause)?;
        }
        self.calm()
    }

    /// All is well from now on: everything that was promised is there, and work goes on.
    pub fn calm(&mut self) -> Result<(), String> {
        self.after_change = None;
        self.after_drain = None;
        self.heal_all();
        let accepted = self.ledger.accepted_count();
        self.run(CALM_MS)?;
        let (now, reads) = (self.now, self.ledger.reads);
        if self.ledger.accepted_count() == accepted {
            return Err(format!("at {now}: no change was accepted in the calm"));
        }
        let wanted = self.ledger.acknowledged_by(now - CONFIG_BOUND_MS);
        for (index, proxy) in self.proxies.iter().enumerate() {
            let revision = proxy.config.as_ref().map_or(0, |config| config.revision);
            if revision < wanted {
                return Err(format!("at {now}: proxy {index} has {revision}, and {wanted} was acknowledged"));
            }
        }
        self.operators.iter_mut().for_each(Operator::read_back_next);
        self.run(3_000)?;
        if self.ledger.reads == reads {
            return Err("nothing was read back in the calm".into());
        }
        Ok(())
    }

    fn heal_all(&mut self) {
        self.act(Act::Heal);
        let frozen: Vec<Party> = self.network.frozen.keys().copied().collect();
        frozen.into_iter().for_each(|party| self.act(Act::Thaw(party)));
        self.act(Act::StartAll);
    }

    fn trouble(&mut self) {
        match self.below(12) {
            0 | 1 => self.cut_some(),
            2 => self.freeze_some(),
            3 => self.lose_some(false),
            4 => self.lose_some(true),
            5 => self.replace_one(),
            6 => self.power(),
            7 => self.proxy_trouble(),
            8 => self.split(),
            9 | 10 => {
                let (count, wipe, back) = (1 + self.below(2) as usize, self.below(2) == 0, self.below(2_500));
                self.after_change = Some(Act::LosePrimary { count, wipe, back });
            }
            _ => self.after_drain = Some(Act::LoseHolders { only: None, word: None }),
        }
    }

    /// Whether a control machine is in trouble, or not in sync after one.
    fn is_lost(&self, core: usize) -> bool {
        self.is_disturbed_since(Party::Control(core), self.now.saturating_sub(SYNC_MS))
    }

    /// Machines that may be lost now; half of the time the primary is the first.
    fn pick_to_lose(&mut self, most: usize) -> Vec<usize> {
        let standing = self.standing();
        let room = self.failures.saturating_sub(standing.iter().filter(|core| self.is_lost(**core)).count());
        let mut sound: Vec<usize> = standing.into_iter().filter(|core| !self.is_lost(*core)).collect();
        let mut chosen: Vec<usize> = Vec::new();
        if self.below(2) == 0 {
            chosen.extend(self.primary().filter(|core| sound.contains(core)));
        }
        while chosen.len() < sound.len() {
            let at = self.below(sound.len() as u64) as usize;
            let core = sound.swap_remove(at);
            if !chosen.contains(&core) {
                chosen.push(core);
            }
        }
        chosen.truncate(room.min(most));
        chosen
    }

    fn span(&mut self) -> u64 {
        match self.below(3) {
            0 => 200 + self.below(1_500),
            1 => 1_500 + self.below(5_000),
            _ => 20_000,
        }
    }

    fn cut_some(&mut self) {
        let most = 1 + self.below(2) as usize;
        let cores = self.pick_to_lose(most);
        if cores.is_empty() {
            return;
        }
        let proxies: Vec<usize> = (0..self.proxies.len()).filter(|_| self.rng_flag()).collect();
        let restart = self.below(2) == 0;
        for &proxy in &proxies {
            // Often with seeds on its own side only.
            if restart {
                let seeds: Vec<_> = cores.iter().map(|core| address(*core)).collect();
                self.start_proxy(proxy, &seeds);
            }
        }
        let side: Vec<Party> = cores
            .iter()
            .map(|c| Party::Control(*c))
            .chain(proxies.iter().map(|p| Party::Proxy(*p)))
            .collect();
        let rest: Vec<Party> = self.inner_parties().into_iter().filter(|p| !side.contains(p)).collect();
        match self.below(4) {
            0 => self.cut_one_way(&side, &rest),
            1 => self.cut_one_way(&rest, &side),
            _ => self.cut_between(&side, &rest),
        }
        self.cut_off.extend(side.iter().copied());
        self.trace(|| format!("cut {side:?}, {} links", self.network.cuts.len()));
        let span = self.span();
        self.after(span, Event::Act(Act::Heal));
    }

    fn rng_flag(&mut self) -> bool {
        self.below(3) == 0
    }

    fn inner_parties(&self) -> Vec<Party> {
        let cores = self.standing().into_iter().map(Party::Control);
        cores.chain((0..self.proxies.len()).map(Party::Proxy)).collect()
    }

    fn freeze_some(&mut self) {
        let most = 1 + self.below(2) as usize;
        for core in self.pick_to_lose(most) {
            self.trace(|| format!("freeze control machine {core}"));
            self.freeze(Party::Control(core));
            let span = self.span();
            self.after(span, Event::Act(Act::Thaw(Party::Control(core))));
        }
    }

    fn lose_some(&mut self, wipe: bool) {
        let most = 1 + self.below(2) as usize;
        let cores = self.pick_to_lose(most);
        let back = 100 + self.below(3_000);
        self.lose(&cores, wipe, back);
    }

    fn lose(&mut self, cores: &[usize], wipe: bool, back: u64) {
        self.trace(|| format!("lose {cores:?}, disks too: {wipe}, back after {back}"));
        for &core in cores {
            if wipe {
                self.wipe_core(core)
            } else {
                self.kill_core(core)
            }
            self.after(back, Event::Act(Act::Start(core)));
        }
    }

    fn replace_one(&mut self) {
        let Some(core) = self.pick_to_lose(1).first().copied() else { return };
        self.trace(|| format!("replace {core}"));
        self.kill_core(core);
        self.cores[core].is_gone = true;
        let newcomer = self.add_core(false);
        let back = self.below(2_000);
        self.after(back, Event::Act(Act::Start(newcomer)));
    }

    fn power(&mut self) {
        self.trace(|| "power".to_owned());
        for core in self.running() {
            self.kill_core(core);
        }
        let back = 100 + self.below(2_000);
        self.after(back, Event::Act(Act::StartAll));
    }

    fn proxy_trouble(&mut self) {
        let proxy = self.below(self.proxies.len() as u64) as usize;
        self.trace(|| format!("trouble for proxy {proxy}"));
        if self.below(2) == 0 {
            let seeds: Vec<_> = (0..3).map(address).collect();
            self.start_proxy(proxy, &seeds);
        } else {
            self.freeze(Party::Proxy(proxy));
            let span = self.span();
            self.after(span, Event::Act(Act::Thaw(Party::Proxy(proxy))));
        }
    }

    /// Every control machine for itself.
    fn split(&mut self) {
        let cores: Vec<Party> = self.standing().into_iter().map(Party::Control).collect();
        self.trace(|| "split".to_owned());
        self.cut_between(&cores, &cores);
        self.cut_off.extend(cores);
        let span = 500 + self.below(5_000);
        self.after(span, Event::Act(Act::Heal));
    }

    pub fn act(&mut self, act: Act) {
        self.trace(|| format!("{act:?}"));
        match act {
            Act::Thaw(party) => {
                self.note_disturbed(party);
                self.thaw(party);
            }
            Act::Heal => {
                self.heal();
                let cut_off = std::mem::take(&mut self.cut_off);
                cut_off.into_iter().for_each(|party| self.note_disturbed(party));
            }
            Act::Start(core) => self.start_core(core),
            Act::StartAll => self.standing().into_iter().for_each(|core| self.start_core(core)),
            Act::LosePrimary { count, wipe, back } => {
                let Some(primary) = self.primary() else { return };
                let mut cores = self.pick_to_lose(count);
                if !cores.is_empty() && !cores.contains(&primary) && self.cores[primary].disturbed < self.now
                {
                    cores[0] = primary;
                }
                self.lose(&cores, wipe, back);
            }
            Act::LoseHolders { word, .. } => self.lose_holders(word),
        }
    }

    fn lose_holders(&mut self, word: Option<Word>) {
        let Some(Word { core, server, id }) = word else { return };
        let has_word = |core: &usize| {
            let process = self.cores[*core].process.as_ref();
            let entry = process.and_then(|process| process.register.get(&id));
            entry.is_some_and(|entry| entry.state > mosshead_registry::OperState::Up)
        };
        let mut cores = vec![core];
        cores.extend(self.running().into_iter().filter(|other| *other != core).filter(has_word));
        let others = self.standing().into_iter().filter(|other| *other != core);
        let lost = others.filter(|other| self.is_lost(*other)).count();
        cores.truncate(self.failures.saturating_sub(lost));
        self.end_server(server, &id);
        self.lose(&cores, false, 6_000);
    }
}
