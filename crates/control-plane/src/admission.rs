//! Admission of an operator's change: whether it is proposed to consensus, and what the response is.
//!
//! Invariant *rejections are confirmed*: a change is rejected as stale or invalid only by a state that a quorum has
//! confirmed after the change arrived. A change that is accepted costs no extra round trip, since the write itself needs
//! the quorum; a rejection costs one. A change that was committed is never rejected.

use core::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{AppliedRequest, ClientReply, ControlState, RequestDigest, RequestStatus};

use crate::config_offer::parse_config;
use crate::injected_fault::InjectedFault;
use crate::response::{ChangeError, ChangeResponse};

/// What the body of a change contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The body is the complete new configuration.
    Replace,
    /// The body lists the items to remove and to put in.
    Modify,
}

/// An operator's change as it arrived.
#[derive(Clone, Debug)]
pub struct OperatorChange<B> {
    /// What the body contains.
    pub kind: ChangeKind,
    /// The revision that it builds on, if the call names one.
    pub base_revision: Option<u64>,
    /// The body, not parsed yet.
    pub body: B,
    /// Distinguishes a repeat of this call from another call.
    pub digest: RequestDigest,
}

/// Who decides on changes, as far as this control node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryHint {
    /// This node, unless it has lost the role without knowing yet.
    Local,
    /// Another control node, by its internal address.
    Remote(SocketAddrV4),
    /// No primary is known.
    Unknown,
}

/// What the host does next with a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Propose the change to consensus, then call [`ChangeAdmission::on_proposal_result`].
    Submit(ChangeProposal),
    /// Read the state that a quorum confirms, then call [`ChangeAdmission::on_state_confirmed`].
    ConfirmState,
    /// Respond to the operator.
    Respond(ChangeResponse),
}

/// A change to propose to consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeProposal {
    /// The revision that it builds on.
    pub base_revision: u64,
    /// The revision that it makes.
    pub revision: u64,
    /// The complete new configuration as JSON; empty if the change is known to be applied already.
    pub body: Vec<u8>,
    /// Distinguishes a repeat of the call from another call.
    pub digest: RequestDigest,
}

/// The admission of one change, from its arrival to the response.
#[derive(Clone, Debug)]
pub struct ChangeAdmission<B> {
    request: OperatorChange<B>,
    /// The revision that the change builds on; 0 until the first step has read it.
    base_revision: u64,
    /// The revision that the change makes; 0 until the first step has read it.
    revision: u64,
    /// The newest configuration that this node knew when the change arrived.
    local_config: Option<Arc<Config>>,
    injected_fault: Option<InjectedFault>,
}

/// Whether the state that a change is evaluated against may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateOrigin {
    /// This node's newest committed state, which may be outdated.
    Local,
    /// A quorum has confirmed it after the change arrived.
    Confirmed,
}

impl<B: AsRef<[u8]>> ChangeAdmission<B> {
    /// Starts the admission of a change. Returns it with its first step.
    ///
    /// `state` is the newest committed state that this node knows, `config` the configuration parsed from it.
    pub fn begin(
        request: OperatorChange<B>,
        primary: PrimaryHint,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
        injected_fault: Option<InjectedFault>,
    ) -> (ChangeAdmission<B>, AdmissionStep) {
        let mut admission =
            ChangeAdmission { request, base_revision: 0, revision: 0, local_config: config, injected_fault };
        let step = admission.first_step(primary, state);
        (admission, step)
    }

    fn first_step(&mut self, primary: PrimaryHint, state: Option<&ControlState>) -> AdmissionStep {
        match primary {
            PrimaryHint::Local => {}
            PrimaryHint::Remote(primary) => return respond(ChangeResponse::Redirect { primary }),
            PrimaryHint::Unknown => return respond(ChangeResponse::Unavailable),
        }
        // No state could make such a change valid, so no quorum needs to confirm the rejection.
        if let Err(error) = self.read_revisions() {
            return respond(ChangeResponse::Invalid(error));
        }
        let status = state.map(|state| state.classify_request(self.base_revision, self.applied_request()));
        if status == Some(RequestStatus::AlreadyApplied) {
            return self.submit(Vec::new());
        }
        self.evaluate(self.local_config.clone().as_deref(), StateOrigin::Local)
    }

