//! The record of a day: what crossed the wire, and when. The referee and the ledger know nothing else.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use crate::Time;
use crate::scenario::Effect;
use crate::world::{Conn, JobNo, ServerNo, State};

/// What a proxy told a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served with the answer that a server made for this very request.
    Served,
    /// Served with something else: no server made it for this request.
    Forged,
    /// Refused: trying again does no harm, best after this long.
    Refused(Time),
    /// Failed.
    Failed,
    /// The connection ended, or the answer never became whole.
    Broken,
}

/// What came back from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A whole answer: it ran.
    Served,
    /// An error: it may have run.
    Errored,
    /// Turned away, provably not run.
    TurnedAway,
    /// The connection ended: it may have run.
    Reset,
    /// An answer that makes no sense: it ran.
    Spoilt,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A client's request reached a proxy whole.
    Taken {
        /// The request.
        job: JobNo,
        /// Who took it.
        proxy: usize,
        /// Its class.
        class: usize,
        /// What a second execution would do.
        effect: Effect,
        /// Until when its client waits.
        deadline: Time,
    },
    /// The first byte of an attempt left a proxy.
    Begun {
        /// The request.
        job: JobNo,
        /// Who sent it.
        proxy: usize,
        /// To whom.
        server: ServerNo,
        /// On which connection.
        conn: Conn,
    },
    /// The last byte of an attempt left a proxy: from now on it may run.
    Written {
        /// The request.
        job: JobNo,
        /// To whom.
        server: ServerNo,
        /// On which connection.
        conn: Conn,
        /// Method, target, id, key and body are those of the client.
        intact: bool,
        /// The servers that drop each other's repeats of it, by number.
        group: usize,
    },
    /// A server took a request in.
    Arrived {
        /// The request.
        job: JobNo,
        /// Where.
        server: ServerNo,
    },
    /// A server finished a request.
    Ran {
        /// The request.
        job: JobNo,
        /// Where.
        server: ServerNo,
    },
    /// A proxy heard how an attempt ended.
    Came {
        /// The request.
        job: JobNo,
        /// On which connection.
        conn: Conn,
        /// How.
        verdict: Verdict,
    },
    /// A proxy closed a connection with an attempt out on it.
    GaveUp {
        /// The request.
        job: JobNo,
        /// The connection.
        conn: Conn,
    },
    /// A proxy gave its answer.
    Answered {
        /// The request.
        job: JobNo,
        /// Which.
        answer: Answer,
    },
    /// The client's time is up, and it has left.
    Left {
        /// The request.
        job: JobNo,
    },
    /// A proxy was told of a server, or counts as told.
    Told {
        /// Who.
        proxy: usize,
        /// Of whom.
        server: ServerNo,
        /// What.
        state: State,
    },
    /// A server started; cold unless the day began with it.
    Started {
        /// Which.
        server: ServerNo,
    },
    /// A server ended: its process died, or its machine vanished.
    Ended {
        /// Which.
        server: ServerNo,
    },
    /// A cold server was sent more than it can bear, and fell over.
    Fell {
        /// Which.
        server: ServerNo,
    },
    /// A server turned slow, overdriven.
    Jammed {
        /// Which.
        server: ServerNo,
    },
    /// A proxy is up.
    Up {
        /// Which.
        proxy: usize,
    },
    /// A proxy is down, by order or by itself.
    Down {
        /// Which.
        proxy: usize,
        /// The day's troubles wanted it so.
        ordered: bool,
    },
    /// A proxy stands still, as the day's troubles want it.
    Paused {
        /// Which.
        proxy: usize,
    },
    /// It goes on.
    Resumed {
        /// Which.
        proxy: usize,
    },
    /// A trouble of ways begins or ends.
    Trouble {
        /// Which, in the scenario's order from 0.
        number: usize,
        /// It begins.
        on: bool,
    },
    /// Something a proxy owed was missing.
    Fault {
        /// Which proxy.
        proxy: usize,
        /// What.
        what: &'static str,
    },
}

impl What {
    /// The request that this is about.
    pub fn job(&self) -> Option<JobNo> {
        match *self {
            What::Taken { job, .. }
            | What::Begun { job, .. }
            | What::Written { job, .. }
            | What::Arrived { job, .. }
            | What::Ran { job, .. }
            | What::Came { job, .. }
            | What::GaveUp { job, .. }
            | What::Answered { job, .. }
            | What::Left { job } => Some(job),
            _ => None,
        }
    }
}

