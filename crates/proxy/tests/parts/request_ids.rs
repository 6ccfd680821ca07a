//! Tests of `mosshead::request_ids`.

use std::time::{Duration, Instant};

use mosshead::request_ids::RequestIds;

/// Guards against a request that runs twice, and against ids that pile up.
#[test]
fn an_id_is_free_again_once_its_job_cannot_run_any_more() {
    let (now, retention) = (Instant::now(), Duration::from_secs(6));
    let mut ids = RequestIds::new(retention);
    assert!(ids.try_reserve(1, now) && !ids.try_reserve(1, now));
    ids.release(1, false, now);
    assert!(ids.try_reserve(1, now), "it was never sent");
    ids.release(1, true, now);
    assert!(!ids.try_reserve(1, now + retention / 2) && ids.try_reserve(1, now + retention));
    ids.release(1, true, now + retention);
    assert!(ids.try_reserve(2, now + 3 * retention) && ids.taken.len() == 1 && ids.finished.is_empty());
}
