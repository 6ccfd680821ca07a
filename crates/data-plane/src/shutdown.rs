//! The graceful shutdown: a request that can't end in time is rejected, and every accepted one gets a final response
//! before the process exits.

use hyper::{Response, StatusCode};
use mosshead_routing::ShutdownSchedule;
use mosshead_time::Duration;
use tokio::time::{Instant, sleep_until};

use crate::client_request::PreparedRequest;
use crate::data_plane::DataPlane;
use crate::response::{ResponseBody, proxy_response};
use crate::run_tracker::RunTracker;

/// The minimum `Retry-After` of a request that is rejected because of the shutdown. Clients reach a draining proxy
/// while few proxies of their zone are ready (PROTOCOL.md, Ingress), so an immediate retry would meet another such one.
const MIN_RETRY_AFTER_SECONDS: f64 = 1.0;
/// The maximum jitter of that `Retry-After`.
const RETRY_AFTER_JITTER_SECONDS: f64 = 0.5;

impl DataPlane {
    /// Starts to drain before the process shuts down, with `grace` until it would be killed. From now on responses ask
    /// clients to close their connections, and requests that would be cut off by the exit are rejected. Returns when
    /// the process must exit at the latest.
    pub fn start_draining(&self, grace: Duration) -> Instant {
        let schedule = ShutdownSchedule::new(self.now(), grace);
        self.shutdown.send_replace(Some(schedule));
        self.deadline_at(schedule.exits_at()).timer
    }

    /// True after [`DataPlane::start_draining`].
    pub fn is_draining(&self) -> bool {
        self.shutdown.borrow().is_some()
    }

    /// True if the request will have a complete response before the process exits, or the exit may cut it off.
    pub(crate) fn accepts(&self, request: &PreparedRequest) -> bool {
        let Some(schedule) = *self.shutdown.borrow() else { return true };
        let now = self.now();
        let max_duration = match request {
            // The client may send it again if the response is replaced by one of the proxy.
            PreparedRequest::Buffered(request) if request.is_repeatable() => {
                request.route.target_latency.min(request.deadline.instant - now)
            }
            // Only its deadline is certain to end a stream, and a request that may run once.
            PreparedRequest::Buffered(request) | PreparedRequest::Prompt(request, _) => {
                request.deadline.instant - now
            }
        };
        schedule.accepts(now, max_duration)
    }

    /// Completes when all responses are due because the process is about to exit.
    pub(crate) async fn wait_until_responses_due(&self) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender lives as long as the data plane.
        let Ok(schedule) = shutdown.wait_for(Option::is_some).await.map(|schedule| *schedule) else { return };
        if let Some(schedule) = schedule {
            sleep_until(self.deadline_at(schedule.responses_due_at()).timer).await;
        }
    }

    /// The response to a request that is abandoned because the process is about to exit.
    pub(crate) fn abandon(&self, runs: &RunTracker) -> Response<ResponseBody> {
        if runs.may_have_run() { self.fail() } else { self.reject_for_shutdown() }
    }

    /// The response to a request that no server has run or will run, because the proxy shuts down.
    pub(crate) fn reject_for_shutdown(&self) -> Response<ResponseBody> {
        self.counters.rejected.increment();
        let jitter = RETRY_AFTER_JITTER_SECONDS * self.router.borrow_mut().random_fraction();
        proxy_response(StatusCode::SERVICE_UNAVAILABLE, Some(MIN_RETRY_AFTER_SECONDS + jitter))
    }
}
