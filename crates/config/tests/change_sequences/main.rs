//! Changes and patches applied one after the other against the whole read of the text that should have come out.

#[path = "../common/mod.rs"]
mod common;

use common::{Items, pick, read, same};
use mosshead_config::{Config, Route};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SERVICES: usize = 6;
/// Routes beyond the size of several chunks, each with a place of its own.
const ROUTES: usize = 260;

/// One thing that a change does.
#[derive(Debug, Clone, Copy)]
enum Act {
    Put { route: usize, timeout_ms: u64, service: usize },
    Swap { one: usize, other: usize },
    TakePlace { of: usize, by: usize },
    Drop { route: usize },
    DropMany { from: usize },
    PutService { service: usize, connections: u64 },
    DropService { service: usize },
    NoTimeout { route: usize },
    ZeroWeight { route: usize },
    UnknownService { route: usize },
}

impl Act {
    /// The whole read finds these at another place of its text, so that only the codes can be equal.
    fn is_of_one_item(self) -> bool {
        matches!(self, Act::NoTimeout { .. } | Act::ZeroWeight { .. })
    }
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, end: usize| usize::arbitrary(g) % end;
        let (route, other, service) = (below(g, ROUTES), below(g, ROUTES), below(g, SERVICES));
        match below(g, 60) {
            0..30 => Act::Put { route, timeout_ms: 1 + u64::from(u8::arbitrary(g)), service },
            30..35 => Act::Swap { one: route, other },
            35..37 => Act::TakePlace { of: route, by: other },
            37..46 => Act::Drop { route },
            46..49 => Act::DropMany { from: route },
            49..52 => Act::PutService { service, connections: 1 + u64::from(u8::arbitrary(g)) },
            52..55 => Act::DropService { service },
            55 => Act::NoTimeout { route },
            56 => Act::ZeroWeight { route },
            _ => Act::UnknownService { route },
        }
    }
}

/// How many routes there are first, and changes, each of several acts.
#[derive(Debug, Clone)]
struct Story {
    first: usize,
    changes: Vec<Vec<Act>>,
}

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Self {
        let change = |g: &mut Gen| {
            let mut acts: Vec<Act> =
                (0..pick(g, &[1, 1, 1, 2, 3, 8, 60])).map(|_| Act::arbitrary(g)).collect();
            // Of two faults in items the one that is read first is told, and the two ways read in other orders.
            let mut faulty = false;
            acts.retain(|act| !act.is_of_one_item() || !std::mem::replace(&mut faulty, true));
            acts
        };
        Story {
            first: pick(g, &[0, 1, 20, 70, 130, 200]),
            changes: (0..pick(g, &[1, 3, 10, 25])).map(|_| change(g)).collect(),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let first = self.first;
        Box::new(self.changes.shrink().map(move |changes| Story { first, changes }))
    }
}

fn service_name(service: usize) -> String {
    format!("s{service}")
}

fn service(service: usize, connections: u64) -> (String, String) {
    let name = service_name(service);
    let text = format!("{{\"name\":\"{name}\",\"max_connections\":{connections}}}");
    (name, text)
}

/// The digits of the number as a path, so that prefixes begin each other.
fn prefix(place: usize) -> String {
    let mut path = String::from("/");
    let mut left = place / 2;
    while left > 0 {
        path += &format!("{}/", left % 3);
        left /= 3;
    }
    path
}

fn host(place: usize) -> &'static str {
    if place.is_multiple_of(2) { "a.example" } else { "b.example" }
}

/// Names are scattered, so that their order is another one than that of the list.
fn route(number: usize, place: usize, timeout_ms: u64, backend: &str) -> (String, String) {
    let name = format!("r{}", number * 7919 % 1000);
    let text = format!(
        "{{\"name\":\"{name}\",\"host_header\":\"{}\",\"path_prefix\":\"{}\",\"timeout_ms\":{timeout_ms},{backend}}}",
        host(place),
        prefix(place),
    );
    (name, text)
}

fn to(service: &str) -> String {
    format!("\"backend_service\":\"{service}\"")
}

#[derive(Default)]
struct Change {
    routes: Items,
    services: Items,
    gone_routes: Vec<String>,
    gone_services: Vec<String>,
}

