//! Discovery's form of the machine list, read into typed values.

use std::net::SocketAddr;

use mosshead_decide::interface::Readiness;
use mosshead_settings::Found;

/// The list, or what changed of it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Listing {
    pub(crate) version: u64,
    pub(crate) full: bool,
    pub(crate) machines: Vec<Machine>,
}

/// One execute node on the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Machine {
    pub(crate) id: String,
    pub(crate) addr: SocketAddr,
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) cell: u64,
    pub(crate) readiness: Readiness,
    pub(crate) weight: f64,
    /// 0 for long ago.
    pub(crate) started_ms: f64,
}

/// Reads discovery's form of the list.
pub(crate) fn read_listing(listing: &Found) -> Result<Listing, String> {
    let machine = |machine: &Found| -> Result<Machine, String> {
        let addr = machine.get("addr")?;
        let or_empty = |name| machine.find(name)?.map_or(Ok(""), |text| text.text());
        let number_or = |name, or| machine.find(name)?.map_or(Ok(or), |number| number.number());
        Ok(Machine {
            id: machine.get("id")?.text()?.to_owned(),
            addr: addr.text()?.parse().map_err(|_| addr.says("not an address with a port"))?,
            zone: or_empty("zone")?.to_owned(),
            kind: or_empty("kind")?.to_owned(),
            cell: machine.find("cell")?.map_or(Ok(0), |cell| cell.whole())?,
            readiness: machine.get("state")?.one_of(&[
                ("SERVING", Readiness::Ready),
                ("DRAINING", Readiness::Draining),
                ("DELETED", Readiness::Gone),
            ])?,
            weight: number_or("weight", 1.0)?,
            started_ms: number_or("started_ms", 0.0)?,
        })
    };
    Ok(Listing {
        version: listing.get("version")?.whole()?,
        full: listing.get("full")?.truth()?,
        machines: listing.get("servers")?.items()?.iter().map(machine).collect::<Result<_, _>>()?,
    })
}
