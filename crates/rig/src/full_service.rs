//! Time to full service: when the worth served is back at what it was, and stays there.

use mosshead_world::Time;
use mosshead_world::scorecard::{QUARTER_SECOND, SpanValue};

/// Full is this share of what was served before.
pub const FULL: f64 = 0.95;
/// It has to hold for so long,
pub const HOLDS: Time = Time::from_millis(5000);
/// over spans of this length.
const SPAN: usize = 4;

/// The share of the worth asked for that was earned, over quarters of a second.
fn share(quarters: &[SpanValue]) -> f64 {
    let (value, earned) =
        quarters.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.value, sum.1 + one.earned_value));
    if value > 0.0 { earned / value } else { 1.0 }
}

/// From `from` on, how long it takes until every second of the next five serves 95 % of the share that was served
/// before `before`; none where it never comes to that, or the day ends sooner.
pub fn full_again(quarters: &[SpanValue], before: Time, from: Time) -> Option<Time> {
    let at = |time: Time| (time.0 / QUARTER_SECOND.0) as usize;
    let usual = share(&quarters[at(Time::from_millis(1000)).min(at(before))..at(before).min(quarters.len())]);
    let holds = at(HOLDS);
    let first = from.0.div_ceil(QUARTER_SECOND.0) as usize;
    let full = |begin: &usize| {
        let span = quarters[*begin..*begin + holds].windows(SPAN);
        span.into_iter().all(|second| share(second) >= FULL * usual)
    };
    let begin = (first..(quarters.len() + 1).saturating_sub(holds)).find(full)?;
    Some(Time(begin as u64 * QUARTER_SECOND.0).max(from) - from)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn day(shares: &[(usize, f64)]) -> Vec<SpanValue> {
        shares
            .iter()
            .flat_map(|&(quarters, share)| {
                std::iter::repeat_n(SpanValue { value: 100.0, earned_value: 100.0 * share }, quarters)
            })
            .collect()
    }

    /// Guards the measure: a moment of full service that does not last is not full service.
    #[test]
    fn full_service_has_to_last() {
        let (before, from) = (Time::from_millis(3000), Time::from_millis(4000));
        let sound = day(&[(12, 0.96), (4, 0.1), (24, 0.95)]);
        assert_eq!(full_again(&sound, before, from), Some(Time::ZERO));
        let late = day(&[(12, 0.96), (4, 0.1), (6, 0.5), (24, 0.95)]);
        assert_eq!(full_again(&late, before, from), Some(Time::from_millis(1500)));
        let again = day(&[(12, 0.96), (4, 0.1), (8, 0.95), (4, 0.2), (24, 0.95)]);
        assert_eq!(full_again(&again, before, from), Some(Time::from_millis(3000)));
        assert_eq!(full_again(&day(&[(12, 0.96), (4, 0.1), (19, 0.95)]), before, from), None);
    }
}
