//! A client's request with its route and service from the configuration, ready to be sent to servers.

use std::sync::Arc;

use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{StatusCode, Uri};
use mosshead_config::{Config, Route, RouteType, Service};
use mosshead_http_links::RetryPolicy;
use mosshead_routing::Prompt;
use mosshead_time::{Duration, Instant};
use quick_error::quick_error;

use crate::data_plane::DataPlane;
use crate::deadline::Deadline;
use crate::headers::{DEADLINE_MS, RESERVED_REQUEST_HEADERS, end_to_end};
use crate::prompt_headers::parse_prompt;
use crate::run_tracker::RunTracker;
use crate::segmented_body::SegmentedBody;
use crate::server_request::ServerRequest;

/// No attempt is made with less time than this left before the deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);
/// The least urgent priority that servers accept.
const MAX_PRIORITY: u8 = 9;
/// The `Retry-After` of a request without a configuration or a known service.
const UNKNOWN_SERVICE_RETRY_AFTER_SECONDS: f64 = 0.3;

/// The parts of a client's request that all its attempts share.
pub(crate) struct ClientRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    /// The request as it is sent to servers.
    pub(crate) server_request: ServerRequest,
    pub(crate) deadline: Deadline,
    pub(crate) priority: HeaderValue,
    /// The attempts that may have run.
    pub(crate) runs: RunTracker,
    retry_policy: RetryPolicy,
}

impl ClientRequest {
    /// True if the request may be sent again although a server may have run it (RULES.md, TWICE).
    pub(crate) fn is_repeatable(&self) -> bool {
        self.retry_policy == RetryPolicy::Always
    }

    /// True if too little time is left for another attempt.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        now + MIN_TIME_LEFT >= self.deadline.instant
    }
}

/// A client's request that is ready to be sent. The variant says how its response is forwarded.
pub(crate) enum PreparedRequest {
    /// The response is buffered.
    Buffered(ClientRequest),
    /// The prompt is prefilled and decoded, and the response is streamed.
    Prompt(ClientRequest, Prompt),
}

quick_error! {
    /// Why a client's request can't be sent to any server.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum RequestError {
        /// No configuration is in force.
        NotConfigured {
            display("no configuration is in force")
        }
        /// No route matches host and path.
        NoRoute {
            display("no route fits the host and path of the request")
        }
        /// The route has no service.
        NoService {
            display("the route of the request has no service")
        }
        /// The path is not a valid URI.
        InvalidPath {
            display("the path of the request is invalid")
        }
    }
}

impl RequestError {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured | Self::NoService => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::InvalidPath => StatusCode::BAD_REQUEST,
        }
    }

    /// The `Retry-After` of the response in seconds; `None` if a retry would fail as well.
    pub(crate) fn retry_after(self) -> Option<f64> {
        (self.status() == StatusCode::SERVICE_UNAVAILABLE).then_some(UNKNOWN_SERVICE_RETRY_AFTER_SECONDS)
    }
}

fn host(head: &Parts) -> &str {
    let header = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| head.uri.authority().map(|authority| authority.as_str())).unwrap_or_default()
}

/// How long the client waits for the response; the maximum if `X-Deadline-Ms` is missing or invalid.
fn client_timeout(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get(DEADLINE_MS)
        .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
        .filter(|millis| millis.is_finite() && *millis >= 0.0);
    Duration::from_millis(millis.map_or(u64::MAX, |millis| millis as u64))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    for name in RESERVED_REQUEST_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// The request's prompt; an empty prompt for a streaming route without one, as its response is streamed nevertheless.
fn prompt_of(headers: &HeaderMap, route: &Route, service: &Service) -> Option<Prompt> {
    let wanted_gap = Some(route.event_gap_target).filter(|gap| !gap.is_zero());
    let max_event_gap = wanted_gap.unwrap_or(route.target_latency);
    let prompt = service.engine.as_ref().and_then(|_| parse_prompt(headers, max_event_gap));
    prompt.or_else(|| (route.route_type == RouteType::Streaming).then(Prompt::default))
}

impl DataPlane {
    /// Finds the route and service of a request in the current configuration, which may have changed while the body
    /// arrived, and counts the request for the retry budget.
    ///
    /// # Errors
    ///
    /// The request can't be sent to any server.
    pub(crate) fn prepare_request(
        &self,
        head: &Parts,
        body: SegmentedBody,
        runs: &RunTracker,
    ) -> Result<PreparedRequest, RequestError> {
        let config = self.config().ok_or(RequestError::NotConfigured)?;
        let route = config.find_route(host(head), head.uri.path()).ok_or(RequestError::NoRoute)?.clone();
        let service = self.choose_service(&config, &route).ok_or(RequestError::NoService)?;
        let headers = forwarded_headers(&head.headers);
        let deadline = self.now() + client_timeout(&head.headers).min(route.timeout);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri: Uri = path.parse().map_err(|_| RequestError::InvalidPath)?;
        let prompt = prompt_of(&head.headers, &route, &service);
        let retry_policy =
            if route.is_idempotent() { RetryPolicy::Always } else { RetryPolicy::OnlyIfNeverSent };
        self.router.borrow_mut().record_request(self.now(), &service.name, route.priority);
        let request = ClientRequest {
            server_request: ServerRequest::from_client(head.method.clone(), uri, headers, body),
            deadline: self.deadline_at(deadline),
            priority: HeaderValue::from(u16::from(route.priority.min(MAX_PRIORITY))),
            runs: runs.clone(),
            retry_policy,
            route,
            service,
        };
        Ok(match prompt {
            Some(prompt) => PreparedRequest::Prompt(request, prompt),
            None => PreparedRequest::Buffered(request),
        })
    }

    /// Chooses the service of a request, by weight if the route has several.
    fn choose_service(&self, config: &Config, route: &Route) -> Option<Arc<Service>> {
        let fraction = match route.backends.len() {
            0 | 1 => 0.0,
            _ => self.router.borrow_mut().low_discrepancy_fraction(&route.name),
        };
        config.service(route.choose_service(fraction)?).cloned()
    }
}
