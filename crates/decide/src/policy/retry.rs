//! Sends, and when again: retries and second copies, what follows from an outcome, how a request ends.

use super::admission::{OVERLOAD_GAIN, OVERLOAD_LIFE, OVERLOAD_MISS, OVERLOAD_MISS_AFTER};
use super::{Balancer, CROWDED_QUEUE, STALL_FACTOR};
use crate::interface::*;
use crate::state::*;

/// Retries and second copies together stay below this share of the requests, so that they feed no storm,
pub(super) const RETRY_BUDGET_SHARE: f64 = 0.2;
/// and below so many at once.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// A second copy goes out once this share of the wanted time has passed, and not where it delays first tries.
const HEDGE_AFTER: f64 = 0.5;
/// A request without a candidate looks again after so many ticks.
const NO_CANDIDATE_TICKS: f64 = 4.0;

impl Balancer {
    pub(super) fn send(
        &mut self,
        now: Seconds,
        token: u64,
        chosen: Option<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        let tick = self.settings.timer_resolution;
        let Some(job) = self.state.requests.get(&token) else { return };
        let class = job.class;
        let mut wake = self.useful_until(job) - tick;
        let Some(id) = chosen else {
            wake = wake.min(now + NO_CANDIDATE_TICKS * tick);
            actions.push(Action::SetTimer { delay: (wake - now).max(tick), token: TimerToken(token) });
            return;
        };
        let endpoint = &self.state.endpoints[id.0 as usize];
        let crowding = 1.0 + self.queue_per_slot(endpoint, now);
        let expected = self.expected_time(endpoint, class, now);
        if self.may_repeat(class) {
            let copy = HEDGE_AFTER * self.settings.classes[class.0].latency_target;
            wake = wake.min(now + copy.max(2.0 * expected));
        }
        let connected = self.has_free_connection(endpoint, now);
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        if !connected {
            // Danger: closing for want of a free one would close those that are counted too low.
            let streams = f64::from(self.settings.limits.streams_per_connection);
            let aged = endpoint.connections * streams > endpoint.in_flight;
            actions.extend(aged.then_some(Action::CloseIdleConnections { endpoint: id }));
            endpoint.connections = (endpoint.in_flight / streams).ceil() + 1.0;
        }
        if endpoint.in_flight == 0.0 {
            endpoint.last_heard_at = endpoint.last_heard_at.max(now);
            endpoint.expected_time = expected;
        }
        endpoint.in_flight += 1.0;
        let attempt = Attempt::new(id, now, expected, crowding);
        if let Some(job) = self.state.requests.get_mut(&token) {
            if !job.attempts.is_empty() {
                self.state.retry_budget -= 1.0;
            }
            actions.push(Action::Send { request: job.id, endpoint: id, deadline: job.deadline });
            job.attempts.push(attempt);
        }
        actions.push(Action::SetTimer { delay: (wake - now).max(tick), token: TimerToken(token) });
    }

    pub(super) fn on_timer(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let Some(job) = self.state.requests.get(&token) else { return };
        if job.response_started || (job.body_pending && !job.attempts.is_empty()) {
            return;
        }
        if now + self.settings.timer_resolution >= self.useful_until(job) {
            let crowding = job.queue_per_slot();
            self.adjust_price(job.class, crowding);
            self.give_up(token, crowding, actions);
        } else if job.in_flight().next().is_none() {
            self.try_again(now, token, actions);
        } else {
            let copies = job.in_flight().count();
            // Danger: a copy of what merely waits in a queue makes all queues longer, until servers choke.
            // What is called off goes on running: only a server held for sick is worth the work twice.
            let silent = |at: &Attempt| {
                let endpoint = &self.state.endpoints[at.endpoint.0 as usize];
                endpoint.last_heard_at <= at.sent_at && endpoint.ejection.is_some()
            };
            let late = job
                .in_flight()
                .all(|(_, at)| now - at.sent_at >= STALL_FACTOR * at.expected_time && silent(at));
            let limits = &self.settings.limits;
            if limits.can_hedge && self.may_repeat(job.class) && copies < 2 && late {
                let chosen = self.choose_for_retry(now, token);
                if chosen.is_some_and(|id| {
                    self.queue_per_slot(&self.state.endpoints[id.0 as usize], now) < CROWDED_QUEUE
                }) {
                    return self.send(now, token, chosen, actions);
                }
            }
            let delay =
                (self.useful_until(&self.state.requests[&token]) - self.settings.timer_resolution - now)
                    .max(self.settings.timer_resolution);
            actions.push(Action::SetTimer { delay, token: TimerToken(token) });
        }
    }

