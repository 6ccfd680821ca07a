//! A client's request, from its last byte to its final answer.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use mosshead_config::{Config, Route, RouteType, Service};
use mosshead_http_links::RetryPolicy;
use mosshead_registry::OperState;
use mosshead_routing::{Prompt, ServerFailure};
use tokio::time::{Duration, timeout};

use crate::attempt::{Message, Sent, Server, sealed};
use crate::data_plane::{DataPlane, Running, Under, add};
use crate::prefill::{Handle, MUTE, Unread, ask, refusal};
use crate::response::{Cut, Out, of_server, own, passed_on};

/// Bytes of bodies that may be held at once.
const HELD_MOST: usize = 96 * 1024 * 1024;
/// A server that never got the request is replaced by another so many times.
const UNSENT_MOST: u32 = 4;

/// What stands fixed for one request.
pub(crate) struct Job {
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) message: Message,
    pub(crate) ask: Option<Prompt>,
    pub(crate) deadline: mosshead_time::Instant,
    pub(crate) priority: HeaderValue,
    /// When it may be sent to another server.
    pub(crate) retry: RetryPolicy,
}

impl Job {
    /// Whether it may be sent again though it may have run.
    pub(crate) fn may_run_twice(&self) -> bool {
        self.retry == RetryPolicy::Always
    }
}

/// Bytes that are held, until let go of.
struct HeldBytes(Rc<DataPlane>, usize);

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get().saturating_sub(self.1));
    }
}

