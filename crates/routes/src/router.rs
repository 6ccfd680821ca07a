//! From a request to its pool: the first route that matches, and which pool of its split the request goes to.

use std::sync::Arc;

use mosshead_site::{Limits, Route, RouteMatch, RouteTarget, Site, WeightedPool};
use mosshead_units::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request, as far as routes look at it.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// Its class, by index in the platform's list.
    pub class: usize,
    /// Its tenant, by index in the platform's list.
    pub tenant: Option<usize>,
    /// Its method.
    pub method: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Returns the value of a header, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
    /// Requests with the same key go to the same pool of a split.
    pub key: u64,
}

/// Where a request is to go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// No route matches: to any server, under the platform's limits.
    AllServers,
    /// To a pool.
    Pool {
        /// The index of the pool in the site.
        pool: usize,
        /// The index of the policy in the site.
        policy: Option<usize>,
    },
    /// It is rejected; the client may retry after this delay.
    Reject(Time),
}

/// A site, prepared for requests.
#[derive(Debug)]
pub struct Router {
    site: Site,
    /// For each class and tenant the indices of the routes that can match, in their order; requests without a tenant come
    /// before the tenants of their class.
    candidate_routes: Vec<Vec<u32>>,
    /// How many tenants the platform has.
    tenant_count: usize,
    /// For each pool the hash of its name, by which it takes part in splits.
    pool_seeds: Vec<u64>,
    /// See [`Router::version`].
    version: u64,
}

impl Router {
    /// Prepares a site for the platform's classes and tenants.
    pub fn new(site: Site, classes: &[String], tenants: &[String], version: u64) -> Arc<Self> {
        let mut candidate_routes = Vec::with_capacity(classes.len() * (tenants.len() + 1));
        for class in classes {
            for tenant in std::iter::once(None).chain(tenants.iter().map(Some)) {
                candidate_routes.push(routes_for(&site, class, tenant));
            }
        }
        let pool_seeds = site.pools.iter().map(|pool| xxh3_64_with_seed(pool.name.as_bytes(), 0)).collect();
        Arc::new(Self { site, candidate_routes, tenant_count: tenants.len(), pool_seeds, version })
    }

    /// The site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Which version of the site this is: a request keeps the one under which it arrived.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The limits of a policy; without one none, so that those of the platform are in force.
    pub fn limits(&self, policy: Option<usize>) -> Limits {
        policy.map(|policy| self.site.policies[policy].limits).unwrap_or_default()
    }

    /// Where a request is to go.
    pub fn route(&self, request: &Request) -> RouteDecision {
        let column = request.tenant.map_or(0, |tenant| tenant + 1);
        let row = request.class * (self.tenant_count + 1) + column;
        let Some(candidates) = self.candidate_routes.get(row) else { return RouteDecision::AllServers };
        let mut candidates = candidates.iter().map(|index| &self.site.routes[*index as usize]);
        match candidates.find(|route| matches_message(&route.matches, request)) {
            None => RouteDecision::AllServers,
            Some(Route { target: RouteTarget::Reject(retry_after), .. }) => {
                RouteDecision::Reject(*retry_after)
            }
            Some(Route { target: RouteTarget::Pools(split), policy, .. }) => {
                RouteDecision::Pool { pool: self.select_pool(split, request.key), policy: *policy }
            }
        }
    }

    /// The pool of a key, by weighted rendezvous hashing: each pool has a bid for the key by a hash of both and by its share,
    /// and the lowest bid wins. When shares change, only those keys move that have to.
    fn select_pool(&self, split: &[WeightedPool], key: u64) -> usize {
        if let [only] = split {
            return only.pool;
        }
        let bid = |weighted: &&WeightedPool| {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), self.pool_seeds[weighted.pool]);
            // Above 0 and at most 1: its logarithm is finite.
            let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
            -unit.ln() / weighted.share
        };
        let bidders = split.iter().filter(|weighted| weighted.share > 0.0);
        let lowest = bidders.min_by(|one, other| bid(one).total_cmp(&bid(other)));
        lowest.map_or(split[0].pool, |weighted| weighted.pool)
    }
}

/// The indices of the routes that can match requests of a class and tenant.
fn routes_for(site: &Site, class: &String, tenant: Option<&String>) -> Vec<u32> {
    let is_listed = |names: &[String], name: Option<&String>| {
        names.is_empty() || name.is_some_and(|name| names.contains(name))
    };
    let mut indices = Vec::new();
    for (index, route) in site.routes.iter().enumerate() {
        let matches = &route.matches;
        if !is_listed(&matches.classes, Some(class)) || !is_listed(&matches.tenants, tenant) {
            continue;
        }
        indices.push(index as u32);
        // Routes behind one that matches all of these requests are never reached.
        if matches.paths.is_empty() && matches.methods.is_empty() && matches.headers.is_empty() {
            break;
        }
    }
    indices
}

/// Whether method, path and headers of a request match; class and tenant are not compared.
fn matches_message(matches: &RouteMatch, request: &Request) -> bool {
    (matches.methods.is_empty() || matches.methods.iter().any(|method| method == request.method))
        && (matches.paths.is_empty()
            || matches.paths.iter().any(|prefix| request.path.starts_with(prefix.as_str())))
        && matches.headers.iter().all(|(name, value)| (request.header)(name) == Some(value))
}
