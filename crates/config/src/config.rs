//! A valid configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, OnceLock};

use crate::document::Document;
use crate::item_list::ItemList;
use crate::limits::Limits;
use crate::route::{Route, normalize_host};
use crate::route_table::RouteTable;
use crate::routes::Routes;
use crate::service::Service;

/// Services by name.
pub(crate) type Services = BTreeMap<String, Arc<Service>>;

/// A configuration that passed every check.
///
/// Clones share all of it. One that was made from another by a change or a patch shares with it all that has not
/// changed.
#[derive(Clone)]
pub struct Config {
    revision: u64,
    routes: Routes,
    services: Arc<Services>,
    limits: Limits,
    content: Arc<Content>,
}

/// What is read from a document when it is validated.
pub(crate) struct ValidatedParts {
    pub(crate) revision: u64,
    pub(crate) limits: Limits,
    pub(crate) services: Arc<Services>,
    pub(crate) routes: Routes,
    pub(crate) route_table: RouteTable,
}

struct Content {
    document: Document,
    route_table: RouteTable,
    /// The document as text, once it was built.
    json: OnceLock<Arc<str>>,
}

impl Config {
    /// Puts together what a validation has found; nothing is checked here.
    pub(crate) fn new(parts: ValidatedParts, document: Document) -> Config {
        let ValidatedParts { revision, limits, services, routes, route_table } = parts;
        let content = Arc::new(Content { document, route_table, json: OnceLock::new() });
        Config { revision, routes, services, limits, content }
    }

    /// Its revision; a configuration replaces only one with a lower revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Its routes, in the operator's order.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Its services by name; contains every service that a route names.
    pub fn services(&self) -> &Arc<BTreeMap<String, Arc<Service>>> {
        &self.services
    }

    /// The bounds for clients.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The complete configuration as JSON without white space, to be shown and stored. It is built when it is first
    /// used, and kept.
    pub fn json(&self) -> &Arc<str> {
        self.content.json.get_or_init(|| self.to_json().into())
    }

    /// Builds the text of [`Config::json`], and keeps nothing.
    pub fn to_json(&self) -> String {
        self.content.document.to_json()
    }

    /// The length of the text in bytes, without building it.
    pub fn json_length(&self) -> usize {
        self.content.document.json_length()
    }

    /// Finds the route of a request: of the routes of its host, the one with the longest prefix that begins the path
    /// (PROTOCOL.md, "Requests"). The host may have a port, the path a query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.content.route_table.find(&normalize_host(host), path)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    pub(crate) fn document(&self) -> &Document {
        &self.content.document
    }

    pub(crate) fn route_table(&self) -> &RouteTable {
        &self.content.route_table
    }

    /// The list in a top-level field, if it contains one.
    pub(crate) fn list(&self, key: &str) -> Option<&ItemList> {
        self.content.document.list(key)
    }
}

/// Two configurations are equal when their texts are.
impl PartialEq for Config {
    fn eq(&self, other: &Self) -> bool {
        self.content.document.has_same_text(&other.content.document)
    }
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("revision", &self.revision)
            .field("routes", &self.routes.len())
            .field("services", &self.services.len())
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
