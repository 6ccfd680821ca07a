//! Congestion collapse: a server with too much in flight for too long becomes slow, and stays so until it has had a rest.

use super::CongestionTraits;
use crate::Time;

/// Whether a server is congested, and what has to pass until that changes.
#[derive(Clone, Debug, Default)]
pub(super) struct Congestion {
    /// Since when more than [`CongestionTraits::enter_above`] was in flight; only while it is not congested.
    crowded_since: Option<Time>,
    episode: Option<Episode>,
    /// How often it has become congested.
    episode_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Episode {
    began: Time,
    /// Since when less than [`CongestionTraits::leave_below`] was in flight.
    calm_since: Option<Time>,
}

impl Congestion {
    pub(super) fn is_congested(&self) -> bool {
        self.episode.is_some()
    }

    pub(super) fn episode_count(&self) -> u32 {
        self.episode_count
    }

    /// The factor by which the server is slower.
    pub(super) fn slowdown(&self, traits: Option<&CongestionTraits>) -> f64 {
        match (&self.episode, traits) {
            (Some(_), Some(traits)) => traits.slowdown,
            _ => 1.0,
        }
    }

    /// When the state changes next if the requests in flight stay the same.
    pub(super) fn next_change_at(&self, traits: &CongestionTraits) -> Option<Time> {
        match (self.episode, self.crowded_since) {
            (Some(Episode { began, calm_since }), _) => {
                let rested = calm_since.map_or(Time::NEVER, |calm| calm + traits.leave_after);
                Some(rested.min(began + traits.max_duration))
            }
            (None, Some(since)) => Some(since + traits.enter_after),
            (None, None) => None,
        }
    }

    /// Takes in how many requests are in flight for each core at `now`.
    pub(super) fn update(&mut self, traits: &CongestionTraits, now: Time, in_flight_per_core: f64) {
        match &mut self.episode {
            Some(Episode { began, calm_since }) => {
                match in_flight_per_core < traits.leave_below {
                    true => _ = calm_since.get_or_insert(now),
                    false => *calm_since = None,
                }
                let has_rested = calm_since.is_some_and(|calm| now >= calm + traits.leave_after);
                if has_rested || now >= *began + traits.max_duration {
                    self.episode = None;
                    self.crowded_since = None;
                }
            }
            None if in_flight_per_core > traits.enter_above => {
                let since = *self.crowded_since.get_or_insert(now);
                if now >= since + traits.enter_after {
                    self.episode = Some(Episode { began: now, calm_since: None });
                    self.episode_count += 1;
                }
            }
            None => self.crowded_since = None,
        }
    }
}