impl Change {
    fn new(acts: &[Act]) -> Self {
        let mut change = Change::default();
        for act in acts {
            change.add(*act);
        }
        change
    }

    fn add(&mut self, act: Act) {
        match act {
            Act::Put { route: number, timeout_ms, service } => {
                self.put(route(number, number, timeout_ms, &to(&service_name(service))));
            }
            Act::Swap { one, other } => {
                self.put(route(one, other, 9, &to("s0")));
                self.put(route(other, one, 9, &to("s0")));
            }
            Act::TakePlace { of, by } => self.put(route(by, of, 9, &to("s0"))),
            Act::Drop { route: number } => self.gone_routes.push(route(number, 0, 1, "").0),
            Act::DropMany { from } => {
                self.gone_routes.extend((from..from + 90).map(|number| route(number, 0, 1, "").0));
            }
            Act::PutService { service: number, connections } => {
                let new = service(number, connections);
                if self.services.iter().all(|(name, _)| *name != new.0) {
                    self.services.push(new);
                }
            }
            Act::DropService { service } => self.gone_services.push(service_name(service)),
            Act::NoTimeout { route: number } => self.put(route(number, number, 0, &to("s0"))),
            Act::ZeroWeight { route: number } => {
                let none = "\"weighted_backends\":[{\"backend_service\":\"s0\",\"weight\":0}]";
                self.put(route(number, number, 9, none));
            }
            Act::UnknownService { route: number } => self.put(route(number, number, 9, &to("unknown"))),
        }
    }

    /// No name may be there twice.
    fn put(&mut self, route: (String, String)) {
        if self.routes.iter().all(|(name, _)| *name != route.0) {
            self.routes.push(route);
        }
    }

    fn text(&self, revision: u64) -> String {
        let texts = |items: &Items| items.iter().map(|(_, text)| text.as_str()).collect::<Vec<_>>().join(",");
        format!(
            "{{\"revision\":{revision},\"upsert\":{{\"route_entries\":[{}],\"backend_services\":[{}]}},\
             \"withdraw\":{{\"route_entries\":{:?},\"backend_services\":{:?}}}}}",
            texts(&self.routes),
            texts(&self.services),
            self.gone_routes,
            self.gone_services,
        )
    }
}

/// The lists as they should be, kept in the plainest way.
#[derive(Clone)]
struct Lists {
    revision: u64,
    routes: Items,
    services: Items,
}

impl Lists {
    fn first(routes: usize) -> Self {
        Lists {
            revision: 1,
            routes: (0..routes).map(|number| route(number, number, 5, &to("s0"))).collect(),
            services: (0..SERVICES).map(|number| service(number, 8)).collect(),
        }
    }

    fn changed(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.revision += 1;
        apply(&mut next.routes, &change.routes, &change.gone_routes);
        apply(&mut next.services, &change.services, &change.gone_services);
        next
    }

    fn text(&self) -> String {
        let texts = |items: &Items| items.iter().map(|(_, text)| text.as_str()).collect::<Vec<_>>().join(",");
        format!(
            "{{\"revision\":{},\"route_entries\":[{}],\"backend_services\":[{}],\"more\":[1, 2]}}",
            self.revision,
            texts(&self.routes),
            texts(&self.services)
        )
    }
}

fn apply(list: &mut Items, upsert: &Items, withdraw: &[String]) {
    list.retain(|(name, _)| !withdraw.contains(name));
    for (name, text) in upsert {
        match list.iter_mut().find(|(own, _)| own == name) {
            Some(own) => own.1 = text.clone(),
            None => list.push((name.clone(), text.clone())),
        }
    }
}

fn scan<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let fits = |route: &&std::sync::Arc<Route>| route.host == host && path.starts_with(&route.path_prefix);
    config.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len()).map(|route| route.as_ref())
}

fn finds_as_a_scan_does(config: &Config) {
    for place in (0..4 * ROUTES).step_by(13) {
        let path = format!("{}x", prefix(place));
        let found = config.find_route(host(place), &path).map(|route| route.as_ref());
        assert_eq!(found, scan(config, host(place), &path), "{path}");
    }
}

