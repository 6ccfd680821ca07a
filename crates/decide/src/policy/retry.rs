//! Sends, and when again: retries and second copies, what follows from an outcome, how a request ends.

use super::admission::{STRAIN_GAIN, STRAIN_LIFE, STRAIN_MISS, STRAIN_WAIT};
use super::{Balancer, CROWDED, STALL_AFTER};
use crate::interface::*;
use crate::state::*;

/// Retries and second copies together stay below this share of the requests, so that they feed no storm,
pub(super) const RETRY_SHARE: f64 = 0.2;
/// and below so many at once.
pub(super) const RETRY_BURST: f64 = 20.0;
/// A second copy goes out once this share of the wanted time has passed, and not where it delays first tries.
const COPY_AFTER: f64 = 0.5;
/// A request without a candidate looks again after so many ticks.
const HOLD_TICKS: f64 = 4.0;

impl Balancer {
    pub(super) fn send(
        &mut self,
        now: Seconds,
        token: u64,
        chosen: Option<EndpointId>,
        actions: &mut Vec<Action>,
    ) {
        let tick = self.settings.timer_resolution;
        let Some(job) = self.seen.jobs.get(&token) else { return };
        let class = job.class;
        let mut wake = self.end(job) - tick;
        let Some(id) = chosen else {
            wake = wake.min(now + HOLD_TICKS * tick);
            actions.push(Action::SetTimer { delay: (wake - now).max(tick), token: TimerToken(token) });
            return;
        };
        let endpoint = &self.seen.endpoints[id.0 as usize];
        let crowding = 1.0 + self.crowding(endpoint, now);
        let expected = self.expected(endpoint, class, now);
        if self.repeatable(class) {
            let copy = COPY_AFTER * self.settings.classes[class.0].latency_target;
            wake = wake.min(now + copy.max(2.0 * expected));
        }
        let connected = self.connected(endpoint, now);
        let endpoint = &mut self.seen.endpoints[id.0 as usize];
        if !connected {
            // Danger: closing for want of a free one would close those that are counted too low.
            let streams = f64::from(self.settings.limits.streams_per_connection);
            let aged = endpoint.connections * streams > endpoint.out;
            actions.extend(aged.then_some(Action::CloseIdleConnections { endpoint: id }));
            endpoint.connections = (endpoint.out / streams).ceil() + 1.0;
        }
        if endpoint.out == 0.0 {
            endpoint.heard = endpoint.heard.max(now);
            endpoint.expected = expected;
        }
        endpoint.out += 1.0;
        let attempt = Attempt::new(id, now, expected, crowding);
        if let Some(job) = self.seen.jobs.get_mut(&token) {
            if !job.attempts.is_empty() {
                self.seen.retries -= 1.0;
            }
            actions.push(Action::Send { request: job.id, endpoint: id, deadline: job.deadline });
            job.attempts.push(attempt);
        }
        actions.push(Action::SetTimer { delay: (wake - now).max(tick), token: TimerToken(token) });
    }

    pub(super) fn wake(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let Some(job) = self.seen.jobs.get(&token) else { return };
        if job.begun || (job.coming && !job.attempts.is_empty()) {
            return;
        }
        if now + self.settings.timer_resolution >= self.end(job) {
            let crowding = job.crowding();
            self.move_price(job.class, crowding);
            self.finish(token, crowding, actions);
        } else if job.out().next().is_none() {
            self.again(now, token, actions);
        } else {
            let copies = job.out().count();
            // Danger: a copy of what merely waits in a queue makes all queues longer, until servers choke.
            // What is called off goes on running: only a server held for sick is worth the work twice.
            let silent = |at: &Attempt| {
                let endpoint = &self.seen.endpoints[at.endpoint.0 as usize];
                endpoint.heard <= at.sent && endpoint.shun.is_some()
            };
            let late = job.out().all(|(_, at)| now - at.sent >= STALL_AFTER * at.expected && silent(at));
            let limits = &self.settings.limits;
            if limits.can_hedge && self.repeatable(job.class) && copies < 2 && late {
                let chosen = self.retry(now, token);
                if chosen.is_some_and(|id| self.crowding(&self.seen.endpoints[id.0 as usize], now) < CROWDED)
                {
                    return self.send(now, token, chosen, actions);
                }
            }
            let delay = (self.end(&self.seen.jobs[&token]) - self.settings.timer_resolution - now)
                .max(self.settings.timer_resolution);
            actions.push(Action::SetTimer { delay, token: TimerToken(token) });
        }
    }

