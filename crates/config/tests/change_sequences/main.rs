//! Sequences of changes and patches give the same configuration as a full parse of the resulting text.

#[path = "../common/mod.rs"]
mod common;
mod edits;
mod model;

use std::sync::Arc;

use common::{EXAMPLE, assert_same, example, parse};
use edits::{Change, Edit, Scenario};
use model::{Model, assert_finds_routes, forwards_to, route, service};
use mosshead_config::{Config, MAX_DEPTH, peek_revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// The numbers of accepted and rejected changes of a scenario.
#[derive(Default)]
struct Outcomes {
    accepted: usize,
    rejected: usize,
}

/// Applies the changes of a scenario as changes, patches, incremental parses and full parses, and checks that all
/// results are the same.
fn run(scenario: &Scenario) -> Outcomes {
    let mut model = Model::with_routes(scenario.initial_routes);
    let mut current = parse(&model.text()).expect("valid");
    let initial = current.clone();
    let mut replica = current.clone();
    let mut patches = Vec::new();
    let mut outcomes = Outcomes::default();
    for edits in &scenario.changes {
        let change = Change::new(edits);
        let next = model.changed(&change);
        let full = parse(&next.text());
        let incremental = current.parse_sharing(next.text().as_bytes());
        assert_eq!(incremental, full);
        let modified = current.modify(change.text(next.revision).as_bytes());
        match (modified, full) {
            (Ok(modified), Ok(full)) => {
                assert_same(&incremental.expect("valid, as the full parse was"), &full);
                assert_equals_full_parse(&current, &modified, &full);
                // A patch must not depend on how the configurations were made.
                let patch = current.patch_to(&modified);
                assert_eq!(patch, current.patch_to(&full));
                replica = replica.apply_patch(&patch).expect("the patch applies");
                assert_same(&replica, &full);
                patches.push(patch);
                (current, model) = (modified, next);
                outcomes.accepted += 1;
            }
            (Err(one), Err(other)) => {
                assert_eq!(one.code(), other.code(), "{one}, {other}");
                if !edits.iter().any(|edit| edit.is_invalid_item()) {
                    assert_eq!(one, other);
                }
                outcomes.rejected += 1;
            }
            (one, other) => panic!("{one:?} and {other:?}"),
        }
    }
    let late_replica = patches.iter().try_fold(initial, |config, patch| config.apply_patch(patch));
    assert_same(&late_replica.expect("the patch applies"), &current);
    outcomes
}

fn assert_equals_full_parse(current: &Config, modified: &Config, full: &Config) {
    assert_same(modified, full);
    assert_eq!(Config::parse_replacement(Some(current), full.json().as_bytes()).as_ref(), Ok(full));
    assert_eq!(modified.json_length(), modified.json().len());
    assert_eq!(modified.to_json(), full.json().as_ref());
    assert_finds_routes(modified);
}

#[test]
fn changes_give_the_same_configuration_as_a_full_parse() {
    fn property(scenario: Scenario) -> bool {
        run(&scenario);
        true
    }
    QuickCheck::new().tests(150).quickcheck(property as fn(Scenario) -> bool);
}

#[test]
fn scenarios_contain_enough_accepted_and_rejected_changes() {
    let mut g = Gen::new(20);
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..40 {
        let outcomes = run(&Scenario::arbitrary(&mut g));
        accepted += outcomes.accepted;
        rejected += outcomes.rejected;
    }
    assert!(accepted > 40 && rejected > 40, "{accepted} accepted, {rejected} rejected");
}

/// Configurations with the revision of the model that each differ from it in one respect.
fn variants(model: &Model) -> Vec<(&'static str, String)> {
    let with = |edit: &dyn Fn(&mut Model)| {
        let mut other = model.clone();
        edit(&mut other);
        other.text()
    };
    let text = model.text();
    let with_fields_moved =
        text.replacen("\"revision\":1,", "", 1).replacen("\"more\"", "\"revision\":1,\"more\"", 1);
    vec![
        ("one item", with(&|other| other.routes[77] = route(77, 77, 6, &forwards_to("s0")))),
        ("two items", with(&|other| other.routes.swap(70, 71))),
        ("two far items", with(&|other| other.routes.swap(3, 150))),
        ("an item less", with(&|other| drop(other.routes.remove(100)))),
        ("an item more", with(&|other| other.routes.push(route(201, 201, 6, &forwards_to("s0"))))),
        ("a service", with(&|other| other.services[1] = service(1, 9))),
        ("services reversed", with(&|other| other.services.reverse())),
        ("a plain field", text.replace("[1, 2]", "[1,3]")),
        ("a field more", text.replace("\"more\"", "\"yet\":0,\"more\"")),
        ("fields moved", with_fields_moved),
    ]
}

#[test]
fn a_patch_for_another_configuration_of_the_same_revision_is_rejected() {
    let model = Model::with_routes(200);
    let first = parse(&model.text()).expect("valid");
    let edit_lists = [
        vec![Edit::UpsertRoute { route: 10, timeout_ms: 77, service: 1 }],
        vec![Edit::UpsertRoute { route: 240, timeout_ms: 77, service: 1 }],
        vec![Edit::RemoveRoute { route: 20 }],
        vec![Edit::UpsertService { service: 3, connections: 99 }],
    ];
    for edits in edit_lists {
        let next = first.modify(Change::new(&edits).text(2).as_bytes()).expect("valid");
        let patch = first.patch_to(&next);
        assert_eq!(first.apply_patch(&patch).as_ref(), Ok(&next));
        for (difference, other) in variants(&model) {
            let other = parse(&other).expect(difference);
            assert_eq!(
                other.apply_patch(&patch).map_err(|error| error.code()),
                Err(14),
                "{difference}: {edits:?}"
            );
        }
    }
}

#[test]
fn a_change_shares_items_that_it_does_not_touch() {
    let model = Model::with_routes(200);
    let first = parse(&model.text()).expect("valid");
    let change = Change::new(&[
        Edit::UpsertRoute { route: 10, timeout_ms: 77, service: 1 },
        Edit::RemoveRoute { route: 20 },
    ]);
    let next = first.modify(change.text(2).as_bytes()).expect("valid");
    let patched = first.apply_patch(&first.patch_to(&next)).expect("the patch applies");
    let incremental = first.parse_sharing(next.json().as_bytes()).expect("valid");
    for newer in [&next, &patched, &incremental] {
        let shared =
            newer.routes().iter().filter(|route| first.routes().iter().any(|old| Arc::ptr_eq(old, route)));
        assert_eq!((shared.count(), newer.routes().len()), (198, 199));
        assert!(Arc::ptr_eq(first.services(), newer.services()));
    }
}

#[test]
fn incremental_parsing_from_any_configuration_equals_full_parsing() {
    let model = Model::with_routes(200);
    let mut texts: Vec<String> = variants(&model).into_iter().map(|(_, text)| text).collect();
    texts.push(model.text());
    texts.push(model.text().replace(",\"timeout_ms\"", " , \"timeout_ms\""));
    texts.push(model.text().replace("},{", "} ,\n{"));
    let mut duplicated = model.clone();
    duplicated.routes.push(model.routes[3].clone());
    texts.push(duplicated.text());
    duplicated.routes.swap(9, 200);
    texts.push(duplicated.text());
    for one in texts.iter().filter_map(|text| parse(text).ok()) {
        for other in &texts {
            let (incremental, full) = (one.parse_sharing(other.as_bytes()), parse(other));
            assert_eq!(incremental, full);
            if let (Ok(incremental), Ok(full)) = (incremental, full) {
                assert_same(&incremental, &full);
                assert_same(&one.apply_patch(&one.patch_to(&incremental)).expect("the patch applies"), &full);
            }
        }
    }
}

#[test]
fn the_revision_is_read_before_the_configuration_is_parsed() {
    let model = Model::with_routes(3);
    assert_eq!(peek_revision(model.text().as_bytes()), Some(1));
    assert_eq!(peek_revision(br#"{"upsert":{"revision":3},"revision":4}"#), Some(4));
    for text in
        ["", "[]", "{}", "{\"revision\":1.5}", "{\"revision\":\"1\"}", "{\"revision\":1", "{\"revision\":1}}"]
    {
        assert_eq!(peek_revision(text.as_bytes()), None, "{text}");
    }
}

/// An error within a field or an item must be found even if everything around it is unchanged.
#[test]
fn incremental_parsing_reports_the_errors_of_full_parsing() {
    let base = example();
    let deep = "[".repeat(100_000);
    let nested = |levels: usize| format!("{}0{}", "[".repeat(levels), "]".repeat(levels));
    let positions = [("\"a b\\t\\u0041\"", MAX_DEPTH - 2), ("\"blue\"", MAX_DEPTH - 3)];
    for (position, levels) in positions {
        assert!(EXAMPLE.contains(position), "{position}");
        let fragments = [
            (4, nested(levels + 1)),
            (4, deep.clone()),
            (5, "{\"k\":1,\"k\":2}".to_owned()),
            (3, "\"\\u 0041\"".to_owned()),
            (3, "[1,]".to_owned()),
            (3, "[1}".to_owned()),
        ];
        for (code, fragment) in fragments {
            let text = EXAMPLE.replace(position, &fragment);
            let error = base.parse_sharing(text.as_bytes()).expect_err(&text[..200]);
            assert_eq!((error.code(), Err(error)), (code, parse(&text)));
        }
        let text = EXAMPLE.replace(position, &nested(levels));
        assert_eq!(base.parse_sharing(text.as_bytes()), parse(&text));
        assert!(parse(&text).is_ok());
    }
}
