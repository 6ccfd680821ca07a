//! Prefills a prompt at a prefill server for a decode server, and frees the handle of the resulting KV cache if no
//! server fetches it.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use mosshead_routing::{Prompt, ServerFailure};
use mosshead_time::Duration;
use quick_error::quick_error;
use tinyjson::JsonValue;
use tokio::time::Instant;

use crate::attempt::{AttemptOutcome, failure_of_rejection};
use crate::client_request::ClientRequest;
use crate::data_plane::DataPlane;
use crate::headers::{PRIORITY, SERVING_STAGE};
use crate::load_guards::PrefillGuard;
use crate::load_report::{LOAD_REPORT_TIMEOUT, SILENT_SERVER_TIMEOUT};
use crate::server_request::{ServerRequest, Target};
use crate::server_response::ServerResponse;

/// The timeout of the call that frees a handle.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// A longer response to a prefill is not parsed.
const MAX_HANDLE_RESPONSE_BYTES: usize = 4096;
const MAX_HANDLE_LENGTH: usize = 128;

/// The KV cache of a prompt, which the prefill server keeps until a decode server fetches it once. If the handle is
/// dropped before that, the KV cache is freed: one that is never fetched is charged for (PROTOCOL.md, Prefill and
/// decode).
pub(crate) struct KvHandle {
    data_plane: Rc<DataPlane>,
    prefill_server: Target,
    handle: String,
    is_consumed: Cell<bool>,
}

impl KvHandle {
    /// The location of the KV cache, as the value of `Kv-From`.
    pub(crate) fn location(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("{}/{}", self.prefill_server.address, self.handle)).ok()
    }

    pub(crate) fn prefill_server_id(&self) -> &Rc<str> {
        &self.prefill_server.id
    }

    /// Records that the KV cache was or may have been fetched, so that it is not freed.
    pub(crate) fn mark_consumed(&self) {
        self.is_consumed.set(true);
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        if self.is_consumed.get() {
            return;
        }
        let Ok(uri) = format!("/kv-handle/{}", self.handle).parse::<Uri>() else { return };
        self.data_plane.counters.freed_handles.increment();
        let (data_plane, target) = (self.data_plane.clone(), self.prefill_server.clone());
        tokio::task::spawn_local(async move {
            let request = ServerRequest::from_proxy(Method::DELETE, uri);
            let deadline = data_plane.deadline_in(FREE_TIMEOUT);
            let outcome = data_plane.send_attempt(&target, &request, deadline, &[]).await;
            if let AttemptOutcome::Responded(response) = outcome {
                data_plane.discard_response(&target.id, response);
            }
        });
    }
}

quick_error! {
    /// Why a prompt was not prefilled.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PrefillError {
        /// The server rejected it.
        Rejected {
            display("the prefill server rejected the prompt")
        }
        /// The request never reached the server.
        NotDelivered {
            display("the prompt did not reach the prefill server")
        }
        /// No response with a handle arrived.
        NoHandle {
            display("the prefill server returned no handle")
        }
    }
}

fn parse_handle(body: &[u8]) -> Option<String> {
    if body.len() > MAX_HANDLE_RESPONSE_BYTES {
        return None;
    }
    let value = mosshead_config::parse_json(body)?;
    let fields: &HashMap<String, JsonValue> = value.get()?;
    let handle: &String = fields.get("prefill_handle")?.get()?;
    // The handle becomes part of a path and of a header, so it must not contain characters with a meaning there.
    let is_plain = handle.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    (is_plain && !handle.is_empty() && handle.len() <= MAX_HANDLE_LENGTH).then(|| handle.clone())
}

impl DataPlane {
    /// Sends the prompt to a prefill server. A prefill does not run the request, so it may be sent again.
    ///
    /// # Errors
    ///
    /// The server returned no handle. Its failure has been recorded.
    pub(crate) async fn prefill_prompt(
        self: &Rc<Self>,
        target: &Target,
        request: &ClientRequest,
        prompt: &Prompt,
    ) -> Result<KvHandle, PrefillError> {
        let _guard = PrefillGuard::new(self, &target.id, prompt.unshared_tokens());
        let started_at = Instant::now();
        let extra_headers =
            [(SERVING_STAGE, HeaderValue::from_static("prefill")), (PRIORITY, request.priority.clone())];
        let outcome = tokio::select! {
            outcome = self.send_attempt(target, &request.server_request, request.deadline, &extra_headers) => outcome,
            () = self.wait_until_unresponsive(target, SILENT_SERVER_TIMEOUT, LOAD_REPORT_TIMEOUT) => {
                return Err(PrefillError::NoHandle);
            }
        };
        let (failure, error) = match outcome {
            AttemptOutcome::Responded(response) if response.head.status.is_success() => {
                let handle = self.take_handle(target, request, response).await?;
                let latency = started_at.elapsed();
                self.router.borrow_mut().record_prefill_latency(&request.service.name, prompt, latency);
                return Ok(handle);
            }
            AttemptOutcome::Responded(response) => {
                self.discard_response(&target.id, response);
                (ServerFailure::ErrorResponse, PrefillError::NoHandle)
            }
            AttemptOutcome::Rejected(status) => (failure_of_rejection(status), PrefillError::Rejected),
            AttemptOutcome::NotDelivered(failure) => (failure, PrefillError::NotDelivered),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                (ServerFailure::BrokenResponse, PrefillError::NoHandle)
            }
        };
        self.record_failure(&target.id, failure);
        Err(error)
    }

    async fn take_handle(
        self: &Rc<Self>,
        target: &Target,
        request: &ClientRequest,
        response: ServerResponse,
    ) -> Result<KvHandle, PrefillError> {
        let ServerResponse { head, body, connection } = response;
        let body = self.buffer_body(&target.id, &head, body, connection, request.deadline.timer).await;
        let Some(handle) = body.ok().and_then(|body| parse_handle(&body.into_bytes())) else {
            self.record_failure(&target.id, ServerFailure::BrokenResponse);
            return Err(PrefillError::NoHandle);
        };
        self.router.borrow_mut().record_success(&target.id);
        self.counters.handed_over.increment();
        let is_consumed = Cell::new(false);
        Ok(KvHandle { data_plane: self.clone(), prefill_server: target.clone(), handle, is_consumed })
    }
}
