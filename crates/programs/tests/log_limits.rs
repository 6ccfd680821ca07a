//! Limits on how often lines are logged.

use mosshead_programs::log_limit::{LOG_INTERVAL, LogLimit};
use mosshead_programs::proxy::RefusalLog;
use mosshead_time::{Duration, Instant};

const START: Instant = Instant::from_millis(1);

#[test]
fn one_line_is_admitted_per_interval_and_says_how_many_were_not() {
    let limit = LogLimit::default();
    assert_eq!(limit.admit(START), Some(0));
    assert_eq!(limit.admit(START + LOG_INTERVAL - Duration::from_millis(1)), None);
    assert_eq!(limit.admit(START + LOG_INTERVAL - Duration::from_millis(1)), None);
    assert_eq!(limit.admit(START + LOG_INTERVAL), Some(2));
    assert_eq!(limit.admit(START + 2 * LOG_INTERVAL), Some(0));
}

#[test]
fn each_refusal_is_in_exactly_one_line() {
    let log = RefusalLog::default();
    assert_eq!(log.line(START, [0; 5]), None);
    assert_eq!(log.line(START, [0, 2, 0, 0, 1]).as_deref(), Some("R02:2,R05:1"));
    assert_eq!(log.line(START + Duration::from_secs(1), [3, 2, 0, 0, 1]), None);
    assert_eq!(log.line(START + LOG_INTERVAL, [4, 2, 0, 0, 1]).as_deref(), Some("R01:4"));
    assert_eq!(log.line(START + 3 * LOG_INTERVAL, [4, 2, 0, 0, 1]), None);
}
