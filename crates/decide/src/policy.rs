//! Every decision of the balancer. Types, events and actions: `src/interface.rs`; what is remembered of each
//! server and request: `src/state.rs`. Here: events and the list; each concern has its file.
//!
//! The rule: keep for each ready server its last reported load plus what this balancer has out there itself,
//! draw two distinct servers at random, send to the lower one, break ties at random. Each departure below
//! changes who is in the candidate set or what a figure means; the choice stays the lower of a random pair.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::state::*;

mod admission;
mod load_estimation;
mod retry;
mod server_selection;

use admission::PRICE_RANGE;
pub(crate) use admission::STRAIN_LIFE;
use load_estimation::REPORT_AGE;
use retry::RETRY_BURST;
use server_selection::{COLD_LOAD, COLD_REVIEW, PROBE_REST, PROBE_SLOW};

/// Weight of a new sample in the fleet's means: slow, so that one bad server does not become the norm.
const MEAN_GAIN: f64 = 1.0 / 64.0;
/// Service times are heavy-tailed: a sample counts for at most so many times the mean.
const SAMPLE_CAP: f64 = 4.0;
/// A server silent for more than so many expected times, with attempts out, counts as that much slower.
const STALL_AFTER: f64 = 1.5;
/// Where so many requests wait for each slot a server is crowded.
const CROWDED: f64 = 0.5;
/// The timer of the subscription; requests count from 1.
const WATCH_TOKEN: u64 = 0;

/// The decisions of one sidecar.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Pcg32,
    pub(crate) seen: Memory,
}

