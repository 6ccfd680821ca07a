//! What holds of any bytes that a folder may hold: for the corpus, and for the fuzz target.

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::restore::restore;
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::snapshot::{read, write};

/// The clock of whoever reads them.
const NOW: u64 = 1_800_000_000_000;

/// Bytes are turned down, or are a snapshot that reads the same once it is written again; and whatever it holds adds no target
/// that it does not list itself.
pub(crate) fn check(bytes: &[u8]) {
    let found = read(bytes);
    if let Ok(snapshot) = &found {
        assert_eq!(read(&write(snapshot)).as_ref(), Ok(snapshot));
    }
    let listed = found.as_ref().map_or(Vec::new(), |snapshot| snapshot.list.machines.clone());
    let given = ServerList { version: 3, full: true, machines: Vec::new() };
    let restored = restore(&given, found, "n3", NOW);
    assert_eq!(restored.reports.len(), 3);
    let ready = restored.list.machines.iter().filter(|machine| machine.readiness == Readiness::Ready);
    assert!(ready.into_iter().all(|machine| listed.contains(machine)));
}
