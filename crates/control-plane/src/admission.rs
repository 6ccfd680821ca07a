//! How an operator's change or read-back is answered.
//!
//! Invariant *refusals are confirmed*: whether a change is stale or invalid is said only by a state that a majority has
//! confirmed after the change came in. A change that is accepted costs no round trip for that, since the write itself
//! needs the majority; a refusal costs one. A change that was taken is never refused.

use core::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{Call, CallDigest, Judgement, State, Verdict};

use crate::InjectedFault;
use crate::serving::read_beside;

/// What an operator's change does with the configuration in place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The body is the whole new configuration.
    Replace,
    /// The body names what is withdrawn and what is put in.
    Modify,
}

/// An operator's change as it came in.
#[derive(Clone, Debug)]
pub struct ChangeRequest<B> {
    /// What it does.
    pub kind: ChangeKind,
    /// The revision that it builds on, if it names one.
    pub base: Option<u64>,
    /// The body, not read yet.
    pub body: B,
    /// What tells a repeat of this call from another one.
    pub digest: CallDigest,
}

/// Who decides on changes, as far as the machine that was called knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leader {
    /// The machine itself, unless it has lost its place without knowing.
    Here,
    /// Another machine, by its internal address.
    Elsewhere(SocketAddrV4),
    /// Nobody is known.
    Unknown,
}

/// What the host does next for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Hand the change to the consensus state, then call [`Admission::submitted`].
    Submit(Submission),
    /// Read the state that a majority confirms, then call [`Admission::confirmed`].
    Confirm,
    /// Answer the operator.
    Answer(ChangeAnswer),
}

/// A change for the consensus state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The revision that it builds on.
    pub base: u64,
    /// The revision that it makes.
    pub revision: u64,
    /// The new configuration, whole; empty where the change is known to be taken already.
    pub body: Vec<u8>,
    /// What tells a repeat of the call.
    pub digest: CallDigest,
}

/// The answer to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// The change is committed.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// The change builds on another revision than the confirmed one.
    Stale {
        /// The confirmed revision.
        current: u64,
    },
    /// The change is no valid configuration.
    Invalid {
        /// What is wrong with it, with its code.
        fault: String,
    },
    /// The configuration that the change makes is too large to be taken, whatever the state is.
    TooLarge,
    /// Another machine decides.
    Redirect {
        /// Its internal address.
        leader: SocketAddrV4,
    },
    /// No clear answer: the change can't be told from one that was taken long ago.
    Forgotten,
    /// No clear answer: the change may be taken or not.
    Unavailable,
}

/// The answer to a read-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// The configuration that a majority has confirmed.
    Current(State),
    /// A majority has confirmed that there is none yet.
    Empty,
    /// Another machine decides.
    Redirect {
        /// Its internal address.
        leader: SocketAddrV4,
    },
    /// No clear answer.
    Unavailable,
}

/// One change on its way to an answer.
#[derive(Clone, Debug)]
pub struct Admission<B> {
    request: ChangeRequest<B>,
    base: u64,
    revision: u64,
    /// The configuration that the change was first judged by.
    local: Option<Arc<Config>>,
    injected: Option<InjectedFault>,
}

/// How sure the state is that a change is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    Local,
    Confirmed,
}

impl<B: AsRef<[u8]>> Admission<B> {
    /// Takes a change in. Gives the first step, and what takes the result of that step.
    ///
    /// `state` is the newest committed state that the machine knows, `config` the configuration read from it.
    pub fn begin(
        request: ChangeRequest<B>,
        leader: Leader,
        state: Option<&State>,
        config: Option<Arc<Config>>,
        injected: Option<InjectedFault>,
    ) -> (Admission<B>, Step) {
        let mut admission = Admission { request, base: 0, revision: 0, local: config, injected };
        let step = admission.first_step(leader, state);
        (admission, step)
    }

    fn first_step(&mut self, leader: Leader, state: Option<&State>) -> Step {
        match leader {
            Leader::Here => {}
            Leader::Elsewhere(leader) => return Step::Answer(ChangeAnswer::Redirect { leader }),
            Leader::Unknown => return Step::Answer(ChangeAnswer::Unavailable),
        }
        // These two are refused whatever the state is, so no majority needs to be asked.
        let Some(base) = self.request.base else {
            return invalid("C07 X-Base-Revision is missing");
        };
        let Some(revision) = mosshead_config::peek_revision(self.request.body.as_ref()) else {
            let fault = Config::parse(self.request.body.as_ref()).err();
            return invalid(
                fault.map_or("M08 at revision: is missing".to_owned(), |fault| fault.to_string()),
            );
        };
        (self.base, self.revision) = (base, revision);
        if state.is_some_and(|state| state.judge(base, self.call()) == Judgement::Taken) {
            return self.submit(Vec::new());
        }
        self.judge(self.local.clone().as_deref(), Certainty::Local)
    }

