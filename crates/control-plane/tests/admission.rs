//! How an operator's change is answered: refusals only by a state that a majority has confirmed.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use mosshead_config::Config;
use mosshead_consensus::{AppliedRequest, ClientReply, ControlState, DEDUPLICATION_WINDOW, RequestDigest};
use mosshead_control_plane::InjectedFault;
use mosshead_control_plane::{
    AdmissionStep, ChangeAdmission, ChangeKind, ChangeRequest, ChangeResponse, KnownPrimary, ReadResponse,
    read_response,
};
use quickcheck::quickcheck;

/// The number that stands for the call under test.
const CALL: u64 = 77;
const DIGEST: RequestDigest = digest(CALL);

/// A digest of its own for each number.
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

/// The state that the call of this number made under this revision.
fn state(revision: u64, call: u64) -> ControlState {
    let taken: Arc<[AppliedRequest]> = Arc::from([AppliedRequest { revision, digest: digest(call) }]);
    let body = text(revision).into_bytes().into();
    ControlState { revision, body, applied_requests: taken, ..ControlState::default() }
}

fn request(kind: ChangeKind, base: Option<u64>, body: &str) -> ChangeRequest<Vec<u8>> {
    ChangeRequest { kind, base_revision: base, body: body.as_bytes().to_vec(), digest: DIGEST }
}

fn replace(base: u64, revision: u64) -> ChangeRequest<Vec<u8>> {
    request(ChangeKind::Replace, Some(base), &text(revision))
}

