//! Discovery: one service of fixed capacity for all proxies, whose list is late, and which can be down.

use std::collections::VecDeque;

use crate::Time;
use crate::world::{ListEntry, ListResponse, ServerState};

/// Discovery remembers so many changes; a caller that is further behind gets the complete list.
const MAX_REMEMBERED_CHANGES: usize = 4096;

/// A proxy's call for the list. The host numbers the calls of each proxy; a number is not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// Index of the calling proxy.
    pub proxy: usize,
    /// The host's number for the call.
    pub number: u64,
    /// The version that the caller has; changes since then are enough for it. `None` asks for the complete list.
    pub known_version: Option<u64>,
    /// How long discovery may hold the call open until there is a change.
    pub max_wait: Time,
}

/// A call that has finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedCall {
    /// The call.
    pub call: DiscoveryCall,
    /// The response, or `None` where the call failed.
    pub response: Option<ListResponse>,
}

impl FinishedCall {
    fn failed(call: DiscoveryCall) -> Self {
        Self { call, response: None }
    }
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// The version of the list that it led to.
    version: u64,
    entry: ListEntry,
}

/// A complete list with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedList {
    /// Rises with each change of the list.
    pub version: u64,
    /// All listed servers.
    pub entries: Vec<ListEntry>,
}

/// How discovery serves calls.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTiming {
    /// How long it works on a call. Without effect where `is_pushed`.
    pub time_per_call: Time,
    /// A call that has waited longer for its turn fails.
    pub call_timeout: Time,
    /// An agent on the machine of each proxy responds at no cost; while discovery is down, it holds calls open.
    pub is_pushed: bool,
}

/// A call that is held open until there is a change, or `until`.
#[derive(Clone, Copy, Debug)]
struct ParkedCall {
    until: Time,
    call: DiscoveryCall,
}

/// A call that waits for its turn.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    arrived_at: Time,
    call: DiscoveryCall,
}

/// The service. Finished calls are appended to the list that each method takes.
#[derive(Clone, Debug)]
pub struct Discovery {
    list: VersionedList,
    /// Recent changes, the oldest first.
    changes: VecDeque<Change>,
    queue: VecDeque<QueuedCall>,
    /// When the first call of the queue is worked through.
    busy_until: Time,
    parked: Vec<ParkedCall>,
    timing: DiscoveryTiming,
    is_down: bool,
    /// The older state that it serves after it was restored from a backup.
    backup: Option<VersionedList>,
}

impl Discovery {
    /// A service that shows these entries as version 1.
    pub fn new(entries: Vec<ListEntry>, timing: DiscoveryTiming) -> Self {
        let time_per_call = if timing.is_pushed { Time::ZERO } else { timing.time_per_call };
        Self {
            list: VersionedList { version: 1, entries },
            changes: VecDeque::new(),
            queue: VecDeque::new(),
            busy_until: Time::ZERO,
            parked: Vec::new(),
            timing: DiscoveryTiming { time_per_call, ..timing },
            is_down: false,
            backup: None,
        }
    }

    /// The current list, also while a backup is served.
    pub fn list(&self) -> &VersionedList {
        &self.list
    }

    /// From now on responds from a backup, or with `None` again from all that it has learned meanwhile. Held calls finish.
    pub fn restore(&mut self, backup: Option<VersionedList>, finished: &mut Vec<FinishedCall>) {
        self.backup = backup;
        self.finish_parked_calls(finished);
    }

    /// A change enters the list. Held calls finish.
    pub fn apply_change(&mut self, change: ListEntry, finished: &mut Vec<FinishedCall>) {
        self.list.version += 1;
        self.list.entries.retain(|entry| entry.server != change.server);
        if change.state != ServerState::Deleted {
            self.list.entries.push(change);
            self.list.entries.sort_by_key(|entry| entry.server);
        }
        self.changes.push_back(Change { version: self.list.version, entry: change });
        if self.changes.len() > MAX_REMEMBERED_CHANGES {
            self.changes.pop_front();
        }
        if !self.is_down && self.backup.is_none() {
            self.finish_parked_calls(finished);
        }
    }

    fn finish_parked_calls(&mut self, finished: &mut Vec<FinishedCall>) {
        for ParkedCall { call, .. } in std::mem::take(&mut self.parked) {
            finished.push(self.respond(call));
        }
    }

    /// A call arrives.
    pub fn accept_call(&mut self, now: Time, call: DiscoveryCall, finished: &mut Vec<FinishedCall>) {
        if self.is_down && self.timing.is_pushed {
            return self.parked.push(ParkedCall { until: now + call.max_wait, call });
        }
        if self.is_down {
            return finished.push(FinishedCall::failed(call));
        }
        self.queue.push_back(QueuedCall { arrived_at: now, call });
        if self.queue.len() == 1 {
            self.busy_until = now + self.timing.time_per_call;
        }
    }

