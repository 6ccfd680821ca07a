//! What each proxy was notified of each server, and the rule for servers that drain or are gone.

use std::collections::HashMap;

use super::rules::{Finding, Rule};
use crate::Time;
use crate::world::{ServerId, ServerState};

#[derive(Clone, Copy)]
struct Notification {
    state: ServerState,
    at: Time,
}

/// The last notification of each proxy about each server.
pub(super) struct Notifications {
    by_proxy_and_server: HashMap<(usize, ServerId), Notification>,
    /// How long after a notification an attempt may still start.
    grace: Time,
}

impl Notifications {
    pub(super) fn new(grace: Time) -> Self {
        Self { by_proxy_and_server: HashMap::new(), grace }
    }

    pub(super) fn record(&mut self, at: Time, proxy: usize, server: ServerId, state: ServerState) {
        self.by_proxy_and_server.insert((proxy, server), Notification { state, at });
    }

    /// A new process knows nothing.
    pub(super) fn forget_proxy(&mut self, proxy: usize) {
        self.by_proxy_and_server.retain(|(other, _), _| *other != proxy);
    }

    /// A proxy was suspended from `since` to `now`: what reached it meanwhile it can only read now.
    pub(super) fn postpone(&mut self, proxy: usize, since: Time, now: Time) {
        for ((other, _), notification) in &mut self.by_proxy_and_server {
            if *other == proxy && notification.at >= since {
                notification.at = now;
            }
        }
    }

    /// No attempt starts past the grace.
    pub(super) fn check_attempt_start(&self, at: Time, proxy: usize, server: ServerId) -> Option<Finding> {
        let Notification { state, at: since } = *self.by_proxy_and_server.get(&(proxy, server))?;
        if state == ServerState::Serving || at <= since + self.grace {
            return None;
        }
        let late = at - since;
        let description =
            format!("server {} was told {state:?} to proxy {proxy} {late} before this first byte", server.0);
        Some(Finding::new(Rule::NothingToDrainingServers, description))
    }
}
