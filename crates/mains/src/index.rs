//! Routes by host and longest path prefix.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::route::Route;

const NONE: u32 = u32::MAX;

/// Numbers of routes, ordered by host and prefix; beside each the place of the next shorter prefix that begins it.
#[derive(Debug, Default)]
pub(crate) struct Index {
    order: Vec<(u32, u32)>,
}

impl Index {
    /// Fails with the numbers of two routes that share host and prefix.
    pub(crate) fn new(routes: &[Arc<Route>]) -> Result<Index, (usize, usize)> {
        let mut sorted: Vec<(usize, &Arc<Route>)> = routes.iter().enumerate().collect();
        sorted.sort_by(|(_, one), (_, two)| order(one, &two.host, &two.prefix));
        let mut found: Vec<(u32, u32)> = Vec::with_capacity(sorted.len());
        // Places in `sorted` whose prefixes begin each other, the longest last.
        let mut chain: Vec<(u32, &Arc<Route>)> = Vec::new();
        for (place, (number, route)) in sorted.iter().enumerate() {
            while let Some((_, above)) = chain.last() {
                if above.host == route.host && route.prefix.starts_with(&above.prefix) {
                    break;
                }
                chain.pop();
            }
            if let Some((above, other)) = chain.last()
                && other.prefix == route.prefix
            {
                let other = found.get(*above as usize).map_or(0, |entry| entry.0 as usize);
                return Err((other, *number));
            }
            found.push((*number as u32, chain.last().map_or(NONE, |(above, _)| *above)));
            chain.push((place as u32, route));
        }
        Ok(Index { order: found })
    }

    /// `host` as it stands in the routes.
    pub(crate) fn find<'a>(
        &self,
        routes: &'a [Arc<Route>],
        host: &str,
        path: &str,
    ) -> Option<&'a Arc<Route>> {
        let route = |number: u32| routes.get(number as usize);
        let after = self.order.partition_point(|(number, _)| {
            route(*number).is_some_and(|route| order(route, host, path) != Ordering::Greater)
        });
        // What begins the path is the last one that isn't after it, or begins that one.
        let mut place = after.checked_sub(1)?;
        loop {
            let (number, above) = *self.order.get(place)?;
            let found = route(number)?;
            if found.host != host {
                return None;
            }
            if path.starts_with(&found.prefix) {
                return Some(found);
            }
            place = above as usize;
        }
    }
}

fn order(route: &Route, host: &str, prefix: &str) -> Ordering {
    route.host.as_str().cmp(host).then_with(|| route.prefix.as_str().cmp(prefix))
}
