//! A day's description: a TOML file in which each figure carries its unit, and ranges are drawn by the seed.

use serde::Deserialize;
use thiserror::Error;

use crate::Time;
use crate::units::{Part, PerSecond, Span};

pub use crate::trouble::{After, Fault, Flow, Folder, Saved, Trouble, Way};

/// What is wrong with a scenario: the message names the line and the key.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// It cannot be read as a scenario.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// It can, but a day cannot be made of it.
    #[error("{key}: {fault}")]
    Figure {
        /// The key at fault, with its section.
        key: String,
        /// What is wrong, and what to write instead.
        fault: String,
    },
}

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub title: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// For how long clients arrive.
    pub length: Span<Time>,
    /// Virtual proxies handle what has come once in so long.
    #[serde(default = "tick")]
    pub tick: Time,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Who sends how much.
    pub load: Load,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// Delays between machines.
    #[serde(default)]
    pub network: Network,
    /// The service that keeps the list of servers.
    #[serde(default)]
    pub discovery: Discovery,
    /// What a proxy may do, and the machine that it has.
    #[serde(default)]
    pub proxy: Proxy,
    /// The rules that the referee holds everybody to.
    #[serde(default)]
    pub rules: Rules,
    /// The kinds of booking server.
    pub kind: Vec<Kind>,
    /// The classes of request.
    pub class: Vec<Class>,
    /// The tenants; there may be none.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// What goes wrong.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
}

fn tick() -> Time {
    Time::ms(5)
}

/// How much is asked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// How many proxies there are.
    pub proxies: Span<u64>,
    /// First tries, as a share of what the warm servers can do. Either this or `rate`.
    pub share: Option<Span<Part>>,
    /// First tries, from all proxies together.
    pub rate: Option<Span<PerSecond>>,
    /// How unequal proxies are: the ratio of deviation to mean.
    #[serde(default = "none")]
    pub skew: Span<f64>,
    /// By how much the rate swings up and down over the day.
    #[serde(default = "no_part")]
    pub swing: Span<Part>,
    /// Time between the starts of bursts; none without it.
    pub burst_every: Option<Span<Time>>,
    /// How long a burst lasts.
    #[serde(default = "burst_length")]
    pub burst_length: Span<Time>,
    /// How many times the usual rate a burst brings.
    #[serde(default = "burst_size")]
    pub burst_size: Span<f64>,
}

fn none() -> Span<f64> {
    Span::one(0.0)
}

fn no_part() -> Span<Part> {
    Span::one(Part(0.0))
}

fn burst_length() -> Span<Time> {
    Span::one(Time::ms(500))
}

fn burst_size() -> Span<f64> {
    Span::one(2.0)
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client asks again by itself.
    pub retries: Span<u64>,
    /// How long it waits before that.
    pub backoff: Span<Time>,
    /// How many of them keep to the time that a refusal asks for.
    pub honour: Span<Part>,
    /// The share of the class's deadline after which one try is given up.
    pub patience: Span<Part>,
    /// How many tries come on a connection of their own (on loopback).
    pub one_shot: Span<Part>,
    /// The share of tries whose client leaves before its time is up.
    pub leaves: Span<Part>,
    /// Messages from rude clients, all proxies together (on loopback).
    pub rude: Span<PerSecond>,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: Span { lo: 0, hi: 2 },
            backoff: Span { lo: Time::ms(40), hi: Time::ms(320) },
            honour: Span { lo: Part(0.3), hi: Part(0.9) },
            patience: Span { lo: Part(0.5), hi: Part(1.0) },
            one_shot: Span::one(Part(0.0)),
            leaves: Span::one(Part(0.0)),
            rude: Span::one(PerSecond(0.0)),
        }
    }
}

/// Delays, one way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone.
    pub same: Span<Time>,
    /// Between two zones.
    pub cross: Span<Time>,
    /// What a message's delay may be over that, as a share of it.
    pub jitter: Span<Part>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            same: Span { lo: Time(200), hi: Time(350) },
            cross: Span { lo: Time(3700), hi: Time(6900) },
            jitter: Span { lo: Part(0.05), hi: Part(0.3) },
        }
    }
}

