//! From the pieces to a configuration: what is checked over all items.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::Config;
use crate::document::{Draft, LIMITS, Part, REVISION, ROUTES, SERVICES};
use crate::error::{ConfigError, ConfigErrorKind, brief};
use crate::item_list::{List, Meaning};
use crate::json::object as value;
use crate::json::scanner as scan;
use crate::limits::Limits;
use crate::route::Route;
use crate::route_table::Index;
use crate::routes::Routes;
use crate::service::Service;

pub(crate) type Services = BTreeMap<String, Arc<Service>>;

/// Checks all of it.
pub(crate) fn build(draft: Draft) -> Result<Config, ConfigError> {
    let (revision, limits) = head(&draft)?;
    let services = services(items(&draft, SERVICES)?);
    let routes = Routes::new(items(&draft, ROUTES)?.clone());
    for (at, route) in routes.iter().enumerate() {
        if let Some(service) = unknown_service(route, &services) {
            let cause = ConfigErrorKind::UnknownService(brief(route.name.clone()), brief(service.to_owned()));
            return Err(cause.at(format!("{ROUTES}[{at}]")));
        }
    }
    let slice: Vec<Arc<Route>> = routes.iter().cloned().collect();
    let index = Index::new(&slice).map_err(|(one, two)| {
        let (first, second) = (one.min(two), one.max(two));
        let name = |at: usize| slice.get(at).map(|route| brief(route.name.clone())).unwrap_or_default();
        ConfigErrorKind::DuplicateMatch(name(second), name(first)).at(format!("{ROUTES}[{second}]"))
    })?;
    if draft.text_length() > scan::MAX_BYTES {
        return Err(ConfigErrorKind::TooLong(scan::MAX_BYTES).at("body"));
    }
    Ok(Config::assemble(revision, routes, Arc::new(services), limits, index, draft))
}

/// Checks what differs from a configuration that has passed every check.
///
/// What is found wrong is left to [`build`] to say, so that the fault is the same one whichever way it is found.
pub(crate) fn build_on(base: &Config, draft: Draft) -> Result<Config, ConfigError> {
    let (Some(routes), Some(services)) = (draft.list(ROUTES), draft.list(SERVICES)) else {
        return build(draft);
    };
    let Some(services) = services_on(base, services) else { return build(draft) };
    let Some(index) = index_on(base, routes, &services) else { return build(draft) };
    if draft.text_length() > scan::MAX_BYTES {
        return build(draft);
    }
    let Ok((revision, limits)) = head(&draft) else { return build(draft) };
    let routes = Routes::new(routes.clone());
    Ok(Config::assemble(revision, routes, services, limits, index, draft))
}

/// The services after a change.
fn services_on(base: &Config, newer: &List) -> Option<Arc<Services>> {
    let mut services = base.services.clone();
    base.list(SERVICES)?.compare(newer, |old, new| match (old, new) {
        (_, Some(new)) => {
            if let Meaning::Service(service) = &new.meaning {
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

/// The index after a change; `None` where a place is taken or a service unknown.
fn index_on(base: &Config, newer: &List, services: &Services) -> Option<Index> {
    let mut come: Vec<&Arc<Route>> = Vec::new();
    let mut index = base.index().clone();
    base.list(ROUTES)?.compare(newer, |old, new| {
        if let Some(Meaning::Route(old)) = old.map(|item| &item.meaning) {
            index.remove(old);
        }
        if let Some(Meaning::Route(new)) = new.map(|item| &item.meaning) {
            come.push(new);
        }
    });
    let known = |route: &Route| unknown_service(route, services).is_none();
    // Only where a service is gone can a route be wrong that was not touched.
    let all_stay = base.services.keys().all(|service| services.contains_key(service));
    let routes_known = match all_stay {
        true => come.iter().all(|route| known(route)),
        false => Routes::new(newer.clone()).iter().all(|route| known(route)),
    };
    let free = come.into_iter().all(|route| index.insert(route));
    (routes_known && free).then_some(index)
}

fn head(draft: &Draft) -> Result<(u64, Limits), ConfigError> {
    let revision = match draft.part(REVISION) {
        None => return Err(ConfigErrorKind::Missing.at(REVISION)),
        Some(Part::Items(_)) => return Err(ConfigErrorKind::WrongType("a number").at(REVISION)),
        Some(Part::Plain(text)) => value::whole(&value::parse(text, REVISION)?, REVISION)?,
    };
    let limits = match draft.part(LIMITS) {
        None => Limits::default(),
        Some(Part::Plain(text)) if text.as_ref() == "null" => Limits::default(),
        Some(Part::Items(_)) => return Err(ConfigErrorKind::WrongType("an object").at(LIMITS)),
        Some(Part::Plain(text)) => Limits::read(&value::parse(text, LIMITS)?, LIMITS)?,
    };
    Ok((revision, limits))
}

fn items<'d>(draft: &'d Draft, list: &str) -> Result<&'d List, ConfigError> {
    match draft.part(list) {
        None => Err(ConfigErrorKind::Missing.at(list)),
        Some(Part::Items(items)) => Ok(items),
        Some(Part::Plain(_)) => Err(ConfigErrorKind::WrongType("a list").at(list)),
    }
}

fn services(list: &List) -> Services {
    let read = list.iter().filter_map(|item| match &item.meaning {
        Meaning::Service(service) => Some((service.name.clone(), service.clone())),
        _ => None,
    });
    read.collect()
}

fn unknown_service<'r>(route: &'r Route, services: &Services) -> Option<&'r str> {
    let mut names = route.backends.iter().map(|backend| backend.service.as_str());
    names.find(|service| !services.contains_key(*service))
}
