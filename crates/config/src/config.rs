//! A configuration that has passed every check.

use std::fmt;
use std::sync::{Arc, OnceLock};

use crate::document::{self as draft, Draft, Part, REVISION};
use crate::error::{ConfigError, ConfigErrorKind};
use crate::item_list::List;
use crate::json::object as value;
use crate::json::scanner as scan;
use crate::limits::Limits;
use crate::route::{self, Route};
use crate::route_table::Index;
use crate::routes::Routes;
use crate::service::Service;
use crate::validation::{Services, build, build_on};

/// A whole configuration, valid. Clones share all of it, and one that was made from another by a change or a
/// patch shares with it all that has not changed.
#[derive(Clone)]
pub struct Config {
    /// Its version.
    pub revision: u64,
    /// Its routes, in the operator's order.
    pub routes: Routes,
    /// Its services by name.
    pub services: Arc<Services>,
    /// What clients may send.
    pub limits: Limits,
    body: Arc<Body>,
}

struct Body {
    draft: Draft,
    index: Index,
    text: OnceLock<Arc<str>>,
}

impl Config {
    /// A whole configuration, with every check.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let text = scan::text(text, scan::MAX_BYTES)?;
        scan::guard(text, scan::MAX_DEPTH)?;
        build(Draft::read(text)?)
    }

    /// `Configuration.Replace`: a whole configuration, above the current one (above 0, if there is none).
    pub fn parse_replacement(current: Option<&Config>, text: &[u8]) -> Result<Config, ConfigError> {
        let config = match current {
            Some(current) => current.parse_sharing(text)?,
            None => Config::parse(text)?,
        };
        above(config.revision, current.map_or(0, |current| current.revision))?;
        Ok(config)
    }

    /// `Configuration.Modify`: this configuration with items withdrawn, then others put in.
    pub fn modify(&self, text: &[u8]) -> Result<Config, ConfigError> {
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
        let revision = revision.ok_or_else(|| ConfigErrorKind::Missing.at(REVISION))?;
        above(revision, self.revision)?;

        let mut draft = self.body.draft.clone();
        for (list, value) in withdraw {
            let names = draft::names(value, &format!("withdraw.{list}"))?;
            draft.withdraw(&list, &names);
        }
        for (key, value, elements) in upsert {
            let place = format!("upsert.{key}");
            match elements {
                Some(elements) => {
                    let items = draft::items(&key, elements, &place)?;
                    draft.upsert(&key, items, &place)?;
                }
                None => {
                    let part = draft::part(&key, value, None, &place)?;
                    draft.set(&key, part);
                }
            }
        }
        draft.set(REVISION, Part::plain(&revision.to_string()));
        build_on(self, draft)
    }

    /// The configuration whole, as JSON without white space: to be shown and stored. It is put together when it is
    /// first asked for, and kept; [`Config::to_json`] keeps nothing.
    pub fn json(&self) -> &Arc<str> {
        self.body.text.get_or_init(|| self.to_json().into())
    }

    /// The same text, put together anew.
    pub fn to_json(&self) -> String {
        self.body.draft.text()
    }

    /// How long the text is, in bytes.
    pub fn json_length(&self) -> usize {
        self.body.draft.text_length()
    }

    /// Of the routes of that host, the one with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.body.index.find(&route::host_name(host), path)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    pub(crate) fn draft(&self) -> &Draft {
        &self.body.draft
    }

    pub(crate) fn index(&self) -> &Index {
        &self.body.index
    }

    pub(crate) fn list(&self, key: &str) -> Option<&List> {
        self.body.draft.list(key)
    }

    pub(crate) fn assemble(
        revision: u64,
        routes: Routes,
        services: Arc<Services>,
        limits: Limits,
        index: Index,
        draft: Draft,
    ) -> Config {
        let body = Arc::new(Body { draft, index, text: OnceLock::new() });
        Config { revision, routes, services, limits, body }
    }
}

fn above(revision: u64, current: u64) -> Result<(), ConfigError> {
    if revision > current {
        Ok(())
    } else {
        Err(ConfigErrorKind::StaleRevision(revision, current).at(REVISION))
    }
}

/// Equal when the texts are.
impl PartialEq for Config {
    fn eq(&self, other: &Self) -> bool {
        self.body.draft.same(&other.body.draft)
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
