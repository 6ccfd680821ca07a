//! Whom to send to: the candidates, the lower of a random pair of them, who is left out.

use mosshead_load_board as load_board;

use super::{Balancer, CROWDED, MEAN_GAIN};
use crate::interface::*;
use crate::state::*;

/// A server that failed is shunned for a mean deadline, doubled with each failed trial at most so many times.
const SHUN_DOUBLINGS: u32 = 2;
/// A sick server fails so often;
const SICK: f64 = 0.5;
/// a sound one as often as all do, which is taken to be at least this.
const FAILURES_LEAST: f64 = 0.01;
/// A server is shunned once the logarithm of the odds that it is sick has risen by this.
const BLAME: f64 = 5.0;
/// So many trials in a row must succeed before a failed server is an ordinary candidate again.
const TRIALS: u32 = 3;
/// All lots together send a cold server at most this share of the stated multiple of its part,
const COLD_SHARE: f64 = 0.4;
/// where the traffic is taken to be up to this much more than the warm fleet can do.
pub(super) const COLD_LOAD: f64 = 2.0;
/// What the fleet can do is reckoned anew after this share of a warm-up.
pub(super) const COLD_REVIEW: f64 = 1.0 / 16.0;
/// A pair is drawn from so many servers of a zone side at least,
const SUBSET_LEAST: usize = 3;
/// and from so many for each own request in a mean deadline: more are heard of in time only by probes.
const SUBSET_SHARE: f64 = 0.25;
/// The pair is probed before a first try where two probes cost less than this share of a mean worth,
const PROBE_CHEAP: f64 = 0.05;
/// where less than this is left of what either's report says,
pub(super) const PROBE_TRUST: f64 = 0.05;
/// unless a probe took longer than this share of a mean service: then probes wait among the requests,
pub(super) const PROBE_SLOW: f64 = 0.25;
/// and rest for so many mean deadlines;
pub(super) const PROBE_REST: f64 = 4.0;
/// where so much of a report holds on arrival, the higher one of a crowded pair gives way to another,
const PROBE_HOLDS: f64 = 0.5;
/// until so many have been asked;
const PROBE_MOST: usize = 5;
/// their answers are waited for during this share of the wanted time.
pub(super) const PROBE_WAIT: f64 = 1.0 / 16.0;

impl Balancer {
    /// The lower of two distinct candidates drawn at random: the one place where a server is chosen.
    /// With it those of the pair that have to be probed first.
    fn draw(&mut self, now: Seconds, job: &Job, candidates: &[usize]) -> Option<(EndpointId, Vec<usize>)> {
        // The pair that was probed for this job stays its pair.
        let asked: Vec<usize> =
            candidates.iter().copied().filter(|index| job.asked.contains(index)).collect();
        let from = if asked.is_empty() || !job.attempts.is_empty() { candidates } else { &asked };
        let Some((first, second)) = load_board::two(&mut self.rng, from.len()) else {
            return from.first().map(|&index| (EndpointId(index as u32), Vec::new()));
        };
        let pair = [from[first], from[second]];
        let [first, second] = pair.map(|index| (index, self.figure(&self.seen.endpoints[index], now)));
        let lower = load_board::lower_of_drawn(first, second);
        // The more of a report holds on arrival, the sooner a new one is worth its price.
        let trust = PROBE_TRUST.powf(1.0 - self.credence());
        let stale = |index: usize| self.trust(&self.seen.endpoints[index], now) < trust;
        let cheap = self.settings.limits.can_probe && 2.0 * self.settings.probe_cost <= PROBE_CHEAP;
        let due = job.attempts.is_empty() && now < job.ask_until && now >= self.seen.rest_until;
        let known = self.credence() >= PROBE_HOLDS && job.met.len() < PROBE_MOST;
        let ask = match asked.len() {
            0 if cheap && due && pair.into_iter().any(stale) => pair.to_vec(),
            // What another one holds costs little to know.
            2 if cheap && due && known && self.crowding(&self.seen.endpoints[lower], now) > CROWDED => {
                let strange = || candidates.iter().copied().filter(|index| !job.met.contains(index));
                let other = load_board::below(&mut self.rng, strange().count());
                strange().nth(other).into_iter().collect()
            }
            _ => Vec::new(),
        };
        Some((EndpointId(lower as u32), ask))
    }

