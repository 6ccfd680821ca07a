//! Low-discrepancy sequences, by which the requests of a route are split by weight.
//!
//! Independent random numbers split 300 requests into halves of 150 ± 9. The fractional parts of the multiples of the
//! golden ratio split any run of requests as evenly as any sequence can: of n numbers, the share that falls into an
//! interval differs from the interval's length by about (log n) / n. Each proxy starts a route at a random number, so
//! that many proxies with few requests each don't all begin with the same service.

use std::collections::HashMap;

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
/// Upper bound on the number of routes remembered. One more route clears all of them.
const MAX_ROUTES: usize = 8_192;

/// One low-discrepancy sequence per route.
#[derive(Clone, Debug, Default)]
pub struct LowDiscrepancySequences {
    /// The next number of each route.
    next_by_route: HashMap<String, f64>,
}

impl LowDiscrepancySequences {
    /// The next number of a route, from 0 to below 1. `start` supplies the first number of a route.
    pub fn next(&mut self, route: &str, start: impl FnOnce() -> f64) -> f64 {
        if let Some(next) = self.next_by_route.get_mut(route) {
            let drawn = *next;
            *next = (drawn + GOLDEN_RATIO_FRACTION).fract();
            return drawn;
        }
        if self.next_by_route.len() >= MAX_ROUTES {
            self.next_by_route.clear();
        }
        let drawn = start();
        self.next_by_route.insert(route.to_owned(), (drawn + GOLDEN_RATIO_FRACTION).fract());
        drawn
    }
}
