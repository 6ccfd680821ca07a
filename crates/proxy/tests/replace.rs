//! Replaces a running process by another one under load: each request gets one response.

mod common;

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use common::deployment::{Deployment, request_id, spawn_server};
use common::proxy_process::{ProxyProcess, call_admin_at};
use common::{TIMEOUT, read_message};
use rstest::rstest;
use thiserror::Error;

/// The ids of the requests that a server has executed.
type ExecutedIds = Arc<Mutex<Vec<String>>>;

/// A server that responds to each request with its id, after a short delay.
fn spawn_echo_server(executed: ExecutedIds) -> SocketAddr {
    spawn_server(move |mut stream| {
        while let Some(request) = read_message(&mut stream) {
            let id = request_id(&request).expect("an id").to_owned();
            executed.lock().expect("no thread panics with the lock").push(id.clone());
            thread::sleep(Duration::from_millis(4));
            let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            if stream.get_mut().write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A deployment with such a server.
struct EchoDeployment {
    deployment: Deployment,
    executed: ExecutedIds,
}

impl std::ops::Deref for EchoDeployment {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.deployment
    }
}

impl EchoDeployment {
    fn new(sockets: u32) -> Self {
        let executed = ExecutedIds::default();
        Self { deployment: Deployment::new(sockets, spawn_echo_server(executed.clone())), executed }
    }

    fn executed(&self) -> MutexGuard<'_, Vec<String>> {
        self.executed.lock().expect("no thread panics with the lock")
    }

    /// Starts eight clients that send one request after another.
    fn start_load(&self) -> Load {
        let load = Load::default();
        let clients = (0..8).map(|client| {
            let (listen, shared) = (self.listen, load.shared.clone());
            thread::spawn(move || run_client(client, listen, &shared))
        });
        Load { clients: clients.collect(), ..load }
    }
}

/// Sends requests until the load is stopped.
fn run_client(client: u32, listen: SocketAddr, load: &SharedLoad) {
    let mut idle = None;
    let mut request_number = 0;
    while !load.is_stopping.load(Ordering::Relaxed) {
        request_number += 1;
        let id = format!("{:08x}{request_number:08x}", client + 1);
        // Some clients open a connection for each request.
        if client.is_multiple_of(2) {
            idle = None;
        }
        load.sent.fetch_add(1, Ordering::Relaxed);
        if let Err(error) = send_request(listen, &mut idle, &id) {
            load.lost.lock().expect("no thread panics with the lock").push(format!("{id}: {error}"));
        }
    }
}

/// Why a request has no valid response.
#[derive(Debug, Error)]
enum RequestError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("{0}")]
    WrongResponse(String),
    #[error("closed without a response")]
    Closed,
}

