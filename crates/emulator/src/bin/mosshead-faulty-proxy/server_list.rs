//! The endpoint list: how it is watched, and how a server is selected from it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mosshead_emulator::http::{HttpConnection, MessageKind, Received};
use serde_json::Value as Json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::config;
use crate::fault::InjectedFault;

/// How long a watch is held open, in milliseconds.
const WATCH_HOLD_MS: u64 = 300;
/// How long the proxy waits after a connection to discovery has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// How long the proxy waits after a list that is older than one before.
const OLDER_LIST_DELAY: Duration = Duration::from_millis(200);

struct Server {
    address: SocketAddr,
    is_serving: bool,
    /// Its start, in milliseconds of the Unix epoch; 0 where that is not known.
    started_ms: u64,
}

/// The servers that the proxy knows.
pub(crate) struct ServerList {
    fault: InjectedFault,
    servers: RefCell<BTreeMap<String, Server>>,
    /// The version of the list in use.
    version: Cell<u64>,
    /// The version of the last list that discovery itself has sent; the saved list does not count.
    received_version: Cell<u64>,
    /// Counts the selections.
    selections: Cell<usize>,
}

impl ServerList {
    /// The list that the proxy's configuration was saved with.
    pub(crate) fn from_saved(fault: InjectedFault, saved: &Json) -> Self {
        let list = Self {
            fault,
            servers: RefCell::default(),
            version: Cell::new(0),
            received_version: Cell::new(0),
            selections: Cell::new(0),
        };
        list.apply(saved);
        list
    }

    fn apply(&self, list: &Json) {
        let mut servers = self.servers.borrow_mut();
        self.version.set(list["version"].as_u64().unwrap_or(0));
        if list["full"].as_bool() == Some(true) {
            servers.values_mut().for_each(|server| server.is_serving = false);
        }
        for entry in list["servers"].as_array().into_iter().flatten() {
            let (Some(id), Ok(address)) = (entry["id"].as_str(), config::address(entry, "addr")) else {
                continue;
            };
            let is_serving = entry["state"] == "SERVING";
            let started_ms = entry["started_ms"].as_u64().unwrap_or(0);
            servers.insert(id.to_owned(), Server { address, is_serving, started_ms });
        }
    }

    /// Takes a list from discovery; false if it is older than one before.
    fn accept(&self, list: &Json) -> bool {
        let version = list["version"].as_u64().unwrap_or(0);
        if version < self.received_version.get() && self.fault != InjectedFault::TakesOlderLists {
            return false;
        }
        self.received_version.set(version);
        self.apply(list);
        true
    }

    /// Selects the servers that serve in turn.
    pub(crate) fn select_server(&self) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let is_usable = |server: &&Server| server.is_serving || self.fault == InjectedFault::IgnoresDrains;
        let usable: Vec<&Server> = servers.values().filter(is_usable).collect();
        if self.fault == InjectedFault::FloodsStartingServer {
            return usable.iter().max_by_key(|server| server.started_ms).map(|server| server.address);
        }
        self.selections.set(self.selections.get() + 1);
        (!usable.is_empty()).then(|| usable[self.selections.get() % usable.len()].address)
    }
}

/// Watches the list, at the address of discovery that holds at the time.
pub(crate) async fn watch(list: Rc<ServerList>, discovery: Rc<Cell<SocketAddr>>) {
    loop {
        watch_until_moved(&list, &discovery).await;
        sleep(RECONNECT_DELAY).await;
    }
}

/// Watches over one connection until that ends, or discovery has moved.
async fn watch_until_moved(list: &ServerList, discovery: &Cell<SocketAddr>) {
    let address = discovery.get();
    let Ok(stream) = TcpStream::connect(address).await else { return };
    let mut connection = HttpConnection::new(stream);
    while address == discovery.get() {
        let request = format!(
            "GET /catalog/members?from={}&hold_ms={WATCH_HOLD_MS} HTTP/1.1\r\nHost: d\r\n\r\n",
            list.version.get()
        );
        if connection.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        let Received::Message(response) = connection.read_message(MessageKind::Response).await else {
            return;
        };
        match serde_json::from_slice::<Json>(&response.body) {
            Ok(received) if response.status == 200 => {
                if !list.accept(&received) {
                    sleep(OLDER_LIST_DELAY).await;
                }
            }
            _ => return,
        }
    }
}
