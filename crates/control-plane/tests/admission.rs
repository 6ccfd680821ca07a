//! Responses to an operator's change: a rejection is based only on a state that a quorum has confirmed.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{AppliedRequest, ClientReply, ControlState, DEDUPLICATION_WINDOW, RequestDigest};
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeKind, ChangeResponse, InjectedFault, OperatorChange, PrimaryHint,
    ReadResponse, read_response,
};
use quickcheck::quickcheck;

/// The number from which the digest of the tested request is made.
const REQUEST: u64 = 77;
const DIGEST: RequestDigest = digest(REQUEST);

/// A distinct digest for each number.
const fn digest(number: u64) -> RequestDigest {
    let mut bytes = [0; 32];
    let number = number.to_be_bytes();
    let mut at = 0;
    while at < number.len() {
        bytes[at] = number[at];
        at += 1;
    }
    RequestDigest(bytes)
}

fn text(revision: u64) -> String {
    format!(r#"{{"revision":{revision},"route_entries":[],"backend_services":[]}}"#)
}

/// The state of this revision, which the request with this number created.
fn state(revision: u64, request: u64) -> ControlState {
    let applied_requests: Arc<[AppliedRequest]> =
        Arc::from([AppliedRequest { revision, digest: digest(request) }]);
    let body = text(revision).into_bytes().into();
    ControlState { revision, body, applied_requests, ..ControlState::default() }
}

fn request(kind: ChangeKind, base: Option<u64>, body: &str) -> OperatorChange<Vec<u8>> {
    OperatorChange { kind, base_revision: base, body: body.as_bytes().to_vec(), digest: DIGEST }
}

fn replace(base: u64, revision: u64) -> OperatorChange<Vec<u8>> {
    request(ChangeKind::Replace, Some(base), &text(revision))
}

/// Begins the admission at a control node that considers itself primary and knows this state.
fn begin(
    request: OperatorChange<Vec<u8>>,
    known: Option<&ControlState>,
    injected: Option<InjectedFault>,
) -> (ChangeAdmission<Vec<u8>>, AdmissionStep) {
    let config = known.map(|state| Arc::new(Config::parse(&state.body).expect("a configuration")));
    let begun =
        ChangeAdmission::begin_with_injected_fault(request, PrimaryHint::Local, known, config, injected);
    begun.expect("the response depends on the state")
}

/// Returns the response to a change, if it does not depend on the state.
fn first_response(request: OperatorChange<Vec<u8>>, primary: PrimaryHint) -> Option<ChangeResponse> {
    let known = state(5, 1);
    let config = Arc::new(Config::parse(&known.body).expect("a configuration"));
    ChangeAdmission::begin(request, primary, Some(&known), Some(config)).err()
}

fn current(state: &ControlState) -> ClientReply {
    ClientReply::CurrentState { state: state.clone() }
}

fn stale(current: u64) -> AdmissionStep {
    AdmissionStep::Respond(ChangeResponse::Stale { current_revision: current })
}

fn is_invalid(step: &AdmissionStep) -> bool {
    matches!(step, AdmissionStep::Respond(ChangeResponse::Invalid { .. }))
}

#[test]
fn a_valid_change_is_submitted_without_confirmation() {
    let (admission, step) = begin(replace(5, 6), Some(&state(5, 1)), None);
    let AdmissionStep::Submit(proposal) = step else { panic!("{step:?}") };
    assert_eq!((proposal.base_revision, proposal.revision, proposal.digest), (5, 6, DIGEST));
    assert_eq!(proposal.body, text(6).into_bytes());
    assert_eq!(
        admission.on_proposal_result(ClientReply::ChangeCommitted { revision: 6 }),
        ChangeResponse::Accepted { revision: 6 }
    );
    assert_eq!(admission.on_proposal_result(ClientReply::TooLarge), ChangeResponse::TooLarge);
}

#[test]
fn the_first_change_is_submitted_without_a_known_state() {
    let (_, step) = begin(replace(0, 1), None, None);
    assert!(matches!(step, AdmissionStep::Submit(_)), "{step:?}");
}

#[test]
fn a_stale_base_is_rejected_only_by_a_confirmed_state() {
    let known = state(5, 1);
    let (admission, step) = begin(replace(7, 8), Some(&known), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    assert_eq!(admission.on_state_confirmed(current(&state(9, 2))), stale(9));
}

#[test]
fn a_base_newer_than_the_local_state_is_accepted_by_the_confirmed_state() {
    let (admission, step) = begin(replace(7, 8), Some(&state(5, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    let step = admission.on_state_confirmed(current(&state(7, 2)));
    let AdmissionStep::Submit(proposal) = step else { panic!("{step:?}") };
    assert_eq!((proposal.base_revision, proposal.body), (7, text(8).into_bytes()));
}

#[test]
fn a_repeat_of_a_change_applied_elsewhere_is_accepted() {
    let (admission, step) = begin(replace(5, 8), Some(&state(4, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    let step = admission.on_state_confirmed(current(&state(8, REQUEST)));
    assert_eq!(step, AdmissionStep::Respond(ChangeResponse::Accepted { revision: 8 }));
}

#[test]
fn a_repeat_of_a_locally_known_change_is_confirmed_by_consensus() {
    let (admission, step) = begin(replace(5, 8), Some(&state(8, REQUEST)), None);
    let AdmissionStep::Submit(proposal) = step else { panic!("{step:?}") };
    assert!(proposal.body.is_empty());
    assert_eq!(
        admission.on_proposal_result(ClientReply::ChangeCommitted { revision: 8 }),
        ChangeResponse::Accepted { revision: 8 }
    );
    assert_eq!(admission.on_proposal_result(ClientReply::Unavailable), ChangeResponse::Unavailable);
}

#[test]
fn an_invalid_change_is_rejected_only_by_a_confirmed_state() {
    let bad = request(ChangeKind::Replace, Some(5), r#"{"revision":6,"route_entries":4}"#);
    let (admission, step) = begin(bad.clone(), Some(&state(5, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    assert!(is_invalid(&admission.on_state_confirmed(current(&state(5, 1)))));
    let (admission, _) = begin(bad, Some(&state(5, 1)), None);
    assert_eq!(admission.on_state_confirmed(current(&state(6, 2))), stale(6));
}

#[test]
fn without_confirmation_nothing_is_rejected() {
    let other = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
    let responses = [
        (ClientReply::Unavailable, ChangeResponse::Unavailable),
        (ClientReply::NotPrimary { primary: None }, ChangeResponse::Unavailable),
        (ClientReply::NotPrimary { primary: Some(other) }, ChangeResponse::Redirect { primary: other }),
    ];
    for (reply, response) in responses {
        let (admission, _) = begin(replace(7, 8), Some(&state(5, 1)), None);
        assert_eq!(admission.on_state_confirmed(reply), AdmissionStep::Respond(response));
    }
}

#[test]
fn a_request_older_than_the_deduplication_window_is_answered_as_expired() {
    let calls =
        (0..DEDUPLICATION_WINDOW as u64).map(|at| AppliedRequest { revision: 100 + at, digest: digest(at) });
    let newest = 99 + DEDUPLICATION_WINDOW as u64;
    let remembered =
        ControlState { applied_requests: calls.collect(), highest_expired_revision: 99, ..state(newest, 1) };
    let (admission, _) = begin(replace(98, 99), Some(&remembered), None);
    assert_eq!(
        admission.on_state_confirmed(current(&remembered)),
        AdmissionStep::Respond(ChangeResponse::Expired)
    );
    let (admission, _) = begin(replace(99, 100), Some(&remembered), None);
    assert_eq!(admission.on_state_confirmed(current(&remembered)), stale(newest));
}

#[test]
fn a_node_that_is_not_primary_redirects_or_reports_unavailable() {
    let other = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
    for (primary, response) in [
        (PrimaryHint::Unknown, ChangeResponse::Unavailable),
        (PrimaryHint::Remote(other), ChangeResponse::Redirect { primary: other }),
    ] {
        let bad = request(ChangeKind::Replace, None, "no JSON");
        assert_eq!(first_response(bad, primary), Some(response));
    }
}

#[test]
fn a_change_invalid_in_any_state_is_rejected_at_once() {
    for request in [
        request(ChangeKind::Replace, None, &text(6)),
        request(ChangeKind::Replace, Some(5), "no JSON"),
        request(ChangeKind::Modify, Some(5), "{}"),
    ] {
        let response = first_response(request, PrimaryHint::Local);
        assert!(matches!(response, Some(ChangeResponse::Invalid { .. })), "{response:?}");
    }
}

/// An earlier implementation had this fault.
#[test]
fn the_injected_fault_rejects_changes_by_the_local_state() {
    let injected = Some(InjectedFault::RejectFromLocalState);
    assert_eq!(begin(replace(7, 8), Some(&state(5, 1)), injected).1, stale(5));
    let bad = request(ChangeKind::Replace, Some(5), r#"{"revision":6,"route_entries":4}"#);
    assert!(is_invalid(&begin(bad, Some(&state(5, 1)), injected).1));
}

#[test]
fn a_read_back_returns_the_state_that_a_quorum_confirmed() {
    assert_eq!(read_response(current(&state(5, 1))), ReadResponse::Current(state(5, 1)));
    assert_eq!(read_response(current(&ControlState::default())), ReadResponse::Empty);
    assert_eq!(read_response(ClientReply::Unavailable), ReadResponse::Unavailable);
}

quickcheck! {
    /// Whatever state the node knows and the quorum confirms: an applied change is never rejected, and a
    /// rejection reports the confirmed state.
    fn rejections_report_the_confirmed_state(base: u8, known: u8, confirmed: u8, is_applied: bool) -> bool {
        let (base, known, confirmed) = (u64::from(base), u64::from(known), u64::from(confirmed).max(1));
        let confirmed = state(confirmed, if is_applied { REQUEST } else { 1 });
        let request = replace(base, if is_applied { confirmed.revision } else { base + 1 });
        let known = (known > 0).then(|| state(known, 1));
        let (admission, mut step) = begin(request, known.as_ref(), None);
        if step == AdmissionStep::ConfirmState {
            step = admission.on_state_confirmed(current(&confirmed));
        }
        match step {
            AdmissionStep::Respond(ChangeResponse::Accepted { .. }) => is_applied,
            AdmissionStep::Respond(ChangeResponse::Stale { current_revision: current }) => !is_applied && current == confirmed.revision && base != current,
            AdmissionStep::Submit(_) => true,
            _ => false,
        }
    }

    fn arbitrary_bodies_are_admitted_without_panic(body: Vec<u8>, base: Option<u64>) -> bool {
        let request = OperatorChange { kind: ChangeKind::Modify, base_revision: base, body, digest: DIGEST };
        if let Ok((admission, _)) = ChangeAdmission::begin(request, PrimaryHint::Local, Some(&state(5, 1)), None) {
            let _ = admission.on_state_confirmed(current(&state(6, 1)));
        }
        true
    }
}
