//! The balancer: its settings, its random numbers and its state.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use super::tuning::{INITIAL_REPORT_AGE, MAX_RETRY_BUDGET, MIN_PRICE};
use crate::interface::{ClassId, ClassRedefinition, Seconds, Settings, SettingsError};
use crate::state::PolicyState;

/// The timer token of calls for the list; requests have the tokens above.
pub(super) const WATCH_LIST_TOKEN: u64 = 0;

/// The decisions of one proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(super) rng: Pcg32,
    pub(crate) state: PolicyState,
}

impl Balancer {
    /// A balancer that knows nothing yet; `seed` feeds its random draws.
    ///
    /// # Errors
    ///
    /// The settings are not valid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut state = PolicyState::new(&settings);
        state.next_token = WATCH_LIST_TOKEN + 1;
        state.report_age = INITIAL_REPORT_AGE;
        state.retry_budget = MAX_RETRY_BUDGET / 2.0;
        state.log_prices.fill(MIN_PRICE.ln());
        Ok(Self { rng: Pcg32::seed_from_u64(seed), state, settings })
    }

    /// Applies other settings. Pending requests keep their classes, so only such classes may change that no pending
    /// request has. `active_classes` are those of new requests.
    ///
    /// # Errors
    ///
    /// The settings are not valid; then nothing has changed.
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

    /// Whether less than the timer resolution is left until `instant`.
    pub(super) fn is_due(&self, now: Seconds, instant: Seconds) -> bool {
        now + self.settings.timer_resolution >= instant
    }

    /// A random number from 0 to 1, without 1.
    pub(super) fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
