//! The server list in discovery's JSON form.

use core::net::SocketAddr;

use mosshead_decide::interface::Readiness;
use mosshead_settings::{JsonError, JsonField};
use tinyjson::JsonValue;

/// The list of servers, or what changed of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerList {
    /// Its version as discovery counts them.
    pub version: u64,
    /// Whether it is the complete list; otherwise it has the servers that changed.
    pub full: bool,
    /// The servers.
    pub machines: Vec<ListedServer>,
}

/// One server on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its id, the same at every proxy.
    pub id: String,
    /// Where this proxy connects to it.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell, a group of servers within a zone.
    pub cell: u64,
    /// Whether new requests may be sent there.
    pub readiness: Readiness,
    /// Its weight as discovery states it; 1 by default.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub started_ms: f64,
}

/// Discovery's names of the states.
const STATES: [(&str, Readiness); 3] =
    [("SERVING", Readiness::Ready), ("DRAINING", Readiness::Draining), ("DELETED", Readiness::Removed)];

/// An object with these fields.
pub(crate) fn object<const N: usize>(members: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

/// The list in discovery's form.
pub(crate) fn server_list_json(server_list: &ServerList) -> JsonValue {
    let machine = |machine: &ListedServer| {
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
    let servers: Vec<JsonValue> = server_list.machines.iter().map(machine).collect();
    let (version, full) = ((server_list.version as f64).into(), server_list.full.into());
    object([("version", version), ("full", full), ("servers", servers.into())])
}

/// Writes the list in discovery's form; `None` if a number in it is not finite.
pub fn write_server_list(server_list: &ServerList) -> Option<String> {
    server_list_json(server_list).stringify().ok()
}

/// Reads a list in discovery's form.
///
/// # Errors
///
/// A field is missing, of another type, or breaks a rule; the error names its path.
pub fn read_server_list(server_list: &JsonField) -> Result<ServerList, JsonError> {
    let machine = |machine: &JsonField| -> Result<ListedServer, JsonError> {
        let addr = machine.field("addr")?;
        let or_empty = |name| machine.optional_field(name)?.map_or(Ok(""), |text| text.string());
        let number_or = |name, or| machine.optional_field(name)?.map_or(Ok(or), |number| number.number());
        Ok(ListedServer {
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
    Ok(ServerList {
        version: server_list.field("version")?.integer()?,
        full: server_list.field("full")?.boolean()?,
        machines: server_list.field("servers")?.items()?.iter().map(machine).collect::<Result<_, _>>()?,
    })
}
