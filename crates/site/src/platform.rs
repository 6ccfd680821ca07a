//! The platform that a site is checked against.

use mosshead_units::Time;

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// How long a client waits.
    pub deadline: Time,
    /// Whether its requests may be executed twice.
    pub may_execute_twice: bool,
}

/// A server on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformServer {
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its id.
    pub id: String,
}

/// What a site is checked against.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
    /// The servers; where there are none, the members of pools are not checked.
    pub servers: Vec<PlatformServer>,
    /// How many attempts a request may have at most.
    pub max_attempts: u32,
}
