//! How an operator's change or read-back is answered.
//!
//! Invariant *refusals are confirmed*: whether a change is stale or invalid is said only by a state that a majority has
//! confirmed after the change came in. A change that is accepted costs no round trip for that, since the write itself
//! needs the majority; a refusal costs one. A change that was taken is never refused.

use core::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{AppliedRequest, ClientReply, ControlState, RequestDigest, RequestStatus};

use crate::InjectedFault;
use crate::config_history::read_beside;

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
    pub base_revision: Option<u64>,
    /// The body, not read yet.
    pub body: B,
    /// What tells a repeat of this call from another one.
    pub digest: RequestDigest,
}

/// Who decides on changes, as far as the machine that was called knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownPrimary {
    /// The machine itself, unless it has lost its place without knowing.
    Local,
    /// Another machine, by its internal address.
    Remote(SocketAddrV4),
    /// Nobody is known.
    Unknown,
}

/// What the host does next for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Hand the change to the consensus state, then call [`ChangeAdmission::on_proposal_result`].
    Submit(ChangeProposal),
    /// Read the state that a majority confirms, then call [`ChangeAdmission::on_state_confirmed`].
    ConfirmState,
    /// Answer the operator.
    Respond(ChangeResponse),
}

/// A change for the consensus state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeProposal {
    /// The revision that it builds on.
    pub base_revision: u64,
    /// The revision that it makes.
    pub revision: u64,
    /// The new configuration, whole; empty where the change is known to be taken already.
    pub body: Vec<u8>,
    /// What tells a repeat of the call.
    pub digest: RequestDigest,
}

/// The answer to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResponse {
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
        reason: String,
    },
    /// The configuration that the change makes is too large to be taken, whatever the state is.
    TooLarge,
    /// Another machine decides.
    Redirect {
        /// Its internal address.
        primary: SocketAddrV4,
    },
    /// No clear answer: the change can't be told from one that was taken long ago.
    Expired,
    /// No clear answer: the change may be taken or not.
    Unavailable,
}

/// The answer to a read-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResponse {
    /// The configuration that a majority has confirmed.
    Current(ControlState),
    /// A majority has confirmed that there is none yet.
    Empty,
    /// Another machine decides.
    Redirect {
        /// Its internal address.
        primary: SocketAddrV4,
    },
    /// No clear answer.
    Unavailable,
}

/// One change on its way to an answer.
#[derive(Clone, Debug)]
pub struct ChangeAdmission<B> {
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

impl<B: AsRef<[u8]>> ChangeAdmission<B> {
    /// Takes a change in. Gives the first step, and what takes the result of that step.
    ///
    /// `state` is the newest committed state that the machine knows, `config` the configuration read from it.
    pub fn begin(
        request: ChangeRequest<B>,
        primary: KnownPrimary,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
        injected: Option<InjectedFault>,
    ) -> (ChangeAdmission<B>, AdmissionStep) {
        let mut admission = ChangeAdmission { request, base: 0, revision: 0, local: config, injected };
        let step = admission.first_step(primary, state);
        (admission, step)
    }

    fn first_step(&mut self, primary: KnownPrimary, state: Option<&ControlState>) -> AdmissionStep {
        match primary {
            KnownPrimary::Local => {}
            KnownPrimary::Remote(primary) => {
                return AdmissionStep::Respond(ChangeResponse::Redirect { primary });
            }
            KnownPrimary::Unknown => return AdmissionStep::Respond(ChangeResponse::Unavailable),
        }
        // These two are refused whatever the state is, so no majority needs to be asked.
        let Some(base) = self.request.base_revision else {
            return invalid("C07 X-Base-Revision is missing");
        };
        let Some(revision) = mosshead_config::peek_revision(self.request.body.as_ref()) else {
            let fault = Config::parse(self.request.body.as_ref()).err();
            return invalid(
                fault.map_or("M08 at revision: is missing".to_owned(), |fault| fault.to_string()),
            );
        };
        (self.base, self.revision) = (base, revision);
        if state
            .is_some_and(|state| state.classify_request(base, self.call()) == RequestStatus::AlreadyApplied)
        {
            return self.submit(Vec::new());
        }
        self.judge(self.local.clone().as_deref(), Certainty::Local)
    }

