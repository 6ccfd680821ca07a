//! The state of a model: the members, the store, and the resource that the members act on.

use std::time::Duration;

use mosshead_lease::{Command, Event, FencingToken, Instant, LeaseTiming, SingletonRole, StoreUpdate};

use crate::scenario::{FaultBudget, Mutant, Scenario};
use crate::store::{LEASE_DURATION, Store, StoreCall};

/// A report of a watch, with the number of the read that the watch continues. Reports of earlier reads are
/// ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WatchReport {
    read_number: u8,
    content: WatchContent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum WatchContent {
    Update(StoreUpdate),
    Gap,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub(crate) role: SingletonRole,
    pub(crate) is_suspended: bool,
    /// By how many time steps its clock is behind, because it stopped while the member was suspended.
    pub(crate) clock_lag: u64,
    timer: Option<Instant>,
    /// The number of its last read.
    read_number: u8,
    /// True if the store still reports changes to it.
    pub(crate) is_watching: bool,
    pub(crate) calls: Vec<StoreCall>,
    /// Responses of the store. They are delivered independently of the watch reports.
    pub(crate) responses: Vec<Event>,
    pub(crate) watch_reports: Vec<WatchReport>,
    /// The token of an act whose permit it has checked, and which it has not performed yet.
    pub(crate) planned_act: Option<FencingToken>,
}

impl Member {
    fn new() -> Member {
        let timing = LeaseTiming {
            lease_duration: Duration::from_micros(LEASE_DURATION),
            clock_drift_ppm: 0,
            renewal_interval: Duration::from_micros(1),
            retry_delay: Duration::ZERO,
        };
        Member {
            role: SingletonRole::new(timing),
            is_suspended: false,
            clock_lag: 0,
            timer: None,
            read_number: 0,
            is_watching: false,
            calls: Vec::new(),
            responses: Vec::new(),
            watch_reports: Vec::new(),
            planned_act: None,
        }
    }

