//! Tracks how far an instance has recovered since its start, and what it still waits for.

use std::fmt;

/// How many of the last responses are considered, each as one bit of [`InstanceRecovery::responses_in_time`].
const MAX_RESPONSES: u32 = 32;
/// Minimum number of responses to decide by.
const MIN_RESPONSES: u32 = 16;
/// The share of the responses that must be in time.
const REQUIRED_IN_TIME_SHARE: f64 = 0.9;
/// From this many seconds after the first update on, the last [`LOW_TRAFFIC_RESPONSES`] are enough to decide by.
const LOW_TRAFFIC_DELAY_S: f64 = 5.0;
/// How many of the last responses must be in time after [`LOW_TRAFFIC_DELAY_S`]; if there were fewer, all of them.
const LOW_TRAFFIC_RESPONSES: u32 = 3;
/// After a failed call, the list is outdated once the last update is older than this many times the time allowed
/// between calls.
const OUTDATED_AFTER_INTERVALS: f64 = 4.0;

/// How far an instance has recovered. A later stage compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryStage {
    /// No server is known that requests may be sent to, so all requests are rejected.
    #[default]
    NoServers,
    /// Requests are sent according to a stored or outdated list that discovery has not confirmed to this instance.
    /// Servers that are known to have left get none.
    UnconfirmedList,
    /// Discovery has sent its list to this instance, but too few responses were in time so far.
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
    /// Enough responses to decide by.
    Responses,
    /// Responses that are in time.
    TimelyResponses,
    /// Nothing: it is in full service.
    Nothing,
}

/// How far an instance has recovered, and what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryStatus {
    /// The current stage.
    pub stage: RecoveryStage,
    /// What is missing for the next stage.
    pub blocker: RecoveryBlocker,
}

impl RecoveryStatus {
    /// The status of an instance without servers, which is that of each instance at its start.
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

/// The recovery of one instance, updated by its events. Instants are in seconds on any monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceRecovery {
    has_servers: bool,
    /// When discovery last sent an update; `None` before the first one since the start or a suspension.
    last_update_at: Option<f64>,
    /// True if a call has failed since the last update.
    has_call_failed: bool,
    /// One bit per response, set if it was in time. The latest response is the lowest bit.
    responses_in_time: u32,
    /// The number of valid bits in `responses_in_time`, up to [`MAX_RESPONSES`].
    response_count: u32,
    /// When the first update since the start or a suspension arrived.
    first_update_at: Option<f64>,
    /// True if full service was reached since the start or a suspension.
    is_in_full_service: bool,
}

impl InstanceRecovery {
    /// Records whether there is a server that requests may be sent to.
    pub fn set_has_servers(&mut self, has_servers: bool) {
        self.has_servers = has_servers;
    }

    /// Records that discovery sent its list, or that the list has not changed.
    pub fn on_discovery_update(&mut self, now: f64) {
        self.last_update_at = Some(now);
        self.has_call_failed = false;
        self.first_update_at.get_or_insert(now);
    }

    /// Records a failed call to discovery. As long as no call fails, a missing update means that the list has not
    /// changed.
    pub fn on_discovery_failure(&mut self) {
        self.has_call_failed = true;
    }

    /// Records that the process resumed after a suspension, during which it may have missed updates.
    pub fn on_suspended(&mut self) {
        *self = InstanceRecovery {
            has_servers: self.has_servers,
            has_call_failed: self.has_call_failed,
            ..InstanceRecovery::default()
        };
    }

    /// Records the final response to a request, and whether it was in time.
    pub fn on_response(&mut self, is_in_time: bool) {
        self.responses_in_time = self.responses_in_time << 1 | u32::from(is_in_time);
        self.response_count = (self.response_count + 1).min(MAX_RESPONSES);
    }

    /// True if discovery has sent its list to this instance and the list is not outdated. `call_interval` is the time
    /// allowed between calls, in seconds.
    pub fn has_current_list(&self, now: f64, call_interval: f64) -> bool {
        self.last_update_at.is_some_and(|last_update_at| {
            !self.has_call_failed || now - last_update_at <= OUTDATED_AFTER_INTERVALS * call_interval
        })
    }

    /// Returns how far the instance has recovered, and what it waits for. `call_interval` is the time allowed between
    /// calls, in seconds.
    ///
    /// Once reached, full service is left only while there are no servers or the list is outdated. Responses that are
    /// late after that say nothing about the recovery.
    pub fn status(&mut self, now: f64, call_interval: f64) -> RecoveryStatus {
        if !self.has_servers {
            return RecoveryStatus::AT_START;
        }
        if !self.has_current_list(now, call_interval) {
            let blocker = RecoveryBlocker::DiscoveryUpdate;
            return RecoveryStatus { stage: RecoveryStage::UnconfirmedList, blocker };
        }
        self.is_in_full_service |= self.are_last_few_in_time_after_delay(now) || self.has_enough_in_time();
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

    /// True if enough time has passed since the first update and the last few responses were in time. An instance with
    /// few requests would hardly ever have [`MIN_RESPONSES`].
    fn are_last_few_in_time_after_delay(&self, now: f64) -> bool {
        let last_bits = (1_u32 << self.response_count.min(LOW_TRAFFIC_RESPONSES)) - 1;
        let is_delay_over = self.first_update_at.is_some_and(|first| now - first >= LOW_TRAFFIC_DELAY_S);
        is_delay_over && self.responses_in_time & last_bits == last_bits
    }

    /// True if there are enough responses to decide by and enough of them were in time.
    fn has_enough_in_time(&self) -> bool {
        let in_time = f64::from(self.responses_in_time.count_ones());
        self.response_count >= MIN_RESPONSES
            && in_time >= REQUIRED_IN_TIME_SHARE * f64::from(self.response_count)
    }
}
