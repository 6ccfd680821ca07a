//! The server list in discovery's JSON form.

use core::net::SocketAddr;

use mosshead_decide::interface::Readiness;
use mosshead_settings::{JsonError, JsonField};
use tinyjson::JsonValue;

use crate::unix_time::ServerStart;

/// The server list, or the entries that have changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerList {
    /// The version: discovery's number, which grows with each change.
    pub version: u64,
    /// True if it contains all servers, false if only those that changed.
    pub is_complete: bool,
    /// The servers.
    pub servers: Vec<ListedServer>,
}

/// One server on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its id, which is the same for all proxies.
    pub id: String,
    /// The address at which this proxy connects to it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub machine_kind: String,
    /// Its cell, which is a group of servers within a zone.
    pub cell: u64,
    /// The state, which determines if new requests may be sent to it.
    pub readiness: Readiness,
    /// Its weight as discovery states it; 1 by default.
    pub weight: f64,
    /// When it last started.
    pub started_at: ServerStart,
}

/// The names of the states in discovery's JSON.
const STATES: [(&str, Readiness); 3] =
    [("SERVING", Readiness::Ready), ("DRAINING", Readiness::Draining), ("DELETED", Readiness::Removed)];

/// An object with these fields.
pub(crate) fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

/// The list in discovery's JSON form.
pub(crate) fn server_list_json(server_list: &ServerList) -> JsonValue {
    let servers: Vec<JsonValue> = server_list.servers.iter().map(listed_server_json).collect();
    object([
        ("version", (server_list.version as f64).into()),
        ("full", server_list.is_complete.into()),
        ("servers", servers.into()),
    ])
}

fn listed_server_json(server: &ListedServer) -> JsonValue {
    let state = STATES
        .iter()
        .find(|(_, readiness)| *readiness == server.readiness)
        .map_or("DELETED", |(state, _)| state);
    object([
        ("id", server.id.clone().into()),
        ("addr", server.address.to_string().into()),
        ("zone", server.zone.clone().into()),
        ("kind", server.machine_kind.clone().into()),
        ("cell", (server.cell as f64).into()),
        ("state", state.to_owned().into()),
        ("weight", server.weight.into()),
        ("started_ms", server.started_at.as_unix_millis().into()),
    ])
}

/// Writes the list in discovery's JSON form; `None` if it contains a number that is not finite.
pub fn write_server_list(server_list: &ServerList) -> Option<String> {
    server_list_json(server_list).stringify().ok()
}

/// Reads a list in discovery's JSON form.
///
/// # Errors
///
/// A field is missing, of another type, or breaks a rule; the error names its path.
pub fn read_server_list(server_list: &JsonField) -> Result<ServerList, JsonError> {
    Ok(ServerList {
        version: server_list.field("version")?.integer()?,
        is_complete: server_list.field("full")?.boolean()?,
        servers: server_list
            .field("servers")?
            .items()?
            .iter()
            .map(read_listed_server)
            .collect::<Result<_, _>>()?,
    })
}

fn read_listed_server(server: &JsonField) -> Result<ListedServer, JsonError> {
    let address = server.field("addr")?;
    let text_or_empty = |name| server.optional_field(name)?.map_or(Ok(""), |text| text.string());
    let number_or =
        |name, default| server.optional_field(name)?.map_or(Ok(default), |number| number.number());
    Ok(ListedServer {
        id: server.field("id")?.string()?.to_owned(),
        address: address.string()?.parse().map_err(|_| address.broken_rule("not an address with a port"))?,
        zone: text_or_empty("zone")?.to_owned(),
        machine_kind: text_or_empty("kind")?.to_owned(),
        cell: server.optional_field("cell")?.map_or(Ok(0), |cell| cell.integer())?,
        readiness: server.field("state")?.one_of(&STATES)?,
        weight: number_or("weight", 1.0)?,
        started_at: ServerStart::from_unix_millis(number_or("started_ms", 0.0)?),
    })
}
