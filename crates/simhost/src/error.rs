//! Why a line of the input was rejected.

use mosshead_decide::interface::{RequestId, SettingsError};
use mosshead_settings::JsonError;
use thiserror::Error;

/// A line of the input that was rejected, or after which the input must not end.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("line {line}: {error}")]
pub struct WireError {
    /// The line, counted from 1.
    pub line: u64,
    /// What is wrong with it.
    pub error: LineError,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum LineError {
    /// A list is incomplete: another message arrived before all of its items.
    #[error("{missing} more item lines are due, not {found:?}")]
    ItemExpected {
        /// How many items are missing.
        missing: u64,
        /// The name of the message that arrived instead.
        found: String,
    },
    /// A message with this name is allowed only between `turn` and `commit`.
    #[error("{0:?} outside a batch")]
    OutsideBatch(String),
    /// The input ends before `commit`.
    #[error("the input ends within a batch")]
    UnfinishedBatch,
    /// No `about` line has selected the instance for this event.
    #[error("an event before any about line")]
    NoInstanceSelected,
    /// The instance with this number was never configured, or was stopped.
    #[error("instance {0} was never configured")]
    UnknownInstance(u32),
    /// No list has this number.
    #[error("list {0} was never introduced")]
    UnknownList(u64),
    /// No request with this id was passed to the instance.
    #[error("job {:016x} was never introduced", .0.0)]
    UnknownRequest(RequestId),
    /// A name that occurs neither in the settings nor in a list.
    #[error("{subject} {name:?} was never introduced")]
    UnknownName {
        /// What the name refers to: a server, a class or a tenant.
        subject: &'static str,
        /// The name.
        name: String,
    },
    /// The protocol has no message with this name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A message lacks a member.
    #[error("member {0} is missing")]
    MissingMember(&'static str),
    /// A member's text does not have the expected form.
    #[error("{member}={text} is not {expected}")]
    MalformedMember {
        /// The name of the member.
        member: &'static str,
        /// Its text.
        text: String,
        /// The expected form.
        expected: &'static str,
    },
    /// A member's text is not one of the allowed words.
    #[error("{member} {word:?} is not known")]
    UnknownWord {
        /// The name of the member.
        member: &'static str,
        /// Its text.
        word: String,
    },
    /// A pair of the load report is malformed.
    #[error("metrics: {pair:?} {problem}")]
    MalformedMetric {
        /// The pair, `name:value`.
        pair: String,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// The settings of an instance can't be read.
    #[error("info: {0}")]
    UnreadableSettings(#[from] JsonError),
    /// The settings of an instance break a rule.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
