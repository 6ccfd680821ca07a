//! The validated configuration.

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
/// Clones share all data. A configuration that was made from another one by a change or a patch shares the unchanged
/// data with it.
#[derive(Clone)]
pub struct Config {
    revision: u64,
    routes: Routes,
    services: Arc<Services>,
    limits: Limits,
    content: Arc<Content>,
}

/// The data that validation reads from a document.
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
    /// The document as text, built on first use.
    json: OnceLock<Arc<str>>,
}

impl Config {
    /// Creates a configuration from the result of a validation, without further checks.
    pub(crate) fn new(parts: ValidatedParts, document: Document) -> Config {
        let ValidatedParts { revision, limits, services, routes, route_table } = parts;
        let content = Arc::new(Content { document, route_table, json: OnceLock::new() });
        Config { revision, routes, services, limits, content }
    }

    /// The revision. A configuration replaces only one with a lower revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The routes, in the operator's order.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    /// The services by name, including every service that a route names.
    pub fn services(&self) -> &Arc<BTreeMap<String, Arc<Service>>> {
        &self.services
    }

    /// The limits for clients.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The complete configuration as JSON without white space, for display and storage. It is built on first use and
    /// cached.
    pub fn json(&self) -> &Arc<str> {
        self.content.json.get_or_init(|| self.to_json().into())
    }

    /// Builds the text of [`Config::json`] without caching it.
    pub fn to_json(&self) -> String {
        self.content.document.to_json()
    }

    /// The length of [`Config::json`] in bytes, without building the text.
    pub fn json_length(&self) -> usize {
        self.content.document.json_length()
    }

    /// Finds the route of a request: among the routes of its host, the one with the longest matching path prefix
    /// (PROTOCOL.md, "Requests"). The host may include a port, and the path a query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.content.route_table.find(&normalize_host(host), path)
    }

    /// The service with this name.
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

/// Two configurations are equal if their texts are equal.
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
