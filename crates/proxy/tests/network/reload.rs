//! SIGHUP: the configuration is applied as a whole or not at all, and requests continue.

use rstest::rstest;

use crate::endpoint_list::expand_lists;
use crate::scenario::play;

#[rstest]
#[case::moves_at_once_and_requests_continue(
    "list expect from=1
     a send POST /book-lesson
     n1 expect book-lesson
     proxy send n8
     list expect closed
     proxy wait reason=reloaded
     n8 expect from=1 hold_ms=
     n8 send 200 body=LIST_OF_N9
     n8 expect from=2
     n1 send 200 body=booked
     a expect 200 booked
     a send GET /slot-lookup
     n9 expect slot-lookup
     n9 send 200 body=nine
     a expect nine"
)]
#[case::an_invalid_file_changes_nothing(
    "list expect from=1
     proxy send nothing
     proxy wait reload failed
     list SENDS_N9"
)]
#[case::a_stop_during_a_reload(
    "list expect from=1
     a send POST /book-lesson
     n1 expect book-lesson
     proxy send n8
     proxy close
     n1 send 200 body=booked
     a expect 200 booked
     proxy expect exit 0"
)]
fn discovery_moves_at_a_reload(#[case] scenario: &str) {
    let scenario = expand_lists(scenario);
    play(&format!("proxy start n1\n{scenario}"));
}

#[rstest]
#[case::a_class_is_added(
    "a send GET /poem
     a expect 400
     proxy change add:poem:single_shot
     proxy wait reloaded
     b send POST /poem
     n1 expect /poem
     n1 send 500
     b expect 502"
)]
// New requests of a removed class are rejected a moment later; those in flight are served.
#[case::a_class_is_dropped(
    "proxy change add:poem:free
     proxy wait classes=3
     a send GET /poem
     n1 expect /poem
     proxy change drop:poem
     proxy wait classes=2
     n1 send 200 body=late
     a expect late
     h send GET /_health
     h expect 200
     h expect closed
     b send GET /poem
     b expect 400"
)]
// If the new effect applied to a request in flight, it would be sent again although it may have been executed.
#[case::a_request_in_flight_keeps_its_effect(
    "a send POST /book-lesson
     n1 expect book-lesson
     proxy change drop:book-lesson add:book-lesson:guarded send_cap=4
     proxy wait attempts=4
     n1 send 500
     a expect 502
     b send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200 body=ok
     b expect ok"
)]
#[case::fewer_attempts(
    "proxy change send_cap=1
     proxy wait attempts=1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 send 503 X-Unprocessed:1
     a expect 503 retry-after:"
)]
#[case::several_changes_in_a_row(
    "proxy change add:x:free
     proxy change add:y:free
     proxy change raw nonsense
     proxy change send_cap=1
     proxy wait attempts=1
     a send GET /y
     n1 expect /y
     n1 send 200 body=ok
     a expect ok"
)]
fn settings_change_while_requests_are_in_flight(#[case] scenario: &str) {
    play(&format!("proxy start n1\n{scenario}"));
}

/// Partly applied settings, or a default in place of a missing key, would break rules hours later.
#[rstest]
#[case::empty("raw ", "fault=")]
#[case::truncated("raw {\"name\":\"t\",\"listen\":\"127", "fault=")]
#[case::not_json("raw nonsense", "fault=")]
#[case::a_key_is_missing("remove:name add:poem:free", "missing field `name`")]
#[case::a_key_with_a_default_is_missing(
    "remove:keepalive_s add:poem:free",
    "settings.limits.keepalive_s: missing"
)]
#[case::a_key_of_a_class_is_missing("remove:group add:poem:free", "settings.classes[0].group: missing")]
#[case::deadline_below_zero("deadline_s=-5 add:poem:free", "deadline is -5")]
#[case::zero_deadline("deadline_s=0 add:poem:free", "deadline is 0")]
#[case::deadline_in_words("deadline_s=\"soon\" add:poem:free", "deadline_s: invalid")]
#[case::half_an_attempt("send_cap=2.5 add:poem:free", "send_cap: invalid")]
#[case::zero_attempts("send_cap=0 add:poem:free", "max_attempts is 0")]
fn nothing_of_an_invalid_file_is_applied(#[case] change: &str, #[case] error: &str) {
    play(&format!(
        "proxy start n1
         proxy change {change}
         proxy wait {error}
         a send GET /poem
         a expect 400
         b send GET /slot-lookup
         n1 expect slot-lookup
         n1 send 503 X-Unprocessed:1
         n1 expect slot-lookup
         n1 send 200 body=ok
         b expect ok"
    ));
}

#[test]
fn an_unreadable_file_changes_nothing_and_is_named_in_the_log() {
    for what in ["folder", "gone", "bytes"] {
        play(&format!(
            "proxy start n1
             proxy replace-file {what}
             proxy wait config.json:
             b send GET /slot-lookup
             n1 expect slot-lookup
             n1 send 200 body=ok
             b expect ok"
        ));
    }
}

#[test]
fn after_hundreds_of_reloads_the_last_valid_file_is_in_force() {
    let changes: String = (0..100)
        .map(|at| format!("proxy change send_cap={}\nproxy change raw {{\"name\":{at}\n", 2 + at % 2))
        .collect();
    play(&format!(
        "proxy start n1
         {changes}
         proxy change send_cap=1
         proxy wait attempts=1
         a send POST /book-lesson
         n1 expect book-lesson
         n1 send 503 X-Unprocessed:1
         a expect 503 retry-after:"
    ));
}
