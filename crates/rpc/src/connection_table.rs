//! Tracks the open connections of a server, to close the least recently used idle one when there are too many.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::task::{AbortHandle, Id};

/// Numbers the uses of all connections of a server, to find the least recently used one.
#[derive(Clone, Default)]
pub(crate) struct UseCounter(Rc<Cell<u64>>);

impl UseCounter {
    fn next(&self) -> u64 {
        self.0.set(self.0.get().saturating_add(1));
        self.0.get()
    }
}

/// The state that a connection's task shares with the table.
pub(crate) struct ConnectionActivity {
    /// True while a call is handled.
    is_busy: Cell<bool>,
    /// The [`UseCounter`]'s number at the end of the last call or, before the first call, at the opening.
    last_use: Cell<u64>,
    counter: UseCounter,
}

impl ConnectionActivity {
    /// Creates the activity of a new connection.
    pub(crate) fn new(counter: &UseCounter) -> Rc<ConnectionActivity> {
        let last_use = Cell::new(counter.next());
        Rc::new(ConnectionActivity { is_busy: Cell::new(false), last_use, counter: counter.clone() })
    }

    /// Records that a call has arrived.
    pub(crate) fn begin_call(&self) {
        self.is_busy.set(true);
    }

    /// Records that the response to the call is ready.
    pub(crate) fn end_call(&self) {
        self.last_use.set(self.counter.next());
        self.is_busy.set(false);
    }
}

struct OpenConnection {
    activity: Rc<ConnectionActivity>,
    task: AbortHandle,
}

/// The open connections, by the id of their task.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    connections: HashMap<Id, OpenConnection>,
}

impl ConnectionTable {
    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn insert(&mut self, activity: Rc<ConnectionActivity>, task: AbortHandle) {
        self.connections.insert(task.id(), OpenConnection { activity, task });
    }

    pub(crate) fn remove(&mut self, id: Id) {
        self.connections.remove(&id);
    }

    /// Closes the least recently used idle connection. Returns false if all are busy.
    pub(crate) fn close_least_recently_used(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| !connection.activity.is_busy.get());
        let oldest = idle.min_by_key(|(_, connection)| connection.activity.last_use.get());
        let oldest = oldest.map(|(id, _)| *id);
        let Some(connection) = oldest.and_then(|id| self.connections.remove(&id)) else {
            return false;
        };
        connection.task.abort();
        true
    }
}