/// Plays a story; how many changes were taken and refused.
fn play(story: &Story) -> (usize, usize) {
    let mut lists = Lists::first(story.first);
    let mut current = read(&lists.text()).expect("valid");
    let mut follower = current.clone();
    let mut late = (current.clone(), Vec::new());
    let (mut taken, mut refused) = (0, 0);
    for acts in &story.changes {
        let change = Change::new(acts);
        let next = lists.changed(&change);
        let whole = read(&next.text());
        let beside = current.parse_sharing(next.text().as_bytes());
        assert_eq!(beside, whole);
        let stepwise = current.modify(change.text(next.revision).as_bytes());
        match (stepwise, whole) {
            (Ok(stepwise), Ok(whole)) => {
                same(&stepwise, &whole);
                same(&beside.expect("equal"), &whole);
                assert_eq!(
                    Config::parse_replacement(Some(&current), whole.json().as_bytes()).as_ref(),
                    Ok(&whole)
                );
                assert_eq!(stepwise.json_length(), stepwise.json().len());
                assert_eq!(stepwise.to_json(), whole.json().as_ref());
                finds_as_a_scan_does(&stepwise);
                // A patch is the same whichever way the configurations came about.
                let patch = current.patch_to(&stepwise);
                assert_eq!(patch, current.patch_to(&whole));
                follower = follower.apply_patch(&patch).expect("fits");
                same(&follower, &whole);
                late.1.push(patch);
                (current, lists) = (stepwise, next);
                taken += 1;
            }
            (Err(one), Err(other)) => {
                assert_eq!(one.code(), other.code(), "{one}, {other}");
                if !acts.iter().any(|act| act.is_of_one_item()) {
                    assert_eq!(one, other);
                }
                refused += 1;
            }
            (one, other) => panic!("{one:?} and {other:?}"),
        }
    }
    let caught_up = late.1.iter().try_fold(late.0, |config, patch| config.apply_patch(patch)).expect("fits");
    same(&caught_up, &current);
    (taken, refused)
}

#[test]
fn changes_one_by_one_give_what_the_whole_read_gives() {
    fn property(story: Story) -> bool {
        play(&story);
        true
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Story) -> bool);
}

#[test]
fn the_stories_hold_enough_of_both() {
    let mut g = Gen::new(20);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..40 {
        let counts = play(&Story::arbitrary(&mut g));
        (taken, refused) = (taken + counts.0, refused + counts.1);
    }
    assert!(taken > 40 && refused > 40, "{taken} taken, {refused} refused");
}

/// Configurations of the same revision that differ from the first one by a little each.
fn others(lists: &Lists) -> Vec<(&'static str, String)> {
    let with = |edit: &dyn Fn(&mut Lists)| {
        let mut other = lists.clone();
        edit(&mut other);
        other.text()
    };
    let text = lists.text();
    let moved = text.replacen("\"revision\":1,", "", 1).replacen("\"more\"", "\"revision\":1,\"more\"", 1);
    vec![
        ("one item", with(&|other| other.routes[77] = route(77, 77, 6, &to("s0")))),
        ("two items", with(&|other| other.routes.swap(70, 71))),
        ("two far items", with(&|other| other.routes.swap(3, 150))),
        ("an item less", with(&|other| drop(other.routes.remove(100)))),
        ("an item more", with(&|other| other.routes.push(route(201, 201, 6, &to("s0"))))),
        ("a service", with(&|other| other.services[1] = service(1, 9))),
        ("services turned", with(&|other| other.services.reverse())),
        ("a plain field", text.replace("[1, 2]", "[1,3]")),
        ("a field more", text.replace("\"more\"", "\"yet\":0,\"more\"")),
        ("fields moved", moved),
    ]
}

#[test]
fn a_patch_for_another_configuration_of_the_revision_is_refused() {
    let lists = Lists::first(200);
    let first = read(&lists.text()).expect("valid");
    let acts = [
        vec![Act::Put { route: 10, timeout_ms: 77, service: 1 }],
        vec![Act::Put { route: 240, timeout_ms: 77, service: 1 }],
        vec![Act::Drop { route: 20 }],
        vec![Act::PutService { service: 3, connections: 99 }],
    ];
    for acts in acts {
        let next = first.modify(Change::new(&acts).text(2).as_bytes()).expect("valid");
        let patch = first.patch_to(&next);
        assert_eq!(first.apply_patch(&patch).as_ref(), Ok(&next));
        for (what, other) in others(&lists) {
            let other = read(&other).expect(what);
            assert_eq!(other.apply_patch(&patch).map_err(|fault| fault.code()), Err(14), "{what}: {acts:?}");
        }
    }
}