    /// Takes in the verdict on a [`AdmissionStep::ConfirmState`].
    pub fn on_state_confirmed(&mut self, verdict: ClientReply) -> AdmissionStep {
        let state = match verdict {
            ClientReply::CurrentState { state } => state,
            other => return unconfirmed(other),
        };
        match state.classify_request(self.base, self.call()) {
            RequestStatus::AlreadyApplied => {
                return AdmissionStep::Respond(ChangeResponse::Accepted { revision: self.revision });
            }
            RequestStatus::Expired => return AdmissionStep::Respond(ChangeResponse::Expired),
            RequestStatus::Acceptable | RequestStatus::Stale => {}
        }
        if self.base != state.revision {
            return AdmissionStep::Respond(ChangeResponse::Stale { current: state.revision });
        }
        let known = self.local.clone().filter(|config| config.revision == state.revision);
        let config = match known {
            None if state.revision > 0 => match read_beside(self.local.as_deref(), &state.body) {
                Ok(config) => Some(Arc::new(config)),
                Err(_) => return AdmissionStep::Respond(ChangeResponse::Unavailable),
            },
            known => known,
        };
        self.judge(config.as_deref(), Certainty::Confirmed)
    }

    /// Takes in the verdict on a [`AdmissionStep::Submit`].
    pub fn on_proposal_result(&self, verdict: ClientReply) -> ChangeResponse {
        match verdict {
            ClientReply::Committed { revision } => ChangeResponse::Accepted { revision },
            ClientReply::Stale { current_revision: current } => ChangeResponse::Stale { current },
            ClientReply::TooLarge => ChangeResponse::TooLarge,
            ClientReply::Expired => ChangeResponse::Expired,
            ClientReply::NotPrimary { primary: Some(primary) } => ChangeResponse::Redirect { primary },
            ClientReply::NotPrimary { primary: None }
            | ClientReply::Unavailable
            | ClientReply::CurrentState { .. } => ChangeResponse::Unavailable,
        }
    }

    fn judge(&self, config: Option<&Config>, certainty: Certainty) -> AdmissionStep {
        let current = config.map_or(0, |config| config.revision);
        if self.base != current {
            return self.refuse(ChangeResponse::Stale { current }, certainty);
        }
        let body = self.request.body.as_ref();
        let changed = match (self.request.kind, config) {
            (ChangeKind::Replace, current) => Config::parse_replacement(current, body),
            (ChangeKind::Modify, Some(current)) => current.modify(body),
            (ChangeKind::Modify, None) => {
                return self.refuse(ChangeResponse::Stale { current }, certainty);
            }
        };
        match changed {
            Ok(config) => self.submit(config.to_json().into_bytes()),
            Err(fault) => self.refuse(ChangeResponse::Invalid { reason: fault.to_string() }, certainty),
        }
    }

    /// A refusal by a state that nobody has confirmed waits for the confirmation.
    fn refuse(&self, answer: ChangeResponse, certainty: Certainty) -> AdmissionStep {
        let unconfirmed = self.injected == Some(InjectedFault::RejectFromLocalState);
        if certainty == Certainty::Confirmed || unconfirmed {
            AdmissionStep::Respond(answer)
        } else {
            AdmissionStep::ConfirmState
        }
    }

    fn submit(&self, body: Vec<u8>) -> AdmissionStep {
        let (base, revision, digest) = (self.base, self.revision, self.request.digest);
        AdmissionStep::Submit(ChangeProposal { base_revision: base, revision, body, digest })
    }

    fn call(&self) -> AppliedRequest {
        AppliedRequest { revision: self.revision, digest: self.request.digest }
    }
}

/// How a read-back is answered, by the verdict of the consensus state.
pub fn read_response(verdict: ClientReply) -> ReadResponse {
    match verdict {
        ClientReply::CurrentState { state } if state.revision > 0 => ReadResponse::Current(state),
        ClientReply::CurrentState { .. } => ReadResponse::Empty,
        ClientReply::NotPrimary { primary: Some(primary) } => ReadResponse::Redirect { primary },
        _ => ReadResponse::Unavailable,
    }
}

fn invalid(fault: impl Into<String>) -> AdmissionStep {
    AdmissionStep::Respond(ChangeResponse::Invalid { reason: fault.into() })
}

fn unconfirmed(verdict: ClientReply) -> AdmissionStep {
    AdmissionStep::Respond(match verdict {
        ClientReply::NotPrimary { primary: Some(primary) } => ChangeResponse::Redirect { primary },
        _ => ChangeResponse::Unavailable,
    })
}
