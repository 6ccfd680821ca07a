//! A configuration in pieces: taken apart, changed by item, put together again by `build`.

use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tinyjson::JsonValue;

use crate::config::Config;
use crate::fault::{Cause, Fault};
use crate::route::Route;
use crate::scan;
use crate::service::Service;
use crate::value::{self, Object};

pub(crate) const ROUTES: &str = "route_entries";
pub(crate) const SERVICES: &str = "backend_services";
pub(crate) const REVISION: &str = "revision";
pub(crate) const LIMITS: &str = "limits";

/// An item of a list, as text and, where it means something here, as read.
#[derive(Debug, Clone)]
pub(crate) struct Item<'a> {
    pub(crate) name: Cow<'a, str>,
    pub(crate) text: Cow<'a, str>,
    pub(crate) meaning: Meaning,
}

#[derive(Debug, Clone)]
pub(crate) enum Meaning {
    Route(Arc<Route>),
    Service(Arc<Service>),
    Unknown,
}

/// The value of a top-level field. Which of both it is follows from the text alone.
#[derive(Debug)]
pub(crate) enum Part<'a> {
    /// A list of items, each with a name of its own; the empty list too.
    Items(Vec<Item<'a>>),
    Plain(Cow<'a, str>),
}

#[derive(Debug, Default)]
pub(crate) struct Draft<'a> {
    pub(crate) parts: Vec<(Cow<'a, str>, Part<'a>)>,
}

impl<'a> Draft<'a> {
    /// From a text that has passed the guard.
    pub(crate) fn read(text: &'a str) -> Result<Self, Fault> {
        let mut draft = Draft::default();
        for (key, value, elements) in lists(text, "body")? {
            let part = part(&key, value, elements, &key)?;
            draft.parts.push((key, part));
        }
        Ok(draft)
    }

    /// A configuration that was read before; nothing is read again.
    pub(crate) fn of(config: &'a Config) -> Self {
        let mut draft = Draft::default();
        for field in config.fields() {
            let part = match field.items() {
                None => Part::Plain(Cow::Borrowed(field.text())),
                Some(items) => {
                    let meaning = |at: usize, name: &str| match field.key() {
                        ROUTES => config.routes.get(at).cloned().map(Meaning::Route),
                        SERVICES => config.services.get(name).cloned().map(Meaning::Service),
                        _ => None,
                    };
                    Part::Items(
                        items
                            .enumerate()
                            .map(|(at, (name, text))| Item {
                                name: Cow::Borrowed(name),
                                text: Cow::Borrowed(text),
                                meaning: meaning(at, name).unwrap_or(Meaning::Unknown),
                            })
                            .collect(),
                    )
                }
            };
            draft.parts.push((Cow::Borrowed(field.key()), part));
        }
        draft
    }

    pub(crate) fn part(&self, key: &str) -> Option<&Part<'a>> {
        self.parts.iter().find(|(own, _)| own == key).map(|(_, part)| part)
    }

    /// About as long as its text.
    pub(crate) fn length(&self) -> usize {
        let part = |part: &Part<'_>| match part {
            Part::Plain(text) => text.len(),
            Part::Items(items) => items.iter().map(|item| item.text.len() + 1).sum(),
        };
        self.parts.iter().map(|(key, own)| key.len() + 6 + part(own)).sum::<usize>() + 2
    }

    /// Sets a field, in its place or at the end.
    pub(crate) fn set(&mut self, key: Cow<'a, str>, part: Part<'a>) {
        match self.parts.iter_mut().find(|(own, _)| *own == key) {
            Some((_, own)) => *own = part,
            None => self.parts.push((key, part)),
        }
    }

    /// Takes items out of a list; names and lists that aren't there don't matter.
    pub(crate) fn withdraw(&mut self, list: &str, names: &HashSet<Cow<'_, str>>) {
        for (key, part) in &mut self.parts {
            if let Part::Items(items) = part
                && key == list
            {
                items.retain(|item| !names.contains(&item.name));
            }
        }
    }

    /// Puts items into a list: in the place of those that have their names, else at the end.
    pub(crate) fn upsert(
        &mut self,
        list: Cow<'a, str>,
        new: Vec<Item<'a>>,
        place: &str,
    ) -> Result<(), Fault> {
        let items = match self.parts.iter_mut().find(|(own, _)| *own == list) {
            Some((_, Part::Items(items))) => items,
            Some(_) => return Err(Cause::WrongType("for a list of named items").at(place)),
            None => {
                self.parts.push((list, Part::Items(new)));
                return Ok(());
            }
        };
        let at: HashMap<String, usize> =
            items.iter().enumerate().map(|(at, item)| (item.name.to_string(), at)).collect();
        for item in new {
            match at.get(item.name.as_ref()).and_then(|at| items.get_mut(*at)) {
                Some(own) => *own = item,
                None => items.push(item),
            }
        }
        Ok(())
    }
}

