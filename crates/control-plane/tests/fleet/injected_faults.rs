//! Each fault that is built in, most of them the code as it was, is found by a checker. Those that only a scenario
//! finds are in `scenarios`.

use mosshead_consensus::InjectedFault as ConsensusFault;
use mosshead_control_plane::InjectedFault;

use crate::random_run;
use crate::simulation::Mutant;

const MOST_DAYS: u64 = 400;

/// Days from some seed on find the fault, and name the rule that it breaks.
fn finds(first: u64, mutant: Mutant, rules: &[&str]) {
    for seed in first..first + MOST_DAYS {
        if let Err(what) = random_run::play(seed, mutant) {
            assert!(rules.iter().any(|rule| what.contains(rule)), "{mutant:?}: {what:.300}");
            return println!("{mutant:?}: {what:.200}");
        }
    }
    panic!("{mutant:?} was not found");
}

fn control(fault: InjectedFault) -> Mutant {
    Mutant { control: Some(fault), ..Mutant::default() }
}

fn consensus(injected_fault: ConsensusFault) -> Mutant {
    Mutant { consensus: Some(injected_fault), ..Mutant::default() }
}

/// Both sides as they were; either alone is made harmless by the other.
#[test]
fn configurations_of_machines_out_of_touch() {
    let mutant = Mutant {
        control: Some(InjectedFault::ServeWithoutQuorum),
        proxy: Some(InjectedFault::FetchWithoutQuorum),
        ..Mutant::default()
    };
    finds(100, mutant, &["touch:"]);
}

#[test]
fn repeats_of_a_leaving_server_s_word_without_copies() {
    finds(40, control(InjectedFault::AcknowledgeRepeatsUnchecked), &["drain:", "acknowledged out of touch:"]);
}

#[test]
fn changes_acknowledged_by_the_primary_alone() {
    finds(0, consensus(ConsensusFault::CommitAlone), &["lost:", "winners:", "refused:", "old knowledge:"]);
}

#[test]
fn states_shown_before_they_are_committed() {
    finds(140, consensus(ConsensusFault::PublishUncommitted), &["lost:", "winners:", "refused:"]);
}

#[test]
fn orders_under_a_fence_that_is_not_the_ballot_s() {
    let mutant = Mutant { fence_without_ballot: true, ..Mutant::default() };
    finds(0, mutant, &["fence:"]);
}

#[test]
fn taken_calls_that_are_forgotten() {
    finds(0, consensus(ConsensusFault::ForgetAppliedRequests), &["refused:"]);
}
