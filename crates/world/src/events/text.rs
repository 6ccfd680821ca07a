//! Events as text, for the timelines of violations and for `mossheadctl simulate --job`.

use std::fmt;

use super::{AttemptOutcome, ClientResponse, Event, EventKind};

impl fmt::Display for ClientResponse {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ClientResponse::Served => f.write_str("Served"),
            ClientResponse::Forged => f.write_str("Forged"),
            ClientResponse::Rejected(retry_after) => write!(f, "Refused({retry_after:?})"),
            ClientResponse::Failed => f.write_str("Failed"),
            ClientResponse::Aborted => f.write_str("Broken"),
        }
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            AttemptOutcome::Served => "Served",
            AttemptOutcome::Errored => "Errored",
            AttemptOutcome::Rejected => "TurnedAway",
            AttemptOutcome::Reset => "Reset",
            AttemptOutcome::Corrupted => "Spoilt",
        })
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>12.6} s  {}", self.at.as_seconds(), self.kind)
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EventKind::RequestReceived { proxy, class, effect, deadline, .. } => {
                write!(f, "taken by proxy {proxy}: class {class} ({effect:?}), answer due by {deadline}")
            }
            EventKind::AttemptStarted { server, connection, .. } => {
                write!(f, "first byte to server {} on connection {}", server.0, connection.0)
            }
            EventKind::AttemptWritten { server, connection, is_intact, .. } => {
                let change = if *is_intact { "" } else { ": CHANGED on the way" };
                write!(f, "last byte to server {} on connection {}{change}", server.0, connection.0)
            }
            EventKind::ServerAccepted { server, .. } => write!(f, "server {} takes it in", server.0),
            EventKind::ServerExecuted { server, .. } => write!(f, "server {} has run it", server.0),
            EventKind::AttemptEnded { connection, outcome, .. } => {
                write!(f, "connection {} brought: {outcome}", connection.0)
            }
            EventKind::AttemptAbandoned { connection, .. } => {
                write!(f, "connection {} closed by the proxy", connection.0)
            }
            EventKind::ResponseSent { response: ClientResponse::Rejected(retry_after), .. } => {
                write!(f, "answered: refused, come back after {retry_after}")
            }
            EventKind::ResponseSent { response, .. } => write!(f, "answered: {response}"),
            EventKind::ClientTimedOut { .. } => f.write_str("the client's time is up"),
            EventKind::ServerStateNotified { proxy, server, state } => {
                write!(f, "proxy {proxy} told: server {} is {state:?}", server.0)
            }
            EventKind::ServerStarted { server } => write!(f, "server {} starts", server.0),
            EventKind::ServerEnded { server } => write!(f, "server {} ends", server.0),
            EventKind::ServerCollapsed { server } => write!(f, "server {} falls over, cold", server.0),
            EventKind::ServerCongested { server } => write!(f, "server {} jams", server.0),
            EventKind::ProxyStarted { proxy } => write!(f, "proxy {proxy} is up"),
            EventKind::ProxyStopped { proxy, expected } => {
                write!(f, "proxy {proxy} is down{}", if *expected { ", as ordered" } else { " BY ITSELF" })
            }
            EventKind::ProxyPaused { proxy } => write!(f, "proxy {proxy} stands still"),
            EventKind::ProxyResumed { proxy } => write!(f, "proxy {proxy} goes on"),
            EventKind::LinkFaultChanged { index, is_active } => {
                write!(f, "trouble {} of ways {}", index + 1, if *is_active { "begins" } else { "ends" })
            }
            EventKind::ProxyMisbehaved { proxy, description } => write!(f, "proxy {proxy}: {description}"),
        }
    }
}
