//! The bounds of a scenario's values: whatever the model divides by, indexes with or waits for.

use super::error::{InvalidValue, Problem};
use super::{
    FaultKind, FaultSpec, LoadSpec, ProxySpec, RepeatEffect, RequestClass, RuleLimits, Scenario, ServerKind,
    StartReference,
};
use crate::Time;

/// A simulated proxy that handles events more rarely would be slower than a real one.
const MAX_TICK: Time = Time::from_millis(100);
const MIN_TICK: Time = Time(100);
const MIN_DAY: Time = Time::from_millis(1000);
const MIN_BURST_INTERVAL: Time = Time::from_millis(10);
/// What repeats does so at most this often.
const MIN_INTERVAL: Time = Time::from_millis(1);
/// A proxy needs descriptors for its own files beside its connections.
const MIN_DESCRIPTORS: u64 = 64;

type Validation = Result<(), InvalidValue>;

/// An error where the condition does not hold.
fn require(holds: bool, path: impl Into<String>, problem: Problem) -> Validation {
    match holds {
        true => Ok(()),
        false => Err(InvalidValue { path: path.into(), problem }),
    }
}

/// Checks all values. The first one that is out of bounds is reported.
pub(super) fn validate(scenario: &Scenario) -> Validation {
    validate_load(&scenario.load)?;
    require(scenario.length.min >= MIN_DAY, "length", Problem::DayTooShort)?;
    let tick_fits = (MIN_TICK..=MAX_TICK).contains(&scenario.tick_interval);
    require(tick_fits, "tick", Problem::TimeOutOfBounds("100us", "100ms"))?;
    validate_bursts(&scenario.load)?;
    validate_lists(scenario)?;
    validate_names(scenario)?;
    scenario.kinds.iter().try_for_each(validate_kind)?;
    scenario.classes.iter().try_for_each(validate_class)?;
    validate_shares(scenario)?;
    validate_proxy(&scenario.proxy)?;
    validate_rules(&scenario.rules)?;
    let discovery_capacity = scenario.discovery.capacity.min.0;
    require(discovery_capacity > 0.0, "discovery.capacity", Problem::NotAbove("`0/s`"))?;
    let faults = scenario.faults.iter().enumerate();
    faults.into_iter().try_for_each(|(index, fault)| validate_fault(scenario, index, fault))
}

fn validate_load(load: &LoadSpec) -> Validation {
    let is_given_once = load.capacity_share.is_some() != load.rate.is_some();
    require(is_given_once, "load", Problem::LoadNotGivenOnce)?;
    require(load.proxies.min > 0, "load.proxies", Problem::BelowMinimum(1))
}

fn validate_bursts(load: &LoadSpec) -> Validation {
    let is_long = load.burst_interval.is_none_or(|interval| interval.min >= MIN_BURST_INTERVAL);
    require(is_long, "load.burst_every", Problem::TooShort("10ms"))
}

fn validate_lists(scenario: &Scenario) -> Validation {
    require(!scenario.zones.is_empty(), "zones", Problem::Empty)?;
    require(!scenario.kinds.is_empty(), "kind", Problem::Empty)?;
    require(!scenario.classes.is_empty(), "class", Problem::Empty)?;
    let servers: u64 = scenario.kinds.iter().map(|kind| kind.count.min).sum();
    require(servers > 0, "kind.count", Problem::Empty)
}

fn validate_names(scenario: &Scenario) -> Validation {
    require_unique("zones", scenario.zones.iter().map(String::as_str))?;
    require_unique("kind.name", scenario.kinds.iter().map(|kind| kind.name.as_str()))?;
    require_unique("class.name", scenario.classes.iter().map(|class| class.name.as_str()))?;
    require_unique("tenant.name", scenario.tenants.iter().map(|tenant| tenant.name.as_str()))
}

fn require_unique<'a>(path: &str, names: impl Iterator<Item = &'a str>) -> Validation {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => require(false, path, Problem::DuplicateName(pair[0].to_owned())),
        None => Ok(()),
    }
}

