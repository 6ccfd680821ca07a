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

pub(crate) use admission::OVERLOAD_LIFE;
use admission::PRICE_RANGE;
use load_estimation::INITIAL_REPORT_AGE;
use retry::MAX_RETRY_BUDGET;
use server_selection::{PROBE_PAUSE, REVIEW_SHARE, SLOW_PROBE, SLOW_START_OVERLOAD};

/// Weight of a new sample in the fleet's means: slow, so that one bad server does not become the norm.
const MEAN_GAIN: f64 = 1.0 / 64.0;
/// Service times are heavy-tailed: a sample counts for at most so many times the mean.
const SAMPLE_CAP: f64 = 4.0;
/// A server silent for more than so many expected times, with attempts out, counts as that much slower.
const STALL_FACTOR: f64 = 1.5;
/// Where so many requests wait for each slot a server is crowded.
const CROWDED_QUEUE: f64 = 0.5;
/// The timer of the subscription; requests count from 1.
const WATCH_LIST_TOKEN: u64 = 0;

/// The decisions of one sidecar.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Pcg32,
    pub(crate) state: PolicyState,
}

impl Balancer {
    /// A balancer that knows nothing yet; `seed` feeds its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut seen = PolicyState::new(&settings);
        seen.next_token = WATCH_LIST_TOKEN + 1;
        seen.report_age = INITIAL_REPORT_AGE;
        seen.retry_budget = MAX_RETRY_BUDGET / 2.0;
        seen.log_prices.fill(PRICE_RANGE.0.ln());
        Ok(Self { rng: Pcg32::seed_from_u64(seed), state: seen, settings })
    }

    /// Takes one event and appends what is to be done about it.
    pub(crate) fn handle_event(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdated(update) => self.on_list_update(now, update, actions),
            Event::RequestReceived(request) => self.on_request(now, request, actions),
            Event::HeadReceived(request) => {
                let job = request.id;
                self.on_request(now, request, actions);
                self.state.request_mut(job).into_iter().for_each(|job| job.body_pending = true);
            }
            Event::BodyReceived { request: job, time_left } => {
                self.state.request_mut(job).into_iter().for_each(|job| job.on_body_received(now, time_left));
                if let Some(&token) = self.state.tokens.get(&job) {
                    self.on_timer(now, token, actions);
                }
            }
            Event::AttemptEnded { request: job, attempt: round, endpoint, outcome, rtt, settled, report } => {
                self.record_report(now, endpoint, report);
                let token = self.state.tokens.get(&job).copied();
                self.on_attempt_ended(now, token.map(|token| (token, round)), endpoint, outcome, rtt);
                match token {
                    Some(token) if settled => self.end_request(token, None, actions),
                    Some(token) => self.continue_request(now, token, outcome, actions),
                    None => {}
                }
            }
            Event::ResponseStarted { request: job, attempt: round } => {
                self.on_response_started(job, round, actions)
            }
            Event::ProbeEnded { endpoint, outcome, rtt, report } => {
                self.record_report(now, endpoint, report);
                // Danger: where probes wait like requests, they crowd out what they are sent for.
                match outcome {
                    Outcome::Served if rtt <= SLOW_PROBE * self.state.mean_service.value => {}
                    Outcome::Served | Outcome::Rejected => {
                        self.state.probes_paused_until = now + PROBE_PAUSE * self.state.mean_deadline;
                    }
                    _ => self.eject(now, endpoint, EjectionCause::Silence),
                }
                self.on_probe_ended(now, endpoint, actions);
            }
            Event::RequestWithdrawn { request: job } => {
                if let Some(&token) = self.state.tokens.get(&job) {
                    self.end_request(token, None, actions);
                }
            }
            Event::TimerFired(TimerToken(WATCH_LIST_TOKEN)) => actions.push(Action::WatchList),
            Event::TimerFired(TimerToken(token)) => self.on_timer(now, token, actions),
        }
    }

    fn on_list_update(&mut self, now: Seconds, update: ListUpdate, actions: &mut Vec<Action>) {
        let asking = self.settings.membership == Membership::Pull;
        match update {
            ListUpdate::Failed if !asking => return,
            ListUpdate::Failed => {
                let chance = self.random_unit();
                let delay = self.state.list_backoff.failed(
                    self.settings.rules.refresh_within,
                    self.settings.proxy_count,
                    chance,
                );
                return actions.push(Action::SetTimer { delay, token: TimerToken(WATCH_LIST_TOKEN) });
            }
            ListUpdate::Changes(entries) => self.state.update_list(now, entries, &mut self.rng),
            ListUpdate::Saved(entries) => {
                let spread = self
                    .state
                    .list_backoff
                    .first(self.settings.rules.refresh_within, self.settings.proxy_count);
                let delay =
                    if spread > 0.0 && !entries.is_empty() { spread * self.random_unit() } else { 0.0 };
                let later = Action::SetTimer { delay, token: TimerToken(WATCH_LIST_TOKEN) };
                self.state.replace_list(now, entries, &mut self.rng);
                actions.extend(asking.then_some(if delay > 0.0 { later } else { Action::WatchList }));
            }
            ListUpdate::Full(entries) => self.state.replace_list(now, entries, &mut self.rng),
        }
        self.state.list_backoff.answered();
        self.review_fleet(now);
    }

    fn review_fleet(&mut self, now: Seconds) {
        let of = |index: &usize| &self.state.endpoints[*index];
        let ready =
            (0..self.state.endpoints.len()).filter(|index| of(index).entry.readiness == Readiness::Ready);
        let mut ready: Vec<usize> = ready.collect();
        ready.sort_by_key(|index| (of(index).preference, *index));
        let sum = |of: &dyn Fn(&Endpoint) -> f64| -> f64 {
            ready.iter().map(|index| of(&self.state.endpoints[*index])).sum()
        };
        let (able, size) = (sum(&|other| self.capacity(other, now)), sum(&|other| self.size(other)));
        self.state.overload.set_capacity(able);
        let rules = &self.settings.rules;
        // Danger: where most of the fleet is cold, a share of what it can do now is more than the server can.
        let fleet = able.max(size * SLOW_START_OVERLOAD / rules.overload_factor).max(f64::MIN_POSITIVE);
        let reserve = sum(&|other| if self.is_reserved(&other.entry) { self.size(other) } else { 0.0 })
            / size.max(f64::MIN_POSITIVE);
        let (cold, warm): (Vec<_>, Vec<_>) =
            ready.into_iter().partition(|index| self.slow_start_factor(of(index), now) < 1.0);
        let review = if cold.is_empty() { f64::INFINITY } else { now + REVIEW_SHARE * rules.slow_start };
        let home = self.settings.zone;
        let (near, far) = warm.into_iter().partition(|index| of(index).entry.zone == home);
        (
            self.state.local,
            self.state.remote,
            self.state.slow_starting,
            self.state.fleet_capacity,
            self.state.next_review_at,
        ) = (near, far, cold, fleet, review);
        self.state.reserved_share = reserve;
    }

    fn on_probe_ended(&mut self, now: Seconds, id: EndpointId, actions: &mut Vec<Action>) {
        for token in std::mem::take(&mut self.state.awaiting_probes) {
            let Some(job) = self.state.requests.get_mut(&token).filter(|job| job.attempts.is_empty()) else {
                continue;
            };
            job.probes_pending.retain(|&index| index != id.0 as usize);
            match job.probes_pending.is_empty() {
                true => self.decide_first_attempt(now, token, actions),
                false => self.state.awaiting_probes.push(token),
            }
        }
    }

    /// The first try: probe the pair where its figures are old, else send or refuse.
    fn decide_first_attempt(&mut self, now: Seconds, token: u64, actions: &mut Vec<Action>) {
        let job = self.state.requests[&token].clone();
        let (chosen, ask) = self.choose_endpoint(now, &job);
        if !ask.is_empty() {
            if let Some(job) = self.state.requests.get_mut(&token) {
                // The higher one of a crowded pair has made room for another.
                job.probed_pair.retain(|&index| chosen == Some(EndpointId(index as u32)));
                job.probed_pair.extend(&ask);
                job.probed.extend(&ask);
                job.probes_pending.clone_from(&ask);
            }
            actions.extend(ask.iter().map(|&index| Action::Probe { endpoint: EndpointId(index as u32) }));
            self.state.awaiting_probes.push(token);
            let delay = (job.probes_until - now).max(self.settings.timer_resolution);
            actions.push(Action::SetTimer { delay, token: TimerToken(token) });
            return;
        }
        // Danger: jobs held until there is room pile up; then all of them go out late.
        let mut warm = self.state.local.iter().chain(&self.state.remote);
        if chosen.is_none() && warm.any(|&index| self.is_allowed(now, &job, index)) {
            return self.give_up(token, 1.0, actions);
        }
        if !self.admits(now, &job, chosen) {
            let crowded = |EndpointId(at)| self.queue_per_slot(&self.state.endpoints[at as usize], now);
            return self.give_up(token, chosen.map_or(1.0, crowded), actions);
        }
        self.send(now, token, chosen, actions);
    }

    fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