#[test]
fn a_change_shares_what_it_does_not_touch() {
    let lists = Lists::first(200);
    let first = read(&lists.text()).expect("valid");
    let change = Change::new(&[Act::Put { route: 10, timeout_ms: 77, service: 1 }, Act::Drop { route: 20 }]);
    let next = first.modify(change.text(2).as_bytes()).expect("valid");
    let patched = first.apply_patch(&first.patch_to(&next)).expect("fits");
    let beside = first.parse_sharing(next.json().as_bytes()).expect("valid");
    for newer in [&next, &patched, &beside] {
        let shared = newer
            .routes
            .iter()
            .filter(|route| first.routes.iter().any(|old| std::sync::Arc::ptr_eq(old, route)));
        assert_eq!((shared.count(), newer.routes.len()), (198, 199));
        assert!(std::sync::Arc::ptr_eq(&first.services, &newer.services));
    }
}

#[test]
fn a_text_beside_any_other_is_read_as_alone() {
    let lists = Lists::first(200);
    let mut texts: Vec<String> = others(&lists).into_iter().map(|(_, text)| text).collect();
    texts.push(lists.text());
    texts.push(lists.text().replace(",\"timeout_ms\"", " , \"timeout_ms\""));
    texts.push(lists.text().replace("},{", "} ,\n{"));
    let mut twice = lists.clone();
    twice.routes.push(lists.routes[3].clone());
    texts.push(twice.text());
    twice.routes.swap(9, 200);
    texts.push(twice.text());
    for one in texts.iter().filter_map(|text| read(text).ok()) {
        for other in &texts {
            let (beside, alone) = (one.parse_sharing(other.as_bytes()), read(other));
            assert_eq!(beside, alone);
            if let (Ok(beside), Ok(alone)) = (beside, alone) {
                same(&beside, &alone);
                same(&one.apply_patch(&one.patch_to(&beside)).expect("fits"), &alone);
            }
        }
    }
}

#[test]
fn the_revision_is_told_before_the_whole_is_read() {
    let lists = Lists::first(3);
    assert_eq!(mosshead_config::peek_revision(lists.text().as_bytes()), Some(1));
    assert_eq!(mosshead_config::peek_revision(br#"{"upsert":{"revision":3},"revision":4}"#), Some(4));
    for text in
        ["", "[]", "{}", "{\"revision\":1.5}", "{\"revision\":\"1\"}", "{\"revision\":1", "{\"revision\":1}}"]
    {
        assert_eq!(mosshead_config::peek_revision(text.as_bytes()), None, "{text}");
    }
}

/// What is wrong within a field or an item must be found as well where all around it is as before.
#[test]
fn a_fault_beside_a_sound_configuration_is_the_same_fault() {
    let base = common::whole();
    let deep = "[".repeat(100_000);
    let nested = |levels: usize| format!("{}0{}", "[".repeat(levels), "]".repeat(levels));
    let spots =
        [("\"a b\\t\\u0041\"", mosshead_config::MAX_DEPTH - 2), ("\"blue\"", mosshead_config::MAX_DEPTH - 3)];
    for (spot, levels) in spots {
        assert!(common::WHOLE.contains(spot), "{spot}");
        let pieces = [
            (4, nested(levels + 1)),
            (4, deep.clone()),
            (5, "{\"k\":1,\"k\":2}".to_owned()),
            (3, "\"\\u 0041\"".to_owned()),
            (3, "[1,]".to_owned()),
            (3, "[1}".to_owned()),
        ];
        for (code, piece) in pieces {
            let text = common::WHOLE.replace(spot, &piece);
            let fault = base.parse_sharing(text.as_bytes()).expect_err(&text[..200]);
            assert_eq!((fault.code(), Err(fault)), (code, read(&text)));
        }
        let text = common::WHOLE.replace(spot, &nested(levels));
        assert_eq!(base.parse_sharing(text.as_bytes()), read(&text));
        assert!(read(&text).is_ok());
    }
}