/// Something that happened, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fact {
    /// When.
    pub at: Time,
    /// What.
    pub what: What,
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>12.6} s  ", self.at.as_seconds())?;
        match self.what {
            What::Taken { proxy, class, effect, deadline, .. } => {
                write!(f, "taken by proxy {proxy}: class {class} ({effect:?}), answer due by {deadline}")
            }
            What::Begun { server, conn, .. } => {
                write!(f, "first byte to server {} on connection {}", server.0, conn.0)
            }
            What::Written { server, conn, intact, .. } => write!(
                f,
                "last byte to server {} on connection {}{}",
                server.0,
                conn.0,
                if intact { "" } else { ": CHANGED on the way" }
            ),
            What::Arrived { server, .. } => write!(f, "server {} takes it in", server.0),
            What::Ran { server, .. } => write!(f, "server {} has run it", server.0),
            What::Came { conn, verdict, .. } => write!(f, "connection {} brought: {verdict:?}", conn.0),
            What::GaveUp { conn, .. } => write!(f, "connection {} closed by the proxy", conn.0),
            What::Answered { answer: Answer::Refused(wait), .. } => {
                write!(f, "answered: refused, come back after {wait}")
            }
            What::Answered { answer, .. } => write!(f, "answered: {answer:?}"),
            What::Left { .. } => write!(f, "the client's time is up"),
            What::Told { proxy, server, state } => {
                write!(f, "proxy {proxy} told: server {} is {state:?}", server.0)
            }
            What::Started { server } => write!(f, "server {} starts", server.0),
            What::Ended { server } => write!(f, "server {} ends", server.0),
            What::Fell { server } => write!(f, "server {} falls over, cold", server.0),
            What::Jammed { server } => write!(f, "server {} jams", server.0),
            What::Up { proxy } => write!(f, "proxy {proxy} is up"),
            What::Down { proxy, ordered } => {
                write!(f, "proxy {proxy} is down{}", if ordered { ", as ordered" } else { " BY ITSELF" })
            }
            What::Paused { proxy } => write!(f, "proxy {proxy} stands still"),
            What::Resumed { proxy } => write!(f, "proxy {proxy} goes on"),
            What::Trouble { number, on } => {
                write!(f, "trouble {} of ways {}", number + 1, if on { "begins" } else { "ends" })
            }
            What::Fault { proxy, what } => write!(f, "proxy {proxy}: {what}"),
        }
    }
}

/// The digest of a record: equal where the records are equal to the byte.
#[derive(Clone, Default)]
pub struct Digest {
    hash: Xxh3,
    facts: u64,
}

impl Digest {
    /// Takes a fact in.
    pub fn add(&mut self, fact: &Fact) {
        let job = |job: JobNo| job.0;
        let (tag, a, b, c, d) = match fact.what {
            What::Taken { job: j, proxy, class, effect, deadline } => {
                (1, job(j), proxy as u64, (class as u64) << 2 | effect as u64, deadline.0)
            }
            What::Begun { job: j, proxy, server, conn } => (2, job(j), proxy as u64, server.0.into(), conn.0),
            What::Written { job: j, server, conn, intact, group } => {
                (3, job(j), server.0.into(), conn.0, (group as u64) << 1 | intact as u64)
            }
            What::Arrived { job: j, server } => (4, job(j), server.0.into(), 0, 0),
            What::Ran { job: j, server } => (5, job(j), server.0.into(), 0, 0),
            What::Came { job: j, conn, verdict } => (6, job(j), conn.0, verdict as u64, 0),
            What::GaveUp { job: j, conn } => (7, job(j), conn.0, 0, 0),
            What::Answered { job: j, answer } => match answer {
                Answer::Served => (8, job(j), 0, 0, 0),
                Answer::Forged => (8, job(j), 1, 0, 0),
                Answer::Refused(wait) => (8, job(j), 2, wait.0, 0),
                Answer::Failed => (8, job(j), 3, 0, 0),
                Answer::Broken => (8, job(j), 4, 0, 0),
            },
            What::Left { job: j } => (9, job(j), 0, 0, 0),
            What::Told { proxy, server, state } => (10, proxy as u64, server.0.into(), state as u64, 0),
            What::Started { server } => (11, server.0.into(), 0, 0, 0),
            What::Ended { server } => (12, server.0.into(), 0, 0, 0),
            What::Fell { server } => (13, server.0.into(), 0, 0, 0),
            What::Jammed { server } => (14, server.0.into(), 0, 0, 0),
            What::Up { proxy } => (15, proxy as u64, 0, 0, 0),
            What::Down { proxy, ordered } => (16, proxy as u64, ordered.into(), 0, 0),
            What::Fault { proxy, what } => (17, proxy as u64, what.len() as u64, 0, 0),
            What::Paused { proxy } => (18, proxy as u64, 0, 0, 0),
            What::Resumed { proxy } => (19, proxy as u64, 0, 0, 0),
            What::Trouble { number, on } => (20, number as u64, on.into(), 0, 0),
        };
        let mut bytes = [0; 48];
        for (at, word) in [fact.at.0, tag, a, b, c, d].into_iter().enumerate() {
            bytes[at * 8..][..8].copy_from_slice(&u64::to_le_bytes(word));
        }
        self.hash.update(&bytes);
        self.facts += 1;
    }

    /// How many facts it took in.
    pub fn facts(&self) -> u64 {
        self.facts
    }

    /// The digest so far, in hex.
    pub fn hex(&self) -> String {
        format!("{:032x}", self.hash.digest128())
    }
}