    /// Reads which revision the change builds on, and which one it makes.
    fn read_revisions(&mut self) -> Result<(), ChangeError> {
        let base_revision = self.request.base_revision.ok_or(ChangeError::MissingBaseRevision)?;
        let body = self.request.body.as_ref();
        let Some(revision) = mosshead_config::peek_revision(body) else {
            let error = Config::parse(body).err();
            return Err(error.map_or(ChangeError::MissingRevision, ChangeError::Config));
        };
        (self.base_revision, self.revision) = (base_revision, revision);
        Ok(())
    }

    /// Takes in the reply to an [`AdmissionStep::ConfirmState`].
    pub fn on_state_confirmed(&mut self, reply: ClientReply) -> AdmissionStep {
        let state = match reply {
            ClientReply::CurrentState { state } => state,
            ClientReply::NotPrimary { primary: Some(primary) } => {
                return respond(ChangeResponse::Redirect { primary });
            }
            _ => return respond(ChangeResponse::Unavailable),
        };
        match state.classify_request(self.base_revision, self.applied_request()) {
            RequestStatus::AlreadyApplied => {
                return respond(ChangeResponse::Accepted { revision: self.revision });
            }
            RequestStatus::Expired => return respond(ChangeResponse::Expired),
            RequestStatus::Acceptable | RequestStatus::Stale => {}
        }
        if self.base_revision != state.revision {
            return respond(ChangeResponse::Stale { current_revision: state.revision });
        }
        let known = self.local_config.clone().filter(|config| config.revision() == state.revision);
        let config = match known {
            None if state.revision > 0 => match parse_config(self.local_config.as_deref(), &state.body) {
                Ok(config) => Some(Arc::new(config)),
                Err(_) => return respond(ChangeResponse::Unavailable),
            },
            known => known,
        };
        self.evaluate(config.as_deref(), StateOrigin::Confirmed)
    }

    /// Takes in the reply to an [`AdmissionStep::Submit`].
    pub fn on_proposal_result(&self, reply: ClientReply) -> ChangeResponse {
        match reply {
            ClientReply::ChangeCommitted { revision } => ChangeResponse::Accepted { revision },
            ClientReply::Stale { current_revision } => ChangeResponse::Stale { current_revision },
            ClientReply::TooLarge => ChangeResponse::TooLarge,
            ClientReply::Expired => ChangeResponse::Expired,
            ClientReply::NotPrimary { primary: Some(primary) } => ChangeResponse::Redirect { primary },
            ClientReply::NotPrimary { primary: None }
            | ClientReply::Unavailable
            | ClientReply::CurrentState { .. } => ChangeResponse::Unavailable,
        }
    }

    /// Applies the change to a configuration, which has to be of the revision that it builds on: proposes the result, or
    /// rejects the change. `origin` says whether a quorum has confirmed `config`.
    fn evaluate(&self, config: Option<&Config>, origin: StateOrigin) -> AdmissionStep {
        let current_revision = config.map_or(0, |config| config.revision());
        if self.base_revision != current_revision {
            return self.reject(ChangeResponse::Stale { current_revision }, origin);
        }
        let body = self.request.body.as_ref();
        let changed = match (self.request.kind, config) {
            (ChangeKind::Replace, current) => Config::parse_replacement(current, body),
            (ChangeKind::Modify, Some(current)) => current.modify(body),
            (ChangeKind::Modify, None) => {
                return self.reject(ChangeResponse::Stale { current_revision }, origin);
            }
        };
        match changed {
            Ok(config) => self.submit(config.to_json().into_bytes()),
            Err(error) => self.reject(ChangeResponse::Invalid(error.into()), origin),
        }
    }

    /// A rejection by a state that no quorum has confirmed waits for the confirmation.
    fn reject(&self, response: ChangeResponse, origin: StateOrigin) -> AdmissionStep {
        let is_unchecked = self.injected_fault == Some(InjectedFault::RejectFromLocalState);
        if origin == StateOrigin::Confirmed || is_unchecked {
            respond(response)
        } else {
            AdmissionStep::ConfirmState
        }
    }

    /// Proposes the change with the complete new configuration `body`.
    fn submit(&self, body: Vec<u8>) -> AdmissionStep {
        AdmissionStep::Submit(ChangeProposal {
            base_revision: self.base_revision,
            revision: self.revision,
            body,
            digest: self.request.digest,
        })
    }

    /// The change as consensus remembers it once it is applied.
    fn applied_request(&self) -> AppliedRequest {
        AppliedRequest { revision: self.revision, digest: self.request.digest }
    }
}

fn respond(response: ChangeResponse) -> AdmissionStep {
    AdmissionStep::Respond(response)
}
