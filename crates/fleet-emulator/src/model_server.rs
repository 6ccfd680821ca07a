//! Model servers: each prefills or decodes prompts at the pace of a small engine, and sends heartbeats to the control nodes.

mod engine;
mod event_body;
mod heartbeats;
mod service;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mosshead_http_links::accept;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use self::engine::Engine;
pub(crate) use self::heartbeats::HEARTBEAT_INTERVAL;
use self::heartbeats::send_heartbeats;
use crate::error::FleetEmulatorError;
use crate::machines::{MachineKind, Ports, address};
use crate::processes::zone_of;

/// How long a server serves on after its draining was acknowledged.
const DRAINING_TIME: Duration = Duration::from_millis(2_500);

/// What a server does with prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerStage {
    Prefill,
    Decode,
}

impl ServerStage {
    fn name(self) -> &'static str {
        match self {
            ServerStage::Prefill => "prefill",
            ServerStage::Decode => "decode",
        }
    }
}

/// The handles of prefills that no server has fetched yet, by address and id, of all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handles {
    open: Rc<RefCell<HashSet<String>>>,
}

impl Handles {
    fn insert(&self, handle: String) {
        self.open.borrow_mut().insert(handle);
    }

    /// Takes a handle; false if it is gone.
    fn take(&self, handle: &str) -> bool {
        self.open.borrow_mut().remove(handle)
    }
}

/// One incarnation of a model server.
pub(crate) struct ModelServer {
    instance_id: String,
    address: SocketAddrV4,
    zone: &'static str,
    stage: Cell<ServerStage>,
    /// The highest fencing token that an order has borne.
    fence: Cell<u64>,
    orders: Cell<u64>,
    is_draining: Cell<bool>,
    engine: Engine,
    handles: Handles,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl ModelServer {
    /// Starts a server, listening and with heartbeats.
    pub(crate) async fn start(
        number: usize,
        incarnation: u64,
        stage: ServerStage,
        ports: Ports,
        control_nodes: usize,
        handles: Handles,
    ) -> Result<Rc<ModelServer>, FleetEmulatorError> {
        let ip = address(MachineKind::ModelServer, number);
        let listener = TcpListener::bind((ip, 0)).await?;
        let server = Rc::new(ModelServer {
            instance_id: format!("i-{number}-{incarnation}"),
            address: SocketAddrV4::new(ip, listener.local_addr()?.port()),
            zone: zone_of(number),
            stage: Cell::new(stage),
            fence: Cell::new(0),
            orders: Cell::new(0),
            is_draining: Cell::new(false),
            engine: Engine::default(),
            handles,
            tasks: RefCell::default(),
        });
        let listening = tokio::task::spawn_local(serve(server.clone(), listener)).abort_handle();
        let heartbeats = tokio::task::spawn_local(send_heartbeats(server.clone(), ports, control_nodes));
        server.tasks.borrow_mut().extend([listening, heartbeats.abort_handle()]);
        Ok(server)
    }

    pub(crate) fn instance_id(&self) -> &str {
        &self.instance_id
    }

    pub(crate) fn stage(&self) -> ServerStage {
        self.stage.get()
    }

    /// Announces the shutdown by the next heartbeat, serves on until it has been acknowledged for a while, deregisters and
    /// ends.
    pub(crate) async fn shut_down(self: Rc<Self>, ports: Ports, control_nodes: usize) {
        self.is_draining.set(true);
        heartbeats::announce_draining(&self, &ports, control_nodes).await;
        tokio::time::sleep(DRAINING_TIME).await;
        heartbeats::deregister(&self, &ports, control_nodes).await;
        self.end();
    }

    /// Ends without a word.
    pub(crate) fn end(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }
}

async fn serve(server: Rc<ModelServer>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let server = server.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| service::respond(server.clone(), request));
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
