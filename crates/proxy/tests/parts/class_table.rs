//! Tests of `mosshead::class_table`.

use std::time::Instant;

use mosshead::class_table::{
    AcceptedNames, ClassTable, FORMER_BINDING_PERIOD, MAX_CLASS_SLOTS, SLOT_REUSE_DELAY,
};
use mosshead_decide::interface::{ClassId, RepeatEffect};
use mosshead_settings::{JsonField, NamedSettings, parse_json, read_settings};

fn named(classes: &[(&str, &str, f64)]) -> NamedSettings {
    let classes = classes.iter().map(|(name, effect, deadline)| {
        format!(r#"{{"name":"{name}","target_s":0.5,"deadline_s":{deadline},"gain":1,"effect":"{effect}"}}"#)
    });
    let text = format!(
        r#"{{"classes":[{}],"limits":{{"may_cancel":true,"probes":true,"second_copies":true,"send_cap":4,
        "connect_timeout_s":5}},"membership_mode":"ask","tick_s":0.005,"reporting":{{"how":"silent"}},
        "weights":"silent","zone":"z","zones":["z"],"rules":{{"ask_within_s":10,"cold_from":0.35,
        "fall_multiple":3,"fall_s":3,"warm_up_s":8}}}}"#,
        classes.collect::<Vec<_>>().join(",")
    );
    read_settings(&JsonField::root(&parse_json(&text).expect("JSON"))).expect("settings")
}

fn now_named(terms: &AcceptedNames, name: &str, at: Instant) -> Vec<usize> {
    terms.class(name, at).map(|term| term.class.0).collect()
}

/// Guards open requests: a definition that changes moves to another place, and its name with it.
#[test]
fn a_definition_never_changes_in_its_place() {
    let (mut tuning, terms) = ClassTable::new(&named(&[("a", "free", 1.0), ("b", "free", 1.0)]));
    let now = Instant::now();
    assert_eq!(now_named(&terms, "a", now), [0]);
    let other = named(&[("a", "single_shot", 1.0), ("c", "free", 1.0)]);
    let change = tuning.change(&other, |_| true, now).expect("a change");
    assert_eq!(change.settings.classes[0].repeat_effect, RepeatEffect::Safe);
    assert_eq!(
        (change.open.as_slice(), change.heirs.as_slice()),
        ([ClassId(2), ClassId(3)].as_slice(), [(ClassId(0), ClassId(2))].as_slice())
    );
    let later = now + FORMER_BINDING_PERIOD;
    assert_eq!(now_named(&change.names, "a", now), [2, 0]);
    assert_eq!(
        (now_named(&change.names, "a", later), now_named(&change.names, "b", now)),
        (vec![2], vec![1])
    );
    assert!(now_named(&change.names, "b", later).is_empty() && now_named(&change.names, "x", now).is_empty());
    // And back: the places are still there.
    let back = named(&[("a", "free", 1.0), ("b", "free", 1.0)]);
    let change = tuning.change(&back, |_| true, later).expect("a change");
    assert_eq!((change.open, change.settings.classes.len()), (vec![ClassId(0), ClassId(1)], 4));
}

/// Guards the memory: places that nobody needs are used again, and those that requests hold are not.
#[test]
fn places_are_used_again_once_nobody_holds_them() {
    let (mut tuning, _) = ClassTable::new(&named(&[("a", "free", 1.0)]));
    let mut now = Instant::now();
    for turn in 0..100 {
        now += SLOT_REUSE_DELAY;
        let other = named(&[("a", "free", 2.0 + f64::from(turn))]);
        let change = tuning.change(&other, |class| class.0 == 0, now).expect("a change");
        assert!(change.settings.classes.len() <= 3 && change.settings.classes[0].deadline == 1.0);
    }
    let mut flood = (0..2 * MAX_CLASS_SLOTS)
        .map(|turn| tuning.change(&named(&[("a", "free", 500.0 + turn as f64)]), |_| false, now).is_err());
    assert!(flood.any(|refused| refused));
}

/// Whatever came between, the last settings stand as they would alone.
#[test]
fn any_order_ends_as_the_last_one_alone() {
    let all = [
        named(&[("a", "free", 1.0), ("b", "single_shot", 2.0)]),
        named(&[("b", "free", 2.0)]),
        named(&[("c", "free", 3.0), ("a", "guarded", 1.0)]),
        named(&[("a", "free", 4.0), ("b", "single_shot", 2.0), ("c", "free", 3.0)]),
    ];
    for order in 0..4_usize.pow(4) {
        let (mut tuning, _) = ClassTable::new(&all[0]);
        let now = Instant::now();
        let mut last = None;
        for step in 0..4 {
            let which = order / 4_usize.pow(step) % 4;
            last = Some((which, tuning.change(&all[which], |_| true, now).expect("a change")));
        }
        let Some((which, change)) = last else { continue };
        let mut open: Vec<_> = change.open.iter().map(|at| &change.settings.classes[at.0]).collect();
        for (at, class) in all[which].settings.classes.iter().enumerate() {
            let named = now_named(&change.names, all[which].classes.name(at), now + FORMER_BINDING_PERIOD);
            assert_eq!(named.len(), 1);
            assert_eq!(&change.settings.classes[named[0]], class);
            open.retain(|held| *held != class);
        }
        assert!(open.is_empty());
    }
}