impl DataPlane {
    /// The final answer to a client's request. `Err`: the connection ends without one.
    pub(crate) async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Out>, Cut> {
        let mut answer = self.clone().decide(request).await?;
        if self.is_draining() {
            answer.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn decide(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Out>, Cut> {
        let under = Under::way(&self);
        let (head, body) = request.into_parts();
        let Some(config) = self.config() else {
            return Ok(own(StatusCode::SERVICE_UNAVAILABLE, Some(0.3)));
        };
        let expected = body.size_hint().lower() as usize;
        if expected > config.limits.max_body_bytes {
            return Ok(own(StatusCode::PAYLOAD_TOO_LARGE, None));
        }
        if self.held.get() + expected > HELD_MOST {
            return Ok(own(StatusCode::SERVICE_UNAVAILABLE, Some(0.5)));
        }
        let came = Limited::new(body, config.limits.max_body_bytes).collect();
        let patience = config.limits.idle_timeout.max(config.limits.header_timeout);
        let body = match timeout(patience, came).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Ok(own(StatusCode::PAYLOAD_TOO_LARGE, None));
            }
            Ok(Err(_)) => return Err(Cut),
            Err(_) => return Ok(own(StatusCode::REQUEST_TIMEOUT, None)),
        };
        add(&self.counters.requests);
        self.held.set(self.held.get() + body.len());
        let held = HeldBytes(self.clone(), body.len());
        let answer = match self.job(&head, body) {
            Err(status) => own(status, (status == StatusCode::SERVICE_UNAVAILABLE).then_some(0.3)),
            Ok(job) => match &job.ask {
                Some(_) => self.prompted(job, under).await?,
                None => self.plain(job).await?,
            },
        };
        drop(held);
        Ok(answer)
    }

    fn job(self: &Rc<Self>, head: &Parts, body: Bytes) -> Result<Job, StatusCode> {
        // Danger: the configuration may have changed while the body came; the newest one holds.
        let config: Arc<Config> = self.config().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host =
            host.or_else(|| head.uri.authority().map(|authority| authority.as_str())).unwrap_or_default();
        let route = config.find_route(host, head.uri.path()).ok_or(StatusCode::NOT_FOUND)?.clone();
        let service = self.pick(&config, &route).ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let mut headers = passed_on(&head.headers);
        // Danger: what a client says of stages, handles or instances is not the system's word.
        for name in
            ["x-serving-stage", "kv-from", "x-target-instance", "priority", "expect-version", "expect"]
        {
            headers.remove(name);
        }
        let wait = head
            .headers
            .get("x-deadline-ms")
            .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
        let wait = wait.filter(|wait| wait.is_finite() && *wait >= 0.0).map_or(u64::MAX, |wait| wait as u64);
        let deadline = self.now() + Duration::from_millis(wait).min(route.timeout);
        let uri = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = uri.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
        // A stream is passed on as it comes, also where its request names no prompt.
        let ask = match (&service.engine, route.route_type) {
            (Some(_), _) => ask(&head.headers),
            (None, _) => None,
        };
        let ask = ask.or_else(|| (route.route_type == RouteType::Streaming).then(Prompt::default));
        let message = Message::of_client(head.method.clone(), uri, headers, body);
        let retry = if route.is_idempotent() { RetryPolicy::Always } else { RetryPolicy::OnlyIfNeverSent };
        let priority = HeaderValue::from(u16::from(route.priority.min(9)));
        self.router.borrow_mut().record_request(self.now(), &service.name);
        Ok(Job { route, service, message, ask, deadline, priority, retry })
    }

    /// The service of a request: by weight, where a route has several.
    fn pick(&self, config: &Config, route: &Route) -> Option<Arc<Service>> {
        let unit = self.router.borrow_mut().random_fraction();
        config.service(route.choose_service(unit)?).cloned()
    }

    pub(crate) fn server(&self, job: &Job, id: &Rc<str>) -> Option<Server> {
        let router = self.router.borrow();
        let address = router.endpoints().get(id)?.server.address;
        let share = 2.0 * f64::from(job.service.max_connections) / self.proxies.get().max(2) as f64;
        Some(Server { id: id.clone(), address, most: (share as usize).max(6) })
    }

    /// What a request is told that has not run: at once, with the time to come back.
    pub(crate) fn refuse(&self, job: &Job) -> Response<Out> {
        add(&self.counters.rejected);
        let wait = 0.05
            + self.router.borrow_mut().random_fraction() * job.route.target_latency.as_millis() as f64
                / 4000.0;
        own(StatusCode::SERVICE_UNAVAILABLE, Some(wait))
    }

    /// What a request is told that may have run.
    pub(crate) fn fail(&self) -> Response<Out> {
        add(&self.counters.failed);
        own(StatusCode::BAD_GATEWAY, None)
    }

    /// Whether a server still takes what is new.
    fn takes(&self, id: &str) -> bool {
        self.router.borrow().endpoints().get(id).is_some_and(|one| one.server.state == OperState::Up)
    }

    pub(crate) fn over(&self, job: &Job) -> bool {
        self.now() + Duration::from_millis(2) >= job.deadline
    }

    /// A request whose answer is held whole before it is passed on.
    async fn plain(self: &Rc<Self>, job: Job) -> Result<Response<Out>, Cut> {
        let (mut avoid, mut arrived, mut unsent, mut ran) = (Vec::new(), 0_u32, 0, false);
        let mut last: Option<Response<Out>> = None;
        loop {
            let give_up = |last: Option<Response<Out>>| match last {
                Some(answer) => answer,
                None if ran => self.fail(),
                None => self.refuse(&job),
            };
            if self.over(&job) || unsent > UNSENT_MOST || arrived >= job.route.retry_count {
                return Ok(give_up(last));
            }
            let now = self.now();
            let id = self.router.borrow_mut().select_server(now, &job.service.name, &avoid);
            let Some((id, server)) = id.and_then(|id| self.server(&job, &id).map(|server| (id, server)))
            else {
                return Ok(give_up(last));
            };
            if arrived > 0 && !self.router.borrow_mut().try_withdraw_retry(now, &job.service.name) {
                self.router.borrow_mut().record_inconclusive(&id);
                return Ok(give_up(last));
            }
            let running = Running::new(self, &id);
            let until = self.at(job.deadline);
            let priority = [("priority", job.priority.clone())];
            avoid.push(id.clone());
            let patience = Duration::from_millis(job.route.target_latency.as_millis() as u64 / 2)
                .clamp(Duration::from_millis(40), MUTE);
            let sent = tokio::select! {
                sent = self.send(&server, &job.message, job.deadline, until, &priority) => sent,
                () = self.dark(&server, patience, patience), if job.may_run_twice() => Sent::Late,
            };
            match sent {
                Sent::Answer { head, body, link } => {
                    arrived += 1;
                    ran = true;
                    let success = head.status.is_success();
                    if success && !sealed(&head) {
                        running.failed(ServerFailure::BrokenResponse);
                    } else if let Some(body) = self.whole(&id, &head, body, link, until).await {
                        let answer = of_server(&head, Out::Whole(Some(body)));
                        if success {
                            running.served();
                            add(&self.counters.completed);
                            return Ok(answer);
                        }
                        running.failed(ServerFailure::ErrorResponse);
                        // Danger: these promise that the request never ran; without the server's proof they lie.
                        let promise = matches!(head.status.as_u16(), 408 | 421 | 429 | 503);
                        last = (!promise || job.may_run_twice()).then_some(answer);
                    } else {
                        running.failed(ServerFailure::BrokenResponse);
                    }
                    if !job.may_run_twice() {
                        return Ok(last.unwrap_or_else(|| self.fail()));
                    }
                }
                Sent::Lost(fault) => {
                    running.failed(fault);
                    unsent += 1;
                }
                Sent::NeverRan(status) => {
                    running.failed(refusal(status));
                    arrived += 1;
                }
                Sent::Broken | Sent::Late => {
                    running.failed(ServerFailure::BrokenResponse);
                    arrived += 1;
                    ran = true;
                    if !job.may_run_twice() {
                        return Ok(self.fail());
                    }
                }
            }
        }
    }

    /// A request with a prompt: the pair, the hand-over, the run.
    async fn prompted(self: &Rc<Self>, job: Job, under: Under) -> Result<Response<Out>, Cut> {
        let Some(ask) = job.ask.clone() else { return Ok(self.refuse(&job)) };
        let (mut avoid, mut arrived, mut unsent, mut ran) = (Vec::new(), 0_u32, 0, false);
        let mut reads = 0_u32;
        let mut under = Some(under);
        loop {
            if self.over(&job) || unsent > UNSENT_MOST || arrived >= job.route.retry_count {
                return Ok(if ran { self.fail() } else { self.refuse(&job) });
            }
            self.ask_readers(&job, &ask).await;
            let now = self.now();
            let pair = self.router.borrow_mut().select_pair(now, &job.service.name, &ask, &avoid);
            let Some(pair) = pair else {
                return Ok(if ran { self.fail() } else { self.refuse(&job) });
            };
            if arrived > 0 && !self.router.borrow_mut().try_withdraw_retry(now, &job.service.name) {
                self.router.borrow_mut().record_inconclusive(&pair.decode);
                return Ok(if ran { self.fail() } else { self.refuse(&job) });
            }
            let mut handle: Option<Handle> = None;
            if let Some(reader) = pair.prefill.as_ref().and_then(|id| self.server(&job, id)) {
                let granted =
                    reads == 0 || self.router.borrow_mut().try_withdraw_retry(now, &job.service.name);
                if granted {
                    match self.read_prompt(&reader, &job.message, &ask, job.deadline, &job.priority).await {
                        Ok(read) => {
                            reads += 1;
                            handle = Some(read);
                        }
                        Err(unread) => {
                            self.router.borrow_mut().record_inconclusive(&pair.decode);
                            unsent += 1;
                            reads += u32::from(!matches!(unread, Unread::NotSent));
                            // What a server rejects has arrived there: it is a repeat by the rules.
                            let rejected = matches!(unread, Unread::Refused);
                            if rejected
                                && !self.router.borrow_mut().try_withdraw_retry(now, &job.service.name)
                            {
                                return Ok(self.refuse(&job));
                            }
                            avoid.push(reader.id.clone());
                            continue;
                        }
                    }
                } else {
                    self.router.borrow_mut().record_inconclusive(&reader.id);
                }
            }
            let now = self.now();
            let runner =
                self.router.borrow_mut().confirm_decode_server(now, &job.service.name, &pair, &avoid);
            let Some(server) = runner.as_ref().and_then(|runner| self.server(&job, runner)) else {
                unsent += 1;
                avoid.push(pair.decode.clone());
                continue;
            };
            let mut again = false;
            let reader = handle.as_ref().map(|handle| handle.reader().clone());
            loop {
                match self.run(&job, &ask, &server, handle.take(), None).await {
                    Ran::Stream(start) => {
                        if let (true, Some(reader)) = (again, &reader) {
                            // The server had room: what it could not have was the memory.
                            let now = self.now();
                            self.router.borrow_mut().distrust_handles(now, reader);
                        }
                        if let Some(under) = under.take() {
                            return Ok(self.clone().pass_on(job, ask, start, under));
                        }
                        return Err(Cut);
                    }
                    Ran::Other(answer) => {
                        ran = true;
                        arrived += 1;
                        if !job.may_run_twice() || arrived >= job.route.retry_count {
                            return Ok(answer);
                        }
                        avoid.push(server.id.clone());
                    }
                    Ran::Lapsed if !again && !self.over(&job) && self.takes(&server.id) => {
                        // The memory could not be had: the same server reads the prompt itself.
                        again = true;
                        let now = self.now();
                        if self.router.borrow_mut().try_withdraw_retry(now, &job.service.name) {
                            continue;
                        }
                        return Ok(self.refuse(&job));
                    }
                    Ran::Lapsed | Ran::Refused => {
                        arrived += 1;
                        avoid.push(server.id.clone());
                    }
                    Ran::NotSent => {
                        unsent += 1;
                        avoid.push(server.id.clone());
                    }
                    Ran::Broken => {
                        ran = true;
                        arrived += 1;
                        if !job.may_run_twice() {
                            return Ok(self.fail());
                        }
                        avoid.push(server.id.clone());
                    }
                }
                break;
            }
        }
    }
}

/// What came of a run.
pub(crate) enum Ran {
    /// Its stream begins.
    Stream(crate::stream::Start),
    /// An answer that is no stream of events; it ran.
    Other(Response<Out>),
    /// The memory could not be had, or the server is full: it never ran.
    Lapsed,
    /// It never ran.
    Refused,
    /// It never arrived.
    NotSent,
    /// It may have run.
    Broken,
}
