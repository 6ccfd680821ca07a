//! Operators who ask each program how far it has come, where the scenario has doors.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::scenario::LinkKind;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::harness::Stage;
use crate::http::Wire;
use crate::proxy_links::Place;

/// Each is asked so often,
const EVERY: Duration = Duration::from_millis(200);
/// and has so long to answer.
const PATIENCE: Duration = Duration::from_millis(1000);

/// Asks all programs, again and again, until the day is over.
pub(crate) async fn ask_all(stage: Rc<Stage>) {
    while !stage.programs.over() {
        for proxy in 0..stage.programs.count() {
            if let Some(door) = stage.programs.door(proxy).filter(|_| stage.programs.up(proxy)) {
                spawn_local(timeout(PATIENCE, ask(stage.clone(), proxy, door)));
            }
        }
        sleep(EVERY).await;
    }
}

/// One call; whatever comes of it is on the record of the way that it took.
async fn ask(stage: Rc<Stage>, proxy: usize, address: SocketAddr) {
    let Ok(near) = TcpStream::connect(address).await else { return };
    let place = Place { way: LinkKind::Admin, proxy, server: None, zone: None, address };
    let Ok(far) = stage.between.through(place, near).await else { return };
    let mut wire = Wire::new(far);
    if wire.write(b"GET /ops/state HTTP/1.1\r\nHost: ops.svc\r\nConnection: close\r\n\r\n").await.is_ok() {
        let _ = wire.read(true).await;
    }
}
