//! Parses and validates the head of a client's request.

use std::time::Instant;

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use mosshead_decide::interface::{ClassId, RepeatEffect, Seconds, TenantId};
use mosshead_http_links::IDEMPOTENCY_KEY_HEADER;

use super::ClientFrontend;
use crate::MAX_WAIT;
use crate::class_table::{AcceptedNames, ClassBinding};

/// The length of a request id, in hexadecimal digits.
const ID_DIGITS: usize = 16;
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Why a message is rejected before it becomes a request.
#[derive(Debug, PartialEq)]
pub(super) struct RequestRejection {
    pub(super) status: StatusCode,
    /// The reason, for the client and the log.
    pub(super) reason: &'static str,
}

impl RequestRejection {
    pub(super) const fn bad_request(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_REQUEST, reason }
    }
}

pub(super) const INVALID_ID: RequestRejection =
    RequestRejection::bad_request("X-Correlation-Id is not 16 hex digits");
pub(super) const ID_IN_USE: RequestRejection =
    RequestRejection { status: StatusCode::CONFLICT, reason: "X-Correlation-Id is in use" };

/// The request data that the head of a message states.
pub(super) struct RequestHead {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    /// How long the client waits.
    pub(super) time_left: Seconds,
    /// [`ID_DIGITS`] hexadecimal digits.
    pub(super) id: String,
    pub(super) idempotency_key: Option<Bytes>,
}

impl ClientFrontend {
    pub(super) fn read_head(&self, head: &Parts) -> Result<RequestHead, RequestRejection> {
        let names = self.names.borrow().clone();
        let id = read_id(head)?;
        let name = read_class_name(head)?;
        let now = Instant::now();
        if names.class(name, now).next().is_none() {
            return Err(RequestRejection::bad_request("the class is not known"));
        }
        let idempotency_key = read_idempotency_key(head)?;
        let class = find_class(&names, name, now, head, idempotency_key.is_some())?;
        let tenant = match text_header(head, "x-account")? {
            None | Some("") => None,
            Some(name) => {
                let unknown = RequestRejection::bad_request("the account is not known");
                Some(names.tenant(name).ok_or(unknown)?)
            }
        };
        let time_left = read_time_left(head)?;
        Ok(RequestHead { class, tenant, time_left, id, idempotency_key })
    }
}

/// Reads a header that may be given only once. If it had two values, a server might read the other one.
fn single_header<'a>(
    head: &'a Parts,
    name: &str,
    if_repeated: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestRejection> {
    let mut values = head.headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(RequestRejection::bad_request(if_repeated)) } else { Ok(value) }
}

fn text_header<'a>(head: &'a Parts, name: &str) -> Result<Option<&'a str>, RequestRejection> {
    let value = single_header(head, name, "a header is given twice")?;
    let not_text = |_| RequestRejection::bad_request("a header is not text");
    value.map(|value| value.to_str().map_err(not_text)).transpose()
}

fn read_id(head: &Parts) -> Result<String, RequestRejection> {
    let id = text_header(head, "x-correlation-id")?.filter(|id| !id.is_empty());
    let id = id.ok_or(RequestRejection::bad_request("X-Correlation-Id is missing"))?;
    if id.len() != ID_DIGITS || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return Err(INVALID_ID);
    }
    Ok(id.to_owned())
}

/// The class name is the first segment of the path; a header may repeat it.
fn read_class_name(head: &Parts) -> Result<&str, RequestRejection> {
    let segment = head.uri.path().split('/').nth(1).unwrap_or_default();
    let class = text_header(head, "x-service-class")?.unwrap_or(segment);
    if class != segment {
        return Err(RequestRejection::bad_request("path and class differ"));
    }
    Ok(class)
}

/// The idempotency key, if there is one. It need not be text and is forwarded byte for byte.
fn read_idempotency_key(head: &Parts) -> Result<Option<Bytes>, RequestRejection> {
    match single_header(head, IDEMPOTENCY_KEY_HEADER, "Idempotency-Key is given twice")? {
        Some(key) if key.is_empty() => Err(RequestRejection::bad_request("Idempotency-Key is empty")),
        Some(key) if key.len() > MAX_KEY_BYTES => {
            Err(RequestRejection::bad_request("Idempotency-Key is too long"))
        }
        key => Ok(key.map(|key| Bytes::copy_from_slice(key.as_bytes()))),
    }
}

/// Finds the class of that name that fits this method, body and key. A key on a class without keys is forwarded like
/// any other header, since requests are forwarded unchanged.
fn find_class(
    names: &AcceptedNames,
    name: &str,
    now: Instant,
    head: &Parts,
    has_key: bool,
) -> Result<ClassId, RequestRejection> {
    let has_body = head.headers.get(CONTENT_LENGTH).is_some_and(|length| length.as_bytes() != b"0")
        || head.headers.contains_key(TRANSFER_ENCODING);
    let is_post = head.method == Method::POST;
    let matches = |binding: &&ClassBinding| match binding.effect {
        RepeatEffect::Safe => head.method == Method::GET && !has_body,
        RepeatEffect::Keyed { .. } => is_post && has_key,
        RepeatEffect::Unsafe => is_post,
    };
    if let Some(binding) = names.class(name, now).find(matches) {
        return Ok(binding.class);
    }
    let is_keyed = |binding: &ClassBinding| matches!(binding.effect, RepeatEffect::Keyed { .. });
    Err(if is_post && !has_key && names.class(name, now).any(is_keyed) {
        RequestRejection::bad_request("Idempotency-Key is missing")
    } else {
        RequestRejection {
            status: StatusCode::METHOD_NOT_ALLOWED,
            reason: "the class goes by another method",
        }
    })
}

fn read_time_left(head: &Parts) -> Result<Seconds, RequestRejection> {
    let text = text_header(head, "x-time-left")?;
    let text = text.ok_or(RequestRejection::bad_request("X-Time-Left is missing"))?;
    let seconds = text.trim().parse().ok();
    seconds
        .filter(|seconds: &f64| (f64::MIN_POSITIVE..=MAX_WAIT).contains(seconds))
        .ok_or(RequestRejection::bad_request("X-Time-Left is not a time"))
}
