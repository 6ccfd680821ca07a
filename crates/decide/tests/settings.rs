//! Settings at the start, and other ones later.

mod common;
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;

#[test]
fn invalid_settings_are_rejected_with_value_and_reason() {
    let error = Balancer::new(Settings { classes: Vec::new(), ..settings() }, 1).expect_err("no classes");
    assert_eq!(error.to_string(), "setting classes is 0: it must be at least one class");
    let mut all = settings();
    all.classes[0].latency_target = f64::NAN;
    assert_eq!(Balancer::new(all, 1).expect_err("no latency target").name, "classes.target");
    let mut all = settings();
    all.rules.overload_factor = 0.0;
    assert_eq!(Balancer::new(all.clone(), 1).expect_err("no multiple").name, "rules.fall_multiple");
    all.rules.overload_window = 0.0;
    assert_eq!(Balancer::new(all, 1).expect_err("no window").name, "rules.fall");
}

/// Other settings apply to the requests that arrive after them; pending ones keep theirs.
#[test]
fn pending_requests_keep_the_settings_that_they_arrived_under() {
    let mut host = Host::new(settings(), fleet(4));
    let old = host.place_request(UNSAFE);
    let mut other = settings();
    other.limits.max_attempts = 1;
    other.classes.push(class(RepeatEffect::Unsafe));
    let added = ClassId(other.classes.len() - 1);
    let open = [SAFE, KEYED, added];
    host.balancer
        .apply_settings(other, &open, &[ClassRedefinition { former: UNSAFE, new: added }])
        .expect("legal settings");
    let new = host.place_request(added);
    let actions = host.end_attempt(new, Outcome::ConnectFailed, LoadReport::default());
    assert!(is_rejected(&actions, new.request), "one attempt is all it has: {actions:?}");
    let actions = host.end_attempt(old, Outcome::ConnectFailed, LoadReport::default());
    assert_eq!(sent_endpoints(&actions).len(), 1, "it came with three: {actions:?}");
}

/// Regression: settings must not be applied in part.
#[test]
fn invalid_settings_change_nothing() {
    let mut host = Host::new(settings(), fleet(2));
    let mut other = settings();
    other.limits.max_attempts = 7;
    other.classes[0].deadline = -1.0;
    assert!(host.balancer.apply_settings(other, &[SAFE], &[]).is_err());
    let first = host.place_request(UNSAFE);
    let mut tries = 1;
    let mut sent = first;
    loop {
        let actions = host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default());
        if sent_endpoints(&actions).is_empty() {
            break;
        }
        sent = *host.in_flight.last().expect("an attempt");
        tries += 1;
    }
    assert!(tries <= 3, "{tries}");
}