/// Begins at a machine that believes to lead and knows this state.
fn begin(
    request: ChangeRequest<Vec<u8>>,
    known: Option<&ControlState>,
    injected: Option<InjectedFault>,
) -> (ChangeAdmission<Vec<u8>>, AdmissionStep) {
    let config = known.map(|state| Arc::new(Config::parse(&state.body).expect("a configuration")));
    ChangeAdmission::begin(request, KnownPrimary::Local, known, config, injected)
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
fn a_proper_change_needs_no_confirmation_of_its_own() {
    let (admission, step) = begin(replace(5, 6), Some(&state(5, 1)), None);
    let AdmissionStep::Submit(submission) = step else { panic!("{step:?}") };
    assert_eq!((submission.base_revision, submission.revision, submission.digest), (5, 6, DIGEST));
    assert_eq!(submission.body, text(6).into_bytes());
    assert_eq!(
        admission.on_proposal_result(ClientReply::Committed { revision: 6 }),
        ChangeResponse::Accepted { revision: 6 }
    );
    assert_eq!(admission.on_proposal_result(ClientReply::TooLarge), ChangeResponse::TooLarge);
}

#[test]
fn the_first_change_is_submitted_where_nothing_is_known() {
    let (_, step) = begin(replace(0, 1), None, None);
    assert!(matches!(step, AdmissionStep::Submit(_)), "{step:?}");
}

#[test]
fn a_stale_base_is_refused_only_by_the_confirmed_state() {
    let known = state(5, 1);
    let (mut admission, step) = begin(replace(7, 8), Some(&known), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    assert_eq!(admission.on_state_confirmed(current(&state(9, 2))), stale(9));
}

#[test]
fn what_old_knowledge_calls_stale_is_taken_by_the_newer_state() {
    let (mut admission, step) = begin(replace(7, 8), Some(&state(5, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    let step = admission.on_state_confirmed(current(&state(7, 2)));
    let AdmissionStep::Submit(submission) = step else { panic!("{step:?}") };
    assert_eq!((submission.base_revision, submission.body), (7, text(8).into_bytes()));
}

#[test]
fn a_repeat_of_what_the_others_have_taken_is_accepted() {
    let (mut admission, step) = begin(replace(5, 8), Some(&state(4, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    let step = admission.on_state_confirmed(current(&state(8, CALL)));
    assert_eq!(step, AdmissionStep::Respond(ChangeResponse::Accepted { revision: 8 }));
}

#[test]
fn a_repeat_of_what_is_known_here_is_confirmed_by_the_consensus_state() {
    let (admission, step) = begin(replace(5, 8), Some(&state(8, CALL)), None);
    let AdmissionStep::Submit(submission) = step else { panic!("{step:?}") };
    assert!(submission.body.is_empty());
    assert_eq!(
        admission.on_proposal_result(ClientReply::Committed { revision: 8 }),
        ChangeResponse::Accepted { revision: 8 }
    );
    assert_eq!(admission.on_proposal_result(ClientReply::Unavailable), ChangeResponse::Unavailable);
}

#[test]
fn an_invalid_change_is_refused_only_by_the_confirmed_state() {
    let bad = request(ChangeKind::Replace, Some(5), r#"{"revision":6,"route_entries":4}"#);
    let (mut admission, step) = begin(bad.clone(), Some(&state(5, 1)), None);
    assert_eq!(step, AdmissionStep::ConfirmState);
    assert!(is_invalid(&admission.on_state_confirmed(current(&state(5, 1)))));
    let (mut admission, _) = begin(bad, Some(&state(5, 1)), None);
    assert_eq!(admission.on_state_confirmed(current(&state(6, 2))), stale(6));
}

#[test]
fn an_unconfirmed_refusal_is_no_answer() {
    let elsewhere = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
    let answers = [
        (ClientReply::Unavailable, ChangeResponse::Unavailable),
        (ClientReply::NotPrimary { primary: None }, ChangeResponse::Unavailable),
        (
            ClientReply::NotPrimary { primary: Some(elsewhere) },
            ChangeResponse::Redirect { primary: elsewhere },
        ),
    ];
    for (verdict, answer) in answers {
        let (mut admission, _) = begin(replace(7, 8), Some(&state(5, 1)), None);
        assert_eq!(admission.on_state_confirmed(verdict), AdmissionStep::Respond(answer));
    }
}

#[test]
fn a_call_older_than_what_is_remembered_is_left_without_a_clear_answer() {
    let calls =
        (0..DEDUPLICATION_WINDOW as u64).map(|at| AppliedRequest { revision: 100 + at, digest: digest(at) });
    let newest = 99 + DEDUPLICATION_WINDOW as u64;
    let remembered =
        ControlState { applied_requests: calls.collect(), highest_expired_revision: 99, ..state(newest, 1) };
    let (mut admission, _) = begin(replace(98, 99), Some(&remembered), None);
    assert_eq!(
        admission.on_state_confirmed(current(&remembered)),
        AdmissionStep::Respond(ChangeResponse::Expired)
    );
    let (mut admission, _) = begin(replace(99, 100), Some(&remembered), None);
    assert_eq!(admission.on_state_confirmed(current(&remembered)), stale(newest));
}

#[test]
fn who_does_not_lead_judges_nothing() {
    let other = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7);
    for (leader, answer) in [
        (KnownPrimary::Unknown, ChangeResponse::Unavailable),
        (KnownPrimary::Remote(other), ChangeResponse::Redirect { primary: other }),
    ] {
        let bad = request(ChangeKind::Replace, None, "no JSON");
        let (_, step) = ChangeAdmission::begin(bad, leader, None, None, None);
        assert_eq!(step, AdmissionStep::Respond(answer));
    }
}

#[test]
fn what_no_state_could_make_valid_is_refused_at_once() {
    for request in [
        request(ChangeKind::Replace, None, &text(6)),
        request(ChangeKind::Replace, Some(5), "no JSON"),
        request(ChangeKind::Modify, Some(5), "{}"),
    ] {
        let (_, step) = begin(request, Some(&state(5, 1)), None);
        assert!(is_invalid(&step), "{step:?}");
    }
}

/// The code as it was: the first lead of point 1.
#[test]
fn the_former_refusals_by_local_state_are_found() {
    let injected = Some(InjectedFault::RejectFromLocalState);
    assert_eq!(begin(replace(7, 8), Some(&state(5, 1)), injected).1, stale(5));
    let bad = request(ChangeKind::Replace, Some(5), r#"{"revision":6,"route_entries":4}"#);
    assert!(is_invalid(&begin(bad, Some(&state(5, 1)), injected).1));
}

#[test]
fn a_read_back_tells_what_a_majority_has_confirmed() {
    assert_eq!(read_response(current(&state(5, 1))), ReadResponse::Current(state(5, 1)));
    assert_eq!(read_response(current(&ControlState::default())), ReadResponse::Empty);
    assert_eq!(read_response(ClientReply::Unavailable), ReadResponse::Unavailable);
}

quickcheck! {
    /// Whatever the machine knew and the others confirm: a change that they have taken is never refused, and what is
    /// refused is refused by what they have confirmed.
    fn refusals_tell_the_confirmed_state(base: u8, known: u8, confirmed: u8, taken: bool) -> bool {
        let (base, known, confirmed) = (u64::from(base), u64::from(known), u64::from(confirmed).max(1));
        let confirmed = state(confirmed, if taken { CALL } else { 1 });
        let call = replace(base, if taken { confirmed.revision } else { base + 1 });
        let known = (known > 0).then(|| state(known, 1));
        let (mut admission, mut step) = begin(call, known.as_ref(), None);
        if step == AdmissionStep::ConfirmState {
            step = admission.on_state_confirmed(current(&confirmed));
        }
        match step {
            AdmissionStep::Respond(ChangeResponse::Accepted { .. }) => taken,
            AdmissionStep::Respond(ChangeResponse::Stale { current_revision: current }) => !taken && current == confirmed.revision && base != current,
            AdmissionStep::Submit(_) => true,
            _ => false,
        }
    }

    fn any_bytes_do_no_harm(body: Vec<u8>, base: Option<u64>) -> bool {
        let call = ChangeRequest { kind: ChangeKind::Modify, base_revision: base, body, digest: DIGEST };
        let (mut admission, _) = begin(call, Some(&state(5, 1)), None);
        let _ = admission.on_state_confirmed(current(&state(6, 1)));
        true
    }
}
