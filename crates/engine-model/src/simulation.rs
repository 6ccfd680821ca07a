//! The discrete event simulation of a scenario under a policy. All times are in milliseconds.

use std::rc::Rc;

use mosshead_registry::{OperState, Server, Stage};
use mosshead_routing::{Prompt, PromptPart, RetryBudgetLimits, Router, RoutingWeights, ServerPair};
use mosshead_stage_scheduler::{ServerLoad, StagePolicy, StageScheduler};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use crate::engine::{Engine, RequestIndex};
use crate::event_queue::EventQueue;
use crate::policy::Policy;
use crate::scenario::Scenario;

const SERVICE: &str = "llm";
const MILLIS_PER_SECOND: f64 = 1_000.0;
/// Requests start to arrive this long after the servers have started, as on the platform that runs them.
const TRAFFIC_START_MILLIS: f64 = 10_000.0;
/// How often the scheduler is called.
const SCHEDULER_INTERVAL_MILLIS: f64 = 200.0;
/// How often the scheduler queries servers for load reports.
const REPORT_INTERVAL_MILLIS: f64 = 1_000.0;
/// How often proxies and the scheduler are told the stages of servers.
const HEARTBEAT_INTERVAL_MILLIS: f64 = 1_200.0;
/// Upper bound on the attempts per request.
const MAX_ATTEMPTS: u32 = 3;
/// The route's target for the longest gap between events.
const MAX_EVENT_GAP: Duration = Duration::from_millis(200);

/// The result of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The share of the requests whose first event arrived within the latency target.
    pub in_time_share: f64,
    /// The number of stage changes after requests started to arrive.
    pub stage_changes: usize,
    /// The share of prefill servers at the end.
    pub prefill_share: f64,
}

#[derive(Clone, Debug)]
struct Request {
    arrived_at: f64,
    target_millis: f64,
    proxy: usize,
    shared: (u64, f64),
    own_tokens: f64,
    output_tokens: f64,
    attempts: u32,
    /// The servers of the current attempt.
    prefill: Option<usize>,
    decode: usize,
    sent_at: f64,
    first_event_at: Option<f64>,
}

impl Request {
    fn prompt(&self) -> Prompt {
        let shared = PromptPart { id: self.shared.0, tokens: self.shared.1 };
        let own = PromptPart { id: u64::MAX, tokens: self.own_tokens };
        Prompt {
            tokens: self.shared.1 + self.own_tokens,
            parts: vec![shared, own],
            max_output_tokens: self.output_tokens,
            max_event_gap: MAX_EVENT_GAP,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    PrefillDone(usize),
    TransferDone(usize),
    StreamStart(RequestIndex),
    StreamEnd(RequestIndex),
    Schedule,
    Heartbeats,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    random: Pcg64Mcg,
    now: f64,
    events: EventQueue<Event>,
    engines: Vec<Engine>,
    registry_entries: Vec<Server>,
    routers: Vec<Router<Pcg64Mcg>>,
    scheduler: StageScheduler,
    last_queried_at: f64,
    requests: Vec<Request>,
    stage_changes: usize,
}

/// Simulates a scenario under a policy. The same seed gives the same outcome.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.run();
    simulation.outcome()
}

fn registry_entry(index: usize, stage: Stage, slots: u32) -> Server {
    Server {
        id: format!("i-{index}"),
        service: SERVICE.into(),
        address: "10.0.0.1:80".parse().unwrap_or_else(|_| unreachable!("a literal address")),
        zone: "zone".into(),
        software_revision: String::new(),
        slots,
        state: OperState::Up,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: Some(stage),
        models: Vec::new(),
        sequence: 1,
    }
}

fn new_router(seed: u64, registry_entries: &[Server], proxies: usize) -> Router<Pcg64Mcg> {
    let window = Duration::from_secs(10);
    let limits = RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 50.0, window };
    let mut router =
        Router::new(RoutingWeights::new(limits), "zone", Pcg64Mcg::new(u128::from(seed) * 2 + 1));
    router.set_proxy_count(Instant::ORIGIN, proxies);
    router.update_servers(registry_entries.iter());
    router
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let share = match policy {
            Policy::Adaptive => 1.0 / 3.0,
            Policy::Fixed { prefill_share, .. } => prefill_share,
        };
        let max_prefill_servers = scenario.servers.saturating_sub(1);
        let prefill_servers = ((scenario.servers as f64 * share).round() as usize)
            .clamp(1.min(max_prefill_servers), max_prefill_servers);
        let stage = |index| if index < prefill_servers { Stage::Prefill } else { Stage::Decode };
        let registry_entries: Vec<Server> = (0..scenario.servers)
            .map(|index| registry_entry(index, stage(index), scenario.engine.slots))
            .collect();
        let routers = (0..scenario.proxies as u64)
            .map(|index| new_router(seed + index, &registry_entries, scenario.proxies));
        let mut events = EventQueue::default();
        events.schedule(TRAFFIC_START_MILLIS, Event::Arrival);
        events.schedule(0.0, Event::Schedule);
        events.schedule(HEARTBEAT_INTERVAL_MILLIS, Event::Heartbeats);
        Self {
            scenario,
            policy,
            random: Pcg64Mcg::new(u128::from(seed) + 77),
            now: 0.0,
            events,
            engines: (0..scenario.servers).map(|index| Engine::new(stage(index))).collect(),
            routers: routers.collect(),
            registry_entries,
            scheduler: StageScheduler::new(StagePolicy::default()),
            last_queried_at: f64::NEG_INFINITY,
            requests: Vec::new(),
            stage_changes: 0,
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrival => self.on_arrival(),
                Event::PrefillDone(server) => self.on_prefill_done(server),
                Event::TransferDone(server) => self.on_transfer_done(server),
                Event::StreamStart(request) => self.on_stream_start(request),
                Event::StreamEnd(request) => self.on_stream_end(request),
                Event::Schedule => self.on_schedule(),
                Event::Heartbeats => self.on_heartbeats(),
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let counted = self
            .requests
            .iter()
            .filter(|request| request.arrived_at >= TRAFFIC_START_MILLIS + self.scenario.warmup_millis);
        let (mut count, mut in_time_count) = (0, 0);
        for request in counted {
            count += 1;
            let is_in_time =
                request.first_event_at.is_some_and(|at| at - request.arrived_at <= request.target_millis);
            in_time_count += usize::from(is_in_time);
        }
        let prefill = self.engines.iter().filter(|engine| engine.stage == Stage::Prefill).count();
        Outcome {
            in_time_share: in_time_count as f64 / f64::from(count.max(1)),
            stage_changes: self.stage_changes,
            prefill_share: prefill as f64 / self.engines.len() as f64,
        }
    }

