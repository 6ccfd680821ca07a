//! What a site does: for one job, and what changes between two versions of it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::check::Platform;
use crate::model::*;

/// A job, as far as routes look at it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Question {
    /// Its class.
    pub class: String,
    /// Its tenant, where it has one.
    pub tenant: Option<String>,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its headers, names in small letters.
    pub headers: Vec<(String, String)>,
}

impl fmt::Display for Question {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.class)?;
        match &self.tenant {
            Some(tenant) => write!(f, " for {tenant}"),
            None => Ok(()),
        }
    }
}

/// A pool as a job finds it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Reached {
    /// The pool that the route names.
    pub pool: String,
    /// The pool that is used in its place, where it has too few servers.
    pub fallen_back_on: Option<String>,
    /// Its part of the split.
    pub part: f64,
    /// Its servers on the list.
    pub members: Vec<String>,
    /// Where the pool in use was written.
    pub place: Place,
}

/// What a site does with a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Behaviour {
    /// The route taken, and where it was written; none: all servers, as without a site.
    pub route: Option<(String, Place)>,
    /// The pools that it leads to.
    pub pools: Vec<Reached>,
    /// The come-back time in seconds, where it is refused.
    pub refused_s: Option<f64>,
    /// The limits that apply, and where they were written.
    pub limits: BTreeMap<&'static str, (String, Place)>,
}

impl Match {
    /// Whether a job fits.
    pub fn fits(&self, job: &Question) -> bool {
        let one = |of: &[String], value: Option<&str>| {
            of.is_empty() || value.is_some_and(|value| of.iter().any(|name| name == value))
        };
        one(&self.classes, Some(&job.class))
            && one(&self.tenants, job.tenant.as_deref())
            && one(&self.methods, Some(&job.method))
            && (self.paths.is_empty() || self.paths.iter().any(|start| job.path.starts_with(start.as_str())))
            && self.headers.iter().all(|header| job.headers.contains(header))
    }
}

impl Site {
    /// The pool in use where a route names `pool`, with its members on this list.
    pub fn in_use(&self, pool: usize, servers: &[(String, String, String)]) -> (usize, Vec<String>) {
        let members = |at: usize| -> Vec<String> {
            let of = servers.iter().filter(|(zone, kind, id)| self.pools[at].has(zone, kind, id));
            of.map(|(.., id)| id.clone()).collect()
        };
        let (mut at, mut seen) = (pool, BTreeSet::new());
        loop {
            let own = members(at);
            let enough = !own.is_empty() && own.len() as f64 >= self.pools[at].least * servers.len() as f64;
            match self.pools[at].fallback.filter(|_| !enough && seen.insert(at)) {
                Some(next) => at = next,
                None => return (at, own),
            }
        }
    }
}

/// What a site does with a job, while the list is this.
pub fn explain(site: &Site, job: &Question, servers: &[(String, String, String)]) -> Behaviour {
    let Some(route) = site.routes.iter().find(|route| route.matches.fits(job)) else {
        return Behaviour::default();
    };
    let mut behaviour =
        Behaviour { route: Some((route.name.clone(), route.place.clone())), ..Behaviour::default() };
    match &route.target {
        Target::Refuse(wait) => behaviour.refused_s = Some(wait.as_seconds()),
        Target::Pools(split) => {
            behaviour.pools.extend(split.iter().map(|weighted| {
                let (used, members) = site.in_use(weighted.pool, servers);
                Reached {
                    pool: site.pools[weighted.pool].name.clone(),
                    fallen_back_on: (used != weighted.pool).then(|| site.pools[used].name.clone()),
                    part: weighted.part,
                    members,
                    place: site.pools[used].place.clone(),
                }
            }));
        }
    }
    if let Some(policy) = route.policy.map(|policy| &site.policies[policy]) {
        let Limits { time_limit, attempts, retry_budget, second_copies, concurrency } = policy.limits;
        let mut limit = |name: &'static str, value: Option<String>| {
            if let Some(value) = value {
                behaviour.limits.insert(name, (value, policy.place.clone()));
            }
        };
        limit("time limit", time_limit.map(|limit| limit.to_string()));
        limit("attempts", attempts.map(|attempts| attempts.to_string()));
        limit("retry budget", retry_budget.map(|part| format!("{:.2} %", part.0 * 100.0)));
        limit("second copies", second_copies.map(|copies| if copies { "on" } else { "off" }.to_owned()));
        limit("concurrency", concurrency.map(|most| most.to_string()));
    }
    behaviour
}