    /// Goes down: all calls fail, or are held open by the agents where changes are pushed.
    pub fn go_down(&mut self, finished: &mut Vec<FinishedCall>) {
        self.is_down = true;
        if !self.timing.is_pushed {
            let queued = std::mem::take(&mut self.queue).into_iter().map(|queued| queued.call);
            let parked = std::mem::take(&mut self.parked).into_iter().map(|parked| parked.call);
            finished.extend(queued.chain(parked).map(FinishedCall::failed));
        }
    }

    /// Comes up again: agents that hold calls open respond if there was a change.
    pub fn come_up(&mut self, finished: &mut Vec<FinishedCall>) {
        self.is_down = false;
        if self.timing.is_pushed {
            let parked = std::mem::take(&mut self.parked);
            let (due, parked): (Vec<_>, Vec<_>) =
                parked.into_iter().partition(|parked| self.has_news_for(&parked.call));
            self.parked = parked;
            finished.extend(due.into_iter().map(|parked| self.respond(parked.call)));
        }
    }

    /// A caller no longer waits for one of its calls.
    pub fn forget_call(&mut self, proxy: usize, number: u64) {
        self.forget_where(|call| call.proxy == proxy && call.number == number);
    }

    /// A caller no longer waits for any of its calls.
    pub fn forget_proxy(&mut self, proxy: usize) {
        self.forget_where(|call| call.proxy == proxy);
    }

    fn forget_where(&mut self, is_forgotten: impl Fn(&DiscoveryCall) -> bool) {
        self.queue.retain(|queued| !is_forgotten(&queued.call));
        self.parked.retain(|parked| !is_forgotten(&parked.call));
    }

    /// When its state changes next if no call arrives.
    pub fn next_event_at(&self) -> Time {
        let queue_event = if self.queue.is_empty() { Time::NEVER } else { self.busy_until };
        if self.is_down {
            return queue_event;
        }
        let parked_event = self.parked.iter().map(|parked| parked.until).min();
        parked_event.unwrap_or(Time::NEVER).min(queue_event)
    }

    /// Lets time pass until `now`.
    pub fn advance(&mut self, now: Time, finished: &mut Vec<FinishedCall>) {
        while self.busy_until <= now
            && let Some(QueuedCall { arrived_at, call }) = self.queue.pop_front()
        {
            self.serve_queued_call(arrived_at, call, finished);
        }
        if self.is_down {
            return;
        }
        let due: Vec<DiscoveryCall> =
            self.parked.iter().filter(|parked| parked.until <= now).map(|parked| parked.call).collect();
        self.parked.retain(|parked| parked.until > now);
        finished.extend(due.into_iter().map(|call| self.respond(call)));
    }

    /// The work on a call is done at `busy_until`; the work on the next one begins.
    fn serve_queued_call(&mut self, arrived_at: Time, call: DiscoveryCall, finished: &mut Vec<FinishedCall>) {
        let (at, timeout) = (self.busy_until, self.timing.call_timeout);
        if arrived_at + timeout < at {
            finished.push(FinishedCall::failed(call));
        } else if !self.has_news_for(&call) && call.max_wait > Time::ZERO {
            self.parked.push(ParkedCall { until: at + call.max_wait, call });
        } else {
            finished.push(self.respond(call));
        }
        // A call that has waited too long costs no work. Otherwise a queue that was long once would never serve a call in time
        // again.
        while self.queue.front().is_some_and(|queued| queued.arrived_at + timeout < at) {
            if let Some(QueuedCall { call, .. }) = self.queue.pop_front() {
                finished.push(FinishedCall::failed(call));
            }
        }
        self.busy_until = at + self.timing.time_per_call;
    }

    /// Whether there is something newer than the caller has.
    fn has_news_for(&self, call: &DiscoveryCall) -> bool {
        match &self.backup {
            Some(backup) => call.known_version != Some(backup.version),
            None => call.known_version.is_none_or(|known| known < self.list.version),
        }
    }

    fn respond(&self, call: DiscoveryCall) -> FinishedCall {
        let full = |list: &VersionedList| ListResponse {
            version: list.version,
            is_full: true,
            entries: list.entries.clone(),
        };
        if let Some(backup) = &self.backup {
            return FinishedCall { call, response: Some(full(backup)) };
        }
        let version = self.list.version;
        let oldest = self.changes.front().map_or(version, |change| change.version - 1);
        let response = match call.known_version {
            Some(known) if known >= oldest && known <= version => {
                ListResponse { version, is_full: false, entries: self.changes_since(known) }
            }
            _ => full(&self.list),
        };
        FinishedCall { call, response: Some(response) }
    }

    /// The last change of each server that changed after this version, in the order of the changes.
    fn changes_since(&self, known: u64) -> Vec<ListEntry> {
        let mut entries: Vec<ListEntry> = Vec::new();
        for change in self.changes.iter().filter(|change| change.version > known) {
            entries.retain(|entry| entry.server != change.entry.server);
            entries.push(change.entry);
        }
        entries
    }

    /// Whether a proxy has a call open.
    pub fn has_open_call(&self, proxy: usize) -> bool {
        self.queue.iter().any(|queued| queued.call.proxy == proxy)
            || self.parked.iter().any(|parked| parked.call.proxy == proxy)
    }
}
