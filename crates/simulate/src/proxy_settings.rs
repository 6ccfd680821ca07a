//! The settings that a scenario gives to a proxy, in the JSON of the platform: the same on loopback and in virtual time.

use mosshead_settings::NamedSettings;
use mosshead_world::World;
use mosshead_world::scenario::{DeduplicationScope, RepeatEffect, RequestClass, Scenario};
use serde_json::{Value, json};

/// The settings of one proxy, in the platform's JSON.
pub fn to_json(world: &World, proxy: usize) -> Value {
    let scenario = world.scenario();
    let tenants = scenario.tenants.iter();
    json!({
        "classes": scenario.classes.iter().map(class_to_json).collect::<Vec<_>>(),
        "tenants": tenants.map(|tenant| json!({"name": tenant.name, "share": tenant.share.0})).collect::<Vec<_>>(),
        "zones": scenario.zones,
        "zone": scenario.zones[world.proxy_zone(proxy)],
        "machine_types": scenario.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "membership_mode": if scenario.discovery.is_pushed { "push" } else { "ask" },
        "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.015, "probe": 0.01, "waste": 0.02, "late_fail": 0.1, "handshake": 0.0},
        "goal": {"whole": 0.45, "worst_window": 0.05, "worst_class": 0.2, "worst_tenant": 0.3},
        "rank": proxy,
        "group_size": scenario.proxy.announced_fleet_size.unwrap_or(world.proxy_count() as u64),
        "reporting": {"how": "piggyback", "names": ["qps", "inflight", "queue", "util"]},
        "weights": "silent",
        "value_by": "request",
        "tick_s": scenario.tick_interval.as_seconds(),
        "limits": limits_to_json(scenario),
        "rules": rules_to_json(scenario),
    })
}

fn class_to_json(class: &RequestClass) -> Value {
    json!({
        "name": class.name,
        "target_s": class.latency_target.as_seconds(),
        "deadline_s": class.deadline.as_seconds(),
        "gain": class.value,
        "late_worth": 0.0,
        "effect": match class.repeat_effect {
            RepeatEffect::Safe => "free",
            RepeatEffect::Unsafe => "single_shot",
            RepeatEffect::Keyed => "guarded",
        },
        "group": match class.deduplication_scope {
            DeduplicationScope::AllServers => "all",
            DeduplicationScope::Zone => "zone",
        },
        "dedup_window_s": class.deduplication_window.as_seconds(),
        "streaming": false,
    })
}

fn limits_to_json(scenario: &Scenario) -> Value {
    let limits = &scenario.proxy;
    let idle_timeout = scenario.kinds.iter().map(|kind| kind.connections.idle_timeout).min();
    json!({
        "may_cancel": limits.allows_cancellation,
        "probes": limits.allows_probes,
        "second_copies": limits.allows_hedging,
        "send_cap": limits.max_attempts,
        "retry_after": true,
        "max_retry_after_s": limits.max_retry_after.as_seconds(),
        "max_streams": 1,
        "keepalive_s": idle_timeout.unwrap_or_default().as_seconds(),
        "connect_timeout_s": limits.connect_timeout.as_seconds(),
        "most_held": limits.max_pending_requests,
    })
}

fn rules_to_json(scenario: &Scenario) -> Value {
    let rules = &scenario.rules;
    let initial_capacity = scenario.kinds.iter().map(|kind| kind.initial_capacity.min.0).fold(1.0, f64::min);
    let warm_up = scenario.kinds.iter().map(|kind| kind.warm_up.max).max().unwrap_or_default();
    json!({
        "answer_slack_s": rules.response_slack.as_seconds(),
        "ask_within_s": rules.discovery_call_interval.as_seconds(),
        "drain_grace_s": rules.drain_grace.as_seconds(),
        "cold_from": initial_capacity,
        "warm_up_s": warm_up.as_seconds(),
        "fall_multiple": rules.collapse_multiple,
        "fall_s": rules.collapse_window.as_seconds(),
    })
}

/// Reads settings as the proxy itself does.
///
/// # Errors
///
/// The text is not JSON, or not of the form that the platform writes.
pub fn parse(settings: &str) -> Result<NamedSettings, mosshead_settings::JsonError> {
    let json = mosshead_settings::parse_json(settings)?;
    mosshead_settings::read_settings(&mosshead_settings::JsonField::root(&json))
}
