//! Starts processes of a fleet on loopback addresses, and sends HTTP requests to them.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tinyjson::JsonValue;

/// The timeout of one step of a test, long enough for a busy machine.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// The delay between two attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) fn free_port(address: Ipv4Addr) -> u16 {
    TcpListener::bind((address, 0)).unwrap().local_addr().unwrap().port()
}

/// Repeats an attempt until it succeeds, or panics after [`STEP_TIMEOUT`].
pub(crate) fn eventually<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < STEP_TIMEOUT {
        if let Some(result) = attempt() {
            return result;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("{what}: not within {STEP_TIMEOUT:?}");
}

/// A process of the fleet. It is killed when this is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    program: &'static str,
    settings: PathBuf,
}

impl Process {
    pub(crate) fn start(program: &'static str, directory: &Path, settings: &str) -> Process {
        let path = directory.join("settings");
        std::fs::write(&path, settings).unwrap();
        let mut command = Command::new(program);
        command.args(["serve", "--settings"]).arg(&path).stdout(Stdio::null());
        Process { child: command.spawn().unwrap(), program, settings: path }
    }

    /// The settings file.
    pub(crate) fn settings(&self) -> &Path {
        &self.settings
    }

    /// The output of the `status` command; `None` while the process does not respond.
    pub(crate) fn status(&self) -> Option<HashMap<String, JsonValue>> {
        let mut command = Command::new(self.program);
        let output = command.args(["status", "--settings"]).arg(&self.settings).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let value: JsonValue = output.status.success().then(|| text.trim().parse().unwrap())?;
        value.get::<HashMap<String, JsonValue>>().cloned()
    }

    pub(crate) fn status_keys(&self) -> std::collections::BTreeSet<String> {
        eventually("status", || self.status()).into_keys().collect()
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        eventually("exit", || self.child.try_wait().unwrap()).code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request on a new connection, and reads the response to its end. Returns an empty string if nothing listens.
pub(crate) fn exchange(address: SocketAddrV4, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let mut response = Vec::new();
    let sent = stream.write_all(request.as_bytes());
    let _ = sent.and_then(|()| stream.read_to_end(&mut response));
    String::from_utf8(response).unwrap()
}

pub(crate) fn post(address: SocketAddrV4, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    exchange(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ),
    )
}

pub(crate) fn get(address: SocketAddrV4, path: &str) -> String {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n\r\n"))
}

pub(crate) fn is_ok(response: &str) -> bool {
    response.starts_with("HTTP/1.1 200 ")
}
