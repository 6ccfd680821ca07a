//! Writes the decisions of an instance as reply lines.

use core::fmt::{self, Write};

use mosshead_decide::NameTable;
use mosshead_decide::interface::{Action, EndpointId};

/// Appends the line of an action. If `can_advise_retry_after` is true, the line of a rejection includes the delay after
/// which the client may retry.
pub(crate) fn write_action(
    reply: &mut String,
    action: Action,
    endpoints: &NameTable,
    can_advise_retry_after: bool,
) -> fmt::Result {
    let server = |endpoint: EndpointId| endpoints.name(endpoint.0 as usize);
    match action {
        Action::Send { request, endpoint, deadline } => {
            let server = server(endpoint);
            writeln!(reply, "deliver job={:016x} server={server} until_s={deadline:.6}", request.0)
        }
        Action::Reject { request, retry_after } if can_advise_retry_after => {
            writeln!(reply, "push_back job={:016x} not_before_for_s={retry_after:.6}", request.0)
        }
        Action::Reject { request, .. } => writeln!(reply, "push_back job={:016x}", request.0),
        Action::Fail { request } => writeln!(reply, "surrender job={:016x}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "revoke job={:016x} round_no={}", request.0, attempt.0)
        }
        Action::Probe { endpoint } => writeln!(reply, "health_check server={}", server(endpoint)),
        Action::CloseIdleConnections { endpoint } => writeln!(reply, "close server={}", server(endpoint)),
        Action::WatchList => writeln!(reply, "watch enable=1"),
        Action::SetTimer { delay, token } => writeln!(reply, "defer in_s={delay:.6} cookie={}", token.0),
    }
}
