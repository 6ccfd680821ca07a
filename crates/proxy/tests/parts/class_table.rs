//! Tests of `mosshead::class_table`.

use std::time::Instant;

use mosshead::class_table::{
    AcceptedNames, ClassTable, FORMER_BINDING_PERIOD, MAX_CLASS_SLOTS, SLOT_REUSE_DELAY,
};
use mosshead_decide::interface::{ClassId, ClassRedefinition, RepeatEffect};
use mosshead_settings::{JsonField, NamedSettings, parse_json, read_settings};

/// Settings with classes that have these names, effects and deadlines.
fn settings(classes: &[(&str, &str, f64)]) -> NamedSettings {
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

/// The meanings of a class name, the current one first.
fn classes_of(names: &AcceptedNames, name: &str, now: Instant) -> Vec<usize> {
    names.class(name, now).map(|binding| binding.class.0).collect()
}

/// Pending requests keep the definition that applied when they arrived.
#[test]
fn a_class_that_is_defined_anew_gets_another_slot() {
    let (mut table, names) = ClassTable::new(&settings(&[("a", "free", 1.0), ("b", "free", 1.0)]));
    let now = Instant::now();
    assert_eq!(classes_of(&names, "a", now), [0]);
    let other = settings(&[("a", "single_shot", 1.0), ("c", "free", 1.0)]);
    let change = table.change(&other, |_| true, now).expect("a change");
    assert_eq!(change.settings.classes[0].repeat_effect, RepeatEffect::Safe);
    assert_eq!(
        (change.active_classes.as_slice(), change.redefinitions.as_slice()),
        (
            [ClassId(2), ClassId(3)].as_slice(),
            [ClassRedefinition { former: ClassId(0), new: ClassId(2) }].as_slice()
        )
    );
    let later = now + FORMER_BINDING_PERIOD;
    assert_eq!(classes_of(&change.names, "a", now), [2, 0]);
    assert_eq!(
        (classes_of(&change.names, "a", later), classes_of(&change.names, "b", now)),
        (vec![2], vec![1])
    );
    assert!(
        classes_of(&change.names, "b", later).is_empty() && classes_of(&change.names, "x", now).is_empty()
    );
    // The previous definitions are still in their slots.
    let former = settings(&[("a", "free", 1.0), ("b", "free", 1.0)]);
    let change = table.change(&former, |_| true, later).expect("a change");
    assert_eq!((change.active_classes, change.settings.classes.len()), (vec![ClassId(0), ClassId(1)], 4));
}

/// Many changes must not make the table grow without bound.
#[test]
fn a_slot_is_used_again_once_no_request_has_its_class() {
    let (mut table, _) = ClassTable::new(&settings(&[("a", "free", 1.0)]));
    let mut now = Instant::now();
    for change_number in 0..100 {
        now += SLOT_REUSE_DELAY;
        let other = settings(&[("a", "free", 2.0 + f64::from(change_number))]);
        let change = table.change(&other, |class| class.0 == 0, now).expect("a change");
        assert!(change.settings.classes.len() <= 3 && change.settings.classes[0].deadline == 1.0);
    }
    let mut changes_at_once = (0..2 * MAX_CLASS_SLOTS).map(|change_number| {
        let other = settings(&[("a", "free", 500.0 + change_number as f64)]);
        table.change(&other, |_| false, now).is_err()
    });
    assert!(changes_at_once.any(|is_rejected| is_rejected));
}

#[test]
fn after_any_changes_exactly_the_last_settings_apply() {
    let all = [
        settings(&[("a", "free", 1.0), ("b", "single_shot", 2.0)]),
        settings(&[("b", "free", 2.0)]),
        settings(&[("c", "free", 3.0), ("a", "guarded", 1.0)]),
        settings(&[("a", "free", 4.0), ("b", "single_shot", 2.0), ("c", "free", 3.0)]),
    ];
    for order in 0..4_usize.pow(4) {
        let (mut table, _) = ClassTable::new(&all[0]);
        let now = Instant::now();
        let mut last = None;
        for step in 0..4 {
            let chosen = order / 4_usize.pow(step) % 4;
            last = Some((chosen, table.change(&all[chosen], |_| true, now).expect("a change")));
        }
        let Some((chosen, change)) = last else { continue };
        let mut active: Vec<_> =
            change.active_classes.iter().map(|at| &change.settings.classes[at.0]).collect();
        for (index, class) in all[chosen].settings.classes.iter().enumerate() {
            let name = all[chosen].classes.name(index);
            let bound = classes_of(&change.names, name, now + FORMER_BINDING_PERIOD);
            assert_eq!(bound.len(), 1);
            assert_eq!(&change.settings.classes[bound[0]], class);
            active.retain(|other| *other != class);
        }
        assert!(active.is_empty());
    }
}
