//! Discovery's side: a listener for each proxy, the list and watches on it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::discovery::DiscoveryCall;
use mosshead_world::scenario::LinkKind;
use mosshead_world::{Input, ListEntry, ListResponse, ServerState, Time};
use serde_json::{Value, json};
use socket2::Socket;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::harness::Stage;
use crate::http::{Came, Wire, answer};
use crate::proxy_links::Place;
use crate::proxy_processes;
use crate::servers;

/// So long after discovery has moved its old address closes what is open there.
const MOVED: Duration = Duration::from_millis(1500);
/// No watch waits longer.
const LONGEST_HOLD: u64 = 60_000;

/// The list in the platform's form, as one proxy sees it.
pub(crate) fn listing(stage: &Stage, proxy: usize, version: u64, full: bool, lines: &[ListEntry]) -> Value {
    let began = stage.programs.unix_ms(Time::ZERO);
    let line = |shown: &ListEntry| {
        let (zone, kind) = stage.world(|world| {
            let traits = world.server_traits(shown.server);
            let scenario = world.scenario();
            (scenario.zones[traits.zone].clone(), scenario.kinds[traits.kind].name.clone())
        });
        let started = if shown.started_at == Time::ZERO { 0 } else { began + shown.started_at.0 / 1000 };
        json!({
            "id": format!("s-{}", shown.server.0),
            "addr": stage.servers.place(proxy, shown.address).to_string(),
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": match shown.state {
                ServerState::Serving => "SERVING",
                ServerState::Draining => "DRAINING",
                ServerState::Deleted => "DELETED",
            },
            "weight": 1.0,
            "started_ms": started,
        })
    };
    json!({"version": version, "full": full, "servers": lines.iter().map(line).collect::<Vec<_>>()})
}

/// Listens for a proxy at a new address, and remembers that as discovery's.
pub(crate) fn listen(stage: &Rc<Stage>, proxy: usize) -> std::io::Result<()> {
    let listener = std::net::TcpListener::bind(SocketAddr::new(stage.lane.host(proxy, 254).into(), 0))?;
    listener.set_nonblocking(true)?;
    let place = listener.local_addr()?;
    let mut door = Door::Open(TcpListener::from_std(listener)?);
    // Whoever serves at the old address hears of the move by this being dropped.
    let (moved, old) = watch::channel(());
    stage.programs.discovery_at(proxy, place, moved);
    let stage = stage.clone();
    let mut reach = stage.reach.subscribe();
    spawn_local(async move {
        let mut gone = old.clone();
        loop {
            let up = stage.world(|world| world.link_connects(proxy, LinkKind::Discovery, None));
            door = door.turned(up, place);
            tokio::select! {
                came = door.accept() => match came {
                    Ok((stream, _)) => drop(spawn_local(accepted(stage.clone(), proxy, place, stream, old.clone()))),
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
                _ = reach.changed() => {}
                _ = gone.changed() => return,
            }
        }
    });
    Ok(())
}

/// Where discovery listens for a proxy: open, or cut off, where connections never come up.
enum Door {
    Open(TcpListener),
    /// Held, so that the place says nothing.
    Silent((Socket, Vec<Socket>)),
    /// The machine would not have it; tried again with the next change.
    Shut,
}

impl Door {
    fn turned(self, up: bool, place: SocketAddr) -> Self {
        match (self, up) {
            (Self::Open(listener), true) => Self::Open(listener),
            (Self::Silent(held), false) => Self::Silent(held),
            (other, up) => {
                drop(other);
                match up {
                    true => servers::listen(place, 1024)
                        .and_then(|socket| TcpListener::from_std(socket.into()))
                        .map_or(Self::Shut, Self::Open),
                    false => servers::mute(place).map_or(Self::Shut, Self::Silent),
                }
            }
        }
    }

    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        match self {
            Self::Open(listener) => listener.accept().await,
            Self::Silent(_) | Self::Shut => std::future::pending().await,
        }
    }
}

async fn accepted(
    stage: Rc<Stage>,
    proxy: usize,
    address: SocketAddr,
    stream: TcpStream,
    old: watch::Receiver<()>,
) {
    let place = Place { way: LinkKind::Discovery, proxy, server: None, zone: None, address };
    if let Ok(stream) = stage.between.through(place, stream).await {
        connection(stage, proxy, stream, old).await;
    }
}

/// Discovery moves for this proxy, which is told by SIGHUP.
pub(crate) fn move_on(stage: &Rc<Stage>, proxy: usize) {
    if listen(stage, proxy).is_ok() {
        proxy_processes::reload(stage, proxy);
    }
}

async fn connection(stage: Rc<Stage>, proxy: usize, stream: TcpStream, mut old: watch::Receiver<()>) {
    let mut wire = Wire::new(stream);
    tokio::select! {
        () = serve(&stage, proxy, &mut wire) => {}
        () = async {
            // The sender is dropped as discovery moves, and nothing is ever sent.
            while old.changed().await.is_ok() {}
            sleep(MOVED).await;
        } => {}
    }
}

async fn serve(stage: &Rc<Stage>, proxy: usize, wire: &mut Wire) {
    while let Came::Message(message) = wire.read(false).await {
        let Some(query) = message.target.strip_prefix("/catalog/members") else {
            if wire.write(&answer(404, "", b"")).await.is_err() {
                return;
            }
            continue;
        };
        let figure = |name: &str| -> Option<u64> {
            let pairs = query.trim_start_matches('?').split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(known, _)| *known == name)?.1.parse().ok()
        };
        let (number, from) = (stage.number(), figure("from"));
        let hold = Time::from_millis(figure("hold_ms").unwrap_or(0).min(LONGEST_HOLD));
        let (waits, listed) = oneshot::channel();
        stage.calls.borrow_mut().insert((proxy, number), waits);
        stage.input(Input::DiscoveryCalled(DiscoveryCall {
            proxy,
            number,
            known_version: from,
            max_wait: hold,
        }));
        let reply = tokio::select! {
            biased;
            listed = listed => match listed {
                Ok(Some(ListResponse { version, is_full, entries })) => {
                    let body = listing(stage, proxy, version, is_full, &entries).to_string();
                    answer(200, "Content-Type: application/json\r\n", body.as_bytes())
                }
                Ok(None) | Err(_) => answer(503, "", b""),
            },
            stirs = wire.stirs() => {
                stage.calls.borrow_mut().remove(&(proxy, number));
                stage.input(Input::DiscoveryCallAbandoned { proxy, number });
                if stirs {
                    stage.fault(proxy, "a second call to discovery on a connection with one under way");
                }
                return;
            }
        };
        if wire.write(&reply).await.is_err() {
            return;
        }
    }
}
