//! Load reports of servers, and the detection of servers that are unresponsive: they don't even answer those.

use std::rc::Rc;

use hyper::{Method, Uri};
use mosshead_config::Service;
use mosshead_routing::{Prompt, ServerFailure};
use mosshead_time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::attempt::AttemptOutcome;
use crate::data_plane::DataPlane;
use crate::headers::keep_alive_timeout;
use crate::server_report::ServerReport;
use crate::server_request::{ServerRequest, Target};
use crate::server_response::{ServerResponse, read_body};

/// A server that works answers a request for its load within this time: it needs no slot for that.
pub(crate) const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// A server from which nothing has arrived for this long gets a load query, which shows whether it responds at all.
pub(crate) const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long a client's request waits for load reports: a fresh one is not worth more.
const LOAD_REPORT_WAIT: Duration = Duration::from_millis(12);
impl DataPlane {
    /// Queries the load of the prefill servers that the prompt may be sent to, where no report is fresh.
    pub(crate) async fn refresh_prefill_loads(self: &Rc<Self>, service: &Service, prompt: &Prompt) {
        let now = self.now();
        let ids = self.router.borrow_mut().prefill_servers_to_query(now, &service.name, prompt);
        let targets: Vec<Target> = ids.iter().filter_map(|id| self.target(service, id)).collect();
        let mut queries = Vec::new();
        for target in targets {
            // A task of its own continues when the wait is over, and its report serves the next request.
            let data_plane = self.clone();
            queries.push(tokio::task::spawn_local(async move {
                data_plane.query_load(&target, LOAD_REPORT_TIMEOUT).await;
            }));
        }
        let until = Instant::now() + LOAD_REPORT_WAIT;
        for query in queries {
            let _ = timeout_at(until, query).await;
        }
    }

    /// Queries the load of a server and records its report.
    async fn query_load(self: &Rc<Self>, target: &Target, timeout: Duration) {
        let request = ServerRequest::of_proxy(Method::GET, Uri::from_static("/report"));
        let deadline = self.deadline_in(timeout);
        match self.send_attempt(target, &request, deadline, &[]).await {
            AttemptOutcome::Responded(response) if response.head.status.is_success() => {
                self.record_load_report(target, response, deadline.timer).await;
            }
            AttemptOutcome::NotDelivered(failure) => self.record_failure(&target.id, failure),
            AttemptOutcome::TimedOut | AttemptOutcome::Broken => {
                self.record_failure(&target.id, ServerFailure::Unreachable);
            }
            AttemptOutcome::Responded(_) | AttemptOutcome::Rejected(_) => {}
        }
    }

    /// The connection is closed where the body is no report: it then belongs to another call, and the report may still
    /// arrive where the next response is due.
    async fn record_load_report(&self, target: &Target, response: ServerResponse, until: Instant) {
        let ServerResponse { head, body, connection } = response;
        let body = read_body(&head, body, until).await;
        let Some(report) = body.and_then(|body| ServerReport::parse(&body)) else { return };
        let now = self.now();
        self.router.borrow_mut().record_load(now, &target.id, report.load());
        self.connections.put(&target.id, connection, keep_alive_timeout(&head.headers), until).await;
    }

    /// Completes once the server has shown that it is unresponsive: nothing has arrived from it for `max_silence`, and
    /// then it does not even report its load within `report_timeout`. No response alone proves nothing: a request in a
    /// long queue is silent, too, and must not be sent elsewhere for that.
    pub(crate) async fn wait_until_unresponsive(
        self: &Rc<Self>,
        target: &Target,
        max_silence: Duration,
        report_timeout: Duration,
    ) {
        loop {
            tokio::time::sleep(max_silence).await;
            let silent_since = self.now() - max_silence;
            if !self.router.borrow().is_silent_since(silent_since, &target.id) {
                continue;
            }
            let queried_at = self.now();
            self.query_load(target, report_timeout).await;
            if self.router.borrow().is_silent_since(queried_at, &target.id) {
                return;
            }
        }
    }
}
