//! The servers listed by the registry, indexed by instance id and by service.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use mosshead_registry::{OperState, Server};

use crate::endpoint::Endpoint;
use crate::load_kind::{LoadKind, PerLoadKind};

/// All servers known to this proxy.
#[derive(Debug, Default)]
pub struct EndpointTable {
    by_id: HashMap<Rc<str>, Endpoint>,
    /// Sorted ids of the servers in state `up`, by service and by the kind of load that they take.
    by_service: HashMap<String, PerLoadKind<Vec<Rc<str>>>>,
}

impl EndpointTable {
    /// Replaces the registry's entries. Servers that stay listed keep their recorded state.
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

    /// Excludes a server that is no longer listed from selection. Its entry is removed only once no request of this
    /// proxy is in flight there, because the end of each request still has to be subtracted from its load.
    fn retire(&mut self, id: &str) {
        let Some(endpoint) = self.by_id.get_mut(id) else { return };
        endpoint.server.state = OperState::Removed;
        if !endpoint.has_own_work() {
            self.by_id.remove(id);
        }
    }

    /// Sorted ids of the service's servers in state `up` that take this kind of load.
    pub(crate) fn ids(&self, service: &str, kind: LoadKind) -> &[Rc<str>] {
        self.by_service.get(service).map_or(&[], |ids| ids.get(kind))
    }

    /// The endpoint with this instance id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.by_id.get_mut(id)
    }

    /// True if the service has a server in state `up` that answers its requests.
    pub fn serves(&self, service: &str) -> bool {
        !self.ids(service, LoadKind::Decode).is_empty()
    }
}
