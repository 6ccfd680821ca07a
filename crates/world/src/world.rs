//! The world: it holds the parts, carries messages between them in time, and makes things go wrong.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::Time;
use crate::clients::{self, Load, Stream};
use crate::discovery::{Answered, Call, Discovery};
use crate::draws::Draws;
use crate::facts::{Answer, Fact, Verdict, What};
use crate::ledger::{Ending, Ledger};
use crate::queue::Queue;
use crate::scenario::{After, Class, Effect, Fault, Flow, Folder, Group, Saved, Scenario, Way};
use crate::server::{Offered, Report, Server, Traits};

mod network;
mod told;
mod troubles;
mod ways;

pub use ways::{Change, Ways};

/// A booking server, numbered in the order of their making; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerNo(pub u32);

/// A client's try, numbered in the order of their coming; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNo(pub u64);

/// A connection from a proxy to a server, numbered by the host; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its process runs.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shown {
    /// Which server.
    pub server: ServerNo,
    /// Where it listens.
    pub address: u32,
    /// Its state.
    pub state: State,
    /// When it started; zero for long ago.
    pub started: Time,
}

/// How a connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The world lets it come up in its time.
    Virtual,
    /// A kernel has brought it up already: its first request pays for that.
    Accepted,
}

/// A request that a client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub no: JobNo,
    /// To whom.
    pub proxy: usize,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<usize>,
    /// How long the client waits.
    pub left: Time,
    /// On loopback: it comes on a connection of its own.
    pub one_shot: bool,
}

/// Who has not asked its agent for so long counts as told what the agent has.
const AGENT_WITHIN: Time = Time::ms(200);
/// A server that drains and has nothing left ends so long after, where the day does not say otherwise.
const REST: Time = Time::ms(1000);

/// What discovery answers: the version, whether the list is whole, and its lines; none where the call failed.
pub type Listed = Option<(u64, bool, Vec<Shown>)>;

/// What the proxies' side does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A proxy opens a connection.
    Open {
        /// Its number.
        conn: Conn,
        /// Who.
        proxy: usize,
        /// Where to.
        address: u32,
        /// How it comes up.
        how: Opening,
    },
    /// The first byte of an attempt leaves.
    Begin {
        /// On which connection.
        conn: Conn,
        /// For which request.
        job: JobNo,
    },
    /// The last byte of an attempt leaves.
    Request {
        /// On which connection.
        conn: Conn,
        /// For which request.
        job: JobNo,
        /// Method, target, id and body are the client's.
        intact: bool,
    },
    /// A probe leaves.
    Probe {
        /// On which connection.
        conn: Conn,
        /// Its number, given back with the answer.
        number: u64,
    },
    /// A proxy closes a connection.
    Close {
        /// Which.
        conn: Conn,
    },
    /// A proxy asks discovery.
    Ask(Call),
    /// A proxy no longer waits for discovery's answer.
    Forget {
        /// Who.
        proxy: usize,
        /// The call's number.
        number: u64,
    },
    /// A proxy answers a client.
    Answer {
        /// To which request.
        job: JobNo,
        /// What.
        answer: Answer,
    },
    /// A proxy is up, and clients can reach it.
    Up {
        /// Which.
        proxy: usize,
    },
    /// A proxy is down.
    Down {
        /// Which.
        proxy: usize,
    },
}

/// What reaches the proxies' side.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A client sends a request.
    Job(Job),
    /// A client has left.
    Withdrawn {
        /// Which request.
        job: JobNo,
        /// Who held it.
        proxy: usize,
    },
    /// A connection is up.
    Opened(Conn),
    /// A connection was refused.
    Refused(Conn),
    /// The server's side ended a connection.
    Reset(Conn),
    /// The answer to the attempt out on a connection.
    Answered {
        /// On which connection.
        conn: Conn,
        /// To which request.
        job: JobNo,
        /// What.
        verdict: Verdict,
        /// The load report that comes along.
        report: Report,
    },
    /// The answer to a probe.
    Probed {
        /// On which connection.
        conn: Conn,
        /// The probe's number.
        number: u64,
        /// The load report.
        report: Report,
    },
    /// Discovery's answer.
    Listed(Call, Listed),
    /// A proxy is to be stopped by SIGTERM.
    Stop(usize),
    /// A proxy is to be killed.
    Kill(usize),
    /// A proxy is to be started (again).
    Start(usize),
    /// Discovery moves: the proxy is to be told by SIGHUP.
    Move(usize),
    /// A client on loopback is rude to a proxy, in one of the ways that the host knows.
    Rude(usize, u64),
    /// A proxy stands still from now on.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// Something is wrong with ways from now on, or no longer.
    Ways(Ways, bool),
}

