//! One server as this proxy sees it: the registry's entry, the load from this proxy, and the results of its
//! attempts.

use std::collections::VecDeque;
use std::rc::Rc;

use mosshead_load_board::ServerLoad;
use mosshead_registry::{OperState, Server};
use mosshead_time::Instant;

use crate::affinity::hash_id;
use crate::outlier::OutlierRecord;

/// How many shared prompt parts are remembered per server; the least recently sent one is dropped first.
const MAX_CACHED_PARTS: usize = 256;

/// One server as this proxy sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// The newest entry of the registry.
    pub server: Server,
    /// The server's instance id, shared with the collections that refer to the server.
    pub(crate) id: Rc<str>,
    /// Hash of the instance id; the same in every proxy.
    pub(crate) id_hash: u64,
    /// This proxy's requests that run on the server, such as streams on a decode server. Prefills for another
    /// server do not count.
    pub(crate) in_flight: ServerLoad,
    /// Prompt tokens that this proxy has sent to the server and that are not yet prefilled.
    pub(crate) pending_prefill_tokens: f64,
    /// Prompts that the server prefills for all proxies: its last load report plus what this proxy has sent since.
    pub(crate) prefill_load: ServerLoad,
    /// Prompts that the server prefills for this proxy; never negative.
    pub(crate) own_prefills: f64,
    /// When the last load report arrived; [`Instant::ORIGIN`] if there was none.
    pub(crate) load_reported_at: Instant,
    /// When the last byte of any response arrived; [`Instant::ORIGIN`] if there was none.
    pub(crate) last_received_at: Instant,
    /// The ejection state, which follows from the results of this proxy's attempts.
    pub(crate) outlier: OutlierRecord,
    /// Until this instant the server gets no handovers, because one of its handles could not be fetched.
    pub(crate) handovers_suspended_until: Instant,
    /// Ids of the shared prompt parts that this proxy has most recently sent to the server for prefill, the
    /// newest last.
    cached_parts: VecDeque<u64>,
}

impl Endpoint {
    /// Creates an endpoint from the registry's entry, without any load or history.
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
            handovers_suspended_until: Instant::ORIGIN,
            cached_parts: VecDeque::new(),
        }
    }

    /// True if the server is up, is neither suspected nor ejected, and has no trial request in flight.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.server.state == OperState::Up && !self.server.is_suspected && self.outlier.is_selectable(now)
    }

    /// True if requests of this proxy are still in flight on the server.
    pub(crate) fn has_own_work(&self) -> bool {
        self.in_flight.estimate() > 0.0 || self.pending_prefill_tokens > 0.0
    }

    /// True if the server has probably kept this prompt part in its prefix cache.
    pub(crate) fn has_cached(&self, part_id: u64) -> bool {
        self.cached_parts.contains(&part_id)
    }

    /// Records that the server was sent a prompt with this shared part for prefill.
    pub(crate) fn record_cached_part(&mut self, part_id: u64) {
        self.cached_parts.retain(|cached| *cached != part_id);
        self.cached_parts.push_back(part_id);
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.pop_front();
        }
    }
}
