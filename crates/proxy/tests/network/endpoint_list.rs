//! The endpoint list: the saved one, and updates from discovery or an agent.

use rstest::rstest;

use crate::scenario::play;

/// A full list that contains only the server n9.
const LIST_OF_N9: &str =
    r#"{"version":2,"full":true,"servers":[{"id":"n9","addr":"addr(n9)","state":"SERVING"}]}"#;

/// Steps in which discovery sends that list and n9 gets the next request.
const SENDS_N9: &str = "send 200 body=LIST_OF_N9
     list expect from=2
     a send GET /slot-lookup
     n9 expect slot-lookup
     n9 send 200 body=nine
     a expect nine";

/// Plays a scenario in which `SENDS_N9` and `LIST_OF_N9` are replaced by these texts.
pub(crate) fn expand_lists(scenario: &str) -> String {
    scenario.replace("SENDS_N9", SENDS_N9).replace("LIST_OF_N9", LIST_OF_N9)
}

/// A list that is late, incomplete or invalid must not replace the current one.
#[rstest]
#[case::the_saved_list_is_used(
    "n1",
    "list expect from=1
     list close
     proxy wait machine-list failed
     a send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200
     a expect 200"
)]
#[case::not_healthy_before_a_first_list(
    "send_cap=2",
    "a send GET /_health
     a expect 503
     list expect from=1 hold_ms=
     list SENDS_N9"
)]
#[case::healthy_if_discovery_fails(
    "send_cap=2",
    "list expect from=1
     list close
     proxy wait machine-list failed
     a send GET /_health
     a expect 200"
)]
#[case::a_full_list_replaces_the_saved_one(
    "n1",
    "list expect from=1
     list SENDS_N9"
)]
#[case::the_address_of_a_server_changes(
    "n1",
    r#"a send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200
     a expect 200
     list expect from=1
     list send 200 body={"version":2,"full":false,"servers":[{"id":"n1","addr":"addr(n8)","state":"SERVING"}]}
     n1 expect closed
     proxy wait reason=list-changed
     a send GET /slot-lookup
     n8 expect slot-lookup
     n8 send 200 body=moved
     a expect moved"#
)]
// Where lists are pushed, the agent is watched from the start and called again after each failure.
#[case::an_agent_is_watched(
    "n1 membership_mode=\"push\"",
    "list expect from=1 hold_ms=
     list SENDS_N9"
)]
#[case::an_agent_fails(
    "n1 membership_mode=\"push\"",
    "list expect from=1
     list close
     proxy wait machine-list failed
     list expect from=1
     list send 503
     list expect closed
     list close
     list expect from=1
     list send 200 body=nonsense
     list expect closed
     list close
     list expect /catalog/members
     list send 200 body=LIST_OF_N9
     list expect from=2
     a send GET /slot-lookup
     n9 expect slot-lookup"
)]
#[case::an_agent_takes_over_from_discovery(
    "n1",
    "list expect from=1
     list close
     proxy wait machine-list failed
     proxy change membership_mode=\"push\"
     list expect from=1
     list close
     list expect from=1
     list close
     list expect from=1
     list close
     list expect from=1
     list send 200 body=LIST_OF_N9
     list expect from=2"
)]
// When servers are replaced, the number of a removed one is reused.
#[case::numbers_of_servers_are_reused(
    "n1",
    r#"list expect from=1
     list send 200 body={"version":2,"full":false,"servers":[{"id":"n1","addr":"addr(n1)","state":"DELETED"},{"id":"n9","addr":"addr(n9)","state":"SERVING"}]}
     list expect from=2
     list send 200 body={"version":3,"full":false,"servers":[{"id":"n9","addr":"addr(n9)","state":"DELETED"},{"id":"new","addr":"addr(n8)","state":"SERVING"}]}
     list expect from=3
     list send 200 body={"version":4,"full":false,"servers":[{"id":"gone","addr":"addr(n9)","state":"DELETED"}]}
     list expect from=4
     a send GET /slot-lookup
     n8 expect slot-lookup
     n8 send 200 body=third
     a expect third"#
)]
// After an incomplete list the current one stays in use, and the next call requests the full list.
#[case::the_list_breaks_off(
    "n1",
    r#"list expect from=1
     list send 200 body={"version":2,"full":true,"serv
     proxy wait machine-list
     list close
     list expect /catalog/members
     list SENDS_N9"#
)]
#[case::discovery_fails(
    "n1",
    "list expect from=1
     list send 503
     proxy wait machine-list failed
     list close
     list expect from=1
     a send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200 body=old
     a expect old"
)]
// Parsing this list recursively would overflow the stack.
#[case::the_list_nests_deeply(
    "n1",
    "list expect from=1
     list send 200 body=DEEP
     proxy wait nested deeper
     a send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200 body=old
     a expect old"
)]
fn the_newest_valid_list_is_used(#[case] start: &str, #[case] scenario: &str) {
    let scenario = expand_lists(scenario).replace("DEEP", &"[".repeat(60_000));
    play(&format!("proxy start {start}\n{scenario}"));
}