    /// Takes in the verdict on a [`Step::Confirm`].
    pub fn confirmed(&mut self, verdict: Verdict) -> Step {
        let state = match verdict {
            Verdict::Current { state } => state,
            other => return unconfirmed(other),
        };
        match state.judge(self.base, self.call()) {
            Judgement::Taken => return Step::Answer(ChangeAnswer::Accepted { revision: self.revision }),
            Judgement::Forgotten => return Step::Answer(ChangeAnswer::Forgotten),
            Judgement::Acceptable | Judgement::Stale => {}
        }
        if self.base != state.revision {
            return Step::Answer(ChangeAnswer::Stale { current: state.revision });
        }
        let known = self.local.clone().filter(|config| config.revision == state.revision);
        let config = match known {
            None if state.revision > 0 => match read_beside(self.local.as_deref(), &state.body) {
                Ok(config) => Some(Arc::new(config)),
                Err(_) => return Step::Answer(ChangeAnswer::Unavailable),
            },
            known => known,
        };
        self.judge(config.as_deref(), Certainty::Confirmed)
    }

    /// Takes in the verdict on a [`Step::Submit`].
    pub fn submitted(&self, verdict: Verdict) -> ChangeAnswer {
        match verdict {
            Verdict::Taken { revision } => ChangeAnswer::Accepted { revision },
            Verdict::Stale { current } => ChangeAnswer::Stale { current },
            Verdict::TooLarge => ChangeAnswer::TooLarge,
            Verdict::Forgotten => ChangeAnswer::Forgotten,
            Verdict::NotPrimary { primary: Some(leader) } => ChangeAnswer::Redirect { leader },
            Verdict::NotPrimary { primary: None } | Verdict::Unavailable | Verdict::Current { .. } => {
                ChangeAnswer::Unavailable
            }
        }
    }

    fn judge(&self, config: Option<&Config>, certainty: Certainty) -> Step {
        let current = config.map_or(0, |config| config.revision);
        if self.base != current {
            return self.refuse(ChangeAnswer::Stale { current }, certainty);
        }
        let body = self.request.body.as_ref();
        let changed = match (self.request.kind, config) {
            (ChangeKind::Replace, current) => Config::parse_replacement(current, body),
            (ChangeKind::Modify, Some(current)) => current.modify(body),
            (ChangeKind::Modify, None) => {
                return self.refuse(ChangeAnswer::Stale { current }, certainty);
            }
        };
        match changed {
            Ok(config) => self.submit(config.to_json().into_bytes()),
            Err(fault) => self.refuse(ChangeAnswer::Invalid { fault: fault.to_string() }, certainty),
        }
    }

    /// A refusal by a state that nobody has confirmed waits for the confirmation.
    fn refuse(&self, answer: ChangeAnswer, certainty: Certainty) -> Step {
        let unconfirmed = self.injected == Some(InjectedFault::RefuseFromLocalState);
        if certainty == Certainty::Confirmed || unconfirmed { Step::Answer(answer) } else { Step::Confirm }
    }

    fn submit(&self, body: Vec<u8>) -> Step {
        let (base, revision, digest) = (self.base, self.revision, self.request.digest);
        Step::Submit(Submission { base, revision, body, digest })
    }

    fn call(&self) -> Call {
        Call { revision: self.revision, digest: self.request.digest }
    }
}

/// How a read-back is answered, by the verdict of the consensus state.
pub fn answer_read(verdict: Verdict) -> ReadAnswer {
    match verdict {
        Verdict::Current { state } if state.revision > 0 => ReadAnswer::Current(state),
        Verdict::Current { .. } => ReadAnswer::Empty,
        Verdict::NotPrimary { primary: Some(leader) } => ReadAnswer::Redirect { leader },
        _ => ReadAnswer::Unavailable,
    }
}

fn invalid(fault: impl Into<String>) -> Step {
    Step::Answer(ChangeAnswer::Invalid { fault: fault.into() })
}

fn unconfirmed(verdict: Verdict) -> Step {
    Step::Answer(match verdict {
        Verdict::NotPrimary { primary: Some(leader) } => ChangeAnswer::Redirect { leader },
        _ => ChangeAnswer::Unavailable,
    })
}
