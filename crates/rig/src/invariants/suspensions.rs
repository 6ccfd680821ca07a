//! When the processes of proxies were suspended.

use mosshead_world::Time;
use mosshead_world::events::EventKind;

use crate::link_record::LinkRecord;

#[derive(Clone, Copy)]
struct Suspension {
    proxy: usize,
    from: Time,
    /// [`Time::NEVER`] where it lasts to the end of the day.
    until: Time,
}

/// The suspensions of a day.
pub(super) struct Suspensions(Vec<Suspension>);

impl Suspensions {
    pub(super) fn of(record: &LinkRecord) -> Self {
        let mut suspensions: Vec<Suspension> = Vec::new();
        for event in &record.world_events {
            match event.kind {
                EventKind::ProxyPaused { proxy } => {
                    suspensions.push(Suspension { proxy, from: event.at, until: Time::NEVER });
                }
                EventKind::ProxyResumed { proxy } => {
                    let is_open = |open: &&mut Suspension| open.proxy == proxy && open.until == Time::NEVER;
                    if let Some(open) = suspensions.iter_mut().rev().find(is_open) {
                        open.until = event.at;
                    }
                }
                _ => {}
            }
        }
        Self(suspensions)
    }

    /// Whether a proxy was suspended at this instant, or became so within `lead` after it.
    pub(super) fn cover(&self, proxy: usize, at: Time, lead: Time) -> bool {
        self.0.iter().any(|suspension| {
            suspension.proxy == proxy && suspension.from <= at + lead && at < suspension.until
        })
    }

    /// The instant at which a proxy could read what reached it at `at`: the end of the suspension that covers that instant.
    pub(super) fn readable_at(&self, proxy: usize, at: Time) -> Time {
        self.0
            .iter()
            .filter(|suspension| suspension.proxy == proxy && suspension.from <= at && at < suspension.until)
            .map(|suspension| suspension.until)
            .fold(at, Time::max)
    }
}
