//! Applies updates of the list of servers and recomputes the fleet's present capacity.

use super::balancer::{Balancer, WATCH_LIST_TOKEN};
use super::tuning::{MAX_ASSUMED_TRAFFIC, REVIEW_INTERVAL_SHARE};
use crate::interface::{Action, ListEntry, ListUpdate, Membership, Readiness, Seconds, TimerToken};
use crate::state::Endpoint;

impl Balancer {
    pub(super) fn on_list_update(&mut self, now: Seconds, update: ListUpdate, actions: &mut Vec<Action>) {
        let pulls = self.settings.membership == Membership::Pull;
        match update {
            ListUpdate::Failed if !pulls => return,
            ListUpdate::Failed => {
                let random = self.random_unit();
                let (within, proxies) = (self.settings.rules.refresh_within, self.settings.proxy_count);
                let delay = self.state.list_backoff.on_failure(within, proxies, random);
                return actions.push(Action::SetTimer { delay, token: TimerToken(WATCH_LIST_TOKEN) });
            }
            ListUpdate::Changes(entries) => self.state.update_list(now, entries, &mut self.rng),
            ListUpdate::Saved(entries) => {
                let delay = if entries.is_empty() { 0.0 } else { self.first_list_delay() };
                self.state.replace_list(now, entries, &mut self.rng);
                let later = Action::SetTimer { delay, token: TimerToken(WATCH_LIST_TOKEN) };
                actions.extend(pulls.then_some(if delay > 0.0 { later } else { Action::WatchList }));
            }
            ListUpdate::Full(entries) => self.state.replace_list(now, entries, &mut self.rng),
        }
        self.state.list_backoff.on_answer();
        self.review_fleet(now);
    }

    /// The delay of the first call for the list by a proxy that has a saved one, in seconds. It is random, so that the
    /// calls of proxies that start together are spread out.
    fn first_list_delay(&mut self) -> Seconds {
        let (within, proxies) = (self.settings.rules.refresh_within, self.settings.proxy_count);
        let spread = self.state.list_backoff.first_call_spread(within, proxies);
        if spread > 0.0 { spread * self.random_unit() } else { 0.0 }
    }

    /// Recomputes which servers are ready, which of those are in slow start, and their total capacity.
    pub(super) fn review_fleet(&mut self, now: Seconds) {
        let endpoint = |index: &usize| &self.state.endpoints[*index];
        let is_ready = |index: &usize| endpoint(index).entry.readiness == Readiness::Ready;
        let mut ready: Vec<usize> = (0..self.state.endpoints.len()).filter(is_ready).collect();
        ready.sort_by_key(|index| (endpoint(index).preference, *index));
        let sum = |value_of: &dyn Fn(&Endpoint) -> f64| -> f64 {
            ready.iter().map(|index| value_of(endpoint(index))).sum()
        };
        let capacity = sum(&|endpoint| self.capacity(endpoint, now));
        let size = sum(&|endpoint| self.size(endpoint));
        let reserved_size =
            sum(&|endpoint| if self.is_reserved(&endpoint.entry) { self.size(endpoint) } else { 0.0 });
        let rules = &self.settings.rules;
        // While most of the fleet is in slow start, its present capacity is so low that a server's share of the traffic
        // would exceed what the server can do.
        let least_capacity = size * MAX_ASSUMED_TRAFFIC / rules.overload_factor;
        let (slow_starting, past_slow_start): (Vec<usize>, Vec<usize>) =
            ready.into_iter().partition(|index| self.slow_start_factor(endpoint(index), now) < 1.0);
        let own_zone = self.settings.zone;
        let (local, remote) =
            past_slow_start.into_iter().partition(|index| endpoint(index).entry.zone == own_zone);
        self.state.next_review_at = if slow_starting.is_empty() {
            f64::INFINITY
        } else {
            now + REVIEW_INTERVAL_SHARE * rules.slow_start
        };
        self.state.overload.set_capacity(capacity);
        self.state.fleet_capacity = capacity.max(least_capacity).max(f64::MIN_POSITIVE);
        self.state.reserved_share = reserved_size / size.max(f64::MIN_POSITIVE);
        self.state.local = local;
        self.state.remote = remote;
        self.state.slow_starting = slow_starting;
    }

    /// Returns true if some restricted class may use the server.
    pub(super) fn is_reserved(&self, entry: &ListEntry) -> bool {
        self.settings.classes.iter().any(|class| class.is_restricted() && class.permits(entry))
    }
}
