//! All states of a few members, a store and what they act upon, stepped through the very code.

use std::collections::BTreeMap;

use mosshead_lease::{Act, Duty, Event, Instant, Lease, Standing, Terms, Token, Why, Word};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A lease lasts so many steps of time.
const LEASE: u64 = 2;

const ONE: &str = "one at a time may act";
const NO_OLDER: &str = "no older token after a newer one";
const ACTS: &str = "somebody acts";

/// What the world does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// Whoever is acted upon takes any token.
    TakesAnyToken,
    /// The members' clock stands still while they are stopped.
    ClockStops,
    /// A release takes the duty from whoever has it.
    ReleasesAny,
    /// A gap in a watch is not told.
    HidesGaps,
    /// A renewal is counted from its answer.
    CountsFromAnswer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ask {
    Look(u8),
    Take { call: u64, epoch: u64 },
    Renew { call: u64, lease: Lease },
    Release(Lease),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Told(Event),
    Word(u8, Word),
    Gap(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    duty: Duty,
    stopped: bool,
    /// How far its clock is behind for having been stopped.
    behind: u64,
    wake: Option<Instant>,
    /// The look that counts, and whether the store still tells it of changes.
    look: u8,
    watched: bool,
    up: Vec<Ask>,
    /// Answers to calls, and what the watch tells: neither waits for the other.
    answers: Vec<Answer>,
    words: Vec<Answer>,
    /// It has seen that it may act, and is about to.
    about: Option<Token>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Store {
    id: u64,
    given: u64,
    at: Token,
    held: Option<(Lease, Token)>,
    leases: BTreeMap<u64, u64>,
    granted: u64,
}

impl Store {
    fn word(&self) -> Word {
        Word { store: self.id, given: self.given, at: self.at, held: self.held.map(|held| held.1) }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    members: Vec<Member>,
    store: Store,
    /// The newest token that was acted under, and by whom.
    acted: Token,
    by: Option<usize>,
    regressed: bool,
    stops: u8,
    losses: u8,
    restores: u8,
    gaps: u8,
    leaves: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    /// The store takes a member's oldest call.
    Serve(usize),
    Answer(usize),
    Hear(usize),
    /// The answer to a member's oldest call is lost, though it was carried out, or not.
    Lose(usize, bool),
    Stop(usize),
    GoOn(usize),
    Look(usize),
    Land(usize),
    /// The store is back with what it had at the beginning.
    Restore,
    /// Operators give the store that was brought back a higher epoch.
    Raise,
    /// A member's watch breaks.
    Break(usize),
    Leave(usize),
    Join(usize),
}

struct Setting {
    members: usize,
    until: u64,
    stops: u8,
    losses: u8,
    restores: u8,
    gaps: u8,
    leaves: u8,
    mutant: Mutant,
}

impl Setting {
    const QUIET: Setting = Setting {
        members: 2,
        until: 5,
        stops: 0,
        losses: 0,
        restores: 0,
        gaps: 0,
        leaves: 0,
        mutant: Mutant::None,
    };

    fn event(&self, world: &mut World, who: usize, event: Event) {
        let mut acts = Vec::new();
        let member = &mut world.members[who];
        let now = Instant(world.now - member.behind);
        member.duty.handle(now, event, 0, &mut acts);
        self.carry_out(world, who, acts);
    }

    fn carry_out(&self, world: &mut World, who: usize, acts: Vec<Act>) {
        let member = &mut world.members[who];
        for act in acts {
            match act {
                Act::Look => {
                    member.look += 1;
                    member.watched = false;
                    // What an earlier look or its watch would tell is not heard any more.
                    member.words.clear();
                    member.up.retain(|ask| !matches!(ask, Ask::Look(_)));
                    member.up.push(Ask::Look(member.look));
                }
                Act::Take { call, epoch } => member.up.push(Ask::Take { call, epoch }),
                Act::Renew { call, lease } => member.up.push(Ask::Renew { call, lease }),
                Act::Release(lease) => member.up.push(Ask::Release(lease)),
                Act::Wake(at) => member.wake = Some(at),
            }
        }
    }

    /// What the store does with a call.
    fn serve(&self, world: &mut World, who: usize, ask: Ask, answered: bool) {
        let store = &mut world.store;
        let before = (store.held, store.at.epoch);
        let answer = match ask {
            Ask::Look(look) => {
                let word = store.word();
                world.members[who].watched = answered;
                if answered {
                    world.members[who].words.push(Answer::Word(look, word));
                }
                None
            }
            Ask::Take { call, epoch } => {
                if store.held.is_none() && store.at.epoch == epoch {
                    store.granted += 1;
                    store.at.revision += 1;
                    let lease = Lease(store.granted);
                    store.leases.insert(store.granted, world.now + LEASE);
                    store.held = Some((lease, store.at));
                    Some(Event::Taken { call, store: store.id, token: store.at, lease })
                } else {
                    Some(Event::NotTaken { call })
                }
            }
            Ask::Renew { call, lease } => Some(match store.leases.get_mut(&lease.0) {
                Some(ends) => {
                    *ends = world.now + LEASE;
                    Event::Renewed { call }
                }
                None => Event::Ended { call },
            }),
            Ask::Release(lease) => {
                let known = store.leases.remove(&lease.0).is_some();
                let theirs = store.held.is_some_and(|held| held.0 == lease);
                if (known && theirs) || self.mutant == Mutant::ReleasesAny {
                    store.held = None;
                    store.at.revision += 1;
                }
                None
            }
        };
        if before != (world.store.held, world.store.at.epoch) {
            self.spread(world);
        }
        if let Some(event) = answer.filter(|_| answered) {
            world.members[who].answers.push(Answer::Told(event));
        }
    }

    /// Tells everybody who watches.
    fn spread(&self, world: &mut World) {
        let word = world.store.word();
        for member in world.members.iter_mut().filter(|member| member.watched) {
            member.words.push(Answer::Word(member.look, word));
        }
    }

    fn end_watch(&self, member: &mut Member) {
        if std::mem::replace(&mut member.watched, self.mutant == Mutant::HidesGaps) {
            match self.mutant {
                // What was to be told is lost, and nobody knows.
                Mutant::HidesGaps => member.words.clear(),
                _ => member.words.push(Answer::Gap(member.look)),
            }
        }
    }

    fn hear(&self, world: &mut World, who: usize, answer: Answer) {
        match answer {
            Answer::Told(Event::Renewed { call }) if self.mutant == Mutant::CountsFromAnswer => {
                // The same as if it had been sent now: it fails, is sent again, and that is answered at once.
                self.event(world, who, Event::Failed { call });
                world.members[who].wake = None;
                let member = &mut world.members[who];
                let mut acts = Vec::new();
                let now = Instant(world.now - member.behind);
                member.duty.handle(now, Event::Tick, 0, &mut acts);
                for act in acts {
                    if let Act::Renew { call, .. } = act {
                        self.event(world, who, Event::Renewed { call });
                    }
                }
            }
            Answer::Told(event) => self.event(world, who, event),
            Answer::Word(look, word) if look == world.members[who].look => {
                self.event(world, who, Event::Word(word));
            }
            Answer::Gap(look) if look == world.members[who].look => self.event(world, who, Event::Unheard),
            Answer::Word(..) | Answer::Gap(_) => {}
        }
    }
}

impl Model for Setting {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let terms = Terms { lease: LEASE, drift: 0, renew: 1, again: 0 };
        let member = Member {
            duty: Duty::new(terms),
            stopped: false,
            behind: 0,
            wake: None,
            look: 0,
            watched: false,
            up: Vec::new(),
            answers: Vec::new(),
            words: Vec::new(),
            about: None,
        };
        let mut world = World {
            now: 0,
            members: vec![member; self.members],
            store: Store {
                id: 1,
                given: 1,
                at: Token { epoch: 1, revision: 1 },
                held: None,
                leases: BTreeMap::new(),
                granted: 0,
            },
            acted: Token::default(),
            by: None,
            regressed: false,
            stops: self.stops,
            losses: self.losses,
            restores: self.restores,
            gaps: self.gaps,
            leaves: self.leaves,
        };
        (0..self.members).for_each(|who| self.event(&mut world, who, Event::Join));
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.until {
            steps.push(Step::Time);
        }
        if world.restores > 0 && world.store.held.is_some() {
            steps.push(Step::Restore);
        }
        if world.store.id != world.store.given {
            steps.push(Step::Raise);
        }
        for (who, member) in world.members.iter().enumerate() {
            if !member.up.is_empty() {
                steps.push(Step::Serve(who));
                if world.losses > 0 {
                    steps.extend([Step::Lose(who, true), Step::Lose(who, false)]);
                }
            }
            if member.watched && world.gaps > 0 {
                steps.push(Step::Break(who));
            }
            if member.stopped {
                steps.push(Step::GoOn(who));
                continue;
            }
            if !member.answers.is_empty() {
                steps.push(Step::Answer(who));
            }
            if !member.words.is_empty() {
                steps.push(Step::Hear(who));
            }
            let now = Instant(world.now - member.behind);
            match member.about {
                Some(_) => steps.push(Step::Land(who)),
                None if member.duty.permit(now).is_some() => steps.push(Step::Look(who)),
                None => {}
            }
            if world.stops > 0 {
                steps.push(Step::Stop(who));
            }
            match member.duty.standing(now) {
                Standing::Holder | Standing::Doubting if world.leaves > 0 => steps.push(Step::Leave(who)),
                Standing::Resting(Why::Left) => steps.push(Step::Join(who)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Time => {
                world.now += 1;
                for member in world.members.iter_mut().filter(|member| member.stopped) {
                    member.behind += u64::from(self.mutant == Mutant::ClockStops);
                }
                let now = world.now;
                world.store.leases.retain(|_, ends| *ends > now);
                let store = &mut world.store;
                if store.held.is_some_and(|held| !store.leases.contains_key(&held.0.0)) {
                    store.held = None;
                    store.at.revision += 1;
                    self.spread(&mut world);
                }
                for who in 0..self.members {
                    let member = &world.members[who];
                    let due = member.wake.is_some_and(|at| at.0 <= now - member.behind);
                    if due && !member.stopped {
                        world.members[who].wake = None;
                        self.event(&mut world, who, Event::Tick);
                    }
                }
            }
            Step::Serve(who) => {
                let ask = world.members[who].up.remove(0);
                self.serve(&mut world, who, ask, true);
            }
            Step::Lose(who, done) => {
                world.losses -= 1;
                let ask = world.members[who].up.remove(0);
                if done {
                    self.serve(&mut world, who, ask, false);
                }
                let member = &mut world.members[who];
                match ask {
                    Ask::Look(look) => member.words.push(Answer::Gap(look)),
                    Ask::Take { call, .. } | Ask::Renew { call, .. } => {
                        member.answers.push(Answer::Told(Event::Failed { call }));
                    }
                    Ask::Release(_) => {}
                }
            }
            Step::Answer(who) => {
                let answer = world.members[who].answers.remove(0);
                self.hear(&mut world, who, answer);
            }
            Step::Hear(who) => {
                let answer = world.members[who].words.remove(0);
                self.hear(&mut world, who, answer);
            }
            Step::Stop(who) => {
                world.stops -= 1;
                world.members[who].stopped = true;
            }
            Step::GoOn(who) => {
                world.members[who].stopped = false;
                let member = &world.members[who];
                if member.wake.is_some_and(|at| at.0 <= world.now - member.behind) {
                    world.members[who].wake = None;
                    self.event(&mut world, who, Event::Tick);
                }
            }
            Step::Look(who) => {
                let member = &mut world.members[who];
                let now = Instant(world.now - member.behind);
                member.about = member.duty.permit(now).map(|permit| permit.token);
            }
            Step::Land(who) => {
                let token = world.members[who].about.take()?;
                if token < world.acted && self.mutant != Mutant::TakesAnyToken {
                    let newest = world.acted;
                    self.event(&mut world, who, Event::Refused { newest });
                } else {
                    world.regressed |= token < world.acted;
                    (world.acted, world.by) = (token.max(world.acted), Some(who));
                }
            }
            Step::Restore => {
                world.restores -= 1;
                world.store.id += 1;
                world.store.at = Token { epoch: 1, revision: 1 };
                world.store.held = None;
                world.store.leases.clear();
                world.members.iter_mut().for_each(|member| self.end_watch(member));
            }
            Step::Raise => {
                world.store.given = world.store.id;
                world.store.at.epoch += 1;
                world.store.at.revision += 1;
                self.spread(&mut world);
            }
            Step::Break(who) => {
                world.gaps -= 1;
                self.end_watch(&mut world.members[who]);
            }
            Step::Leave(who) => {
                world.leaves -= 1;
                self.event(&mut world, who, Event::Leave);
            }
            Step::Join(who) => self.event(&mut world, who, Event::Join),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE, |_, world: &World| {
                let may = |member: &&Member| member.duty.permit(Instant(world.now - member.behind)).is_some();
                world.members.iter().filter(may).count() <= 1
            }),
            Property::always(NO_OLDER, |_, world: &World| !world.regressed),
            Property::sometimes(ACTS, |_, world: &World| world.by.is_some()),
        ]
    }
}

/// What is found against the model, by name.
fn found(setting: Setting) -> Vec<&'static str> {
    let checker = setting.checker().threads(2).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let found = checker.discoveries().into_keys().filter(|name| *name != ACTS).collect();
    assert!(checker.discovery(ACTS).is_some(), "nobody ever acts");
    eprintln!("{} states", checker.unique_state_count());
    found
}

/// So long, with `MOSSHEAD_MODEL=long`: one step of time more, and three members.
fn long() -> bool {
    std::env::var("MOSSHEAD_MODEL").is_ok_and(|form| form == "long")
}

#[rstest]
#[case::sound(Setting::QUIET)]
#[case::stop(Setting { stops: 1, ..Setting::QUIET })]
#[case::lost_answer(Setting { losses: 1, ..Setting::QUIET })]
#[case::restored(Setting { restores: 1, until: 4, ..Setting::QUIET })]
#[case::gap(Setting { gaps: 1, ..Setting::QUIET })]
#[case::release(Setting { leaves: 1, until: 4, ..Setting::QUIET })]
#[case::stop_and_gap(Setting { stops: 1, gaps: 1, until: 4, ..Setting::QUIET })]
#[case::three(Setting { members: 3, until: 3, ..Setting::QUIET })]
fn one_holds_at_a_time_in_all_states(#[case] setting: Setting) {
    let (until, members) = if long() { (setting.until + 1, 3) } else { (setting.until, setting.members) };
    assert_eq!(found(Setting { members, until, ..setting }), [""; 0]);
}

#[rstest]
#[case::any_token(Mutant::TakesAnyToken, Setting { stops: 1, ..Setting::QUIET }, NO_OLDER)]
#[case::clock(Mutant::ClockStops, Setting { stops: 1, ..Setting::QUIET }, ONE)]
#[case::gap(Mutant::HidesGaps, Setting { gaps: 1, restores: 1, ..Setting::QUIET }, ONE)]
#[case::answer(Mutant::CountsFromAnswer, Setting::QUIET, ONE)]
fn each_mutant_is_caught(#[case] mutant: Mutant, #[case] setting: Setting, #[case] property: &str) {
    let found = found(Setting { mutant, ..setting });
    assert!(found.contains(&property), "{mutant:?}: {found:?}");
}

/// Three members, for longer than all states can be looked at: a schedule by a seed, with every fault.
struct Walk {
    setting: Setting,
    world: World,
    steps: Vec<Step>,
}

impl Walk {
    /// Faults and steps by chance; whether one at a time could act in each state.
    fn new(seed: u64, mutant: Mutant) -> (Self, bool) {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut below = move |count: usize| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as usize % count
        };
        let restores = (seed % 2) as u8;
        let setting = Setting {
            members: 3,
            until: u64::MAX,
            stops: 2,
            losses: 3,
            restores,
            gaps: 2,
            leaves: 2,
            mutant,
        };
        let world = setting.init_states().remove(0);
        let mut walk = Self { setting, world, steps: Vec::new() };
        let mut one = true;
        for _ in 0..80 {
            walk.setting.actions(&walk.world, &mut walk.steps);
            let step = walk.steps.swap_remove(below(walk.steps.len()));
            walk.step(step);
            one &= (walk.setting.properties()[0].condition)(&walk.setting, &walk.world);
        }
        (walk, one)
    }

    fn step(&mut self, step: Step) {
        self.steps.clear();
        self.world = self.setting.next_state(&self.world, step).expect("a state");
    }

    /// From here on all is well, and what can be done is done before the time moves on: whether somebody may act within so long.
    fn ends_well(&mut self, within: u64) -> bool {
        let world = &mut self.world;
        (world.stops, world.losses, world.restores, world.gaps, world.leaves) = (0, 0, 0, 0, 0);
        let until = world.now + within;
        loop {
            self.setting.actions(&self.world, &mut self.steps);
            let acts = |step: &Step| matches!(step, Step::Look(_) | Step::Land(_));
            let next = self.steps.iter().find(|step| **step != Step::Time && !acts(step)).cloned();
            if next.is_none() && (self.steps.iter().any(acts) || self.world.now >= until) {
                return self.steps.iter().any(acts);
            }
            self.step(next.unwrap_or(Step::Time));
        }
    }
}

/// Danger: what is safe because nobody ever holds is of no use. After any faults, once all can be reached, somebody acts within
/// three leases: one for a lease of which nothing is known, one for the wait after a gap, one for both at once.
#[test]
fn three_are_safe_and_somebody_acts_in_the_end() {
    for seed in 0..2000 {
        let (mut walk, one) = Walk::new(seed, Mutant::None);
        assert!(one, "seed {seed}: two may act");
        assert!(walk.ends_well(3 * LEASE), "seed {seed}: nobody acts: {:?}", walk.world.members);
    }
}

/// The mutant needs more time than all states allow: it is looked for on the schedules.
#[test]
fn a_release_of_what_another_holds_is_caught() {
    assert!((0..2000).any(|seed| !Walk::new(seed, Mutant::ReleasesAny).1));
}
