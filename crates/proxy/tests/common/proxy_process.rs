//! A running proxy process with its log.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use super::{TIMEOUT, read_message};

/// How often a condition is polled while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The admin address in the environment, which complements the configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdminEnvironment {
    Unset,
    /// `$BALANCER_OPS` names an address.
    Set,
}

/// A running proxy; it is killed when this is dropped.
pub(crate) struct ProxyProcess {
    child: Child,
    log: Receiver<String>,
    /// The address at which clients connect.
    pub(crate) listen: SocketAddr,
    /// The admin endpoint, if it has one.
    admin: Option<SocketAddr>,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ProxyProcess {
    /// Starts the program and waits until it listens.
    pub(crate) fn start(config: &Path, temp_dir: &Path, admin_environment: AdminEnvironment) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mosshead"));
        command.args(["serve", "--config"]).arg(config).stderr(Stdio::piped());
        command.env("TMPDIR", temp_dir).env_remove("BALANCER_OPS");
        if admin_environment == AdminEnvironment::Set {
            command.env("BALANCER_OPS", "127.0.0.1:0");
        }
        let mut child = command.spawn().expect("the program starts");
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("standard error is piped"));
        thread::spawn(move || stderr.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line))));
        let start_line = loop {
            let line = log.recv_timeout(TIMEOUT).expect("the program logs its start");
            if line.starts_with("start ") {
                break line;
            }
        };
        let field =
            |name| start_line.split(name).nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        let listen = field("listen=").unwrap_or_else(|| panic!("no address: {start_line}"));
        Self { child, log, listen, admin: field("ops=") }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn admin(&self) -> SocketAddr {
        self.admin.expect("the proxy has an admin endpoint")
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill runs").success());
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal that ends the process, and waits for its exit.
    pub(crate) fn end_by_signal(&mut self, name: &str) {
        self.signal(name);
        let _ = self.child.wait();
    }

    /// Waits until a line of the log contains `text`.
    pub(crate) fn wait_for_log(&self, text: &str) {
        let started_at = Instant::now();
        loop {
            let line = self.log.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("not logged: {text}"));
            if line.contains(text) {
                return;
            }
            assert!(started_at.elapsed() < TIMEOUT, "not logged: {text}");
        }
    }

    /// Waits for the exit of the process.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of the process") {
                return status;
            }
            assert!(started_at.elapsed() < TIMEOUT, "the process does not end");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the exit of the process, with exit code 0.
    pub(crate) fn wait_for_success(&mut self) {
        assert_eq!(self.wait_for_exit().code(), Some(0));
    }

    /// Sends a request such as `GET /ops/state` to the admin endpoint. Returns the response, if there is one.
    pub(crate) fn call_admin(&self, request: &str) -> Option<String> {
        call_admin_at(self.admin(), request)
    }

    /// Waits until the admin endpoint reports that the process is ready.
    pub(crate) fn wait_until_ready(&self) {
        let started_at = Instant::now();
        while !self.call_admin("GET /ops/readiness").is_some_and(|response| response.contains(" 200 ")) {
            assert!(started_at.elapsed() < TIMEOUT, "the process is not ready");
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Sends a request such as `GET /ops/state` to an admin endpoint. Returns the response, if there is one.
pub(crate) fn call_admin_at(admin: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(format!("{request} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}
