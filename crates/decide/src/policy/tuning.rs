//! Tuning constants that several modules of the policy share. All others are defined where they are used.
//!
//! Times are multiples of times in the settings, so that decisions do not depend on the time scale of a deployment.

/// Weight of a new sample in means over the fleet. It is low, so that one bad server hardly changes them.
pub(super) const MEAN_GAIN: f64 = 1.0 / 64.0;
/// Samples of service times are capped at this multiple of the mean, since service times are heavy-tailed.
pub(super) const SAMPLE_CAP: f64 = 4.0;
/// A server with attempts in flight counts as slower once it has not responded for this multiple of the expected time.
pub(super) const STALL_FACTOR: f64 = 1.5;
/// A server with at least this many queued requests per slot is crowded.
pub(super) const CROWDED_QUEUE_PER_SLOT: f64 = 0.5;

/// The maximum retry budget, in retries and hedges.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// The minimum of the learned price of work, in units of its mean value. At this minimum it counts as 0.
pub(super) const MIN_PRICE: f64 = 0.02;
/// The maximum of the learned price of work, in units of its mean value.
pub(super) const MAX_PRICE: f64 = 4.0;
/// The time constant of the decay of the overload, in mean deadlines.
pub(crate) const OVERLOAD_DECAY_DEADLINES: f64 = 10.0;

/// During slow starts the fleet's capacity is recomputed at this interval, as a fraction of a slow start's duration.
pub(super) const REVIEW_INTERVAL_SHARE: f64 = 1.0 / 16.0;
/// The highest traffic that is assumed, as a multiple of the fleet's capacity after slow start.
pub(super) const MAX_ASSUMED_TRAFFIC: f64 = 2.0;

/// The initial estimate of the age of reports on arrival, in decay times of a report.
pub(super) const INITIAL_REPORT_AGE: f64 = 1.4;
/// A report is stale once its weight has decayed to this fraction; a pair with a stale report is probed.
pub(super) const STALE_REPORT_WEIGHT: f64 = 0.05;
/// A probe that takes longer than this many mean service times is slow: probes then queue like requests.
pub(super) const SLOW_PROBE_SERVICE_TIMES: f64 = 0.25;
/// How long probing pauses after a slow probe, in mean deadlines.
pub(super) const PROBE_PAUSE_DEADLINES: f64 = 4.0;
