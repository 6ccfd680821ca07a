//! A configuration that has passed every check.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::sync::Arc;

use crate::build::build;
use crate::draft::{self, Draft, Part, REVISION};
use crate::fault::{Cause, Fault};
use crate::index::Index;
use crate::limits::Limits;
use crate::route::{self, Route};
use crate::scan;
use crate::service::Service;
use crate::value;

/// A whole configuration, valid. Clones share all of it.
#[derive(Clone)]
pub struct Config {
    /// Its version.
    pub revision: u64,
    /// Its routes, in the operator's order.
    pub routes: Arc<[Arc<Route>]>,
    /// Its services by name.
    pub services: Arc<BTreeMap<String, Arc<Service>>>,
    /// What clients may send.
    pub limits: Limits,
    body: Arc<Body>,
}

struct Body {
    text: Arc<str>,
    fields: Vec<Field>,
    index: Index,
}

/// Where the value of a top-level field lies in the text, and its items by name.
pub(crate) struct Field {
    pub(crate) key: Box<str>,
    pub(crate) start: u32,
    pub(crate) end: u32,
    pub(crate) items: Option<Vec<(Box<str>, u32, u32)>>,
}

/// A field with the text that it lies in.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    field: &'a Field,
    text: &'a str,
}

impl<'a> View<'a> {
    pub(crate) fn key(&self) -> &'a str {
        &self.field.key
    }

    pub(crate) fn text(&self) -> &'a str {
        slice(self.text, self.field.start, self.field.end)
    }

    /// Names and texts of the items, if it is a list of named ones.
    pub(crate) fn items(&self) -> Option<impl ExactSizeIterator<Item = (&'a str, &'a str)> + use<'a>> {
        let (items, text) = (self.field.items.as_ref()?, self.text);
        Some(items.iter().map(move |(name, start, end)| (name.as_ref(), slice(text, *start, *end))))
    }
}

fn slice(text: &str, start: u32, end: u32) -> &str {
    text.get(start as usize..end as usize).unwrap_or_default()
}

impl Config {
    /// A whole configuration, with every check.
    pub fn read(text: &[u8]) -> Result<Config, Fault> {
        let text = scan::text(text, scan::MAX_BYTES)?;
        scan::guard(text, scan::MAX_DEPTH)?;
        build(&Draft::read(text)?)
    }

    /// `Configuration.Replace`: a whole configuration, above the current one (above 0, if there is none).
    pub fn replaced(current: Option<&Config>, text: &[u8]) -> Result<Config, Fault> {
        let config = Config::read(text)?;
        above(config.revision, current.map_or(0, |current| current.revision))?;
        Ok(config)
    }

    /// `Configuration.Modify`: this configuration with items withdrawn, then others put in.
    pub fn changed(&self, text: &[u8]) -> Result<Config, Fault> {
        let text = scan::text(text, scan::MAX_BYTES)?;
        scan::guard(text, scan::MAX_DEPTH)?;
        let mut revision = None;
        let mut upsert = Vec::new();
        let mut withdraw = Vec::new();
        for (key, value) in draft::object(text, "body")? {
            match key.as_ref() {
                REVISION => revision = Some(value::whole(&value::parse(value, REVISION)?, REVISION)?),
                "upsert" if value != "null" => upsert = draft::lists(value, "upsert")?,
                "withdraw" if value != "null" => withdraw = draft::object(value, "withdraw")?,
                key => drop(value::parse(value, key)?),
            }
        }
        let revision = revision.ok_or_else(|| Cause::Missing.at(REVISION))?;
        above(revision, self.revision)?;

        let mut draft = Draft::of(self);
        for (list, value) in withdraw {
            let names = draft::names(value, &format!("withdraw.{list}"))?;
            draft.withdraw(&list, &HashSet::from_iter(names));
        }
        for (key, value, elements) in upsert {
            let place = format!("upsert.{key}");
            match elements {
                Some(elements) => {
                    let items = draft::items(&key, elements, &place)?;
                    draft.upsert(key, items, &place)?;
                }
                None => {
                    let part = draft::part(&key, value, None, &place)?;
                    draft.set(key, part);
                }
            }
        }
        draft.set(REVISION.into(), Part::Plain(revision.to_string().into()));
        build(&draft)
    }

    /// The configuration whole, as JSON without white space: to be shown and stored.
    pub fn text(&self) -> &Arc<str> {
        &self.body.text
    }

    /// Of the routes of that host, the one with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.body.index.find(&self.routes, &route::host_name(host), path)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    pub(crate) fn fields(&self) -> impl ExactSizeIterator<Item = View<'_>> {
        self.body.fields.iter().map(|field| View { field, text: &self.body.text })
    }

    pub(crate) fn assemble(
        revision: u64,
        routes: Vec<Arc<Route>>,
        services: BTreeMap<String, Arc<Service>>,
        limits: Limits,
        text: String,
        fields: Vec<Field>,
        index: Index,
    ) -> Config {
        let body = Arc::new(Body { text: text.into(), fields, index });
        Config { revision, routes: routes.into(), services: Arc::new(services), limits, body }
    }
}

fn above(revision: u64, current: u64) -> Result<(), Fault> {
    if revision > current { Ok(()) } else { Err(Cause::OldRevision(revision, current).at(REVISION)) }
}

/// Equal when the texts are.
impl PartialEq for Config {
    fn eq(&self, other: &Self) -> bool {
        self.body.text == other.body.text
    }
}

impl fmt::Debug for Config {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.debug_struct("Config")
            .field("revision", &self.revision)
            .field("routes", &self.routes.len())
            .field("services", &self.services.len())
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
