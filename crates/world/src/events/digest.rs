//! The digest of a record.

use xxhash_rust::xxh3::Xxh3;

use super::{AttemptOutcome, ClientResponse, Event, EventKind};
use crate::scenario::RepeatEffect;
use crate::world::ServerState;

/// The words of one event: its tag and up to four values. Journals compare digests over versions, so neither tags nor values
/// may change.
type EventWords = [u64; 5];

/// The digest of a record of events: equal where the records are equal.
#[derive(Clone, Default)]
pub struct Digest {
    hash: Xxh3,
    event_count: u64,
}

impl Digest {
    /// Takes an event in.
    pub fn add(&mut self, event: &Event) {
        let [tag, a, b, c, d] = words(&event.kind);
        let mut bytes = [0; 48];
        for (index, word) in [event.at.0, tag, a, b, c, d].into_iter().enumerate() {
            bytes[index * 8..][..8].copy_from_slice(&u64::to_le_bytes(word));
        }
        self.hash.update(&bytes);
        self.event_count += 1;
    }

    /// How many events it took in.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// The digest so far, in hex.
    pub fn to_hex(&self) -> String {
        format!("{:032x}", self.hash.digest128())
    }
}

fn words(kind: &EventKind) -> EventWords {
    match *kind {
        EventKind::RequestReceived { request, proxy, class, effect, deadline } => {
            [1, request.0, proxy as u64, (class as u64) << 2 | effect_word(effect), deadline.0]
        }
        EventKind::AttemptStarted { request, proxy, server, connection } => {
            [2, request.0, proxy as u64, server.0.into(), connection.0]
        }
        EventKind::AttemptWritten { request, server, connection, is_intact, deduplication_group } => {
            let group_and_intact = (deduplication_group as u64) << 1 | u64::from(is_intact);
            [3, request.0, server.0.into(), connection.0, group_and_intact]
        }
        EventKind::ServerAccepted { request, server } => [4, request.0, server.0.into(), 0, 0],
        EventKind::ServerExecuted { request, server } => [5, request.0, server.0.into(), 0, 0],
        EventKind::AttemptEnded { request, connection, outcome } => {
            [6, request.0, connection.0, outcome_word(outcome), 0]
        }
        EventKind::AttemptAbandoned { request, connection } => [7, request.0, connection.0, 0, 0],
        EventKind::ResponseSent { request, response } => {
            let [response, retry_after] = response_words(response);
            [8, request.0, response, retry_after, 0]
        }
        EventKind::ClientTimedOut { request } => [9, request.0, 0, 0, 0],
        EventKind::ServerStateNotified { proxy, server, state } => {
            [10, proxy as u64, server.0.into(), state_word(state), 0]
        }
        EventKind::ServerStarted { server } => [11, server.0.into(), 0, 0, 0],
        EventKind::ServerEnded { server } => [12, server.0.into(), 0, 0, 0],
        EventKind::ServerCollapsed { server } => [13, server.0.into(), 0, 0, 0],
        EventKind::ServerCongested { server } => [14, server.0.into(), 0, 0, 0],
        EventKind::ProxyStarted { proxy } => [15, proxy as u64, 0, 0, 0],
        EventKind::ProxyStopped { proxy, expected } => [16, proxy as u64, expected.into(), 0, 0],
        EventKind::ProxyMisbehaved { proxy, description } => {
            [17, proxy as u64, description.len() as u64, 0, 0]
        }
        EventKind::ProxyPaused { proxy } => [18, proxy as u64, 0, 0, 0],
        EventKind::ProxyResumed { proxy } => [19, proxy as u64, 0, 0, 0],
        EventKind::LinkFaultChanged { index, is_active } => [20, index as u64, is_active.into(), 0, 0],
    }
}

fn effect_word(effect: RepeatEffect) -> u64 {
    match effect {
        RepeatEffect::Safe => 0,
        RepeatEffect::Unsafe => 1,
        RepeatEffect::Keyed => 2,
    }
}

fn outcome_word(outcome: AttemptOutcome) -> u64 {
    match outcome {
        AttemptOutcome::Served => 0,
        AttemptOutcome::Errored => 1,
        AttemptOutcome::Rejected => 2,
        AttemptOutcome::Reset => 3,
        AttemptOutcome::Corrupted => 4,
    }
}

/// The response, and what a rejection asks to wait.
fn response_words(response: ClientResponse) -> [u64; 2] {
    match response {
        ClientResponse::Served => [0, 0],
        ClientResponse::Forged => [1, 0],
        ClientResponse::Rejected(retry_after) => [2, retry_after.0],
        ClientResponse::Failed => [3, 0],
        ClientResponse::Aborted => [4, 0],
    }
}

fn state_word(state: ServerState) -> u64 {
    match state {
        ServerState::Serving => 0,
        ServerState::Draining => 1,
        ServerState::Deleted => 2,
    }
}
