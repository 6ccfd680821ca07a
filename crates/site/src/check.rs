//! What is wrong with a site that reads well: routes that can never be taken, pools that nobody is in, limits
//! that the platform does not grant.

use std::collections::BTreeSet;

use mosshead_units::Time;

use crate::fault::Fault;
use crate::model::*;

/// A class, as the platform has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// How long a client waits.
    pub deadline: Time,
    /// It may run twice.
    pub safe: bool,
}

/// What a site is checked against.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// The classes.
    pub classes: Vec<ClassFacts>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
    /// The servers, by zone, kind and id; where none are given, membership is not checked.
    pub servers: Vec<(String, String, String)>,
    /// The most attempts.
    pub attempts: u32,
}

fn list(names: impl IntoIterator<Item = impl AsRef<str>>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| format!("{:?}", name.as_ref())).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

/// Whether all that `later` lets in, `earlier` lets in too.
fn covers(earlier: &Match, later: &Match) -> bool {
    let over = |wide: &[String], narrow: &[String], fit: &dyn Fn(&str, &str) -> bool| {
        wide.is_empty()
            || (!narrow.is_empty() && narrow.iter().all(|one| wide.iter().any(|other| fit(other, one))))
    };
    let same = |wide: &str, narrow: &str| wide == narrow;
    over(&earlier.classes, &later.classes, &same)
        && over(&earlier.tenants, &later.tenants, &same)
        && over(&earlier.methods, &later.methods, &same)
        && over(&earlier.paths, &later.paths, &|wide, narrow| narrow.starts_with(wide))
        && earlier.headers.iter().all(|header| later.headers.contains(header))
}

/// All faults of a site on this platform.
pub fn check(site: &Site, platform: &Platform) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (at, pool) in site.pools.iter().enumerate() {
        let mut wrong = |message: String, help: &str| faults.push(site.fault(&pool.place, message, help));
        let mut known_names = true;
        for (what, named, known) in
            [("zone", &pool.zones, &platform.zones), ("kind", &pool.kinds, &platform.kinds)]
        {
            for name in named.iter().filter(|name| !known.contains(name)) {
                known_names = false;
                let message =
                    format!("the pool {:?} wants the {what} {name:?}, which there is not", pool.name);
                wrong(message, &format!("the platform has {}", list(known)));
            }
        }
        let empty = platform.servers.iter().all(|(zone, kind, id)| !pool.has(zone, kind, id));
        if !platform.servers.is_empty() && known_names && empty {
            let message = format!("no server on the list is in the pool {:?}", pool.name);
            wrong(message, "widen its `zone`, `kind` or `id`: they all have to fit");
        }
        let (mut seen, mut next) = (BTreeSet::from([at]), pool.fallback);
        while let Some(to) = next {
            if !seen.insert(to) {
                // Told once, by the first of the circle.
                if to == at && seen.first() == Some(&at) {
                    let message = format!("the pool {:?} falls back on itself", pool.name);
                    wrong(message, "take one of the fallbacks of this circle out");
                }
                break;
            }
            next = site.pools[to].fallback;
        }
    }
    for policy in &site.policies {
        if let Some(attempts) = policy.limits.attempts.filter(|attempts| *attempts > platform.attempts) {
            let message = format!(
                "the policy {:?} allows {attempts} attempts, the platform {}",
                policy.name, platform.attempts
            );
            let help = format!("write `attempts {}` or fewer", platform.attempts);
            faults.push(site.fault(&policy.place, message, &help));
        }
    }
    for (at, route) in site.routes.iter().enumerate() {
        let mut wrong = |message: String, help: &str| faults.push(site.fault(&route.place, message, help));
        for name in &route.matches.classes {
            if platform.classes.iter().all(|class| class.name != *name) {
                let message =
                    format!("the route {:?} is for the class {name:?}, which there is not", route.name);
                let known = platform.classes.iter().map(|class| &class.name);
                wrong(message, &format!("the platform has {}", list(known)));
            }
        }
        for name in route.matches.tenants.iter().filter(|name| !platform.tenants.contains(name)) {
            let message =
                format!("the route {:?} is for the tenant {name:?}, which there is not", route.name);
            wrong(message, &format!("the platform has {}", list(&platform.tenants)));
        }
        if let Some(first) = site.routes[..at].iter().find(|first| covers(&first.matches, &route.matches)) {
            let message = format!(
                "the route {:?} is never taken: {:?} at {}:{} takes all its jobs first",
                route.name, first.name, first.place.file, first.place.line
            );
            wrong(message, "put the narrower route first");
        }
        let Some(policy) = route.policy.map(|policy| &site.policies[policy]) else { continue };
        let ours = |class: &&ClassFacts| {
            route.matches.classes.is_empty() || route.matches.classes.contains(&class.name)
        };
        for class in platform.classes.iter().filter(ours) {
            if policy.limits.second_copies == Some(true) && !class.safe {
                let message = format!(
                    "the route {:?} sends second copies of {:?}, which must never run twice",
                    route.name, class.name
                );
                wrong(message, "leave the class out, or write `second-copies #false`");
            }
            if let Some(limit) = policy.limits.time_limit.filter(|limit| *limit > class.deadline) {
                let message = format!(
                    "the route {:?} gives {:?} {limit}, but its clients wait {} only",
                    route.name, class.name, class.deadline
                );
                wrong(message, "write a `time-limit` within the class's deadline");
            }
        }
    }
    faults
}