/// The true state of a server, for an oracle and for charts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct True {
    /// Which.
    pub server: ServerNo,
    /// Where it listens.
    pub address: u32,
    /// Whether something new may be sent.
    pub usable: bool,
    /// Requests held.
    pub held: f64,
    /// What it can do now, in standard cores; nothing while it hangs, less while it is jammed.
    pub capacity: f64,
}

enum Due {
    Arrive(usize),
    Try(u64),
    TryEnds(JobNo),
    Knock(Conn),
    Reach(u64),
    Probe(Conn, u64),
    Bye(u64),
    Step(u32, u64),
    Back(Conn, Back),
    Discovery(u64),
    Ask(Call),
    Listed(Call, Listed),
    Change(Shown),
    Trouble(usize),
    Calm(usize),
    Toggle(usize, bool),
    Replace(usize),
    Reset(usize),
    Ends(u32),
    Starts(u32),
    Returns(u32),
    StartProxy(usize),
    Rude,
    Second,
}

#[derive(Clone, Copy)]
enum Back {
    Opened,
    Refused,
    Reset,
    Answer(u64, Verdict, Report),
    Probe(u64, Report),
}

struct Machine {
    traits: Traits,
    server: Option<Server>,
    address: u32,
    state: State,
    started: Time,
    /// It says nothing and hears nothing.
    cut: bool,
    /// Who has been told of its last start, and the work since then: theirs, and everybody's.
    informed: BTreeSet<usize>,
    sent: (f64, f64),
    /// Its share of requests that fail at once.
    failing: f64,
    step: u64,
    links: BTreeSet<Conn>,
    draws: Draws,
}

struct Link {
    proxy: usize,
    address: u32,
    server: Option<ServerNo>,
    /// The next request is its first, and pays for the connection.
    first: bool,
    how: Opening,
    out: Option<u64>,
    used: Time,
}

struct Exchange {
    job: JobNo,
    conn: Conn,
    server: ServerNo,
    work: f64,
    /// Nobody waits for its answer any more.
    abandoned: bool,
    /// Its key is known where it came: it does not run again.
    repeat: bool,
}

struct Try {
    wish: u64,
    proxy: usize,
}

struct Wish {
    asked: Time,
    proxy: usize,
    class: usize,
    tenant: Option<usize>,
    work: f64,
    tries_left: u64,
    backoff: Time,
    honours: bool,
    last: Ending,
}

#[derive(Default)]
struct Side {
    up: bool,
    stopping: bool,
    zone: usize,
    /// What it was told of each server.
    told: HashMap<ServerNo, State>,
    /// The version of the list that discovery told it last.
    version: u64,
    asked: Time,
    /// Its last call to discovery was answered with a failure.
    call_failed: bool,
    /// It stands still, and takes itself for running.
    paused: bool,
    /// The list that it finds at its next start, and how old that is.
    saved: (Saved, Time),
    /// What has become of its folder meanwhile.
    folder: Folder,
}

struct Running {
    struck: Vec<u32>,
    proxies: Vec<usize>,
    size: f64,
    times: f64,
    until: Time,
    delay: Time,
}

/// What clients of the day are like.
struct Habits {
    retries: u64,
    backoff: Time,
    honour: f64,
    patience: f64,
    one_shot: f64,
    rude: f64,
    leaves: f64,
}

