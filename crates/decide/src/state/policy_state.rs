//! The state of one balancer, and how lists and settings change it.

use std::collections::{BTreeMap, HashMap, HashSet};

use mosshead_recovery::{DiscoveryBackoff, InstanceRecovery};
use rand_core::RngCore;

use super::class_stats::{ClassStats, MachineKindStats, SERVICE_TIMES_PER_TARGET, ZoneStats};
use super::endpoint::Endpoint;
use super::overload::Overload;
use super::pending_request::PendingRequest;
use super::statistics::{Mean, Rate};
use crate::interface::{
    Class, ClassId, ClassRedefinition, EndpointId, ListEntry, Readiness, RequestId, Seconds, Settings,
};

/// The initial concurrency limit of a server, summed over all proxies; each proxy may send at least one attempt. If
/// each proxy started with the full limit, proxies that start together would overload every server.
const INITIAL_FLEET_CONCURRENCY: f64 = 16.0;
/// The number of samples that the initial estimate of the failure rate counts for.
const INITIAL_FAILURE_SAMPLES: f64 = 64.0;

/// The state of one balancer.
#[derive(Clone, Debug)]
pub(crate) struct PolicyState {
    /// Indexed by [`EndpointId`]; removed servers keep their index.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Ready servers past their slow start in the proxy's own zone, in this proxy's own random order.
    pub(crate) local: Vec<usize>,
    /// Ready servers past their slow start in other zones, in the same order.
    pub(crate) remote: Vec<usize>,
    /// Ready servers in slow start.
    pub(crate) slow_starting: Vec<usize>,
    /// The present capacity of the ready servers, in units of size, with a lower bound during slow starts.
    pub(crate) fleet_capacity: f64,
    /// When the three lists above and the capacity are recomputed, unless a list update does so earlier.
    pub(crate) next_review_at: Seconds,
    /// Requests without a final answer, by timer token.
    pub(crate) requests: BTreeMap<u64, PendingRequest>,
    /// The timer tokens of pending requests.
    pub(crate) tokens: HashMap<RequestId, u64>,
    /// The timer tokens of requests that wait for probes.
    pub(crate) awaiting_probes: Vec<u64>,
    /// No probes are sent before this time.
    pub(crate) probes_paused_until: Seconds,
    pub(crate) next_token: u64,
    pub(crate) classes: Vec<ClassStats>,
    /// The rate of requests to this proxy.
    pub(crate) request_rate: Rate,
    pub(crate) tenant_rates: Vec<Rate>,
    pub(crate) kinds: Vec<MachineKindStats>,
    /// Two entries for each zone: first its unreserved servers, then those that are reserved for some class.
    pub(crate) zones: Vec<ZoneStats>,
    pub(crate) fleet_log_slowness: Mean,
    pub(crate) fleet_log_load: Mean,
    /// The mean service time without queueing, over recent requests of all classes.
    pub(crate) mean_service_time: Mean,
    /// The estimated age of reports on arrival, in decay times of a report, learned from repeated reports.
    pub(crate) report_age: f64,
    /// The fraction of attempts that fail, over all servers.
    pub(crate) failure_rate: Mean,
    pub(crate) mean_value: Mean,
    pub(crate) overload: Overload,
    pub(crate) mean_deadline: Seconds,
    pub(crate) shortest_target: Seconds,
    /// The number of retries and hedges that may be sent.
    pub(crate) retry_budget: f64,
    /// The initial concurrency limit of a server.
    pub(crate) initial_concurrency: f64,
    /// The natural logarithm of the price of work, by price group: the classes that may use the same servers.
    pub(crate) log_prices: Vec<f64>,
    /// The price group of each class: the index of the first class in the group.
    pub(crate) price_group_of_class: Vec<usize>,
    /// The fraction of the fleet's size that is reserved for some class.
    pub(crate) reserved_share: f64,
    /// The fraction of the work that belongs to restricted classes.
    pub(crate) restricted_work: Mean,
    /// The backoff between calls for the list.
    pub(crate) list_backoff: DiscoveryBackoff,
    /// The recovery of this process since its start.
    pub(crate) recovery: InstanceRecovery,
}

