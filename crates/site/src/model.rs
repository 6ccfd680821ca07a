//! A site as it is used: typed, validated, immutable.

use mosshead_units::{Fraction, Time};
use serde::Serialize;

use crate::platform::PlatformServer;
use crate::reader::{FileId, Source};

/// Where something is written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SourceLocation {
    /// The path of the file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The same file, among the sources of the site.
    #[serde(skip)]
    pub(crate) file_id: FileId,
    /// Offset and length in bytes within the file.
    #[serde(skip)]
    pub(crate) span: (usize, usize),
}

/// A set of servers.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Only servers of these zones are members; of any, if there are none.
    pub zones: Vec<String>,
    /// Only servers of these kinds are members; of any, if there are none.
    pub kinds: Vec<String>,
    /// Only servers whose id matches one of these patterns are members (`*` stands for any text); any, if there are none.
    pub ids: Vec<String>,
    /// The pool is used only if at least this share of the list's servers are members, from 0 to 1.
    pub min_member_share: f64,
    /// If a smaller share of its ready members than this is healthy, requests go to ejected members, too. From 0 to 1.
    pub panic_threshold: f64,
    /// The index of the pool that is used where this one can't be.
    pub fallback: Option<usize>,
    /// Where it is defined.
    pub location: SourceLocation,
}

/// Which requests a route is for: those that match each list. An empty list matches all requests; a list of classes, tenants,
/// paths or methods matches a request of any of its items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Prefixes of the path.
    pub paths: Vec<String>,
    /// HTTP methods.
    pub methods: Vec<String>,
    /// Headers with their values, all of which are required; names in lower case.
    pub headers: Vec<(String, String)>,
}

/// A pool with its share of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedPool {
    /// The index of the pool.
    pub pool: usize,
    /// Its share, from 0 to 1; the shares of a route sum to 1.
    pub share: f64,
}

/// Where a route leads.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteTarget {
    /// To these pools, at least one.
    Pools(Vec<WeightedPool>),
    /// To a rejection, with the delay after which the client may retry.
    Reject(Time),
}

/// A route. Of the routes that match a request the first one is taken.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Which requests it is for.
    pub matches: RouteMatch,
    /// Where it leads.
    pub target: RouteTarget,
    /// The index of its policy.
    pub policy: Option<usize>,
    /// Where it is defined.
    pub location: SourceLocation,
}

/// Limits of requests. Where one is absent, that of the platform is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// No attempt takes longer.
    pub time_limit: Option<Time>,
    /// How many attempts a request may have at most.
    pub attempts: Option<u32>,
    /// How many retries may be made, as a share of first attempts.
    pub retry_budget: Option<Fraction>,
    /// Whether hedged attempts may be sent.
    pub can_hedge: Option<bool>,
    /// How many requests may be in flight at most.
    pub concurrency: Option<u32>,
}

/// Limits with a name.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name.
    pub name: String,
    /// The limits.
    pub limits: Limits,
    /// Where it is defined.
    pub location: SourceLocation,
}

/// A validated site: indices in it are those of its own pools and policies. One without routes changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The pools.
    pub pools: Vec<Pool>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// The routes, in the order in which they are tried.
    pub routes: Vec<Route>,
    /// The files of the site, for errors that are found later.
    pub(crate) sources: Vec<Source>,
}

impl Pool {
    /// Whether a server of this zone, kind and id is a member.
    pub fn has_member(&self, zone: &str, kind: &str, id: &str) -> bool {
        (self.zones.is_empty() || self.zones.iter().any(|member_zone| member_zone == zone))
            && (self.kinds.is_empty() || self.kinds.iter().any(|member_kind| member_kind == kind))
            && (self.ids.is_empty() || self.ids.iter().any(|pattern| matches_pattern(pattern, id)))
    }

    pub(crate) fn has_server(&self, server: &PlatformServer) -> bool {
        self.has_member(&server.zone, &server.kind, &server.id)
    }
}

/// Whether a text matches a pattern in which `*` stands for any text.
pub(crate) fn matches_pattern(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split('*');
    let Some(mut rest) = parts.next().and_then(|first| text.strip_prefix(first)) else { return false };
    // What follows the last `*`; a pattern without one has to equal the text.
    let Some((_, last)) = pattern.rsplit_once('*') else {
        return rest.is_empty();
    };
    let parts_after_first: Vec<&str> = parts.collect();
    // Each part between two `*` is taken at its first occurrence, which leaves the most for those after it.
    for part in parts_after_first.iter().take(parts_after_first.len().saturating_sub(1)) {
        match rest.find(part) {
            Some(offset) => rest = &rest[offset + part.len()..],
            None => return false,
        }
    }
    rest.len() >= last.len() && rest.ends_with(last)
}
