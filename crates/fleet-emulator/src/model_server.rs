//! Model servers: each prefills or decodes prompts at the pace of a small engine, and sends heartbeats to the control nodes.

mod engine;
mod event_body;
mod heartbeats;
mod plain_service;
mod run_record;
mod service;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mosshead_fleet_rules::InstanceId;
use mosshead_http_links::accept;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use self::engine::Engine;
pub(crate) use self::heartbeats::HEARTBEAT_INTERVAL;
use self::heartbeats::send_heartbeats;
use crate::error::FleetEmulatorError;
use crate::machines::{MachineKind, Ports, address};
use crate::operator::SERVICE;
use crate::processes::zone_of;
use crate::recorder::Recorder;

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

/// What a server is started for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerRole {
    /// Prompts, at this stage first.
    Prompts(ServerStage),
    /// Requests without a prompt, of this service.
    Plain(&'static str),
}

impl ServerRole {
    fn service(self) -> &'static str {
        match self {
            ServerRole::Prompts(_) => SERVICE,
            ServerRole::Plain(service) => service,
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

/// What all servers of an emulation share.
#[derive(Clone, Debug)]
pub(crate) struct ServerEnvironment {
    pub(crate) ports: Ports,
    pub(crate) control_nodes: usize,
    pub(crate) handles: Handles,
    pub(crate) recorder: Recorder,
    /// Whether servers answer some requests with failures, or break off.
    pub(crate) has_failures: bool,
}

/// One incarnation of a model server.
pub(crate) struct ModelServer {
    number: usize,
    instance_id: InstanceId,
    address: SocketAddrV4,
    zone: &'static str,
    role: ServerRole,
    /// The present stage, if the server has one.
    stage: Cell<Option<ServerStage>>,
    /// The highest fencing token that an order has borne.
    fence: Cell<u64>,
    orders: Cell<u64>,
    is_draining: Cell<bool>,
    engine: Engine,
    environment: ServerEnvironment,
    /// Set when the server ends; its connections end with it.
    ended: watch::Sender<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
}

impl ModelServer {
    /// Starts a server, listening and with heartbeats.
    pub(crate) async fn start(
        number: usize,
        incarnation: u64,
        role: ServerRole,
        environment: ServerEnvironment,
    ) -> Result<Rc<ModelServer>, FleetEmulatorError> {
        let ip = address(MachineKind::ModelServer, number);
        let listener = TcpListener::bind((ip, 0)).await?;
        let stage = match role {
            ServerRole::Prompts(stage) => Some(stage),
            ServerRole::Plain(_) => None,
        };
        let server = Rc::new(ModelServer {
            number,
            instance_id: InstanceId(format!("i-{number}-{incarnation}").into()),
            address: SocketAddrV4::new(ip, listener.local_addr()?.port()),
            zone: zone_of(number),
            role,
            stage: Cell::new(stage),
            fence: Cell::new(0),
            orders: Cell::new(0),
            is_draining: Cell::new(false),
            engine: Engine::default(),
            environment,
            ended: watch::Sender::new(false),
            tasks: RefCell::default(),
        });
        let listening = tokio::task::spawn_local(serve(server.clone(), listener)).abort_handle();
        let ServerEnvironment { ports, control_nodes, .. } = server.environment;
        let heartbeats = tokio::task::spawn_local(send_heartbeats(server.clone(), ports, control_nodes));
        server.tasks.borrow_mut().extend([listening, heartbeats.abort_handle()]);
        Ok(server)
    }

    pub(crate) fn instance_id(&self) -> &InstanceId {
        &self.instance_id
    }

    /// What the server was started for, at its present stage.
    pub(crate) fn role(&self) -> ServerRole {
        self.stage.get().map_or(self.role, ServerRole::Prompts)
    }

    /// Announces the shutdown by the next heartbeat, serves on until it has been acknowledged for a while, deregisters and
    /// ends.
    pub(crate) async fn shut_down(self: Rc<Self>) {
        let ServerEnvironment { ports, control_nodes, .. } = self.environment;
        self.is_draining.set(true);
        heartbeats::announce_draining(&self, &ports, control_nodes).await;
        tokio::time::sleep(DRAINING_TIME).await;
        heartbeats::deregister(&self, &ports, control_nodes).await;
        self.end();
    }

    /// Ends without a word, and breaks off what it works on.
    pub(crate) fn end(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.ended.send_replace(true);
    }
}

async fn serve(server: Rc<ModelServer>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let server = server.clone();
        tokio::task::spawn_local(async move {
            let mut ended = server.ended.subscribe();
            let service = service_fn(move |request| service::respond(server.clone(), request));
            let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                biased;
                _ = ended.wait_for(|has_ended| *has_ended) => {}
                _ = connection => {}
            }
        });
    }
}
