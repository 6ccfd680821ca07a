//! The checkers. Each reads the record of what crossed the links, and nothing else.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;

use mosshead_emulator::Process;
use mosshead_world::events::EventKind;
use mosshead_world::scenario::{LinkKind, RepeatEffect, Scenario};
use mosshead_world::{ServerId, Time};
use serde::Serialize;

use crate::link_record::{Crossed, Crossing, Record};

/// What reached a process so shortly before it was stopped it may not have read.
const UNREAD: Time = Time::from_millis(50);

/// What a checker holds a fleet to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Law {
    /// What must not run twice leaves a proxy whole once, unless the earlier attempt provably never ran.
    SentOnce,
    /// A list that is held never gives way to an older one.
    ListGoesForward,
    /// Nothing new leaves for a server past the grace after the proxy read that it drains or has gone.
    KeepsDrains,
    /// Nothing leaves for a server that a former life read to drain or to have gone, before this life has read otherwise;
    /// where that life's folder is still there.
    KnowsFormerLife,
    /// Who says that it is warming, or in full service, has read a list in this life.
    SaysWhatItKnows,
    /// Who is asked at the day's end, and has read a list long before, says that it is in full service.
    ComesBack,
}

impl fmt::Display for Law {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Law::SentOnce => "what must not run twice leaves a proxy whole once",
            Law::ListGoesForward => "a list that is held never gives way to an older one",
            Law::KeepsDrains => "nothing new leaves for a server that was read to drain or to have gone",
            Law::SaysWhatItKnows => {
                "who says that it is warming or in full service has read a list in this life"
            }
            Law::ComesBack => "who has had its list for long is in full service at the end",
            Law::KnowsFormerLife => {
                "nothing leaves for a server that a former life read to drain or to have gone"
            }
        })
    }
}

/// A law that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which law.
    pub law: Law,
    /// When, in seconds of the day.
    pub at_s: f64,
    /// By whom.
    pub proxy: usize,
    /// What crossed.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "BROKEN at {:.6} s by proxy {}: {}: {}", self.at_s, self.proxy, self.law, self.what)
    }
}

fn breach(law: Law, crossing: &Crossing, what: String) -> Breach {
    Breach { law, at_s: crossing.at.as_seconds(), proxy: crossing.proxy, what }
}

/// All laws, over one record.
pub fn all(record: &Record, scenario: &Scenario) -> Vec<Breach> {
    let mut found = sent_once(record, scenario);
    found.extend(list_goes_forward(record));
    found.extend(keeps_drains(record, scenario.rules.drain_grace));
    found.extend(knows_former_life(record));
    found.extend(says_what_it_knows(record));
    found.extend(comes_back(record));
    found.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    found
}

/// See [`Law::SentOnce`].
pub fn sent_once(record: &Record, scenario: &Scenario) -> Vec<Breach> {
    let single = |name: &str| {
        scenario.classes.iter().any(|class| class.name == name && class.repeat_effect == RepeatEffect::Unsafe)
    };
    // The connections on which an attempt left that may have run.
    let mut may_have_run: HashMap<&str, Vec<u64>> = HashMap::new();
    let mut found = Vec::new();
    for (crossing, _) in record.of(LinkKind::Server) {
        match &crossing.what {
            Crossed::Sent { id, class, .. } if single(class) => {
                let earlier = may_have_run.entry(id).or_default();
                if let Some(first) = earlier.first() {
                    let what = format!("{class} {id} on connection {}, after {first}", crossing.conn);
                    found.push(breach(Law::SentOnce, crossing, what));
                }
                earlier.push(crossing.conn);
            }
            Crossed::Answered { id, status: 503 | 504, unprocessed: true } => {
                if let Some(earlier) = may_have_run.get_mut(id.as_str()) {
                    earlier.retain(|conn| *conn != crossing.conn);
                }
            }
            _ => {}
        }
    }
    found
}

