//! One line for each connection that ends, on either side, with the code of the reason.

use std::cell::Cell;
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// So many lines wait for a slow reader of the log; more are dropped and counted.
const LINES_WAITING: usize = 1024;
/// An exit waits for the log so long at the most.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Why a connection ended. The on-call page explains each code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The other side closed it between two messages.
    ClosedByPeer,
    /// The other side broke it off, or it spoke no HTTP.
    Broken,
    /// The submitter left while its job was held.
    SubmitterGone,
    /// Nobody listened, or the machine said no.
    Refused,
    /// It did not come up within the time for connecting.
    ConnectTimeout,
    /// An attempt, a probe or a call on it was given up.
    GivenUp,
    /// Idle for nearly as long as the other side allows.
    IdleLimit,
    /// It ended, or brought more than its last answer, before the next message was written.
    Stale,
    /// It came and said nothing.
    Silent,
    /// Its message did not become whole in time.
    Unfinished,
    /// The module asked for idle connections to be closed.
    ModuleAsked,
    /// The machine list took the execute node away, moved or restarted it.
    ListChanged,
    /// The configuration names another address for the machine list.
    Reloaded,
    /// Idle, and its descriptor was needed elsewhere.
    Shed,
    /// The answer on it could not be used.
    BadAnswer,
    /// Something it carried was turned down before it became a job.
    BadRequest,
    /// The proxy is stopping.
    Stopping,
}

impl Reason {
    /// The code in the log.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Reason::ClosedByPeer => "closed-by-peer",
            Reason::Broken => "broken",
            Reason::SubmitterGone => "submitter-gone",
            Reason::Refused => "refused",
            Reason::ConnectTimeout => "connect-timeout",
            Reason::GivenUp => "given-up",
            Reason::IdleLimit => "idle-limit",
            Reason::Stale => "stale",
            Reason::Silent => "silent",
            Reason::Unfinished => "unfinished",
            Reason::ModuleAsked => "module-asked",
            Reason::ListChanged => "list-changed",
            Reason::Reloaded => "reloaded",
            Reason::Shed => "shed",
            Reason::BadAnswer => "bad-answer",
            Reason::BadRequest => "bad-request",
            Reason::Stopping => "stopping",
        }
    }
}

/// Whom a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Submitter,
    ExecuteNode,
    MachineList,
}

/// What is known of an open connection.
pub(crate) struct Record {
    side: Side,
    peer: SocketAddr,
    began: Instant,
    reason: Cell<Reason>,
    named: Cell<bool>,
    messages: Cell<u64>,
}

impl Record {
    /// Names the reason. The first one named stands: what follows is its consequence.
    pub(crate) fn because(&self, reason: Reason) {
        if !self.named.replace(true) {
            self.reason.set(reason);
        }
    }

    /// The reason, should the connection end now and nobody name another.
    pub(crate) fn otherwise(&self, reason: Reason) {
        if !self.named.get() {
            self.reason.set(reason);
        }
    }

    /// Counts a message that it carries.
    pub(crate) fn message(&self) {
        self.messages.set(self.messages.get() + 1);
    }

    /// The reason as it stands.
    pub(crate) fn reason(&self) -> Reason {
        self.reason.get()
    }
}

/// The line that a connection owes: written when this is dropped, which its owner does as it closes.
pub(crate) struct Line(Rc<Record>);

impl Line {
    pub(crate) fn open(side: Side, peer: SocketAddr) -> Self {
        let (reason, named, messages) = (Cell::new(Reason::ClosedByPeer), Cell::new(false), Cell::new(0));
        Self(Rc::new(Record { side, peer, began: Instant::now(), reason, named, messages }))
    }

    pub(crate) fn record(&self) -> Rc<Record> {
        self.0.clone()
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let record = &self.0;
        if STOPPING.load(Ordering::Relaxed) {
            record.because(Reason::Stopping);
        }
        let side = match record.side {
            Side::Submitter => "submitter",
            Side::ExecuteNode => "execute-node",
            Side::MachineList => "machine-list",
        };
        line(format_args!(
            "connection side={side} peer={} reason={} messages={} open_s={:.3}",
            record.peer,
            record.reason.get().code(),
            record.messages.get(),
            record.began.elapsed().as_secs_f64()
        ));
    }
}

/// What the writing thread is handed.
enum Entry {
    Line(String),
    /// Answered once all before it is written.
    Flush(SyncSender<()>),
}

struct Log {
    entries: SyncSender<Entry>,
    dropped: AtomicU64,
}

static LOG: OnceLock<Log> = OnceLock::new();

fn log() -> &'static Log {
    LOG.get_or_init(|| {
        let (entries, waiting) = sync_channel::<Entry>(LINES_WAITING);
        let writer = move || {
            for entry in waiting {
                match entry {
                    Entry::Line(line) => drop(writeln!(std::io::stderr().lock(), "{line}")),
                    Entry::Flush(done) => drop(done.try_send(())),
                }
            }
        };
        // Without the thread the receiver is gone: each line is dropped.
        let _ = std::thread::Builder::new().name("log".to_owned()).spawn(writer);
        Log { entries, dropped: AtomicU64::new(0) }
    })
}

/// Writes a line of the log. A slow reader of the log must not stop the runtime: a thread writes, and
/// what does not fit its queue is dropped and counted.
pub(crate) fn line(text: fmt::Arguments) {
    let log = log();
    let dropped = log.dropped.swap(0, Ordering::Relaxed);
    let text = if dropped > 0 { format!("log dropped={dropped}\n{text}") } else { text.to_string() };
    if log.entries.try_send(Entry::Line(text)).is_err() {
        log.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
    }
}

/// Lines that others cause at will: so many a second are written, the rest are counted.
pub(crate) struct Bounded {
    second: Cell<Instant>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

/// So many of them a second.
const LINES_A_SECOND: u32 = 20;

impl Bounded {
    pub(crate) fn new() -> Self {
        Self { second: Cell::new(Instant::now()), written: Cell::new(0), left_out: Cell::new(0) }
    }

    pub(crate) fn line(&self, text: fmt::Arguments) {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.written.set(0);
            if self.left_out.get() > 0 {
                line(format_args!("{text} left-out={}", self.left_out.replace(0)));
                return;
            }
        }
        self.written.set(self.written.get() + 1);
        if self.written.get() > LINES_A_SECOND {
            self.left_out.set(self.left_out.get() + 1);
        } else {
            line(text);
        }
    }
}

/// From now on a connection that ends for no other reason ends because the proxy stops.
pub(crate) fn stopping() {
    STOPPING.store(true, Ordering::Relaxed);
}

/// Waits until the log is written, if its reader keeps up.
pub(crate) fn flush() {
    let (done, written) = sync_channel(1);
    if log().entries.try_send(Entry::Flush(done)).is_ok() {
        let _ = written.recv_timeout(FLUSH_LIMIT);
    }
}

static STOPPING: AtomicBool = AtomicBool::new(false);