impl Balancer {
    /// A balancer that knows nothing yet; `seed` feeds its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut seen = Memory::new(&settings);
        seen.next_token = WATCH_TOKEN + 1;
        seen.report_age = REPORT_AGE;
        seen.retries = RETRY_BURST / 2.0;
        seen.prices.fill(PRICE_RANGE.0.ln());
        Ok(Self { rng: Pcg32::seed_from_u64(seed), seen, settings })
    }

    /// Takes one event and appends what is to be done about it.
    pub(crate) fn event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdated(update) => self.list(now, update, actions),
            Event::RequestReceived(request) => self.request(now, request, actions),
            Event::HeadReceived(request) => {
                let job = request.id;
                self.request(now, request, actions);
                self.seen.job(job).into_iter().for_each(|job| job.coming = true);
            }
            Event::BodyReceived { request: job, time_left } => {
                self.seen.job(job).into_iter().for_each(|job| job.whole(now, time_left));
                if let Some(&token) = self.seen.tokens.get(&job) {
                    self.wake(now, token, actions);
                }
            }
            Event::AttemptEnded { request: job, attempt: round, endpoint, outcome, rtt, settled, report } => {
                self.report(now, endpoint, report);
                let token = self.seen.tokens.get(&job).copied();
                self.ended(now, token.map(|token| (token, round)), endpoint, outcome, rtt);
                match token {
                    Some(token) if settled => self.drop_job(token, None, actions),
                    Some(token) => self.proceed(now, token, outcome, actions),
                    None => {}
                }
            }
            Event::ResponseStarted { request: job, attempt: round } => self.begun(job, round, actions),
            Event::ProbeEnded { endpoint, outcome, rtt, report } => {
                self.report(now, endpoint, report);
                // Danger: where probes wait like requests, they crowd out what they are sent for.
                match outcome {
                    Outcome::Served if rtt <= PROBE_SLOW * self.seen.mean_service.value => {}
                    Outcome::Served | Outcome::Rejected => {
                        self.seen.rest_until = now + PROBE_REST * self.seen.mean_deadline;
                    }
                    _ => self.shun(now, endpoint, Fault::Silence),
                }
                self.probed(now, endpoint, actions);
            }
            Event::RequestWithdrawn { request: job } => {
                if let Some(&token) = self.seen.tokens.get(&job) {
                    self.drop_job(token, None, actions);
                }
            }
            Event::TimerFired(TimerToken(WATCH_TOKEN)) => actions.push(Action::WatchList),
            Event::TimerFired(TimerToken(token)) => self.wake(now, token, actions),
        }
    }

    fn list(&mut self, now: Seconds, update: ListUpdate, actions: &mut Vec<Action>) {
        let asking = self.settings.membership == Membership::Pull;
        match update {
            ListUpdate::Failed if !asking => return,
            ListUpdate::Failed => {
                let chance = self.chance();
                let delay = self.seen.pace.failed(
                    self.settings.rules.refresh_within,
                    self.settings.proxy_count,
                    chance,
                );
                return actions.push(Action::SetTimer { delay, token: TimerToken(WATCH_TOKEN) });
            }
            ListUpdate::Changes(entries) => self.seen.changes(now, entries, &mut self.rng),
            ListUpdate::Saved(entries) => {
                let spread =
                    self.seen.pace.first(self.settings.rules.refresh_within, self.settings.proxy_count);
                let delay = if spread > 0.0 && !entries.is_empty() { spread * self.chance() } else { 0.0 };
                let later = Action::SetTimer { delay, token: TimerToken(WATCH_TOKEN) };
                self.seen.replace(now, entries, &mut self.rng);
                actions.extend(asking.then_some(if delay > 0.0 { later } else { Action::WatchList }));
            }
            ListUpdate::Full(entries) => self.seen.replace(now, entries, &mut self.rng),
        }
        self.seen.pace.answered();
        self.order(now);
    }

    fn order(&mut self, now: Seconds) {
        let of = |index: &usize| &self.seen.endpoints[*index];
        let ready =
            (0..self.seen.endpoints.len()).filter(|index| of(index).entry.readiness == Readiness::Ready);
        let mut ready: Vec<usize> = ready.collect();
        ready.sort_by_key(|index| (of(index).rank, *index));
        let sum = |of: &dyn Fn(&Endpoint) -> f64| -> f64 {
            ready.iter().map(|index| of(&self.seen.endpoints[*index])).sum()
        };
        let (able, size) = (sum(&|other| self.capacity(other, now)), sum(&|other| self.size(other)));
        self.seen.strain.listed(able);
        let rules = &self.settings.rules;
        // Danger: where most of the fleet is cold, a share of what it can do now is more than the server can.
        let fleet = able.max(size * COLD_LOAD / rules.overload_factor).max(f64::MIN_POSITIVE);
        let reserve = sum(&|other| if self.reserved(&other.entry) { self.size(other) } else { 0.0 })
            / size.max(f64::MIN_POSITIVE);
        let (cold, warm): (Vec<_>, Vec<_>) =
            ready.into_iter().partition(|index| self.warmth(of(index), now) < 1.0);
        let review = if cold.is_empty() { f64::INFINITY } else { now + COLD_REVIEW * rules.slow_start };
        let home = self.settings.zone;
        let (near, far) = warm.into_iter().partition(|index| of(index).entry.zone == home);
        (self.seen.near, self.seen.far, self.seen.cold, self.seen.fleet, self.seen.review_at) =
            (near, far, cold, fleet, review);
        self.seen.reserve = reserve;
    }

    fn probed(&mut self, now: Seconds, id: EndpointId, actions: &mut Vec<Action>) {
        for token in std::mem::take(&mut self.seen.asking) {
            let Some(job) = self.seen.jobs.get_mut(&token).filter(|job| job.attempts.is_empty()) else {
                continue;
            };
            job.due.retain(|&index| index != id.0 as usize);
            match job.due.is_empty() {
                true => self.decide(now, token, actions),
                false => self.seen.asking.push(token),
            }
        }
    }

    /// The first try: probe the pair where its figures are old, else send or refuse.
    fn decide(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let job = self.seen.jobs[&token].clone();
        let (chosen, ask) = self.choose(now, &job);
        if !ask.is_empty() {
            if let Some(job) = self.seen.jobs.get_mut(&token) {
                // The higher one of a crowded pair has made room for another.
                job.asked.retain(|&index| chosen == Some(EndpointId(index as u32)));
                job.asked.extend(&ask);
                job.met.extend(&ask);
                job.due.clone_from(&ask);
            }
            actions.extend(ask.iter().map(|&index| Action::Probe { endpoint: EndpointId(index as u32) }));
            self.seen.asking.push(token);
            let delay = (job.ask_until - now).max(self.settings.timer_resolution);
            actions.push(Action::SetTimer { delay, token: TimerToken(token) });
            return;
        }
        // Danger: jobs held until there is room pile up; then all of them go out late.
        let mut warm = self.seen.near.iter().chain(&self.seen.far);
        if chosen.is_none() && warm.any(|&index| self.open(now, &job, index)) {
            return self.finish(token, 1.0, actions);
        }
        if !self.worth_it(now, &job, chosen) {
            let crowded = |EndpointId(at)| self.crowding(&self.seen.endpoints[at as usize], now);
            return self.finish(token, chosen.map_or(1.0, crowded), actions);
        }
        self.send(now, token, chosen, actions);
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
