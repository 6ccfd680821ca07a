//! The machines of the fleet: addresses, zones and names.

use std::net::{Ipv4Addr, SocketAddrV4};

/// How many regions the fleet is designed for.
pub(crate) const REGIONS: usize = 5;
/// How many zones the fleet is designed for.
pub(crate) const ZONES: usize = 14;

/// The internal address of a machine, by its number.
pub(crate) fn address(machine: usize) -> SocketAddrV4 {
    let [_, high, middle, low] = (machine as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, high, middle, low), 7720)
}

pub(crate) fn zone_name(machine: usize) -> String {
    format!("region-{}-zone-{}", machine % REGIONS, machine % ZONES)
}

pub(crate) fn proxy_name(machine: usize) -> String {
    format!("edge-{}-{machine}", machine % ZONES)
}

pub(crate) fn control_node_name(machine: usize) -> String {
    format!("core-{}-{machine}", machine % REGIONS)
}
