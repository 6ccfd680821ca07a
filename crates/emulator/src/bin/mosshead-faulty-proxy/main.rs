//! A small proxy that can be started with one fault: what the referee and the checkers of links are tested with.
//!
//! `mosshead-faulty-proxy none` works correctly: servers in turn, a connection for each attempt, the simplest
//! rules. The other words select the fault that it then has.

mod config;
mod fault;
mod forward;
mod server_list;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use config::ConfigError;
use fault::InjectedFault;
use forward::{Forwarder, STRUCK_REQUEST, time_left_s};
use lexopt::prelude::*;
use mosshead_emulator::http::{HttpConnection, Message, MessageKind, Received, encode_response};
use server_list::ServerList;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// A connection on which nothing comes for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often it is looked whether the requests in flight have ended, during a shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// With [`InjectedFault::RespondsLate`]: how long after its deadline a client gets its response at least.
const LATE_SECONDS: f64 = 0.02;
/// With [`InjectedFault::RespondsLate`]: how much later than that.
const LATE_DELAY: Duration = Duration::from_millis(300);
/// With [`InjectedFault::Crashes`]: how many requests are served before.
const REQUESTS_BEFORE_CRASH: u64 = 100;

/// Why the proxy ended with a failure.
#[derive(Debug, Error)]
enum ProxyError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The fault that it was started with.
    #[error("as asked")]
    Injected,
}

struct Proxy {
    forwarder: Forwarder,
    in_flight: Cell<usize>,
    is_draining: Cell<bool>,
}

async fn serve_connection(proxy: Rc<Proxy>, stream: TcpStream) {
    let mut connection = HttpConnection::new(stream);
    loop {
        let request = match timeout(IDLE_TIMEOUT, connection.read_message(MessageKind::Request)).await {
            Ok(Received::Message(request)) => request,
            Ok(Received::Malformed) => {
                // The client may have closed its side already.
                let _ = connection.write_all(&encode_response(400, "Connection: close\r\n", b"")).await;
                return;
            }
            Ok(Received::Closed) | Err(_) => return,
        };
        let is_health_check = request.target == "/_health";
        let response = match is_health_check {
            true => Some(encode_response(200, "", b"")),
            false => serve_request(&proxy, &request).await,
        };
        let Some(response) = response else { return };
        let is_written = connection.write_all(&response).await.is_ok();
        if !is_written || (proxy.is_draining.get() && !is_health_check) {
            return;
        }
    }
}

/// The bytes that a client gets for its request; `None` where its connection is to be closed.
async fn serve_request(proxy: &Proxy, request: &Message) -> Option<Vec<u8>> {
    let number = proxy.forwarder.next_request();
    let is_struck = number.is_multiple_of(STRUCK_REQUEST);
    let received_at = Instant::now();
    proxy.in_flight.set(proxy.in_flight.get() + 1);
    let response = proxy.forwarder.forward(request).await;
    proxy.in_flight.set(proxy.in_flight.get() - 1);
    match proxy.forwarder.fault {
        InjectedFault::DropsResponses if is_struck => return None,
        InjectedFault::RespondsLate if is_struck => {
            let late_s = time_left_s(request).unwrap_or(0.0) + LATE_SECONDS;
            let deadline = received_at + Duration::from_secs_f64(late_s);
            sleep(deadline.saturating_duration_since(Instant::now())).await;
            sleep(LATE_DELAY).await;
        }
        InjectedFault::Crashes if number > REQUESTS_BEFORE_CRASH => std::process::exit(1),
        InjectedFault::RespondsTwice if is_struck => return Some(response.repeat(2)),
        _ => {}
    }
    Some(response)
}

async fn serve(fault: InjectedFault) -> Result<(), ProxyError> {
    let config = config::read()?;
    let listener = TcpListener::bind(config::address(&config, "listen")?).await?;
    let max_attempts = config["settings"]["limits"]["send_cap"].as_u64().unwrap_or(1) as usize;
    let servers = Rc::new(ServerList::from_saved(fault, &config["known"]));
    let discovery = Rc::new(Cell::new(config::address(&config, "discovery")?));
    if fault != InjectedFault::NeverAsksForList {
        spawn_local(server_list::watch(servers.clone(), discovery.clone()));
    }
    let proxy = Rc::new(Proxy {
        forwarder: Forwarder::new(fault, servers, max_attempts),
        in_flight: Cell::new(0),
        is_draining: Cell::new(false),
    });
    accept_until_terminated(&proxy, &listener, &discovery).await?;
    proxy.is_draining.set(true);
    while proxy.in_flight.get() > 0 {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    if fault == InjectedFault::ExitsWithFailure { Err(ProxyError::Injected) } else { Ok(()) }
}

async fn accept_until_terminated(
    proxy: &Rc<Proxy>,
    listener: &TcpListener,
    discovery: &Cell<SocketAddr>,
) -> Result<(), ProxyError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                spawn_local(serve_connection(proxy.clone(), stream));
            },
            _ = hangup.recv() => if proxy.forwarder.fault != InjectedFault::IgnoresHangup {
                discovery.set(config::address(&config::read()?, "discovery")?);
            },
            _ = terminate.recv() => return Ok(()),
        }
    }
}

fn parse_arguments() -> Result<InjectedFault, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Value(word)) => Ok(word.parse()?),
        _ => Err("name a fault, or none".into()),
    }
}

fn main() -> ExitCode {
    let fault = match parse_arguments() {
        Ok(fault) => fault,
        Err(error) => {
            eprintln!("mosshead-faulty-proxy: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("mosshead-faulty-proxy: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, serve(fault)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mosshead-faulty-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}