/// See [`Law::ListGoesForward`]: what discovery has told in this life counts. A saved list's version is hearsay, and a
/// call without a version asks for the whole list.
pub fn list_goes_forward(record: &Record) -> Vec<Breach> {
    let mut told: HashMap<usize, u64> = HashMap::new();
    let stops = pauses(record);
    // What reached the machine of a process that stood still, it need not have read.
    let unread = |crossing: &Crossing| {
        let stood = |(proxy, from, until): &(usize, Time, Time)| {
            *proxy == crossing.proxy && *from <= crossing.at + UNREAD && crossing.at < *until
        };
        stops.iter().any(stood)
    };
    let mut found = Vec::new();
    for crossing in &record.crossings {
        match crossing.what {
            Crossed::Process(Process::Started) => _ = told.remove(&crossing.proxy),
            Crossed::Listed { status: 200, version, .. } if !unread(crossing) => {
                let told = told.entry(crossing.proxy).or_default();
                *told = version.max(*told);
            }
            Crossed::Call { from: Some(from) } => {
                if let Some(told) = told.get(&crossing.proxy).filter(|told| **told > from) {
                    let what = format!("it goes on from version {from}, and was told {told}");
                    found.push(breach(Law::ListGoesForward, crossing, what));
                }
            }
            _ => {}
        }
    }
    found
}

/// See [`Law::KeepsDrains`]. What came while a proxy stood still counts from when it goes on; a list that is older than one
/// that was told before tells nothing.
pub fn keeps_drains(record: &Record, grace: Time) -> Vec<Breach> {
    /// What one life of a proxy has read of a server.
    struct Known {
        address: SocketAddr,
        serving: bool,
        since: Time,
    }
    let mut known: HashMap<usize, BTreeMap<&str, Known>> = HashMap::new();
    let stops = pauses(record);
    let mut told: HashMap<usize, u64> = HashMap::new();
    let mut found = Vec::new();
    for crossing in &record.crossings {
        let list = known.entry(crossing.proxy).or_default();
        match &crossing.what {
            Crossed::Process(Process::Started) => {
                list.clear();
                told.remove(&crossing.proxy);
            }
            Crossed::Listed { status: 200, version, .. }
                if told.get(&crossing.proxy).is_some_and(|told| told > version) => {}
            Crossed::Listed { status: 200, version, full, lines } => {
                told.insert(crossing.proxy, *version);
                let since = crossing.at;
                if *full {
                    let missing = list
                        .iter_mut()
                        .filter(|(id, known)| known.serving && lines.iter().all(|line| line.id != **id));
                    missing.for_each(|(_, known)| (known.serving, known.since) = (false, since));
                }
                for line in lines {
                    let before = list.get(line.id.as_str());
                    let same = before.is_some_and(|before| before.serving == line.serving);
                    let since = before.filter(|_| same).map_or(since, |before| before.since);
                    list.insert(&line.id, Known { address: line.address, serving: line.serving, since });
                }
            }
            Crossed::Sent { id, began, .. } => {
                let Some(place) = crossing.place else { continue };
                let mut there = list.iter().filter(|(_, known)| known.address == place.address).peekable();
                if there.peek().is_none() || there.clone().any(|(_, known)| known.serving) {
                    continue;
                }
                let Some((server, last)) = there.max_by_key(|(_, known)| known.since) else { continue };
                let since = stops
                    .iter()
                    .filter(|(proxy, from, until)| {
                        *proxy == crossing.proxy && *from <= last.since && last.since < *until
                    })
                    .map(|(_, _, until)| *until)
                    .fold(last.since, Time::max);
                if *began > since + grace {
                    let what = format!("{id} to {server}, read {} before its first byte", *began - since);
                    found.push(breach(Law::KeepsDrains, crossing, what));
                }
            }
            _ => {}
        }
    }
    found
}

/// See [`Law::SaysWhatItKnows`].
pub fn says_what_it_knows(record: &Record) -> Vec<Breach> {
    let mut read: HashMap<usize, bool> = HashMap::new();
    let mut found = Vec::new();
    for crossing in &record.crossings {
        match &crossing.what {
            Crossed::Process(Process::Started) => _ = read.insert(crossing.proxy, false),
            Crossed::Listed { status: 200, .. } => _ = read.insert(crossing.proxy, true),
            Crossed::Said { status: 200, stage }
                if matches!(stage.as_str(), "warming" | "full")
                    && read.get(&crossing.proxy) != Some(&true) =>
            {
                found.push(breach(Law::SaysWhatItKnows, crossing, format!("it says {stage}")));
            }
            _ => {}
        }
    }
    found
}

