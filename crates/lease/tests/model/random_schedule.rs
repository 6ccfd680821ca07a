//! Random schedules of steps: three members under all faults, over a longer time than can be explored
//! exhaustively.

use stateright::Model;

use crate::scenario::{FaultBudget, Mutant, Scenario};
use crate::steps::Step;
use crate::world::World;

const STEPS_WITH_FAULTS: usize = 80;

pub(crate) struct RandomSchedule {
    scenario: Scenario,
    pub(crate) world: World,
    /// True if at most one member was permitted to act in each state so far.
    pub(crate) is_safe: bool,
    /// The steps that are possible next.
    steps: Vec<Step>,
}

impl RandomSchedule {
    /// Runs random steps and faults drawn from the seed.
    pub(crate) fn run(seed: u64, mutant: Mutant) -> RandomSchedule {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw_below = move |count: usize| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) as usize % count
        };
        let restores = (seed % 2) as u8;
        let faults = FaultBudget { suspensions: 2, lost_responses: 3, restores, watch_gaps: 2, leaves: 2 };
        let scenario = Scenario { members: 3, end_time: u64::MAX, faults, mutant };
        let world = World::new(&scenario);
        let mut schedule = RandomSchedule { scenario, world, is_safe: true, steps: Vec::new() };
        for _ in 0..STEPS_WITH_FAULTS {
            schedule.scenario.actions(&schedule.world, &mut schedule.steps);
            let step = schedule.steps.swap_remove(draw_below(schedule.steps.len()));
            schedule.apply(step);
            schedule.is_safe &= schedule.world.members_with_permit() <= 1;
        }
        schedule
    }

    fn apply(&mut self, step: Step) {
        self.steps.clear();
        self.world =
            self.scenario.next_state(&self.world, step).expect("actions() returns possible steps only");
    }

    /// Ends all faults and continues, taking all possible steps before time advances. Returns true if a
    /// member is permitted to act within `duration` time steps.
    pub(crate) fn recovers_within(&mut self, duration: u64) -> bool {
        self.world.faults = FaultBudget::NONE;
        let end_time = self.world.now + duration;
        loop {
            self.scenario.actions(&self.world, &mut self.steps);
            let is_act = |step: &Step| matches!(step, Step::CheckPermit(_) | Step::Act(_));
            let next = self.steps.iter().find(|step| **step != Step::AdvanceTime && !is_act(step)).cloned();
            let may_act = self.steps.iter().any(is_act);
            if next.is_none() && (may_act || self.world.now >= end_time) {
                return may_act;
            }
            self.apply(next.unwrap_or(Step::AdvanceTime));
        }
    }
}
