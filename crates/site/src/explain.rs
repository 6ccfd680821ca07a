//! What a site does with one request.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::model::{Limits, Policy, Pool, RouteMatch, RouteTarget, Site, SourceLocation};
use crate::platform::{Platform, PlatformServer};

/// A request, as far as routes look at it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestDescription {
    /// Its class.
    pub class: String,
    /// Its tenant, if it has one.
    pub tenant: Option<String>,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its headers; names in lower case.
    pub headers: Vec<(String, String)>,
}

impl fmt::Display for RequestDescription {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.class)?;
        match &self.tenant {
            Some(tenant) => write!(f, " for {tenant}"),
            None => Ok(()),
        }
    }
}

/// A text with the location of what it comes from. Written in JSON as an array of both.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, SourceLocation)")]
pub struct Located {
    /// The text.
    pub text: String,
    /// Where it comes from.
    pub location: SourceLocation,
}

impl From<Located> for (String, SourceLocation) {
    fn from(located: Located) -> Self {
        (located.text, located.location)
    }
}

/// A pool of a route, as a request finds it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolUse {
    /// The name of the pool that the route names.
    pub pool: String,
    /// The name of the pool that is used in its place, if that one has too few servers.
    #[serde(rename = "fallen_back_on")]
    pub fallback: Option<String>,
    /// Its share of the route's requests, from 0 to 1.
    #[serde(rename = "part")]
    pub share: f64,
    /// The ids of its servers on the list.
    pub members: Vec<String>,
    /// Where the pool in use is defined.
    #[serde(rename = "place")]
    pub location: SourceLocation,
}

/// What a site does with a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Behaviour {
    /// The name of the route; without one the request goes to all servers, as without a site.
    pub route: Option<Located>,
    /// The pools to which the route leads.
    pub pools: Vec<PoolUse>,
    /// If the request is rejected: after how many seconds the client may retry.
    #[serde(rename = "refused_s")]
    pub rejected_for_seconds: Option<f64>,
    /// The limits that apply, by their names.
    pub limits: BTreeMap<&'static str, Located>,
}

impl RouteMatch {
    /// Whether the route is for a request.
    pub fn matches(&self, request: &RequestDescription) -> bool {
        let is_listed = |names: &[String], value: Option<&str>| {
            names.is_empty() || value.is_some_and(|value| names.iter().any(|name| name == value))
        };
        let has_prefix = |prefix: &String| request.path.starts_with(prefix.as_str());
        is_listed(&self.classes, Some(&request.class))
            && is_listed(&self.tenants, request.tenant.as_deref())
            && is_listed(&self.methods, Some(&request.method))
            && (self.paths.is_empty() || self.paths.iter().any(has_prefix))
            && self.headers.iter().all(|header| request.headers.contains(header))
    }
}

impl Site {
    /// The index of the pool that is used where a route names `named`, and the ids of its members on this list.
    fn effective_pool(&self, named: usize, servers: &[PlatformServer]) -> (usize, Vec<String>) {
        let members = |pool: &Pool| -> Vec<String> {
            let members = servers.iter().filter(|server| pool.has_server(server));
            members.map(|server| server.id.clone()).collect()
        };
        let (mut index, mut visited) = (named, BTreeSet::new());
        loop {
            let pool = &self.pools[index];
            let members = members(pool);
            let has_enough =
                !members.is_empty() && members.len() as f64 >= pool.min_member_share * servers.len() as f64;
            match pool.fallback.filter(|_| !has_enough && visited.insert(index)) {
                Some(fallback) => index = fallback,
                None => return (index, members),
            }
        }
    }
}

/// What a site does with a request, with these servers on the list.
pub fn explain(site: &Site, request: &RequestDescription, servers: &[PlatformServer]) -> Behaviour {
    let Some(route) = site.routes.iter().find(|route| route.matches.matches(request)) else {
        return Behaviour::default();
    };
    let mut behaviour = Behaviour {
        route: Some(Located { text: route.name.clone(), location: route.location.clone() }),
        ..Behaviour::default()
    };
    match &route.target {
        RouteTarget::Reject(retry_after) => {
            behaviour.rejected_for_seconds = Some(retry_after.as_seconds());
        }
        RouteTarget::Pools(split) => {
            behaviour.pools.extend(split.iter().map(|weighted| {
                let (effective, members) = site.effective_pool(weighted.pool, servers);
                let name = |pool: usize| site.pools[pool].name.clone();
                PoolUse {
                    pool: name(weighted.pool),
                    fallback: (effective != weighted.pool).then(|| name(effective)),
                    share: weighted.share,
                    members,
                    location: site.pools[effective].location.clone(),
                }
            }));
        }
    }
    if let Some(policy) = route.policy.map(|policy| &site.policies[policy]) {
        behaviour.limits = described_limits(policy);
    }
    behaviour
}

fn described_limits(policy: &Policy) -> BTreeMap<&'static str, Located> {
    let Limits { time_limit, attempts, retry_budget, can_hedge, concurrency } = policy.limits;
    let on_or_off = |is_on| if is_on { "on" } else { "off" }.to_owned();
    let limits = [
        ("time limit", time_limit.map(|limit| limit.to_string())),
        ("attempts", attempts.map(|attempts| attempts.to_string())),
        ("retry budget", retry_budget.map(|share| format!("{:.2} %", share.0 * 100.0))),
        ("second copies", can_hedge.map(on_or_off)),
        ("concurrency", concurrency.map(|concurrency| concurrency.to_string())),
    ];
    let located = |(name, text): (&'static str, Option<String>)| {
        Some((name, Located { text: text?, location: policy.location.clone() }))
    };
    limits.into_iter().filter_map(located).collect()
}

/// A request for every pair of class and tenant that the platform has; without tenants, one for each class. Its method is one
/// that clients use for such a class: `GET` only if requests may be executed twice.
pub fn sample_requests(platform: &Platform) -> Vec<RequestDescription> {
    let mut requests = Vec::new();
    for class in &platform.classes {
        let tenants = platform.tenants.iter().cloned().map(Some);
        let tenants: Vec<_> = if platform.tenants.is_empty() { vec![None] } else { tenants.collect() };
        requests.extend(tenants.into_iter().map(|tenant| RequestDescription {
            class: class.name.clone(),
            tenant,
            method: if class.may_execute_twice { "GET" } else { "POST" }.to_owned(),
            path: format!("/{}", class.name),
            headers: Vec::new(),
        }));
    }
    requests
}
