//! The steps from one state of the world to the next, and the checked properties.

use mosshead_lease::{Event, InactiveReason, LeaseState};
use stateright::{Model, Property};

use crate::scenario::Scenario;
use crate::world::World;

pub(crate) const ONE_PERMIT: &str = "at most one member may act";
pub(crate) const NO_OLDER_TOKEN: &str = "no act under an older token follows one under a newer token";
pub(crate) const ACTS: &str = "a member acts";

/// A step. Numbers are member indices.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    AdvanceTime,
    /// The store serves a member's oldest call.
    ServeCall(usize),
    DeliverResponse(usize),
    DeliverWatchReport(usize),
    /// The response to a member's oldest call is lost.
    LoseResponse {
        index: usize,
        is_executed: bool,
    },
    Suspend(usize),
    Resume(usize),
    CheckPermit(usize),
    Act(usize),
    RestoreStore,
    RaiseEpoch,
    BreakWatch(usize),
    Leave(usize),
    Join(usize),
}

impl Scenario {
    fn member_steps(&self, world: &World, index: usize, steps: &mut Vec<Step>) {
        let (member, faults) = (&world.members[index], world.faults);
        if !member.calls.is_empty() {
            steps.push(Step::ServeCall(index));
            if faults.lost_responses > 0 {
                steps.extend([true, false].map(|is_executed| Step::LoseResponse { index, is_executed }));
            }
        }
        if member.is_watching && faults.watch_gaps > 0 {
            steps.push(Step::BreakWatch(index));
        }
        if member.is_suspended {
            return steps.push(Step::Resume(index));
        }
        if !member.responses.is_empty() {
            steps.push(Step::DeliverResponse(index));
        }
        if !member.watch_reports.is_empty() {
            steps.push(Step::DeliverWatchReport(index));
        }
        let now = member.clock(world.now);
        if member.planned_act.is_some() {
            steps.push(Step::Act(index));
        } else if member.role.permit(now).is_some() {
            steps.push(Step::CheckPermit(index));
        }
        if faults.suspensions > 0 {
            steps.push(Step::Suspend(index));
        }
        match member.role.lease_state(now) {
            LeaseState::Holder | LeaseState::PermitExpired if faults.leaves > 0 => {
                steps.push(Step::Leave(index));
            }
            LeaseState::Inactive(InactiveReason::NotJoined) => steps.push(Step::Join(index)),
            _ => {}
        }
    }
}

impl Model for Scenario {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.end_time {
            steps.push(Step::AdvanceTime);
        }
        if world.faults.restores > 0 && world.store.holder.is_some() {
            steps.push(Step::RestoreStore);
        }
        if world.store.is_foreign() {
            steps.push(Step::RaiseEpoch);
        }
        (0..world.members.len()).for_each(|index| self.member_steps(world, index, steps));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::AdvanceTime => world.advance_time(self.mutant),
            Step::ServeCall(index) => {
                let call = world.members[index].calls.remove(0);
                world.serve(index, call, true, self.mutant);
            }
            Step::LoseResponse { index, is_executed } => {
                world.faults.lost_responses -= 1;
                let call = world.members[index].calls.remove(0);
                if is_executed {
                    world.serve(index, call, false, self.mutant);
                }
                world.lose_response(index, call);
            }
            Step::DeliverResponse(index) => world.deliver_response(index, self.mutant),
            Step::DeliverWatchReport(index) => world.deliver_watch_report(index),
            Step::Suspend(index) => {
                world.faults.suspensions -= 1;
                world.members[index].is_suspended = true;
            }
            Step::Resume(index) => {
                world.members[index].is_suspended = false;
                world.expire_timer(index);
            }
            Step::CheckPermit(index) => world.check_permit(index),
            Step::Act(index) => {
                let token = world.members[index].planned_act.take()?;
                world.act(index, token, self.mutant);
            }
            Step::RestoreStore => {
                world.faults.restores -= 1;
                world.restore_store(self.mutant);
            }
            Step::RaiseEpoch => {
                world.store.raise_epoch();
                world.report_to_watchers();
            }
            Step::BreakWatch(index) => {
                world.faults.watch_gaps -= 1;
                world.end_watch(index, self.mutant);
            }
            Step::Leave(index) => {
                world.faults.leaves -= 1;
                world.handle_event(index, Event::Leave);
            }
            Step::Join(index) => world.handle_event(index, Event::Join),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_PERMIT, |_, world: &World| world.members_with_permit() <= 1),
            Property::always(NO_OLDER_TOKEN, |_, world: &World| !world.has_regressed),
            Property::sometimes(ACTS, |_, world: &World| world.has_acted()),
        ]
    }
}