/// Sends a request and checks its response. If the request raced with the close of an idle connection, it is sent again
/// on a new one.
fn send_request(
    listen: SocketAddr,
    idle: &mut Option<BufReader<TcpStream>>,
    id: &str,
) -> Result<(), RequestError> {
    let is_reused = idle.is_some();
    let mut stream = match idle.take() {
        Some(stream) => stream,
        None => BufReader::new(TcpStream::connect(listen)?),
    };
    stream.get_ref().set_read_timeout(Some(TIMEOUT))?;
    let request = format!(
        "POST /book-lesson HTTP/1.1\r\nX-Service-Class: book-lesson\r\nX-Time-Left: 5\r\n\
         X-Correlation-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    );
    let response =
        stream.get_mut().write_all(request.as_bytes()).ok().and_then(|()| read_message(&mut stream));
    match response {
        // A rejection is a response, too: at first the concurrency limit of a server is low.
        Some(response)
            if (response.starts_with("HTTP/1.1 200") && response.ends_with(id))
                || (response.starts_with("HTTP/1.1 503") && response.contains("retry-after")) =>
        {
            if !response.to_lowercase().contains("connection: close") {
                *idle = Some(stream);
            }
            Ok(())
        }
        Some(response) => Err(RequestError::WrongResponse(response)),
        None if is_reused => send_request(listen, idle, id),
        None => Err(RequestError::Closed),
    }
}

/// Clients that send requests until the load is stopped.
#[derive(Default)]
struct Load {
    shared: Arc<SharedLoad>,
    clients: Vec<thread::JoinHandle<()>>,
}

#[derive(Default)]
struct SharedLoad {
    is_stopping: AtomicBool,
    /// The number of requests sent.
    sent: AtomicU64,
    /// The requests without a valid response.
    lost: Mutex<Vec<String>>,
}

impl Load {
    /// Waits until this many more requests have been sent.
    fn wait_for_requests(&self, count: u64) {
        let sent = || self.shared.sent.load(Ordering::Relaxed);
        let (target, started_at) = (sent() + count, Instant::now());
        while sent() < target {
            assert!(started_at.elapsed() < TIMEOUT, "no requests are sent");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Stops the load. Returns the first requests without a valid response.
    fn stop(self) -> Vec<String> {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|client| client.join().expect("the client does not panic"));
        let lost = self.shared.lost.lock().expect("no thread panics with the lock");
        lost.iter().take(9).cloned().collect()
    }

    /// Keeps the load running for a while, then checks that each request got a valid response.
    fn assert_nothing_lost(self) {
        self.wait_for_requests(50);
        let lost = self.stop();
        assert!(lost.is_empty(), "{lost:?}");
    }
}

/// When a listener is closed, connections in its accept queue are reset and new ones refused.
#[rstest]
#[case::alone("")]
#[case::during_reloads("HUP")]
fn replacements_in_a_row_lose_no_request(#[case] signal: &str) {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let load = deployment.start_load();
    for _ in 0..4 {
        load.wait_for_requests(50);
        let new = deployment.start();
        if !signal.is_empty() {
            old.signal(signal);
            new.signal(signal);
        }
        new.wait_until_ready();
        old.signal("TERM");
        old.wait_for_success();
        old = new;
    }
    load.assert_nothing_lost();
    let executed = deployment.executed();
    assert!(executed.len() > 100, "only {} requests were executed", executed.len());
    let distinct: std::collections::HashSet<&String> = executed.iter().collect();
    assert_eq!(distinct.len(), executed.len(), "an unsafe request was executed twice");
}

/// Before the new process is ready it accepts no connections, and the old process continues.
#[test]
fn a_successor_that_ends_before_it_is_ready_loses_no_request() {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let load = deployment.start_load();
    for signal in ["KILL", "TERM", "KILL"] {
        let mut new = deployment.start();
        load.wait_for_requests(100);
        new.end_by_signal(signal);
        old.wait_for_log("successor gone accepted=false");
        load.wait_for_requests(100);
    }
    let mut new = deployment.start_ready();
    old.signal("TERM");
    old.wait_for_success();
    load.assert_nothing_lost();
    new.signal("TERM");
    new.wait_for_success();
    assert!(!deployment.handover_path().exists(), "a process that stops removes its socket");
}

/// Only the requests in flight at the old process are lost, and the new one accepts connections.
#[test]
fn a_predecessor_that_is_killed_loses_only_its_requests_in_flight() {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let load = deployment.start_load();
    load.wait_for_requests(50);
    let new = deployment.start();
    old.end_by_signal("KILL");
    new.wait_for_log("predecessor gone");
    load.wait_for_requests(200);
    let lost = load.stop();
    assert!(lost.len() <= 8, "more than one of each client: {lost:?}");
    assert!(send_request(deployment.listen, &mut None, "00000000000000aa").is_ok());
}

/// The old process, which was not stopped yet, accepts successors again and gets all descriptors back.
#[test]
fn a_successor_that_is_killed_once_it_accepts_can_be_followed_by_another() {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let mut first = deployment.start_ready();
    thread::sleep(Duration::from_millis(100));
    first.end_by_signal("KILL");
    old.wait_for_log("successor gone accepted=true");
    let load = deployment.start_load();
    let _new = deployment.start_ready();
    old.signal("TERM");
    old.wait_for_log("stopped");
    old.wait_for_success();
    load.assert_nothing_lost();
}

/// The address is shared, and the new process serves requests.
#[rstest]
#[case::a_socket_at_which_nobody_listens("socket")]
#[case::a_file("file")]
#[case::a_folder("folder")]
#[case::a_process_that_says_nothing("silent")]
fn a_process_starts_if_there_is_no_predecessor_at_the_socket(#[case] found: &str) {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let path = deployment.handover_path();
    let _ = std::fs::remove_file(&path);
    let silent = match found {
        "file" => std::fs::write(&path, "strange").map(|()| None),
        "folder" => std::fs::create_dir(&path).map(|()| None),
        _ => UnixListener::bind(&path).map(|listener| Some(listener).filter(|_| found == "silent")),
    };
    let _silent = silent.expect("the path is free");
    let _new = deployment.start_ready();
    old.signal("TERM");
    old.wait_for_success();
    let load = deployment.start_load();
    load.assert_nothing_lost();
}

/// The old process closes idle connections to free descriptors for its successor.
#[test]
fn both_processes_together_stay_within_the_limit_on_descriptors_though_the_old_one_is_full() {
    const SOCKETS: u32 = 96;
    let deployment = EchoDeployment::new(SOCKETS);
    let mut old = deployment.start_ready();
    let idle: Vec<_> = (0..60).map(|_| deployment.connect()).collect();
    old.wait_for_log("reason=shed");
    let new = deployment.start_ready();
    let load = deployment.start_load();
    let open_descriptors = |proxy: &ProxyProcess| {
        std::fs::read_dir(format!("/proc/{}/fd", proxy.id())).map_or(0, |descriptors| descriptors.count())
    };
    let samples = (0..100).map(|_| {
        thread::sleep(Duration::from_millis(5));
        open_descriptors(&old) + open_descriptors(&new)
    });
    let peak = samples.max().unwrap_or(0);
    assert!(peak <= SOCKETS as usize, "{peak} descriptors");
    old.signal("TERM");
    old.wait_for_success();
    load.assert_nothing_lost();
    drop(idle);
}

/// With only the list of its configuration, a new process would send requests to a draining server.
#[test]
fn a_successor_has_the_endpoint_list_of_its_predecessor() {
    let mut echo = EchoDeployment::new(256);
    let other = spawn_echo_server(ExecutedIds::default());
    let update =
        r#"{"version":9,"full":false,"servers":[{"id":"n1","addr":"127.0.0.1:1","state":"DRAINING"}]}"#;
    let (sender, calls) = channel();
    let discovery = spawn_server(move |mut stream| {
        while let Some(call) = read_message(&mut stream) {
            let _ = sender.send(call.lines().next().unwrap_or_default().to_owned());
            if call.contains("from=1&") {
                let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{update}", update.len());
                stream.get_mut().write_all(response.as_bytes()).expect("the proxy reads the list");
            }
        }
    });
    let servers = format!(r#""servers":[{{"id":"n2","addr":"{other}","zone":"z","state":"SERVING"}},"#);
    let config = &mut echo.deployment.config;
    *config = config.replace("\"servers\":[", &servers).replace("127.0.0.1:1\"", &format!("{discovery}\""));
    let mut old = echo.start_ready();
    let next_call = || calls.recv_timeout(TIMEOUT).expect("a call for the list");
    assert!(next_call().contains("from=1&") && next_call().contains("from=9&"));
    let new = echo.start();
    assert!(next_call().contains("from=9&"), "it continues from the version of the old process");
    new.wait_until_ready();
    old.signal("TERM");
    old.wait_for_success();
    for id in 0..20 {
        send_request(echo.listen, &mut None, &format!("{id:016x}")).expect("a valid response");
    }
    assert!(echo.executed().is_empty(), "requests were sent to a server that drains");
}

/// A second replacement begins while the old process of the first one is still finishing its requests.
#[test]
fn overlapping_replacements_lose_no_request() {
    let deployment = EchoDeployment::new(256);
    let mut old = deployment.start_ready();
    let load = deployment.start_load();
    for _ in 0..3 {
        let mut middle = deployment.start_ready();
        old.signal("TERM");
        let new = deployment.start_ready();
        middle.signal("TERM");
        old.wait_for_success();
        middle.wait_for_success();
        old = new;
        load.wait_for_requests(50);
    }
    let lost = load.stop();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Many operators call at the same time; the last call determines the state.
#[test]
fn concurrent_drain_calls_are_all_answered_and_end_in_one_state() {
    let deployment = EchoDeployment::new(256);
    let proxy = deployment.start_ready();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|caller| {
                let request = if caller % 2 == 0 { "POST /ops/drain/start" } else { "POST /ops/drain/stop" };
                let admin = proxy.admin();
                scope.spawn(move || call_admin_at(admin, request))
            })
            .collect();
        for call in calls {
            let response = call.join().expect("the caller does not panic").expect("a response");
            assert!(response.contains(" 200 "));
        }
    });
    for (action, health) in [("start", " 503 "), ("stop", " 200 ")] {
        let response = proxy.call_admin(&format!("POST /ops/drain/{action}")).expect("a response");
        assert!(response.contains(" 200 "));
        let mut stream = deployment.connect().expect("the proxy listens");
        stream.get_mut().write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("the request is sent");
        assert!(read_message(&mut stream).expect("a response").contains(health), "after {action}");
    }
}