/// The service that keeps the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Its changes are pushed to an agent on each proxy's machine: calls there cost nobody anything, what the agent has
    /// counts as told, and it says nothing while discovery is down.
    pub pushed: bool,
    /// How late a change enters the list.
    pub notice: Span<Time>,
    /// How late the end of a machine that says nothing enters it.
    pub silent_notice: Span<Time>,
    /// Calls that it answers in a second.
    pub capacity: Span<PerSecond>,
    /// A call that has waited for its turn longer fails.
    pub timeout: Time,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            pushed: false,
            notice: Span { lo: Time::ms(700), hi: Time::ms(2500) },
            silent_notice: Span { lo: Time::ms(6500), hi: Time::ms(12000) },
            capacity: Span::one(PerSecond(200.0)),
            timeout: Time::ms(2000),
        }
    }
}

/// What a proxy may do, and its machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Proxy {
    /// The most attempts for a request.
    pub attempts: u32,
    /// Whether a second copy may be out beside the first.
    pub second_copies: bool,
    /// Whether it may probe.
    pub probes: bool,
    /// Whether attempts may be called off.
    pub cancel: bool,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Time,
    /// The longest come-back time that clients take.
    pub max_retry_after: Time,
    /// The most requests that it may hold.
    pub most_held: u64,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// Its descriptors.
    pub sockets: u64,
    /// How many proxies it is told that there are, where that is wrong.
    pub fleet: Option<u64>,
    /// How far its clock is behind that of the servers and discovery (on loopback).
    pub behind: Time,
    /// How far it is ahead of them (on loopback).
    pub ahead: Time,
    /// Whether it has a folder for stored state (on loopback).
    pub folder: bool,
    /// Whether operators ask it how far it has come (on loopback).
    pub door: bool,
}

impl Default for Proxy {
    fn default() -> Self {
        Self {
            attempts: 4,
            second_copies: true,
            probes: true,
            cancel: true,
            connect_timeout: Time::ms(250),
            max_retry_after: Time::ms(2000),
            most_held: 30_000,
            memory_mb: 192,
            sockets: 1024,
            fleet: None,
            behind: Time::ZERO,
            ahead: Time::ZERO,
            folder: false,
            door: false,
        }
    }
}

/// The figures behind the referee's rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after its deadline an answer still counts as given.
    pub answer_slack: Time,
    /// How long after it was told a proxy may still start something at a server that drains.
    pub drain_grace: Time,
    /// How long after its answer an attempt whose connection was coming up may still be written.
    pub finish_grace: Time,
    /// More than this many times its present capacity,
    pub fall_multiple: f64,
    /// over this long, and a cold server falls over.
    pub fall: Time,
    /// A proxy that neither watches nor asks for so long counts as told.
    pub ask_within: Time,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            answer_slack: Time::ms(70),
            drain_grace: Time::ms(500),
            finish_grace: Time::ms(20),
            fall_multiple: 3.0,
            fall: Time::ms(3000),
            ask_within: Time::ms(10_000),
        }
    }
}

/// A kind of booking server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many there are.
    pub count: Span<u64>,
    /// Cores of each.
    pub cores: u64,
    /// How fast a core is, beside a standard one.
    #[serde(default = "standard")]
    pub speed: Span<f64>,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots_per_core: Span<u64>,
    /// Requests that may wait, for each core.
    #[serde(default = "room")]
    pub queue_per_core: Span<u64>,
    /// Its capacity as it starts, as a share.
    #[serde(default = "cold_from")]
    pub cold_from: Span<Part>,
    /// How long it takes to warm up.
    #[serde(default = "warm_up")]
    pub warm_up: Span<Time>,
    /// Each request over `thrash_at` held for a core costs this share of its speed.
    #[serde(default = "no_part")]
    pub thrash: Span<Part>,
    /// See `thrash`.
    #[serde(default = "thrash_at")]
    pub thrash_at: Span<f64>,
    /// Errors that happen on any day.
    #[serde(default = "no_part")]
    pub errors: Span<Part>,
    /// Whether waiting work that was given up is dropped.
    #[serde(default)]
    pub drops_given_up: bool,
    /// Whether work that was given up stops, also where it has begun.
    #[serde(default)]
    pub stops_given_up: bool,
    /// What happens when it is overdriven; nothing without it.
    pub jam: Option<Jam>,
    /// Its connections.
    #[serde(default)]
    pub connections: Connections,
    /// Its load reports.
    #[serde(default)]
    pub reports: Reports,
    /// What a probe costs it.
    #[serde(default = "probe_work")]
    pub probe_work: Span<Time>,
}

fn standard() -> Span<f64> {
    Span::one(1.0)
}

fn slots() -> Span<u64> {
    Span::one(4)
}

fn room() -> Span<u64> {
    Span::one(30)
}

fn cold_from() -> Span<Part> {
    Span::one(Part(0.35))
}

fn warm_up() -> Span<Time> {
    Span::one(Time::ms(8300))
}

