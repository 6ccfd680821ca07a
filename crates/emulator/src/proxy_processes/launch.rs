//! The start of a proxy, and the task that owns its process.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mosshead_world::Input;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ProxyProcess;
use super::config_file::{config_path, write_config, write_operators_file};
use crate::error::{EmulatorError, NotReady};
use crate::harness::Harness;
use crate::http::{HttpConnection, MessageKind, Received};
use crate::proxy_links::ProcessEvent;

/// A proxy that is not ready within this can't be judged.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait between two health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a proxy, and waits until it is ready.
pub(crate) async fn start(harness: &Rc<Harness>, proxy: usize) -> Result<(), EmulatorError> {
    let command = harness.proxies.command.join(" ");
    let child = spawn_process(harness, proxy)
        .map_err(|error| EmulatorError::Start { command: command.clone(), error })?;
    let supervisor = spawn_local(supervise(harness.clone(), proxy, child));
    harness.proxies.processes.borrow_mut()[proxy].supervisor = Some(supervisor);
    wait_until_ready(harness, proxy).await.map_err(|reason| EmulatorError::NotReady {
        proxy,
        command,
        within: READY_TIMEOUT,
        reason,
    })?;
    harness.links.on_process_event(proxy, ProcessEvent::Ready);
    Ok(())
}

fn spawn_process(harness: &Rc<Harness>, proxy: usize) -> io::Result<Child> {
    let has_admin_endpoint = harness.with_world(|world| world.scenario().proxy.has_admin_endpoint);
    begin_incarnation(&mut harness.proxies.processes.borrow_mut()[proxy], has_admin_endpoint)?;
    write_config(harness, proxy)?;
    let child = command(harness, proxy)?.spawn()?;
    let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
    let sockets = harness.with_world(|world| world.scenario().proxy.max_descriptors);
    let limit = Rlimit { current: Some(sockets), maximum: Some(sockets) };
    if prlimit(pid, Resource::Nofile, limit).is_err() {
        harness.report_misbehaviour(proxy, "it ended as it started");
    }
    harness.proxies.processes.borrow_mut()[proxy].on_started(pid);
    harness.links.on_process_event(proxy, ProcessEvent::Started);
    Ok(child)
}

/// Draws the addresses of a proxy at its first start; they stay over the day.
fn begin_incarnation(process: &mut ProxyProcess, has_admin_endpoint: bool) -> io::Result<()> {
    process.incarnation += 1;
    if process.address.port() == 0 {
        process.address = free_address(process.address)?;
    }
    if process.admin_address.is_none() && has_admin_endpoint {
        process.admin_address = Some(free_address(SocketAddr::new(process.address.ip(), 0))?);
    }
    Ok(())
}

/// An address with a port that was free a moment ago. Nobody else binds the same IP address.
fn free_address(any_port: SocketAddr) -> io::Result<SocketAddr> {
    TcpListener::bind(any_port)?.local_addr()
}

fn command(harness: &Harness, proxy: usize) -> io::Result<Command> {
    let proxies = &harness.proxies;
    let operators_file = write_operators_file(harness, proxy)?;
    let (address, discovery_address, incarnation) = {
        let process = &proxies.processes.borrow()[proxy];
        (process.address, process.discovery_address, process.incarnation)
    };
    let log = match &proxies.logs {
        Some(folder) => {
            fs::create_dir_all(folder)?;
            Stdio::from(fs::File::create(folder.join(format!("n{proxy}-{incarnation}.log")))?)
        }
        None => Stdio::null(),
    };
    let [program, arguments @ ..] = proxies.command.as_slice() else {
        return Err(io::Error::from(io::ErrorKind::InvalidInput));
    };
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
    command
        .env("BALANCER_NAME", format!("n{proxy}"))
        .env("BALANCER_LISTEN", address.to_string())
        .env("BALANCER_DISCOVERY", discovery_address.map(|address| address.to_string()).unwrap_or_default())
        .env("BALANCER_CONFIG", config_path(harness, proxy))
        // What processes leave in the temporary folder for their successors must not reach other days.
        .env("TMPDIR", &proxies.folder)
        .envs(operators_file.map(|file| ("MOSSHEAD_OPERATORS", file)));
    Ok(command)
}

/// Waits until a proxy answers 200 on `/_health`.
async fn wait_until_ready(harness: &Harness, proxy: usize) -> Result<(), NotReady> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let address = harness.proxies.address(proxy);
        let Err(reason) = check_health(address, deadline).await else { return Ok(()) };
        if !harness.proxies.is_running(proxy) {
            return Err(NotReady::ProcessEnded);
        }
        sleep(HEALTH_CHECK_INTERVAL).await;
        if Instant::now() >= deadline {
            return Err(reason);
        }
    }
}

async fn check_health(address: SocketAddr, deadline: Instant) -> Result<(), NotReady> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| NotReady::Unreachable { address, error })?;
    let mut connection = HttpConnection::new(stream);
    let request = b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    connection.write_all(request).await.map_err(|_| NotReady::Closed { address })?;
    let time_left = deadline.saturating_duration_since(Instant::now());
    match timeout(time_left, connection.read_message(MessageKind::Response)).await {
        Ok(Received::Message(message)) if message.status == 200 => Ok(()),
        Ok(Received::Message(message)) => Err(NotReady::Status { address, status: message.status }),
        Ok(Received::Closed | Received::Malformed) => Err(NotReady::NoResponse { address }),
        Err(_) => Err(NotReady::Silent { address }),
    }
}

/// Owns a process until its end, and notifies the world of that.
async fn supervise(harness: Rc<Harness>, proxy: usize, mut child: Child) {
    let incarnation = harness.proxies.processes.borrow()[proxy].incarnation;
    let exit = child.wait().await;
    let stop_requested = {
        let process = &mut harness.proxies.processes.borrow_mut()[proxy];
        if process.incarnation != incarnation {
            return;
        }
        process.on_ended();
        process.stop_requested
    };
    harness.clients.drop_idle_connections(proxy);
    harness.links.on_process_event(proxy, ProcessEvent::Ended);
    if stop_requested && exit.is_ok_and(exited_with_failure) {
        harness.report_misbehaviour(proxy, "a stop by SIGTERM did not end with exit code 0");
    }
    if !harness.proxies.is_day_over() {
        harness.apply(Input::ProxyStopped { proxy });
    }
}

/// Whether a process has exited by itself, not by a signal, with another code than 0.
fn exited_with_failure(status: ExitStatus) -> bool {
    status.code().is_some_and(|code| code != 0)
}
