//! Which machines are in touch, and when the core is stable (RULES.md, In touch).

use std::collections::BTreeMap;

use mosshead_time::Instant;

use crate::history::{History, MachineId, ProcessEvent, ProcessEventKind};

/// The disturbances of all machines.
#[derive(Debug)]
pub(crate) struct Contact<'a> {
    history: &'a History,
    /// The events of each machine, in the order of time.
    events: BTreeMap<MachineId, Vec<ProcessEvent>>,
}

impl<'a> Contact<'a> {
    /// Sorts the events of a history by machine.
    pub(crate) fn new(history: &'a History) -> Contact<'a> {
        let mut events: BTreeMap<MachineId, Vec<ProcessEvent>> = BTreeMap::new();
        for event in &history.process_events {
            events.entry(event.machine).or_default().push(*event);
        }
        Contact { history, events }
    }

    /// True if the machine is in touch at this instant.
    pub(crate) fn is_in_touch(&self, machine: MachineId, at: Instant) -> bool {
        self.is_undisturbed(machine, at) && self.is_core_stable(at)
    }

    /// True if the machine's own process has run for the contact time without a disturbance.
    pub(crate) fn is_undisturbed(&self, machine: MachineId, at: Instant) -> bool {
        let from = at - self.history.bounds.contact;
        self.runs(machine, from) && !self.is_disturbed(machine, from, at) && !self.is_slow(from, at)
    }

    /// True if more than half of the core runs, and nothing has disturbed it for the contact time.
    pub(crate) fn is_core_stable(&self, at: Instant) -> bool {
        let from = at - self.history.bounds.contact;
        let is_calm = self.core().all(|node| !self.is_disturbed(node, from, at));
        is_calm && !self.is_slow(from, at) && self.has_running_majority(at)
    }

    /// True if more than half of the core has run all the while.
    pub(crate) fn has_majority_throughout(&self, from: Instant, until: Instant) -> bool {
        let core_events = self.core().flat_map(|node| self.events_of(node));
        let instants = core_events.map(|event| event.at).filter(|at| (from..=until).contains(at));
        instants.chain([from, until]).all(|at| self.has_running_majority(at))
    }

    /// True if a machine was killed, frozen or continued, or its process ended by itself, within this time.
    pub(crate) fn has_unplanned_trouble(&self, machine: MachineId, from: Instant, until: Instant) -> bool {
        let is_unplanned = |event: &&ProcessEvent| {
            matches!(
                event.kind,
                ProcessEventKind::Killed
                    | ProcessEventKind::Frozen
                    | ProcessEventKind::Continued
                    | ProcessEventKind::EndedByItself
            )
        };
        let is_frozen = self.is_frozen(machine, from);
        is_frozen || self.within(machine, from, until).any(|event| is_unplanned(&event))
    }

    /// True if any control node had unplanned trouble within this time.
    pub(crate) fn has_unplanned_core_trouble(&self, from: Instant, until: Instant) -> bool {
        self.core().any(|node| self.has_unplanned_trouble(node, from, until))
    }

    /// The latest event of this kind at a machine, at or before an instant.
    pub(crate) fn latest(&self, machine: MachineId, kind: ProcessEventKind, at: Instant) -> Option<Instant> {
        let events = self.events_of(machine).filter(|event| event.kind == kind && event.at <= at);
        events.map(|event| event.at).last()
    }

    /// True if the whole machine was too busy at some time within this span.
    pub(crate) fn is_slow(&self, from: Instant, until: Instant) -> bool {
        self.history.slow_spans.iter().any(|span| span.from <= until && span.until >= from)
    }

    fn core(&self) -> impl Iterator<Item = MachineId> + use<> {
        (0..self.history.control_nodes).map(MachineId::control_node)
    }

    fn events_of(&self, machine: MachineId) -> impl Iterator<Item = &ProcessEvent> {
        self.events.get(&machine).into_iter().flatten()
    }

    fn within(
        &self,
        machine: MachineId,
        from: Instant,
        until: Instant,
    ) -> impl Iterator<Item = &ProcessEvent> {
        self.events_of(machine).filter(move |event| (from..=until).contains(&event.at))
    }

    /// True if anything but SIGHUP happened to the machine's process within this time.
    fn is_disturbed(&self, machine: MachineId, from: Instant, until: Instant) -> bool {
        self.within(machine, from, until).any(|event| event.kind != ProcessEventKind::HungUp)
    }

    fn has_running_majority(&self, at: Instant) -> bool {
        let running = self.core().filter(|node| self.runs(*node, at)).count();
        2 * running > self.history.control_nodes
    }

    /// True if the machine's process runs at this instant and is not frozen.
    fn runs(&self, machine: MachineId, at: Instant) -> bool {
        let mut is_up = false;
        let mut is_frozen = false;
        for event in self.events_of(machine).take_while(|event| event.at <= at) {
            match event.kind {
                ProcessEventKind::Started => (is_up, is_frozen) = (true, false),
                ProcessEventKind::Frozen => is_frozen = true,
                ProcessEventKind::Continued => is_frozen = false,
                ProcessEventKind::Killed
                | ProcessEventKind::GraceExceeded
                | ProcessEventKind::Ended
                | ProcessEventKind::EndedByItself => is_up = false,
                ProcessEventKind::HungUp | ProcessEventKind::Terminated => {}
            }
        }
        is_up && !is_frozen
    }

    fn is_frozen(&self, machine: MachineId, at: Instant) -> bool {
        let changes = self.events_of(machine).take_while(|event| event.at <= at).filter(|event| {
            matches!(
                event.kind,
                ProcessEventKind::Started | ProcessEventKind::Frozen | ProcessEventKind::Continued
            )
        });
        changes.last().is_some_and(|event| event.kind == ProcessEventKind::Frozen)
    }
}