    /// Returns the time of its own clock; a time step is a microsecond.
    pub(crate) fn clock(&self, now: u64) -> Instant {
        Instant::from_micros(now - self.clock_lag)
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::ReadAndWatch => {
                self.read_number += 1;
                self.is_watching = false;
                self.watch_reports.clear();
                self.calls.retain(|call| !matches!(call, StoreCall::ReadAndWatch { .. }));
                self.calls.push(StoreCall::ReadAndWatch { read_number: self.read_number });
            }
            Command::Acquire { call_id, epoch } => {
                self.calls.push(StoreCall::Acquire { call_id, epoch });
            }
            Command::Renew { call_id, lease_id } => {
                self.calls.push(StoreCall::Renew { call_id, lease_id });
            }
            Command::Release(lease_id) => self.calls.push(StoreCall::Release(lease_id)),
            Command::SetTimer(instant) => self.timer = Some(instant),
        }
    }

    fn report(&mut self, read_number: u8, content: WatchContent) {
        self.watch_reports.push(WatchReport { read_number, content });
    }

    fn end_watch(&mut self, mutant: Mutant) {
        let is_hidden = mutant == Mutant::WatchGapsAreHidden;
        if std::mem::replace(&mut self.is_watching, is_hidden) {
            if is_hidden {
                // Pending reports are lost, and the member does not learn of that.
                self.watch_reports.clear();
            } else {
                self.report(self.read_number, WatchContent::Gap);
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    /// Time steps since the beginning.
    pub(crate) now: u64,
    pub(crate) members: Vec<Member>,
    pub(crate) store: Store,
    /// The highest token under which a member has acted. The resource rejects lower ones.
    highest_acted: FencingToken,
    last_actor: Option<usize>,
    /// True if a member has acted under a lower token than an earlier act.
    pub(crate) has_regressed: bool,
    /// The faults that may still happen.
    pub(crate) faults: FaultBudget,
}

impl World {
    /// Creates a world in which all members have joined.
    pub(crate) fn new(scenario: &Scenario) -> World {
        let mut world = World {
            now: 0,
            members: vec![Member::new(); scenario.members],
            store: Store::new(),
            highest_acted: FencingToken::default(),
            last_actor: None,
            has_regressed: false,
            faults: scenario.faults,
        };
        (0..scenario.members).for_each(|index| world.handle_event(index, Event::Join));
        world
    }

    pub(crate) fn has_acted(&self) -> bool {
        self.last_actor.is_some()
    }

    pub(crate) fn members_with_permit(&self) -> usize {
        let has_permit = |member: &&Member| member.role.permit(member.clock(self.now)).is_some();
        self.members.iter().filter(has_permit).count()
    }

    pub(crate) fn handle_event(&mut self, index: usize, event: Event) {
        let mut commands = Vec::new();
        let member = &mut self.members[index];
        member.role.handle_event(member.clock(self.now), event, 0, &mut commands);
        commands.into_iter().for_each(|command| member.execute(command));
    }

    /// Expires the member's timer if it is due, unless the member is suspended.
    pub(crate) fn expire_timer(&mut self, index: usize) {
        let member = &mut self.members[index];
        let is_due = member.timer.is_some_and(|instant| instant <= member.clock(self.now));
        if is_due && !member.is_suspended {
            member.timer = None;
            self.handle_event(index, Event::TimerExpired);
        }
    }

    pub(crate) fn advance_time(&mut self, mutant: Mutant) {
        self.now += 1;
        for member in self.members.iter_mut().filter(|member| member.is_suspended) {
            member.clock_lag += u64::from(mutant == Mutant::ClockStopsInSuspension);
        }
        if self.store.expire_leases(self.now) {
            self.report_to_watchers();
        }
        (0..self.members.len()).for_each(|index| self.expire_timer(index));
    }

    /// Executes a call in the store. Its response arrives only if `is_answered`.
    pub(crate) fn serve(&mut self, index: usize, call: StoreCall, is_answered: bool, mutant: Mutant) {
        let store = &mut self.store;
        let before = (store.holder, store.position.epoch);
        let response = match call {
            StoreCall::ReadAndWatch { read_number } => {
                let update = store.update();
                let member = &mut self.members[index];
                member.is_watching = is_answered;
                if is_answered {
                    member.report(read_number, WatchContent::Update(update));
                }
                None
            }
            StoreCall::Acquire { call_id, epoch } => Some(store.acquire(self.now, call_id, epoch)),
            StoreCall::Renew { call_id, lease_id } => Some(store.renew(self.now, call_id, lease_id)),
            StoreCall::Release(lease_id) => {
                store.release(lease_id, mutant);
                None
            }
        };
        if before != (self.store.holder, self.store.position.epoch) {
            self.report_to_watchers();
        }
        if let Some(event) = response.filter(|_| is_answered) {
            self.members[index].responses.push(event);
        }
    }

    /// Loses the response to a call: its member sees a failed call, or a gap in the watch.
    pub(crate) fn lose_response(&mut self, index: usize, call: StoreCall) {
        let member = &mut self.members[index];
        match call {
            StoreCall::ReadAndWatch { read_number } => member.report(read_number, WatchContent::Gap),
            StoreCall::Acquire { call_id, .. } | StoreCall::Renew { call_id, .. } => {
                member.responses.push(Event::CallFailed { call_id });
            }
            StoreCall::Release(_) => {}
        }
    }

    pub(crate) fn report_to_watchers(&mut self) {
        let update = self.store.update();
        for member in self.members.iter_mut().filter(|member| member.is_watching) {
            member.report(member.read_number, WatchContent::Update(update));
        }
    }

    pub(crate) fn end_watch(&mut self, index: usize, mutant: Mutant) {
        self.members[index].end_watch(mutant);
    }

    pub(crate) fn restore_store(&mut self, mutant: Mutant) {
        self.store.restore();
        self.members.iter_mut().for_each(|member| member.end_watch(mutant));
    }

    pub(crate) fn deliver_response(&mut self, index: usize, mutant: Mutant) {
        match self.members[index].responses.remove(0) {
            Event::Renewed { call_id } if mutant == Mutant::PermitCountsFromResponse => {
                // The role counts a permit from when the call was sent. To make it count from the response,
                // the call fails, is sent again now, and its response arrives at once.
                self.handle_event(index, Event::CallFailed { call_id });
                let member = &mut self.members[index];
                member.timer = None;
                let mut commands = Vec::new();
                member.role.handle_event(member.clock(self.now), Event::TimerExpired, 0, &mut commands);
                for command in commands {
                    if let Command::Renew { call_id, .. } = command {
                        self.handle_event(index, Event::Renewed { call_id });
                    }
                }
            }
            event => self.handle_event(index, event),
        }
    }

    pub(crate) fn deliver_watch_report(&mut self, index: usize) {
        let member = &mut self.members[index];
        let report = member.watch_reports.remove(0);
        if report.read_number != member.read_number {
            return;
        }
        self.handle_event(
            index,
            match report.content {
                WatchContent::Update(update) => Event::StoreUpdated(update),
                WatchContent::Gap => Event::WatchLost,
            },
        );
    }

    pub(crate) fn check_permit(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.planned_act = member.role.permit(member.clock(self.now)).map(|permit| permit.token);
    }

    /// The member acts under a token that it checked before, possibly a long time ago.
    pub(crate) fn act(&mut self, index: usize, token: FencingToken, mutant: Mutant) {
        let is_outdated = token < self.highest_acted;
        if is_outdated && mutant != Mutant::AnyTokenIsAccepted {
            self.handle_event(index, Event::TokenRejected { highest_seen: self.highest_acted });
        } else {
            self.has_regressed |= is_outdated;
            self.highest_acted = self.highest_acted.max(token);
            self.last_actor = Some(index);
        }
    }
}
