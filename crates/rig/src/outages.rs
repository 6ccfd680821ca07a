//! The spans of a day in which proxies were down.

use std::collections::BTreeSet;

use mosshead_world::Time;
use mosshead_world::events::EventKind;

use crate::link_record::LinkRecord;

/// A span in which at least one proxy was down.
pub(crate) struct Outage {
    /// How many proxies were down in it.
    pub(crate) proxies: usize,
    /// When the first of them ended.
    pub(crate) first_down: Time,
    /// When the first of them was up again.
    pub(crate) first_up: Time,
    /// When the last of them was up again.
    pub(crate) all_up: Time,
}

/// The outages that have ended, in order.
pub(crate) fn find_outages(record: &LinkRecord) -> Vec<Outage> {
    let mut outages = Vec::new();
    let mut open = OpenOutage::default();
    for event in &record.world_events {
        match event.kind {
            EventKind::ProxyStopped { proxy, .. } => open.on_down(event.at, proxy),
            EventKind::ProxyStarted { proxy } => outages.extend(open.on_up(event.at, proxy)),
            _ => {}
        }
    }
    outages
}

#[derive(Default)]
struct OpenOutage {
    down: BTreeSet<usize>,
    struck: BTreeSet<usize>,
    first_down: Option<Time>,
    first_up: Option<Time>,
}

impl OpenOutage {
    fn on_down(&mut self, at: Time, proxy: usize) {
        self.down.insert(proxy);
        self.struck.insert(proxy);
        self.first_down.get_or_insert(at);
    }

    /// Gives the outage that ends with this.
    fn on_up(&mut self, at: Time, proxy: usize) -> Option<Outage> {
        if !self.down.remove(&proxy) {
            return None;
        }
        let first_up = *self.first_up.get_or_insert(at);
        if !self.down.is_empty() {
            return None;
        }
        let first_down = self.first_down.unwrap_or(first_up);
        let outage = Outage { proxies: self.struck.len(), first_down, first_up, all_up: at };
        *self = Self::default();
        Some(outage)
    }
}