    /// The server for the job's next attempt, or those whose figures are too old and have to be asked first.
    pub(super) fn choose(&mut self, now: Seconds, job: &Job) -> (Option<EndpointId>, Vec<usize>) {
        let requests = self.seen.rate.read(now, self.seen.mean_deadline) * self.seen.mean_deadline;
        let subset = match job.may_have_run() {
            None if self.credence() < PROBE_HOLDS => SUBSET_LEAST.max((SUBSET_SHARE * requests) as usize),
            _ => self.seen.endpoints.len(),
        };
        let side = |side: &[usize], spare: bool| -> Vec<usize> {
            let left = |&index: &usize| !spare || !self.reserved(&self.seen.endpoints[index].entry);
            let open = side.iter().copied().filter(|&index| self.open(now, job, index));
            open.filter(left).take(2 * subset).collect()
        };
        let sides = |spare: bool| [side(&self.seen.near, spare), side(&self.seen.far, spare)].concat();
        let open = Some(sides(job.spare && job.attempts.is_empty()))
            .filter(|open| !open.is_empty())
            .unwrap_or_else(|| sides(false));
        let only = |from: &[usize], keep: &dyn Fn(usize) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|&index| keep(index)).collect()
        };
        let tried = |index| job.attempts.iter().any(|attempt| attempt.endpoint.0 as usize == index);
        let untried = only(&open, &|index| !tried(index));
        let open = if untried.is_empty() && job.out().next().is_none() { open } else { untried };
        let fit = only(&open, &|index| self.fit(now, job, index));
        let hears =
            |index: usize| self.seen.endpoints[index].shun.is_none_or(|shun| shun.fault == Fault::Errors);
        let reachable = only(&open, &hears);
        // Danger: with most servers looking bad the evidence is contradictory, and shunning drowns the rest.
        let trusted = fit.len() * 2 >= open.len() && !fit.is_empty();
        let reached = if reachable.len() * 2 < open.len() { open } else { reachable };
        let mut pool = if trusted { fit } else { reached };
        // Danger: a server that is given more than it answers in time chokes, and stays so until left alone.
        pool.retain(|&index| !self.seen.endpoints[index].full());
        let at_home = |index: &usize| self.seen.endpoints[*index].entry.zone == self.settings.zone;
        let (mut near, mut far): (Vec<usize>, Vec<usize>) = pool.into_iter().partition(at_home);
        near.truncate(subset);
        far.truncate(subset);
        let warm = near.len() + far.len();
        for side in [(&mut near, true), (&mut far, false)] {
            // Each is in the pair for two of so many draws.
            let draws = (warm as f64 + 1.0) / 2.0;
            side.0.extend(self.seen.cold.iter().copied().filter(|index| {
                at_home(index) == side.1
                    && self.open(now, job, *index)
                    && self.fit(now, job, *index)
                    && !tried(*index)
                    && !self.seen.endpoints[*index].full()
                    && self.allotted(now, job, *index, draws)
            }));
        }
        self.draw(now, job, &[near, far].concat()).map_or((None, Vec::new()), |(id, ask)| (Some(id), ask))
    }

    /// Whether the rules allow the job there at all.
    pub(super) fn open(&self, now: Seconds, job: &Job, index: usize) -> bool {
        let endpoint = &self.seen.endpoints[index];
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
                let first = &self.seen.endpoints[ran.endpoint.0 as usize].entry;
                let remembered = now + self.settings.timer_resolution < ran.sent + window;
                remembered
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == endpoint.entry.zone,
                        DedupScope::Group => first.group == endpoint.entry.group,
                    }
            }
        }
    }

    pub(super) fn reserved(&self, entry: &ListEntry) -> bool {
        self.settings.classes.iter().any(|class| class.is_restricted() && class.permits(entry))
    }

    /// Whether the server looks healthy, or is due a trial that this request can bear.
    fn fit(&self, now: Seconds, job: &Job, index: usize) -> bool {
        let endpoint = &self.seen.endpoints[index];
        let Some(shun) = endpoint.shun else { return true };
        // Danger: a trial may fail, and an unsafe request that failed is lost; repeatable ones go first.
        let mut classes = (0..self.seen.classes.len()).map(ClassId);
        let bears = self.repeatable(job.class) || !classes.any(|class| self.repeatable(class));
        now >= shun.until && endpoint.out == 0.0 && bears
    }

    /// Whether a cold server is a candidate for this job, which meets it in one of `draws` draws.
    /// Danger: sidecars together push a cold server over, or with what each of them has saved up for it. Each
    /// request's lot falls once, however often it looks again, and all lots together keep within the budget.
    fn allotted(&self, now: Seconds, job: &Job, index: usize, draws: f64) -> bool {
        let endpoint = &self.seen.endpoints[index];
        let budget = COLD_SHARE * self.settings.rules.overload_factor;
        let share = budget * self.capacity(endpoint, now) / self.seen.fleet;
        (job.lot + f64::from(endpoint.rank) / f64::from(u32::MAX)).fract() < share * draws.max(1.0)
    }

    /// Danger: answers fail now and then at any server; shunned for each, most of a sound fleet stands idle.
    pub(super) fn blame(&mut self, now: Seconds, id: EndpointId, fault: Fault) {
        if self.weigh(id, true) >= BLAME || self.seen.endpoints[id.0 as usize].shun.is_some() {
            self.shun(now, id, fault);
        }
    }

    /// How much likelier it is that the server is sick than that it fails as often as all of them do.
    pub(super) fn weigh(&mut self, id: EndpointId, failed: bool) -> f64 {
        let common = self.seen.failures.value.max(FAILURES_LEAST);
        self.seen.failures.add(f64::from(failed), MEAN_GAIN);
        let doubt = &mut self.seen.endpoints[id.0 as usize].doubt;
        let odds = if failed { SICK / common } else { (1.0 - SICK) / (1.0 - common) };
        *doubt = (*doubt + odds.ln()).clamp(0.0, BLAME);
        *doubt
    }

    pub(super) fn shun(&mut self, now: Seconds, id: EndpointId, fault: Fault) {
        let endpoint = &mut self.seen.endpoints[id.0 as usize];
        let strikes = match endpoint.shun {
            Some(shun) if now < shun.until => shun.strikes,
            Some(shun) => (shun.strikes + 1).min(SHUN_DOUBLINGS),
            None => 0,
        };
        let until = now + self.seen.mean_deadline * f64::from(1 << strikes);
        endpoint.shun = Some(Shun { fault, until, strikes, proofs: 0 });
    }

    pub(super) fn prove(&mut self, id: EndpointId) {
        self.seen.endpoints[id.0 as usize].shun.take_if(|trial| {
            trial.proofs += 1;
            trial.proofs >= TRIALS
        });
    }
}
