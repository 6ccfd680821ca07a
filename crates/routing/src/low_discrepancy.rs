//! Numbers that are spread evenly over the requests of a route, to divide them by weight.
//!
//! Random numbers divide 300 requests into halves of 150 give or take 9. The multiples of the golden ratio, without their
//! whole parts, divide any run of requests as evenly as any sequence can: of n of them the part in an interval differs
//! from its length by about (log n) / n. Each proxy starts a route at a random number, so that many proxies with few
//! requests each don't all begin with the same service.

use std::collections::HashMap;

/// The golden ratio without its whole part.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;
/// So many routes are remembered; with one more all of them start anew.
const MAX_ROUTES: usize = 8_192;

/// The next number of each route.
#[derive(Clone, Debug, Default)]
pub struct LowDiscrepancySequences {
    next: HashMap<String, f64>,
}

impl LowDiscrepancySequences {
    /// The next number of a route, from 0 to below 1; `start` gives the first one.
    pub fn next(&mut self, route: &str, start: impl FnOnce() -> f64) -> f64 {
        if let Some(next) = self.next.get_mut(route) {
            let drawn = *next;
            *next = (drawn + GOLDEN_STEP).fract();
            return drawn;
        }
        if self.next.len() >= MAX_ROUTES {
            self.next.clear();
        }
        let drawn = start();
        self.next.insert(route.to_owned(), (drawn + GOLDEN_STEP).fract());
        drawn
    }
}
