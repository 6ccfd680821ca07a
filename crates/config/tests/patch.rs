//! Patches from one configuration to another one.

mod common;

use common::{EXAMPLE, Sample, assert_same, example, parse};
use mosshead_config::Config;
use quickcheck::{TestResult, quickcheck};

fn assert_patches_to(from: &Config, to: &Config) {
    let patch = from.patch_to(to);
    assert!(patch.len() <= to.json().len() + 80, "never much longer than the complete configuration");
    assert_same(&from.apply_patch(&patch).unwrap_or_else(|error| panic!("{error}: {patch}")), to);
}

#[test]
fn a_patch_contains_only_what_changed() {
    let one = example();
    let two = parse(&EXAMPLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    assert_patches_to(&one, &two);
    let patch = one.patch_to(&two);
    assert!(
        patch.contains("2600") && !patch.contains("r-2") && !patch.contains("huvo11a\",\"health"),
        "{patch}"
    );
    let three = one.modify(br#"{"revision":9,"withdraw":{"route_entries":["r-2"]}}"#).expect("valid");
    assert_patches_to(&one, &three);
    assert!(one.patch_to(&three).len() < 120, "{}", one.patch_to(&three));
    assert_patches_to(&one, &one);
}

#[test]
fn unchanged_routes_are_shared() {
    let one = example();
    let two = parse(&EXAMPLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    let patched = one.apply_patch(&one.patch_to(&two)).expect("the patch applies");
    assert!(std::sync::Arc::ptr_eq(&one.routes()[1], &patched.routes()[1]));
    assert!(!std::sync::Arc::ptr_eq(&one.routes()[0], &patched.routes()[0]));
}

#[test]
fn a_patch_restores_the_order_of_items_and_fields() {
    let one = example();
    let start = EXAMPLE.find("{\"name\":\"r-1\"").expect("contained in the example");
    let middle = EXAMPLE.find(",\n    {\"name\":\"r-2\"").expect("contained in the example");
    let end = EXAMPLE.find("\n  ],\n  \"backend").expect("contained in the example");
    let swapped = format!(
        "{}{},{}{}",
        &EXAMPLE[..start],
        &EXAMPLE[middle + 1..end],
        &EXAMPLE[start..middle],
        &EXAMPLE[end..]
    );
    let two = parse(&swapped.replacen("7,", "8,", 1)).expect("valid");
    assert!(two.routes().iter().map(|route| route.name.as_str()).eq(["r-2", "r-1"]));
    assert_patches_to(&one, &two);
    assert_patches_to(&two, &one);
    let three = parse(&EXAMPLE.replace("\"later\"", "\"sooner\"")).expect("valid");
    assert_patches_to(&one, &three);
    let four = EXAMPLE.replacen("\"revision\": 7,", "", 1);
    let four = parse(&format!("{},\"list\":[{{\"name\":\"a\"}}],\"revision\":9}}", &four[..four.len() - 1]))
        .expect("valid");
    assert_patches_to(&one, &four);
    assert_patches_to(&four, &one);
    let five = parse(&four.json().replace("[{\"name\":\"a\"}]", "[1]")).expect("valid");
    assert_patches_to(&four, &five);
    assert_patches_to(&five, &four);
}

#[test]
fn a_patch_for_another_configuration_is_rejected() {
    let one = example();
    let two = parse(&EXAMPLE.replace("2500", "2600").replacen("7,", "8,", 1)).expect("valid");
    let patch = one.patch_to(&two);
    let code = |config: &Config, patch: &str| {
        config.apply_patch(patch).expect_err("the patch does not apply").code()
    };
    assert_eq!(code(&two, &patch), 14);
    let other = parse(&EXAMPLE.replace("200}", "201}")).expect("valid");
    let other = other.modify(br#"{"revision":8,"withdraw":{"route_entries":["r-2"]}}"#).expect("valid");
    assert_eq!(code(&other, &patch.replace("\"base\":7", "\"base\":8")), 14);
    assert_eq!(code(&one, &patch.replace("2600", "2601")), 14);
    assert_eq!(code(&one, &patch.replace("\"sum\"", "\"sun\"")), 14);
    assert_eq!(code(&one, &patch[..patch.len() - 1]), 3);
    assert_eq!(code(&one, "{}"), 6);
}

quickcheck! {
    fn a_patch_results_in_exactly_the_newer_configuration(from: Sample, to: Sample) -> bool {
        let (from, to) = (parse(&from.text()).expect("valid"), parse(&to.text()).expect("valid"));
        assert_patches_to(&from, &to);
        assert_patches_to(&to, &from);
        true
    }

    /// Successive configurations have most items in common.
    fn patches_follow_a_chain_of_changes(sample: Sample, changes: Vec<common::SampleChange>) -> TestResult {
        let mut current = parse(&sample.text()).expect("valid");
        let mut applied = 0;
        for change in changes.iter().take(8) {
            if let Ok(next) = current.modify(change.text(current.revision() + 2).as_bytes()) {
                assert_patches_to(&current, &next);
                assert_patches_to(&next, &current);
                current = next;
                applied += 1;
            }
        }
        assert_same(&current, &parse(current.json()).expect("valid"));
        if applied > 0 { TestResult::passed() } else { TestResult::discard() }
    }
}
