//! What is wrong with a valid site on a platform: routes that can never be taken, pools without members, limits that the
//! platform does not grant.

use std::collections::BTreeSet;

use crate::error::SiteError;
use crate::model::{Policy, Pool, Route, RouteMatch, Site, SourceLocation};
use crate::platform::{Platform, RequestClass};

/// All errors of a site on this platform.
pub fn check(site: &Site, platform: &Platform) -> Vec<SiteError> {
    let mut checker = Checker { site, platform, errors: Vec::new() };
    for (index, pool) in site.pools.iter().enumerate() {
        checker.check_members(pool);
        checker.check_fallbacks(index, pool);
    }
    site.policies.iter().for_each(|policy| checker.check_policy(policy));
    for (index, route) in site.routes.iter().enumerate() {
        checker.check_names(route);
        checker.check_is_reachable(route, &site.routes[..index]);
        checker.check_limits(route);
    }
    checker.errors
}

struct Checker<'a> {
    site: &'a Site,
    platform: &'a Platform,
    errors: Vec<SiteError>,
}

impl Checker<'_> {
    fn report(&mut self, location: &SourceLocation, message: String, help: &str) {
        self.errors.push(self.site.error_at(location, message, help));
    }

    fn check_members(&mut self, pool: &Pool) {
        let platform = self.platform;
        let mut has_unknown_name = false;
        for (subject, names, known) in
            [("zone", &pool.zones, &platform.zones), ("kind", &pool.kinds, &platform.kinds)]
        {
            for name in names.iter().filter(|name| !known.contains(name)) {
                has_unknown_name = true;
                let message =
                    format!("the pool {:?} wants the {subject} {name:?}, which there is not", pool.name);
                self.report(&pool.location, message, &format!("the platform has {}", quoted_list(known)));
            }
        }
        let is_empty = !platform.servers.iter().any(|server| pool.has_server(server));
        if !platform.servers.is_empty() && !has_unknown_name && is_empty {
            let message = format!("no server on the list is in the pool {:?}", pool.name);
            self.report(&pool.location, message, "widen its `zone`, `kind` or `id`: they all have to fit");
        }
    }

    /// Reports a cycle of fallbacks, once: for the pool of the cycle with the lowest index.
    fn check_fallbacks(&mut self, index: usize, pool: &Pool) {
        let (mut visited, mut next) = (BTreeSet::from([index]), pool.fallback);
        while let Some(fallback) = next {
            if !visited.insert(fallback) {
                // All visited pools are in the cycle if it leads back to the first one.
                if fallback == index && visited.first() == Some(&index) {
                    let message = format!("the pool {:?} falls back on itself", pool.name);
                    self.report(&pool.location, message, "take one of the fallbacks of this circle out");
                }
                return;
            }
            next = self.site.pools[fallback].fallback;
        }
    }

    fn check_policy(&mut self, policy: &Policy) {
        let max_attempts = self.platform.max_attempts;
        if let Some(attempts) = policy.limits.attempts.filter(|attempts| *attempts > max_attempts) {
            let message = format!(
                "the policy {:?} allows {attempts} attempts, the platform {max_attempts}",
                policy.name
            );
            self.report(&policy.location, message, &format!("write `attempts {max_attempts}` or fewer"));
        }
    }

    fn check_names(&mut self, route: &Route) {
        let platform = self.platform;
        for name in &route.matches.classes {
            if platform.classes.iter().all(|class| class.name != *name) {
                let message =
                    format!("the route {:?} is for the class {name:?}, which there is not", route.name);
                let known = quoted_list(platform.classes.iter().map(|class| &class.name));
                self.report(&route.location, message, &format!("the platform has {known}"));
            }
        }
        for name in route.matches.tenants.iter().filter(|name| !platform.tenants.contains(name)) {
            let message =
                format!("the route {:?} is for the tenant {name:?}, which there is not", route.name);
            let known = quoted_list(&platform.tenants);
            self.report(&route.location, message, &format!("the platform has {known}"));
        }
    }

    fn check_is_reachable(&mut self, route: &Route, earlier_routes: &[Route]) {
        if let Some(earlier) = earlier_routes.iter().find(|earlier| covers(&earlier.matches, &route.matches))
        {
            let message = format!(
                "the route {:?} is never taken: {:?} at {}:{} takes all its jobs first",
                route.name, earlier.name, earlier.location.file, earlier.location.line
            );
            self.report(&route.location, message, "put the narrower route first");
        }
    }

    fn check_limits(&mut self, route: &Route) {
        let Some(policy) = route.policy.map(|policy| &self.site.policies[policy]) else { return };
        let (name, classes) = (&route.name, &route.matches.classes);
        let is_for = |class: &&RequestClass| classes.is_empty() || classes.contains(&class.name);
        for class in self.platform.classes.iter().filter(is_for) {
            if policy.limits.can_hedge == Some(true) && !class.may_execute_twice {
                let message = format!(
                    "the route {name:?} sends second copies of {:?}, which must never run twice",
                    class.name
                );
                let help = "leave the class out, or write `second-copies #false`";
                self.report(&route.location, message, help);
            }
            if let Some(limit) = policy.limits.time_limit.filter(|limit| *limit > class.deadline) {
                let message = format!(
                    "the route {name:?} gives {:?} {limit}, but its clients wait {} only",
                    class.name, class.deadline
                );
                let help = "write a `time-limit` within the class's deadline";
                self.report(&route.location, message, help);
            }
        }
    }
}

fn quoted_list(names: impl IntoIterator<Item = impl AsRef<str>>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| format!("{:?}", name.as_ref())).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(", ") }
}

/// Whether `earlier` matches all requests that `later` matches.
fn covers(earlier: &RouteMatch, later: &RouteMatch) -> bool {
    let covers_list = |wide: &[String], narrow: &[String], covers_item: &dyn Fn(&str, &str) -> bool| {
        let is_covered = |item: &String| wide.iter().any(|wide_item| covers_item(wide_item, item));
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(is_covered))
    };
    let equals = |wide: &str, narrow: &str| wide == narrow;
    let is_prefix = |wide: &str, narrow: &str| narrow.starts_with(wide);
    covers_list(&earlier.classes, &later.classes, &equals)
        && covers_list(&earlier.tenants, &later.tenants, &equals)
        && covers_list(&earlier.methods, &later.methods, &equals)
        && covers_list(&earlier.paths, &later.paths, &is_prefix)
        && earlier.headers.iter().all(|header| later.headers.contains(header))
}
