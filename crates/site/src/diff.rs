//! What behaviour changes between two versions of a site.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::explain::{Behaviour, RequestDescription, explain, sample_requests};
use crate::model::Site;
use crate::platform::{Platform, PlatformServer};

/// The ids of so many servers are listed in a description at most.
const MAX_LISTED_SERVERS: usize = 3;

/// A change of behaviour.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BehaviourChange {
    /// For which requests.
    #[serde(rename = "job")]
    pub request: RequestDescription,
    /// What is different now.
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for BehaviourChange {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.request, self.description)
    }
}

/// What behaviour changes between two versions, for every class and tenant and the platform's list of servers.
pub fn diff(old: &Site, new: &Site, platform: &Platform) -> Vec<BehaviourChange> {
    let mut changes = Vec::new();
    for request in sample_requests(platform) {
        let before = explain(old, &request, &platform.servers);
        let after = explain(new, &request, &platform.servers);
        let descriptions = destination_change(&before, &after, &platform.servers)
            .into_iter()
            .chain(limit_changes(&before, &after));
        changes.extend(
            descriptions.map(|description| BehaviourChange { request: request.clone(), description }),
        );
    }
    changes
}

fn destination_change(before: &Behaviour, after: &Behaviour, servers: &[PlatformServer]) -> Option<String> {
    let old = describe_destination(before, servers.len());
    let new = describe_destination(after, servers.len());
    if old != new {
        return Some(format!("now {new}; before, it {old}"));
    }
    let has_moved = shares_by_server(before, servers) != shares_by_server(after, servers);
    has_moved.then(|| format!("now {new}, but to others than before"))
}

fn limit_changes(before: &Behaviour, after: &Behaviour) -> Vec<String> {
    let names: BTreeSet<&str> = before.limits.keys().chain(after.limits.keys()).copied().collect();
    let value = |behaviour: &Behaviour, name: &str| {
        behaviour
            .limits
            .get(name)
            .map_or_else(|| "as the platform has it".to_owned(), |limit| limit.text.clone())
    };
    let change = |name: &str| {
        let (old, new) = (value(before, name), value(after, name));
        (old != new).then(|| format!("now has {name} {new}, was {old}"))
    };
    names.into_iter().filter_map(change).collect()
}

/// Where a request goes, by servers: two splits with the same effect have the same description, whatever their pools are
/// called.
fn describe_destination(behaviour: &Behaviour, server_count: usize) -> String {
    if let Some(delay) = behaviour.rejected_for_seconds {
        return format!("is refused, to come back after {delay} s");
    }
    if behaviour.route.is_none() {
        return format!("goes to all {server_count} servers");
    }
    let mut shares: BTreeMap<Vec<String>, f64> = BTreeMap::new();
    for pool in behaviour.pools.iter().filter(|pool| pool.share > 0.0) {
        let mut members = pool.members.clone();
        members.sort();
        *shares.entry(members).or_default() += pool.share;
    }
    let describe_part = |(members, share): (&Vec<String>, &f64)| {
        let prefix = if shares.len() == 1 { String::new() } else { format!("{:.2} % ", share * 100.0) };
        match members.len() {
            0 => format!("{prefix}nowhere: the pool has no server"),
            count if count == server_count => format!("{prefix}to all {server_count} servers"),
            count if count <= MAX_LISTED_SERVERS => {
                let plural = if count == 1 { "" } else { "s" };
                format!("{prefix}to {count} server{plural} of {server_count} ({})", members.join(", "))
            }
            count => format!("{prefix}to {count} servers of {server_count}"),
        }
    };
    let parts: Vec<String> = shares.iter().map(describe_part).collect();
    format!("goes {}", parts.join(", "))
}

/// The share of requests that each server gets, in millionths: finer than [`describe_destination`].
fn shares_by_server(behaviour: &Behaviour, servers: &[PlatformServer]) -> BTreeMap<String, u64> {
    let mut shares: BTreeMap<String, f64> = BTreeMap::new();
    let mut add = |members: &[String], share: f64| {
        for member in members {
            *shares.entry(member.clone()).or_default() += share / members.len() as f64;
        }
    };
    if behaviour.route.is_none() {
        let all: Vec<String> = servers.iter().map(|server| server.id.clone()).collect();
        add(&all, 1.0);
    }
    for pool in &behaviour.pools {
        add(&pool.members, pool.share);
    }
    let shares = shares.into_iter().filter(|(_, share)| *share > 0.0);
    shares.map(|(id, share)| (id, (share * 1e6).round() as u64)).collect()
}
