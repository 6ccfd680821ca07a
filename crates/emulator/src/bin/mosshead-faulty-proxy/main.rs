//! A small proxy that can be made wrong on purpose, one fault at a time: what the referee is tested with.
//!
//! `mosshead-faulty-proxy none` is the right one: round robin, one connection an attempt, the plainest rules. The
//! other words name the fault that it then has.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lexopt::prelude::*;
use mosshead_emulator::http::{Came, Message, Wire, answer};
use serde_json::Value as Json;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// What it can do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Sends what must not run twice again after a reset or an error.
    Resends,
    /// Sends to servers that drain or are gone.
    IgnoresDrains,
    /// Gives a job another's answer.
    MixesAnswers,
    /// Calls it harmless to try again although it may have run.
    CallsHarmless,
    /// Gives two answers.
    AnswersTwice,
    /// Answers after the deadline.
    AnswersLate,
    /// Sends everything to the server that started last.
    FloodsCold,
    /// Changes the body.
    ChangesBody,
    /// Closes some connections without an answer.
    Drops,
    /// Pays no heed to SIGHUP.
    IgnoresHangup,
    /// Tries more often than allowed.
    TriesTooOften,
    /// Sends a second copy beside the first.
    Copies,
    /// Ends in the middle of the day.
    Crashes,
    /// Ends with another code than 0 on SIGTERM.
    EndsBadly,
    /// Serves whatever anybody sends.
    ServesTheRude,
    /// Sends keyed jobs on without their key.
    DropsKeys,
    /// Repeats keyed jobs wherever the turn takes it.
    RepeatsElsewhere,
    /// Repeats keyed jobs at the same server, after their window.
    RepeatsLate,
    /// Never asks for the list.
    NeverAsks,
    /// Takes whatever list comes, also one that is older than what it was told.
    TakesOldLists,
}

const FAULTS: [(&str, Fault); 21] = [
    ("none", Fault::None),
    ("resends", Fault::Resends),
    ("ignores-drains", Fault::IgnoresDrains),
    ("mixes-answers", Fault::MixesAnswers),
    ("calls-harmless", Fault::CallsHarmless),
    ("answers-twice", Fault::AnswersTwice),
    ("answers-late", Fault::AnswersLate),
    ("floods-cold", Fault::FloodsCold),
    ("changes-body", Fault::ChangesBody),
    ("drops", Fault::Drops),
    ("ignores-hangup", Fault::IgnoresHangup),
    ("tries-too-often", Fault::TriesTooOften),
    ("copies", Fault::Copies),
    ("crashes", Fault::Crashes),
    ("ends-badly", Fault::EndsBadly),
    ("serves-the-rude", Fault::ServesTheRude),
    ("drops-keys", Fault::DropsKeys),
    ("repeats-elsewhere", Fault::RepeatsElsewhere),
    ("repeats-late", Fault::RepeatsLate),
    ("never-asks", Fault::NeverAsks),
    ("takes-old-lists", Fault::TakesOldLists),
];

/// Longer than any keyed job of the days it plays is known for.
const WINDOW: Duration = Duration::from_millis(350);

struct Server {
    place: SocketAddr,
    serving: bool,
    started: u64,
}

struct Proxy {
    fault: Fault,
    attempts: usize,
    servers: RefCell<BTreeMap<String, Server>>,
    version: Cell<u64>,
    /// The version that discovery itself has told.
    told: Cell<u64>,
    turn: Cell<usize>,
    jobs: Cell<u64>,
    open: Cell<usize>,
    last_body: RefCell<Vec<u8>>,
    stopping: Cell<bool>,
}

fn config() -> Result<Json, String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))
}

fn place(config: &Json, name: &str) -> Result<SocketAddr, String> {
    config[name].as_str().and_then(|text| text.parse().ok()).ok_or(format!("{name} is no address"))
}

impl Proxy {
    fn learn(&self, listing: &Json) {
        let mut servers = self.servers.borrow_mut();
        self.version.set(listing["version"].as_u64().unwrap_or(0));
        if listing["full"].as_bool() == Some(true) {
            servers.values_mut().for_each(|server| server.serving = false);
        }
        for line in listing["servers"].as_array().into_iter().flatten() {
            let (Some(id), Ok(place)) = (line["id"].as_str(), place(line, "addr")) else { continue };
            let serving = line["state"] == "SERVING";
            let started = line["started_ms"].as_u64().unwrap_or(0);
            servers.insert(id.to_owned(), Server { place, serving, started });
        }
    }