    /// A server for another attempt, if the limits and the retry budget grant one.
    fn choose_for_retry(&mut self, now: Seconds, token: u64) -> Option<EndpointId> {
        let job = self.state.requests[&token].clone();
        // Danger: when everything fails, retries multiply the load that made it fail.
        let spare = (job.attempts.len() as u32) < job.max_attempts && self.state.retry_budget >= 1.0;
        spare.then(|| self.choose_endpoint(now, &job).0)?
    }

    fn try_again(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let job = &self.state.requests[&token];
        if job.attempts.is_empty() {
            return self.decide_first_attempt(now, token, actions);
        }
        match self.choose_for_retry(now, token) {
            None => self.give_up(token, self.state.requests[&token].queue_per_slot(), actions),
            chosen => self.send(now, token, chosen, actions),
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Seconds,
        of: Option<(u64, AttemptNumber)>,
        id: EndpointId,
        end: Outcome,
        rtt: Seconds,
    ) {
        let pool = self.load_pool(&self.state.endpoints[id.0 as usize].entry);
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        endpoint.in_flight = (endpoint.in_flight - 1.0).max(0.0);
        let unheard = now - rtt + self.settings.timer_resolution >= endpoint.last_heard_at;
        if end != Outcome::NotSent {
            let late = rtt + self.settings.timer_resolution >= self.state.shortest_target;
            let served = end == Outcome::Served;
            endpoint.concurrency.on_attempt_ended(
                now,
                endpoint.in_flight + 1.0,
                late,
                served,
                self.state.mean_service.value,
            );
        }
        let overdue = rtt >= 2.0 * STALL_FACTOR * endpoint.expected_time;
        let given_up = matches!(end, Outcome::TimedOut | Outcome::Cancelled);
        if end == Outcome::ConnectFailed || (self.settings.limits.streams_per_connection == 1 && given_up) {
            endpoint.connections = (endpoint.connections - 1.0).max(endpoint.in_flight);
        }
        if given_up && unheard && rtt >= STALL_FACTOR * endpoint.expected_time {
            self.record_unanswered(now, id, rtt);
        }
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        let attempt = of.and_then(|(token, round)| {
            let job = self.state.requests.get_mut(&token)?;
            let attempt = job.attempts.get_mut(round.0 as usize)?;
            attempt.outcome = Some(end);
            // Danger: a server that also sheds what it has begun may have run what it calls too much.
            attempt.never_ran = self.settings.rules.never_ran(end);
            Some((job.class, attempt.clone()))
        });
        if matches!(end, Outcome::Served | Outcome::Errored | Outcome::Rejected) {
            (endpoint.last_heard_at, endpoint.connection_used_at) = (now, now);
            self.state.zones[pool].last_heard_at = now;
            if let Some((_, attempt)) = &attempt {
                endpoint.expected_time = attempt.expected_time;
            }
        }
        match end {
            Outcome::ConnectFailed if endpoint.connections > endpoint.in_flight => {}
            Outcome::Served => {
                self.update_failure_odds(id, false);
                self.record_success(id);
                if let Some((class, attempt)) = &attempt {
                    self.record_response(id, *class, attempt, rtt);
                }
            }
            // Danger: a server that fails at once holds little and keeps winning pairs.
            Outcome::Errored => self.record_failure(now, id, EjectionCause::Errors),
            Outcome::ConnectFailed | Outcome::Reset => self.record_failure(now, id, EjectionCause::Silence),
            Outcome::Rejected => {
                // Danger: a full server whose report is old looks free.
                let slots = self.state.kinds[self.state.endpoints[id.0 as usize].entry.kind.0].slots.value;
                let endpoint = &mut self.state.endpoints[id.0 as usize];
                endpoint.load_of_others += slots;
                endpoint.reported_at = now;
            }
            Outcome::TimedOut if unheard => self.record_failure(now, id, EjectionCause::Silence),
            // Danger: a hung server's attempts are called off in the end or for a copy; then it looks idle.
            Outcome::Cancelled if unheard && overdue => self.record_failure(now, id, EjectionCause::Silence),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let missed = given_up
            && rtt + self.settings.timer_resolution >= OVERLOAD_MISS_AFTER * self.state.shortest_target;
        if let Some((class, _)) = attempt.as_ref().filter(|_| missed || end == Outcome::Served) {
            let share = (rtt / self.settings.classes[class.0].latency_target).min(1.0);
            let sample = if missed { OVERLOAD_MISS } else { share };
            self.state.overload.add(now, OVERLOAD_LIFE * self.state.mean_deadline, sample, OVERLOAD_GAIN);
        }
        // Danger: full servers turn away whoever comes next; worth has to decide before them.
        let tells =
            matches!(end, Outcome::Served | Outcome::Rejected) || (end == Outcome::TimedOut && !unheard);
        if let Some((class, attempt)) = attempt.filter(|_| tells) {
            let missed = end != Outcome::Served || rtt > self.settings.classes[class.0].latency_target;
            self.adjust_price(class, if missed { attempt.queue_factor - 1.0 } else { 0.0 });
        }
    }

    /// What follows for the request from the end of one of its attempts.
    pub(super) fn continue_request(
        &mut self,
        now: Seconds,
        token: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.state.requests[&token];
        if outcome == Outcome::NotSent || now + self.settings.timer_resolution >= self.useful_until(job) {
            return self.give_up(token, job.queue_per_slot(), actions);
        }
        if job.in_flight().next().is_none() {
            self.try_again(now, token, actions);
        }
    }

    pub(super) fn on_response_started(
        &mut self,
        id: RequestId,
        round: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.state.request_mut(id) else { return };
        job.response_started = true;
        if self.settings.limits.can_cancel {
            let others = job.in_flight().filter(|&(at, _)| at != round.0 as usize);
            actions.extend(others.map(|(at, _)| job.cancel(at)));
        }
    }

    /// The final answer that is not an outcome's: refused where a retry provably does no harm, else failed.
    /// The advice is what waits there, spread. Danger: clients that were refused together come back together.
    pub(super) fn give_up(&mut self, token: u64, crowding: f64, actions: &mut Vec<Action>) {
        let (job, ran) =
            (self.state.requests[&token].id, self.state.requests[&token].may_have_run().is_some());
        let wait = crowding * self.state.mean_service.value * self.random_unit();
        let not_before = wait.min(self.settings.limits.max_retry_after);
        let answer = if ran {
            Action::Fail { request: job }
        } else {
            Action::Reject { request: job, retry_after: not_before }
        };
        self.end_request(token, Some(answer), actions);
    }

    pub(super) fn end_request(&mut self, token: u64, answer: Option<Action>, actions: &mut Vec<Action>) {
        let Some(job) = self.state.requests.remove(&token) else { return };
        self.state.tokens.remove(&job.id);
        if job.attempts.iter().all(|attempt| attempt.outcome != Some(Outcome::Served)) {
            self.state.classes[job.class.0]
                .record_unserved(job.first_attempt_at, self.settings.classes[job.class.0].deadline);
        }
        // Danger: work nobody waits for any more keeps a server busy.
        if self.settings.limits.can_cancel && !job.response_started {
            actions.extend(job.in_flight().map(|(at, _)| job.cancel(at)));
        }
        actions.extend(answer);
    }
}