/// The fields of an object.
pub(crate) fn object<'a>(text: &'a str, place: &str) -> Result<Vec<(Cow<'a, str>, &'a str)>, Fault> {
    match scan::fields(text) {
        Some(fields) => Ok(fields),
        None => Err(value::not(text, place, "an object")),
    }
}

/// The elements of a list.
pub(crate) fn list<'a>(text: &'a str, place: &str) -> Result<Vec<&'a str>, Fault> {
    match scan::elements(text) {
        Some(elements) => Ok(elements),
        None => Err(value::not(text, place, "a list")),
    }
}

/// Names in a list.
pub(crate) fn names<'a>(text: &'a str, place: &str) -> Result<Vec<Cow<'a, str>>, Fault> {
    let mut found = Vec::new();
    for (at, element) in list(text, place)?.into_iter().enumerate() {
        let place = format!("{place}[{at}]");
        match value::parse(element, &place)? {
            JsonValue::String(name) => found.push(Cow::Owned(name)),
            _ => return Err(Cause::WrongType("a name").at(place)),
        }
    }
    Ok(found)
}

/// The fields of an object, each as [`part`] and [`items`] take it.
pub(crate) fn lists<'a>(text: &'a str, place: &str) -> Result<Vec<scan::Listed<'a>>, Fault> {
    scan::lists(text).ok_or_else(|| value::not(text, place, "an object"))
}

/// A top-level field. Of unknown lists, those whose items have names of their own can be changed by item.
pub(crate) fn part<'a>(
    key: &str,
    text: &'a str,
    elements: Option<Vec<&'a str>>,
    place: &str,
) -> Result<Part<'a>, Fault> {
    let known = matches!(key, ROUTES | SERVICES);
    match elements {
        None if known => return Err(value::not(text, place, "a list")),
        Some(elements) if !matches!(key, REVISION | LIMITS) => match items(key, elements, place) {
            Ok(items) => return Ok(Part::Items(items)),
            Err(fault) if known || matches!(fault.cause, Cause::NotWhole(..)) => return Err(fault),
            Err(_) => {}
        },
        _ => {}
    }
    value::parse(text, place)?;
    Ok(Part::Plain(scan::minify(text)))
}

/// A list of items, each with a name of its own.
pub(crate) fn items<'a>(list: &str, elements: Vec<&'a str>, place: &str) -> Result<Vec<Item<'a>>, Fault> {
    let mut found: Vec<Item<'a>> = Vec::with_capacity(elements.len());
    let mut seen: HashSet<String> = HashSet::with_capacity(elements.len());
    for (at, text) in elements.into_iter().enumerate() {
        let place = format!("{place}[{at}]");
        let fields = value::fields(text, &place)?;
        let object = Object::new(&fields, &place);
        let name = object.name("name")?;
        if !seen.insert(name.to_owned()) {
            let name = crate::fault::brief(name.to_owned());
            return Err(object.fault("name", Cause::SameName(name)));
        }
        let meaning = match list {
            ROUTES => Meaning::Route(Arc::new(Route::read(&object)?)),
            SERVICES => Meaning::Service(Arc::new(Service::read(&object)?)),
            _ => Meaning::Unknown,
        };
        found.push(Item { name: Cow::Owned(name.to_owned()), text: scan::minify(text), meaning });
    }
    Ok(found)
}
