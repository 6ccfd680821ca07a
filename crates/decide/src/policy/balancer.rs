//! The balancer, which owns the settings, the random number generator and the state.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::tuning::{INITIAL_REPORT_AGE, MAX_RETRY_BUDGET, MIN_PRICE};
use crate::interface::{ClassId, ClassRedefinition, Seconds, Settings, SettingsError};
use crate::state::PolicyState;

/// The timer token of calls for the list. Requests have higher tokens.
pub(super) const WATCH_LIST_TOKEN: u64 = 0;

/// The load balancer of one proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(super) rng: Pcg32,
    pub(crate) state: PolicyState,
}

impl Balancer {
    /// Creates a balancer with an empty list of servers. `seed` initializes its random number generator.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut state = PolicyState::new(&settings);
        state.next_token = WATCH_LIST_TOKEN + 1;
        state.report_age = INITIAL_REPORT_AGE;
        state.retry_budget = MAX_RETRY_BUDGET / 2.0;
        state.log_prices.fill(MIN_PRICE.ln());
        Ok(Self { rng: Pcg32::seed_from_u64(seed), state, settings })
    }

    /// Replaces the settings. Pending requests keep their classes, so the definition of a class may change only if no
    /// pending request belongs to it. `active_classes` are the classes that new requests may have.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid; the balancer is then unchanged.
    pub fn apply_settings(
        &mut self,
        settings: Settings,
        active_classes: &[ClassId],
        redefinitions: &[ClassRedefinition],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        self.state.apply_settings(&self.settings, &settings, active_classes, redefinitions);
        self.settings = settings;
        Ok(())
    }

    /// Returns true if at most the timer resolution is left until `instant`.
    pub(super) fn is_due(&self, now: Seconds, instant: Seconds) -> bool {
        now + self.settings.timer_resolution >= instant
    }

    /// A random number in `[0, 1)`.
    pub(super) fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
