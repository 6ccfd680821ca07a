//! Handles the heartbeats and deregistrations that servers send to this process.

use std::sync::Arc;

use mosshead_time::Instant;

use crate::server::DEREGISTERED_SEQUENCE;
use crate::{OperState, RegistrationError, Registry, Server, SourceId};

/// If the registry has entries of more sources than this, and a server sends a heartbeat whose entry comes
/// from a source without recent contact, this process publishes that entry again. This bounds the version
/// vector.
const REPUBLISHING_THRESHOLD: usize = 16;

/// The effect of an accepted heartbeat or deregistration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// True if the entry of the server has changed and was published under a new version.
    pub changed: bool,
    /// True if the server is draining or removed, and no other process is known to have stored that. The
    /// entry must be replicated to another control node before the heartbeat is acknowledged (see
    /// [`Registry::mark_replicated`]). Until then, repeats of the heartbeat report this again.
    pub needs_replication: bool,
    /// True if the sequence number of the heartbeat is below a known one, so that it changed nothing.
    pub is_outdated: bool,
}

impl Registry {
    /// Records a heartbeat that this process received.
    ///
    /// # Errors
    ///
    /// The heartbeat was rejected. The registry is unchanged.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        mut server: Server,
    ) -> Result<HeartbeatOutcome, RegistrationError> {
        server.validate()?;
        server.is_suspected = false;
        server.sequence = server.sequence.min(DEREGISTERED_SEQUENCE - 1);
        let Some(record) = self.records.get_mut(server.id.as_str()) else {
            return self.record_first_heartbeat(now, server);
        };
        if server.sequence < record.last_sequence {
            let needs_replication = self.needs_replication(&server.id);
            return Ok(HeartbeatOutcome { is_outdated: true, needs_replication, changed: false });
        }
        let known = &record.entry.server;
        // A repeated sequence number counts only if the heartbeat reports a state closer to `Removed`.
        if server.sequence == record.last_sequence && server.state <= known.state {
            return Ok(self.unchanged_outcome(&server.id));
        }
        let has_same_properties = known.has_same_properties(&server);
        let has_moved = known.address != server.address;
        record.raise_sequence(now, server.sequence, self.local_id);
        record.last_local_heartbeat_at = Some(now);
        let (source, version) = (record.entry.source, record.entry.version);
        // An entry above the known version of its source is not sent to other processes, so this process
        // publishes it again, even if the heartbeat changes nothing.
        if has_same_properties
            && version <= self.sources.known_version(source)
            && !self.needs_republishing(now, source)
        {
            return Ok(self.unchanged_outcome(&server.id));
        }
        let id = server.id.clone();
        self.publish(now, server);
        if has_moved {
            self.suspect_others_at_address(now, &id);
        }
        Ok(self.changed_outcome(&id))
    }

    fn record_first_heartbeat(
        &mut self,
        now: Instant,
        server: Server,
    ) -> Result<HeartbeatOutcome, RegistrationError> {
        if self.is_full() && !server.is_removed() {
            return Err(RegistrationError::RegistryFull);
        }
        let id = server.id.clone();
        self.publish(now, server);
        if let Some(record) = self.records.get_mut(id.as_str()) {
            record.last_local_heartbeat_at = Some(now);
        }
        self.suspect_others_at_address(now, &id);
        Ok(self.changed_outcome(&id))
    }

    /// Removes a server. Later heartbeats of this instance are treated as outdated.
    ///
    /// # Errors
    ///
    /// The id is empty or too long. The registry is unchanged.
    pub fn deregister(&mut self, now: Instant, id: &str) -> Result<HeartbeatOutcome, RegistrationError> {
        let mut server = match self.get(id) {
            Some(server) if server.sequence == DEREGISTERED_SEQUENCE && server.is_removed() => {
                return Ok(self.unchanged_outcome(id));
            }
            Some(server) => server.clone(),
            None => Server::deregistered(id),
        };
        server.validate()?;
        server.state = OperState::Removed;
        server.is_suspected = false;
        server.sequence = DEREGISTERED_SEQUENCE;
        self.publish(now, server);
        Ok(self.changed_outcome(id))
    }

    fn unchanged_outcome(&self, id: &str) -> HeartbeatOutcome {
        let needs_replication = self.needs_replication(id);
        HeartbeatOutcome { needs_replication, ..HeartbeatOutcome::default() }
    }

    fn changed_outcome(&self, id: &str) -> HeartbeatOutcome {
        HeartbeatOutcome { changed: true, ..self.unchanged_outcome(id) }
    }

    /// Returns true if there are so many sources that entries of this one are published again by this
    /// process.
    fn needs_republishing(&self, now: Instant, source: SourceId) -> bool {
        self.sources.len() > REPUBLISHING_THRESHOLD
            && !self.sources.has_recent_contact(now, source)
            && source != self.local_id
    }

    /// Suspects the other servers at the address of a server that has started there or moved to it: they have
    /// ended.
    fn suspect_others_at_address(&mut self, now: Instant, id: &str) {
        let Some(server) = self.get(id).filter(|server| !server.is_removed()) else { return };
        let others: Vec<Arc<str>> =
            self.index.ids_at_address(server.address).filter(|other| &***other != id).cloned().collect();
        for other in others {
            self.publish_change(now, &other, |server| server.is_suspected = true);
        }
    }
}
