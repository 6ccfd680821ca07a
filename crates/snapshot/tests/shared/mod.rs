//! Invariants that hold for any bytes in a snapshot file, for the corpus test and the fuzz target.

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::restore::restore;
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::snapshot::{decode, encode};
use mosshead_snapshot::unix_time::UnixTime;

/// The time at which the bytes are read.
const NOW: UnixTime = UnixTime::from_millis(1_800_000_000_000);

/// The bytes either are rejected or decode to a snapshot that is unchanged by encoding and decoding it again. In either
/// case they add no target that the snapshot does not list.
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
