//! The program on `core` machines: the control state on its disk, its part of the register, what others pull.

mod messages;
mod process;
mod registry;
mod status;
mod updates;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{ClientReply, ControlState, Input, Node, Output, Term};
use mosshead_control_plane::ConfigHistory;
use mosshead_control_plane::QuorumContact;
use mosshead_control_plane::ShutdownAcknowledgements;
use mosshead_control_plane::{ChangeProposal, KnownPrimary};
use mosshead_record_log::LogWriter;
use mosshead_registry::{Registry, VersionVector};
use mosshead_rpc::Caller;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{oneshot, watch};
use tokio::time::{Duration, Instant, timeout};

pub use self::process::serve;
use crate::clock::Clock;
use crate::config_transfer::OutgoingTransfers;
use crate::gossip::Gossip;
use crate::send_queues::SendQueues;
use crate::settings::Settings;

/// One machine of the core.
pub struct ControlNode {
    /// Its settings.
    pub settings: Settings,
    life: u64,
    start: Instant,
    clock: Clock,
    node: RefCell<Option<Node<Pcg64Mcg>>>,
    keeper: RefCell<Option<LogWriter>>,
    /// The register on disk, and how far it has got there.
    register_keeper: RefCell<Option<LogWriter>>,
    register_kept: RefCell<VersionVector>,
    register: RefCell<Registry>,
    caller: Caller,
    asks: RefCell<HashMap<u64, oneshot::Sender<ClientReply>>>,
    next_ask: Cell<u64>,
    history: RefCell<ConfigHistory>,
    transfers: RefCell<OutgoingTransfers>,
    acknowledgements: RefCell<ShutdownAcknowledgements>,
    news: watch::Sender<u64>,
    askers: RefCell<HashMap<String, Instant>>,
    message_lanes: RefCell<SendQueues>,
    gossip: Rc<Gossip>,
}

impl ControlNode {
    fn now(&self) -> u64 {
        self.clock.now().as_millis()
    }

    fn tell(&self) {
        self.news.send_modify(|turn| *turn += 1);
    }

    /// The newest configuration that is committed.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.history.borrow().current().cloned()
    }

    /// The newest state that is committed, as far as it is known here.
    pub fn committed_state(&self) -> Option<ControlState> {
        self.node.borrow().as_ref().and_then(|node| node.committed_state().cloned())
    }

    /// Whether this machine lately heard from a majority.
    pub fn contact(&self) -> QuorumContact {
        let node = self.node.borrow();
        QuorumContact::from_flag(node.as_ref().is_some_and(|node| node.has_quorum_contact(self.now())))
    }

    /// Whether this machine decides on the configuration and its lease holds at this moment.
    pub fn is_primary(&self) -> bool {
        let node = self.node.borrow();
        node.as_ref().is_some_and(|node| node.holds_primary_lease(self.now()))
    }

    /// Who decides on the configuration, as far as this machine knows.
    pub fn leader(&self) -> KnownPrimary {
        let node = self.node.borrow();
        let primary = node.as_ref().and_then(|node| node.primary_at(self.now()));
        match primary.map(|primary| primary.address) {
            // While a primary takes over from itself, what is asked of it waits there for a moment.
            Some(address) if address == self.settings.internal_address() => KnownPrimary::Local,
            Some(address) => KnownPrimary::Remote(address),
            None => KnownPrimary::Unknown,
        }
    }

    async fn ask(self: &Rc<Self>, input: impl FnOnce(u64) -> Input) -> ClientReply {
        let ask = self.next_ask.get();
        self.next_ask.set(ask + 1);
        let (to, from) = oneshot::channel();
        self.asks.borrow_mut().insert(ask, to);
        self.step(input(ask));
        let verdict = timeout(Duration::from_millis(3000), from).await;
        self.asks.borrow_mut().remove(&ask);
        verdict.ok().and_then(Result::ok).unwrap_or(ClientReply::Unavailable)
    }

    /// ClientRequests for a change of the configuration.
    pub async fn submit_change(self: &Rc<Self>, change: ChangeProposal) -> ClientReply {
        let ChangeProposal { base_revision: base, revision, body, digest } = change;
        self.ask(|ask| Input::Change { request_id: ask, base_revision: base, revision, body, digest }).await
    }

    /// Reads the newest configuration, after the others have confirmed that it is.
    pub async fn read_confirmed(self: &Rc<Self>) -> ClientReply {
        self.ask(|ask| Input::Read { request_id: ask }).await
    }

    /// One step of the control state, and what follows from it.
    fn step(self: &Rc<Self>, input: Input) {
        let now = self.now();
        let outputs = match self.node.borrow_mut().as_mut() {
            Some(node) => node.step(now, input),
            None => {
                // Not open yet: whoever asks is told so.
                if let Input::Change { request_id: ask, .. } | Input::Read { request_id: ask } = input
                    && let Some(to) = self.asks.borrow_mut().remove(&ask)
                {
                    let _ = to.send(ClientReply::Unavailable);
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
            Output::Reply { request_id: ask, reply: result } => {
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
            Output::BecamePrimary { term: ballot, .. } => {
                spdlog::info!("consensus: this machine is primary under round {}.", ballot.number);
                self.tell();
            }
            Output::SteppedDown => {
                spdlog::info!("consensus: this machine is primary no more.");
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
    pub fn holds(&self) -> Option<Term> {
        let node = self.node.borrow();
        let node = node.as_ref().filter(|node| node.holds_primary_lease(self.now()))?;
        Some(node.term())
    }
}
