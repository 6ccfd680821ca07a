//! A deployment that several proxy processes share: an address for clients, a folder, and a server.

use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;

use tempfile::TempDir;

use super::proxy_process::{AdminEnvironment, ProxyProcess};
use super::{CONFIG, TIMEOUT};

/// Starts a server that handles each connection with `serve` on a separate thread.
pub(crate) fn spawn_server(serve: impl Fn(BufReader<TcpStream>) + Clone + Send + 'static) -> SocketAddr {
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

/// The id that a message carries.
pub(crate) fn request_id(message: &str) -> Option<&str> {
    message.lines().find_map(|line| line.strip_prefix("x-correlation-id: "))
}

/// A loopback address that no other test binds: it is derived from this process's id and a number.
fn unique_host() -> Ipv4Addr {
    static NUMBER: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, low, NUMBER.fetch_add(1, Ordering::Relaxed))
}

pub(crate) struct Deployment {
    folder: TempDir,
    pub(crate) config: String,
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
}

impl Deployment {
    /// Creates a deployment with one server, whose processes may open this many descriptors.
    pub(crate) fn new(sockets: u32, server: SocketAddr) -> Self {
        let server = format!(r#"{{"id":"n1","addr":"{server}","zone":"z","state":"SERVING"}}"#);
        // A port that is currently free; the processes bind it later. The address is not shared with other tests, whose
        // clients might otherwise connect to it meanwhile.
        let listen =
            TcpListener::bind((unique_host(), 0)).and_then(|free| free.local_addr()).expect("a port");
        let config = CONFIG
            .replace("SERVERS", &server)
            .replace("DISCOVERY", "127.0.0.1:1")
            .replace(r#"{"name":"piano","share":1.0}"#, "")
            .replace("127.0.0.1:0", &listen.to_string())
            .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
            .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1);
        Self { folder: tempfile::tempdir().expect("a folder"), config, listen }
    }

    /// The path of the socket at which a process accepts its successor.
    pub(crate) fn handover_path(&self) -> PathBuf {
        let name = self.listen.to_string().replace(['.', ':'], "_");
        self.folder.path().join(format!("mosshead-{name}.sock"))
    }

    /// Starts a process in addition to the running ones.
    pub(crate) fn start(&self) -> ProxyProcess {
        let path = self.folder.path().join("config.json");
        std::fs::write(&path, &self.config).expect("the configuration is written");
        ProxyProcess::start(&path, self.folder.path(), AdminEnvironment::Unset)
    }

    /// Starts a process and waits until it is ready.
    pub(crate) fn start_ready(&self) -> ProxyProcess {
        let proxy = self.start();
        proxy.wait_until_ready();
        proxy
    }

    /// Connects as a client.
    pub(crate) fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        Some(BufReader::new(stream))
    }
}