/// So long after its first list a proxy is in full service, on a day that ends soundly.
const COME_BACK: Time = Time::from_millis(7000);

/// See [`Law::ComesBack`]: the last word of each proxy.
pub fn comes_back(record: &Record) -> Vec<Breach> {
    let mut first: HashMap<usize, Time> = HashMap::new();
    let mut last: BTreeMap<usize, &Crossing> = BTreeMap::new();
    for crossing in &record.crossings {
        match &crossing.what {
            Crossed::Process(Process::Started | Process::Signalled("SIGSTOP")) => {
                first.remove(&crossing.proxy);
                last.remove(&crossing.proxy);
            }
            Crossed::Listed { status: 200, .. } => _ = first.entry(crossing.proxy).or_insert(crossing.at),
            Crossed::Said { .. } => _ = last.insert(crossing.proxy, crossing),
            _ => {}
        }
    }
    let late = |(proxy, crossing): (usize, &Crossing)| {
        let since = crossing.at - *first.get(&proxy).filter(|first| **first + COME_BACK <= crossing.at)?;
        let Crossed::Said { stage, .. } = &crossing.what else { return None };
        let what = format!("{since} after its first list it says {stage}");
        (stage != "full").then(|| breach(Law::ComesBack, crossing, what))
    };
    last.into_iter().filter_map(late).collect()
}

/// What is read of a list has been written down so long after, also by a machine that is busy with other days.
const WRITTEN: Time = Time::from_millis(500);

/// See [`Law::KnowsFormerLife`]. What was read shortly before an end need not have been written down. Whoever finds an older
/// folder, or whose folder takes nothing more, knows less: no law binds it.
pub fn knows_former_life(record: &Record) -> Vec<Breach> {
    #[derive(Default)]
    struct Life {
        /// By server: where it is, whether it serves, and since when that is known.
        read: BTreeMap<String, (SocketAddr, bool, Time)>,
        /// The folder takes what this life reads.
        writes: bool,
        /// What the lives before knew; nothing once this one has read a list itself.
        former: BTreeMap<String, (SocketAddr, bool)>,
        finds: &'static str,
    }
    let mut lives: HashMap<usize, Life> = HashMap::new();
    let mut found = Vec::new();
    for crossing in &record.crossings {
        let life = lives.entry(crossing.proxy).or_default();
        match &crossing.what {
            Crossed::Process(Process::Finds(finds)) => life.finds = finds,
            Crossed::Process(Process::Started) => {
                let Life { read, writes, mut former, finds } = std::mem::take(life);
                // What need not have been written down is taken for serving: it excuses what goes there.
                let serves = |serving, since: Time| serving || !writes || since + WRITTEN > crossing.at;
                let news = |(id, (address, serving, since))| (id, (address, serves(serving, since)));
                former.extend(read.into_iter().map(news));
                let whole = matches!(finds, "kept" | "full" | "stuck");
                life.former = if whole { former } else { BTreeMap::new() };
                life.writes = finds != "full" && finds != "stuck";
            }
            Crossed::Process(Process::Ended) => {
                // What it read in the last instants of its life.
                let late = life.read.values_mut().filter(|(.., since)| *since + WRITTEN > crossing.at);
                late.for_each(|(_, serving, _)| *serving = true);
            }
            Crossed::Listed { status: 200, full, lines, .. } => {
                life.former.clear();
                if *full {
                    let gone =
                        life.read.iter_mut().filter(|(id, _)| lines.iter().all(|line| line.id != **id));
                    gone.filter(|(_, known)| known.1)
                        .for_each(|(_, known)| (known.1, known.2) = (false, crossing.at));
                }
                for line in lines {
                    let same = life.read.get(&line.id).filter(|known| known.1 == line.serving);
                    let since = same.map_or(crossing.at, |known| known.2);
                    life.read.insert(line.id.clone(), (line.address, line.serving, since));
                }
            }
            Crossed::Sent { id, .. } => {
                let Some(place) = crossing.place else { continue };
                let there = || life.former.iter().filter(|(_, known)| known.0 == place.address);
                if let Some((server, _)) = there().next().filter(|_| there().all(|(_, known)| !known.1)) {
                    let what = format!("{id} to {server}");
                    found.push(breach(Law::KnowsFormerLife, crossing, what));
                }
            }
            _ => {}
        }
    }
    found
}

