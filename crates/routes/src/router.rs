//! From a job to its pool: the first route that fits, and its part of a split.

use std::sync::Arc;

use mosshead_site::{Limits, Route, Site, Target, Weighted};
use mosshead_units::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A job, as far as routes look at it.
#[derive(Clone, Copy)]
pub struct Job<'a> {
    /// Its class, by place in the platform's list.
    pub class: usize,
    /// Its tenant, by place in the platform's list.
    pub tenant: Option<usize>,
    /// Its method.
    pub method: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its headers: the value of a name in small letters.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
    /// What belongs together: jobs of one key stay in one part of a split.
    pub key: u64,
}

/// Where a job leads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Routed {
    /// No route fits: all servers, under the platform's limits.
    Open,
    /// To this pool.
    Pool {
        /// Which.
        pool: usize,
        /// Under which policy, by place in the site.
        policy: Option<usize>,
    },
    /// It is refused, to come back after this long.
    Refused(Time),
}

/// A site, prepared for jobs.
#[derive(Debug)]
pub struct Router {
    site: Site,
    /// For each class and tenant, the routes that can fit, in their order: `None` tenant stands first.
    table: Vec<Vec<u32>>,
    tenants: usize,
    /// What each pool's name comes to in a split.
    seeds: Vec<u64>,
    version: u64,
}

impl Router {
    /// Prepares a site for the platform's classes and tenants.
    pub fn new(site: Site, classes: &[String], tenants: &[String], version: u64) -> Arc<Self> {
        let fits = |of: &[String], name: Option<&String>| {
            of.is_empty() || name.is_some_and(|name| of.contains(name))
        };
        let mut table = Vec::with_capacity(classes.len() * (tenants.len() + 1));
        for class in classes {
            for tenant in std::iter::once(None).chain(tenants.iter().map(Some)) {
                let can = |route: &Route| {
                    fits(&route.matches.classes, Some(class)) && fits(&route.matches.tenants, tenant)
                };
                let routes = site.routes.iter().enumerate().filter(|(_, route)| can(route));
                let mut own: Vec<u32> = Vec::new();
                for (at, route) in routes {
                    own.push(at as u32);
                    // What stands behind a route that takes all is never reached.
                    let matches = &route.matches;
                    if matches.paths.is_empty() && matches.methods.is_empty() && matches.headers.is_empty() {
                        break;
                    }
                }
                table.push(own);
            }
        }
        let seeds = site.pools.iter().map(|pool| xxh3_64_with_seed(pool.name.as_bytes(), 0)).collect();
        Arc::new(Self { table, tenants: tenants.len(), seeds, site, version })
    }

    /// The site.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Which version of the site this is: a job keeps the one that it came under.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The limits of a policy; the platform's, where there is none.
    pub fn limits(&self, policy: Option<usize>) -> Limits {
        policy.map(|policy| self.site.policies[policy].limits).unwrap_or_default()
    }

    /// Where a job leads.
    pub fn route(&self, job: &Job) -> Routed {
        let row = job.class * (self.tenants + 1) + job.tenant.map_or(0, |tenant| tenant + 1);
        let Some(routes) = self.table.get(row) else { return Routed::Open };
        let route = routes.iter().map(|at| &self.site.routes[*at as usize]).find(|route| {
            let matches = &route.matches;
            (matches.methods.is_empty() || matches.methods.iter().any(|method| method == job.method))
                && (matches.paths.is_empty()
                    || matches.paths.iter().any(|start| job.path.starts_with(start.as_str())))
                && matches.headers.iter().all(|(name, value)| (job.header)(name) == Some(value))
        });
        match route.map(|route| (&route.target, route.policy)) {
            None => Routed::Open,
            Some((Target::Refuse(wait), _)) => Routed::Refused(*wait),
            Some((Target::Pools(split), policy)) => Routed::Pool { pool: self.part(split, job.key), policy },
        }
    }

    /// The part of a split that a key is in. By weighted rendezvous: each pool bids for the key by its own hash
    /// and weight, so that as weights move only those keys move that have to.
    fn part(&self, split: &[Weighted], key: u64) -> usize {
        if let [only] = split {
            return only.pool;
        }
        let bid = |weighted: &&Weighted| {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), self.seeds[weighted.pool]);
            // From above 0 to 1: its logarithm is finite.
            let unit = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
            -unit.ln() / weighted.part
        };
        let parts = split.iter().filter(|weighted| weighted.part > 0.0);
        let best = parts.min_by(|one, other| bid(one).total_cmp(&bid(other)));
        best.map_or(split[0].pool, |weighted| weighted.pool)
    }
}