    /// A server for another attempt, if the limits and the retry budget grant one.
    fn retry(&mut self, now: Seconds, token: u64) -> Option<EndpointId> {
        let job = self.seen.jobs[&token].clone();
        // Danger: when everything fails, retries multiply the load that made it fail.
        let spare = (job.attempts.len() as u32) < job.most && self.seen.retries >= 1.0;
        spare.then(|| self.choose(now, &job).0)?
    }

    fn again(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let job = &self.seen.jobs[&token];
        if job.attempts.is_empty() {
            return self.decide(now, token, actions);
        }
        match self.retry(now, token) {
            None => self.finish(token, self.seen.jobs[&token].crowding(), actions),
            chosen => self.send(now, token, chosen, actions),
        }
    }

    pub(super) fn ended(
        &mut self,
        now: Seconds,
        of: Option<(u64, AttemptNumber)>,
        id: EndpointId,
        end: Outcome,
        rtt: Seconds,
    ) {
        let pool = self.pool(&self.seen.endpoints[id.0 as usize].entry);
        let endpoint = &mut self.seen.endpoints[id.0 as usize];
        endpoint.out = (endpoint.out - 1.0).max(0.0);
        let unheard = now - rtt + self.settings.timer_resolution >= endpoint.heard;
        if end != Outcome::NotSent {
            let late = rtt + self.settings.timer_resolution >= self.seen.least_target;
            let served = end == Outcome::Served;
            endpoint.room.judge(now, endpoint.out + 1.0, late, served, self.seen.mean_service.value);
        }
        let overdue = rtt >= 2.0 * STALL_AFTER * endpoint.expected;
        let given_up = matches!(end, Outcome::TimedOut | Outcome::Cancelled);
        if end == Outcome::ConnectFailed || (self.settings.limits.streams_per_connection == 1 && given_up) {
            endpoint.connections = (endpoint.connections - 1.0).max(endpoint.out);
        }
        if given_up && unheard && rtt >= STALL_AFTER * endpoint.expected {
            self.unanswered(now, id, rtt);
        }
        let endpoint = &mut self.seen.endpoints[id.0 as usize];
        let attempt = of.and_then(|(token, round)| {
            let job = self.seen.jobs.get_mut(&token)?;
            let attempt = job.attempts.get_mut(round.0 as usize)?;
            attempt.ended = Some(end);
            // Danger: a server that also sheds what it has begun may have run what it calls too much.
            attempt.never_ran = self.settings.rules.never_ran(end);
            Some((job.class, attempt.clone()))
        });
        if matches!(end, Outcome::Served | Outcome::Errored | Outcome::Rejected) {
            (endpoint.heard, endpoint.used) = (now, now);
            self.seen.zones[pool].heard = now;
            if let Some((_, attempt)) = &attempt {
                endpoint.expected = attempt.expected;
            }
        }
        match end {
            Outcome::ConnectFailed if endpoint.connections > endpoint.out => {}
            Outcome::Served => {
                self.weigh(id, false);
                self.prove(id);
                if let Some((class, attempt)) = &attempt {
                    self.learn(id, *class, attempt, rtt);
                }
            }
            // Danger: a server that fails at once holds little and keeps winning pairs.
            Outcome::Errored => self.blame(now, id, Fault::Errors),
            Outcome::ConnectFailed | Outcome::Reset => self.blame(now, id, Fault::Silence),
            Outcome::Rejected => {
                // Danger: a full server whose report is old looks free.
                let slots = self.seen.kinds[self.seen.endpoints[id.0 as usize].entry.kind.0].slots.value;
                let endpoint = &mut self.seen.endpoints[id.0 as usize];
                endpoint.others += slots;
                endpoint.reported_at = now;
            }
            Outcome::TimedOut if unheard => self.blame(now, id, Fault::Silence),
            // Danger: a hung server's attempts are called off in the end or for a copy; then it looks idle.
            Outcome::Cancelled if unheard && overdue => self.blame(now, id, Fault::Silence),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        let missed = given_up && rtt + self.settings.timer_resolution >= STRAIN_WAIT * self.seen.least_target;
        if let Some((class, _)) = attempt.as_ref().filter(|_| missed || end == Outcome::Served) {
            let share = (rtt / self.settings.classes[class.0].latency_target).min(1.0);
            let sample = if missed { STRAIN_MISS } else { share };
            self.seen.strain.add(now, STRAIN_LIFE * self.seen.mean_deadline, sample, STRAIN_GAIN);
        }
        // Danger: full servers turn away whoever comes next; worth has to decide before them.
        let tells =
            matches!(end, Outcome::Served | Outcome::Rejected) || (end == Outcome::TimedOut && !unheard);
        if let Some((class, attempt)) = attempt.filter(|_| tells) {
            let missed = end != Outcome::Served || rtt > self.settings.classes[class.0].latency_target;
            self.move_price(class, if missed { attempt.crowding - 1.0 } else { 0.0 });
        }
    }

    /// What follows for the request from the end of one of its attempts.
    pub(super) fn proceed(&mut self, now: Seconds, token: u64, outcome: Outcome, actions: &mut Vec<Action>) {
        let job = &self.seen.jobs[&token];
        if outcome == Outcome::NotSent || now + self.settings.timer_resolution >= self.end(job) {
            return self.finish(token, job.crowding(), actions);
        }
        if job.out().next().is_none() {
            self.again(now, token, actions);
        }
    }

    pub(super) fn begun(&mut self, id: RequestId, round: AttemptNumber, actions: &mut Vec<Action>) {
        let Some(job) = self.seen.job(id) else { return };
        job.begun = true;
        if self.settings.limits.can_cancel {
            let others = job.out().filter(|&(at, _)| at != round.0 as usize);
            actions.extend(others.map(|(at, _)| job.cancel(at)));
        }
    }

    /// The final answer that is not an outcome's: refused where a retry provably does no harm, else failed.
    /// The advice is what waits there, spread. Danger: clients that were refused together come back together.
    pub(super) fn finish(&mut self, token: u64, crowding: f64, actions: &mut Vec<Action>) {
        let (job, ran) = (self.seen.jobs[&token].id, self.seen.jobs[&token].may_have_run().is_some());
        let wait = crowding * self.seen.mean_service.value * self.chance();
        let not_before = wait.min(self.settings.limits.max_retry_after);
        let answer = if ran {
            Action::Fail { request: job }
        } else {
            Action::Reject { request: job, retry_after: not_before }
        };
        self.drop_job(token, Some(answer), actions);
    }

    pub(super) fn drop_job(&mut self, token: u64, answer: Option<Action>, actions: &mut Vec<Action>) {
        let Some(job) = self.seen.jobs.remove(&token) else { return };
        self.seen.tokens.remove(&job.id);
        if job.attempts.iter().all(|attempt| attempt.ended != Some(Outcome::Served)) {
            self.seen.classes[job.class.0].failed(job.origin, self.settings.classes[job.class.0].deadline);
        }
        // Danger: work nobody waits for any more keeps a server busy.
        if self.settings.limits.can_cancel && !job.begun {
            actions.extend(job.out().map(|(at, _)| job.cancel(at)));
        }
        actions.extend(answer);
    }
}
