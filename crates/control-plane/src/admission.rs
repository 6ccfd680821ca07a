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
use crate::injected_fault::{Faults, InjectedFault};
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
    revisions: Revisions,
    /// The newest configuration that this node knew when the change arrived.
    local_config: Option<Arc<Config>>,
    faults: Faults,
}

/// What a change says of its place among the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Revisions {
    /// The revision that it builds on.
    base: u64,
    /// The revision that it makes.
    new: u64,
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
    ///
    /// # Errors
    ///
    /// The response to the operator, where it depends on no state: this node is not the primary, or no state could make the
    /// change valid, so that no quorum needs to confirm the rejection.
    pub fn begin(
        request: OperatorChange<B>,
        primary: PrimaryHint,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
    ) -> Result<(ChangeAdmission<B>, AdmissionStep), ChangeResponse> {
        Self::begin_with(request, primary, state, config, Faults::default())
    }

    /// As [`ChangeAdmission::begin`], with a fault that a test injects.
    ///
    /// # Errors
    ///
    /// As for [`ChangeAdmission::begin`].
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn begin_with_injected_fault(
        request: OperatorChange<B>,
        primary: PrimaryHint,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
        injected_fault: Option<InjectedFault>,
    ) -> Result<(ChangeAdmission<B>, AdmissionStep), ChangeResponse> {
        Self::begin_with(request, primary, state, config, Faults::new(injected_fault))
    }

    fn begin_with(
        request: OperatorChange<B>,
        primary: PrimaryHint,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
        faults: Faults,
    ) -> Result<(ChangeAdmission<B>, AdmissionStep), ChangeResponse> {
        match primary {
            PrimaryHint::Local => {}
            PrimaryHint::Remote(primary) => return Err(ChangeResponse::Redirect { primary }),
            PrimaryHint::Unknown => return Err(ChangeResponse::Unavailable),
        }
        let revisions = read_revisions(&request).map_err(ChangeResponse::Invalid)?;
        let admission = ChangeAdmission { request, revisions, local_config: config, faults };
        let step = admission.first_step(state);
        Ok((admission, step))
    }

    fn first_step(&self, state: Option<&ControlState>) -> AdmissionStep {
        let status = state.map(|state| state.classify_request(self.revisions.base, self.applied_request()));
        if status == Some(RequestStatus::AlreadyApplied) {
            return self.submit(Vec::new());
        }
        self.evaluate(self.local_config.clone().as_deref(), StateOrigin::Local)
    }

    /// Takes in the reply to an [`AdmissionStep::ConfirmState`].
    pub fn on_state_confirmed(&self, reply: ClientReply) -> AdmissionStep {
        let state = match reply {
            ClientReply::CurrentState { state } => state,
            ClientReply::NotPrimary { primary: Some(primary) } => {
                return respond(ChangeResponse::Redirect { primary });
            }
            _ => return respond(ChangeResponse::Unavailable),
        };
        match state.classify_request(self.revisions.base, self.applied_request()) {
            RequestStatus::AlreadyApplied => {
                return respond(ChangeResponse::Accepted { revision: self.revisions.new });
            }
            RequestStatus::Expired => return respond(ChangeResponse::Expired),
            RequestStatus::Acceptable | RequestStatus::Stale => {}
        }
        if self.revisions.base != state.revision {
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
        if self.revisions.base != current_revision {
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
        let is_unchecked = self.faults.include(InjectedFault::RejectFromLocalState);
        if origin == StateOrigin::Confirmed || is_unchecked {
            respond(response)
        } else {
            AdmissionStep::ConfirmState
        }
    }

    /// Proposes the change with the complete new configuration `body`.
    fn submit(&self, body: Vec<u8>) -> AdmissionStep {
        AdmissionStep::Submit(ChangeProposal {
            base_revision: self.revisions.base,
            revision: self.revisions.new,
            body,
            digest: self.request.digest,
        })
    }

    /// The change as consensus remembers it once it is applied.
    fn applied_request(&self) -> AppliedRequest {
        AppliedRequest { revision: self.revisions.new, digest: self.request.digest }
    }
}

/// Reads which revision a change builds on, and which one it makes.
fn read_revisions<B: AsRef<[u8]>>(request: &OperatorChange<B>) -> Result<Revisions, ChangeError> {
    let base = request.base_revision.ok_or(ChangeError::MissingBaseRevision)?;
    let body = request.body.as_ref();
    let Some(new) = mosshead_config::peek_revision(body) else {
        let error = Config::parse(body).err();
        return Err(error.map_or(ChangeError::MissingRevision, ChangeError::Config));
    };
    Ok(Revisions { base, new })
}

fn respond(response: ChangeResponse) -> AdmissionStep {
    AdmissionStep::Respond(response)
}
