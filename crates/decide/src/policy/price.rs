//! The price of work, which rises while responses miss their latency target, and the time until which a response has a
//! value.

use super::balancer::Balancer;
use super::tuning::{MAX_PRICE, MIN_PRICE};
use crate::interface::{ClassId, RepeatEffect, Seconds};
use crate::state::PendingRequest;

/// The price of work rises while more than this fraction of responses misses the latency target.
const ALLOWED_MISSES: f64 = 0.1;
/// How far one missed response moves the logarithm of the price.
const PRICE_GAIN: f64 = 0.1;

impl Balancer {
    /// Adjusts the price after a response, a rejection or a request that was given up. `missed` says how much it counts
    /// as a miss of the latency target: 0 for a response in time, 1 at most, and less than 0 to lower the price faster.
    ///
    /// Requests also miss their target at unhealthy servers. Callers count only misses behind queues, as only these
    /// indicate overload.
    pub(super) fn adjust_price(&mut self, class: ClassId, missed: f64) {
        let (lowest, highest) = (MIN_PRICE.ln(), MAX_PRICE.ln());
        let log_price = &mut self.state.log_prices[self.state.price_group_of_class[class.0]];
        *log_price = (*log_price + PRICE_GAIN * (missed.min(1.0) - ALLOWED_MISSES)).clamp(lowest, highest);
    }

    /// Returns true if a request of the class may run more than once.
    pub(super) fn may_repeat(&self, class: ClassId) -> bool {
        self.settings.classes[class.0].repeat_effect != RepeatEffect::Unsafe
    }

    /// The time after which no response has a value.
    pub(super) fn useful_until(&self, request: &PendingRequest) -> Seconds {
        let has_late_value = self.settings.classes[request.class.0].late_value > 0.0;
        if has_late_value { request.deadline } else { request.target_time.min(request.deadline) }
    }
}
