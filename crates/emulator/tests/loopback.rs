//! Sockets on loopback.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use mosshead_emulator::loopback::UnreachableListener;

/// A fault that makes a server unreachable depends on this: a closed port would refuse at once.
#[test]
fn a_connection_to_an_unreachable_listener_times_out() {
    let any_port = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let listener = UnreachableListener::bind(any_port).expect("a free port is bound");
    let connected = TcpStream::connect_timeout(&listener.address(), Duration::from_millis(300));
    assert_eq!(connected.expect_err("no connection is established").kind(), ErrorKind::TimedOut);
}