/// The platform on one day.
pub struct World {
    scenario: Scenario,
    length: Time,
    now: Time,
    queue: Queue<Due>,
    machines: Vec<Machine>,
    /// Who listens at each address.
    addresses: Vec<Option<ServerNo>>,
    free: Vec<u32>,
    /// How long a server that drains stays up once it has nothing left.
    rest: Time,
    discovery: Discovery,
    /// When each key was first seen in a group of servers.
    keys: HashMap<(JobNo, usize), Time>,
    discovery_step: u64,
    sides: Vec<Side>,
    load: Load,
    streams: Vec<Stream>,
    habits: Habits,
    links: HashMap<Conn, Link>,
    tries: HashMap<JobNo, Try>,
    wishes: HashMap<u64, Wish>,
    exchanges: HashMap<u64, Exchange>,
    /// Whose request each exchange is, until the proxy has heard of its end or given it up.
    jobs_out: HashMap<u64, JobNo>,
    running: Vec<Option<Running>>,
    /// How late a change enters the list on top of the usual.
    stale: Time,
    next_job: u64,
    next_wish: u64,
    next_exchange: u64,
    delays: Vec<Vec<Time>>,
    jitter: f64,
    net: Draws,
    service: Draws,
    chance: Draws,
    notice: Draws,
    works: Vec<(f64, f64)>,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
    ledger: Ledger,
    facts: Vec<Fact>,
    done: Vec<(Time, u64)>,
    topology: u64,
    amiss: Vec<ways::Amiss>,
    /// Earlier lists, each with the instant from which discovery showed it and its version.
    lists: VecDeque<(Time, u64, Vec<Shown>)>,
    /// Troubles that begin once all proxies are up.
    wait_for_up: Vec<usize>,
}

