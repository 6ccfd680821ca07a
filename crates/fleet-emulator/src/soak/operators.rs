//! The operators of a soak: they change the configuration, resend what got no clear answer, and read back at the end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use mosshead_fleet_rules::{Acknowledgement, Change, ChangeOutcome, ReadBack};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::configuration::configuration;
use crate::error::FleetEmulatorError;
use crate::http::exchange;
use crate::machines::Ports;
use crate::recorder::Recorder;

const REPLACE_PATH: &str = "/Configuration.Replace";
const SHOW_PATH: &str = "/Configuration.Show";
/// An operator waits this long for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// After this a change without a clear answer is given up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
/// Revisions rise in uneven steps.
const MAX_REVISION_STEP: u64 = 3;

/// The operators. Clones share their state.
#[derive(Clone)]
pub(super) struct Operators {
    ports: Ports,
    control_nodes: usize,
    recorder: Recorder,
    /// The revision that the next change builds on.
    current: Rc<Cell<u64>>,
    /// The highest revision that was sent.
    highest: Rc<Cell<u64>>,
    /// True while a change is under way.
    is_busy: Rc<Cell<bool>>,
    /// The revisions that were sent, in their order.
    sent: Rc<RefCell<Vec<u64>>>,
    random: Rc<RefCell<Pcg64Mcg>>,
}

impl Operators {
    pub(super) fn new(ports: Ports, control_nodes: usize, recorder: Recorder, seed: u64) -> Operators {
        Operators {
            ports,
            control_nodes,
            recorder,
            current: Rc::default(),
            highest: Rc::default(),
            is_busy: Rc::default(),
            sent: Rc::default(),
            random: Rc::new(RefCell::new(Pcg64Mcg::seed_from_u64(seed))),
        }
    }

    /// The revisions that were sent so far, in their order.
    pub(super) fn sent_revisions(&self) -> Vec<u64> {
        self.sent.borrow().clone()
    }

    /// Sends the first configuration until it is acknowledged.
    ///
    /// # Errors
    ///
    /// Nobody acknowledges it in time.
    pub(super) async fn configure_first(&self) -> Result<(), FleetEmulatorError> {
        self.change().await;
        let is_acknowledged = self.current.get() > 0;
        let missing = FleetEmulatorError::NotReady("no control node acknowledges the configuration");
        is_acknowledged.then_some(()).ok_or(missing)
    }

    /// Changes the configuration. False if a change is still under way.
    pub(super) async fn change(&self) -> bool {
        if self.is_busy.replace(true) {
            return false;
        }
        let outcome = self.send_change(self.current.get(), self.next_revision()).await;
        self.finish_change(&[outcome]).await;
        true
    }

    /// Changes the configuration twice at the same time, on top of the same revision. False if a change is still under
    /// way.
    pub(super) async fn change_twice(&self) -> bool {
        if self.is_busy.replace(true) {
            return false;
        }
        let base = self.current.get();
        let (first, second) = (self.next_revision(), self.next_revision());
        let outcomes = tokio::join!(self.send_change(base, first), self.send_change(base, second));
        self.finish_change(&[outcomes.0, outcomes.1]).await;
        true
    }

    /// Continues on top of what was acknowledged or, without a clear answer, of what is in force.
    async fn finish_change(&self, changes: &[Change]) {
        let mut acknowledged =
            changes.iter().filter(|change| matches!(change.outcome, ChangeOutcome::Acknowledged(_)));
        if let Some(change) = acknowledged.next() {
            self.current.set(change.revision);
        } else if let Some(shown) = self.show(CALL_TIMEOUT).await {
            self.current.set(revision_of(&shown).unwrap_or(0));
        }
        self.is_busy.set(false);
    }

    fn next_revision(&self) -> u64 {
        let step = self.random.borrow_mut().random_range(1..=MAX_REVISION_STEP);
        self.highest.set(self.highest.get() + step);
        self.highest.get()
    }

    fn draw_control_node(&self) -> usize {
        self.random.borrow_mut().random_range(0..self.control_nodes.max(1))
    }

    /// Sends a change until there is a clear answer, and records it.
    async fn send_change(&self, base: u64, revision: u64) -> Change {
        let sent_at = self.recorder.now();
        self.sent.borrow_mut().push(revision);
        let index = self.record_change(Change { revision, base, sent_at, outcome: ChangeOutcome::Unclear });
        let outcome = self.send_until_clear(base, &configuration(revision).to_string()).await;
        let change = Change { revision, base, sent_at, outcome };
        self.recorder.record(|history| history.changes[index] = change);
        change
    }

    fn record_change(&self, change: Change) -> usize {
        let mut index = 0;
        self.recorder.record(|history| {
            index = history.changes.len();
            history.changes.push(change);
        });
        index
    }

    async fn send_until_clear(&self, base: u64, body: &str) -> ChangeOutcome {
        let base = base.to_string();
        let headers = [("x-base-revision", base.as_str())];
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let mut control_node = self.draw_control_node();
        while Instant::now() < deadline {
            let to = self.ports.control_api_of(control_node);
            let answer = exchange(to, "POST", REPLACE_PATH, &headers, body, CALL_TIMEOUT).await;
            match answer.map(|(status, _)| status) {
                Some(StatusCode::OK) => {
                    return ChangeOutcome::Acknowledged(Acknowledgement {
                        at: self.recorder.now(),
                        control_node,
                    });
                }
                Some(StatusCode::PRECONDITION_FAILED | StatusCode::BAD_REQUEST) => {
                    return ChangeOutcome::Refused;
                }
                _ => {}
            }
            control_node = (control_node + 1) % self.control_nodes.max(1);
            sleep(RETRY_PAUSE).await;
        }
        ChangeOutcome::Unclear
    }

    /// Asks for the configuration until a control node has one.
    async fn show(&self, time: Duration) -> Option<Value> {
        let deadline = Instant::now() + time;
        let mut control_node = self.draw_control_node();
        while Instant::now() < deadline {
            let to = self.ports.control_api_of(control_node);
            let answer = exchange(to, "GET", SHOW_PATH, &[], "", CALL_TIMEOUT).await;
            if let Some((StatusCode::OK, body)) = answer
                && let Ok(shown) = serde_json::from_str(&body)
            {
                return Some(shown);
            }
            control_node = (control_node + 1) % self.control_nodes.max(1);
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Reads the configuration back, and records it.
    pub(super) async fn read_back(&self) {
        let shown = self.show(READ_BACK_TIMEOUT).await;
        let revision = shown.as_ref().and_then(revision_of);
        let is_as_sent = revision.is_some_and(|revision| shown == Some(configuration(revision)));
        self.recorder.record(|history| history.read_back = Some(ReadBack { revision, is_as_sent }));
    }
}

fn revision_of(configuration: &Value) -> Option<u64> {
    configuration["revision"].as_u64()
}
