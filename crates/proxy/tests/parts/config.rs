//! Tests of `mosshead::config`.

use mosshead::Config;

/// If more requests per connection were allowed than the protocol carries, the balancer would count free connections
/// that don't exist.
#[test]
fn a_connection_carries_one_request_whatever_the_settings_state() {
    let text = r#"{"name":"t","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"0a",
        "limits":{"memory_mb":64,"sockets":64},"known":{"version":1,"full":true,"servers":[]},"settings":{
        "classes":[{"name":"c","target_s":0.1,"deadline_s":0.4,"gain":1,"effect":"free"}],
        "limits":{"may_cancel":true,"probes":true,"second_copies":false,"send_cap":4,"max_streams":100,
        "connect_timeout_s":0.15},"membership_mode":"push","tick_s":0.001,"reporting":{"how":"piggyback"},
        "weights":"silent","zone":"z","zones":["z"],"rules":{"ask_within_s":10,"cold_from":0.3,
        "fall_multiple":3,"fall_s":1.5,"warm_up_s":8}}}"#;
    assert_eq!(Config::read(text).expect("a configuration").named.settings.limits.streams_per_connection, 1);
}
