//! The replacement of a process that serves, with real processes under load: each job is counted to one answer.

mod scenario;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use tempfile::TempDir;

/// Nothing takes as long: it only keeps a failed test from hanging.
const PATIENCE: Duration = Duration::from_secs(8);

/// One message with its body; none where the connection ends first.
fn read(stream: &mut BufReader<TcpStream>) -> Option<String> {
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

/// An execute node that answers each job after a moment with its id, and counts how often each came.
fn node(ran: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ran = ran.clone();
            thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while let Some(job) = read(&mut stream) {
                    let id = id_of(&job).expect("an id").to_owned();
                    ran.lock().expect("the list").push(id.clone());
                    thread::sleep(Duration::from_millis(4));
                    let answer = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn id_of(job: &str) -> Option<&str> {
    job.lines().find_map(|line| line.strip_prefix("x-correlation-id: "))
}

struct Proxy {
    child: Child,
    log: Receiver<String>,
    ops: SocketAddr,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill runs").success());
    }

    fn wait(&self, words: &str) {
        let began = Instant::now();
        while !self.log.recv_timeout(PATIENCE).expect("a line").contains(words) {
            assert!(began.elapsed() < PATIENCE, "never said: {words}");
        }
    }

    fn ends_well(&mut self) {
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

    fn call(&self, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{call} HTTP/1.1\r\n\r\n").as_bytes()).ok()?;
        read(&mut BufReader::new(stream))
    }

    /// Waits until it says that it can serve.
    fn ready(&self) {
        let began = Instant::now();
        while !self.call("GET /ops/readiness").is_some_and(|answer| answer.contains(" 200 ")) {
            assert!(began.elapsed() < PATIENCE, "never ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// One deployment: an address, a folder that processes share, a node.
struct Place {
    folder: TempDir,
    config: String,
    listen: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
}

impl Place {
    fn new(sockets: u32) -> Self {
        let ran = Arc::new(Mutex::new(Vec::new()));
        let server = format!(r#"{{"id":"n1","addr":"{}","zone":"z","state":"SERVING"}}"#, node(ran.clone()));
        // A port that is free now; both processes bind it.
        let listen = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a port");
        let config = scenario::CONFIG
            .replace("SERVERS", &server)
            .replace("DISCOVERY", "127.0.0.1:1")
            .replace(r#"{"name":"piano","share":1.0}"#, "")
            .replace("127.0.0.1:0", &listen.to_string())
            .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
            .replacen('{', r#"{"ops":"127.0.0.1:0","#, 1);
        Self { folder: tempfile::tempdir().expect("a folder"), config, listen, ran }
    }

    fn door(&self) -> std::path::PathBuf {
        let name = self.listen.to_string().replace(['.', ':'], "_");
        self.folder.path().join(format!("mosshead-{name}.sock"))
    }

    fn start(&self) -> Proxy {
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

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.listen).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Keeps submitters busy until told to stop; each counts what it sent, and names what got no answer.
    fn load(&self) -> Load {
        let (stop, sent, lost) = (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::default());
        let load = Load { stop, sent, lost, submitters: Vec::new() };
        let submitters = (0..8).map(|which| {
            let (listen, stop) = (self.listen, load.stop.clone());
            let (sent, lost): (Arc<AtomicU64>, Arc<Mutex<Vec<String>>>) =
                (load.sent.clone(), load.lost.clone());
            thread::spawn(move || {
                let mut kept: Option<BufReader<TcpStream>> = None;
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let id = format!("{:08x}{turn:08x}", which + 1);
                    // Some submitters bring each job on a connection of its own.
                    if which % 2 == 0 {
                        kept = None;
                    }
                    sent.fetch_add(1, Ordering::Relaxed);
                    if let Err(fault) = ask(listen, &mut kept, &id) {
                        lost.lock().expect("the list").push(format!("{id}: {fault}"));
                    }
                }
            })
        });
        Load { submitters: submitters.collect(), ..load }
    }
}

/// One job to its one answer. Where a close crosses it on a kept connection it goes once more, on a new one.
fn ask(listen: SocketAddr, kept: &mut Option<BufReader<TcpStream>>, id: &str) -> Result<(), String> {
    let old = kept.is_some();
    let stream = match kept.take() {
        Some(stream) => Ok(stream),
        None => TcpStream::connect(listen).map(BufReader::new),
    };
    let mut stream = stream.map_err(|error| error.to_string())?;
    stream.get_ref().set_read_timeout(Some(PATIENCE)).map_err(|error| error.to_string())?;
    let job = format!(
        "POST /book-lesson HTTP/1.1\r\nX-Service-Class: book-lesson\r\nX-Time-Left: 5\r\n\
         X-Correlation-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = stream.get_mut().write_all(job.as_bytes()).ok().and_then(|()| read(&mut stream));
    match answer {
        // A requeue notice is an answer too: many at once at one node are more than it is trusted with.
        Some(answer)
            if (answer.starts_with("HTTP/1.1 200") && answer.ends_with(id))
                || (answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after")) =>
        {
            if !answer.to_lowercase().contains("connection: close") {
                *kept = Some(stream);
            }
            Ok(())
        }
        Some(answer) => Err(answer),
        None if old => ask(listen, kept, id),
        None => Err("closed without an answer".to_owned()),
    }
}

struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    lost: Arc<Mutex<Vec<String>>>,
    submitters: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Waits until so many more jobs have been sent.
    fn goes_on(&self, more: u64) {
        let (until, began) = (self.sent.load(Ordering::Relaxed) + more, Instant::now());
        while self.sent.load(Ordering::Relaxed) < until {
            assert!(began.elapsed() < PATIENCE, "the load stands still");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends the load; gives what was lost, the first of it.
    fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.submitters.into_iter().for_each(|submitter| submitter.join().expect("a submitter"));
        let lost = self.lost.lock().expect("the list");
        lost.iter().take(9).cloned().collect()
    }
}

/// Danger: what waits in a queue that is closed is reset, and what comes meanwhile finds nobody.
#[rstest]
#[case::calmly("")]
#[case::with_a_new_configuration_meanwhile("HUP")]
fn nothing_is_lost_over_replacements_in_a_row(#[case] signal: &str) {
    let place = Place::new(256);
    let mut old = place.start();
    old.ready();
    let load = place.load();
    for _ in 0..4 {
        load.goes_on(50);
        let new = place.start();
        if !signal.is_empty() {
            old.signal(signal);
            new.signal(signal);
        }
        new.ready();
        old.signal("TERM");
        old.ends_well();
        old = new;
    }
    load.goes_on(50);
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
    let ran = place.ran.lock().expect("the list");
    assert!(ran.len() > 100, "only {} jobs ran", ran.len());
    let once: std::collections::HashSet<&String> = ran.iter().collect();
    assert_eq!(once.len(), ran.len(), "a job that must not run twice did");
}

/// The new process dies before its yes: it has taken nobody in, and the old one goes on.
#[test]
fn a_successor_that_dies_before_its_yes_takes_nothing_with_it() {
    let place = Place::new(256);
    let mut old = place.start();
    old.ready();
    let load = place.load();
    for end in ["KILL", "TERM", "KILL"] {
        let mut new = place.start();
        load.goes_on(100);
        new.signal(end);
        let _ = new.child.wait();
        old.wait("successor gone accepted=false");
        load.goes_on(100);
    }
    let mut new = place.start();
    new.ready();
    old.signal("TERM");
    old.ends_well();
    load.goes_on(50);
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
    new.signal("TERM");
    new.ends_well();
    assert!(!place.door().exists(), "who stops takes its name along");
}

/// The old process is killed outright in the middle: only what it held is lost, and the new one has all.
#[test]
fn a_predecessor_that_is_killed_leaves_the_door_open() {
    let place = Place::new(256);
    let mut old = place.start();
    old.ready();
    let load = place.load();
    load.goes_on(50);
    let new = place.start();
    old.signal("KILL");
    let _ = old.child.wait();
    new.wait("predecessor gone");
    load.goes_on(200);
    let lost = load.end();
    assert!(lost.len() <= 8, "more than one a submitter: {lost:?}");
    assert!(ask(place.listen, &mut None, "00000000000000aa").is_ok());
}

/// The new one dies right after its yes: the old one, not yet told to stop, has the name and the permits again.
#[test]
fn a_successor_that_dies_after_its_yes_can_be_followed_by_another() {
    let place = Place::new(256);
    let mut old = place.start();
    old.ready();
    let mut first = place.start();
    first.ready();
    thread::sleep(Duration::from_millis(100));
    first.signal("KILL");
    let _ = first.child.wait();
    old.wait("successor gone accepted=true");
    let load = place.load();
    let new = place.start();
    new.ready();
    old.signal("TERM");
    old.wait("stopped");
    old.ends_well();
    load.goes_on(50);
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
}

/// What lies under the name is no predecessor: the address is shared, and the new process serves.
#[rstest]
#[case::a_socket_nobody_waits_at("socket")]
#[case::a_file("file")]
#[case::a_folder("folder")]
#[case::someone_who_says_nothing("silent")]
fn what_is_no_predecessor_stops_nobody(#[case] what: &str) {
    let place = Place::new(256);
    let mut old = place.start();
    old.ready();
    let _ = std::fs::remove_file(place.door());
    let path = place.door();
    let silent = match what {
        "file" => std::fs::write(&path, "strange").map(|()| None),
        "folder" => std::fs::create_dir(&path).map(|()| None),
        _ => UnixListener::bind(&path).map(|waiting| Some(waiting).filter(|_| what == "silent")),
    };
    let _silent = silent.expect("something strange");
    let new = place.start();
    new.ready();
    old.signal("TERM");
    old.ends_well();
    let load = place.load();
    load.goes_on(50);
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Both together keep the limits of one, also when the old one is full, and the new one can serve all the same.
#[test]
fn a_full_process_leaves_its_successor_room_and_both_keep_the_limit() {
    const SOCKETS: u32 = 96;
    let place = Place::new(SOCKETS);
    let mut old = place.start();
    old.ready();
    let crowd: Vec<_> = (0..60).map(|_| place.connect()).collect();
    old.wait("reason=shed");
    let new = place.start();
    new.ready();
    let load = place.load();
    let held = |proxy: &Proxy| {
        std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).map_or(0, |all| all.count())
    };
    let most = (0..100).map(|_| {
        thread::sleep(Duration::from_millis(5));
        held(&old) + held(&new)
    });
    let most = most.max().unwrap_or(0);
    assert!(most <= SOCKETS as usize, "{most} descriptors");
    old.signal("TERM");
    old.ends_well();
    load.goes_on(50);
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
    drop(crowd);
}
