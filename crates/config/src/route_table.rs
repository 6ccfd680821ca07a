//! Routes by host and longest path prefix.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::chunked_sequence::Chunks;
use crate::route::Route;

/// Routes in the order of host and prefix. Clones share what isn't changed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Index {
    order: Chunks<Arc<Route>>,
}

impl Index {
    /// Fails with the numbers of two routes that share host and prefix.
    pub(crate) fn new(routes: &[Arc<Route>]) -> Result<Index, (usize, usize)> {
        let mut sorted: Vec<(usize, &Arc<Route>)> = routes.iter().enumerate().collect();
        sorted.sort_by(|(_, one), (_, two)| order(one, &two.host, &two.path_prefix));
        for ((first, one), (second, two)) in sorted.iter().zip(sorted.iter().skip(1)) {
            if order(one, &two.host, &two.path_prefix).is_eq() {
                return Err((*first, *second));
            }
        }
        let sorted = sorted.into_iter().map(|(_, route)| route.clone()).collect();
        Ok(Index { order: Chunks::from_sorted(sorted) })
    }

    /// False when another route has its place.
    pub(crate) fn insert(&mut self, route: &Arc<Route>) -> bool {
        self.order.insert(route.clone(), |own| order(own, &route.host, &route.path_prefix)).is_none()
    }

    pub(crate) fn remove(&mut self, route: &Route) {
        self.order.remove(|own| order(own, &route.host, &route.path_prefix));
    }

    /// `host` as it stands in the routes.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut path = path;
        loop {
            // Every prefix that begins the path begins all that lies between itself and the path in this order,
            // so the last route that isn't after the path bears the longest one, or shares it with the path.
            let found = self.order.last_up_to(|own| order(own, host, path))?;
            if found.host != host {
                return None;
            }
            if path.starts_with(&found.path_prefix) {
                return Some(found);
            }
            path = common_start(path, &found.path_prefix);
        }
    }
}

/// What two texts begin with, both.
fn common_start<'a>(one: &'a str, two: &str) -> &'a str {
    let mut pairs = one.char_indices().zip(two.chars());
    let end = pairs.find(|((_, own), other)| own != other).map(|((at, _), _)| at);
    one.get(..end.unwrap_or(one.len().min(two.len()))).unwrap_or_default()
}

fn order(route: &Route, host: &str, prefix: &str) -> Ordering {
    route.host.as_str().cmp(host).then_with(|| route.path_prefix.as_str().cmp(prefix))
}
