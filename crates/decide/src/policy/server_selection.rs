//! Whom to send to: the candidates, the lower of a random pair of them, who is left out.

use mosshead_load_board as load_board;

use super::{Balancer, CROWDED_QUEUE, MEAN_GAIN};
use crate::interface::*;
use crate::state::*;

/// A server that failed is shunned for a mean deadline, doubled with each failed trial at most so many times.
const MAX_EJECTION_DOUBLINGS: u32 = 2;
/// A sick server fails so often;
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;
/// a sound one as often as all do, which is taken to be at least this.
const MIN_FAILURE_RATE: f64 = 0.01;
/// A server is shunned once the logarithm of the odds that it is sick has risen by this.
const EJECTION_LOG_ODDS: f64 = 5.0;
/// So many trials in a row must succeed before a failed server is an ordinary candidate again.
const TRIALS_TO_RECOVER: u32 = 3;
/// All lots together send a cold server at most this share of the stated multiple of its part,
const SLOW_START_SHARE: f64 = 0.4;
/// where the traffic is taken to be up to this much more than the warm fleet can do.
pub(super) const SLOW_START_OVERLOAD: f64 = 2.0;
/// What the fleet can do is reckoned anew after this share of a warm-up.
pub(super) const REVIEW_SHARE: f64 = 1.0 / 16.0;
/// A pair is drawn from so many servers of a zone side at least,
const MIN_SUBSET: usize = 3;
/// and from so many for each own request in a mean deadline: more are heard of in time only by probes.
const SUBSET_SHARE: f64 = 0.25;
/// The pair is probed before a first try where two probes cost less than this share of a mean worth,
const MAX_PROBE_COST: f64 = 0.05;
/// where less than this is left of what either's report says,
pub(super) const STALE_REPORT: f64 = 0.05;
/// unless a probe took longer than this share of a mean service: then probes wait among the requests,
pub(super) const SLOW_PROBE: f64 = 0.25;
/// and rest for so many mean deadlines;
pub(super) const PROBE_PAUSE: f64 = 4.0;
/// where so much of a report holds on arrival, the higher one of a crowded pair gives way to another,
const RELIABLE_REPORT: f64 = 0.5;
/// until so many have been asked;
const MAX_PROBED: usize = 5;
/// their answers are waited for during this share of the wanted time.
pub(super) const PROBE_WAIT: f64 = 1.0 / 16.0;

impl Balancer {
    /// The lower of two distinct candidates drawn at random: the one place where a server is chosen.
    /// With it those of the pair that have to be probed first.
    fn choose_of_pair(
        &mut self,
        now: Seconds,
        job: &PendingRequest,
        candidates: &[usize],
    ) -> Option<(EndpointId, Vec<usize>)> {
        // The pair that was probed for this job stays its pair.
        let asked: Vec<usize> =
            candidates.iter().copied().filter(|index| job.probed_pair.contains(index)).collect();
        let from = if asked.is_empty() || !job.attempts.is_empty() { candidates } else { &asked };
        let Some((first, second)) = load_board::two_distinct(&mut self.rng, from.len()) else {
            return from.first().map(|&index| (EndpointId(index as u32), Vec::new()));
        };
        let pair = [from[first], from[second]];
        let [first, second] = pair.map(|index| (index, self.load_score(&self.state.endpoints[index], now)));
        let lower = load_board::lower_of_drawn(first, second);
        // The more of a report holds on arrival, the sooner a new one is worth its price.
        let trust = STALE_REPORT.powf(1.0 - self.report_reliability());
        let stale = |index: usize| self.report_freshness(&self.state.endpoints[index], now) < trust;
        let cheap = self.settings.limits.can_probe && 2.0 * self.settings.probe_cost <= MAX_PROBE_COST;
        let due = job.attempts.is_empty() && now < job.probes_until && now >= self.state.probes_paused_until;
        let known = self.report_reliability() >= RELIABLE_REPORT && job.probed.len() < MAX_PROBED;
        let ask = match asked.len() {
            0 if cheap && due && pair.into_iter().any(stale) => pair.to_vec(),
            // What another one holds costs little to know.
            2 if cheap
                && due
                && known
                && self.queue_per_slot(&self.state.endpoints[lower], now) > CROWDED_QUEUE =>
            {
                let strange = || candidates.iter().copied().filter(|index| !job.probed.contains(index));
                let other = load_board::random_index(&mut self.rng, strange().count());
                strange().nth(other).into_iter().collect()
            }
            _ => Vec::new(),
        };
        Some((EndpointId(lower as u32), ask))
    }

