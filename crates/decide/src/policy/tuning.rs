//! Tuning constants that more than one part of the policy uses. The others stand where they are used.
//!
//! Times are multiples of times in the settings, so that the decisions do not depend on the scale of a deployment.

/// Weight of a new sample in the fleet's means: slow, so that one bad server does not become the norm.
pub(super) const MEAN_GAIN: f64 = 1.0 / 64.0;
/// Service times are heavy-tailed: a sample counts for at most so many times the mean.
pub(super) const SAMPLE_CAP: f64 = 4.0;
/// A server with attempts in flight that is silent for longer than so many expected times counts as that much slower.
pub(super) const STALL_FACTOR: f64 = 1.5;
/// A server with so many queued requests per slot is crowded.
pub(super) const CROWDED_QUEUE: f64 = 0.5;

/// The budget for retries and hedged requests never exceeds so many.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// The price's range, in units of the mean value of work; at the lowest price nothing is rejected.
pub(super) const PRICE_RANGE: (f64, f64) = (0.02, 4.0);
/// The overload decays within so many mean deadlines.
pub(crate) const OVERLOAD_DECAY: f64 = 10.0;

/// What the fleet can do is computed anew after this fraction of a slow start.
pub(super) const REVIEW_SHARE: f64 = 1.0 / 16.0;
/// The traffic is assumed to be up to so many times what the servers past their slow start can do.
pub(super) const SLOW_START_OVERLOAD: f64 = 2.0;

/// How old reports are assumed to be on arrival, in decay times of a report, until that is measured.
pub(super) const INITIAL_REPORT_AGE: f64 = 1.4;
/// A report of which less than this fraction still holds is stale: a pair with one is probed.
pub(super) const STALE_REPORT: f64 = 0.05;
/// A probe is slow if it took longer than this fraction of a mean service time: then probes queue like requests,
pub(super) const SLOW_PROBE: f64 = 0.25;
/// and are paused for so many mean deadlines.
pub(super) const PROBE_PAUSE: f64 = 4.0;
