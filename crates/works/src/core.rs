//! The program on `core` machines: the control state on its disk, its part of the register, what others pull.

mod host;
mod messages;
mod registrar;
mod serving;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_catchment::{Catchment, Vector};
use mosshead_cistern::Keeper;
use mosshead_culvert::Caller;
use mosshead_headworks::{Ballot, Call, CallDigest, Input, Judgement, Node, Output, Verdict};
use mosshead_mains::Config;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{oneshot, watch};
use tokio::time::{Duration, Instant, timeout};

pub use self::host::serve;
use self::serving::Step;
use crate::gossip::Gossip;
use crate::message_lanes::MessageLanes;
use crate::puller::millis;
use crate::settings::Settings;

/// One machine of the core.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    life: u64,
    start: Instant,
    node: RefCell<Option<Node<Pcg64Mcg>>>,
    keeper: RefCell<Option<Keeper>>,
    /// The register on disk, and how far it has got there.
    register_keeper: RefCell<Option<Keeper>>,
    register_kept: RefCell<Vector>,
    register: RefCell<Catchment>,
    caller: Caller,
    asks: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    next_ask: Cell<u64>,
    config: RefCell<Option<Arc<Config>>>,
    steps: RefCell<VecDeque<Step>>,
    news: watch::Sender<u64>,
    askers: RefCell<HashMap<String, Instant>>,
    message_lanes: RefCell<MessageLanes>,
    gossip: Rc<Gossip>,
}

impl Core {
    fn now(&self) -> u64 {
        millis(Instant::now())
    }

    fn tell(&self) {
        self.news.send_modify(|turn| *turn += 1);
    }

    /// The newest configuration that is committed.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether this machine decides on the configuration and its lease holds at this moment.
    pub fn is_primary(&self) -> bool {
        let node = self.node.borrow();
        node.as_ref().is_some_and(|node| node.leads(self.now()))
    }

    /// Who does.
    pub fn primary(&self) -> Option<SocketAddrV4> {
        self.node
            .borrow()
            .as_ref()
            .and_then(|node| node.primary_at(self.now()))
            .map(|primary| primary.address)
    }

    /// Whether exactly this change has been taken before.
    pub fn took(&self, revision: u64, digest: CallDigest) -> bool {
        let node = self.node.borrow();
        let state = node.as_ref().and_then(|node| node.committed());
        state.is_some_and(|state| {
            state.taken.iter().any(|call| call.revision == revision && call.digest == digest)
        })
    }

    /// Whether this change can't be told from one that was taken long ago.
    pub fn has_forgotten(&self, base: u64, revision: u64, digest: CallDigest) -> bool {
        let node = self.node.borrow();
        let state = node.as_ref().and_then(|node| node.committed());
        state.is_some_and(|state| state.judge(base, Call { revision, digest }) == Judgement::Forgotten)
    }

    async fn ask(self: &Rc<Self>, input: impl FnOnce(u64) -> Input) -> Verdict {
        let ask = self.next_ask.get();
        self.next_ask.set(ask + 1);
        let (to, from) = oneshot::channel();
        self.asks.borrow_mut().insert(ask, to);
        self.step(input(ask));
        let verdict = timeout(Duration::from_millis(3000), from).await;
        self.asks.borrow_mut().remove(&ask);
        verdict.ok().and_then(Result::ok).unwrap_or(Verdict::Unavailable)
    }

    /// Asks for a change of the configuration.
    pub async fn change(
        self: &Rc<Self>,
        base: u64,
        revision: u64,
        body: Vec<u8>,
        digest: CallDigest,
    ) -> Verdict {
        self.ask(|ask| Input::Change { ask, base, revision, body, digest }).await
    }

    /// Reads the newest configuration, after the others have confirmed that it is.
    pub async fn read(self: &Rc<Self>) -> Verdict {
        self.ask(|ask| Input::Read { ask }).await
    }

    /// One step of the control state, and what follows from it.
    fn step(self: &Rc<Self>, input: Input) {
        let now = self.now();
        let outputs = match self.node.borrow_mut().as_mut() {
            Some(node) => node.step(now, input),
            None => {
                // Not open yet: whoever asks is told so.
                if let Input::Change { ask, .. } | Input::Read { ask } = input
                    && let Some(to) = self.asks.borrow_mut().remove(&ask)
                {
                    let _ = to.send(Verdict::Unavailable);
                }
                return;
            }
        };
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send { to, message } => self.send(to, message),
            Output::Write { token, record } => {
                let queued =
                    self.keeper.borrow().as_ref().is_some_and(|keeper| keeper.append(token, record).is_ok());
                if !queued {
                    self.write_failed(token);
                }
            }
            Output::Answer { ask, result } => {
                if let Some(to) = self.asks.borrow_mut().remove(&ask) {
                    let _ = to.send(result);
                }
            }
            Output::Committed { state } => self.committed(&state),
            Output::Rewrite { token, record } => {
                let queued = self
                    .keeper
                    .borrow()
                    .as_ref()
                    .is_some_and(|keeper| keeper.rewrite(token, vec![record]).is_ok());
                if !queued {
                    self.write_failed(token);
                }
            }
            Output::Primary { ballot, .. } => {
                spdlog::info!("headworks: this machine is primary under round {}.", ballot.round);
                self.tell();
            }
            Output::Deposed => {
                spdlog::info!("headworks: this machine is primary no more.");
                self.tell();
            }
        }
    }

    /// Tells of a write that could not even be asked for, after what is under way now.
    fn write_failed(self: &Rc<Self>, token: u64) {
        let core = self.clone();
        tokio::task::spawn_local(async move { core.step(Input::WriteFailed { token }) });
    }

    /// The ballot under which this machine holds the duties, while it is in touch.
    pub fn holds(&self) -> Option<Ballot> {
        let node = self.node.borrow();
        let node = node.as_ref().filter(|node| node.leads(self.now()))?;
        Some(node.ballot())
    }
}