    /// The server for the job's next attempt, or those whose figures are too old and have to be asked first.
    pub(super) fn choose_endpoint(
        &mut self,
        now: Seconds,
        job: &PendingRequest,
    ) -> (Option<EndpointId>, Vec<usize>) {
        let requests = self.state.request_rate.read(now, self.state.mean_deadline) * self.state.mean_deadline;
        let subset = match job.may_have_run() {
            None if self.report_reliability() < RELIABLE_REPORT => {
                MIN_SUBSET.max((SUBSET_SHARE * requests) as usize)
            }
            _ => self.state.endpoints.len(),
        };
        let side = |side: &[usize], spare: bool| -> Vec<usize> {
            let left = |&index: &usize| !spare || !self.is_reserved(&self.state.endpoints[index].entry);
            let open = side.iter().copied().filter(|&index| self.is_allowed(now, job, index));
            open.filter(left).take(2 * subset).collect()
        };
        let sides = |spare: bool| [side(&self.state.local, spare), side(&self.state.remote, spare)].concat();
        let open = Some(sides(job.avoids_reserved && job.attempts.is_empty()))
            .filter(|open| !open.is_empty())
            .unwrap_or_else(|| sides(false));
        let only = |from: &[usize], keep: &dyn Fn(usize) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|&index| keep(index)).collect()
        };
        let tried = |index| job.attempts.iter().any(|attempt| attempt.endpoint.0 as usize == index);
        let untried = only(&open, &|index| !tried(index));
        let open = if untried.is_empty() && job.in_flight().next().is_none() { open } else { untried };
        let fit = only(&open, &|index| self.is_healthy(now, job, index));
        let hears = |index: usize| {
            self.state.endpoints[index].ejection.is_none_or(|shun| shun.cause == EjectionCause::Errors)
        };
        let reachable = only(&open, &hears);
        // Danger: with most servers looking bad the evidence is contradictory, and shunning drowns the rest.
        let trusted = fit.len() * 2 >= open.len() && !fit.is_empty();
        let reached = if reachable.len() * 2 < open.len() { open } else { reachable };
        let mut pool = if trusted { fit } else { reached };
        // Danger: a server that is given more than it answers in time chokes, and stays so until left alone.
        pool.retain(|&index| !self.state.endpoints[index].is_full());
        let at_home = |index: &usize| self.state.endpoints[*index].entry.zone == self.settings.zone;
        let (mut near, mut far): (Vec<usize>, Vec<usize>) = pool.into_iter().partition(at_home);
        near.truncate(subset);
        far.truncate(subset);
        let warm = near.len() + far.len();
        for side in [(&mut near, true), (&mut far, false)] {
            // Each is in the pair for two of so many draws.
            let draws = (warm as f64 + 1.0) / 2.0;
            side.0.extend(self.state.slow_starting.iter().copied().filter(|index| {
                at_home(index) == side.1
                    && self.is_allowed(now, job, *index)
                    && self.is_healthy(now, job, *index)
                    && !tried(*index)
                    && !self.state.endpoints[*index].is_full()
                    && self.has_slow_start_share(now, job, *index, draws)
            }));
        }
        self.choose_of_pair(now, job, &[near, far].concat())
            .map_or((None, Vec::new()), |(id, ask)| (Some(id), ask))
    }

    /// Whether the rules allow the job there at all.
    pub(super) fn is_allowed(&self, now: Seconds, job: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        // Danger: a drain or removal counts from the moment it is told.
        if endpoint.entry.readiness != Readiness::Ready {
            return false;
        }
        // Danger: work bound to some servers breaks its placement elsewhere, however sick or full those are.
        if !self.settings.classes[job.class.0].permits(&endpoint.entry) {
            return false;
        }
        let Some(ran) = job.may_have_run() else { return true };
        // Danger: an effect twice. What may have run goes out again only where a repeat is discarded.
        match self.settings.classes[job.class.0].repeat_effect {
            RepeatEffect::Safe => true,
            RepeatEffect::Unsafe => false,
            RepeatEffect::Keyed { scope, window } => {
                let first = &self.state.endpoints[ran.endpoint.0 as usize].entry;
                let remembered = now + self.settings.timer_resolution < ran.sent_at + window;
                remembered
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == endpoint.entry.zone,
                        DedupScope::Group => first.group == endpoint.entry.group,
                    }
            }
        }
    }

    pub(super) fn is_reserved(&self, entry: &ListEntry) -> bool {
        self.settings.classes.iter().any(|class| class.is_restricted() && class.permits(entry))
    }

    /// Whether the server looks healthy, or is due a trial that this request can bear.
    fn is_healthy(&self, now: Seconds, job: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        let Some(shun) = endpoint.ejection else { return true };
        // Danger: a trial may fail, and an unsafe request that failed is lost; repeatable ones go first.
        let mut classes = (0..self.state.classes.len()).map(ClassId);
        let bears = self.may_repeat(job.class) || !classes.any(|class| self.may_repeat(class));
        now >= shun.until && endpoint.in_flight == 0.0 && bears
    }

    /// Whether a cold server is a candidate for this job, which meets it in one of `draws` draws.
    /// Danger: sidecars together push a cold server over, or with what each of them has saved up for it. Each
    /// request's lot falls once, however often it looks again, and all lots together keep within the budget.
    fn has_slow_start_share(&self, now: Seconds, job: &PendingRequest, index: usize, draws: f64) -> bool {
        let endpoint = &self.state.endpoints[index];
        let budget = SLOW_START_SHARE * self.settings.rules.overload_factor;
        let share = budget * self.capacity(endpoint, now) / self.state.fleet_capacity;
        (job.slow_start_draw + f64::from(endpoint.preference) / f64::from(u32::MAX)).fract()
            < share * draws.max(1.0)
    }

    /// Danger: answers fail now and then at any server; shunned for each, most of a sound fleet stands idle.
    pub(super) fn record_failure(&mut self, now: Seconds, id: EndpointId, fault: EjectionCause) {
        if self.update_failure_odds(id, true) >= EJECTION_LOG_ODDS
            || self.state.endpoints[id.0 as usize].ejection.is_some()
        {
            self.eject(now, id, fault);
        }
    }

    /// How much likelier it is that the server is sick than that it fails as often as all of them do.
    pub(super) fn update_failure_odds(&mut self, id: EndpointId, failed: bool) -> f64 {
        let common = self.state.failure_rate.value.max(MIN_FAILURE_RATE);
        self.state.failure_rate.add(f64::from(failed), MEAN_GAIN);
        let doubt = &mut self.state.endpoints[id.0 as usize].failure_log_odds;
        let odds = if failed {
            UNHEALTHY_FAILURE_RATE / common
        } else {
            (1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - common)
        };
        *doubt = (*doubt + odds.ln()).clamp(0.0, EJECTION_LOG_ODDS);
        *doubt
    }

    pub(super) fn eject(&mut self, now: Seconds, id: EndpointId, fault: EjectionCause) {
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        let strikes = match endpoint.ejection {
            Some(shun) if now < shun.until => shun.repetitions,
            Some(shun) => (shun.repetitions + 1).min(MAX_EJECTION_DOUBLINGS),
            None => 0,
        };
        let until = now + self.state.mean_deadline * f64::from(1 << strikes);
        endpoint.ejection =
            Some(Ejection { cause: fault, until, repetitions: strikes, successful_trials: 0 });
    }

    pub(super) fn record_success(&mut self, id: EndpointId) {
        self.state.endpoints[id.0 as usize].ejection.take_if(|trial| {
            trial.successful_trials += 1;
            trial.successful_trials >= TRIALS_TO_RECOVER
        });
    }
}
