//! The board: one entry for each ready server of each part, with what this proxy has open there.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use mosshead_load_board::Entry;
use mosshead_registry::{OperState, Server, Stage};

use crate::outlier::OutlierRecord;

/// What a send adds to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// It reads a prompt for another.
    Reads,
    /// It generates, or does work without an engine.
    Runs,
}

/// One server as this proxy sees it.
#[derive(Debug)]
pub struct Endpoint {
    /// What the register says.
    pub server: Server,
    /// Its id, shared.
    pub id: Rc<str>,
    /// Requests of this proxy that run there.
    pub open: Entry,
    /// Prompt tokens of this proxy that it still has to read.
    pub unread: f64,
    /// Prompts that it reads for others: its last figure and own sends since.
    pub reading: Entry,
    /// Those of them that are this proxy's own.
    pub own_reading: f64,
    /// When that figure was had.
    pub figure_at: u64,
    /// When it last answered anything.
    pub heard_at: u64,
    /// What sends there have shown.
    pub evidence: OutlierRecord,
    /// Until when its handles are not trusted.
    pub lapses_until: u64,
    /// The last shared parts of prompts that this proxy had read there, newest last.
    pub(crate) kept: VecDeque<u64>,
    /// The hash of its id.
    pub(crate) hash: u64,
}

/// So many parts are remembered for a server.
const KEPT: usize = 256;

impl Endpoint {
    /// It has read a prompt with this part.
    pub(crate) fn keeps(&mut self, part: u64) {
        self.kept.retain(|kept| *kept != part);
        self.kept.push_back(part);
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }
}

/// Spreads the bits of a number (splitmix64's finisher).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// FNV-1a.
pub(crate) fn hash(text: &[u8]) -> u64 {
    mix(text.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// All servers, by service and part.
#[derive(Debug, Default)]
pub struct EndpointTable {
    pub(crate) all: HashMap<Rc<str>, Endpoint>,
    pub(crate) parts: HashMap<String, [Vec<Rc<str>>; 2]>,
}

impl EndpointTable {
    /// Takes the register's present list. What is known of servers that stay is kept.
    pub fn update_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let mut parts: HashMap<String, [Vec<Rc<str>>; 2]> = HashMap::new();
        let mut gone: std::collections::HashSet<Rc<str>> = self.all.keys().cloned().collect();
        for server in servers {
            if server.state == OperState::Removed {
                continue;
            }
            let id: Rc<str> = match self.all.get_key_value(server.id.as_str()) {
                Some((id, _)) => id.clone(),
                None => Rc::from(server.id.as_str()),
            };
            gone.remove(&id);
            let candidate = self.all.entry(id.clone()).or_insert_with(|| Endpoint {
                server: server.clone(),
                id: id.clone(),
                open: Entry::default(),
                unread: 0.0,
                reading: Entry::default(),
                own_reading: 0.0,
                figure_at: 0,
                heard_at: 0,
                evidence: OutlierRecord::default(),
                lapses_until: 0,
                kept: VecDeque::new(),
                hash: hash(server.id.as_bytes()),
            });
            if candidate.server != *server {
                candidate.server = server.clone();
            }
            if server.state == OperState::Up {
                let part = usize::from(server.stage == Some(Stage::Prefill));
                parts.entry(server.service.clone()).or_default()[part].push(id);
            }
        }
        for id in gone {
            // Danger: a server with requests out is still counted down when they end; it is only no candidate.
            if let Some(candidate) = self.all.get_mut(&id) {
                candidate.server.state = OperState::Removed;
                if candidate.open.value() <= 0.0 && candidate.unread <= 0.0 {
                    self.all.remove(&id);
                }
            }
        }
        parts.values_mut().for_each(|sides| sides.iter_mut().for_each(|side| side.sort()));
        self.parts = parts;
    }

    /// The servers of a service that may be sent to, by part.
    pub(crate) fn side(&self, service: &str, side: LoadKind) -> &[Rc<str>] {
        self.parts.get(service).map_or(&[], |parts| &parts[usize::from(side == LoadKind::Reads)])
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.all.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.all.get_mut(id)
    }

    /// Whether any server of the service may be sent to.
    pub fn serves(&self, service: &str) -> bool {
        !self.side(service, LoadKind::Runs).is_empty()
    }
}
