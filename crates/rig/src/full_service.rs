//! The time to full service: until the value served is back at its former share, and stays there.

use mosshead_world::Time;
use mosshead_world::scorecard::{QUARTER_SECOND, SpanValue};

/// Service is full at this share of what was served before.
pub const FULL_SERVICE_SHARE: f64 = 0.95;
/// Service has to stay full for this long.
pub const MIN_FULL_SERVICE: Time = Time::from_millis(5000);
/// The start of a day that does not count into what was served before.
const START_OF_DAY: Time = Time::from_millis(1000);
/// The share is taken over spans of this many quarters of a second.
const QUARTERS_PER_SPAN: usize = 4;

/// The share of the value asked for that was earned; 1 where nothing was asked for.
fn served_share(quarters: &[SpanValue]) -> f64 {
    let asked: f64 = quarters.iter().map(|quarter| quarter.value).sum();
    let earned: f64 = quarters.iter().map(|quarter| quarter.earned_value).sum();
    if asked > 0.0 { earned / asked } else { 1.0 }
}

fn quarter_at(at: Time) -> usize {
    (at.0 / QUARTER_SECOND.0) as usize
}

/// From `from` on, how long it takes until each second of the next five serves 95 % of the share that was served
/// before `outage`. `None` where it never comes to that, or the day ends sooner. `quarters` are those of the
/// whole day.
pub fn time_to_full_service(quarters: &[SpanValue], outage: Time, from: Time) -> Option<Time> {
    let before = quarter_at(START_OF_DAY).min(quarter_at(outage))..quarter_at(outage).min(quarters.len());
    let former_share = served_share(&quarters[before]);
    let min_quarters = quarter_at(MIN_FULL_SERVICE);
    let stays_full = |first: &usize| {
        let mut spans = quarters[*first..*first + min_quarters].windows(QUARTERS_PER_SPAN);
        spans.all(|span| served_share(span) >= FULL_SERVICE_SHARE * former_share)
    };
    let earliest = from.0.div_ceil(QUARTER_SECOND.0) as usize;
    let first = (earliest..(quarters.len() + 1).saturating_sub(min_quarters)).find(stays_full)?;
    Some(Time(first as u64 * QUARTER_SECOND.0).max(from) - from)
}
