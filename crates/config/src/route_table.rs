//! Looks up the route of a request by its host and the longest path prefix.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::chunked_sequence::ChunkedSequence;
use crate::route::Route;

/// Routes sorted by host and path prefix; no two routes have both in common. Clones share unchanged parts.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    sorted: ChunkedSequence<Arc<Route>>,
}

/// The indices, in the operator's order, of two routes that share host and path prefix.
#[derive(Debug)]
pub(crate) struct DuplicateRoutes {
    pub(crate) first: usize,
    pub(crate) second: usize,
}

impl RouteTable {
    /// Builds the table from routes in the operator's order.
    ///
    /// # Errors
    ///
    /// Two routes share host and path prefix.
    pub(crate) fn new(routes: &[Arc<Route>]) -> Result<RouteTable, DuplicateRoutes> {
        let mut sorted: Vec<(usize, &Arc<Route>)> = routes.iter().enumerate().collect();
        // The sort is stable, so equal routes stay in the operator's order.
        sorted.sort_by(|(_, one), (_, other)| compare_match(one, &other.host, &other.path_prefix));
        for ((first, one), (second, other)) in sorted.iter().zip(sorted.iter().skip(1)) {
            if compare_match(one, &other.host, &other.path_prefix).is_eq() {
                return Err(DuplicateRoutes { first: *first, second: *second });
            }
        }
        let sorted = sorted.into_iter().map(|(_, route)| route.clone()).collect();
        Ok(RouteTable { sorted: ChunkedSequence::from_sorted(sorted) })
    }

    /// Inserts a route. Returns false if it replaced another route with the same host and path prefix.
    pub(crate) fn insert(&mut self, route: &Arc<Route>) -> bool {
        let compare = |own: &Arc<Route>| compare_match(own, &route.host, &route.path_prefix);
        self.sorted.insert(route.clone(), compare).is_none()
    }

    pub(crate) fn remove(&mut self, route: &Route) {
        self.sorted.remove(|own| compare_match(own, &route.host, &route.path_prefix));
    }

    /// Finds the route of a normalized host with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut path = path;
        loop {
            // Let P be the longest matching prefix. It sorts before the path or equals it, and all texts between the
            // two begin with P. So the candidate, the last route that is not after the path, has P itself or a prefix
            // that begins with P. In the second case the search continues with what path and candidate have in common,
            // which still begins with P.
            let candidate = self.sorted.last_not_greater(|own| compare_match(own, host, path))?;
            if candidate.host != host {
                return None;
            }
            if path.starts_with(&candidate.path_prefix) {
                return Some(candidate);
            }
            path = common_prefix(path, &candidate.path_prefix);
        }
    }
}

/// The longest common prefix of two texts.
fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let mut pairs = one.char_indices().zip(other.chars());
    let end = pairs.find(|((_, own), other)| own != other).map(|((index, _), _)| index);
    one.get(..end.unwrap_or(one.len().min(other.len()))).unwrap_or_default()
}

fn compare_match(route: &Route, host: &str, path_prefix: &str) -> Ordering {
    route.host.as_str().cmp(host).then_with(|| route.path_prefix.as_str().cmp(path_prefix))
}