    fn is_over(&self) -> bool {
        self.now >= TRAFFIC_START_MILLIS + self.scenario.length_millis
    }

    fn instant(&self) -> Instant {
        Instant::from_millis(self.now as u64)
    }

    fn fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    fn on_arrival(&mut self) {
        if self.is_over() {
            return;
        }
        let classes = self.scenario.classes_at(self.now - TRAFFIC_START_MILLIS);
        let rate: f64 = classes.iter().map(|class| class.per_second).sum();
        let mut drawn = self.fraction() * rate;
        let class = classes.iter().find(|class| {
            drawn -= class.per_second;
            drawn < 0.0
        });
        if let Some(class) = class.copied().or(classes.last().copied()) {
            let part = (self.fraction() * class.shared_parts as f64) as u64;
            let own_tokens = class.own_tokens * (0.25 + self.exponential(0.75)).min(5.0);
            let proxy = (self.fraction() * self.routers.len() as f64) as usize;
            self.requests.push(Request {
                arrived_at: self.now,
                target_millis: class.target_millis,
                proxy,
                shared: (part + 1_000 * class.shared_tokens as u64, class.shared_tokens),
                own_tokens,
                output_tokens: class.output_tokens,
                attempts: 0,
                prefill: None,
                decode: 0,
                sent_at: 0.0,
                first_event_at: None,
            });
            self.send(self.requests.len() - 1);
        }
        let interarrival_millis = self.exponential(MILLIS_PER_SECOND / rate);
        self.events.schedule(self.now + interarrival_millis, Event::Arrival);
    }

    /// Sends a request to the servers that the policy selects, until they accept it or [`MAX_ATTEMPTS`] is reached.
    fn send(&mut self, index: RequestIndex) {
        while self.requests[index].attempts < MAX_ATTEMPTS {
            self.requests[index].attempts += 1;
            let Some((prefill, decode)) = self.select(index) else { return };
            self.requests[index].prefill = prefill;
            self.requests[index].decode = decode;
            let accepted = match prefill {
                Some(server) => self.begin_prefill(index, server, Stage::Prefill),
                None => self.begin_decode(index),
            };
            if accepted {
                return;
            }
        }
    }

