//! Tests of `mosshead::request_ids`.

use std::time::{Duration, Instant};

use mosshead::request_ids::RequestIds;

/// A request must not be executed twice, and the ids of finished requests must not use unbounded memory.
#[test]
fn an_id_is_free_again_once_its_request_can_no_longer_be_running() {
    let (now, retention) = (Instant::now(), Duration::from_secs(6));
    let mut ids = RequestIds::new(retention);
    assert!(ids.try_reserve(1, now) && !ids.try_reserve(1, now));
    ids.release(1, false, now);
    assert!(ids.try_reserve(1, now), "it was never sent");
    ids.release(1, true, now);
    assert!(!ids.try_reserve(1, now + retention / 2) && ids.try_reserve(1, now + retention));
    ids.release(1, true, now + retention);
    assert!(ids.try_reserve(2, now + 3 * retention) && ids.len() == 1 && ids.finished_len() == 0);
}
