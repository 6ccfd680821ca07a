//! A route: the requests that it matches, the services that run them, and their timeouts and retries.

use core::time::Duration;
use std::borrow::Cow;

use tinyjson::JsonValue;

use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::object::Object;
use crate::json::value::MAX_WHOLE_NUMBER;

const DEFAULT_PRIORITY: u64 = 5;
const DEFAULT_WEIGHT: f64 = 1.0;

/// How often a request may run (PROTOCOL.md, "Requests", `route_type`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once. Also used if the type is absent or unknown.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless its route has `resume`.
    Streaming,
}

/// One of `route_entries`.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name; not empty and unique among the routes.
    pub name: String,
    /// The host of matching requests, in lower case and without a port; not empty.
    pub host: String,
    /// The prefix of the paths of matching requests; begins with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub route_type: RouteType,
    /// The maximum duration of a request, unless its client asks for less; above 0, in whole milliseconds.
    pub timeout: Duration,
    /// The latency target of a response, for a stream until its first event; the timeout if it is not given or zero.
    pub target_latency: Duration,
    /// The priority of requests, where 0 is the highest; 5 if it is not given.
    pub priority: u8,
    /// The services of the route in the operator's order; the weights add up to more than 0.
    pub backends: Vec<WeightedBackend>,
    /// The maximum number of servers that a request may be delivered to, at least 1; 1 if it is not given.
    pub retry_count: u32,
    /// True if requests name the parts of their prompt (`X-Prompt-Prefix`).
    pub persistence: bool,
    /// True if a stream may be resumed at another server.
    pub resume: bool,
    /// The target for the longest gap between events of a stream (`gap_aim_ms`); zero if it is not given.
    pub event_gap_target: Duration,
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedBackend {
    /// The service's name.
    pub service: String,
    /// The share of requests relative to the sum of the route's weights. A service with weight 0 gets no requests.
    pub weight: f64,
}

impl Route {
    /// True if a request may run more than once: on an idempotent route, and on a route whose streams may be resumed.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resume,
        }
    }

    /// Chooses a service by weight; `random` is a uniform random number from 0 to 1. `None` only if no weight is above
    /// 0, which can't occur in a valid configuration.
    pub fn choose_service(&self, random: f64) -> Option<&str> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut remaining = random.clamp(0.0, 1.0) * total;
        let mut chosen = None;
        for backend in self.backends.iter().filter(|backend| backend.weight > 0.0) {
            chosen = Some(backend.service.as_str());
            if remaining < backend.weight {
                break;
            }
            remaining -= backend.weight;
        }
        chosen
    }

    pub(crate) fn from_object(object: &Object<'_>) -> Result<Route, ConfigError> {
        let name = object.required_string("name")?.to_owned();
        let host = parse_host(object)?;
        let path_prefix = parse_path_prefix(object)?;
        let timeout = parse_timeout(object)?;
        let retry_count = object.small_count("retry_count")?.unwrap_or(1).max(1);
        let priority = object.count("priority")?.unwrap_or(DEFAULT_PRIORITY);
        let route_type = match object.string("route_type")? {
            Some("idempotent") => RouteType::Idempotent,
            Some("streaming") => RouteType::Streaming,
            _ => RouteType::NonIdempotent,
        };
        let target_latency = object.millis("target_latency_ms")?.filter(|given| !given.is_zero());
        Ok(Route {
            name,
            host,
            path_prefix,
            route_type,
            timeout,
            target_latency: target_latency.unwrap_or(timeout),
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            backends: parse_backends(object)?,
            retry_count,
            persistence: object.boolean("persistence")?,
            resume: object.boolean("resume")?,
            event_gap_target: object.millis("gap_aim_ms")?.unwrap_or_default(),
        })
    }
}

fn parse_host(object: &Object<'_>) -> Result<String, ConfigError> {
    let host = normalize_host(object.required_string("host_header")?);
    if host.is_empty() {
        return Err(object.error_at("host_header", ConfigErrorKind::Missing));
    }
    Ok(host.into_owned())
}

fn parse_path_prefix(object: &Object<'_>) -> Result<String, ConfigError> {
    let path_prefix = object.required_string("path_prefix")?;
    if !path_prefix.starts_with('/') {
        return Err(object.error_at("path_prefix", ConfigErrorKind::OutOfRange("begin with a slash")));
    }
    Ok(path_prefix.to_owned())
}

fn parse_timeout(object: &Object<'_>) -> Result<Duration, ConfigError> {
    match object.millis("timeout_ms")? {
        None => Err(object.error_at("timeout_ms", ConfigErrorKind::Missing)),
        Some(Duration::ZERO) => Err(object.error_at("timeout_ms", ConfigErrorKind::OutOfRange("be above 0"))),
        Some(timeout) => Ok(timeout),
    }
}

fn parse_backends(object: &Object<'_>) -> Result<Vec<WeightedBackend>, ConfigError> {
    let single = object.string("backend_service")?.filter(|name| !name.is_empty());
    let weighted = object.array("weighted_backends")?;
    let mut backends = Vec::with_capacity(weighted.map_or(1, <[JsonValue]>::len));
    let mut total = 0.0;
    for (index, value) in weighted.unwrap_or_default().iter().enumerate() {
        let location = object.location_of(&format!("weighted_backends[{index}]"));
        let backend = parse_backend(&Object::from_value(value, &location)?)?;
        total += backend.weight;
        backends.push(backend);
    }
    let backend = |name: &str, weight| WeightedBackend { service: name.to_owned(), weight };
    match single {
        Some(name) if backends.is_empty() => backends.push(backend(name, DEFAULT_WEIGHT)),
        None if weighted.is_none() => {
            return Err(object.error_at("backend_service", ConfigErrorKind::Missing));
        }
        _ if total <= 0.0 => return Err(object.error_at("weighted_backends", ConfigErrorKind::ZeroWeight)),
        // A single service in addition to weighted ones must exist, but gets no requests.
        Some(name) => backends.push(backend(name, 0.0)),
        None => {}
    }
    Ok(backends)
}

fn parse_backend(object: &Object<'_>) -> Result<WeightedBackend, ConfigError> {
    let weight = object.number("weight")?.unwrap_or(DEFAULT_WEIGHT);
    if weight > MAX_WHOLE_NUMBER {
        return Err(object.error_at("weight", ConfigErrorKind::OutOfRange("be at most 2^53")));
    }
    Ok(WeightedBackend { service: object.required_string("backend_service")?.to_owned(), weight })
}

/// Converts a host to lower case and removes its port.
///
/// Normalizing a normalized host must not change it. Otherwise a route would not be found by its own `host`.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let is_ipv6 = host.trim_ascii_start().starts_with('[');
    let without_port = match (is_ipv6, host.find(']')) {
        (true, Some(end)) => host.get(..=end).unwrap_or(host),
        _ => host.split_once(':').map_or(host, |(name, _)| name),
    };
    let without_port = without_port.trim_ascii();
    if without_port.bytes().any(|byte| byte.is_ascii_uppercase()) {
        without_port.to_ascii_lowercase().into()
    } else {
        without_port.into()
    }
}
