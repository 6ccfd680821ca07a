//! The addresses of the machines that the emulation plays, all on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The second byte of all addresses, so that nobody else's listeners are met.
const NETWORK: u8 = 88;

/// The kinds of machines; each has a subnet of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineKind {
    ControlNode,
    Proxy,
    ModelServer,
}

/// The address of a machine.
pub(crate) fn address(kind: MachineKind, number: usize) -> Ipv4Addr {
    let subnet = match kind {
        MachineKind::ControlNode => 1,
        MachineKind::Proxy => 2,
        MachineKind::ModelServer => 3,
    };
    Ipv4Addr::new(127, NETWORK, subnet, (number % 250) as u8 + 1)
}

/// The ports that all machines of a kind share, as in a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ports {
    pub(crate) internal: u16,
    pub(crate) control_api: u16,
    pub(crate) front: u16,
    pub(crate) readiness: u16,
}

impl Ports {
    /// Ports that are free now.
    pub(crate) fn choose() -> io::Result<Ports> {
        let free = |kind| {
            let listener = TcpListener::bind((address(kind, 0), 0))?;
            Ok::<u16, io::Error>(listener.local_addr()?.port())
        };
        Ok(Ports {
            internal: free(MachineKind::ControlNode)?,
            control_api: free(MachineKind::ControlNode)?,
            front: free(MachineKind::Proxy)?,
            readiness: free(MachineKind::Proxy)?,
        })
    }

    pub(crate) fn control_api_of(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(MachineKind::ControlNode, node), self.control_api)
    }

    pub(crate) fn front_of(&self, proxy: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(MachineKind::Proxy, proxy), self.front)
    }

    pub(crate) fn readiness_of(&self, proxy: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address(MachineKind::Proxy, proxy), self.readiness)
    }
}
