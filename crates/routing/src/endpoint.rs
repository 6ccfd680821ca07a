//! One server as this proxy sees it: the registry's entry, the load that this proxy put there, and what its attempts
//! showed.

use std::collections::VecDeque;
use std::rc::Rc;

use mosshead_load_board::ServerLoad;
use mosshead_registry::{OperState, Server};
use mosshead_time::Instant;

use crate::affinity::hash_id;
use crate::outlier::OutlierRecord;

/// How many shared prompt parts are remembered for a server.
const MAX_CACHED_PARTS: usize = 256;

/// One server as this proxy sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// The registry's newest entry.
    pub server: Server,
    /// The server's instance id, shared by all who name it.
    pub(crate) id: Rc<str>,
    /// Hash of the id, the same in every proxy.
    pub(crate) id_hash: u64,
    /// Requests of this proxy in flight there to run: streams at a decode server. Prefills for another server do not count.
    pub(crate) in_flight: ServerLoad,
    /// Prompt tokens of this proxy that the server still has to prefill.
    pub(crate) pending_prefill_tokens: f64,
    /// Prompts that the server prefills for all proxies: its last load report and what this proxy sent since.
    pub(crate) prefill_load: ServerLoad,
    /// Prompts that the server prefills for this proxy; never negative.
    pub(crate) own_prefills: f64,
    /// When the last load report arrived; the origin of the clock where none ever did.
    pub(crate) load_reported_at: Instant,
    /// When the last byte of any response arrived; the origin of the clock where none ever did.
    pub(crate) last_received_at: Instant,
    /// What this proxy's attempts showed.
    pub(crate) outlier: OutlierRecord,
    /// Until then no prompt is prefilled there for another server: a handle of this server could not be fetched.
    pub(crate) handles_distrusted_until: Instant,
    /// Ids of the shared prompt parts that this proxy had prefilled there most recently, the newest last.
    cached_parts: VecDeque<u64>,
}

impl Endpoint {
    /// A server of which this proxy knows only the registry's entry.
    pub(crate) fn new(server: &Server) -> Self {
        Self {
            server: server.clone(),
            id: Rc::from(server.id.as_str()),
            id_hash: hash_id(server.id.as_bytes()),
            in_flight: ServerLoad::default(),
            pending_prefill_tokens: 0.0,
            prefill_load: ServerLoad::default(),
            own_prefills: 0.0,
            load_reported_at: Instant::ORIGIN,
            last_received_at: Instant::ORIGIN,
            outlier: OutlierRecord::default(),
            handles_distrusted_until: Instant::ORIGIN,
            cached_parts: VecDeque::new(),
        }
    }

    /// Whether the server is up and neither suspected nor ejected, and no trial request is in flight there.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.server.state == OperState::Up && !self.server.is_suspected && self.outlier.is_selectable(now)
    }

    /// Whether requests of this proxy are still in flight there.
    pub(crate) fn has_own_work(&self) -> bool {
        self.in_flight.estimate() > 0.0 || self.pending_prefill_tokens > 0.0
    }

    /// Whether the server has likely kept this prompt part in its prefix cache.
    pub(crate) fn has_cached(&self, part_id: u64) -> bool {
        self.cached_parts.contains(&part_id)
    }

    /// Remembers that the server was given a prompt with this shared part.
    pub(crate) fn remember_part(&mut self, part_id: u64) {
        self.cached_parts.retain(|cached| *cached != part_id);
        self.cached_parts.push_back(part_id);
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.pop_front();
        }
    }
}
