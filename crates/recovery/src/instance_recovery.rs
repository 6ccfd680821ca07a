//! How far an instance has recovered since its start, and what it still waits for.

use std::fmt;

/// How many of the last responses are considered: the bits of [`InstanceRecovery::responses_in_time`].
const MAX_RESPONSES: u32 = 32;
/// How many responses it takes to judge by.
const MIN_RESPONSES: u32 = 16;
/// Share of the responses that have to be in time.
const REQUIRED_IN_TIME_SHARE: f64 = 0.9;
/// So many seconds after the first update the last [`FEW_RESPONSES`] are enough to judge by.
const QUIET_PERIOD_S: f64 = 5.0;
/// How many of the last responses have to be in time after the [`QUIET_PERIOD_S`]; all, if there were fewer.
const FEW_RESPONSES: u32 = 3;
/// Once a call has failed, the list is outdated when the last update is so many times the time between calls ago.
const OUTDATED_AFTER_INTERVALS: f64 = 4.0;

/// How far an instance has recovered, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryStage {
    /// No server is known that requests may be sent to; all are rejected.
    #[default]
    NoServers,
    /// Requests are sent by a stored or outdated list, which discovery hasn't confirmed to this instance. Servers that are
    /// known to have left get none.
    UnconfirmedList,
    /// Discovery has sent its list to this instance, but too few responses were in time yet.
    WarmingUp,
    /// Enough responses were in time.
    FullService,
}

/// What an instance waits for before it is in full service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryBlocker {
    /// A server that requests may be sent to.
    Servers,
    /// An update of the list by discovery.
    DiscoveryUpdate,
    /// Enough responses to judge by.
    Responses,
    /// Responses that are in time.
    TimelyResponses,
    /// Nothing: it is in full service.
    Nothing,
}

/// How far an instance has recovered, and what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryStatus {
    /// The stage that it is in.
    pub stage: RecoveryStage,
    /// What it needs for the next stage.
    pub blocker: RecoveryBlocker,
}

impl RecoveryStatus {
    /// The status of an instance without servers, as each one is at its start.
    pub const AT_START: RecoveryStatus =
        RecoveryStatus { stage: RecoveryStage::NoServers, blocker: RecoveryBlocker::Servers };
}

impl fmt::Display for RecoveryStage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RecoveryStage::NoServers => "cold",
            RecoveryStage::UnconfirmedList => "listed",
            RecoveryStage::WarmingUp => "warming",
            RecoveryStage::FullService => "full",
        })
    }
}

impl fmt::Display for RecoveryBlocker {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            RecoveryBlocker::Servers => "no server may be sent to",
            RecoveryBlocker::DiscoveryUpdate => {
                "discovery has not told its list in this life, or not for long"
            }
            RecoveryBlocker::Responses => "too few answers to tell by",
            RecoveryBlocker::TimelyResponses => "answers come late, or not at all",
            RecoveryBlocker::Nothing => "nothing",
        })
    }
}

/// The recovery of one instance, by its events. Instants are in seconds, on any clock that doesn't go back.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceRecovery {
    has_servers: bool,
    /// When discovery last sent an update; `None` before the first, and after a suspension.
    last_update_at: Option<f64>,
    /// Whether a call has failed since the last update.
    has_call_failed: bool,
    /// Whether the last responses were in time: the latest in the lowest bit.
    responses_in_time: u32,
    /// How many bits of `responses_in_time` count, at most [`MAX_RESPONSES`].
    response_count: u32,
    /// When the first update came, since the start or a suspension.
    first_update_at: Option<f64>,
    /// Whether full service was reached since the start or a suspension.
    is_in_full_service: bool,
}

impl InstanceRecovery {
    /// Sets whether there is a server that requests may be sent to.
    pub fn set_has_servers(&mut self, has_servers: bool) {
        self.has_servers = has_servers;
    }

    /// Discovery has sent its list, or that nothing has changed.
    pub fn on_discovery_update(&mut self, now: f64) {
        self.last_update_at = Some(now);
        self.has_call_failed = false;
        self.first_update_at.get_or_insert(now);
    }

    /// A call to discovery has failed. As long as none fails, silence means that nothing has changed.
    pub fn on_discovery_failure(&mut self) {
        self.has_call_failed = true;
    }

    /// The process was suspended and goes on: what discovery said meanwhile is not known.
    pub fn on_suspended(&mut self) {
        *self = InstanceRecovery {
            has_servers: self.has_servers,
            has_call_failed: self.has_call_failed,
            ..InstanceRecovery::default()
        };
    }

    /// A request has its final response, in time or not.
    pub fn on_response(&mut self, is_in_time: bool) {
        self.responses_in_time = self.responses_in_time << 1 | u32::from(is_in_time);
        self.response_count = (self.response_count + 1).min(MAX_RESPONSES);
    }

    /// Whether discovery has sent its list to this instance, and that is not outdated. `call_interval` is the time allowed
    /// between calls, in seconds.
    pub fn has_current_list(&self, now: f64, call_interval: f64) -> bool {
        self.last_update_at.is_some_and(|last_update_at| {
            !self.has_call_failed || now - last_update_at <= OUTDATED_AFTER_INTERVALS * call_interval
        })
    }

    /// How far the instance has recovered, and what it waits for. `call_interval` is the time allowed between calls, in
    /// seconds.
    ///
    /// Full service, once reached, is left only while there are no servers or the list is outdated: responses that become late
    /// later on say nothing about the recovery.
    pub fn status(&mut self, now: f64, call_interval: f64) -> RecoveryStatus {
        if !self.has_servers {
            return RecoveryStatus::AT_START;
        }
        if !self.has_current_list(now, call_interval) {
            let blocker = RecoveryBlocker::DiscoveryUpdate;
            return RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker };
        }
        self.is_in_full_service |= self.is_quiet_and_in_time(now) || self.has_enough_in_time();
        if self.is_in_full_service {
            return RecoveryStatus { stage: RecoveryStage::FullService, blocker: RecoveryBlocker::Nothing };
        }
        let blocker = if self.response_count < MIN_RESPONSES {
            RecoveryBlocker::Responses
        } else {
            RecoveryBlocker::TimelyResponses
        };
        RecoveryStatus { stage: RecoveryStage::WarmingUp, blocker }
    }

    /// Whether the quiet period is over and the last few responses were in time. An instance with few requests would hardly
    /// ever have [`MIN_RESPONSES`].
    fn is_quiet_and_in_time(&self, now: f64) -> bool {
        let last_bits = (1_u32 << self.response_count.min(FEW_RESPONSES)) - 1;
        let is_quiet_period_over = self.first_update_at.is_some_and(|first| now - first >= QUIET_PERIOD_S);
        is_quiet_period_over && self.responses_in_time & last_bits == last_bits
    }

    /// Whether there are enough responses to judge by, and enough of them were in time.
    fn has_enough_in_time(&self) -> bool {
        let in_time = f64::from(self.responses_in_time.count_ones());
        self.response_count >= MIN_RESPONSES
            && in_time >= REQUIRED_IN_TIME_SHARE * f64::from(self.response_count)
    }
}
