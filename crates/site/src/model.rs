//! A site as it is used: typed, checked, immutable.

use mosshead_units::{Fraction, Time};
use serde::Serialize;

/// Where something was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    #[serde(skip)]
    pub(crate) source: usize,
    #[serde(skip)]
    pub(crate) span: (usize, usize),
}

/// A set of servers.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Only servers of these zones; any, where there are none.
    pub zones: Vec<String>,
    /// Only servers of these kinds; any, where there are none.
    pub kinds: Vec<String>,
    /// Only servers whose id fits one of these, `*` standing for anything; any, where there are none.
    pub ids: Vec<String>,
    /// Where fewer of the list's servers are members than this share, the pool is not used.
    pub least: f64,
    /// Where fewer of its members are ready than this share, all members count as ready.
    pub panic: f64,
    /// The pool that is used where this one cannot be.
    pub fallback: Option<usize>,
    /// Where it was written.
    pub place: Place,
}

/// Which jobs a route is for. What is empty fits all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// Classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Starts of the path.
    pub paths: Vec<String>,
    /// Methods.
    pub methods: Vec<String>,
    /// Headers with their values.
    pub headers: Vec<(String, String)>,
}

/// A pool with its part of a split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighted {
    /// Which pool.
    pub pool: usize,
    /// Its part of the whole, from 0 to 1; the parts of a split sum to 1.
    pub part: f64,
}

/// Where a route leads.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To pools, each with its part.
    Pools(Vec<Weighted>),
    /// To a refusal, with this come-back time.
    Refuse(Time),
}

/// A route: the first that fits a job is taken.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Which jobs it is for.
    pub matches: Match,
    /// Where it leads.
    pub target: Target,
    /// Under which policy.
    pub policy: Option<usize>,
    /// Where it was written.
    pub place: Place,
}

/// Limits; what is absent stays as the platform has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// No attempt takes longer.
    pub time_limit: Option<Time>,
    /// The most attempts.
    pub attempts: Option<u32>,
    /// Retries, as a share of first tries.
    pub retry_budget: Option<Fraction>,
    /// Whether a second copy may go out.
    pub second_copies: Option<bool>,
    /// The most jobs that may be out at once.
    pub concurrency: Option<u32>,
}

/// Limits with a name.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name.
    pub name: String,
    /// The limits.
    pub limits: Limits,
    /// Where it was written.
    pub place: Place,
}

/// A site: read once, checked, immutable. One without routes changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The pools.
    pub pools: Vec<Pool>,
    /// The policies.
    pub policies: Vec<Policy>,
    /// The routes, in their order.
    pub routes: Vec<Route>,
    pub(crate) sources: Vec<crate::read::Source>,
}

/// Whether a text fits a pattern in which `*` stands for anything.
pub(crate) fn fits(pattern: &str, text: &str) -> bool {
    let mut parts = pattern.split('*');
    let Some(mut rest) = parts.next().and_then(|first| text.strip_prefix(first)) else { return false };
    let Some(last) = pattern.contains('*').then(|| pattern.rsplit('*').next()).flatten() else {
        return rest.is_empty();
    };
    let middle: Vec<&str> = parts.collect();
    for part in middle.iter().take(middle.len().saturating_sub(1)) {
        match rest.find(part) {
            Some(at) => rest = &rest[at + part.len()..],
            None => return false,
        }
    }
    rest.len() >= last.len() && rest.ends_with(last)
}

impl Pool {
    /// Whether a server of this zone, kind and id is a member.
    pub fn has(&self, zone: &str, kind: &str, id: &str) -> bool {
        (self.zones.is_empty() || self.zones.iter().any(|of| of == zone))
            && (self.kinds.is_empty() || self.kinds.iter().any(|of| of == kind))
            && (self.ids.is_empty() || self.ids.iter().any(|of| fits(of, id)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_star_stands_for_anything() {
        for (pattern, text, fit) in [
            ("s-1", "s-1", true),
            ("s-1", "s-12", false),
            ("s-*", "s-12", true),
            ("*", "", true),
            ("*-12", "s-12", true),
            ("s*2", "s-12", true),
            ("s*1*2", "s-12", true),
            ("s*3*2", "s-12", false),
            ("ab*ba", "aba", false),
        ] {
            assert_eq!(fits(pattern, text), fit, "{pattern} {text}");
        }
    }
}
