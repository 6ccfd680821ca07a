//! The route of a request: by its host and the longest path prefix.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::chunked_sequence::ChunkedSequence;
use crate::route::Route;

/// Routes sorted by host and path prefix, of which no two are equal. Clones share what isn't changed.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteTable {
    sorted: ChunkedSequence<Arc<Route>>,
}

/// Two routes that share host and path prefix, by their indices in the operator's order.
#[derive(Debug)]
pub(crate) struct DuplicateRoutes {
    pub(crate) first: usize,
    pub(crate) second: usize,
}

impl RouteTable {
    /// Sorts routes that are given in the operator's order.
    ///
    /// # Errors
    ///
    /// Two routes share host and path prefix.
    pub(crate) fn new(routes: &[Arc<Route>]) -> Result<RouteTable, DuplicateRoutes> {
        let mut sorted: Vec<(usize, &Arc<Route>)> = routes.iter().enumerate().collect();
        // The sort is stable: of equal routes the one that the operator named first comes first.
        sorted.sort_by(|(_, one), (_, other)| compare_match(one, &other.host, &other.path_prefix));
        for ((first, one), (second, other)) in sorted.iter().zip(sorted.iter().skip(1)) {
            if compare_match(one, &other.host, &other.path_prefix).is_eq() {
                return Err(DuplicateRoutes { first: *first, second: *second });
            }
        }
        let sorted = sorted.into_iter().map(|(_, route)| route.clone()).collect();
        Ok(RouteTable { sorted: ChunkedSequence::from_sorted(sorted) })
    }

    /// Inserts a route, replacing the one with its host and path prefix; returns whether there was none.
    pub(crate) fn insert(&mut self, route: &Arc<Route>) -> bool {
        let compare = |own: &Arc<Route>| compare_match(own, &route.host, &route.path_prefix);
        self.sorted.insert(route.clone(), compare).is_none()
    }

    pub(crate) fn remove(&mut self, route: &Route) {
        self.sorted.remove(|own| compare_match(own, &route.host, &route.path_prefix));
    }

    /// Finds the route of a normalized host with the longest prefix that begins the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut path = path;
        loop {
            // A prefix of the path is also a prefix of all that lies between itself and the path in this order. So the
            // last route that isn't after the path has the longest prefix, or has it in common with the path.
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

/// The longest text that both begin with.
fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let mut pairs = one.char_indices().zip(other.chars());
    let end = pairs.find(|((_, own), other)| own != other).map(|((index, _), _)| index);
    one.get(..end.unwrap_or(one.len().min(other.len()))).unwrap_or_default()
}

fn compare_match(route: &Route, host: &str, path_prefix: &str) -> Ordering {
    route.host.as_str().cmp(host).then_with(|| route.path_prefix.as_str().cmp(path_prefix))
}