    fn choose(&self) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let usable = |server: &&Server| server.serving || self.fault == Fault::IgnoresDrains;
        let all: Vec<&Server> = servers.values().filter(usable).collect();
        if self.fault == Fault::FloodsCold {
            return all.iter().max_by_key(|server| server.started).map(|server| server.place);
        }
        self.turn.set(self.turn.get() + 1);
        (!all.is_empty()).then(|| all[self.turn.get() % all.len()].place)
    }
}

/// Watches the list at `discovery` until that changes.
async fn watch(proxy: Rc<Proxy>, discovery: Rc<Cell<SocketAddr>>) {
    loop {
        let at = discovery.get();
        if let Ok(stream) = TcpStream::connect(at).await {
            let mut wire = Wire::new(stream);
            while at == discovery.get() {
                let call = format!(
                    "GET /catalog/members?from={}&hold_ms=300 HTTP/1.1\r\nHost: d\r\n\r\n",
                    proxy.version.get()
                );
                if wire.write(call.as_bytes()).await.is_err() {
                    break;
                }
                let Came::Message(message) = wire.read(true).await else { break };
                match serde_json::from_slice::<Json>(&message.body) {
                    Ok(listing) if message.status == 200 => {
                        let version = listing["version"].as_u64().unwrap_or(0);
                        if version >= proxy.told.get() || proxy.fault == Fault::TakesOldLists {
                            proxy.told.set(version);
                            proxy.learn(&listing);
                        } else {
                            sleep(Duration::from_millis(200)).await;
                        }
                    }
                    _ => break,
                }
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// How an attempt ended.
enum End {
    Served(Vec<u8>),
    NeverRan,
    MayHaveRun,
}

async fn attempt(proxy: &Proxy, request: &Message, id: &str, until: Instant) -> End {
    let Some(place) = proxy.choose() else { return End::NeverRan };
    attempt_at(proxy, place, request, id, until).await
}

async fn attempt_at(proxy: &Proxy, place: SocketAddr, request: &Message, id: &str, until: Instant) -> End {
    let left = || until.saturating_duration_since(Instant::now());
    let Ok(Ok(stream)) = timeout(left().min(Duration::from_millis(250)), TcpStream::connect(place)).await
    else {
        return End::NeverRan;
    };
    let mut wire = Wire::new(stream);
    let mut body = request.body.clone();
    if proxy.fault == Fault::ChangesBody && !body.is_empty() {
        body[0] ^= 1;
    }
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let key = request.header("idempotency-key").filter(|_| proxy.fault != Fault::DropsKeys);
    let key = key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {place}\r\nX-Correlation-Id: {id}\r\n{key}{length}\r\n",
        request.method, request.target
    );
    if wire.write(&[head.into_bytes(), body].concat()).await.is_err() {
        return End::MayHaveRun;
    }
    match timeout(left(), wire.read(true)).await {
        Ok(Came::Message(answer)) => match answer.status {
            200 => End::Served(answer.body),
            503 | 504 if answer.header("x-unprocessed") == Some("1") => End::NeverRan,
            _ => End::MayHaveRun,
        },
        _ => End::MayHaveRun,
    }
}

async fn carry(proxy: &Proxy, request: &Message) -> Vec<u8> {
    let refuse = || answer(503, "Retry-After: 0.2\r\n", b"");
    let id = request.header("x-correlation-id").unwrap_or_default().to_owned();
    let left: Option<f64> = request.header("x-time-left").and_then(|left| left.parse().ok());
    let known = id.len() == 16 && request.header("transfer-encoding").is_none();
    let Some(left) = left.filter(|left| known && *left > 0.0 && request.header("x-account").is_some()) else {
        return match proxy.fault {
            Fault::ServesTheRude => answer(200, "", b"as you like"),
            _ => answer(400, "Connection: close\r\n", b""),
        };
    };
    let until = Instant::now() + Duration::from_secs_f64(left * 0.9);
    let safe = request.method == "GET";
    let most = if proxy.fault == Fault::TriesTooOften { 3 * proxy.attempts } else { proxy.attempts };
    let mut may_have_run = false;
    if proxy.fault == Fault::Copies && safe {
        let (first, _second) =
            tokio::join!(attempt(proxy, request, &id, until), attempt(proxy, request, &id, until));
        if let End::Served(body) = first {
            return answer(200, "", &body);
        }
        return answer(502, "", b"");
    }
    let keyed = request.header("idempotency-key").is_some();
    if proxy.fault == Fault::RepeatsLate && keyed {
        let Some(place) = proxy.choose() else { return refuse() };
        for _ in 0..2 {
            if let End::Served(body) = attempt_at(proxy, place, request, &id, until).await {
                return answer(200, "", &body);
            }
            sleep(WINDOW).await;
        }
        return answer(502, "", b"");
    }
    for _ in 0..most {
        match attempt(proxy, request, &id, until).await {
            End::Served(body) => {
                let before = proxy.last_body.replace(body.clone());
                let mixed = proxy.fault == Fault::MixesAnswers && proxy.jobs.get().is_multiple_of(20);
                return answer(200, "", if mixed { &before } else { &body });
            }
            End::NeverRan => {}
            End::MayHaveRun => {
                may_have_run = true;
                let repeats = keyed && proxy.fault == Fault::RepeatsElsewhere;
                if !safe && !repeats && proxy.fault != Fault::Resends {
                    break;
                }
            }
        }
        if Instant::now() >= until {
            break;
        }
    }
    match may_have_run && proxy.fault != Fault::CallsHarmless {
        true => answer(502, "", b""),
        false => refuse(),
    }
}

async fn connection(proxy: Rc<Proxy>, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    loop {
        let request = match timeout(Duration::from_millis(2500), wire.read(false)).await {
            Ok(Came::Message(request)) => request,
            Ok(Came::Broken) => {
                // One that has left needs no answer.
                let _ = wire.write(&answer(400, "Connection: close\r\n", b"")).await;
                return;
            }
            _ => return,
        };
        if request.target == "/_health" {
            if wire.write(&answer(200, "", b"")).await.is_err() {
                return;
            }
            continue;
        }
        proxy.jobs.set(proxy.jobs.get() + 1);
        let number = proxy.jobs.get();
        proxy.open.set(proxy.open.get() + 1);
        let came = Instant::now();
        let reply = carry(&proxy, &request).await;
        proxy.open.set(proxy.open.get() - 1);
        match proxy.fault {
            Fault::Drops if number.is_multiple_of(10) => return,
            Fault::AnswersLate if number.is_multiple_of(10) => {
                let left = request.header("x-time-left").and_then(|left| left.parse().ok()).unwrap_or(0.0);
                sleep(
                    (came + Duration::from_secs_f64(left + 0.02)).saturating_duration_since(Instant::now()),
                )
                .await;
                sleep(Duration::from_millis(300)).await;
            }
            Fault::Crashes if number > 100 => std::process::exit(1),
            _ => {}
        }
        let twice = proxy.fault == Fault::AnswersTwice && number.is_multiple_of(10);
        let reply = if twice { [reply.clone(), reply].concat() } else { reply };
        if wire.write(&reply).await.is_err() || proxy.stopping.get() {
            return;
        }
    }
}

async fn serve(fault: Fault) -> Result<(), String> {
    let first = config()?;
    let listener = TcpListener::bind(place(&first, "listen")?).await.map_err(|error| error.to_string())?;
    let proxy = Rc::new(Proxy {
        fault,
        attempts: first["settings"]["limits"]["send_cap"].as_u64().unwrap_or(1) as usize,
        servers: RefCell::default(),
        version: Cell::new(0),
        told: Cell::new(0),
        turn: Cell::new(0),
        jobs: Cell::new(0),
        open: Cell::new(0),
        last_body: RefCell::default(),
        stopping: Cell::new(false),
    });
    proxy.learn(&first["known"]);
    let discovery = Rc::new(Cell::new(place(&first, "discovery")?));
    if fault != Fault::NeverAsks {
        spawn_local(watch(proxy.clone(), discovery.clone()));
    }
    let failed = |error: std::io::Error| error.to_string();
    let mut hangup = signal(SignalKind::hangup()).map_err(failed)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    loop {
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                spawn_local(connection(proxy.clone(), stream));
            },
            _ = hangup.recv() => if fault != Fault::IgnoresHangup {
                discovery.set(place(&config()?, "discovery")?);
            },
            _ = terminate.recv() => break,
        }
    }
    proxy.stopping.set(true);
    while proxy.open.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    if fault == Fault::EndsBadly { Err("as asked".to_owned()) } else { Ok(()) }
}

fn word() -> Result<Fault, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let word = match parser.next()? {
        Some(Value(word)) => word.string()?,
        _ => return Err("name a fault, or none".into()),
    };
    let known = FAULTS.iter().find(|(name, _)| *name == word);
    Ok(known.ok_or(format!("no fault {word:?}"))?.1)
}

fn main() -> ExitCode {
    let fault = match word() {
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
        Err(fault) => {
            eprintln!("mosshead-faulty-proxy: {fault}");
            ExitCode::FAILURE
        }
    }
}
