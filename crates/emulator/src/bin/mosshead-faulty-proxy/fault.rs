//! The faults that the proxy can be started with.

use std::str::FromStr;

use thiserror::Error;

/// What the proxy does wrong. The words that select them are in [`NAMES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// It works correctly.
    None,
    /// Sends a request that must not run twice again, after a reset or an error.
    RepeatsUnsafeRequests,
    /// Sends to servers that drain or have ended.
    IgnoresDrains,
    /// Gives a client the response to another request.
    SwapsResponses,
    /// Rejects requests as not executed although they may have been.
    ClaimsNotExecuted,
    /// Writes each tenth response twice.
    RespondsTwice,
    /// Responds to each tenth request after its deadline.
    RespondsLate,
    /// Sends everything to the server that started last.
    FloodsStartingServer,
    /// Changes the body.
    ChangesBody,
    /// Closes each tenth connection without a response.
    DropsResponses,
    /// Does not read its configuration again on SIGHUP.
    IgnoresHangup,
    /// Makes more attempts than allowed.
    ExceedsAttempts,
    /// Sends a second attempt beside the first.
    Duplicates,
    /// Ends in the middle of the day.
    Crashes,
    /// Exits with another code than 0 on SIGTERM.
    ExitsWithFailure,
    /// Responds with 200 to malformed requests.
    ServesMalformedRequests,
    /// Forwards keyed requests without their idempotency key.
    DropsIdempotencyKeys,
    /// Repeats keyed requests at any server.
    RepeatsKeyedElsewhere,
    /// Repeats keyed requests at the same server, after its deduplication window.
    RepeatsKeyedLate,
    /// Never asks for the endpoint list.
    NeverAsksForList,
    /// Takes every list, also one that is older than the one before.
    TakesOlderLists,
}

/// The word on the command line for each fault.
const NAMES: [(&str, InjectedFault); 21] = [
    ("none", InjectedFault::None),
    ("resends", InjectedFault::RepeatsUnsafeRequests),
    ("ignores-drains", InjectedFault::IgnoresDrains),
    ("mixes-answers", InjectedFault::SwapsResponses),
    ("calls-harmless", InjectedFault::ClaimsNotExecuted),
    ("answers-twice", InjectedFault::RespondsTwice),
    ("answers-late", InjectedFault::RespondsLate),
    ("floods-cold", InjectedFault::FloodsStartingServer),
    ("changes-body", InjectedFault::ChangesBody),
    ("drops", InjectedFault::DropsResponses),
    ("ignores-hangup", InjectedFault::IgnoresHangup),
    ("tries-too-often", InjectedFault::ExceedsAttempts),
    ("copies", InjectedFault::Duplicates),
    ("crashes", InjectedFault::Crashes),
    ("ends-badly", InjectedFault::ExitsWithFailure),
    ("serves-the-rude", InjectedFault::ServesMalformedRequests),
    ("drops-keys", InjectedFault::DropsIdempotencyKeys),
    ("repeats-elsewhere", InjectedFault::RepeatsKeyedElsewhere),
    ("repeats-late", InjectedFault::RepeatsKeyedLate),
    ("never-asks", InjectedFault::NeverAsksForList),
    ("takes-old-lists", InjectedFault::TakesOlderLists),
];

/// There is no fault of this name.
#[derive(Debug, Error)]
#[error("no fault {0:?}")]
pub(crate) struct UnknownFault(String);

impl FromStr for InjectedFault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let known = NAMES.iter().find(|(known, _)| *known == name);
        known.map(|(_, fault)| *fault).ok_or_else(|| UnknownFault(name.to_owned()))
    }
}
