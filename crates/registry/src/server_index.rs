//! An index of server ids by service and by address.

use core::net::SocketAddrV4;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::Server;

/// The index of the servers that have not been removed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerIndex {
    /// Ids by service; no set is empty.
    by_service: BTreeMap<String, BTreeSet<Arc<str>>>,
    /// Ids by address, without suspected servers; no set is empty.
    by_address: BTreeMap<SocketAddrV4, BTreeSet<Arc<str>>>,
}

impl ServerIndex {
    /// Adds a server that has not been removed.
    pub(crate) fn insert(&mut self, id: &Arc<str>, server: &Server) {
        self.by_service.entry(server.service.clone()).or_default().insert(id.clone());
        if !server.is_suspected {
            self.by_address.entry(server.address).or_default().insert(id.clone());
        }
    }

    /// Removes a server. It must have the same service and address as when it was inserted.
    pub(crate) fn remove(&mut self, id: &Arc<str>, server: &Server) {
        if let Some(ids) = self.by_service.get_mut(&server.service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(&server.service);
            }
        }
        if let Some(ids) = self.by_address.get_mut(&server.address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&server.address);
            }
        }
    }

    /// Iterates over all ids, ordered by service and id.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.by_service.values().flatten()
    }

    /// Iterates over the ids of a service, in order.
    pub(crate) fn ids_of_service(&self, service: &str) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.by_service.get(service).into_iter().flatten()
    }

    /// Iterates over the ids of the servers at an address that are not suspected, in order.
    pub(crate) fn ids_at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &Arc<str>> + '_ {
        self.by_address.get(&address).into_iter().flatten()
    }
}
