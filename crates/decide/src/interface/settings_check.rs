//! Validation of settings before a balancer uses them.

use thiserror::Error;

use super::settings::{Class, Limits, RepeatEffect, Rules, ServiceObjective, Settings};

/// A setting whose value is out of range.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("setting {name} is {value}: it must be {requirement}")]
pub struct SettingsError {
    /// The setting's name in messages. It is part of the interface and independent of the field's name.
    pub name: &'static str,
    /// The invalid value.
    pub value: f64,
    /// The valid range, in words.
    pub requirement: &'static str,
}

/// Keeps the first violation that is found.
#[derive(Default)]
struct Checker {
    error: Option<SettingsError>,
}

impl Checker {
    fn require(&mut self, name: &'static str, value: f64, is_valid: bool, requirement: &'static str) {
        if !is_valid && self.error.is_none() {
            self.error = Some(SettingsError { name, value, requirement });
        }
    }

    fn require_positive(&mut self, name: &'static str, value: f64) {
        self.require(name, value, value.is_finite() && value > 0.0, "finite and above 0");
    }

    fn require_not_negative(&mut self, name: &'static str, value: f64) {
        self.require(name, value, value.is_finite() && value >= 0.0, "finite and not below 0");
    }

    fn require_fraction(&mut self, name: &'static str, value: f64) {
        self.require(name, value, (0.0..=1.0).contains(&value), "from 0 to 1");
    }

    /// An empty restriction would exclude every server.
    fn require_absent_or_not_empty(&mut self, name: &'static str, count: Option<usize>) {
        if let Some(count) = count {
            self.require(name, count as f64, count > 0, "absent or at least one");
        }
    }
}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut checker = Checker::default();
        let classes = self.classes.len() as f64;
        checker.require("classes", classes, !self.classes.is_empty(), "at least one class");
        let Limits { max_attempts, .. } = self.limits;
        checker.require("limits.max_attempts", f64::from(max_attempts), max_attempts >= 1, "at least 1");
        checker.require_fraction("rules.cold_from", self.rules.initial_capacity);
        self.check_positive(&mut checker);
        self.check_not_negative(&mut checker);
        if let Some(fraction) = self.objective.allowed_miss_fraction {
            checker.require_fraction("goal.tail_slack", fraction);
        }
        for Class { machine_kinds, zones, .. } in &self.classes {
            checker.require_absent_or_not_empty("classes.runs_on", machine_kinds.as_ref().map(Vec::len));
            checker.require_absent_or_not_empty("classes.runs_in", zones.as_ref().map(Vec::len));
        }
        checker.error.map_or(Ok(()), Err)
    }

    fn check_positive(&self, checker: &mut Checker) {
        checker.require_positive("tick", self.timer_resolution);
        checker.require_positive("limits.keepalive", self.limits.idle_timeout);
        checker.require_positive("limits.connect_timeout", self.limits.connect_timeout);
        if let Some(nines) = self.objective.target_nines {
            checker.require_positive("goal.nines_wanted", nines);
        }
        checker.require_positive("limits.streams", f64::from(self.limits.streams_per_connection));
        let Rules { overload_window, overload_factor, refresh_within, .. } = self.rules;
        checker.require_positive("rules.fall", overload_window);
        checker.require_positive("rules.fall_multiple", overload_factor);
        checker.require_positive("rules.ask_within", refresh_within);
        for class in &self.classes {
            checker.require_positive("classes.target", class.latency_target);
            checker.require_positive("classes.deadline", class.deadline);
        }
    }

    fn check_not_negative(&self, checker: &mut Checker) {
        checker.require_not_negative("fleet", self.proxy_count);
        checker.require_not_negative("limits.max_retry_after", self.limits.max_retry_after);
        checker.require_not_negative("rules.warm_up", self.rules.slow_start);
        checker.require_not_negative("cross_zone_price", self.cross_zone_cost);
        checker.require_not_negative("probe_price", self.probe_cost);
        checker.require_not_negative("connection_price", self.connection_cost);
        checker.require_not_negative("over_share_worth", self.over_share_value);
        for class in &self.classes {
            checker.require_not_negative("classes.worth", class.value);
            checker.require_not_negative("classes.late_worth", class.late_value);
            if let RepeatEffect::Keyed { window, .. } = class.repeat_effect {
                checker.require_not_negative("classes.window", window);
            }
        }
        for tenant in &self.tenants {
            checker.require_not_negative("tenants.share", tenant.share);
        }
        let ServiceObjective { availability_weight, tail_weight, .. } = self.objective;
        if let Some(weight) = availability_weight {
            checker.require_not_negative("goal.availability", weight);
        }
        if let Some(weight) = tail_weight {
            checker.require_not_negative("goal.tail_part", weight);
        }
    }
}
