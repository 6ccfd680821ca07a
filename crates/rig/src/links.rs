//! The links: each connection between a program and a stand-in passes through one, byte by byte.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mosshead_emulator::{Between, Place, Process};
use mosshead_world::events::Event;
use mosshead_world::scenario::Direction;
use mosshead_world::{LinkChange, LinkFault, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::link_record::{Crossed, Crossing, Record, Tap};

/// What was on its way back to a program when its link was cut still arrives: whoever sent it counts it as told.
const IN_FLIGHT: Duration = Duration::from_millis(20);
/// Bytes that a link carries at once.
const PIECE: usize = 16 * 1024;

/// All links of a day, and the record of what crossed them.
pub struct Links(Rc<Inner>);

struct Inner {
    began: Cell<Option<Instant>>,
    /// What is wrong at present, each with the instant since when.
    amiss: RefCell<Vec<(LinkFault, Instant)>>,
    changed: watch::Sender<u64>,
    snaps: RefCell<HashMap<u64, (Place, Rc<Notify>)>>,
    record: RefCell<Record>,
    pairs: RefCell<HashMap<usize, std::net::TcpListener>>,
    next: Cell<u64>,
    draws: RefCell<Pcg32>,
}

impl Links {
    /// Links whose delays are drawn by this seed.
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(Inner {
            began: Cell::new(None),
            amiss: RefCell::default(),
            changed: watch::Sender::new(0),
            snaps: RefCell::default(),
            record: RefCell::default(),
            pairs: RefCell::default(),
            next: Cell::new(0),
            draws: RefCell::new(Pcg32::seed_from_u64(seed)),
        }))
    }

    /// What has crossed, taken out.
    pub fn record(&self) -> Record {
        self.0.record.take()
    }
}

impl Between for Links {
    fn begin(&self, at: Instant) {
        self.0.began.set(Some(at));
    }

    fn through(&self, place: Place, near: TcpStream) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>> {
        let inner = self.0.clone();
        Box::pin(async move {
            let (mine, theirs) = inner.pair(place.proxy)?;
            spawn_local(relay(inner, place, near, mine));
            Ok(theirs)
        })
    }

    fn ways(&self, ways: &LinkFault, on: bool) {
        let inner = &self.0;
        match (ways.change, on) {
            (LinkChange::Reset, true) => {
                let snaps = inner.snaps.borrow();
                let struck = snaps.values().filter(|(at, _)| ways.includes(at.proxy, at.way, at.zone));
                struck.for_each(|(_, snap)| snap.notify_one());
            }
            (LinkChange::Reset, false) => {}
            (_, true) => inner.amiss.borrow_mut().push((ways.clone(), Instant::now())),
            (_, false) => {
                let mut amiss = inner.amiss.borrow_mut();
                if let Some(at) = amiss.iter().position(|(other, _)| other == ways) {
                    amiss.remove(at);
                }
            }
        }
        inner.changed.send_modify(|changes| *changes += 1);
    }

    fn fact(&self, fact: &Event) {
        self.0.record.borrow_mut().fact(fact);
    }

    fn process(&self, proxy: usize, what: Process) {
        let what = Crossed::Process(what);
        let crossing = Crossing { at: self.0.now(), proxy, place: None, conn: 0, what };
        self.0.record.borrow_mut().crossings.push(crossing);
    }
}

impl Inner {
    fn now(&self) -> Time {
        let passed = self.began.get().map_or(Duration::ZERO, |began| began.elapsed());
        Time(passed.as_micros() as u64)
    }

    fn chance(&self) -> f64 {
        f64::from(self.draws.borrow_mut().next_u32()) / f64::from(u32::MAX)
    }

    fn seen(&self, place: Place, conn: u64, all: Vec<Crossed>) {
        let (at, proxy) = (self.now(), place.proxy);
        let crossing = |what| Crossing { at, proxy, place: Some(place), conn, what };
        self.record.borrow_mut().crossings.extend(all.into_iter().map(crossing));
    }

    /// Two ends of one connection. Each proxy has its own, so that ports do not run short.
    fn pair(&self, proxy: usize) -> io::Result<(TcpStream, TcpStream)> {
        let mut pairs = self.pairs.borrow_mut();
        let listener = match pairs.entry(proxy) {
            std::collections::hash_map::Entry::Occupied(known) => known.into_mut(),
            std::collections::hash_map::Entry::Vacant(new) => {
                let host = Ipv4Addr::new(127, 96 + (proxy / 250) as u8, (proxy % 250) as u8 + 1, 1);
                new.insert(std::net::TcpListener::bind(SocketAddr::new(host.into(), 0))?)
            }
        };
        // The kernel answers for a listener at once: neither of these waits.
        let mine = std::net::TcpStream::connect(listener.local_addr()?)?;
        let (theirs, _) = listener.accept()?;
        for stream in [&mine, &theirs] {
            stream.set_nonblocking(true)?;
            stream.set_nodelay(true)?;
        }
        Ok((TcpStream::from_std(mine)?, TcpStream::from_std(theirs)?))
    }

    fn changes<T>(&self, place: Place, of: impl Fn(LinkChange, Instant) -> Option<T>) -> Vec<T> {
        let amiss = self.amiss.borrow();
        let about = amiss.iter().filter(|(ways, _)| ways.includes(place.proxy, place.way, place.zone));
        about.filter_map(|(ways, since)| of(ways.change, *since)).collect()
    }

