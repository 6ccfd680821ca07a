//! Why a line of the input was rejected.

use mosshead_decide::interface::{RequestId, SettingsError};
use mosshead_settings::JsonError;
use thiserror::Error;

/// A line of the input that was rejected, or at which the input must not end.
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
    /// Another message came before all items of a list had come.
    #[error("{missing} more item lines are due, not {found:?}")]
    ItemExpected {
        /// How many items are missing.
        missing: u64,
        /// The name of the message that came instead.
        found: String,
    },
    /// A message of this name may come only between `turn` and `commit`.
    #[error("{0:?} outside a batch")]
    OutsideBatch(String),
    /// The input ends before `commit`.
    #[error("the input ends within a batch")]
    UnfinishedBatch,
    /// No `about` line has said which instance an event is for.
    #[error("an event before any about line")]
    NoInstanceSelected,
    /// The instance of this number was never configured, or was stopped.
    #[error("instance {0} was never configured")]
    UnknownInstance(u32),
    /// No list has this number.
    #[error("list {0} was never introduced")]
    UnknownList(u64),
    /// No request with this id was given to the instance.
    #[error("job {:016x} was never introduced", .0.0)]
    UnknownRequest(RequestId),
    /// A name that neither the settings nor a list has introduced.
    #[error("{subject} {name:?} was never introduced")]
    UnknownName {
        /// What the name is one of: a server, a class or a tenant.
        subject: &'static str,
        /// The name.
        name: String,
    },
    /// The protocol has no message of this name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A message lacks a member.
    #[error("member {0} is missing")]
    MissingMember(&'static str),
    /// A member's text has another form than it must have.
    #[error("{member}={text} is not {expected}")]
    MalformedMember {
        /// The name of the member.
        member: &'static str,
        /// Its text.
        text: String,
        /// The form that it must have.
        expected: &'static str,
    },
    /// A member's text is none of the words that are defined for it.
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