impl PolicyState {
    /// An empty state. The policy sets the initial values that depend on its tuning.
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        let mean =
            |value_of: fn(&Class) -> f64| classes.iter().map(value_of).sum::<f64>() / classes.len() as f64;
        Self {
            endpoints: Vec::new(),
            local: Vec::new(),
            remote: Vec::new(),
            slow_starting: Vec::new(),
            fleet_capacity: 1.0,
            next_review_at: f64::INFINITY,
            requests: BTreeMap::new(),
            tokens: HashMap::new(),
            awaiting_probes: Vec::new(),
            probes_paused_until: f64::NEG_INFINITY,
            next_token: 0,
            classes: classes.iter().map(ClassStats::new).collect(),
            request_rate: Rate::default(),
            tenant_rates: vec![Rate::default(); settings.tenants.len()],
            kinds: vec![MachineKindStats::default(); settings.machine_kinds],
            zones: Vec::new(),
            fleet_log_slowness: Mean::default(),
            fleet_log_load: Mean::default(),
            mean_service_time: Mean::new(mean(|class| class.latency_target / SERVICE_TIMES_PER_TARGET), 0.0),
            report_age: 0.0,
            failure_rate: Mean::new(0.0, INITIAL_FAILURE_SAMPLES),
            overload: Overload::default(),
            mean_value: Mean::new(mean(|class| class.value), 0.0),
            mean_deadline: mean(|class| class.deadline),
            shortest_target: classes.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min),
            retry_budget: 0.0,
            initial_concurrency: initial_concurrency(settings),
            log_prices: vec![0.0; classes.len()],
            price_group_of_class: price_groups(classes),
            reserved_share: 1.0,
            restricted_work: Mean::default(),
            list_backoff: DiscoveryBackoff::default(),
            recovery: InstanceRecovery::default(),
        }
    }

    pub(crate) fn endpoint(&self, id: EndpointId) -> &Endpoint {
        &self.endpoints[id.0 as usize]
    }

    pub(crate) fn endpoint_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.endpoints[id.0 as usize]
    }

    /// The estimated number of requests that a server processes at once, learned for its kind of machine.
    pub(crate) fn slots(&self, endpoint: &Endpoint) -> f64 {
        self.kinds[endpoint.entry.kind.0].slots.value
    }

    /// A pending request.
    pub(crate) fn request_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(self.tokens.get(&id)?)
    }

    /// Applies a full list: servers that are missing from it are removed.
    pub(crate) fn replace_list(&mut self, now: Seconds, entries: Vec<ListEntry>, rng: &mut impl RngCore) {
        let listed: HashSet<usize> = entries.iter().map(|entry| entry.endpoint.0 as usize).collect();
        self.update_list(now, entries, rng);
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            if !listed.contains(&index) {
                endpoint.entry.readiness = Readiness::Removed;
            }
        }
    }

    /// Applies the changed entries of a list.
    pub(crate) fn update_list(&mut self, now: Seconds, entries: Vec<ListEntry>, rng: &mut impl RngCore) {
        for entry in entries {
            self.update_entry(now, entry, rng);
        }
    }

    /// Applies one entry of a list; the preference of a new server is drawn from `rng`.
    fn update_entry(&mut self, now: Seconds, entry: ListEntry, rng: &mut impl RngCore) {
        let index = entry.endpoint.0 as usize;
        let zone = ZoneStats { log_load: Mean::default(), last_contact_at: now };
        self.kinds.resize(self.kinds.len().max(entry.kind.0 + 1), MachineKindStats::default());
        self.zones.resize(self.zones.len().max(2 * entry.zone.0 + 2), zone);
        while self.endpoints.len() <= index {
            let endpoint = EndpointId(self.endpoints.len() as u32);
            let unknown = ListEntry { endpoint, readiness: Readiness::Removed, ..entry };
            let preference = rng.next_u32();
            let endpoint = Endpoint::new(now, unknown, self.initial_concurrency);
            self.endpoints.push(Endpoint { preference, ..endpoint });
        }
        let endpoint = &mut self.endpoints[index];
        let is_new_process =
            endpoint.entry.started_at != entry.started_at || endpoint.entry.readiness == Readiness::Removed;
        if is_new_process {
            // A new process starts without the history of its predecessor, but attempts in flight still count.
            let Endpoint { in_flight, preference, .. } = *endpoint;
            let fresh = Endpoint::new(now, entry, self.initial_concurrency);
            *endpoint = Endpoint { in_flight, preference, ..fresh };
        } else {
            endpoint.entry = entry;
        }
    }

    /// Replaces the settings `old` by `new`. `active_classes` are the classes that new requests may have.
    pub(crate) fn apply_settings(
        &mut self,
        old: &Settings,
        new: &Settings,
        active_classes: &[ClassId],
        redefinitions: &[ClassRedefinition],
    ) {
        for (index, class) in new.classes.iter().enumerate() {
            if index >= self.classes.len() {
                self.classes.push(ClassStats::new(class));
            } else if old.classes[index] != *class {
                self.classes[index] = ClassStats::new(class);
            }
        }
        for &ClassRedefinition { former, new: redefined } in redefinitions {
            self.classes[redefined.0].service_time = self.classes[former.0].service_time;
            if old.classes[former.0].deadline == new.classes[redefined.0].deadline {
                self.classes[redefined.0] = self.classes[former.0].clone();
            }
        }
        let lowest_price = self.log_prices.iter().copied().fold(f64::INFINITY, f64::min);
        self.log_prices.resize(new.classes.len(), lowest_price);
        self.price_group_of_class = price_groups(&new.classes);
        self.tenant_rates.resize(new.tenants.len(), Rate::default());
        let active = || active_classes.iter().map(|class| &new.classes[class.0]);
        self.mean_deadline =
            active().map(|class| class.deadline).sum::<f64>() / active().count().max(1) as f64;
        self.shortest_target = active().map(|class| class.latency_target).fold(f64::INFINITY, f64::min);
        self.initial_concurrency = initial_concurrency(new);
    }
}

/// This proxy's share of the initial concurrency limit of a server.
fn initial_concurrency(settings: &Settings) -> f64 {
    (INITIAL_FLEET_CONCURRENCY / settings.proxy_count).clamp(1.0, INITIAL_FLEET_CONCURRENCY)
}

/// For each class, the index of the first class that may use the same servers.
fn price_groups(classes: &[Class]) -> Vec<usize> {
    let servers_of = |class: &Class| (class.machine_kinds.clone(), class.zones.clone());
    let group_of =
        |class| classes.iter().position(|first| servers_of(first) == servers_of(class)).unwrap_or(0);
    classes.iter().map(group_of).collect()
}
