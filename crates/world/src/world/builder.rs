//! Draws a day from its scenario. The order of the draws from each random stream is part of the digest of every day.

use super::attempts::Exchanges;
use super::clients::{ClassWork, ClientHabits, Clients, Demand};
use super::connections::Network;
use super::discovery_service::DiscoveryService;
use super::faults::Faults;
use super::links::ActiveLinkFaults;
use super::machine::Machine;
use super::proxies::ProxyState;
use super::servers::Servers;
use super::{Due, HOUSEKEEPING_INTERVAL, World, WorldRandom};
use crate::Time;
use crate::arrivals::{ArrivalStream, LoadCurve, split_rate};
use crate::discovery::{Discovery, DiscoveryTiming};
use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::scenario::{Scenario, StartReference};
use crate::scorecard::Scorecard;
use crate::server::ServerTraits;

/// The first misbehaving client comes then.
const FIRST_MISBEHAVING_CLIENT: Time = Time::from_millis(1000);

impl World {
    /// Draws the day of a scenario and a seed. It begins at instant zero, with the proxies still to be started.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut random = RandomStream::new(seed, "day", 0);
        let length = random.uniform_time(scenario.length);
        let servers = draw_servers(scenario, seed, &mut random);
        let proxy_count = random.uniform_count(scenario.load.proxies) as usize;
        let demand = draw_demand(scenario, &mut random);
        let rate = draw_rate(scenario, &mut random, servers.full_capacity(), demand.mean_work());
        let rates = split_rate(rate, proxy_count, random.uniform(scenario.load.proxy_skew), seed);
        let zone_delays = draw_zone_delays(scenario, &mut random);
        let habits = draw_habits(scenario, &mut random);
        let discovery = draw_discovery(scenario, &mut random, &servers);
        let jitter = random.uniform(scenario.network.jitter.map(|part| part.0));
        let streams = rates.iter().enumerate().map(|(proxy, rate)| ArrivalStream::new(seed, proxy, *rate));
        let clients =
            Clients::new(LoadCurve::draw(scenario, length, seed), streams.collect(), habits, demand);
        let zones = scenario.zones.len();
        let mut world = Self {
            length,
            now: Time::ZERO,
            queue: EventQueue::default(),
            clients,
            proxies: (0..proxy_count).map(|proxy| ProxyState::new(proxy % zones)).collect(),
            network: Network::new(zone_delays, jitter, RandomStream::new(seed, "net", 0)),
            exchanges: Exchanges::default(),
            servers,
            discovery,
            link_faults: ActiveLinkFaults::default(),
            faults: Faults::new(scenario.faults.len()),
            random: WorldRandom {
                responses: RandomStream::new(seed, "service", 0),
                incidents: RandomStream::new(seed, "chance", 0),
                list_delays: RandomStream::new(seed, "notice", 0),
            },
            scorecard: Scorecard::new(scenario),
            events: Vec::new(),
            topology_version: 0,
            scenario: scenario.clone(),
        };
        world.schedule_first_events(seed);
        world
    }

    fn schedule_first_events(&mut self, seed: u64) {
        for server in self.servers.ids() {
            self.schedule_server_step(server);
        }
        for proxy in 0..self.proxies.len() {
            if let Some(at) = self.clients.next_arrival(proxy, Time::ZERO) {
                self.queue.push(at, Due::Arrival { proxy });
            }
        }
        self.discovery.remember_list(Time::ZERO);
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            if fault.start_reference == StartReference::DayStart {
                let mut random = RandomStream::new(seed, "trouble", index as u64);
                self.queue.push(random.uniform_time(fault.starts_at), Due::FaultBegins(index));
            }
        }
        if self.clients.misbehaving_rate() > 0.0 {
            self.queue.push(FIRST_MISBEHAVING_CLIENT, Due::ClientMisbehaves);
        }
        self.queue.push(HOUSEKEEPING_INTERVAL, Due::Housekeeping);
    }
}

fn draw_servers(scenario: &Scenario, seed: u64, random: &mut RandomStream) -> Servers {
    let mut servers = Servers::new(scenario);
    for (kind_index, kind) in scenario.kinds.iter().enumerate() {
        for _ in 0..random.uniform_count(kind.count) {
            let number = servers.len();
            let mut own_random = RandomStream::new(seed, "server", number as u64);
            let zone = number % scenario.zones.len();
            let traits = ServerTraits::draw(kind, kind_index, zone, &mut own_random);
            servers.add_running(Machine::new(traits, number as u32, Time::ZERO, own_random));
        }
    }
    servers
}

fn draw_demand(scenario: &Scenario, random: &mut RandomStream) -> Demand {
    let class_work = (scenario.classes.iter())
        .map(|class| ClassWork {
            mean: random.uniform_time(class.work).as_seconds(),
            deviation: random.uniform(class.work_deviation),
        })
        .collect();
    let class_weights =
        scenario.classes.iter().map(|class| random.uniform(class.share.map(|part| part.0))).collect();
    let tenant_weights = (scenario.tenants.iter())
        .map(|tenant| tenant.share.0 * random.uniform(tenant.usage.map(|part| part.0)))
        .collect();
    Demand { class_work, class_weights, tenant_weights }
}

/// The rate of operations at all proxies together, in operations a second.
fn draw_rate(scenario: &Scenario, random: &mut RandomStream, capacity: f64, mean_work: f64) -> f64 {
    match (scenario.load.capacity_share, scenario.load.rate) {
        (Some(share), _) => random.uniform(share.map(|part| part.0)) * capacity / mean_work,
        (None, Some(rate)) => random.uniform(rate.map(|rate| rate.0)),
        (None, None) => 0.0,
    }
}

/// A delay for each pair of zones, the same in both directions.
fn draw_zone_delays(scenario: &Scenario, random: &mut RandomStream) -> Vec<Vec<Time>> {
    let zones = scenario.zones.len();
    let mut delays: Vec<Vec<Time>> = Vec::with_capacity(zones);
    for from in 0..zones {
        let known: Vec<Time> = delays.iter().map(|row| row[from]).collect();
        let drawn = (from..zones).map(|to| {
            let network = &scenario.network;
            random.uniform_time(if from == to { network.within_zone } else { network.between_zones })
        });
        delays.push(known.into_iter().chain(drawn).collect());
    }
    delays
}

fn draw_habits(scenario: &Scenario, random: &mut RandomStream) -> ClientHabits {
    let clients = &scenario.clients;
    ClientHabits {
        max_retries: random.uniform_count(clients.max_retries),
        backoff: random.uniform_time(clients.backoff),
        honors_retry_after: random.uniform(clients.honors_retry_after.map(|part| part.0)),
        patience: random.uniform(clients.patience.map(|part| part.0)),
        own_connection_share: random.uniform(clients.own_connection_share.map(|part| part.0)),
        misbehaving_rate: random.uniform(clients.misbehaving_rate.map(|rate| rate.0)),
        early_leave_share: random.uniform(clients.early_leave_share.map(|part| part.0)),
    }
}

fn draw_discovery(scenario: &Scenario, random: &mut RandomStream, servers: &Servers) -> DiscoveryService {
    let spec = &scenario.discovery;
    let timing = DiscoveryTiming {
        time_per_call: Time::from_seconds(1.0 / random.uniform(spec.capacity.map(|rate| rate.0))),
        call_timeout: spec.call_timeout,
        is_pushed: spec.is_pushed,
    };
    DiscoveryService::new(Discovery::new(servers.list_entries(), timing))
}
