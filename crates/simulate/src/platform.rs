//! A scenario in the platform's terms: the settings object that a proxy is handed, on loopback as in virtual time.

use mosshead_settings::NamedSettings;
use mosshead_world::World;
use mosshead_world::scenario::{Effect, Group};
use serde_json::{Value, json};

/// The settings of one proxy, as the platform's JSON has them.
pub fn settings(world: &World, proxy: usize) -> Value {
    let scenario = world.scenario();
    let seconds = |time: mosshead_world::Time| time.as_seconds();
    let classes: Vec<Value> = (scenario.class.iter())
        .map(|class| {
            json!({
                "name": class.name,
                "target_s": seconds(class.target),
                "deadline_s": seconds(class.deadline),
                "gain": class.worth,
                "late_worth": 0.0,
                "effect": match class.effect {
                    Effect::Safe => "free",
                    Effect::Unsafe => "single_shot",
                    Effect::Keyed => "guarded",
                },
                "group": match class.group { Group::All => "all", Group::Zone => "zone" },
                "dedup_window_s": seconds(class.window),
                "streaming": false,
            })
        })
        .collect();
    let tenants: Vec<Value> = (scenario.tenant.iter())
        .map(|tenant| json!({"name": tenant.name, "share": tenant.share.0}))
        .collect();
    let keepalive = scenario.kind.iter().map(|kind| kind.connections.keepalive).min();
    let cold_from = scenario.kind.iter().map(|kind| kind.cold_from.lo.0).fold(1.0, f64::min);
    let warm_up = scenario.kind.iter().map(|kind| kind.warm_up.hi).max().unwrap_or_default();
    let (limits, rules) = (&scenario.proxy, &scenario.rules);
    json!({
        "classes": classes,
        "tenants": tenants,
        "zones": scenario.zones,
        "zone": scenario.zones[world.zone_of(proxy)],
        "machine_types": scenario.kind.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "membership_mode": if scenario.discovery.pushed { "push" } else { "ask" },
        "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.015, "probe": 0.01, "waste": 0.02, "late_fail": 0.1, "handshake": 0.0},
        "goal": {"whole": 0.45, "worst_window": 0.05, "worst_class": 0.2, "worst_tenant": 0.3},
        "rank": proxy,
        "group_size": world.scenario().proxy.fleet.unwrap_or(world.proxies() as u64),
        "reporting": {"how": "piggyback", "names": ["qps", "inflight", "queue", "util"]},
        "weights": "silent",
        "value_by": "request",
        "tick_s": seconds(scenario.tick),
        "limits": {
            "may_cancel": limits.cancel,
            "probes": limits.probes,
            "second_copies": limits.second_copies,
            "send_cap": limits.attempts,
            "retry_after": true,
            "max_retry_after_s": seconds(limits.max_retry_after),
            "max_streams": 1,
            "keepalive_s": seconds(keepalive.unwrap_or_default()),
            "connect_timeout_s": seconds(limits.connect_timeout),
            "most_held": limits.most_held,
        },
        "rules": {
            "answer_slack_s": seconds(rules.answer_slack),
            "ask_within_s": seconds(rules.ask_within),
            "drain_grace_s": seconds(rules.drain_grace),
            "cold_from": cold_from,
            "warm_up_s": seconds(warm_up),
            "fall_multiple": rules.fall_multiple,
            "fall_s": seconds(rules.fall),
        },
    })
}

/// The same, read as every host reads it.
///
/// # Errors
///
/// The settings are not what the platform writes.
pub fn named(settings: &Value) -> Result<NamedSettings, mosshead_settings::JsonError> {
    let json = mosshead_settings::parse_json(&settings.to_string())?;
    mosshead_settings::read_settings(&mosshead_settings::JsonField::root(&json))
}
