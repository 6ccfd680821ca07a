//! The checker detects each injected fault; most of them are faults of an earlier implementation. Faults that
//! only a scenario reveals are in `scenarios`.

use mosshead_consensus::InjectedFault as ConsensusFault;
use mosshead_control_plane::InjectedFault;

use crate::random_run;
use crate::simulation::InjectedFaults;

const MAX_RUNS: u64 = 400;

/// Asserts that random runs, starting at `first_seed`, detect the fault as a violation of one of these rules.
fn assert_found(first_seed: u64, faults: InjectedFaults, rules: &[&str]) {
    for seed in first_seed..first_seed + MAX_RUNS {
        if let Err(description) = random_run::run(seed, faults) {
            assert!(rules.iter().any(|rule| description.contains(rule)), "{faults:?}: {description:.300}");
            return println!("{faults:?}: {description:.200}");
        }
    }
    panic!("{faults:?} was not detected");
}

fn control(fault: InjectedFault) -> InjectedFaults {
    InjectedFaults { control: Some(fault), ..InjectedFaults::default() }
}

fn consensus(injected_fault: ConsensusFault) -> InjectedFaults {
    InjectedFaults { consensus: Some(injected_fault), ..InjectedFaults::default() }
}

/// Both sides must be faulty, since each one masks the fault of the other.
#[test]
fn configurations_served_without_quorum_contact_are_found() {
    let faults = InjectedFaults {
        control: Some(InjectedFault::ServeWithoutQuorum),
        proxy: Some(InjectedFault::FetchWithoutQuorum),
        ..InjectedFaults::default()
    };
    assert_found(100, faults, &["quorum contact:"]);
}

#[test]
fn unreplicated_acknowledgements_of_repeated_shutdowns_are_found() {
    assert_found(
        40,
        control(InjectedFault::AcknowledgeRepeatsUnchecked),
        &["unknown shutdown:", "acknowledged without quorum:"],
    );
}

#[test]
fn changes_committed_by_the_primary_alone_are_found() {
    assert_found(
        0,
        consensus(ConsensusFault::CommitWithoutBackups),
        &["lost change:", "conflict:", "rejected:", "outdated state:"],
    );
}

#[test]
fn uncommitted_states_that_are_published_are_found() {
    assert_found(
        1310,
        consensus(ConsensusFault::PublishUncommitted),
        &["lost change:", "conflict:", "rejected:"],
    );
}

#[test]
fn fencing_tokens_without_the_term_are_found() {
    let faults = InjectedFaults { token_without_term: true, ..InjectedFaults::default() };
    assert_found(0, faults, &["fencing token:"]);
}

#[test]
fn applied_requests_that_are_forgotten_are_found() {
    assert_found(0, consensus(ConsensusFault::ForgetAppliedRequests), &["rejected:"]);
}
