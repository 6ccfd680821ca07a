//! What a proxy knows of servers by the lists that it has received.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mosshead_world::Time;

use crate::link_record::ReceivedEntry;

#[derive(Clone, Copy, Debug)]
pub(super) struct KnownServer {
    pub(super) address: SocketAddr,
    pub(super) is_serving: bool,
    /// Since when the proxy knows whether it serves.
    pub(super) since: Time,
}

/// The servers that one incarnation of a proxy knows, by id.
#[derive(Debug, Default)]
pub(super) struct KnownServers(BTreeMap<String, KnownServer>);

impl KnownServers {
    /// A list has been received. Servers that a full list does not name have ended.
    pub(super) fn apply_list(&mut self, at: Time, is_full: bool, entries: &[ReceivedEntry]) {
        if is_full {
            for (id, known) in &mut self.0 {
                if known.is_serving && entries.iter().all(|entry| entry.id != *id) {
                    known.is_serving = false;
                    known.since = at;
                }
            }
        }
        for entry in entries {
            let unchanged = self.0.get(&entry.id).filter(|known| known.is_serving == entry.is_serving);
            let since = unchanged.map_or(at, |known| known.since);
            let known = KnownServer { address: entry.address, is_serving: entry.is_serving, since };
            self.0.insert(entry.id.clone(), known);
        }
    }

    /// The servers that are known at an address, with their ids.
    pub(super) fn at_address(
        &self,
        address: SocketAddr,
    ) -> impl Iterator<Item = (&str, &KnownServer)> + Clone {
        let known = self.0.iter().filter(move |(_, known)| known.address == address);
        known.map(|(id, known)| (id.as_str(), known))
    }

    pub(super) fn servers_mut(&mut self) -> impl Iterator<Item = &mut KnownServer> {
        self.0.values_mut()
    }

    pub(super) fn into_entries(self) -> impl Iterator<Item = (String, KnownServer)> {
        self.0.into_iter()
    }
}
