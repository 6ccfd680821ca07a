//! The head of a client's request: what it names, and why it is rejected.

use std::time::Instant;

use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use mosshead_decide::interface::{ClassId, RepeatEffect, TenantId};
use mosshead_http_links::IDEMPOTENCY_KEY_HEADER;

use super::ClientFrontend;
use crate::MAX_WAIT;
use crate::class_table::ClassBinding;

/// A message that is rejected before it becomes a request.
#[derive(Debug, PartialEq)]
pub(super) struct RequestRejection(pub(super) StatusCode, pub(super) &'static str);

/// What a message's head says of its request.
pub(super) struct RequestHead {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) time_left: f64,
    pub(super) id: String,
    pub(super) idempotency_key: Option<Bytes>,
}

pub(super) const BAD_ID: RequestRejection =
    RequestRejection(StatusCode::BAD_REQUEST, "X-Correlation-Id is not 16 hex digits");
pub(super) const ID_TAKEN: RequestRejection =
    RequestRejection(StatusCode::CONFLICT, "X-Correlation-Id is in use");

/// What an id consists of.
pub(super) const ID_DIGITS: usize = 16;

/// The most bytes that an idempotency key may have.
pub(super) const MAX_KEY_BYTES: usize = 255;

/// A header that is given once at most. Of two values the server may read the other one.
pub(super) fn single_header<'a>(
    head: &'a Parts,
    name: &str,
    twice: &'static str,
) -> Result<Option<&'a HeaderValue>, RequestRejection> {
    let mut values = head.headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(RequestRejection(StatusCode::BAD_REQUEST, twice)) } else { Ok(value) }
}

/// The idempotency key, if there is one. It need not be text: it passes on byte for byte.
pub(super) fn read_idempotency_key(head: &Parts) -> Result<Option<Bytes>, RequestRejection> {
    let bad = |why| RequestRejection(StatusCode::BAD_REQUEST, why);
    match single_header(head, IDEMPOTENCY_KEY_HEADER, "Idempotency-Key is given twice")? {
        Some(idempotency_key) if idempotency_key.is_empty() => Err(bad("Idempotency-Key is empty")),
        Some(idempotency_key) if idempotency_key.len() > MAX_KEY_BYTES => {
            Err(bad("Idempotency-Key is too long"))
        }
        idempotency_key => {
            Ok(idempotency_key.map(|idempotency_key| Bytes::copy_from_slice(idempotency_key.as_bytes())))
        }
    }
}

impl ClientFrontend {
    pub(super) fn read_head(&self, head: &Parts) -> Result<RequestHead, RequestRejection> {
        let bad = |why| RequestRejection(StatusCode::BAD_REQUEST, why);
        let header = |name| {
            let value = single_header(head, name, "a header is given twice")?;
            value.map(|value| value.to_str().map_err(|_| bad("a header is not text"))).transpose()
        };
        let id = header("x-correlation-id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(bad("X-Correlation-Id is missing"))?.to_owned();
        if id.len() != ID_DIGITS || !id.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return Err(BAD_ID);
        }
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = header("x-service-class")?.unwrap_or(first);
        if class != first {
            return Err(bad("path and class differ"));
        }
        let (names, now) = (self.names.borrow().clone(), Instant::now());
        if names.class(class, now).next().is_none() {
            return Err(bad("the class is not known"));
        }
        let body = head.headers.get(CONTENT_LENGTH).is_some_and(|length| length.as_bytes() != b"0")
            || head.headers.contains_key(TRANSFER_ENCODING);
        let idempotency_key = read_idempotency_key(head)?;
        // A key on a class that knows none passes on like any other: what is unchanged is as the client sent it.
        let fits = |binding: &&ClassBinding| match binding.effect {
            RepeatEffect::Safe => head.method == Method::GET && !body,
            RepeatEffect::Keyed { .. } => head.method == Method::POST && idempotency_key.is_some(),
            RepeatEffect::Unsafe => head.method == Method::POST,
        };
        let keyed = |binding: &ClassBinding| matches!(binding.effect, RepeatEffect::Keyed { .. });
        let keyless = head.method == Method::POST && idempotency_key.is_none();
        let other = || match keyless && names.class(class, now).any(keyed) {
            true => bad("Idempotency-Key is missing"),
            false => RequestRejection(StatusCode::METHOD_NOT_ALLOWED, "the class goes by another method"),
        };
        let class = names.class(class, now).find(fits).ok_or_else(other)?.class;
        let tenant = match header("x-account")? {
            None | Some("") => None,
            Some(name) => Some(names.tenant(name).ok_or(bad("the account is not known"))?),
        };
        let left = header("x-time-left")?.ok_or(bad("X-Time-Left is missing"))?;
        let left =
            left.trim().parse().ok().filter(|left: &f64| (f64::MIN_POSITIVE..=MAX_WAIT).contains(left));
        let time_left = left.ok_or(bad("X-Time-Left is not a time"))?;
        Ok(RequestHead { class, tenant, time_left, id, idempotency_key })
    }
}
