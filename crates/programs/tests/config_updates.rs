//! The configuration that a proxy assembles from an offer, and the delays of its watch slots.

use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::{AssembledConfig, assemble_config};
use mosshead_programs::config_transfer::ConfigOfferMessage;
use mosshead_programs::update_watcher::{WATCH_SLOTS, requery_pause};
use tokio::time::Duration;

const FULL_TEXT: &str = include_str!("samples/replace.json");
const MODIFY: &str = include_str!("samples/modify.json");

/// Three configurations, each derived from the previous one.
fn three_configurations() -> [Config; 3] {
    let first = Config::parse(FULL_TEXT.as_bytes()).expect("the sample");
    let second = first.modify(MODIFY.as_bytes()).expect("the other sample");
    let withdraw = "{\"revision\":12,\"withdraw\":{\"route_entries\":[\"r-3d3zji9\"]}}";
    let third = second.modify(withdraw.as_bytes()).expect("valid");
    [first, second, third]
}

/// The configuration that an offer on the wire results in.
fn assemble_update(in_force: Option<&Config>, update: &ConfigOfferMessage) -> Option<Arc<Config>> {
    match assemble_config(in_force, &update.clone().into()) {
        AssembledConfig::Config(config) => Some(config),
        AssembledConfig::Withheld | AssembledConfig::Mismatch => None,
    }
}

fn patches(revision: u64, patches: Vec<String>) -> ConfigOfferMessage {
    ConfigOfferMessage { revision, patches, full_text: None }
}

#[test]
fn a_full_text_replaces_any_configuration() {
    let [first, second, third] = three_configurations();
    let full_text = Some(third.json().to_string());
    let update = ConfigOfferMessage { revision: 12, patches: Vec::new(), full_text };
    for in_force in [None, Some(&first), Some(&second)] {
        let config = assemble_update(in_force, &update).expect("the full text is valid");
        assert_eq!((config.revision(), config.json()), (12, third.json()));
    }
}

#[test]
fn a_chain_of_patches_leads_to_the_same_text() {
    let [first, second, third] = three_configurations();
    let chain = vec![first.patch_to(&second), second.patch_to(&third)];
    let config = assemble_update(Some(&first), &patches(12, chain)).expect("the patch applies");
    assert_eq!((config.revision(), config.json()), (12, third.json()));
    let config =
        assemble_update(Some(&first), &patches(9, vec![first.patch_to(&second)])).expect("the patch applies");
    assert_eq!(config.json(), second.json());
    assert!(config.find_route("ficu95.example", "/lohu930/2f").is_some_and(|route| route.retry_count == 1));
}

#[test]
fn patches_that_do_not_apply_are_rejected() {
    let [first, second, third] = three_configurations();
    let (one, two) = (first.patch_to(&second), second.patch_to(&third));
    let rejected = [
        ("made for another", assemble_update(Some(&first), &patches(12, vec![two.clone()]))),
        ("in another order", assemble_update(Some(&first), &patches(12, vec![two.clone(), one.clone()]))),
        ("taken twice", assemble_update(Some(&first), &patches(9, vec![one.clone(), one.clone()]))),
        ("leads elsewhere", assemble_update(Some(&first), &patches(12, vec![one.clone()]))),
        ("no patch", assemble_update(Some(&first), &patches(12, Vec::new()))),
        ("no patch of none", assemble_update(None, &patches(0, Vec::new()))),
        ("no patch at all", assemble_update(Some(&first), &patches(9, vec!["garbage".into()]))),
        ("cut off", assemble_update(Some(&first), &patches(9, vec![one[..one.len() - 1].into()]))),
    ];
    for (how, config) in rejected {
        assert!(config.is_none(), "{how}");
    }
}

#[test]
fn a_patch_needs_the_configuration_it_was_made_for() {
    let [first, second, _] = three_configurations();
    assert!(assemble_update(None, &patches(9, vec![first.patch_to(&second)])).is_none());
}

#[test]
fn a_full_text_that_is_no_configuration_is_rejected() {
    let [first, ..] = three_configurations();
    for text in ["", "{}x", "[]", "{\"revision\":"] {
        let update = ConfigOfferMessage { revision: 9, patches: Vec::new(), full_text: Some(text.into()) };
        assert!(assemble_update(Some(&first), &update).is_none(), "{text}");
    }
}

/// A change must be active 300 ms after it is committed, even if two of the three control nodes that a proxy watches
/// don't respond. Half of this time is reserved for the network.
#[test]
fn slots_call_again_soon_after_a_change_and_not_all_at_once() {
    let pauses: Vec<Duration> = (0..WATCH_SLOTS).map(requery_pause).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] < pair[1]), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause >= Duration::from_millis(50)), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_millis(150)), "{pauses:?}");
    assert_eq!(requery_pause(usize::MAX), requery_pause(WATCH_SLOTS - 1));
}