/// When proxies stood still: who, from when, until when.
fn pauses(record: &Record) -> Vec<(usize, Time, Time)> {
    let mut stops: Vec<(usize, Time, Time)> = Vec::new();
    for fact in &record.facts {
        match fact.kind {
            EventKind::ProxyPaused { proxy } => stops.push((proxy, fact.at, Time::NEVER)),
            EventKind::ProxyResumed { proxy } => {
                let open =
                    stops.iter_mut().rev().find(|(of, _, until)| *of == proxy && *until == Time::NEVER);
                open.into_iter().for_each(|(_, _, until)| *until = fact.at);
            }
            _ => {}
        }
    }
    stops
}

/// The most that happened within a span of this length, and when that span began. The instants are in order.
pub fn most_within(instants: &[Time], span: Time) -> (usize, Time) {
    let mut most = (0, Time::ZERO);
    let mut first = 0;
    for (at, instant) in instants.iter().enumerate() {
        while instants[first] + span <= *instant {
            first += 1;
        }
        if at + 1 - first > most.0 {
            most = (at + 1 - first, instants[first]);
        }
    }
    most
}

/// How much of everything there was at worst, from some instant on.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Peaks {
    /// Calls for the list that left within a second.
    pub calls_in_1s: usize,
    /// Within a tenth of a second.
    pub calls_in_100ms: usize,
    /// Answers to them that were none.
    pub calls_failed: usize,
    /// First attempts that left within a tenth of a second.
    pub first_sends_in_100ms: usize,
    /// Further attempts that left within a tenth of a second, and all of them.
    pub resends_in_100ms: usize,
    /// See `resends_in_100ms`.
    pub resends: usize,
    /// All attempts.
    pub sends: usize,
    /// New connections to one server within a tenth of a second.
    pub connections_a_node_in_100ms: usize,
    /// Attempts that left for one server within a quarter of a second, as a multiple of what it can do in that.
    pub node_load: f64,
}

