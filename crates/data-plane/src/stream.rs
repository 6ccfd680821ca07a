//! Streams: events are passed on as they come; where the route says so, a stream goes on at another server.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use mosshead_routing::{Prompt, ServerFailure};
use tokio::sync::mpsc;
use tokio::time::{Duration, timeout, timeout_at};

use crate::attempt::{Sent, Server, kept, sealed};
use crate::connection_pool::ServerLink;
use crate::data_plane::{DataPlane, Reading, Running, Under, add};
use crate::event_splitter::EventSplitter;
use crate::ingress::{Job, Ran};
use crate::prefill::{Handle, MUTE, REPORT, refusal};
use crate::response::{Cut, Out, of_server};

/// So many pieces wait for a client that does not read.
const WAITING: usize = 16;
/// A stream is taken up at another server so many times.
const RESUMED_MOST: u32 = 3;

/// A stream whose head has come.
pub(crate) struct Start {
    head: Parts,
    body: Incoming,
    link: ServerLink,
    server: Server,
    running: Running,
    reading: Option<Reading>,
    framed: bool,
}

/// How a run's stream ended.
enum End {
    Complete,
    Broken,
    /// The client has gone.
    Left,
    /// Its time is over.
    Over,
}

impl DataPlane {
    /// Sends the request to the server that generates.
    pub(crate) async fn run(
        self: &Rc<Self>,
        job: &Job,
        ask: &Prompt,
        server: &Server,
        handle: Option<Handle>,
        after: Option<u64>,
    ) -> Ran {
        let running = Running::new(self, &server.id);
        let reading = handle.is_none().then(|| Reading::new(self, &server.id, 2.0 * ask.unshared_tokens()));
        let mut extra = vec![("priority", job.priority.clone())];
        extra.extend(handle.as_ref().and_then(Handle::from).map(|from| ("kv-from", from)));
        extra.extend(after.map(|after| ("last-event-id", HeaderValue::from(after))));
        let until = self.at(job.deadline);
        let sent = tokio::select! {
            sent = self.send(server, &job.message, job.deadline, until, &extra) => sent,
            () = self.dark(server, MUTE, REPORT), if job.may_run_twice() => Sent::Late,
        };
        match sent {
            Sent::Answer { head, body, link } => {
                handle.iter().for_each(Handle::gone);
                if !head.status.is_success() {
                    running.failed(ServerFailure::ErrorResponse);
                    let Some(body) = self.whole(&server.id, &head, body, link, until).await else {
                        return Ran::Broken;
                    };
                    // Danger: these promise that the request never ran; without the server's proof they lie.
                    if matches!(head.status.as_u16(), 408 | 421 | 429 | 503) {
                        return Ran::Broken;
                    }
                    return Ran::Other(of_server(&head, Out::Whole(Some(body))));
                }
                if !sealed(&head) || head.headers.contains_key(CONTENT_ENCODING) {
                    running.failed(ServerFailure::BrokenResponse);
                    return Ran::Broken;
                }
                let framed =
                    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
                Ran::Stream(Start { head, body, link, server: server.clone(), running, reading, framed })
            }
            Sent::NeverRan(status) => match handle {
                // The memory can't be had, or the server is full: the same answer says both.
                Some(handle) if status.as_u16() == 503 => {
                    drop(handle);
                    Ran::Lapsed
                }
                _ => {
                    running.failed(refusal(status));
                    Ran::Refused
                }
            },
            Sent::Lost(fault) => {
                running.failed(fault);
                Ran::NotSent
            }
            Sent::Broken | Sent::Late => {
                handle.iter().for_each(Handle::gone);
                running.failed(ServerFailure::BrokenResponse);
                Ran::Broken
            }
        }
    }

    /// The answer with the stream in it. A task of its own passes the events on.
    pub(crate) fn pass_on(
        self: Rc<Self>,
        job: Job,
        ask: Prompt,
        start: Start,
        under: Under,
    ) -> Response<Out> {
        let (to, from) = mpsc::channel(WAITING);
        let answer = of_server(&start.head, Out::Flows(from));
        tokio::task::spawn_local(async move {
            self.clone().flow(job, ask, start, to).await;
            drop(under);
        });
        answer
    }

    async fn flow(self: Rc<Self>, job: Job, ask: Prompt, start: Start, to: mpsc::Sender<Result<Bytes, Cut>>) {
        let mut splitter = EventSplitter::default();
        let mut avoid = vec![start.server.id.clone()];
        let mut end = self.one_run(&job, start, &mut splitter, &to).await;
        let mut resumed = 0;
        while matches!(end, End::Broken) && job.route.resume && resumed < RESUMED_MOST && !self.over(&job) {
            splitter.discard_partial_event();
            resumed += 1;
            let now = self.now();
            if !self.router.borrow_mut().try_withdraw_retry(now, &job.service.name) {
                break;
            }
            let pair = self.router.borrow_mut().select_pair(now, &job.service.name, &ask, &avoid);
            let Some(pair) = pair else { break };
            pair.prefill.iter().for_each(|id| self.router.borrow_mut().record_inconclusive(id));
            let Some(server) = self.server(&job, &pair.decode) else { break };
            avoid.push(server.id.clone());
            if let Ran::Stream(start) =
                self.run(&job, &ask, &server, None, splitter.last_forwarded_id()).await
            {
                add(&self.counters.resumed);
                end = self.one_run(&job, start, &mut splitter, &to).await;
            }
        }
        match end {
            End::Complete => add(&self.counters.completed),
            End::Left => {}
            End::Broken | End::Over => {
                add(&self.counters.failed);
                // Danger: the answer must not look complete.
                let _ = timeout(Duration::from_secs(1), to.send(Err(Cut))).await;
            }
        }
    }

    /// Passes on the events of one run.
    async fn one_run(
        self: &Rc<Self>,
        job: &Job,
        start: Start,
        splitter: &mut EventSplitter,
        to: &mpsc::Sender<Result<Bytes, Cut>>,
    ) -> End {
        let Start { head, mut body, link, server, running, mut reading, framed } = start;
        let until = self.at(job.deadline);
        loop {
            let frame = tokio::select! {
                biased;
                () = to.closed() => return End::Left,
                frame = timeout_at(until, body.frame()) => frame,
                () = self.dark(&server, MUTE, REPORT), if job.route.resume => {
                    running.failed(ServerFailure::Unreachable);
                    return End::Broken;
                }
            };
            self.heard(&server.id);
            let data = match frame {
                Err(_) => return End::Over,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(None) if framed => {
                    let rest = splitter.take_remainder();
                    if !rest.is_empty() && to.send(Ok(rest)).await.is_err() {
                        return End::Left;
                    }
                    running.served();
                    self.links.put(&server.id, link, kept(&head), until).await;
                    return End::Complete;
                }
                // Danger: without a length or chunks, what broke off looks whole.
                Ok(None) | Ok(Some(Err(_))) => {
                    running.failed(ServerFailure::BrokenResponse);
                    return End::Broken;
                }
            };
            reading.take();
            let Some(events) = splitter.push(&data) else {
                running.failed(ServerFailure::BrokenResponse);
                return End::Broken;
            };
            for (id, event) in events {
                let last = splitter.last_forwarded_id();
                if id.is_some() && last.is_some() && id <= last {
                    continue;
                }
                if to.send(Ok(event)).await.is_err() {
                    return End::Left;
                }
                splitter.mark_forwarded(id);
            }
        }
    }
}
