//! All servers that the registry lists, by id and by service.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use mosshead_registry::{OperState, Server};

use crate::endpoint::Endpoint;
use crate::load_kind::{LoadKind, PerLoadKind};

/// All endpoints that this proxy knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: HashMap<Rc<str>, Endpoint>,
    /// Ids of the servers in state `up`, sorted, by service and by the load that they take.
    by_service: HashMap<String, PerLoadKind<Vec<Rc<str>>>>,
}

impl EndpointTable {
    /// Takes the registry's present entries. What is known of servers that stay is kept.
    pub(crate) fn update<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let mut by_service: HashMap<String, PerLoadKind<Vec<Rc<str>>>> = HashMap::new();
        let mut missing: HashSet<Rc<str>> = self.by_id.keys().cloned().collect();
        for server in servers.filter(|server| server.state != OperState::Removed) {
            let id = self.upsert(server);
            missing.remove(&id);
            if server.state == OperState::Up {
                let ids = by_service.entry(server.service.clone()).or_default();
                ids.get_mut(LoadKind::of_stage(server.stage)).push(id);
            }
        }
        for id in missing {
            self.retire(&id);
        }
        for ids in by_service.values_mut() {
            ids.prefill.sort();
            ids.decode.sort();
        }
        self.by_service = by_service;
    }

    fn upsert(&mut self, server: &Server) -> Rc<str> {
        if let Some(endpoint) = self.by_id.get_mut(server.id.as_str()) {
            if endpoint.server != *server {
                endpoint.server = server.clone();
            }
            return endpoint.id.clone();
        }
        let endpoint = Endpoint::new(server);
        let id = endpoint.id.clone();
        self.by_id.insert(id.clone(), endpoint);
        id
    }

    /// Takes a server that is no longer listed out of the selection. It is removed only once no request of this proxy
    /// is in flight there: the load of those must still be taken off when they end.
    fn retire(&mut self, id: &str) {
        let Some(endpoint) = self.by_id.get_mut(id) else { return };
        endpoint.server.state = OperState::Removed;
        if !endpoint.has_own_work() {
            self.by_id.remove(id);
        }
    }

    /// Ids of the service's servers that take this kind of load, sorted.
    pub(crate) fn ids(&self, service: &str, kind: LoadKind) -> &[Rc<str>] {
        self.by_service.get(service).map_or(&[], |ids| ids.get(kind))
    }

    /// The endpoint with this id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.by_id.get_mut(id)
    }

    /// Whether any server can answer requests of the service.
    pub fn serves(&self, service: &str) -> bool {
        !self.ids(service, LoadKind::Decode).is_empty()
    }
}
