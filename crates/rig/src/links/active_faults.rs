//! The faults of links that are active, and what they do to one link.

use std::time::{Duration, Instant};

use mosshead_emulator::proxy_links::LinkEndpoint;
use mosshead_world::scenario::Direction;
use mosshead_world::{LinkChange, LinkFault, Time};

/// What was on its way to a proxy when its link was cut still arrives: the sender counts it as received.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(20);

#[derive(Default)]
pub(super) struct ActiveFaults(Vec<ActiveFault>);

struct ActiveFault {
    fault: LinkFault,
    since: Instant,
}

impl ActiveFaults {
    pub(super) fn add(&mut self, fault: LinkFault) {
        self.0.push(ActiveFault { fault, since: Instant::now() });
    }

    /// Ends one fault like this.
    pub(super) fn remove(&mut self, fault: &LinkFault) {
        if let Some(index) = self.0.iter().position(|active| active.fault == *fault) {
            self.0.remove(index);
        }
    }

    fn on_link(&self, endpoint: LinkEndpoint) -> impl Iterator<Item = &ActiveFault> {
        self.0
            .iter()
            .filter(move |active| active.fault.includes(endpoint.proxy, endpoint.kind, endpoint.zone))
    }

    /// Whether bytes of this direction pass.
    pub(super) fn passes(&self, endpoint: LinkEndpoint, direction: Direction) -> bool {
        let now = Instant::now();
        self.on_link(endpoint).all(|active| match active.fault.change {
            LinkChange::Blocked(cut) if direction.is_among(cut) => {
                direction == Direction::ToProxy && now < active.since + IN_FLIGHT_TIME
            }
            _ => true,
        })
    }

    /// Whether the far end takes what a new connection brings.
    pub(super) fn accepts(&self, endpoint: LinkEndpoint) -> bool {
        self.on_link(endpoint).all(|active| active.fault.change != LinkChange::Unread)
    }

    /// The delays of slow links, each without its random part.
    pub(super) fn delays(&self, endpoint: LinkEndpoint) -> Vec<Time> {
        let delay = |active: &ActiveFault| match active.fault.change {
            LinkChange::Delayed(delay) => Some(delay),
            _ => None,
        };
        self.on_link(endpoint).filter_map(delay).collect()
    }

    /// The bandwidth of a narrow link, in bytes a second.
    pub(super) fn bytes_per_second(&self, endpoint: LinkEndpoint) -> Option<u64> {
        let limit = |active: &ActiveFault| match active.fault.change {
            LinkChange::Throttled(bytes_per_second) => Some(bytes_per_second),
            _ => None,
        };
        self.on_link(endpoint).filter_map(limit).min()
    }
}
