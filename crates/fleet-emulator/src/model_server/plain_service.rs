//! Requests without a prompt, and the failures that some of them meet. What happens to a request is drawn from its
//! attempt's id, so that it does not depend on when and where it runs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use mosshead_fleet_rules::AttemptId;
use mosshead_time::Instant;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use super::ModelServer;
use super::event_body::{BrokenOff, EventBody};
use super::service::sealed;

/// Of 100 requests, so many are rejected, answered with 500, or broken off before the response or within its body.
const REJECTED_PERCENT: u32 = 2;
const FAILED_PERCENT: u32 = 2;
const BROKEN_OFF_PERCENT: u32 = 2;
const BROKEN_BODY_PERCENT: u32 = 2;
/// Of 100 streams, so many are broken off.
const BROKEN_STREAM_PERCENT: u32 = 4;
/// Of 100 requests, so many take long.
const LONG_PERCENT: u32 = 6;
/// How long a server works on a request, in milliseconds.
const WORK_MILLIS: std::ops::Range<u64> = 3..60;
const LONG_WORK_MILLIS: std::ops::Range<u64> = 500..2_500;
/// The length of a body, in bytes.
const BODY_BYTES: std::ops::Range<usize> = 20..4_000;

/// What a server does with a request.
enum Treatment {
    Serve,
    Reject,
    Fail,
    BreakOff,
    BreakOffInBody,
}

impl Treatment {
    fn draw(random: &mut impl Rng) -> Treatment {
        let drawn = random.random_range(0..100);
        let failed = REJECTED_PERCENT + FAILED_PERCENT;
        let broken_off = failed + BROKEN_OFF_PERCENT;
        match drawn {
            _ if drawn < REJECTED_PERCENT => Treatment::Reject,
            _ if drawn < failed => Treatment::Fail,
            _ if drawn < broken_off => Treatment::BreakOff,
            _ if drawn < broken_off + BROKEN_BODY_PERCENT => Treatment::BreakOffInBody,
            _ => Treatment::Serve,
        }
    }
}

/// Random numbers for one attempt.
fn random_of(attempt: &AttemptId) -> Pcg64Mcg {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    Pcg64Mcg::seed_from_u64(hasher.finish())
}

/// Runs a request. A retry of a client is an attempt of its own and may fare better.
///
/// The inner error is the status with which the server rejects the request.
///
/// # Errors
///
/// The server breaks off.
pub(super) async fn run(
    server: &Rc<ModelServer>,
    attempt: &AttemptId,
    arrived_at: Instant,
) -> Result<Result<Response<EventBody>, StatusCode>, BrokenOff> {
    let mut random = random_of(attempt);
    let treatment =
        if server.environment.has_failures { Treatment::draw(&mut random) } else { Treatment::Serve };
    if matches!(treatment, Treatment::Reject) {
        return Ok(Err(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut run = server.begin_run(attempt, arrived_at);
    let _slot = server.engine.slot().await;
    let is_long = random.random_range(0..100) < LONG_PERCENT;
    sleep(Duration::from_millis(random.random_range(if is_long { LONG_WORK_MILLIS } else { WORK_MILLIS })))
        .await;
    let (status, text) = match treatment {
        Treatment::BreakOff => {
            run.break_off();
            return Err(BrokenOff);
        }
        Treatment::Fail => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
        Treatment::Serve | Treatment::Reject | Treatment::BreakOffInBody => {
            let filler = "x".repeat(random.random_range(BODY_BYTES));
            (StatusCode::OK, format!("{attempt} at {}: {filler}", server.instance_id()))
        }
    };
    run.set_response(status.as_u16(), text.as_bytes());
    let body = match treatment {
        Treatment::BreakOffInBody => EventBody::part_of(text),
        _ => EventBody::of(text),
    };
    let mut response = sealed(Response::new(body.of_run(run)), server, attempt);
    *response.status_mut() = status;
    Ok(Ok(response))
}

/// The event after which the first run of a stream of so many events is broken off, if it is.
pub(super) fn broken_event(attempt: &AttemptId, events: u64) -> Option<u64> {
    let mut random = random_of(attempt);
    let is_broken = random.random_range(0..100) < BROKEN_STREAM_PERCENT;
    is_broken.then(|| random.random_range(0..events.max(1)) + 1)
}
