//! Validates a document as a whole and turns it into a configuration (PROTOCOL.md, "The operator's API").

use std::sync::Arc;

use crate::config::{Config, Services, ValidatedParts};
use crate::document::{Document, FieldValue, LIMITS, REVISION, ROUTES, SERVICES};
use crate::error::{ConfigError, ConfigErrorKind, truncate};
use crate::item_list::ItemList;
use crate::json::structure::MAX_BYTES;
use crate::json::value::{parse_value, parse_whole_number};
use crate::limits::Limits;
use crate::route::Route;
use crate::route_table::{DuplicateRoutes, RouteTable};
use crate::routes::Routes;

/// Validates a document.
///
/// # Errors
///
/// The first violation: a field that is missing or has the wrong type, a route with an unknown service, two routes with
/// the same host and path prefix, or a text that is too long.
pub(crate) fn validate(document: Document) -> Result<Config, ConfigError> {
    let revision = parse_revision(&document)?;
    let limits = parse_limits(&document)?;
    let services = collect_services(required_list(&document, SERVICES)?);
    let routes = Routes::new(required_list(&document, ROUTES)?.clone());
    check_services_known(&routes, &services)?;
    let route_table = build_route_table(&routes)?;
    if document.json_length() > MAX_BYTES {
        return Err(ConfigErrorKind::TooLong(MAX_BYTES).at("body"));
    }
    let services = Arc::new(services);
    Ok(Config::new(ValidatedParts { revision, limits, services, routes, route_table }, document))
}

/// Validates a document that has most items in common with `base`; only the differences are checked.
///
/// # Errors
///
/// The errors of [`validate`], which is run if anything is invalid, so that both functions report the same error.
pub(crate) fn validate_changes(base: &Config, document: Document) -> Result<Config, ConfigError> {
    match check_changes(base, &document) {
        Some(parts) => Ok(Config::new(parts, document)),
        None => validate(document),
    }
}

/// Validates the differences; `None` if anything is invalid or unexpected.
fn check_changes(base: &Config, document: &Document) -> Option<ValidatedParts> {
    let routes = document.list(ROUTES)?;
    let services = update_services(base, document.list(SERVICES)?)?;
    let route_table = update_route_table(base, routes, &services)?;
    if document.json_length() > MAX_BYTES {
        return None;
    }
    let revision = parse_revision(document).ok()?;
    let limits = parse_limits(document).ok()?;
    let routes = Routes::new(routes.clone());
    Some(ValidatedParts { revision, limits, services, routes, route_table })
}

/// The services after a change.
fn update_services(base: &Config, newer: &ItemList) -> Option<Arc<Services>> {
    let mut services = base.services().clone();
    base.list(SERVICES)?.compare(newer, |old, new| match (old, new) {
        (_, Some(new)) => {
            if let Some(service) = new.as_service() {
                Arc::make_mut(&mut services).insert(service.name.clone(), service.clone());
            }
        }
        (Some(old), None) => {
            Arc::make_mut(&mut services).remove(old.name());
        }
        (None, None) => {}
    });
    Some(services)
}

/// The route table after a change; `None` if two routes share host and path prefix or a service is unknown.
fn update_route_table(base: &Config, newer: &ItemList, services: &Services) -> Option<RouteTable> {
    let mut added: Vec<&Arc<Route>> = Vec::new();
    let mut route_table = base.route_table().clone();
    // The older versions of all changed routes are removed before new ones are inserted, because routes may exchange
    // their prefixes.
    base.list(ROUTES)?.compare(newer, |old, new| {
        if let Some(old) = old.and_then(|item| item.as_route()) {
            route_table.remove(old);
        }
        added.extend(new.and_then(|item| item.as_route()));
    });
    let has_known_services = |route: &Route| unknown_service(route, services).is_none();
    // An unchanged route can name an unknown service only if a service was removed.
    let no_service_removed = base.services().keys().all(|service| services.contains_key(service));
    let all_services_known = if no_service_removed {
        added.iter().all(|route| has_known_services(route))
    } else {
        Routes::new(newer.clone()).iter().all(|route| has_known_services(route))
    };
    let has_no_duplicates = added.into_iter().all(|route| route_table.insert(route));
    (all_services_known && has_no_duplicates).then_some(route_table)
}

fn parse_revision(document: &Document) -> Result<u64, ConfigError> {
    match document.get(REVISION) {
        None => Err(ConfigErrorKind::Missing.at(REVISION)),
        Some(FieldValue::Items(_)) => Err(ConfigErrorKind::WrongType("a number").at(REVISION)),
        Some(FieldValue::Json(text)) => parse_whole_number(text, REVISION),
    }
}

fn parse_limits(document: &Document) -> Result<Limits, ConfigError> {
    match document.get(LIMITS) {
        None => Ok(Limits::default()),
        Some(FieldValue::Json(text)) if text.as_ref() == "null" => Ok(Limits::default()),
        Some(FieldValue::Items(_)) => Err(ConfigErrorKind::WrongType("an object").at(LIMITS)),
        Some(FieldValue::Json(text)) => Limits::from_value(&parse_value(text, LIMITS)?, LIMITS),
    }
}

fn required_list<'d>(document: &'d Document, key: &str) -> Result<&'d ItemList, ConfigError> {
    match document.get(key) {
        None => Err(ConfigErrorKind::Missing.at(key)),
        Some(FieldValue::Items(list)) => Ok(list),
        Some(FieldValue::Json(_)) => Err(ConfigErrorKind::WrongType("a list").at(key)),
    }
}

fn collect_services(list: &ItemList) -> Services {
    let services = list.iter().filter_map(|item| item.as_service());
    services.map(|service| (service.name.clone(), service.clone())).collect()
}

fn check_services_known(routes: &Routes, services: &Services) -> Result<(), ConfigError> {
    for (index, route) in routes.iter().enumerate() {
        if let Some(service) = unknown_service(route, services) {
            let (route, service) = (truncate(route.name.clone()), truncate(service.to_owned()));
            return Err(ConfigErrorKind::UnknownService(route, service).at(format!("{ROUTES}[{index}]")));
        }
    }
    Ok(())
}

fn unknown_service<'r>(route: &'r Route, services: &Services) -> Option<&'r str> {
    let mut names = route.backends.iter().map(|backend| backend.service.as_str());
    names.find(|service| !services.contains_key(*service))
}

fn build_route_table(routes: &Routes) -> Result<RouteTable, ConfigError> {
    let routes: Vec<Arc<Route>> = routes.iter().cloned().collect();
    RouteTable::new(&routes).map_err(|DuplicateRoutes { first, second }| {
        let name_of =
            |index: usize| routes.get(index).map(|route| truncate(route.name.clone())).unwrap_or_default();
        let kind = ConfigErrorKind::DuplicateMatch(name_of(second), name_of(first));
        kind.at(format!("{ROUTES}[{second}]"))
    })
}
