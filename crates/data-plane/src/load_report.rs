//! Queries servers for load reports, and detects unresponsive servers: those that do not even answer such a query.

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
use crate::server_response::ServerResponse;

/// The timeout of a load query. A working server answers within this time even if it is full, since a report takes no
/// slot.
pub(crate) const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// A server from which nothing has arrived for this long gets a load query, to find out if it responds at all.
pub(crate) const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum delay of a client's request for load reports; a fresh report does not justify a longer one.
const LOAD_REPORT_WAIT: Duration = Duration::from_millis(12);

impl DataPlane {
    /// Queries the load of the prefill servers that the prompt may be sent to and that have no fresh report.
    pub(crate) async fn refresh_prefill_loads(self: &Rc<Self>, service: &Service, prompt: &Prompt) {
        let now = self.now();
        let ids = self.router.borrow_mut().prefill_servers_to_query(now, &service.name, prompt);
        let targets: Vec<Target> = ids.iter().filter_map(|id| self.target(service, id)).collect();
        let mut queries = Vec::new();
        for target in targets {
            // A separate task: the query continues after the wait ends, and later requests use its report.
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
        let request = ServerRequest::from_proxy(Method::GET, Uri::from_static("/report"));
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

    /// Records a load report and returns its connection to the pool. If the body is not a report, the connection is
    /// closed: the body may belong to another call, and the report may still arrive in place of the next response.
    async fn record_load_report(&self, target: &Target, response: ServerResponse, until: Instant) {
        let ServerResponse { head, body, connection } = response;
        let body = self.read_response_body(&head, body, until).await;
        let Some(report) = body.ok().and_then(|body| ServerReport::parse(&body.into_bytes())) else { return };
        let now = self.now();
        self.router.borrow_mut().record_load(now, &target.id, report.load());
        self.connections.put(&target.id, connection, keep_alive_timeout(&head.headers), until).await;
    }

    /// Completes when the server is found unresponsive: nothing has arrived from it for `max_silence`, and it then
    /// fails to answer a load query within `report_timeout`. Silence alone is not enough: a request that waits in a
    /// long queue gets no response either, and must not be sent to another server for that.
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