    fn passes(&self, place: Place, flow: Direction) -> bool {
        let now = Instant::now();
        let cuts = self.changes(place, |change, since| match change {
            LinkChange::Blocked(cut) if flow.is_among(cut) => {
                Some(flow == Direction::FromProxy || now >= since + IN_FLIGHT)
            }
            _ => None,
        });
        cuts.into_iter().all(|cut| !cut)
    }

    fn deaf(&self, place: Place) -> bool {
        !self.changes(place, |change, _| (change == LinkChange::Unread).then_some(())).is_empty()
    }

    fn delay(&self, place: Place) -> Duration {
        let slow = self.changes(place, |change, _| match change {
            LinkChange::Delayed(by) => Some(by),
            _ => None,
        });
        slow.into_iter().map(|by| Duration::from_micros(by.scaled_by(1.0 + self.chance()).0)).sum()
    }

    fn bytes_a_second(&self, place: Place) -> Option<u64> {
        let narrow = self.changes(place, |change, _| match change {
            LinkChange::Throttled(bytes) => Some(bytes),
            _ => None,
        });
        narrow.into_iter().min()
    }

    /// Waits until that holds; true if it had to.
    async fn until(&self, holds: impl Fn() -> bool) -> bool {
        let mut changed = self.changed.subscribe();
        let mut waited = false;
        while !holds() {
            waited = true;
            // The sender lives as long as the links do.
            let _ = changed.changed().await;
        }
        waited
    }
}

/// Why a link's connection is over.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// Both sides have ended it.
    Closed,
    /// One has broken it, or the rig has.
    Broken,
}

async fn relay(inner: Rc<Inner>, place: Place, near: TcpStream, far: TcpStream) {
    let conn = inner.next.get() + 1;
    inner.next.set(conn);
    // Danger: left to wait for more, small messages would be late by tens of milliseconds.
    let _ = near.set_nodelay(true);
    let snap = Rc::new(Notify::new());
    inner.snaps.borrow_mut().insert(conn, (place, snap.clone()));
    inner.seen(place, conn, vec![Crossed::Opened]);
    let tap = RefCell::new(Tap::default());
    let (near_reads, near_writes) = near.into_split();
    let (far_reads, far_writes) = far.into_split();
    let mut to = Pump {
        inner: &inner,
        place,
        conn,
        flow: Direction::FromProxy,
        tap: &tap,
        from: near_reads,
        into: far_writes,
        held: false,
    };
    let mut back = Pump {
        inner: &inner,
        place,
        conn,
        flow: Direction::ToProxy,
        tap: &tap,
        from: far_reads,
        into: near_writes,
        held: false,
    };
    to.held = inner.until(|| !inner.deaf(place)).await;
    let end = tokio::select! {
        end = both(to.run(), back.run()) => end,
        () = snap.notified() => End::Broken,
    };
    inner.snaps.borrow_mut().remove(&conn);
    inner.seen(place, conn, vec![Crossed::Ended]);
    if end == End::Broken {
        for stream in [to.from.as_ref(), back.from.as_ref()] {
            // One that has gone already is broken as well.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn both(to: impl Future<Output = End>, back: impl Future<Output = End>) -> End {
    let (mut to, mut back) = (std::pin::pin!(to), std::pin::pin!(back));
    let (first, other): (End, Pin<&mut dyn Future<Output = End>>) = tokio::select! {
        end = &mut to => (end, back),
        end = &mut back => (end, to),
    };
    match first {
        End::Broken => End::Broken,
        End::Closed => other.await,
    }
}

/// One direction of a connection.
struct Pump<'a> {
    inner: &'a Inner,
    place: Place,
    conn: u64,
    flow: Direction,
    tap: &'a RefCell<Tap>,
    from: OwnedReadHalf,
    into: OwnedWriteHalf,
    /// What comes next has waited on the link.
    held: bool,
}

impl Pump<'_> {
    async fn run(&mut self) -> End {
        let mut piece = vec![0; PIECE];
        loop {
            let Ok(count) = self.from.read(&mut piece).await else { return End::Broken };
            if self.flow == Direction::FromProxy {
                self.tapped(&piece[..count]);
            }
            let delay = self.inner.delay(self.place);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            self.held |= self.inner.until(|| self.inner.passes(self.place, self.flow)).await;
            // What has waited on the link for somebody who has closed since is lost with the connection.
            if std::mem::take(&mut self.held)
                && count > 0
                && self.flow == Direction::FromProxy
                && self.has_ended()
            {
                return End::Broken;
            }
            if count == 0 {
                return if self.into.shutdown().await.is_ok() { End::Closed } else { End::Broken };
            }
            if let Some(bytes) = self.inner.bytes_a_second(self.place) {
                sleep(Duration::from_secs_f64(count as f64 / bytes as f64)).await;
            }
            if self.into.write_all(&piece[..count]).await.is_err() {
                return End::Broken;
            }
            if self.flow == Direction::ToProxy {
                self.tapped(&piece[..count]);
            }
        }
    }

    fn tapped(&self, bytes: &[u8]) {
        let (at, way) = (self.inner.now(), self.place.way);
        let seen = match self.flow {
            Direction::ToProxy => self.tap.borrow_mut().back(at, way, bytes),
            Direction::FromProxy | Direction::Both => self.tap.borrow_mut().to(at, way, bytes),
        };
        if !seen.is_empty() {
            self.inner.seen(self.place, self.conn, seen);
        }
    }

    /// Whether the sender has closed behind what it has sent; more bytes from it are not waited for.
    fn has_ended(&self) -> bool {
        let stream: &TcpStream = self.from.as_ref();
        match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
