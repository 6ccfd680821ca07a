//! A route: where a request goes, and what may be done with it.

use core::time::Duration;

use tinyjson::JsonValue;

use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::object::{MAX_WHOLE, Object};

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteType {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once; also where the type is absent or unknown.
    NonIdempotent,
    /// A request is answered by a stream of events, and runs at most once unless it may be resumed.
    Streaming,
}

/// One of `route_entries`.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it is for, in lower case and without a port.
    pub host: String,
    /// What its paths begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// The longest that the operator wants a request held; above 0, in whole milliseconds.
    pub timeout: Duration,
    /// The latency target of a response, to the first event of a stream; the timeout when it is not given.
    pub target_latency: Duration,
    /// Its rank, 0 is highest; 5 when it is not given.
    pub priority: u8,
    /// The services of the route in the operator's order; the weights add up to more than 0.
    pub backends: Vec<WeightedBackend>,
    /// The most servers that one try may be sent to, at least 1.
    pub retry_count: u32,
    /// Whether its requests name the parts of a prompt.
    pub persistence: bool,
    /// Whether a stream may be continued at another server.
    pub resume: bool,
    /// The longest pause between events of a stream that still keeps the response in time; zero when it is not given.
    pub event_gap_target: Duration,
}

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedBackend {
    /// The service's name.
    pub service: String,
    /// The share of requests, relative to the sum over the route; a service with weight 0 gets none.
    pub weight: f64,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_type {
            RouteType::Idempotent => true,
            RouteType::NonIdempotent => false,
            RouteType::Streaming => self.resume,
        }
    }

    /// The service for a request, by weight; `unit` is a random number from 0 to 1.
    pub fn choose_service(&self, unit: f64) -> Option<&str> {
        let sum: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = unit.clamp(0.0, 1.0) * sum;
        let mut last = None;
        for backend in &self.backends {
            if backend.weight > 0.0 {
                last = Some(backend.service.as_str());
                if left < backend.weight {
                    break;
                }
                left -= backend.weight;
            }
        }
        last
    }

    pub(crate) fn read(object: &Object<'_>) -> Result<Route, ConfigError> {
        let name = object.name("name")?.to_owned();
        let host = host_name(object.name("host_header")?).into_owned();
        if host.is_empty() {
            return Err(object.fault("host_header", ConfigErrorKind::Missing));
        }
        let prefix = object.name("path_prefix")?.to_owned();
        if !prefix.starts_with('/') {
            return Err(object.fault("path_prefix", ConfigErrorKind::OutOfRange("begin with a slash")));
        }
        let timeout = match object.millis("timeout_ms")? {
            None => return Err(object.fault("timeout_ms", ConfigErrorKind::Missing)),
            Some(Duration::ZERO) => {
                return Err(object.fault("timeout_ms", ConfigErrorKind::OutOfRange("be above 0")));
            }
            Some(given) => given,
        };
        let retry_count = object.count("retry_count", u64::from(u32::MAX))?.unwrap_or(1).max(1);
        let priority = object.count("priority", u64::from(u8::MAX))?.unwrap_or(5);
        Ok(Route {
            name,
            host,
            path_prefix: prefix,
            route_type: match object.string("route_type")? {
                Some("idempotent") => RouteType::Idempotent,
                Some("streaming") => RouteType::Streaming,
                _ => RouteType::NonIdempotent,
            },
            timeout,
            target_latency: object
                .millis("target_latency_ms")?
                .filter(|given| !given.is_zero())
                .unwrap_or(timeout),
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            backends: backends(object)?,
            retry_count: u32::try_from(retry_count).unwrap_or(u32::MAX),
            persistence: object.flag("persistence")?,
            resume: object.flag("resume")?,
            event_gap_target: object.millis("gap_aim_ms")?.unwrap_or_default(),
        })
    }
}

fn backends(object: &Object<'_>) -> Result<Vec<WeightedBackend>, ConfigError> {
    let single = object.string("backend_service")?.filter(|name| !name.is_empty());
    let weighted = object.list("weighted_backends")?;
    let mut found = Vec::with_capacity(weighted.map_or(1, <[JsonValue]>::len));
    let mut sum = 0.0;
    for (at, value) in weighted.unwrap_or_default().iter().enumerate() {
        let place = object.place(&format!("weighted_backends[{at}]"));
        let backend = Object::within(value, &place)?;
        let weight = backend.number("weight")?.unwrap_or(1.0);
        sum += weight;
        if weight > MAX_WHOLE {
            return Err(backend.fault("weight", ConfigErrorKind::OutOfRange("be at most 2^53")));
        }
        found.push(WeightedBackend { service: backend.name("backend_service")?.to_owned(), weight });
    }
    match single {
        Some(name) if found.is_empty() => {
            found.push(WeightedBackend { service: name.to_owned(), weight: 1.0 })
        }
        None if weighted.is_none() => return Err(object.fault("backend_service", ConfigErrorKind::Missing)),
        _ if sum <= 0.0 => return Err(object.fault("weighted_backends", ConfigErrorKind::ZeroWeight)),
        // Named beside the weights, it must be known as they must, but takes no request.
        Some(name) => found.push(WeightedBackend { service: name.to_owned(), weight: 0.0 }),
        None => {}
    }
    Ok(found)
}

/// A host in lower case, without its port.
///
/// Danger: what comes out must come out again when it is put in, or a route that is there is not found.
pub(crate) fn host_name(host: &str) -> std::borrow::Cow<'_, str> {
    let bare = match (host.trim_ascii_start().starts_with('['), host.find(']')) {
        (true, Some(end)) => host.get(..=end).unwrap_or(host),
        _ => host.split_once(':').map_or(host, |(bare, _)| bare),
    }
    .trim_ascii();
    if bare.bytes().any(|byte| byte.is_ascii_uppercase()) {
        bare.to_ascii_lowercase().into()
    } else {
        bare.into()
    }
}
