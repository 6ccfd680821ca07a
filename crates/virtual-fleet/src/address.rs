use core::net::{Ipv4Addr, SocketAddrV4};

/// The port that all simulated control nodes listen on.
const CONTROL_NODE_PORT: u16 = 7720;
/// How many simulated control nodes share the first three octets of their addresses.
const ADDRESSES_PER_SUBNET: usize = 200;

/// The address of the simulated control node with this index; no two indices below 51,200 have the same one.
pub fn control_node_address(index: usize) -> SocketAddrV4 {
    let (subnet, host) = (index / ADDRESSES_PER_SUBNET, index % ADDRESSES_PER_SUBNET + 1);
    SocketAddrV4::new(Ipv4Addr::new(10, 0, subnet as u8, host as u8), CONTROL_NODE_PORT)
}
