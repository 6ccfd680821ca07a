//! The invariants of any bytes that a folder may contain: for the corpus, and for the fuzz target.

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::restore::restore;
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::snapshot::{decode, encode};
use mosshead_snapshot::unix_time::UnixTime;

/// When the bytes are read.
const NOW: UnixTime = UnixTime::from_millis(1_800_000_000_000);

/// Bytes are rejected, or are a snapshot that decodes to the same once it is encoded again; and whatever it contains adds no
/// target that it does not list itself.
pub(crate) fn check_invariants(bytes: &[u8]) {
    let found = decode(bytes);
    if let Ok(snapshot) = &found {
        assert_eq!(decode(&encode(snapshot)).as_ref(), Ok(snapshot));
    }
    let listed = found.as_ref().map_or(Vec::new(), |snapshot| snapshot.server_list.servers.clone());
    let given = ServerList { version: 3, is_complete: true, servers: Vec::new() };
    let restored = restore(&given, found, "n3", NOW);
    assert_eq!(restored.reports.len(), 3);
    let ready = restored.server_list.servers.iter().filter(|server| server.readiness == Readiness::Ready);
    assert!(ready.into_iter().all(|server| listed.contains(server)));
}
