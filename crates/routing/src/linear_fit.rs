//! A linear latency estimate with exponential forgetting: a fixed part plus a part per token, without queueing time.

/// The factor by which a new observation reduces the weight of earlier ones; about the last 20 count.
const FORGETTING_FACTOR: f64 = 0.95;
/// An observation further from the estimate than this many mean deviations is clamped to that distance.
const MAX_DEVIATIONS: f64 = 4.0;
/// Lower bound of the mean deviation.
const MIN_DEVIATION_MILLIS: f64 = 5.0;
/// The weight of the newest observation in the mean deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// Below this relative variance of the token counts the slope cannot be separated from the fixed part and is kept.
const MIN_RELATIVE_VARIANCE: f64 = 0.05;
/// The weight of an observation above the estimate. It is low, because most such observations include queueing time.
const ABOVE_ESTIMATE_WEIGHT: f64 = 0.15;
/// With fewer observations the estimate depends mostly on its initial values.
const MIN_ESTABLISHED_OBSERVATIONS: u32 = 12;
/// The weight of the initial values, in observations.
const INITIAL_WEIGHT: f64 = 2.0;

/// Milliseconds as a linear function of tokens, by exponentially weighted least squares in which observations above the
/// estimate weigh less (an expectile). An outlier moves the estimate no further than an observation that is
/// [`MAX_DEVIATIONS`] mean deviations away.
#[derive(Clone, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    mean_tokens: f64,
    mean_millis: f64,
    variance: f64,
    covariance: f64,
    mean_deviation: f64,
    slope: f64,
    min_slope: f64,
    max_slope: f64,
    observations: u32,
}

impl LinearFit {
    /// Creates a fit that starts with `fixed` milliseconds plus `slope` milliseconds per token, as if these had been
    /// observed around `typical_tokens`. The slope stays between `slope / range` and `slope * range`.
    pub(crate) fn new(fixed: f64, slope: f64, typical_tokens: f64, range: f64) -> Self {
        let variance = typical_tokens * typical_tokens;
        Self {
            weight: INITIAL_WEIGHT,
            mean_tokens: typical_tokens,
            mean_millis: fixed + slope * typical_tokens,
            variance,
            covariance: slope * variance,
            mean_deviation: MIN_DEVIATION_MILLIS,
            slope,
            min_slope: slope / range,
            max_slope: slope * range,
            observations: 0,
        }
    }

    /// Adds an observation. One with a negative or non-finite number is ignored.
    pub(crate) fn observe(&mut self, tokens: f64, millis: f64) {
        if !(tokens.is_finite() && millis.is_finite() && tokens >= 0.0 && millis >= 0.0) {
            return;
        }
        let error = millis - self.predict(tokens);
        let bound = MAX_DEVIATIONS * self.mean_deviation;
        let millis = millis - error + error.clamp(-bound, bound);
        self.mean_deviation = (self.mean_deviation
            + DEVIATION_GAIN * (error.abs().min(2.0 * bound) - self.mean_deviation))
            .max(MIN_DEVIATION_MILLIS);
        self.observations = self.observations.saturating_add(1);
        let weight = if error > 0.0 { ABOVE_ESTIMATE_WEIGHT } else { 1.0 };
        self.weight = self.weight * (1.0 - (1.0 - FORGETTING_FACTOR) * weight) + weight;
        let gain = weight / self.weight;
        let (token_offset, millis_offset) = (tokens - self.mean_tokens, millis - self.mean_millis);
        self.mean_tokens += gain * token_offset;
        self.mean_millis += gain * millis_offset;
        self.variance = (1.0 - gain) * (self.variance + gain * token_offset * token_offset);
        self.covariance = (1.0 - gain) * (self.covariance + gain * token_offset * millis_offset);
        if self.variance > MIN_RELATIVE_VARIANCE * self.mean_tokens * self.mean_tokens {
            self.slope = (self.covariance / self.variance).clamp(self.min_slope, self.max_slope);
        }
    }

    /// The estimate for this many tokens, in milliseconds; never negative.
    pub(crate) fn predict(&self, tokens: f64) -> f64 {
        (self.mean_millis + self.slope * (tokens - self.mean_tokens)).max(0.0)
    }

    /// True if there are enough observations to prefer the fitted slope to the initial one.
    pub(crate) fn is_established(&self) -> bool {
        self.observations >= MIN_ESTABLISHED_OBSERVATIONS
    }

    /// Milliseconds per token.
    pub(crate) fn slope(&self) -> f64 {
        self.slope
    }
}
