//! The configuration that a proxy puts together from what it pulled.

use std::sync::Arc;

use mosshead_config::Config;
use mosshead_control_plane::subscription::{Assembled, assemble};
use mosshead_programs::config_transfer::ConfigUpdate;
use mosshead_programs::update_watcher::{WATCH_SLOTS, pause};
use tokio::time::Duration;

const WHOLE: &str = include_str!("samples/replace.json");
const MODIFY: &str = include_str!("samples/modify.json");

/// Three configurations, each made from the one before.
fn three() -> [Config; 3] {
    let first = Config::parse(WHOLE.as_bytes()).expect("the sample");
    let second = first.modify(MODIFY.as_bytes()).expect("the other sample");
    let withdraw = "{\"revision\":12,\"withdraw\":{\"route_entries\":[\"r-3d3zji9\"]}}";
    let third = second.modify(withdraw.as_bytes()).expect("sound");
    [first, second, third]
}

/// The configuration that an answer on the wire leads to.
fn put_together(have: Option<&Config>, fetched: &ConfigUpdate) -> Option<Arc<Config>> {
    match assemble(have, &fetched.clone().into()) {
        Assembled::Config(config) => Some(config),
        Assembled::Withheld | Assembled::Misfit => None,
    }
}

fn patches(revision: u64, patches: Vec<String>) -> ConfigUpdate {
    ConfigUpdate { revision, patches, full_text: None }
}

#[test]
fn the_whole_is_taken_whatever_was_there() {
    let [first, second, third] = three();
    let full_text = Some(third.json().to_string());
    let fetched = ConfigUpdate { revision: 12, patches: Vec::new(), full_text };
    for have in [None, Some(&first), Some(&second)] {
        let config = put_together(have, &fetched).expect("whole");
        assert_eq!((config.revision, config.json()), (12, third.json()));
    }
}

#[test]
fn a_chain_of_patches_leads_to_the_same_text() {
    let [first, second, third] = three();
    let chain = vec![first.patch_to(&second), second.patch_to(&third)];
    let config = put_together(Some(&first), &patches(12, chain)).expect("fits");
    assert_eq!((config.revision, config.json()), (12, third.json()));
    let config = put_together(Some(&first), &patches(9, vec![first.patch_to(&second)])).expect("fits");
    assert_eq!(config.json(), second.json());
    assert!(config.find_route("ficu95.example", "/lohu930/2f").is_some_and(|route| route.retry_count == 1));
}

#[test]
fn patches_that_don_t_fit_give_nothing() {
    let [first, second, third] = three();
    let (one, two) = (first.patch_to(&second), second.patch_to(&third));
    let nothing = [
        ("made for another", put_together(Some(&first), &patches(12, vec![two.clone()]))),
        ("in another order", put_together(Some(&first), &patches(12, vec![two.clone(), one.clone()]))),
        ("taken twice", put_together(Some(&first), &patches(9, vec![one.clone(), one.clone()]))),
        ("leads elsewhere", put_together(Some(&first), &patches(12, vec![one.clone()]))),
        ("no patch", put_together(Some(&first), &patches(12, Vec::new()))),
        ("no patch of none", put_together(None, &patches(0, Vec::new()))),
        ("no patch at all", put_together(Some(&first), &patches(9, vec!["garbage".into()]))),
        ("cut off", put_together(Some(&first), &patches(9, vec![one[..one.len() - 1].into()]))),
    ];
    for (how, config) in nothing {
        assert!(config.is_none(), "{how}");
    }
}

#[test]
fn a_patch_that_holds_parts_needs_what_it_was_made_for() {
    let [first, second, _] = three();
    assert!(put_together(None, &patches(9, vec![first.patch_to(&second)])).is_none());
}

#[test]
fn a_whole_that_is_no_configuration_gives_nothing() {
    let [first, ..] = three();
    for text in ["", "{}x", "[]", "{\"revision\":"] {
        let fetched = ConfigUpdate { revision: 9, patches: Vec::new(), full_text: Some(text.into()) };
        assert!(put_together(Some(&first), &fetched).is_none(), "{text}");
    }
}

/// A change has to be in force 300 ms after it is committed, also where two of the three machines that a proxy pulls
/// from don't answer; half of that is for the way.
#[test]
fn slots_ask_again_soon_after_a_change_and_not_all_at_once() {
    let pauses: Vec<Duration> = (0..WATCH_SLOTS).map(pause).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] < pair[1]), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause >= Duration::from_millis(50)), "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause <= Duration::from_millis(150)), "{pauses:?}");
    assert_eq!(pause(usize::MAX), pause(WATCH_SLOTS - 1));
}
