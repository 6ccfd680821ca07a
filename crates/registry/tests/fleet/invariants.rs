//! The invariants that are checked in each run.

use std::collections::BTreeMap;

use mosshead_registry::{Entry, OperState, Registry, Server};
use mosshead_time::{Duration, Instant};

use crate::common::assert_consistent;
use crate::fleet::{FAULTS_END, Fleet};
use crate::servers::Lifecycle;

/// The time after the acknowledgement within which every proxy must know a draining state.
const MAX_DRAINING_DELAY: Duration = Duration::from_secs(2);

impl Fleet {
    /// Asserts that a server which a proxy has known as draining is never up there again.
    pub(crate) fn assert_draining_is_never_reverted(&mut self, now: Instant, proxy_index: usize) {
        let drained_servers = &mut self.drained_servers[proxy_index];
        for Entry { server, .. } in self.proxies[proxy_index].entries() {
            if server.state == OperState::Draining {
                drained_servers.insert(server.id.clone());
            }
            assert!(
                server.state != OperState::Up || !drained_servers.contains(&server.id),
                "seed {}: at {now} {} is up again",
                self.seed,
                server.id
            );
        }
    }

    /// Asserts that, once the faults have ended, every proxy knows an acknowledged draining state within
    /// [`MAX_DRAINING_DELAY`].
    pub(crate) fn assert_draining_is_known(&self, now: Instant) {
        for server in &self.servers {
            if let Lifecycle::Draining { acknowledged: Some(acknowledged_at) } = server.lifecycle
                && now > acknowledged_at.max(FAULTS_END) + MAX_DRAINING_DELAY
            {
                for proxy in &self.proxies {
                    assert!(
                        proxy.get(&server.reported.id).is_some_and(|known| known.state != OperState::Up),
                        "seed {}: at {now} {} is not known to be draining",
                        self.seed,
                        server.reported.id
                    );
                }
            }
        }
    }

    /// Asserts that all registries agree with each other and with the servers.
    pub(crate) fn assert_converged(&self) {
        let live = |registry: &Registry| -> BTreeMap<String, Server> {
            registry.servers().map(|server| (server.id.clone(), server.clone())).collect()
        };
        let first = live(&self.control_nodes[0]);
        for registry in self.control_nodes.iter().chain(&self.proxies) {
            assert_consistent(registry);
            assert_eq!(live(registry), first, "seed {}", self.seed);
            assert_eq!(registry.fingerprint(), self.control_nodes[0].fingerprint(), "seed {}", self.seed);
            assert!(registry.vector().len() <= 24, "seed {}: {:?}", self.seed, registry.vector());
        }
        for server in &self.servers {
            let id = &server.reported.id;
            match server.lifecycle {
                Lifecycle::Ended(_) => assert!(!first.contains_key(id), "seed {}: {id}", self.seed),
                _ => {
                    let known =
                        first.get(id).unwrap_or_else(|| panic!("seed {}: {id} is missing", self.seed));
                    let expected = Server { sequence: known.sequence, ..server.reported.clone() };
                    assert_eq!(known, &expected, "seed {}", self.seed);
                }
            }
        }
    }
}