    fn select(&mut self, index: RequestIndex) -> Option<(Option<usize>, usize)> {
        match self.policy {
            Policy::Adaptive => {
                let now = self.instant();
                let request = &self.requests[index];
                let (prompt, router) = (request.prompt(), &mut self.routers[request.proxy]);
                for id in router.prefill_servers_to_query(now, SERVICE, &prompt) {
                    let engine = &self.engines[index_of(&id)];
                    router.record_load(now, &id, (engine.queued() + engine.active()) as f64);
                }
                let pair = router.select_pair(now, SERVICE, &prompt, &[])?;
                Some((pair.prefill.map(|id| index_of(&id)), index_of(&pair.decode)))
            }
            Policy::Fixed { max_local_tokens, .. } => {
                let request = self.requests[index].clone();
                let decode = self.less_loaded(Stage::Decode, None)?;
                let is_local = request.shared.1 + request.own_tokens <= max_local_tokens;
                let prefill =
                    if is_local { None } else { self.less_loaded(Stage::Prefill, Some(request.shared.0)) };
                Some((prefill, decode))
            }
        }
    }

    /// The server with the lower true load of two: the two that a key maps to, or two random ones without a key.
    fn less_loaded(&mut self, stage: Stage, key: Option<u64>) -> Option<usize> {
        let of_stage: Vec<usize> =
            (0..self.engines.len()).filter(|server| self.engines[*server].stage == stage).collect();
        if of_stage.is_empty() {
            return None;
        }
        let drawn = [1_u64, 2].map(|salt| match key {
            Some(key) => (key + salt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32,
            None => u64::from(self.random.next_u32()),
        });
        let servers = drawn.map(|number| of_stage[number as usize % of_stage.len()]);
        let load = |server: usize| self.engines[server].queued() + self.engines[server].active();
        servers.into_iter().min_by_key(|server| load(*server))
    }

    /// Queues a prompt on a server that has to run `stage`. Returns false if the server rejects it.
    fn begin_prefill(&mut self, index: RequestIndex, server: usize, stage: Stage) -> bool {
        let accepts = self.engines[server].accepts(self.now, &self.scenario.engine);
        if !accepts || self.engines[server].stage != stage {
            return false;
        }
        self.requests[index].sent_at = self.now;
        let tokens = self.requests[index].own_tokens;
        let router = &mut self.routers[self.requests[index].proxy];
        router.start_prefill(&id_of(server), tokens);
        self.engines[server].prefills.waiting.push_back(index);
        self.start_next_prefill(server);
        true
    }

    fn start_next_prefill(&mut self, server: usize) {
        let engine = &mut self.engines[server];
        if let Some(index) = engine.prefills.start_next() {
            let Request { shared, own_tokens, .. } = self.requests[index];
            let span = engine.prefill(&self.scenario.engine, shared, own_tokens);
            self.events.schedule(self.now + span, Event::PrefillDone(server));
        }
    }

    fn on_prefill_done(&mut self, server: usize) {
        let Some(index) = self.engines[server].prefills.current.take() else { return };
        let request = self.requests[index].clone();
        let router = &mut self.routers[request.proxy];
        router.finish_prefill(&id_of(server), request.own_tokens);
        router.record_success(&id_of(server));
        if request.prefill == Some(server) {
            router.record_prefill_latency(
                SERVICE,
                &request.prompt(),
                to_duration(self.now - request.sent_at),
            );
            if !self.begin_transfer(index) {
                self.send(index);
            }
        } else {
            self.begin_stream(index);
        }
        self.start_next_prefill(server);
    }

    /// Sends a request without a handle to its decode server. Returns false if the server rejects it.
    fn begin_decode(&mut self, index: RequestIndex) -> bool {
        let server = self.requests[index].decode;
        let accepted = self.begin_prefill(index, server, Stage::Decode);
        if accepted {
            self.routers[self.requests[index].proxy].start_request(&id_of(server));
        }
        accepted
    }

    /// Sends a request with its handle to its decode server. Returns false if the server rejects it.
    fn begin_transfer(&mut self, index: RequestIndex) -> bool {
        let mut server = self.requests[index].decode;
        let now = self.instant();
        let proxy = self.requests[index].proxy;
        if self.policy == Policy::Adaptive {
            let prefill = self.requests[index].prefill.map(|prefill| Rc::from(id_of(prefill)));
            let pair = ServerPair { prefill, decode: Rc::from(id_of(server)) };
            let confirmed = self.routers[proxy].confirm_decode_server(now, SERVICE, &pair, &[]);
            server = confirmed.map_or(server, |id| index_of(&id));
            self.requests[index].decode = server;
        }
        let engine = &mut self.engines[server];
        if engine.stage != Stage::Decode || !engine.accepts(self.now, &self.scenario.engine) {
            return false;
        }
        engine.transfers.waiting.push_back(index);
        self.requests[index].sent_at = self.now;
        self.routers[proxy].start_request(&id_of(server));
        self.start_next_transfer(server);
        true
    }

    fn start_next_transfer(&mut self, server: usize) {
        let engine = &mut self.engines[server];
        if let Some(index) = engine.transfers.start_next() {
            let Request { shared, own_tokens, .. } = self.requests[index];
            engine.insert_cached(&self.scenario.engine, shared);
            let spec = &self.scenario.engine;
            let span = spec.transfer_fixed_millis + spec.transfer_millis_per_token * (shared.1 + own_tokens);
            self.events.schedule(self.now + span, Event::TransferDone(server));
        }
    }

    fn on_transfer_done(&mut self, server: usize) {
        if let Some(index) = self.engines[server].transfers.current.take() {
            self.begin_stream(index);
        }
        self.start_next_transfer(server);
    }

    /// Queues a request whose KV cache is available for the next free slot.
    fn begin_stream(&mut self, index: RequestIndex) {
        let server = self.requests[index].decode;
        self.engines[server].waiting.push_back(index);
        self.fill_slots(server);
    }

    fn fill_slots(&mut self, server: usize) {
        let spec = &self.scenario.engine;
        while self.engines[server].streams < spec.slots {
            let Some(index) = self.engines[server].waiting.pop_front() else { return };
            self.engines[server].streams += 1;
            let token_millis = self.engines[server].token_millis(spec);
            self.events.schedule(self.now + token_millis, Event::StreamStart(index));
            let end = self.now + token_millis * self.requests[index].output_tokens.max(1.0);
            self.events.schedule(end, Event::StreamEnd(index));
        }
    }

    fn on_stream_start(&mut self, index: RequestIndex) {
        self.requests[index].first_event_at = Some(self.now);
        let now = self.instant();
        let request = &self.requests[index];
        let (prompt, latency) = (request.prompt(), to_duration(self.now - request.sent_at));
        let router = &mut self.routers[request.proxy];
        match request.prefill {
            Some(_) => router.record_handover_latency(now, SERVICE, &prompt, latency),
            None => router.record_local_prefill_latency(now, SERVICE, &prompt, latency),
        }
    }

    fn on_stream_end(&mut self, index: RequestIndex) {
        let server = self.requests[index].decode;
        self.engines[server].streams -= 1;
        let router = &mut self.routers[self.requests[index].proxy];
        router.finish_request(&id_of(server));
        router.record_success(&id_of(server));
        self.fill_slots(server);
    }

    fn on_schedule(&mut self) {
        if self.is_over() {
            return;
        }
        self.events.schedule(self.now + SCHEDULER_INTERVAL_MILLIS, Event::Schedule);
        if self.policy != Policy::Adaptive {
            return;
        }
        let now = self.instant();
        if self.now - self.last_queried_at >= REPORT_INTERVAL_MILLIS {
            self.last_queried_at = self.now;
            let queried: Vec<String> = self
                .scheduler
                .servers_to_query(self.registry_entries.iter())
                .iter()
                .map(|registry_entry| registry_entry.id.clone())
                .collect();
            for id in queried {
                let engine = &self.engines[index_of(&id)];
                let load = ServerLoad { queued: engine.queued() as f64, active: engine.active() as f64 };
                self.scheduler.record_report(now, &id, load);
            }
        }
        for assignment in self.scheduler.due_assignments(now, self.registry_entries.iter()) {
            let engine = &mut self.engines[index_of(&assignment.instance_id)];
            engine.stage = assignment.stage;
            engine.switching_until = self.now + self.scenario.engine.switch_millis;
            self.stage_changes += usize::from(self.now >= TRAFFIC_START_MILLIS);
        }
    }

    /// Tells the proxies and the scheduler the current stages.
    fn on_heartbeats(&mut self) {
        if self.is_over() {
            return;
        }
        self.events.schedule(self.now + HEARTBEAT_INTERVAL_MILLIS, Event::Heartbeats);
        for (registry_entry, engine) in self.registry_entries.iter_mut().zip(&self.engines) {
            registry_entry.stage = Some(engine.stage);
        }
        for router in &mut self.routers {
            router.update_servers(self.registry_entries.iter());
        }
    }
}

fn id_of(server: usize) -> String {
    format!("i-{server}")
}

fn index_of(id: &str) -> usize {
    id.strip_prefix("i-").and_then(|number| number.parse().ok()).unwrap_or_default()
}

fn to_duration(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / MILLIS_PER_SECOND)
}