fn validate_kind(kind: &ServerKind) -> Validation {
    let path = |key: &str| format!("kind {:?}: {key}", kind.name);
    let has_slots = kind.cores > 0 && kind.slots_per_core.min > 0;
    require(has_slots, path("cores, slots_per_core"), Problem::BelowMinimum(1))?;
    require(kind.speed.min > 0.0, path("speed"), Problem::NotAbove("0"))?;
    let initial = kind.initial_capacity;
    let is_share = initial.min.0 > 0.0 && initial.max.0 <= 1.0;
    require(is_share, path("cold_from"), Problem::ShareOutOfBounds)?;
    let has_period = kind.reports.period.min >= MIN_INTERVAL;
    require(has_period, path("reports.period"), Problem::TooShort("1ms"))?;
    let connections = &kind.connections;
    require(connections.max_connections.min > 0, path("connections.cap"), Problem::BelowMinimum(1))?;
    let leaves_capacity = connections.full_table_tax.max.0 < 1.0;
    require(leaves_capacity, path("connections.full_tax"), Problem::NotBelow("100%"))?;
    let is_congestion_sound = kind
        .congestion
        .as_ref()
        .is_none_or(|spec| spec.slowdown.min >= 1.0 && spec.leave_below.max < spec.enter_above.min);
    require(is_congestion_sound, path("jam"), Problem::CongestionBounds)
}

fn validate_class(class: &RequestClass) -> Validation {
    let path = |key: &str| format!("class {:?}: {key}", class.name);
    let is_target_sound = class.latency_target > Time::ZERO && class.latency_target <= class.deadline;
    require(is_target_sound, path("target"), Problem::TargetOutOfBounds)?;
    let (is_keyed, has_window) =
        (class.repeat_effect == RepeatEffect::Keyed, class.deduplication_window > Time::ZERO);
    require(is_keyed == has_window, path("window"), Problem::DeduplicationWindow)?;
    require(class.work.min > Time::ZERO, path("work"), Problem::NotAbove("`0ms`"))?;
    let is_value_sound = class.value.is_finite() && class.value >= 0.0;
    require(is_value_sound, path("worth"), Problem::NotFiniteOrNegative)
}

fn validate_shares(scenario: &Scenario) -> Validation {
    let class_has_share = scenario.classes.iter().any(|class| class.share.min.0 > 0.0);
    require(class_has_share, "class.share", Problem::NoShare("class"))?;
    let tenants = &scenario.tenants;
    let tenant_has_share = tenants.is_empty() || tenants.iter().any(|tenant| tenant.share.0 > 0.0);
    require(tenant_has_share, "tenant.share", Problem::NoShare("tenant"))
}

fn validate_proxy(proxy: &ProxySpec) -> Validation {
    require(proxy.max_attempts > 0, "proxy.attempts", Problem::BelowMinimum(1))?;
    let has_descriptors = proxy.max_descriptors >= MIN_DESCRIPTORS;
    require(has_descriptors, "proxy.sockets", Problem::BelowMinimum(MIN_DESCRIPTORS))
}

fn validate_rules(rules: &RuleLimits) -> Validation {
    let can_collapse = rules.collapse_multiple > 0.0 && rules.collapse_window > Time::ZERO;
    require(can_collapse, "rules.fall_multiple, rules.fall", Problem::NotAllAbove("0"))
}

fn validate_fault(scenario: &Scenario, index: usize, fault: &FaultSpec) -> Validation {
    let path = |key: &str| format!("trouble {}: {key}", index + 1);
    require(fault.affected_share.max.0 <= 1.0, path("part"), Problem::AboveMaximum("100%"))?;
    let is_severity_sound = fault.kind == FaultKind::LoadSurge || fault.severity.max.0 <= 1.0;
    require(is_severity_sound, path("size"), Problem::AboveMaximum("100%"))?;
    require(fault.interval.min >= MIN_INTERVAL, path("every"), Problem::TooShort("1ms"))?;
    for (key, zone) in [("zone", &fault.zone), ("to", &fault.target_zone)] {
        let is_known = zone.as_ref().is_none_or(|zone| scenario.zones.contains(zone));
        require(is_known, path(key), Problem::UnknownZone(scenario.zones.clone()))?;
    }
    let follows_another = fault.start_reference != StartReference::AllProxiesUp || index > 0;
    require(follows_another, path("after"), Problem::NoFaultBefore)?;
    let has_rate = fault.kind != FaultKind::LinkThrottled || fault.bytes_per_second.min.0 > 0;
    require(has_rate, path("bytes"), Problem::MissingRate)
}
