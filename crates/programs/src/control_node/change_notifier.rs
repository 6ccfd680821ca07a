//! Wakes the long polls that wait for a change.

use tokio::sync::watch;

/// Notifies waiting calls of changes. Subscribers watch a counter of the changes, but use only that it has changed.
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
