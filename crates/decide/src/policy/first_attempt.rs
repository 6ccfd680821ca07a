//! The first attempt of a request: probes a pair with stale reports, then sends or rejects the request.

use super::balancer::Balancer;
use super::server_selection::Choice;
use super::tuning::{PROBE_PAUSE_DEADLINES, SLOW_PROBE_SERVICE_TIMES};
use crate::interface::{Action, EndpointId, Outcome, Seconds, TimerToken};
use crate::state::EjectionCause;

impl Balancer {
    /// Decides on a request that has not been sent yet: probes servers, sends the request, delays it or rejects it.
    pub(super) fn decide_first_attempt(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let request = self.state.requests[&token].clone();
        let Choice { endpoint: chosen, to_probe } = self.choose_endpoint(now, &request);
        if !to_probe.is_empty() {
            return self.send_probes(now, token, chosen, to_probe, actions);
        }
        // If all servers are full, waiting requests would pile up and all of them would be late.
        let mut past_slow_start = self.state.local.iter().chain(&self.state.remote);
        if chosen.is_none() && past_slow_start.any(|&index| self.is_allowed(now, &request, index)) {
            return self.give_up(token, 1.0, actions);
        }
        if !self.admits(now, &request, chosen) {
            let queue_per_slot = chosen.map_or(1.0, |id| self.queue_per_slot(self.state.endpoint(id), now));
            return self.give_up(token, queue_per_slot, actions);
        }
        self.send(now, token, chosen, actions);
    }

    fn send_probes(
        &mut self,
        now: Seconds,
        token: u64,
        chosen: Option<EndpointId>,
        to_probe: Vec<usize>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.state.requests.get_mut(&token) else { return };
        // Of a crowded pair only the less loaded server is kept; the newly probed one replaces the other.
        request.probed_pair.retain(|&index| chosen == Some(EndpointId(index as u32)));
        request.probed_pair.extend(&to_probe);
        request.probed.extend(&to_probe);
        let delay = (request.probes_until - now).max(self.settings.timer_resolution);
        actions.extend(to_probe.iter().map(|&index| Action::Probe { endpoint: EndpointId(index as u32) }));
        request.probes_pending = to_probe;
        self.state.awaiting_probes.push(token);
        actions.push(Action::SetTimer { delay, token: TimerToken(token) });
    }

    /// Handles the outcome of a probe, and decides on the requests that wait for no other probe.
    pub(super) fn on_probe_ended(
        &mut self,
        now: Seconds,
        id: EndpointId,
        outcome: Outcome,
        rtt: Seconds,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            Outcome::Served if rtt <= SLOW_PROBE_SERVICE_TIMES * self.state.mean_service_time.value => {}
            // Probes that queue like requests displace the requests that they are sent for.
            Outcome::Served | Outcome::Rejected => {
                self.state.probes_paused_until = now + PROBE_PAUSE_DEADLINES * self.state.mean_deadline;
            }
            _ => self.eject(now, id, EjectionCause::NoResponse),
        }
        for token in std::mem::take(&mut self.state.awaiting_probes) {
            let request = self.state.requests.get_mut(&token);
            let Some(request) = request.filter(|request| request.attempts.is_empty()) else { continue };
            request.probes_pending.retain(|&index| index != id.0 as usize);
            if request.probes_pending.is_empty() {
                self.decide_first_attempt(now, token, actions);
            } else {
                self.state.awaiting_probes.push(token);
            }
        }
    }
}
