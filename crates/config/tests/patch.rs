//! Patches from one configuration to the next.

mod common;

use common::{Sample, WHOLE, read, same, whole};
use mosshead_config::Config;
use quickcheck::{TestResult, quickcheck};

fn goes(from: &Config, to: &Config) {
    let patch = from.patch_to(to);
    assert!(patch.len() <= to.json().len() + 80, "never much longer than the whole");
    same(&from.apply_patch(&patch).unwrap_or_else(|fault| panic!("{fault}: {patch}")), to);
}

#[test]
fn a_patch_holds_what_changed() {
    let one = whole();
    let two = read(&WHOLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    goes(&one, &two);
    let patch = one.patch_to(&two);
    assert!(
        patch.contains("2600") && !patch.contains("r-2") && !patch.contains("huvo11a\",\"health"),
        "{patch}"
    );
    let three = one.modify(br#"{"revision":9,"withdraw":{"route_entries":["r-2"]}}"#).expect("valid");
    goes(&one, &three);
    assert!(one.patch_to(&three).len() < 120, "{}", one.patch_to(&three));
    goes(&one, &one);
}

#[test]
fn unchanged_routes_are_shared() {
    let one = whole();
    let two = read(&WHOLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    let patched = one.apply_patch(&one.patch_to(&two)).expect("fits");
    assert!(std::sync::Arc::ptr_eq(&one.routes[1], &patched.routes[1]));
    assert!(!std::sync::Arc::ptr_eq(&one.routes[0], &patched.routes[0]));
}

#[test]
fn order_and_fields_come_over() {
    let one = whole();
    let start = WHOLE.find("{\"name\":\"r-1\"").expect("there");
    let middle = WHOLE.find(",\n    {\"name\":\"r-2\"").expect("there");
    let end = WHOLE.find("\n  ],\n  \"backend").expect("there");
    let turned =
        format!("{}{},{}{}", &WHOLE[..start], &WHOLE[middle + 1..end], &WHOLE[start..middle], &WHOLE[end..]);
    let two = read(&turned.replacen("7,", "8,", 1)).expect("valid");
    assert!(two.routes.iter().map(|route| route.name.as_str()).eq(["r-2", "r-1"]));
    goes(&one, &two);
    goes(&two, &one);
    let three = read(&WHOLE.replace("\"later\"", "\"sooner\"")).expect("valid");
    goes(&one, &three);
    let four = WHOLE.replacen("\"revision\": 7,", "", 1);
    let four = read(&format!("{},\"list\":[{{\"name\":\"a\"}}],\"revision\":9}}", &four[..four.len() - 1]))
        .expect("valid");
    goes(&one, &four);
    goes(&four, &one);
    let five = read(&four.json().replace("[{\"name\":\"a\"}]", "[1]")).expect("valid");
    goes(&four, &five);
    goes(&five, &four);
}

#[test]
fn a_patch_for_another_configuration_is_refused() {
    let one = whole();
    let two = read(&WHOLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    let patch = one.patch_to(&two);
    let code = |config: &Config, patch: &str| config.apply_patch(patch).expect_err("does not fit").code();
    assert_eq!(code(&two, &patch), 14);
    let other = read(&WHOLE.replace("200}", "201}")).expect("valid");
    let other = other.modify(br#"{"revision":8,"withdraw":{"route_entries":["r-2"]}}"#).expect("valid");
    assert_eq!(code(&other, &patch.replace("\"base\":7", "\"base\":8")), 14);
    assert_eq!(code(&one, &patch.replace("2600", "2601")), 14);
    assert_eq!(code(&one, &patch.replace("\"sum\"", "\"sun\"")), 14);
    assert_eq!(code(&one, &patch[..patch.len() - 1]), 3);
    assert_eq!(code(&one, "{}"), 6);
}

quickcheck! {
    fn a_patch_gives_exactly_the_newer_one(from: Sample, to: Sample) -> bool {
        let (from, to) = (read(&from.text()).expect("valid"), read(&to.text()).expect("valid"));
        goes(&from, &to);
        goes(&to, &from);
        true
    }

    /// Over a chain of changes as well, where most stays.
    fn patches_follow_changes(sample: Sample, changes: Vec<common::SampleChange>) -> TestResult {
        let mut current = read(&sample.text()).expect("valid");
        let mut taken = 0;
        for change in changes.iter().take(8) {
            if let Ok(next) = current.modify(change.text(current.revision + 2).as_bytes()) {
                goes(&current, &next);
                goes(&next, &current);
                current = next;
                taken += 1;
            }
        }
        same(&current, &read(current.json()).expect("valid"));
        if taken > 0 { TestResult::passed() } else { TestResult::discard() }
    }
}
