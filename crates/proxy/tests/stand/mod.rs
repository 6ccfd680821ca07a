//! A real proxy over a stand-in execute node, for tests that speak to it in bytes.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

/// Nothing takes as long: it only keeps a failed test from hanging.
pub(crate) const PATIENCE: Duration = Duration::from_secs(8);

/// One message with its body; none where the connection ends first.
pub(crate) fn read(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if stream.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    let length =
        text.to_lowercase().split("content-length: ").nth(1).map(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; length.flatten().unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}

/// An execute node: each connection to it has a thread that does this.
pub(crate) fn node(serve: impl Fn(BufReader<TcpStream>) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(BufReader::new(stream)));
        }
    });
    addr
}

pub(crate) fn id_of(job: &str) -> Option<&str> {
    job.lines().find_map(|line| line.strip_prefix("x-correlation-id: "))
}

pub(crate) struct Proxy {
    pub child: Child,
    pub log: Receiver<String>,
    pub ops: SocketAddr,
}

/// One call at an operators' address.
pub(crate) fn call_at(ops: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(ops).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(format!("{call} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
    read(&mut BufReader::new(stream))
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill runs").success());
    }

    pub(crate) fn wait(&self, words: &str) {
        let began = Instant::now();
        while !self.log.recv_timeout(PATIENCE).expect("a line").contains(words) {
            assert!(began.elapsed() < PATIENCE, "never said: {words}");
        }
    }

    pub(crate) fn ends_well(&mut self) {
        let began = Instant::now();
        let end = loop {
            if let Some(end) = self.child.try_wait().expect("its state") {
                break end;
            }
            assert!(began.elapsed() < PATIENCE, "it never ended");
            thread::sleep(Duration::from_millis(5));
        };
        assert_eq!(end.code(), Some(0));
    }

    pub(crate) fn call(&self, call: &str) -> Option<String> {
        call_at(self.ops, call)
    }

    /// Waits until it says that it can serve.
    pub(crate) fn ready(&self) {
        let began = Instant::now();
        while !self.call("GET /ops/readiness").is_some_and(|answer| answer.contains(" 200 ")) {
            assert!(began.elapsed() < PATIENCE, "never ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A loopback address that nobody else binds: this process's, and a number.
fn host() -> Ipv4Addr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, low, NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// One deployment: an address, a folder that processes share, a node.
pub(crate) struct Place {
    pub folder: TempDir,
    pub config: String,
    pub listen: SocketAddr,
}

impl Place {
    pub(crate) fn new(sockets: u32, node: SocketAddr) -> Self {
        let server = format!(r#"{{"id":"n1","addr":"{node}","zone":"z","state":"SERVING"}}"#);
        // A port that is free now; both processes bind it. Danger: on an address that others use, whoever connects may get it first.
        let listen = TcpListener::bind((host(), 0)).and_then(|free| free.local_addr()).expect("a port");
        let config = crate::scenario::CONFIG
            .replace("SERVERS", &server)
            .replace("DISCOVERY", "127.0.0.1:1")
            .replace(r#"{"name":"piano","share":1.0}"#, "")
            .replace("127.0.0.1:0", &listen.to_string())
            .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
            .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1);
        Self { folder: tempfile::tempdir().expect("a folder"), config, listen }
    }

    pub(crate) fn door(&self) -> std::path::PathBuf {
        let name = self.listen.to_string().replace(['.', ':'], "_");
        self.folder.path().join(format!("mosshead-{name}.sock"))
    }

    pub(crate) fn start(&self) -> Proxy {
        let path = self.folder.path().join("config.json");
        std::fs::write(&path, &self.config).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_mosshead"));
        command.args(["serve", "--config"]).arg(&path).env("TMPDIR", self.folder.path());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let (lines, log) = channel();
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        thread::spawn(move || stderr.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line))));
        let first = loop {
            let line = log.recv_timeout(PATIENCE).expect("a line");
            if line.starts_with("start ") {
                break line;
            }
        };
        let ops = first.split("ops=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
        Proxy { child, log, ops: ops.expect("the door's address") }
    }

    pub(crate) fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(BufReader::new(stream))
    }
}