/// Every pair of class and tenant, as the platform has them.
pub fn questions(platform: &Platform) -> Vec<Question> {
    let mut all = Vec::new();
    for class in &platform.classes {
        let tenants = platform.tenants.iter().cloned().map(Some);
        let tenants: Vec<_> = if platform.tenants.is_empty() { vec![None] } else { tenants.collect() };
        all.extend(tenants.into_iter().map(|tenant| Question {
            class: class.name.clone(),
            tenant,
            method: if class.safe { "GET" } else { "POST" }.to_owned(),
            path: format!("/{}", class.name),
            headers: Vec::new(),
        }));
    }
    all
}

/// A change of behaviour.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// For which jobs.
    pub job: Question,
    /// What is otherwise now.
    pub what: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.job, self.what)
    }
}

/// Where a job goes, by server: what a split comes to, whatever its pools are called.
fn reach(behaviour: &Behaviour, servers: usize) -> String {
    if let Some(wait) = behaviour.refused_s {
        return format!("is refused, to come back after {wait} s");
    }
    if behaviour.route.is_none() {
        return format!("goes to all {servers} servers");
    }
    let mut sets: BTreeMap<Vec<String>, f64> = BTreeMap::new();
    for reached in behaviour.pools.iter().filter(|reached| reached.part > 0.0) {
        let mut members = reached.members.clone();
        members.sort();
        *sets.entry(members).or_default() += reached.part;
    }
    let part = |(members, part): (&Vec<String>, &f64)| {
        let whole = if sets.len() == 1 { String::new() } else { format!("{:.2} % ", part * 100.0) };
        match members.len() {
            0 => format!("{whole}nowhere: the pool has no server"),
            count if count == servers => format!("{whole}to all {servers} servers"),
            count if count <= 3 => {
                format!(
                    "{whole}to {count} server{} of {servers} ({})",
                    if count == 1 { "" } else { "s" },
                    members.join(", ")
                )
            }
            count => format!("{whole}to {count} servers of {servers}"),
        }
    };
    let parts: Vec<String> = sets.iter().map(part).collect();
    format!("goes {}", parts.join(", "))
}

/// The servers behind each part, beyond what [`reach`] says in words.
fn exact(behaviour: &Behaviour, servers: &[(String, String, String)]) -> BTreeMap<String, u64> {
    let mut share: BTreeMap<String, f64> = BTreeMap::new();
    let mut add = |members: &[String], part: f64| {
        for member in members {
            *share.entry(member.clone()).or_default() += part / members.len() as f64;
        }
    };
    if behaviour.route.is_none() {
        let all: Vec<String> = servers.iter().map(|(.., id)| id.clone()).collect();
        add(&all, 1.0);
    }
    for reached in &behaviour.pools {
        add(&reached.members, reached.part);
    }
    let parts = share.into_iter().filter(|(_, part)| *part > 0.0);
    parts.map(|(id, part)| (id, (part * 1e6).round() as u64)).collect()
}

/// What behaviour changes between two versions, over every class and tenant and this list of servers.
pub fn diff(old: &Site, new: &Site, platform: &Platform) -> Vec<Change> {
    let (count, mut changes) = (platform.servers.len(), Vec::new());
    for job in questions(platform) {
        let before = explain(old, &job, &platform.servers);
        let after = explain(new, &job, &platform.servers);
        let (was, now) = (reach(&before, count), reach(&after, count));
        let moved = exact(&before, &platform.servers) != exact(&after, &platform.servers);
        if was != now {
            changes.push(Change { job: job.clone(), what: format!("now {now}; before, it {was}") });
        } else if moved {
            changes.push(Change { job: job.clone(), what: format!("now {now}, but to others than before") });
        }
        let names: BTreeSet<&str> = before.limits.keys().chain(after.limits.keys()).copied().collect();
        for name in names {
            let value = |of: &Behaviour| of.limits.get(name).map(|(value, _)| value.clone());
            let (was, now) = (value(&before), value(&after));
            if was != now {
                let shown =
                    |value: Option<String>| value.unwrap_or_else(|| "as the platform has it".to_owned());
                let what = format!("now has {name} {}, was {}", shown(now), shown(was));
                changes.push(Change { job: job.clone(), what });
            }
        }
    }
    changes
}