/// The peaks of a record from an instant on; `capacity` says how many requests a second a server can do.
pub fn peaks(record: &Record, from: Time, capacity: &impl Fn(ServerId) -> f64) -> Peaks {
    let quarter = Time::from_millis(250);
    let tenth = Time::from_millis(100);
    let mut peaks = Peaks::default();
    let (mut calls, mut first, mut further) = (Vec::new(), Vec::new(), Vec::new());
    let mut opened: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    let mut sent: BTreeMap<ServerId, Vec<Time>> = BTreeMap::new();
    let mut ids: HashMap<&str, usize> = HashMap::new();
    for crossing in &record.crossings {
        let server = crossing.place.and_then(|place| place.server);
        if let Crossed::Sent { id, .. } = &crossing.what {
            *ids.entry(id).or_default() += 1;
        }
        if crossing.at < from {
            continue;
        }
        match &crossing.what {
            Crossed::Call { .. } => calls.push(crossing.at),
            Crossed::Listed { status, .. } if *status != 200 => peaks.calls_failed += 1,
            Crossed::Sent { id, .. } => {
                let resend = ids.get(id.as_str()).is_some_and(|count| *count > 1);
                if resend { &mut further } else { &mut first }.push(crossing.at);
                server.into_iter().for_each(|server| sent.entry(server).or_default().push(crossing.at));
            }
            Crossed::Opened => {
                server.into_iter().for_each(|server| opened.entry(server).or_default().push(crossing.at));
            }
            _ => {}
        }
    }
    peaks.calls_in_1s = most_within(&calls, Time::from_millis(1000)).0;
    peaks.calls_in_100ms = most_within(&calls, tenth).0;
    peaks.first_sends_in_100ms = most_within(&first, tenth).0;
    peaks.resends_in_100ms = most_within(&further, tenth).0;
    (peaks.resends, peaks.sends) = (further.len(), first.len() + further.len());
    peaks.connections_a_node_in_100ms =
        opened.values().map(|times| most_within(times, tenth).0).max().unwrap_or_default();
    let loads = sent.iter().map(|(server, times)| {
        most_within(times, quarter).0 as f64
            / (capacity(*server) * quarter.as_seconds()).max(f64::MIN_POSITIVE)
    });
    peaks.node_load = loads.fold(0.0, f64::max);
    peaks
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::link_record::Line;
    use mosshead_emulator::Place;
    use mosshead_world::events::Event;

    const DAY: &str = r#"
title = "t"
about = "t"
length = "4s"
zones = ["a"]
[load]
proxies = 1
rate = "80/s"
[[kind]]
name = "small"
count = 1
cores = 1
[[class]]
name = "book-lesson"
share = "100%"
work = "40ms"
target = "500ms"
deadline = "1500ms"
worth = 10
effect = "unsafe"
"#;

    fn place(way: LinkKind) -> Place {
        let server = (way == LinkKind::Server).then_some(ServerId(0));
        Place { way, proxy: 0, server, zone: None, address: "127.0.0.1:9".parse().expect("an address") }
    }

    fn crossing(at: u64, way: LinkKind, conn: u64, what: Crossed) -> Crossing {
        let place = (!matches!(what, Crossed::Process(_))).then_some(place(way));
        Crossing { at: Time::from_millis(at), proxy: 0, place, conn, what }
    }

    fn sent(at: u64, conn: u64) -> Crossing {
        let (id, class) = ("a".to_owned(), "book-lesson".to_owned());
        crossing(at, LinkKind::Server, conn, Crossed::Sent { id, class, began: Time::from_millis(at) })
    }

    fn listed(at: u64, serving: bool) -> Crossing {
        let line = Line { id: "s-0".to_owned(), address: place(LinkKind::Server).address, serving };
        let lines = vec![line];
        crossing(at, LinkKind::Discovery, 9, Crossed::Listed { status: 200, version: 3, full: false, lines })
    }

    fn record(crossings: Vec<Crossing>) -> Record {
        Record { crossings, facts: Vec::new() }
    }

    /// Guards the law against a second booking: only a whole answer that it never ran allows another attempt.
    #[test]
    fn a_second_whole_attempt_is_found() {
        let scenario = Scenario::read(DAY).expect("a scenario");
        let answered = |status, unprocessed| {
            crossing(2, LinkKind::Server, 1, Crossed::Answered { id: "a".to_owned(), status, unprocessed })
        };
        assert_eq!(sent_once(&record(vec![sent(1, 1), answered(503, true), sent(3, 2)]), &scenario), []);
        for between in
            [answered(503, false), answered(500, true), crossing(2, LinkKind::Server, 1, Crossed::Ended)]
        {
            let found = sent_once(&record(vec![sent(1, 1), between, sent(3, 2)]), &scenario);
            assert_eq!(found.len(), 1, "{found:?}");
        }
    }

    /// Guards against an old list taken for new; another life begins with the list that it finds.
    #[test]
    fn a_list_that_goes_back_is_found() {
        let call = |at, from| crossing(at, LinkKind::Discovery, 1, Crossed::Call { from: Some(from) });
        let told = |at, version| {
            let lines = Vec::new();
            crossing(at, LinkKind::Discovery, 1, Crossed::Listed { status: 200, version, full: true, lines })
        };
        let started = crossing(3, LinkKind::All, 0, Crossed::Process(Process::Started));
        let saved = call(1, 99);
        assert_eq!(list_goes_forward(&record(vec![saved.clone(), told(2, 7), started, call(4, 4)])), []);
        assert_eq!(list_goes_forward(&record(vec![saved.clone(), told(2, 7), told(3, 5), call(4, 7)])), []);
        assert_eq!(list_goes_forward(&record(vec![saved, told(2, 7), told(3, 5), call(4, 5)])).len(), 1);
    }

    /// Guards the drains, also of a proxy that stood still when it was told.
    #[test]
    fn a_send_past_the_grace_is_found() {
        let grace = Time::from_millis(500);
        assert_eq!(keeps_drains(&record(vec![listed(1, true), listed(10, false), sent(505, 1)]), grace), []);
        let late = record(vec![listed(1, true), listed(10, false), sent(511, 1)]);
        assert_eq!(keeps_drains(&late, grace).len(), 1);
        assert_eq!(keeps_drains(&record(vec![listed(10, false), listed(20, true), sent(900, 1)]), grace), []);
        let fact = |at, what| Event { at: Time::from_millis(at), kind: what };
        let facts = vec![
            fact(5, EventKind::ProxyPaused { proxy: 0 }),
            fact(300, EventKind::ProxyResumed { proxy: 0 }),
        ];
        assert_eq!(keeps_drains(&Record { facts, ..late }, grace), []);
    }

    /// Guards every bound: the fullest span, wherever it begins.
    #[test]
    fn the_fullest_span_is_found() {
        let at: Vec<Time> = [0, 90, 100, 101, 150, 400].into_iter().map(Time::from_millis).collect();
        assert_eq!(most_within(&at, Time::from_millis(100)), (4, Time::from_millis(90)));
        assert_eq!(most_within(&[], Time::from_millis(100)).0, 0);
    }

    /// Guards the law on former lives: the same send is sound without a folder, after this life's own list, and while what was
    /// read may not have been written down yet.
    #[test]
    fn a_send_that_forgets_a_former_life_is_found() {
        let process = |at, what| crossing(at, LinkKind::All, 0, Crossed::Process(what));
        let day = |finds, read: u64, again: Option<bool>| {
            let mut all = vec![
                process(0, Process::Started),
                listed(100, true),
                listed(read, false),
                process(2000, Process::Ended),
                process(2500, Process::Finds(finds)),
                process(2500, Process::Started),
            ];
            all.extend(again.map(|serving| listed(2600, serving)));
            all.push(sent(2700, 7));
            knows_former_life(&record(all)).len()
        };
        assert_eq!(day("kept", 900, None), 1);
        assert_eq!(day("full", 900, None), 1, "what was written before stays");
        for (finds, read, again) in [
            ("lost", 900, None),
            ("older", 900, None),
            ("foreign", 900, None),
            ("kept", 1700, None),
            ("kept", 900, Some(true)),
            ("kept", 900, Some(false)),
        ] {
            assert_eq!(day(finds, read, again), 0, "{finds} {read} {again:?}");
        }
    }

    /// Guards the word of a proxy: it is held against what it has read, and never taken for it.
    #[test]
    fn a_word_that_the_links_do_not_bear_out_is_found() {
        let said = |at, stage: &str| {
            crossing(at, LinkKind::Admin, 5, Crossed::Said { status: 200, stage: stage.to_owned() })
        };
        let started = |at| crossing(at, LinkKind::All, 0, Crossed::Process(Process::Started));
        let boast = record(vec![
            started(0),
            said(10, "listed"),
            said(20, "full"),
            listed(30, true),
            said(40, "full"),
        ]);
        assert_eq!(says_what_it_knows(&boast).len(), 1);
        let again =
            record(vec![started(0), listed(30, true), said(40, "full"), started(50), said(60, "warming")]);
        assert_eq!(says_what_it_knows(&again).len(), 1);
        let stuck = |stage, at| record(vec![started(0), listed(30, true), said(40, "full"), said(at, stage)]);
        assert_eq!(comes_back(&stuck("warming", 8000)).len(), 1);
        assert_eq!(comes_back(&stuck("full", 8000)), []);
        assert_eq!(comes_back(&stuck("warming", 6000)), [], "it has not had its list for long");
    }
}
