//! The interface between the balancer and its host: settings, events in and actions out.
//!
//! These are plain data types. Times are read from the host's monotonic clock, whose zero is arbitrary.

mod actions;
mod endpoint_list;
mod events;
mod ids;
mod settings;
mod settings_check;

pub use actions::Action;
pub use endpoint_list::{ListEntry, ListUpdate, Readiness};
pub use events::{Event, LoadReport, Outcome, Request};
pub use ids::{
    AttemptNumber, ClassId, EndpointId, GroupId, MachineKindId, RequestId, Seconds, TenantId, TimerToken,
    ZoneId,
};
pub use settings::{
    Class, ClassRedefinition, DedupScope, Limits, Membership, RepeatEffect, Reporting, Rules,
    ServiceObjective, Settings, Tenant, Weights,
};
pub use settings_check::SettingsError;
