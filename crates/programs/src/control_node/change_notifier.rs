//! Wakes the calls that wait for something new.

use tokio::sync::watch;

/// Counts the changes of what the node serves; calls that wait subscribe to the count. Only that it grows is of use.
#[derive(Debug)]
pub(super) struct ChangeNotifier {
    changes: watch::Sender<u64>,
}

impl Default for ChangeNotifier {
    fn default() -> ChangeNotifier {
        ChangeNotifier { changes: watch::Sender::new(0) }
    }
}

impl ChangeNotifier {
    pub(super) fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
