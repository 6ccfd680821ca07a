//! A configuration in pieces: taken apart, changed by item, put together again by `build`.

use std::borrow::Cow;
use std::collections::HashSet;
use std::sync::Arc;

use tinyjson::JsonValue;

use crate::error::{ConfigError, ConfigErrorKind};
use crate::item_list::{Item, List, Meaning};
use crate::json::object::{self as value, Object};
use crate::json::scanner as scan;
use crate::route::Route;
use crate::service::Service;
use crate::stable_hash as hash;

pub(crate) const ROUTES: &str = "route_entries";
pub(crate) const SERVICES: &str = "backend_services";
pub(crate) const REVISION: &str = "revision";
pub(crate) const LIMITS: &str = "limits";

/// The value of a top-level field. Which of both it is follows from the text alone.
#[derive(Debug, Clone)]
pub(crate) enum Part {
    /// A list of items, each with a name of its own; the empty list too.
    Items(List),
    Plain(Arc<str>),
}

impl Part {
    pub(crate) fn plain(text: &str) -> Self {
        Part::Plain(text.into())
    }

    pub(crate) fn text_length(&self) -> usize {
        match self {
            Part::Items(list) => list.text_length(),
            Part::Plain(text) => text.len(),
        }
    }

    pub(crate) fn write(&self, to: &mut String) {
        match self {
            Part::Items(list) => list.write(to),
            Part::Plain(text) => to.push_str(text),
        }
    }

    /// Over the text.
    pub(crate) fn hash(&self) -> u64 {
        match self {
            Part::Items(list) => list.hash(),
            Part::Plain(text) => hash::text(text),
        }
    }

    /// Of the same text.
    pub(crate) fn same(&self, other: &Part) -> bool {
        match (self, other) {
            (Part::Plain(one), Part::Plain(two)) => one == two,
            (Part::Items(one), Part::Items(two)) => {
                one.len() == two.len() && one.iter().zip(two.iter()).all(|(one, two)| Item::same(one, two))
            }
            _ => false,
        }
    }
}

/// A top-level field.
#[derive(Debug, Clone)]
pub(crate) struct Field {
    pub(crate) key: Arc<str>,
    pub(crate) part: Part,
}

/// Its top-level fields in order. A clone shares all items.
#[derive(Debug, Clone, Default)]
pub(crate) struct Draft {
    pub(crate) fields: Vec<Field>,
}

impl Draft {
    /// From a text that has passed the guard.
    pub(crate) fn read(text: &str) -> Result<Self, ConfigError> {
        let mut draft = Draft::default();
        for (key, value, elements) in lists(text, "body")? {
            let part = part(&key, value, elements, &key)?;
            draft.fields.push(Field { key: key.as_ref().into(), part });
        }
        Ok(draft)
    }

    pub(crate) fn part(&self, key: &str) -> Option<&Part> {
        self.fields.iter().find(|field| field.key.as_ref() == key).map(|field| &field.part)
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &str> {
        self.fields.iter().map(|field| field.key.as_ref())
    }

    /// The list in a field, if it holds one.
    pub(crate) fn list(&self, key: &str) -> Option<&List> {
        match self.part(key) {
            Some(Part::Items(list)) => Some(list),
            _ => None,
        }
    }

    pub(crate) fn list_mut(&mut self, key: &str) -> Option<&mut List> {
        let field = self.fields.iter_mut().find(|field| field.key.as_ref() == key)?;
        match &mut field.part {
            Part::Items(list) => Some(list),
            Part::Plain(_) => None,
        }
    }

    /// How long the whole is as text.
    pub(crate) fn text_length(&self) -> usize {
        let field = |field: &Field| scan::quote(&field.key).len() + 1 + field.part.text_length();
        2 + self.fields.iter().map(field).sum::<usize>() + self.fields.len().saturating_sub(1)
    }

    /// The whole as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::with_capacity(self.text_length());
        text.push('{');
        for field in &self.fields {
            if text.len() > 1 {
                text.push(',');
            }
            text.push_str(&scan::quote(&field.key));
            text.push(':');
            field.part.write(&mut text);
        }
        text.push('}');
        text
    }

    /// Over the whole text, without a look at items that haven't changed.
    pub(crate) fn hash(&self) -> u64 {
        self.fields.iter().fold(0, |sum, field| {
            let kind = u64::from(matches!(field.part, Part::Items(_)));
            let part = hash::mix(kind, field.part.hash());
            hash::mix(sum, hash::mix(hash::text(&field.key), part))
        })
    }

    /// Of the same text.
    pub(crate) fn same(&self, other: &Draft) -> bool {
        let equal = |(one, two): (&Field, &Field)| one.key == two.key && one.part.same(&two.part);
        self.fields.len() == other.fields.len() && self.fields.iter().zip(&other.fields).all(equal)
    }

