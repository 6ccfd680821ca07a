//! How commands end.

use std::fmt;
use std::process::ExitCode;

/// How a command ended that had no error. Its number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Everything that was looked at is as it should be.
    Passed = 0,
    /// A rule was broken, or something that was checked is not as it should be.
    Failed = 1,
    /// The machine was too late: the day says nothing.
    Void = 3,
}

impl Outcome {
    pub(crate) fn passed_if(has_passed: bool) -> Self {
        if has_passed { Self::Passed } else { Self::Failed }
    }

    /// The outcome of a day in real time.
    pub(crate) fn of_real_time_day(is_void: bool, has_no_violations: bool) -> Self {
        if is_void { Self::Void } else { Self::passed_if(has_no_violations) }
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(outcome as u8)
    }
}

/// The command line, or a file that it names, can't be used. Exit code 2.
#[derive(Debug)]
pub(crate) struct UsageError(pub(crate) String);

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for UsageError {}
