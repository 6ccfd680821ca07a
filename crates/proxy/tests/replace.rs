//! The replacement of a process that serves, with real processes under load: each job is counted to one answer.

mod scenario;
mod stand;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use stand::{PATIENCE, Place, Proxy, call_at, id_of, node, read};

/// An execute node that answers each job after a moment with its id, and notes which came.
fn echo(ran: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    node(move |mut stream| {
        while let Some(job) = read(&mut stream) {
            let id = id_of(&job).expect("an id").to_owned();
            ran.lock().expect("the list").push(id.clone());
            thread::sleep(Duration::from_millis(4));
            let answer = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{id}", id.len());
            if stream.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A deployment over such a node.
struct Deployed {
    place: Place,
    ran: Arc<Mutex<Vec<String>>>,
}

impl std::ops::Deref for Deployed {
    type Target = Place;

    fn deref(&self) -> &Place {
        &self.place
    }
}

impl Deployed {
    fn new(sockets: u32) -> Self {
        let ran = Arc::new(Mutex::new(Vec::new()));
        Self { place: Place::new(sockets, echo(ran.clone())), ran }
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

    /// It goes on for a while, and then it turns out that nothing was lost.
    fn loses_nothing(self) {
        self.goes_on(50);
        let lost = self.end();
        assert!(lost.is_empty(), "{lost:?}");
    }
}

/// Danger: what waits in a queue that is closed is reset, and what comes meanwhile finds nobody.
#[rstest]
#[case::calmly("")]
#[case::with_a_new_configuration_meanwhile("HUP")]
fn nothing_is_lost_over_replacements_in_a_row(#[case] signal: &str) {
    let place = Deployed::new(256);
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
    load.loses_nothing();
    let ran = place.ran.lock().expect("the list");
    assert!(ran.len() > 100, "only {} jobs ran", ran.len());
    let once: std::collections::HashSet<&String> = ran.iter().collect();
    assert_eq!(once.len(), ran.len(), "a job that must not run twice did");
}

/// The new process dies before its yes: it has taken nobody in, and the old one goes on.
#[test]
fn a_successor_that_dies_before_its_yes_takes_nothing_with_it() {
    let place = Deployed::new(256);
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
    load.loses_nothing();
    new.signal("TERM");
    new.ends_well();
    assert!(!place.door().exists(), "who stops takes its name along");
}

/// The old process is killed outright in the middle: only what it held is lost, and the new one has all.
#[test]
fn a_predecessor_that_is_killed_leaves_the_door_open() {
    let place = Deployed::new(256);
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
    let place = Deployed::new(256);
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
    load.loses_nothing();
}

/// What lies under the name is no predecessor: the address is shared, and the new process serves.
#[rstest]
#[case::a_socket_nobody_waits_at("socket")]
#[case::a_file("file")]
#[case::a_folder("folder")]
#[case::someone_who_says_nothing("silent")]
fn what_is_no_predecessor_stops_nobody(#[case] what: &str) {
    let place = Deployed::new(256);
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
    load.loses_nothing();
}

/// Both together keep the limits of one, also when the old one is full, and the new one can serve all the same.
#[test]
fn a_full_process_leaves_its_successor_room_and_both_keep_the_limit() {
    const SOCKETS: u32 = 96;
    let place = Deployed::new(SOCKETS);
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
    load.loses_nothing();
    drop(crowd);
}

/// Danger: by the list that it was configured with, a new process would send to a node that drains.
#[test]
fn a_successor_knows_the_drains_that_its_predecessor_knew() {
    let mut deployed = Deployed::new(256);
    let other = echo(Arc::default());
    let drains =
        r#"{"version":9,"full":false,"servers":[{"id":"n1","addr":"127.0.0.1:1","state":"DRAINING"}]}"#;
    let (asked, calls) = channel();
    let list = node(move |mut stream| {
        while let Some(call) = read(&mut stream) {
            let _ = asked.send(call.lines().next().unwrap_or_default().to_owned());
            if call.contains("from=1&") {
                let answer = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{drains}", drains.len());
                stream.get_mut().write_all(answer.as_bytes()).expect("an answer is taken");
            }
        }
    });
    let more = format!(r#""servers":[{{"id":"n2","addr":"{other}","zone":"z","state":"SERVING"}},"#);
    let place = &mut deployed.place;
    place.config =
        place.config.replace("\"servers\":[", &more).replace("127.0.0.1:1\"", &format!("{list}\""));
    let mut old = deployed.start();
    old.ready();
    let next = || calls.recv_timeout(PATIENCE).expect("a call for the list");
    assert!(next().contains("from=1&") && next().contains("from=9&"));
    let new = deployed.start();
    assert!(next().contains("from=9&"), "it goes on from where the old one was");
    new.ready();
    old.signal("TERM");
    old.ends_well();
    for id in 0..20 {
        ask(deployed.listen, &mut None, &format!("{id:016x}")).expect("an answer");
    }
    assert!(deployed.ran.lock().expect("the list").is_empty(), "sent to a node that drains");
}

/// A second replacement begins while the first one's old process still finishes its jobs.
#[test]
fn replacements_that_overlap_lose_nothing() {
    let place = Deployed::new(256);
    let mut old = place.start();
    old.ready();
    let load = place.load();
    for _ in 0..3 {
        let mut middle = place.start();
        middle.ready();
        old.signal("TERM");
        let new = place.start();
        new.ready();
        middle.signal("TERM");
        old.ends_well();
        middle.ends_well();
        old = new;
        load.goes_on(50);
    }
    let lost = load.end();
    assert!(lost.is_empty(), "{lost:?}");
}

/// Calls that come at the same time from many operators: all are answered, and the last word stands.
#[test]
fn drains_at_the_same_time_end_in_one_state() {
    let place = Deployed::new(256);
    let proxy = place.start();
    proxy.ready();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|at| {
                let call = if at % 2 == 0 { "POST /ops/drain/start" } else { "POST /ops/drain/stop" };
                let ops = proxy.ops;
                scope.spawn(move || call_at(ops, call))
            })
            .collect();
        for call in calls {
            assert!(call.join().expect("a caller").expect("an answer").contains(" 200 "));
        }
    });
    for (call, health) in [("start", " 503 "), ("stop", " 200 ")] {
        assert!(proxy.call(&format!("POST /ops/drain/{call}")).expect("an answer").contains(" 200 "));
        let mut stream = place.connect().expect("the door");
        stream.get_mut().write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("a call is taken");
        assert!(read(&mut stream).expect("an answer").contains(health), "after {call}");
    }
}