impl World {
    /// Draws the day. It begins at instant zero, with the proxies still to be started.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut draws = Draws::new(seed, "day", 0);
        let length = draws.time(scenario.length);
        let limit = (scenario.rules.fall_multiple, scenario.rules.fall);
        let mut machines = Vec::new();
        for (at, kind) in scenario.kind.iter().enumerate() {
            for _ in 0..draws.count(kind.count) {
                let number = machines.len();
                let mut own = Draws::new(seed, "server", number as u64);
                let traits = Traits::draw(kind, at, number % scenario.zones.len(), &mut own);
                machines.push(Machine {
                    server: Some(Server::start(Time::ZERO, traits.clone(), true, limit)),
                    traits,
                    address: number as u32,
                    state: State::Serving,
                    started: Time::ZERO,
                    cut: false,
                    informed: BTreeSet::new(),
                    sent: (0.0, 0.0),
                    failing: 0.0,
                    step: 0,
                    links: BTreeSet::new(),
                    draws: own,
                });
            }
        }
        let proxies = draws.count(scenario.load.proxies) as usize;
        let works: Vec<(f64, f64)> = scenario
            .class
            .iter()
            .map(|class| (draws.time(class.work).as_seconds(), draws.within(class.spread)))
            .collect();
        let class_weights: Vec<f64> =
            scenario.class.iter().map(|class| draws.within(class.share.map(|part| part.0))).collect();
        let tenant_weights: Vec<f64> = (scenario.tenant.iter())
            .map(|tenant| tenant.share.0 * draws.within(tenant.usage.map(|part| part.0)))
            .collect();
        let sum: f64 = class_weights.iter().sum();
        let mean_work = works.iter().zip(&class_weights).map(|(work, part)| work.0 * part / sum).sum::<f64>();
        let capacity: f64 = machines.iter().map(|machine| machine.traits.cores * machine.traits.speed).sum();
        let rate = match (scenario.load.share, scenario.load.rate) {
            (Some(share), _) => draws.within(share.map(|part| part.0)) * capacity / mean_work,
            (None, Some(rate)) => draws.within(rate.map(|rate| rate.0)),
            (None, None) => 0.0,
        };
        let rates = clients::split(rate, proxies, draws.within(scenario.load.skew), seed);
        let zones = scenario.zones.len();
        // One delay for each pair of zones, the same both ways.
        let mut delays: Vec<Vec<Time>> = Vec::with_capacity(zones);
        for from in 0..zones {
            let earlier: Vec<Time> = delays.iter().map(|row| row[from]).collect();
            let later = (from..zones).map(|to| {
                draws.time(if from == to { scenario.network.same } else { scenario.network.cross })
            });
            delays.push(earlier.into_iter().chain(later).collect());
        }
        let clients = &scenario.clients;
        let habits = Habits {
            retries: draws.count(clients.retries),
            backoff: draws.time(clients.backoff),
            honour: draws.within(clients.honour.map(|part| part.0)),
            patience: draws.within(clients.patience.map(|part| part.0)),
            one_shot: draws.within(clients.one_shot.map(|part| part.0)),
            rude: draws.within(clients.rude.map(|rate| rate.0)),
            leaves: draws.within(clients.leaves.map(|part| part.0)),
        };
        let shown = |(number, machine): (usize, &Machine)| Shown {
            server: ServerNo(number as u32),
            address: machine.address,
            state: machine.state,
            started: machine.started,
        };
        let list = machines.iter().enumerate().map(shown).collect();
        let per_call = Time::seconds(1.0 / draws.within(scenario.discovery.capacity.map(|rate| rate.0)));
        let sides = (0..proxies).map(|proxy| Side { zone: proxy % zones, ..Side::default() }).collect();
        let mut world = Self {
            length,
            now: Time::ZERO,
            queue: Queue::default(),
            addresses: (0..machines.len()).map(|number| Some(ServerNo(number as u32))).collect(),
            free: Vec::new(),
            rest: REST,
            discovery: Discovery::new(list, per_call, scenario.discovery.timeout, scenario.discovery.pushed),
            keys: HashMap::new(),
            discovery_step: 0,
            sides,
            load: Load::draw(scenario, length, seed),
            streams: (rates.iter().enumerate())
                .map(|(proxy, rate)| Stream::new(seed, proxy, *rate))
                .collect(),
            habits,
            links: HashMap::new(),
            tries: HashMap::new(),
            wishes: HashMap::new(),
            exchanges: HashMap::new(),
            jobs_out: HashMap::new(),
            running: (0..scenario.trouble.len()).map(|_| None).collect(),
            stale: Time::ZERO,
            next_job: 0,
            next_wish: 0,
            next_exchange: 0,
            delays,
            jitter: draws.within(scenario.network.jitter.map(|part| part.0)),
            net: Draws::new(seed, "net", 0),
            service: Draws::new(seed, "service", 0),
            chance: Draws::new(seed, "chance", 0),
            notice: Draws::new(seed, "notice", 0),
            works,
            class_weights,
            tenant_weights,
            ledger: Ledger::new(scenario),
            facts: Vec::new(),
            done: Vec::new(),
            topology: 0,
            amiss: Vec::new(),
            lists: VecDeque::new(),
            wait_for_up: Vec::new(),
            machines,
            scenario: scenario.clone(),
        };
        for number in 0..world.machines.len() {
            world.reschedule(number);
        }
        for proxy in 0..proxies {
            if let Some(at) = world.streams[proxy].next(Time::ZERO, &world.load) {
                world.queue.push(at, Due::Arrive(proxy));
            }
        }
        world.remember_list();
        for number in 0..world.scenario.trouble.len() {
            if world.scenario.trouble[number].after == After::Up {
                continue;
            }
            let mut draws = Draws::new(seed, "trouble", number as u64);
            let at = draws.time(world.scenario.trouble[number].at);
            world.queue.push(at, Due::Trouble(number));
        }
        if world.habits.rude > 0.0 {
            world.queue.push(Time::ms(1000), Due::Rude);
        }
        world.queue.push(Time::ms(1000), Due::Second);
        world
    }

    /// The day's description.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// For how long clients arrive.
    pub fn length(&self) -> Time {
        self.length
    }

    /// How many proxies there are.
    pub fn proxies(&self) -> usize {
        self.sides.len()
    }

    /// The zone of a proxy.
    pub fn zone_of(&self, proxy: usize) -> usize {
        self.sides[proxy].zone
    }

    /// The work of a request on a standard core, in the mean.
    pub fn mean_work(&self) -> f64 {
        let sum: f64 = self.class_weights.iter().sum();
        self.works.iter().zip(&self.class_weights).map(|(work, part)| work.0 * part / sum).sum()
    }

    /// What a server is like.
    pub fn traits(&self, server: ServerNo) -> &Traits {
        &self.machines[server.0 as usize].traits
    }

    /// The list as discovery shows it now, with its version.
    pub fn list(&self) -> (u64, Vec<Shown>) {
        self.discovery.list()
    }

    /// The addresses that are in use or were: an address is below this.
    pub fn addresses(&self) -> u32 {
        self.addresses.len() as u32
    }

    /// Counts the changes of who listens where.
    pub fn topology(&self) -> u64 {
        self.topology
    }

    /// Who listens at an address: none where connections are refused. A machine that is cut off says nothing.
    pub fn at_address(&self, address: u32) -> Option<(ServerNo, bool)> {
        let server = (*self.addresses.get(address as usize)?)?;
        let machine = &self.machines[server.0 as usize];
        machine.server.as_ref().map(|_| (server, machine.cut))
    }

    /// Whether the day is over: no client waits and none will come.
    pub fn over(&self) -> bool {
        self.now >= self.length && self.wishes.is_empty()
    }

    /// The account.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What has happened since the last call.
    pub fn facts(&mut self) -> std::vec::Drain<'_, Fact> {
        self.facts.drain(..)
    }

    /// The true state of every server that runs.
    pub fn truth(&self) -> Vec<True> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter_map(|(number, machine)| {
                let server = machine.server.as_ref()?;
                let usable = machine.state == State::Serving && !machine.cut && machine.failing == 0.0;
                Some(True {
                    server: ServerNo(number as u32),
                    address: machine.address,
                    usable,
                    held: server.held() as f64,
                    capacity: server.able(),
                })
            })
            .collect()
    }

    /// How many events have happened.
    pub fn events(&self) -> u64 {
        self.queue.taken()
    }

    /// When something happens next.
    pub fn next(&self) -> Option<Time> {
        self.queue.next()
    }

    fn fact(&mut self, what: What) {
        self.facts.push(Fact { at: self.now, what });
    }

    /// Lets time pass until `now`, and reports what reaches the proxies' side on the way.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((at, due)) = self.queue.pop(now) {
            self.now = self.now.max(at);
            self.happen(due, out);
        }
        self.now = self.now.max(now);
    }

    fn happen(&mut self, due: Due, out: &mut Vec<Output>) {
        match due {
            Due::Arrive(proxy) => self.arrive(proxy, out),
            Due::Try(wish) => self.ask(wish, out),
            Due::TryEnds(job) => {
                if let Some(end) = self.tries.remove(&job) {
                    self.fact(What::Left { job });
                    out.push(Output::Withdrawn { job, proxy: end.proxy });
                    self.unserved(end.wish, Ending::Unanswered, None);
                }
            }
            Due::Knock(conn) => self.knock(conn),
            Due::Reach(exchange) => self.reach(exchange),
            Due::Probe(conn, number) => self.reach_probe(conn, number),
            Due::Bye(exchange) => {
                let Some(left) = self.exchanges.get_mut(&exchange) else { return };
                left.abandoned = true;
                let server = left.server.0 as usize;
                self.touch(server);
                if self.machines[server].server.as_mut().is_some_and(|server| server.give_up(exchange)) {
                    self.exchanges.remove(&exchange);
                    self.reschedule(server);
                }
            }
            Due::Step(server, step) => {
                if self.machines[server as usize].step == step {
                    self.touch(server as usize);
                    self.reschedule(server as usize);
                }
            }
            Due::Back(conn, back) => self.back(conn, back, out),
            Due::Discovery(step) => {
                if self.discovery_step == step {
                    let mut answers = Vec::new();
                    self.discovery.advance(self.now, &mut answers);
                    self.spread(answers);
                }
            }
            Due::Ask(call) => {
                if !self.passes(call.proxy, Way::List, None, Flow::To) {
                    return;
                }
                let mut answers = Vec::new();
                self.discovery.advance(self.now, &mut answers);
                self.discovery.call(self.now, call, &mut answers);
                self.spread(answers);
            }
            Due::Listed(call, listed) => {
                if !self.passes(call.proxy, Way::List, None, Flow::Back) {
                    return;
                }
                if let Some((version, full, lines)) = &listed {
                    // What is older than what was told before tells nothing.
                    let told = &mut self.sides[call.proxy].version;
                    if *version >= *told {
                        *told = *version;
                        self.tell(call.proxy, *full, lines);
                    }
                }
                self.sides[call.proxy].asked = self.now;
                self.sides[call.proxy].call_failed = listed.is_none();
                out.push(Output::Listed(call, listed));
            }
            Due::Change(shown) => {
                let mut answers = Vec::new();
                self.discovery.advance(self.now, &mut answers);
                self.discovery.change(shown, &mut answers);
                self.remember_list();
                self.spread(answers);
            }
            Due::Trouble(number) => self.trouble(number, out),
            Due::Calm(number) => self.calm(number, out),
            Due::Toggle(number, on) => self.toggle(number, on),
            Due::Replace(number) => self.replace(number),
            Due::Reset(number) => self.reset(number),
            Due::Ends(server) => self.end(server as usize, true),
            Due::Starts(server) => self.start(server as usize),
            Due::Returns(server) => {
                let machine = &mut self.machines[server as usize];
                if machine.cut {
                    machine.cut = false;
                    self.topology += 1;
                    self.break_links(server as usize);
                    self.list_change(server, false);
                }
            }
            Due::StartProxy(proxy) => out.push(Output::Start(proxy)),
            Due::Rude => {
                let proxy = self.chance.below(self.sides.len());
                if self.sides[proxy].up {
                    out.push(Output::Rude(proxy, self.chance.bits()));
                }
                let wait = self.chance.exponential(1.0 / self.habits.rude);
                if self.now < self.length {
                    self.queue.push(self.now + Time::seconds(wait), Due::Rude);
                }
            }
            Due::Second => self.second(),
        }
    }

    /// Takes what the proxies' side does at `now`. What that leads to comes from [`World::advance`].
    pub fn input(&mut self, now: Time, input: Input) {
        debug_assert!(self.queue.next().is_none_or(|next| next >= self.now));
        self.now = self.now.max(now);
        match input {
            Input::Open { conn, proxy, address, how } => self.open(conn, proxy, address, how),
            Input::Begin { conn, job } => {
                if let Some((proxy, Some(server))) =
                    self.links.get(&conn).map(|link| (link.proxy, link.server))
                {
                    self.fact(What::Begun { job, proxy, server, conn });
                }
            }
            Input::Request { conn, job, intact } => self.request(conn, job, intact),
            Input::Probe { conn, number } => {
                self.ledger.probes += 1;
                if let Some(delay) = self.link_delay(conn) {
                    self.queue.push(self.now + delay, Due::Probe(conn, number));
                }
            }
            Input::Close { conn } => self.close(conn),
            Input::Ask(call) => {
                self.ledger.call(self.now);
                self.sides[call.proxy].asked = self.now;
                let delay = self.jittered(self.scenario.network.same.lo);
                let delay = delay + self.slower(call.proxy, Way::List, None);
                self.queue.push(self.now + delay, Due::Ask(call));
            }
            Input::Forget { proxy, number } => self.discovery.forget(proxy, Some(number)),
            Input::Answer { job, answer } => self.answer(job, answer),
            Input::Up { proxy } => {
                let (_, list) = self.saved(proxy);
                self.sides[proxy].up = true;
                self.sides[proxy].stopping = false;
                self.sides[proxy].saved = (Saved::Kept, Time::ZERO);
                self.sides[proxy].asked = self.now;
                self.sides[proxy].call_failed = false;
                self.sides[proxy].told.clear();
                self.sides[proxy].version = 0;
                self.fact(What::Up { proxy });
                self.tell(proxy, true, &list);
                self.all_up();
            }
            Input::Down { proxy } => {
                let ordered = self.sides[proxy].stopping;
                self.sides[proxy].up = false;
                self.discovery.forget(proxy, None);
                self.fact(What::Down { proxy, ordered });
                let mut held: Vec<JobNo> =
                    self.tries.iter().filter(|(_, held)| held.proxy == proxy).map(|(job, _)| *job).collect();
                held.sort_unstable();
                for job in held {
                    self.answer(job, Answer::Broken);
                }
            }
        }
    }

    // Clients.

    fn arrive(&mut self, proxy: usize, out: &mut Vec<Output>) {
        let draws = self.streams[proxy].draws();
        let class = draws.weighted(self.class_weights.iter().copied());
        let tenant = match self.tenant_weights.is_empty() {
            true => None,
            false => Some(draws.weighted(self.tenant_weights.iter().copied())),
        };
        let (mean, spread) = self.works[class];
        let mut work = draws.spread(mean, spread);
        for (trouble, running) in self.scenario.trouble.iter().zip(&self.running) {
            if let Some(running) = running.as_ref().filter(|_| trouble.fault == Fault::Heavy)
                && draws.chance(running.size)
            {
                work *= running.times;
            }
        }
        let honours = draws.chance(self.habits.honour);
        let wish = self.next_wish;
        self.next_wish += 1;
        let (tries_left, backoff) = (self.habits.retries, self.habits.backoff);
        let asked = self.now;
        let last = Ending::Unanswered;
        let new = Wish { asked, proxy, class, tenant, work, tries_left, backoff, honours, last };
        self.wishes.insert(wish, new);
        self.ledger.ask(asked, class, tenant, self.scenario.class[class].worth);
        self.ask(wish, out);
        if let Some(at) = self.streams[proxy].next(self.now, &self.load) {
            self.queue.push(at, Due::Arrive(proxy));
        }
    }

    fn ask(&mut self, wish: u64, out: &mut Vec<Output>) {
        let Some(asked) = self.wishes.get(&wish) else { return };
        let (proxy, number, tenant) = (asked.proxy, asked.class, asked.tenant);
        let class = &self.scenario.class[number];
        let left = (asked.asked + class.deadline - self.now).min(class.deadline.times(self.habits.patience));
        if !self.sides[proxy].up {
            return self.unserved(wish, Ending::Unreachable, None);
        }
        let effect = class.effect;
        let job = JobNo(self.next_job);
        self.next_job += 1;
        self.ledger.tries += 1;
        self.tries.insert(job, Try { wish, proxy });
        let deadline = self.now + left;
        self.fact(What::Taken { job, proxy, class: number, effect, deadline });
        let early = self.habits.leaves > 0.0 && self.chance.chance(self.habits.leaves);
        let ends = match early {
            true => self.now + left.times(self.chance.part()),
            false => deadline + self.scenario.rules.answer_slack,
        };
        self.queue.push(ends, Due::TryEnds(job));
        let one_shot = self.habits.one_shot > 0.0 && self.chance.chance(self.habits.one_shot);
        out.push(Output::Job(Job { no: job, proxy, class: number, tenant, left, one_shot }));
    }

    fn answer(&mut self, job: JobNo, answer: Answer) {
        let held = self.tries.remove(&job);
        // Danger: a client whose proxy was killed sees its connection end after the kill has settled its try:
        // that is no second answer.
        if held.is_some() || answer != Answer::Broken {
            self.fact(What::Answered { job, answer });
        }
        let Some(Try { wish, .. }) = held else { return };
        match answer {
            Answer::Served => {
                let Some(served) = self.wishes.get(&wish) else { return };
                let target = self.scenario.class[served.class].target;
                let ending = if self.now <= served.asked + target { Ending::InTime } else { Ending::Late };
                self.finish(wish, ending);
            }
            Answer::Refused(wait) => self.unserved(wish, Ending::Refused, Some(wait)),
            Answer::Failed | Answer::Forged => self.unserved(wish, Ending::Failed, None),
            Answer::Broken => self.unserved(wish, Ending::Unanswered, None),
        }
    }

    /// A try was not served: the client asks again, or its wish ends so.
    fn unserved(&mut self, wish: u64, how: Ending, advice: Option<Time>) {
        let Some(asked) = self.wishes.get_mut(&wish) else { return };
        asked.last = how;
        let class = &self.scenario.class[asked.class];
        let harmless = matches!(how, Ending::Refused | Ending::Unreachable);
        let mut wait = asked.backoff;
        if let Some(advice) = advice.filter(|_| asked.honours) {
            wait = wait.max(advice.min(self.scenario.proxy.max_retry_after));
        }
        let at = self.now + wait;
        let repeatable = class.effect == Effect::Safe || harmless;
        if asked.tries_left == 0 || !repeatable || at >= asked.asked + class.deadline {
            return self.finish(wish, how);
        }
        asked.tries_left -= 1;
        self.queue.push(at, Due::Try(wish));
    }

    fn finish(&mut self, wish: u64, ending: Ending) {
        if let Some(Wish { asked, class, tenant, .. }) = self.wishes.remove(&wish) {
            self.ledger.end(asked, class, tenant, ending, self.scenario.class[class].worth);
        }
    }

    // Servers.

    fn reschedule(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if let Some(server) = &machine.server {
            machine.step += 1;
            let (at, step) = (server.next(), machine.step);
            self.queue.push(at, Due::Step(number as u32, step));
        }
    }

    /// Brings a server up to now, and sends off what it has done.
    fn touch(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let Some(server) = &mut machine.server else { return };
        let jams = server.jams();
        let mut done = std::mem::take(&mut self.done);
        server.advance(self.now, &mut done);
        let (jammed, report) = (server.jams() > jams, server.report());
        if jammed {
            self.ledger.jams += 1;
            self.fact(What::Jammed { server: ServerNo(number as u32) });
        }
        for (_, id) in done.drain(..) {
            let Some(exchange) = self.exchanges.remove(&id) else { continue };
            let Exchange { job, conn, server, work, abandoned, repeat } = exchange;
            if !repeat {
                self.fact(What::Ran { job, server });
            }
            let machine = &mut self.machines[number];
            let verdict = if machine.draws.chance(machine.traits.errors) {
                Verdict::Errored
            } else if self.spoils() {
                Verdict::Spoilt
            } else {
                Verdict::Served
            };
            if abandoned || !self.tries.contains_key(&job) || verdict != Verdict::Served {
                self.ledger.wasted += work;
            }
            if !self.machines[number].cut {
                self.send_back(conn, Back::Answer(id, verdict, report));
            }
        }
        self.done = done;
        // One that drains ends once it has nothing left.
        let machine = &self.machines[number];
        if machine.state == State::Draining
            && machine.server.as_ref().is_some_and(|server| server.held() == 0)
        {
            self.queue.push(self.now + self.rest, Due::Ends(number as u32));
        }
    }

    fn spoils(&mut self) -> bool {
        let spoilt = self.running.iter().enumerate().filter_map(|(number, running)| {
            let running = running.as_ref()?;
            (self.scenario.trouble[number].fault == Fault::Spoilt).then_some(running.size)
        });
        let part: f64 = spoilt.sum();
        part > 0.0 && self.service.chance(part)
    }

    fn list_change(&mut self, server: u32, silent: bool) {
        let machine = &self.machines[server as usize];
        let shown = Shown {
            server: ServerNo(server),
            address: machine.address,
            state: machine.state,
            started: machine.started,
        };
        let usual =
            if silent { self.scenario.discovery.silent_notice } else { self.scenario.discovery.notice };
        let late = self.notice.time(usual) + self.stale;
        self.queue.push(self.now + late, Due::Change(shown));
    }

    /// All connections of a server end; what is out on them ends as a reset.
    fn break_links(&mut self, number: usize) {
        let links = std::mem::take(&mut self.machines[number].links);
        if let Some(server) = &mut self.machines[number].server {
            links.iter().for_each(|_| _ = server.connections(false));
        }
        for conn in links {
            self.send_back(conn, Back::Reset);
        }
    }

    /// A server's process ends, for good or to start again.
    fn end(&mut self, number: usize, for_good: bool) {
        let Some(_) = self.machines[number].server.take() else { return };
        let server = ServerNo(number as u32);
        self.topology += 1;
        self.fact(What::Ended { server });
        // What it held is lost: it ran in part, and nobody will answer.
        let mut held: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.server == server)
            .map(|(id, _)| *id)
            .collect();
        held.sort_unstable();
        for id in held {
            if let Some(exchange) = self.exchanges.remove(&id) {
                self.ledger.wasted += exchange.work;
            }
        }
        if !self.machines[number].cut {
            self.break_links(number);
        }
        if for_good {
            let machine = &mut self.machines[number];
            machine.state = State::Deleted;
            let address = machine.address;
            if self.addresses[address as usize] == Some(server) {
                self.addresses[address as usize] = None;
                self.free.push(address);
            }
            self.list_change(number as u32, false);
        }
    }

    /// A server's process starts, cold.
    fn start(&mut self, number: usize) {
        let limit = (self.scenario.rules.fall_multiple, self.scenario.rules.fall);
        let machine = &mut self.machines[number];
        if machine.state == State::Deleted {
            return;
        }
        machine.server = Some(Server::start(self.now, machine.traits.clone(), false, limit));
        machine.started = self.now;
        machine.failing = 0.0;
        machine.informed.clear();
        machine.sent = (0.0, 0.0);
        let address = machine.address as usize;
        self.addresses[address] = Some(ServerNo(number as u32));
        self.topology += 1;
        self.fact(What::Started { server: ServerNo(number as u32) });
        self.list_change(number as u32, false);
        self.reschedule(number);
    }
}
