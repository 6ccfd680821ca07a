//! Signals that come while a program starts.

mod common;
#[path = "common/held_start.rs"]
mod held_start;

use std::net::{Ipv4Addr, SocketAddrV4};

use common::{free_port, get};
use held_start::HeldStart;
use rustix::process::Signal;

const MACHINE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 6);

/// One of the two programs, and how it is asked whether it serves.
struct Program {
    path: &'static str,
    settings: String,
    /// What answers once the program serves, with a status that does not matter.
    address: SocketAddrV4,
}

fn programs(data_directory: &std::path::Path) -> [Program; 2] {
    let internal = free_port(MACHINE);
    let common = format!(
        "node_name=here\nzone=z\nip_address={MACHINE}\ninternal_port_range={internal},{internal}\nseed_nodes=\n"
    );
    let [front, readiness, control] = [(); 3].map(|()| SocketAddrV4::new(MACHINE, free_port(MACHINE)));
    let proxy =
        format!("{common}listen_addresses.front_http={front}\nlisten_addresses.readiness={readiness}\n");
    let control_node = format!(
        "{common}listen_addresses.control_plane={control}\ndata_directory={}\nbootstrap=true\n",
        data_directory.display()
    );
    [
        Program { path: env!("CARGO_BIN_EXE_mosshead-router"), settings: proxy, address: readiness },
        Program { path: env!("CARGO_BIN_EXE_mosshead-control"), settings: control_node, address: control },
    ]
}

/// Guards against a SIGHUP that ends a process because its handler comes after the listeners (issue 63, point 3).
#[test]
fn a_hangup_during_the_start_does_not_end_the_process() {
    let directory = tempfile::tempdir().unwrap();
    for program in programs(&directory.path().join("data")) {
        let folder = tempfile::tempdir().unwrap();
        let mut process = HeldStart::begin(program.path, "--settings", folder.path());
        for _ in 0..3 {
            process.signal(Signal::HUP);
        }
        process.release(&program.settings);
        process.wait_until("it serves", |_| !get(program.address, "/status").is_empty());
        process.signal(Signal::TERM);
        assert_eq!(process.exit_code(), Some(0), "{}", program.path);
    }
}

#[test]
fn a_termination_during_the_start_is_a_planned_stop() {
    let directory = tempfile::tempdir().unwrap();
    for program in programs(&directory.path().join("data")) {
        for signal in [Signal::TERM, Signal::INT] {
            let folder = tempfile::tempdir().unwrap();
            let mut process = HeldStart::begin(program.path, "--settings", folder.path());
            process.signal(Signal::HUP);
            process.signal(signal);
            process.release(&program.settings);
            assert_eq!(process.exit_code(), Some(0), "{}", program.path);
        }
    }
}
