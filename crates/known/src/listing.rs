//! Discovery's form of the machine list, read into typed values.

use core::net::SocketAddr;

use mosshead_decide::interface::Readiness;
use mosshead_settings::{JsonError, JsonField};
use tinyjson::JsonValue;

/// The list, or what changed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// Its version, by discovery's count.
    pub version: u64,
    /// It is the whole list.
    pub full: bool,
    /// Its lines.
    pub machines: Vec<Machine>,
}

/// One execute node on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its id, equal at every proxy.
    pub id: String,
    /// Where this proxy finds it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether something new may be sent there.
    pub readiness: Readiness,
    /// Its weight.
    pub weight: f64,
    /// When it last started, as Unix time; 0 for long ago.
    pub started_ms: f64,
}

/// The states by their names.
const STATES: [(&str, Readiness); 3] =
    [("SERVING", Readiness::Ready), ("DRAINING", Readiness::Draining), ("DELETED", Readiness::Removed)];

/// An object of these members.
pub(crate) fn object<const N: usize>(members: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

/// Discovery's form of the list.
pub(crate) fn listing_json(listing: &Listing) -> JsonValue {
    let machine = |machine: &Machine| {
        let state = STATES.iter().find(|(_, state)| *state == machine.readiness).map_or("DELETED", |at| at.0);
        object([
            ("id", machine.id.clone().into()),
            ("addr", machine.addr.to_string().into()),
            ("zone", machine.zone.clone().into()),
            ("kind", machine.kind.clone().into()),
            ("cell", (machine.cell as f64).into()),
            ("state", state.to_owned().into()),
            ("weight", machine.weight.into()),
            ("started_ms", machine.started_ms.into()),
        ])
    };
    let servers: Vec<JsonValue> = listing.machines.iter().map(machine).collect();
    let (version, full) = ((listing.version as f64).into(), listing.full.into());
    object([("version", version), ("full", full), ("servers", servers.into())])
}

/// Writes discovery's form of the list; none where it can't be written.
pub fn write_listing(listing: &Listing) -> Option<String> {
    listing_json(listing).stringify().ok()
}

/// Reads discovery's form of the list.
pub fn read_listing(listing: &JsonField) -> Result<Listing, JsonError> {
    let machine = |machine: &JsonField| -> Result<Machine, JsonError> {
        let addr = machine.field("addr")?;
        let or_empty = |name| machine.optional_field(name)?.map_or(Ok(""), |text| text.string());
        let number_or = |name, or| machine.optional_field(name)?.map_or(Ok(or), |number| number.number());
        Ok(Machine {
            id: machine.field("id")?.string()?.to_owned(),
            addr: addr.string()?.parse().map_err(|_| addr.broken_rule("not an address with a port"))?,
            zone: or_empty("zone")?.to_owned(),
            kind: or_empty("kind")?.to_owned(),
            cell: machine.optional_field("cell")?.map_or(Ok(0), |cell| cell.integer())?,
            readiness: machine.field("state")?.one_of(&STATES)?,
            weight: number_or("weight", 1.0)?,
            started_ms: number_or("started_ms", 0.0)?,
        })
    };
    Ok(Listing {
        version: listing.field("version")?.integer()?,
        full: listing.field("full")?.boolean()?,
        machines: listing.field("servers")?.items()?.iter().map(machine).collect::<Result<_, _>>()?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use mosshead_settings::parse_json;

    /// Guards drains and cold servers across a replacement: a successor reads what its predecessor knew.
    #[test]
    fn a_list_that_is_written_reads_the_same() {
        let text = r#"{"version":7,"full":true,"servers":[
            {"id":"a\"b","addr":"127.0.0.1:5","zone":"z","kind":"m","cell":3,"state":"DRAINING","weight":0.3,
            "started_ms":1764616437123.0},{"id":"c","addr":"127.0.0.1:6","state":"SERVING"}]}"#;
        let read =
            |text: &str| read_listing(&JsonField::root(&parse_json(text).expect("JSON"))).expect("a list");
        let listing = read(text);
        assert_eq!(read(&write_listing(&listing).expect("written")), listing);
        assert_eq!(listing.machines[0].readiness, Readiness::Draining);
    }
}
