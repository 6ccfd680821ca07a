//! Signals that come while the client proxy starts.

#[path = "../../programs/tests/common/held_start.rs"]
mod held_start;

use std::net::{SocketAddr, TcpListener, TcpStream};

use held_start::HeldStart;
use rustix::process::Signal;

/// A configuration with this address for clients.
fn config(listen: SocketAddr) -> String {
    format!(
        r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"version":41,"full":true,"servers":[]}},
"settings":{{"classes":[{{"name":"slot-lookup","target_s":0.8,"deadline_s":4.0,"gain":1.0,"effect":"free"}}],
"limits":{{"may_cancel":true,"probes":true,"second_copies":true,"send_cap":4,"connect_timeout_s":0.25}},
"membership_mode":"ask","tick_s":0.005,"reporting":{{"how":"piggyback"}},"weights":"silent","zone":"z","zones":["z"],
"rules":{{"ask_within_s":10.0,"cold_from":0.35,"fall_multiple":3.0,"fall_s":3.0,"warm_up_s":8.3}}}}}}"#
    )
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.7:0").and_then(|listener| listener.local_addr()).expect("a port")
}

/// Guards against a signal that ends the process because its handler comes after the configuration was read (issue 63,
/// point 3).
#[test]
fn a_hangup_during_the_start_does_not_end_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut process = HeldStart::begin(env!("CARGO_BIN_EXE_mosshead"), "--config", folder.path());
    for _ in 0..3 {
        process.signal(Signal::HUP);
    }
    let listen = free_address();
    process.release(&config(listen));
    process.wait_until("it listens", |_| TcpStream::connect(listen).is_ok());
    process.signal(Signal::TERM);
    assert_eq!(process.exit_code(), Some(0));
}

#[test]
fn a_termination_during_the_start_is_a_planned_stop() {
    for signal in [Signal::TERM, Signal::INT] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut process = HeldStart::begin(env!("CARGO_BIN_EXE_mosshead"), "--config", folder.path());
        process.signal(Signal::HUP);
        process.signal(signal);
        process.release(&config(free_address()));
        assert_eq!(process.exit_code(), Some(0));
    }
}
