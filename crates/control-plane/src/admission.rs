//! Admission of an operator's change: decides whether it is proposed to consensus, and how it is answered.
//!
//! Invariant *rejections are confirmed*: a change is rejected as stale or invalid only on the basis of a
//! state that a quorum has confirmed after the change arrived. An accepted change costs no extra round trip,
//! since the write itself needs the quorum; a rejection costs one. A committed change is never rejected.

use core::net::SocketAddrV4;
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{AppliedRequest, ClientReply, ControlState, RequestDigest, RequestStatus};

use crate::config_offer::parse_config;
use crate::injected_fault::{Faults, InjectedFault};
use crate::response::{ChangeError, ChangeResponse};

/// The kind of a change: what its body contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The body is the complete new configuration.
    Replace,
    /// The body lists the items to remove and those to insert or replace.
    Modify,
}

/// An operator's change as it was received.
#[derive(Clone, Debug)]
pub struct OperatorChange<B> {
    /// The kind of the change.
    pub kind: ChangeKind,
    /// The revision that the change is based on, if the request names one.
    pub base_revision: Option<u64>,
    /// The body, not parsed yet.
    pub body: B,
    /// Identifies the request: a repeat of it has the same digest.
    pub digest: RequestDigest,
}

/// Which control node decides on changes, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryHint {
    /// This node, unless it has lost the role without noticing yet.
    Local,
    /// Another control node, by its internal address.
    Remote(SocketAddrV4),
    /// No primary is known.
    Unknown,
}

/// The next step of the host with a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Propose the change to consensus, then call [`ChangeAdmission::on_proposal_result`].
    Submit(ChangeProposal),
    /// Read the state with confirmation by a quorum, then call [`ChangeAdmission::on_state_confirmed`].
    ConfirmState,
    /// Respond to the operator.
    Respond(ChangeResponse),
}

/// A change to propose to consensus.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeProposal {
    /// The revision that the change is based on.
    pub base_revision: u64,
    /// The revision that the change creates.
    pub revision: u64,
    /// The complete new configuration as JSON; empty if the change is known to be already applied.
    pub body: Vec<u8>,
    /// Identifies the operator's request: a repeat of it has the same digest.
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

/// The revisions that a change names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Revisions {
    /// The revision that the change is based on.
    base: u64,
    /// The revision that the change creates.
    new: u64,
}

/// Origin of the state that a change is evaluated against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StateOrigin {
    /// The newest committed state that this node knows. It may be outdated.
    Local,
    /// A state that a quorum confirmed after the change arrived.
    Confirmed,
}

impl<B: AsRef<[u8]>> ChangeAdmission<B> {
    /// Starts the admission of a change. Returns the admission and its first step.
    ///
    /// `state` is the newest committed state that this node knows, `config` the configuration parsed from it.
    ///
    /// # Errors
    ///
    /// The response to the operator, if it does not depend on the state: this node is not the primary, or the
    /// change is invalid in every state, so that no quorum has to confirm the rejection.
    pub fn begin(
        request: OperatorChange<B>,
        primary: PrimaryHint,
        state: Option<&ControlState>,
        config: Option<Arc<Config>>,
    ) -> Result<(ChangeAdmission<B>, AdmissionStep), ChangeResponse> {
        Self::begin_with(request, primary, state, config, Faults::default())
    }

    /// Like [`ChangeAdmission::begin`], with a fault that a test injects.
    ///
    /// # Errors
    ///
    /// See [`ChangeAdmission::begin`].
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
            // Consensus recognizes the repeat, and replies that the change is committed.
            return self.submit(Vec::new());
        }
        self.evaluate(self.local_config.clone().as_deref(), StateOrigin::Local)
    }

    /// Handles the reply of consensus to an [`AdmissionStep::ConfirmState`].
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

    /// Handles the reply of consensus to an [`AdmissionStep::Submit`].
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

    /// Applies the change to a configuration and proposes the result. Rejects the change if it is invalid, or
    /// if it is based on another revision than that of `config` (0 for `None`). `origin` tells whether a
    /// quorum has confirmed `config`.
    fn evaluate(&self, config: Option<&Config>, origin: StateOrigin) -> AdmissionStep {
        let current_revision = config.map_or(0, |config| config.revision());
        if self.revisions.base != current_revision {
            return self.reject(ChangeResponse::Stale { current_revision }, origin);
        }
        let body = self.request.body.as_ref();
        let changed = match (self.request.kind, config) {
            (ChangeKind::Replace, current) => Config::parse_replacement(current, body),
            (ChangeKind::Modify, Some(current)) => current.modify(body),
            // There is no configuration to modify yet.
            (ChangeKind::Modify, None) => {
                return self.reject(ChangeResponse::Stale { current_revision }, origin);
            }
        };
        match changed {
            Ok(config) => self.submit(config.to_json().into_bytes()),
            Err(error) => self.reject(ChangeResponse::Invalid(error.into()), origin),
        }
    }

    /// Rejects the change. If no quorum has confirmed the state that it was evaluated against, the state has
    /// to be confirmed first.
    fn reject(&self, response: ChangeResponse, origin: StateOrigin) -> AdmissionStep {
        let skips_confirmation = self.faults.is_injected(InjectedFault::RejectFromLocalState);
        if origin == StateOrigin::Confirmed || skips_confirmation {
            respond(response)
        } else {
            AdmissionStep::ConfirmState
        }
    }

    /// Proposes the change with the complete new configuration `body`, which is empty if the change is known
    /// to be already applied.
    fn submit(&self, body: Vec<u8>) -> AdmissionStep {
        AdmissionStep::Submit(ChangeProposal {
            base_revision: self.revisions.base,
            revision: self.revisions.new,
            body,
            digest: self.request.digest,
        })
    }

    /// Returns the change as consensus records it after applying it.
    fn applied_request(&self) -> AppliedRequest {
        AppliedRequest { revision: self.revisions.new, digest: self.request.digest }
    }
}

/// Reads the revision that a change is based on, and the one that it creates.
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
