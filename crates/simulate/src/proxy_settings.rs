//! The settings that a scenario gives to a proxy, in the JSON of the platform: the same on loopback and in virtual time.

use mosshead_settings::NamedSettings;
use mosshead_world::World;
use mosshead_world::scenario::{DeduplicationScope, RepeatEffect};
use serde_json::{Value, json};

/// The settings of one proxy, in the platform's JSON.
pub fn to_json(world: &World, proxy: usize) -> Value {
    let scenario = world.scenario();
    let seconds = |time: mosshead_world::Time| time.as_seconds();
    let classes: Vec<Value> = (scenario.classes.iter())
        .map(|class| {
            json!({
                "name": class.name,
                "target_s": seconds(class.latency_target),
                "deadline_s": seconds(class.deadline),
                "gain": class.value,
                "late_worth": 0.0,
                "effect": match class.repeat_effect {
                    RepeatEffect::Safe => "free",
                    RepeatEffect::Unsafe => "single_shot",
                    RepeatEffect::Keyed => "guarded",
                },
                "group": match class.deduplication_scope { DeduplicationScope::AllServers => "all", DeduplicationScope::Zone => "zone" },
                "dedup_window_s": seconds(class.deduplication_window),
                "streaming": false,
            })
        })
        .collect();
    let tenants: Vec<Value> = (scenario.tenants.iter())
        .map(|tenant| json!({"name": tenant.name, "share": tenant.share.0}))
        .collect();
    let keepalive = scenario.kinds.iter().map(|kind| kind.connections.idle_timeout).min();
    let cold_from = scenario.kinds.iter().map(|kind| kind.initial_capacity.min.0).fold(1.0, f64::min);
    let warm_up = scenario.kinds.iter().map(|kind| kind.warm_up.max).max().unwrap_or_default();
    let (limits, rules) = (&scenario.proxy, &scenario.rules);
    json!({
        "classes": classes,
        "tenants": tenants,
        "zones": scenario.zones,
        "zone": scenario.zones[world.proxy_zone(proxy)],
        "machine_types": scenario.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "membership_mode": if scenario.discovery.is_pushed { "push" } else { "ask" },
        "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.015, "probe": 0.01, "waste": 0.02, "late_fail": 0.1, "handshake": 0.0},
        "goal": {"whole": 0.45, "worst_window": 0.05, "worst_class": 0.2, "worst_tenant": 0.3},
        "rank": proxy,
        "group_size": world.scenario().proxy.announced_fleet_size.unwrap_or(world.proxy_count() as u64),
        "reporting": {"how": "piggyback", "names": ["qps", "inflight", "queue", "util"]},
        "weights": "silent",
        "value_by": "request",
        "tick_s": seconds(scenario.tick_interval),
        "limits": {
            "may_cancel": limits.allows_cancellation,
            "probes": limits.allows_probes,
            "second_copies": limits.allows_hedging,
            "send_cap": limits.max_attempts,
            "retry_after": true,
            "max_retry_after_s": seconds(limits.max_retry_after),
            "max_streams": 1,
            "keepalive_s": seconds(keepalive.unwrap_or_default()),
            "connect_timeout_s": seconds(limits.connect_timeout),
            "most_held": limits.max_pending_requests,
        },
        "rules": {
            "answer_slack_s": seconds(rules.response_slack),
            "ask_within_s": seconds(rules.discovery_call_interval),
            "drain_grace_s": seconds(rules.drain_grace),
            "cold_from": cold_from,
            "warm_up_s": seconds(warm_up),
            "fall_multiple": rules.collapse_multiple,
            "fall_s": seconds(rules.collapse_window),
        },
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
