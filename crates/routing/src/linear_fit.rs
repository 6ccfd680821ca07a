//! A linear estimate that forgets: what something takes without waiting, as a fixed part and a part for each token.

/// What every earlier observation keeps of its weight when a new one arrives: the last 20 or so count.
const RETENTION: f64 = 0.95;
/// An observation further from the estimate than this many mean deviations is moved to that distance.
const MAX_DEVIATIONS: f64 = 4.0;
/// The mean deviation is never taken for less, in milliseconds.
const MIN_DEVIATION: f64 = 5.0;
/// The weight of the newest observation in the mean deviation.
const DEVIATION_GAIN: f64 = 0.1;
/// With a lower relative variance of the tokens the slope can't be told from the fixed part, and stays as it is.
const MIN_RELATIVE_VARIANCE: f64 = 0.05;
/// The weight of an observation above the estimate. It is low, since most of what takes longer has waited in a queue.
const ABOVE_WEIGHT: f64 = 0.15;
/// With fewer observations an estimate is little more than its start values.
const ESTABLISHED_OBSERVATIONS: u32 = 12;
/// The weight of the start values, in observations.
const START_WEIGHT: f64 = 2.0;

/// Milliseconds as a linear function of tokens, by exponentially weighted least squares in which observations above the
/// estimate weigh less (an expectile). One observation that is far off moves the estimate no further than one that is
/// [`MAX_DEVIATIONS`] mean deviations off.
#[derive(Clone, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    mean_tokens: f64,
    mean_millis: f64,
    variance: f64,
    covariance: f64,
    deviation: f64,
    slope: f64,
    min_slope: f64,
    max_slope: f64,
    observations: u32,
}

impl LinearFit {
    /// Starts with `fixed` milliseconds and `slope` milliseconds a token, as if observed around `typical_tokens`. The slope
    /// stays between `slope / range` and `slope * range`.
    pub(crate) fn new(fixed: f64, slope: f64, typical_tokens: f64, range: f64) -> Self {
        let variance = typical_tokens * typical_tokens;
        Self {
            weight: START_WEIGHT,
            mean_tokens: typical_tokens,
            mean_millis: fixed + slope * typical_tokens,
            variance,
            covariance: slope * variance,
            deviation: MIN_DEVIATION,
            slope,
            min_slope: slope / range,
            max_slope: slope * range,
            observations: 0,
        }
    }

    /// Takes an observation. One that is not finite or negative is ignored.
    pub(crate) fn observe(&mut self, tokens: f64, millis: f64) {
        if !(tokens.is_finite() && millis.is_finite() && tokens >= 0.0 && millis >= 0.0) {
            return;
        }
        let error = millis - self.predict(tokens);
        let bound = MAX_DEVIATIONS * self.deviation;
        let millis = millis - error + error.clamp(-bound, bound);
        self.deviation = (self.deviation + DEVIATION_GAIN * (error.abs().min(2.0 * bound) - self.deviation))
            .max(MIN_DEVIATION);
        self.observations = self.observations.saturating_add(1);
        let weight = if error > 0.0 { ABOVE_WEIGHT } else { 1.0 };
        self.weight = self.weight * (1.0 - (1.0 - RETENTION) * weight) + weight;
        let gain = weight / self.weight;
        let (off_tokens, off_millis) = (tokens - self.mean_tokens, millis - self.mean_millis);
        self.mean_tokens += gain * off_tokens;
        self.mean_millis += gain * off_millis;
        self.variance = (1.0 - gain) * (self.variance + gain * off_tokens * off_tokens);
        self.covariance = (1.0 - gain) * (self.covariance + gain * off_tokens * off_millis);
        if self.variance > MIN_RELATIVE_VARIANCE * self.mean_tokens * self.mean_tokens {
            self.slope = (self.covariance / self.variance).clamp(self.min_slope, self.max_slope);
        }
    }

    /// Milliseconds for this many tokens; never negative.
    pub(crate) fn predict(&self, tokens: f64) -> f64 {
        (self.mean_millis + self.slope * (tokens - self.mean_tokens)).max(0.0)
    }

    /// Whether there are enough observations to tell the slope from the start value.
    pub(crate) fn is_established(&self) -> bool {
        self.observations >= ESTABLISHED_OBSERVATIONS
    }

    /// Milliseconds for each token.
    pub(crate) fn slope(&self) -> f64 {
        self.slope
    }
}
