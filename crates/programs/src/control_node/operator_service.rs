//! Processes the operator's changes and reads of the configuration.

use std::rc::Rc;

use bytes::Bytes;
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeResponse, OperatorChange, PrimaryHint, ReadResponse, read_response,
};

use super::config_store::ConfigStore;
use super::consensus_host::ConsensusHost;

/// Admits changes of the configuration, and reads it.
pub(super) struct OperatorService {
    consensus: Rc<ConsensusHost>,
    configs: Rc<ConfigStore>,
}

impl OperatorService {
    pub(super) fn new(consensus: Rc<ConsensusHost>, configs: Rc<ConfigStore>) -> OperatorService {
        OperatorService { consensus, configs }
    }

    /// Processes a change. Returns once it is committed or rejected, or its outcome is unknown.
    pub(super) async fn change(&self, request: OperatorChange<Bytes>) -> ChangeResponse {
        let (state, config) = (self.consensus.committed_state(), self.configs.current());
        let primary = self.consensus.known_primary();
        let (admission, mut step) = match ChangeAdmission::begin(request, primary, state.as_ref(), config) {
            Ok(begun) => begun,
            Err(response) => return response,
        };
        loop {
            step = match step {
                AdmissionStep::Respond(response) => return response,
                AdmissionStep::ConfirmState => {
                    admission.on_state_confirmed(self.consensus.read_confirmed().await)
                }
                AdmissionStep::Submit(proposal) => {
                    let reply = self.consensus.submit_change(proposal).await;
                    AdmissionStep::Respond(admission.on_proposal_result(reply))
                }
            };
        }
    }

    /// Reads the configuration, after a quorum has confirmed it.
    pub(super) async fn read(&self) -> ReadResponse {
        match self.consensus.known_primary() {
            PrimaryHint::Local => read_response(self.consensus.read_confirmed().await),
            PrimaryHint::Remote(primary) => ReadResponse::Redirect { primary },
            PrimaryHint::Unknown => ReadResponse::Unavailable,
        }
    }
}
