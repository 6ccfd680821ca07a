//! The reference model of a configuration: plain lists of items.

use std::sync::Arc;

use mosshead_config::{Config, Route};

use crate::common::{Items, apply_change, join_texts};
use crate::edits::Change;

pub(crate) const SERVICES: usize = 6;
/// More routes than several chunks hold, each with a unique host and path prefix.
pub(crate) const ROUTES: usize = 260;

pub(crate) fn service_name(service: usize) -> String {
    format!("s{service}")
}

pub(crate) fn service(service: usize, connections: u64) -> (String, String) {
    let name = service_name(service);
    let text = format!("{{\"name\":\"{name}\",\"max_connections\":{connections}}}");
    (name, text)
}

/// The base-3 digits of a number as a path, so that some prefixes are prefixes of others.
fn path_prefix(number: usize) -> String {
    let mut path = String::from("/");
    let mut remaining = number / 2;
    while remaining > 0 {
        path += &format!("{}/", remaining % 3);
        remaining /= 3;
    }
    path
}

fn host(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "a.example" } else { "b.example" }
}

/// A route with the host and path prefix of `match_number`. The order of the names differs from that of the numbers.
pub(crate) fn route(number: usize, match_number: usize, timeout_ms: u64, backend: &str) -> (String, String) {
    let name = format!("r{}", number * 7919 % 1000);
    let text = format!(
        "{{\"name\":\"{name}\",\"host_header\":\"{}\",\"path_prefix\":\"{}\",\"timeout_ms\":{timeout_ms},{backend}}}",
        host(match_number),
        path_prefix(match_number),
    );
    (name, text)
}

/// The field of a route that names its service.
pub(crate) fn forwards_to(service: &str) -> String {
    format!("\"backend_service\":\"{service}\"")
}

/// A configuration as lists of items.
#[derive(Clone)]
pub(crate) struct Model {
    pub(crate) revision: u64,
    pub(crate) routes: Items,
    pub(crate) services: Items,
}

impl Model {
    pub(crate) fn with_routes(routes: usize) -> Self {
        Model {
            revision: 1,
            routes: (0..routes).map(|number| route(number, number, 5, &forwards_to("s0"))).collect(),
            services: (0..SERVICES).map(|number| service(number, 8)).collect(),
        }
    }

    /// The model after a change, at the next revision.
    pub(crate) fn changed(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.revision += 1;
        apply_change(&mut next.routes, &change.routes, &change.withdrawn_routes);
        apply_change(&mut next.services, &change.services, &change.withdrawn_services);
        next
    }

    pub(crate) fn text(&self) -> String {
        format!(
            "{{\"revision\":{},\"route_entries\":[{}],\"backend_services\":[{}],\"more\":[1, 2]}}",
            self.revision,
            join_texts(&self.routes),
            join_texts(&self.services)
        )
    }
}

/// Asserts that [`Config::find_route`] finds what a scan over all routes finds.
pub(crate) fn assert_finds_routes(config: &Config) {
    for number in (0..4 * ROUTES).step_by(13) {
        let path = format!("{}x", path_prefix(number));
        let found = config.find_route(host(number), &path).map(|route| route.as_ref());
        assert_eq!(found, scan_for_route(config, host(number), &path), "{path}");
    }
}

fn scan_for_route<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let matches = |route: &&Arc<Route>| route.host == host && path.starts_with(&route.path_prefix);
    let longest = config.routes().iter().filter(matches).max_by_key(|route| route.path_prefix.len());
    longest.map(|route| route.as_ref())
}