fn thrash_at() -> Span<f64> {
    Span::one(4.0)
}

fn probe_work() -> Span<Time> {
    Span::one(Time(200))
}

/// What overdriving does: a server that holds too much for too long turns slow, and stays so until it rests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Jam {
    /// More requests held for a core than this,
    pub above: Span<f64>,
    /// for this long, jams it.
    pub over: Span<Time>,
    /// By how much slower it then is.
    pub slower: Span<f64>,
    /// It recovers after holding fewer for a core than this,
    pub below: Span<f64>,
    /// for this long,
    pub rest: Span<Time>,
    /// or after this long in any case.
    pub most: Span<Time>,
}

/// Connections at a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// The most it holds.
    pub cap: Span<u64>,
    /// Round trips that a new one takes.
    pub round_trips: Span<u64>,
    /// Work that a new one takes.
    pub work: Span<Time>,
    /// What a full table takes of its capacity.
    pub full_tax: Span<Part>,
    /// One that stood idle so long is closed.
    pub keepalive: Time,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            cap: Span::one(2000),
            round_trips: Span { lo: 1, hi: 2 },
            work: Span { lo: Time(2700), hi: Time(6000) },
            full_tax: Span { lo: Part(0.17), hi: Part(0.33) },
            keepalive: Time::ms(60_000),
        }
    }
}

/// Load reports of a server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// They are renewed so often,
    pub period: Span<Time>,
    /// so late,
    pub delay: Span<Time>,
    /// and off by so much.
    pub noise: Span<Part>,
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            period: Span { lo: Time::ms(620), hi: Time::ms(1600) },
            delay: Span { lo: Time::ms(100), hi: Time::ms(500) },
            noise: Span { lo: Part(0.01), hi: Part(0.06) },
        }
    }
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing: it may be repeated.
    Safe,
    /// Harm: it must never run twice.
    Unsafe,
    /// It carries a key: servers of one group drop a repeat within the class's window; elsewhere it would run twice.
    Keyed,
}

/// Which servers drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    All,
    /// Those of a zone.
    #[default]
    Zone,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, the first part of its path.
    pub name: String,
    /// Its share of the requests.
    pub share: Span<Part>,
    /// Its work on a standard core, in the mean.
    pub work: Span<Time>,
    /// The ratio of deviation to mean of its work.
    #[serde(default = "none")]
    pub spread: Span<f64>,
    /// An answer within this earns its worth.
    pub target: Time,
    /// How long a client waits, over all its tries.
    pub deadline: Time,
    /// What it is worth.
    pub worth: f64,
    /// What a second execution would do.
    pub effect: Effect,
    /// For a keyed class: who drops repeats,
    #[serde(default)]
    pub group: Group,
    /// and for how long after the first attempt that may have run.
    #[serde(default)]
    pub window: Time,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: Part,
    /// What it asks for, as a part of its share.
    #[serde(default = "whole")]
    pub usage: Span<Part>,
}

