//! Faults of the links between proxies and others.

use super::{EventKind, Output, World};
use crate::Time;
use crate::fault::{Direction, LinkKind};

/// What a fault does to some links of some proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkFault {
    /// Indices of the proxies.
    pub proxies: Vec<usize>,
    /// The kind of links.
    pub kind: LinkKind,
    /// Only links to servers of this zone.
    pub target_zone: Option<usize>,
    /// What it does to them.
    pub change: LinkChange,
}

impl LinkFault {
    /// Whether it affects the link of this kind from a proxy to a zone. A link to discovery has no zone.
    pub fn includes(&self, proxy: usize, kind: LinkKind, zone: Option<usize>) -> bool {
        let is_in_zone = self.target_zone.is_none_or(|target| zone == Some(target));
        kind.is_among(self.kind) && is_in_zone && self.proxies.contains(&proxy)
    }
}

/// What a fault does to links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// Nothing passes in this direction.
    Blocked(Direction),
    /// What passes takes longer by this, and by up to as much again.
    Delayed(Time),
    /// So many bytes pass in a second.
    Throttled(u64),
    /// Nothing is read from new connections.
    Unread,
    /// All connections are reset, once.
    Reset,
}

/// The faults of links that last at present, each with its index in the scenario.
#[derive(Default)]
pub(super) struct ActiveLinkFaults(Vec<(usize, LinkFault)>);

impl ActiveLinkFaults {
    fn add(&mut self, index: usize, fault: LinkFault) {
        self.0.push((index, fault));
    }

    fn remove(&mut self, index: usize) -> Vec<LinkFault> {
        self.0.extract_if(.., |(other, _)| *other == index).map(|(_, fault)| fault).collect()
    }

    fn iter(&self) -> impl Iterator<Item = &LinkFault> {
        self.0.iter().map(|(_, fault)| fault)
    }
}

impl World {
    /// Whether what is sent now on a link passes in this direction. A link to discovery has no zone.
    pub fn link_passes(
        &self,
        proxy: usize,
        kind: LinkKind,
        zone: Option<usize>,
        direction: Direction,
    ) -> bool {
        self.link_faults.iter().all(|fault| {
            let is_blocked =
                matches!(fault.change, LinkChange::Blocked(blocked) if direction.is_among(blocked));
            !(is_blocked && fault.includes(proxy, kind, zone))
        })
    }

    /// Whether a new connection of a link is established: that takes both directions.
    pub fn link_connects(&self, proxy: usize, kind: LinkKind, zone: Option<usize>) -> bool {
        [Direction::FromProxy, Direction::ToProxy]
            .into_iter()
            .all(|direction| self.link_passes(proxy, kind, zone, direction))
    }

    /// How much longer faults let a message take that is sent now.
    pub(super) fn draw_fault_delay(&mut self, proxy: usize, kind: LinkKind, zone: Option<usize>) -> Time {
        let mut sum = Time::ZERO;
        for fault in self.link_faults.iter() {
            if let LinkChange::Delayed(delay) = fault.change
                && fault.includes(proxy, kind, zone)
            {
                sum += delay.scaled_by(1.0 + self.network.random().unit_interval());
            }
        }
        sum
    }

    /// A fault of links begins.
    pub(super) fn begin_link_fault(
        &mut self,
        index: usize,
        proxies: &[usize],
        change: LinkChange,
        outputs: &mut Vec<Output>,
    ) {
        let spec = &self.scenario.faults[index];
        let target_zone = spec.target_zone.as_ref().and_then(|zone| self.scenario.zone_index(zone));
        let fault = LinkFault { proxies: proxies.to_vec(), kind: spec.link_kind, target_zone, change };
        self.record(EventKind::LinkFaultChanged { index, is_active: true });
        outputs.push(Output::LinkFaultChanged { fault: fault.clone(), is_active: true });
        if change != LinkChange::Reset {
            self.link_faults.add(index, fault);
        }
        self.topology_version += 1;
    }

    /// A fault of links ends.
    pub(super) fn end_link_fault(&mut self, index: usize, outputs: &mut Vec<Output>) {
        for fault in self.link_faults.remove(index) {
            self.record(EventKind::LinkFaultChanged { index, is_active: false });
            outputs.push(Output::LinkFaultChanged { fault, is_active: false });
            self.topology_version += 1;
        }
    }
}
