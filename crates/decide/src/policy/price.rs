//! The price of work, which rises while responses miss their target, and until when a response has a value.

use super::balancer::Balancer;
use super::tuning::{MAX_PRICE, MIN_PRICE};
use crate::interface::{ClassId, RepeatEffect, Seconds};
use crate::state::PendingRequest;

/// The price of work rises while more than this fraction of the responses misses the latency target.
const ALLOWED_MISSES: f64 = 0.1;
/// How far one response moves the logarithm of that price.
const PRICE_GAIN: f64 = 0.1;

impl Balancer {
    /// Moves the price by a response that missed its target by so much, 0 if it did not.
    ///
    /// Requests also miss their target at unhealthy servers; callers count only misses behind queues, as only these are a
    /// sign of overload.
    pub(super) fn adjust_price(&mut self, class: ClassId, missed: f64) {
        let (lowest, highest) = (MIN_PRICE.ln(), MAX_PRICE.ln());
        let log_price = &mut self.state.log_prices[self.state.market_of_class[class.0]];
        *log_price = (*log_price + PRICE_GAIN * (missed.min(1.0) - ALLOWED_MISSES)).clamp(lowest, highest);
    }

    /// Whether a request of the class may run more than once.
    pub(super) fn may_repeat(&self, class: ClassId) -> bool {
        self.settings.classes[class.0].repeat_effect != RepeatEffect::Unsafe
    }

    /// When no response that could still arrive has any value.
    pub(super) fn useful_until(&self, request: &PendingRequest) -> Seconds {
        let has_late_value = self.settings.classes[request.class.0].late_value > 0.0;
        if has_late_value { request.deadline } else { request.target_time.min(request.deadline) }
    }
}