fn whole() -> Span<Part> {
    Span::one(Part(1.0))
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    ///
    /// The text is not a scenario in TOML, or one of its values is out of bounds.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Every figure that the model divides by, indexes with or waits for.
    fn check(&self) -> Result<(), ScenarioError> {
        let fail = |key: &str, fault: &str| {
            Err(ScenarioError::Figure { key: key.to_owned(), fault: fault.to_owned() })
        };
        if self.load.share.is_some() == self.load.rate.is_some() {
            return fail("load", "give either `share` (of the servers' capacity) or `rate`, not both");
        }
        if self.load.proxies.lo == 0 {
            return fail("load.proxies", "at least 1 is needed");
        }
        if self.length.lo < Time::ms(1000) {
            return fail("length", "a day lasts at least `1s`");
        }
        if self.tick < Time(100) || self.tick > Time::ms(100) {
            return fail("tick", "write a time from `100us` to `100ms`");
        }
        if let Some(every) = self.load.burst_every
            && every.lo < Time::ms(10)
        {
            return fail("load.burst_every", "write at least `10ms`");
        }
        for (list, key) in [
            (self.zones.len(), "zones"),
            (self.kind.len(), "kind"),
            (self.class.len(), "class"),
            (self.kind.iter().map(|kind| kind.count.lo as usize).sum(), "kind.count"),
        ] {
            if list == 0 {
                return fail(key, "at least one is needed");
            }
        }
        let names = |key: &str, mut names: Vec<&str>| {
            names.sort_unstable();
            match names.windows(2).find(|pair| pair[0] == pair[1]) {
                Some(pair) => fail(key, &format!("the name {:?} is used twice", pair[0])),
                None => Ok(()),
            }
        };
        names("zones", self.zones.iter().map(String::as_str).collect())?;
        names("kind.name", self.kind.iter().map(|kind| kind.name.as_str()).collect())?;
        names("class.name", self.class.iter().map(|class| class.name.as_str()).collect())?;
        names("tenant.name", self.tenant.iter().map(|tenant| tenant.name.as_str()).collect())?;
        for kind in &self.kind {
            let key = |what: &str| format!("kind {:?}: {what}", kind.name);
            if kind.cores == 0 || kind.slots_per_core.lo == 0 {
                return fail(&key("cores, slots_per_core"), "at least 1 is needed");
            }
            if kind.speed.lo <= 0.0 {
                return fail(&key("speed"), "it has to be above 0");
            }
            if kind.cold_from.lo.0 <= 0.0 || kind.cold_from.hi.0 > 1.0 {
                return fail(&key("cold_from"), "write a share above `0%`, up to `100%`");
            }
            if kind.reports.period.lo < Time::ms(1) {
                return fail(&key("reports.period"), "write at least `1ms`");
            }
            if kind.connections.cap.lo == 0 {
                return fail(&key("connections.cap"), "at least 1 is needed");
            }
            if kind.connections.full_tax.hi.0 >= 1.0 {
                return fail(&key("connections.full_tax"), "it has to be below `100%`");
            }
            if let Some(jam) = &kind.jam
                && (jam.slower.lo < 1.0 || jam.below.hi >= jam.above.lo)
            {
                return fail(&key("jam"), "`slower` is at least 1, and `below` lies below `above`");
            }
        }
        for class in &self.class {
            let key = |what: &str| format!("class {:?}: {what}", class.name);
            if class.target > class.deadline || class.target == Time::ZERO {
                return fail(&key("target"), "it lies above `0s` and not above `deadline`");
            }
            if (class.effect == Effect::Keyed) == (class.window == Time::ZERO) {
                return fail(
                    &key("window"),
                    "a keyed class needs one above `0s`, and no other class has one",
                );
            }
            if class.work.lo == Time::ZERO {
                return fail(&key("work"), "it has to be above `0ms`");
            }
            if !class.worth.is_finite() || class.worth < 0.0 {
                return fail(&key("worth"), "it has to be finite and not below 0");
            }
        }
        if self.class.iter().all(|class| class.share.lo.0 <= 0.0) {
            return fail("class.share", "at least one class needs a share above `0%`");
        }
        if !self.tenant.is_empty() && self.tenant.iter().all(|tenant| tenant.share.0 <= 0.0) {
            return fail("tenant.share", "at least one tenant needs a share above `0%`");
        }
        if self.proxy.attempts == 0 {
            return fail("proxy.attempts", "at least 1 is needed");
        }
        if self.proxy.sockets < 64 {
            return fail("proxy.sockets", "at least 64 are needed");
        }
        if self.rules.fall_multiple <= 0.0 || self.rules.fall == Time::ZERO {
            return fail("rules.fall_multiple, rules.fall", "they have to be above 0");
        }
        if self.discovery.capacity.lo.0 <= 0.0 {
            return fail("discovery.capacity", "it has to be above `0/s`");
        }
        for (at, trouble) in self.trouble.iter().enumerate() {
            if trouble.part.hi.0 > 1.0 {
                return fail(&format!("trouble {}: part", at + 1), "it is at most `100%`");
            }
            let bounded = !matches!(trouble.fault, Fault::Surge);
            if bounded && trouble.size.hi.0 > 1.0 {
                return fail(&format!("trouble {}: size", at + 1), "it is at most `100%`");
            }
            if trouble.every.lo < Time::ms(1) {
                return fail(&format!("trouble {}: every", at + 1), "write at least `1ms`");
            }
            for (key, zone) in [("zone", &trouble.zone), ("to", &trouble.to)] {
                if zone.as_ref().is_some_and(|zone| !self.zones.contains(zone)) {
                    let known = format!("write one of {}", self.zones.join(", "));
                    return fail(&format!("trouble {}: {key}", at + 1), &known);
                }
            }
            if trouble.after == After::Up && at == 0 {
                return fail("trouble 1: after", "there is no trouble before it");
            }
            if trouble.fault == Fault::Narrow && trouble.bytes.lo.0 == 0 {
                return fail(&format!("trouble {}: bytes", at + 1), "write how many pass in a second");
            }
        }
        Ok(())
    }
}
