//! Discovery: one service of fixed capacity for all proxies, whose list is late and which can be down.

use std::collections::VecDeque;

use crate::Time;
use crate::world::{Shown, State};

/// It remembers so many changes; who is further behind gets the whole list.
const CHANGES_KEPT: usize = 4096;

/// Who waits for an answer: a proxy's call, numbered by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Which proxy.
    pub proxy: usize,
    /// The number that the host gave the call.
    pub number: u64,
    /// The version to go on from; none asks for the whole list.
    pub from: Option<u64>,
    /// For how long it may wait for news.
    pub hold: Time,
}

/// An answer that is ready: the list and its version, or that the call has failed.
pub type Answered = (Call, Option<(u64, bool, Vec<Shown>)>);

/// The service.
#[derive(Clone, Debug)]
pub struct Discovery {
    version: u64,
    list: Vec<Shown>,
    changes: VecDeque<(u64, Shown)>,
    /// Calls in line, with the instant at which each came.
    line: VecDeque<(Time, Call)>,
    /// When the call at the head of the line has been worked through.
    busy_until: Time,
    parked: Vec<(Time, Call)>,
    per_call: Time,
    timeout: Time,
    /// An agent on each machine answers, at no cost, and says nothing while discovery is down.
    pushed: bool,
    down: bool,
    /// It has come back from a copy of its state, which it answers with.
    backup: Option<(u64, Vec<Shown>)>,
}

impl Discovery {
    /// One with this list, which works through a call in `per_call` and fails those that wait past `timeout`.
    pub fn new(list: Vec<Shown>, per_call: Time, timeout: Time, pushed: bool) -> Self {
        let per_call = if pushed { Time::ZERO } else { per_call };
        Self {
            version: 1,
            list,
            changes: VecDeque::new(),
            line: VecDeque::new(),
            busy_until: Time::ZERO,
            parked: Vec::new(),
            per_call,
            timeout,
            pushed,
            down: false,
            backup: None,
        }
    }

    /// The whole list as it is shown now, with its version.
    pub fn list(&self) -> (u64, Vec<Shown>) {
        (self.version, self.list.clone())
    }

    /// From now on it answers with earlier state, or again with what it has learnt since. Who waits is answered.
    pub fn restore(&mut self, backup: Option<(u64, Vec<Shown>)>, answers: &mut Vec<Answered>) {
        self.backup = backup;
        for (_, call) in std::mem::take(&mut self.parked) {
            answers.push(self.answer(call));
        }
    }

    /// A change enters the list; whoever waits for news is answered.
    pub fn change(&mut self, change: Shown, answers: &mut Vec<Answered>) {
        self.version += 1;
        self.list.retain(|shown| shown.server != change.server);
        if change.state != State::Deleted {
            self.list.push(change);
            self.list.sort_by_key(|shown| shown.server);
        }
        self.changes.push_back((self.version, change));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        if !self.down && self.backup.is_none() {
            for (_, call) in std::mem::take(&mut self.parked) {
                answers.push(self.answer(call));
            }
        }
    }

    /// A call has come.
    pub fn call(&mut self, now: Time, call: Call, answers: &mut Vec<Answered>) {
        if self.down && self.pushed {
            return self.parked.push((now + call.hold, call));
        }
        if self.down {
            return answers.push((call, None));
        }
        self.line.push_back((now, call));
        if self.line.len() == 1 {
            self.busy_until = now + self.per_call;
        }
    }

    /// Goes down, and ends what waits, or comes up again.
    pub fn down(&mut self, down: bool, answers: &mut Vec<Answered>) {
        self.down = down;
        if self.pushed && !down {
            let parked = std::mem::take(&mut self.parked);
            let (due, parked): (Vec<_>, Vec<_>) = parked.into_iter().partition(|(_, call)| self.news(call));
            self.parked = parked;
            answers.extend(due.into_iter().map(|(_, call)| self.answer(call)));
        } else if down && !self.pushed {
            let line = std::mem::take(&mut self.line).into_iter().map(|(_, call)| call);
            let parked = std::mem::take(&mut self.parked).into_iter().map(|(_, call)| call);
            answers.extend(line.chain(parked).map(|call| (call, None)));
        }
    }

    /// A caller has gone: nobody waits for this answer.
    pub fn forget(&mut self, proxy: usize, number: Option<u64>) {
        let of = |call: &Call| call.proxy == proxy && number.is_none_or(|number| call.number == number);
        self.line.retain(|(_, call)| !of(call));
        self.parked.retain(|(_, call)| !of(call));
    }

    /// When something is due next.
    pub fn next(&self) -> Time {
        let head = if self.line.is_empty() { Time::NEVER } else { self.busy_until };
        if self.down {
            return head;
        }
        self.parked.iter().map(|(until, _)| *until).min().unwrap_or(Time::NEVER).min(head)
    }

    /// Works through what is due.
    pub fn advance(&mut self, now: Time, answers: &mut Vec<Answered>) {
        while !self.line.is_empty() && self.busy_until <= now {
            let at = self.busy_until;
            if let Some((came, call)) = self.line.pop_front() {
                if came + self.timeout < at {
                    answers.push((call, None));
                } else if !self.news(&call) && call.hold > Time::ZERO {
                    self.parked.push((at + call.hold, call));
                } else {
                    answers.push(self.answer(call));
                }
            }
            // Danger: who has waited too long costs no work, or a line once long would fail for ever.
            while self.line.front().is_some_and(|(came, _)| *came + self.timeout < at) {
                if let Some((_, call)) = self.line.pop_front() {
                    answers.push((call, None));
                }
            }
            self.busy_until = at + self.per_call;
        }
        if self.down {
            return;
        }
        let due: Vec<Call> =
            self.parked.iter().filter(|(until, _)| *until <= now).map(|(_, call)| *call).collect();
        self.parked.retain(|(until, _)| *until > now);
        answers.extend(due.into_iter().map(|call| self.answer(call)));
    }

    /// Whether there is something newer than the call goes on from.
    fn news(&self, call: &Call) -> bool {
        match &self.backup {
            Some((version, _)) => call.from != Some(*version),
            None => call.from.is_none_or(|from| from < self.version),
        }
    }

    fn answer(&self, call: Call) -> Answered {
        if let Some((version, list)) = &self.backup {
            return (call, Some((*version, true, list.clone())));
        }
        let oldest = self.changes.front().map_or(self.version, |(version, _)| version - 1);
        match call.from {
            Some(from) if from >= oldest && from <= self.version => {
                let mut news: Vec<Shown> = Vec::new();
                for (_, change) in self.changes.iter().filter(|(version, _)| *version > from) {
                    news.retain(|shown| shown.server != change.server);
                    news.push(*change);
                }
                (call, Some((self.version, false, news)))
            }
            _ => (call, Some((self.version, true, self.list.clone()))),
        }
    }

    /// Whether a proxy has a call under way.
    pub fn asks(&self, proxy: usize) -> bool {
        self.line.iter().any(|(_, call)| call.proxy == proxy)
            || self.parked.iter().any(|(_, call)| call.proxy == proxy)
    }
}