    /// Sets a field, in its place or at the end.
    pub(crate) fn set(&mut self, key: &str, part: Part) {
        match self.fields.iter_mut().find(|field| field.key.as_ref() == key) {
            Some(field) => field.part = part,
            None => self.fields.push(Field { key: key.into(), part }),
        }
    }

    /// Takes items out of a list; names and lists that aren't there don't matter.
    pub(crate) fn withdraw(&mut self, list: &str, names: &[Cow<'_, str>]) {
        if let Some(list) = self.list_mut(list) {
            names.iter().for_each(|name| list.withdraw(name));
        }
    }

    /// Puts items into a list: in the place of those that have their names, else at the end.
    pub(crate) fn upsert(&mut self, key: &str, new: Vec<Arc<Item>>, place: &str) -> Result<(), ConfigError> {
        if self.part(key).is_none() {
            self.set(key, Part::Items(List::new(new)));
            return Ok(());
        }
        let list = self.list_mut(key);
        let list = list.ok_or_else(|| ConfigErrorKind::WrongType("for a list of named items").at(place))?;
        new.into_iter().for_each(|item| list.upsert(item));
        Ok(())
    }
}

/// The fields of an object.
pub(crate) fn object<'a>(text: &'a str, place: &str) -> Result<Vec<(Cow<'a, str>, &'a str)>, ConfigError> {
    match scan::fields(text) {
        Some(fields) => Ok(fields),
        None => Err(value::not(text, place, "an object")),
    }
}

/// The elements of a list.
pub(crate) fn list<'a>(text: &'a str, place: &str) -> Result<Vec<&'a str>, ConfigError> {
    match scan::elements(text) {
        Some(elements) => Ok(elements),
        None => Err(value::not(text, place, "a list")),
    }
}

/// Names in a list.
pub(crate) fn names<'a>(text: &'a str, place: &str) -> Result<Vec<Cow<'a, str>>, ConfigError> {
    let mut found = Vec::new();
    for (at, element) in list(text, place)?.into_iter().enumerate() {
        let place = format!("{place}[{at}]");
        match value::parse(element, &place)? {
            JsonValue::String(name) => found.push(Cow::Owned(name)),
            _ => return Err(ConfigErrorKind::WrongType("a name").at(place)),
        }
    }
    Ok(found)
}

/// The fields of an object, each as [`part`] and [`items`] take it.
pub(crate) fn lists<'a>(text: &'a str, place: &str) -> Result<Vec<scan::Listed<'a>>, ConfigError> {
    scan::lists(text).ok_or_else(|| value::not(text, place, "an object"))
}

/// A top-level field. Of unknown lists, those whose items have names of their own can be changed by item.
pub(crate) fn part(
    key: &str,
    text: &str,
    elements: Option<Vec<&str>>,
    place: &str,
) -> Result<Part, ConfigError> {
    let known = matches!(key, ROUTES | SERVICES);
    match elements {
        None if known => return Err(value::not(text, place, "a list")),
        Some(elements) if !matches!(key, REVISION | LIMITS) => match items(key, elements, place) {
            Ok(items) => return Ok(Part::Items(List::new(items))),
            Err(fault) if known || matches!(fault.kind, ConfigErrorKind::MalformedJson(..)) => {
                return Err(fault);
            }
            Err(_) => {}
        },
        _ => {}
    }
    value::parse(text, place)?;
    Ok(Part::plain(&scan::minify(text)))
}

/// The items of a list, each with a name of its own.
pub(crate) fn items(list: &str, elements: Vec<&str>, place: &str) -> Result<Vec<Arc<Item>>, ConfigError> {
    let mut found: Vec<Arc<Item>> = Vec::with_capacity(elements.len());
    let mut seen: HashSet<String> = HashSet::with_capacity(elements.len());
    for (at, text) in elements.into_iter().enumerate() {
        let place = format!("{place}[{at}]");
        let fields = value::fields(text, &place)?;
        let object = Object::new(&fields, &place);
        let name = object.name("name")?;
        if !seen.insert(name.to_owned()) {
            let name = crate::error::brief(name.to_owned());
            return Err(object.fault("name", ConfigErrorKind::DuplicateName(name)));
        }
        let meaning = match list {
            ROUTES => Meaning::Route(Arc::new(Route::read(&object)?)),
            SERVICES => Meaning::Service(Arc::new(Service::read(&object)?)),
            _ => Meaning::Unknown(name.into()),
        };
        found.push(Item::new(&scan::minify(text), meaning));
    }
    Ok(found)
}
