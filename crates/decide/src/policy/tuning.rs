//! Tuning constants that more than one part of the policy uses. The others stand where they are used.
//!
//! Times are multiples of times in the settings, so that the decisions do not depend on the scale of a deployment.

/// Weight of a new sample in the fleet's means: slow, so that one bad server does not become the norm.
pub(super) const MEAN_GAIN: f64 = 1.0 / 64.0;
/// A sample of a service time counts for at most this multiple of the mean, since service times are heavy-tailed.
pub(super) const SAMPLE_CAP: f64 = 4.0;
/// A server with attempts in flight counts as slower once it has been silent for this multiple of the expected time.
pub(super) const STALL_FACTOR: f64 = 1.5;
/// A server is crowded from this number of queued requests per slot on.
pub(super) const CROWDED_QUEUE: f64 = 0.5;

/// The largest budget for retries and hedged requests.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// The lowest price of work, in units of its mean value; at this price nothing is rejected.
pub(super) const MIN_PRICE: f64 = 0.02;
/// The highest price of work, in units of its mean value.
pub(super) const MAX_PRICE: f64 = 4.0;
/// The time constant with which the overload decays, in mean deadlines.
pub(crate) const OVERLOAD_DECAY: f64 = 10.0;

/// The capacity of the fleet is computed again after this fraction of a slow start.
pub(super) const REVIEW_SHARE: f64 = 1.0 / 16.0;
/// The traffic is assumed to be at most this multiple of what the servers past their slow start can do.
pub(super) const SLOW_START_OVERLOAD: f64 = 2.0;

/// How old reports are assumed to be on arrival, in decay times of a report, until that is measured.
pub(super) const INITIAL_REPORT_AGE: f64 = 1.4;
/// A report is stale once its weight has decayed to this fraction: a pair with one is probed.
pub(super) const STALE_REPORT: f64 = 0.05;
/// A probe is slow if it took longer than this fraction of a mean service time: probes then queue like requests.
pub(super) const SLOW_PROBE: f64 = 0.25;
/// After a slow probe there are no probes for this multiple of the mean deadline.
pub(super) const PROBE_PAUSE: f64 = 4.0;
