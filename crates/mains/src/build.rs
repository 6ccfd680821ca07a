//! From the pieces to a configuration: what is checked over all items, and the text.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::{Config, Field};
use crate::draft::{Draft, Item, LIMITS, Meaning, Part, REVISION, ROUTES, SERVICES};
use crate::fault::{Cause, Fault, brief};
use crate::index::Index;
use crate::limits::Limits;
use crate::route::Route;
use crate::scan;
use crate::service::Service;
use crate::value;

pub(crate) fn build(draft: &Draft<'_>) -> Result<Config, Fault> {
    let revision = match draft.part(REVISION) {
        None => return Err(Cause::Missing.at(REVISION)),
        Some(Part::Items(_)) => return Err(Cause::WrongType("a number").at(REVISION)),
        Some(Part::Plain(text)) => value::whole(&value::parse(text, REVISION)?, REVISION)?,
    };
    let limits = match draft.part(LIMITS) {
        None => Limits::default(),
        Some(Part::Plain(text)) if text == "null" => Limits::default(),
        Some(Part::Items(_)) => return Err(Cause::WrongType("an object").at(LIMITS)),
        Some(Part::Plain(text)) => Limits::read(&value::parse(text, LIMITS)?, LIMITS)?,
    };
    let mut services: BTreeMap<String, Arc<Service>> = BTreeMap::new();
    for item in items(draft, SERVICES)? {
        if let Meaning::Service(service) = &item.meaning {
            services.insert(service.name.clone(), service.clone());
        }
    }
    let mut routes: Vec<Arc<Route>> = Vec::new();
    for (at, item) in items(draft, ROUTES)?.iter().enumerate() {
        let Meaning::Route(route) = &item.meaning else { continue };
        for (service, _) in &route.backends {
            if !services.contains_key(service) {
                let cause = Cause::UnknownService(brief(route.name.clone()), brief(service.clone()));
                return Err(cause.at(format!("{ROUTES}[{at}]")));
            }
        }
        routes.push(route.clone());
    }
    let index = Index::new(&routes).map_err(|(one, two)| {
        let (first, second) = (one.min(two), one.max(two));
        let name = |at: usize| routes.get(at).map(|route| brief(route.name.clone())).unwrap_or_default();
        Cause::SamePlace(name(second), name(first)).at(format!("{ROUTES}[{second}]"))
    })?;
    let (text, fields) = write(draft);
    if text.len() > scan::MAX_BYTES {
        return Err(Cause::TooLong(scan::MAX_BYTES).at("body"));
    }
    Ok(Config::assemble(revision, routes, services, limits, text, fields, index))
}

fn items<'d, 'a>(draft: &'d Draft<'a>, list: &str) -> Result<&'d [Item<'a>], Fault> {
    match draft.part(list) {
        None => Err(Cause::Missing.at(list)),
        Some(Part::Items(items)) => Ok(items),
        Some(Part::Plain(_)) => Err(Cause::WrongType("a list").at(list)),
    }
}

fn write(draft: &Draft<'_>) -> (String, Vec<Field>) {
    let mut text = String::with_capacity(draft.length());
    text.push('{');
    let mut fields = Vec::with_capacity(draft.parts.len());
    for (key, part) in &draft.parts {
        if text.len() > 1 {
            text.push(',');
        }
        text.push_str(&scan::quote(key));
        text.push(':');
        let start = text.len();
        let items = match part {
            Part::Plain(value) => {
                text.push_str(value);
                None
            }
            Part::Items(items) => {
                text.push('[');
                let mut spans = Vec::with_capacity(items.len());
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        text.push(',');
                    }
                    let start = text.len();
                    text.push_str(&item.text);
                    spans.push((item.name.as_ref().into(), start as u32, text.len() as u32));
                }
                text.push(']');
                Some(spans)
            }
        };
        fields.push(Field { key: key.as_ref().into(), start: start as u32, end: text.len() as u32, items });
    }
    text.push('}');
    (text, fields)
}
