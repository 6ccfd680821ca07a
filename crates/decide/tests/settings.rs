//! Validation of settings, and changes at run time.

mod common;
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;

#[test]
fn invalid_settings_are_rejected_with_value_and_reason() {
    let error = Balancer::new(Settings { classes: Vec::new(), ..settings() }, 1).expect_err("no classes");
    assert_eq!(error.to_string(), "setting classes is 0: it must be at least one class");
    let mut test_settings = settings();
    test_settings.classes[0].latency_target = f64::NAN;
    assert_eq!(Balancer::new(test_settings, 1).expect_err("no latency target").name, "classes.target");
    let mut test_settings = settings();
    test_settings.rules.overload_factor = 0.0;
    assert_eq!(Balancer::new(test_settings.clone(), 1).expect_err("no multiple").name, "rules.fall_multiple");
    test_settings.rules.overload_window = 0.0;
    assert_eq!(Balancer::new(test_settings, 1).expect_err("no window").name, "rules.fall");
}

/// New settings apply to requests that arrive after the change; pending requests keep the old ones.
#[test]
fn pending_requests_keep_the_settings_that_they_arrived_under() {
    let mut host = Host::new(settings(), fleet(4));
    let old = host.place_request(UNSAFE);
    let mut other = settings();
    other.limits.max_attempts = 1;
    other.classes.push(class(RepeatEffect::Unsafe));
    let added = ClassId(other.classes.len() - 1);
    let active_classes = [SAFE, KEYED, added];
    host.balancer
        .apply_settings(other, &active_classes, &[ClassRedefinition { former: UNSAFE, new: added }])
        .expect("the settings are valid");
    let new = host.place_request(added);
    let actions = host.end_attempt(new, Outcome::ConnectFailed, LoadReport::default());
    assert!(is_rejected(&actions, new.request), "a new request has one attempt: {actions:?}");
    let actions = host.end_attempt(old, Outcome::ConnectFailed, LoadReport::default());
    assert_eq!(sent_endpoints(&actions).len(), 1, "a pending request keeps its three attempts: {actions:?}");
}

/// Regression: invalid settings must not be applied in part.
#[test]
fn invalid_settings_change_nothing() {
    let mut host = Host::new(settings(), fleet(2));
    let mut other = settings();
    other.limits.max_attempts = 7;
    other.classes[0].deadline = -1.0;
    assert!(host.balancer.apply_settings(other, &[SAFE], &[]).is_err());
    let first = host.place_request(UNSAFE);
    let mut attempts = 1;
    let mut sent = first;
    loop {
        let actions = host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default());
        if sent_endpoints(&actions).is_empty() {
            break;
        }
        sent = *host.in_flight.last().expect("an attempt");
        attempts += 1;
    }
    assert!(attempts <= 3, "{attempts} attempts");
}
