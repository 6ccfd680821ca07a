//! Operators who poll the admin endpoint of each proxy, where the scenario has one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::scenario::LinkKind;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::harness::Harness;
use crate::http::{HttpConnection, MessageKind};
use crate::proxy_links::LinkEndpoint;

/// How often each proxy is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Polls all proxies that are up, until the day is over.
pub(crate) async fn poll_all(harness: Rc<Harness>) {
    while !harness.proxies.is_day_over() {
        for proxy in 0..harness.proxies.count() {
            if let Some(address) =
                harness.proxies.admin_address(proxy).filter(|_| harness.proxies.is_up(proxy))
            {
                spawn_local(timeout(POLL_TIMEOUT, poll(harness.clone(), proxy, address)));
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// One poll. Its result is not looked at here: the link that it takes records the response.
async fn poll(harness: Rc<Harness>, proxy: usize, address: SocketAddr) {
    let Ok(near) = TcpStream::connect(address).await else { return };
    let endpoint = LinkEndpoint { kind: LinkKind::Admin, proxy, server: None, zone: None, address };
    let Ok(far) = harness.links.relay(endpoint, near).await else { return };
    let mut connection = HttpConnection::new(far);
    let request = b"GET /ops/state HTTP/1.1\r\nHost: ops.svc\r\nConnection: close\r\n\r\n";
    if connection.write_all(request).await.is_ok() {
        let _ = connection.read_message(MessageKind::Response).await;
    }
}
