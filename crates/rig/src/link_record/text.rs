//! The events of links as lines of `crossed.txt`. Its words are those of the first version, so that files of all
//! versions can be compared.

use std::fmt;

use mosshead_emulator::proxy_links::ProcessEvent;
use mosshead_world::scenario::LinkKind;

use super::{LinkEvent, LinkEventKind, ReceivedEntry};

/// One line of `crossed.txt`, without its end.
impl fmt::Display for LinkEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:>12.6} proxy {}", self.at.as_seconds(), self.proxy)?;
        if let Some(endpoint) = self.endpoint {
            write!(f, " {} {}", link_name(endpoint.kind), endpoint.address)?;
        }
        write!(f, " connection {} {}", self.connection, self.kind)
    }
}

fn link_name(kind: LinkKind) -> &'static str {
    match kind {
        LinkKind::All => "All",
        LinkKind::Discovery => "List",
        LinkKind::Server => "Nodes",
        LinkKind::Admin => "Door",
    }
}

impl fmt::Display for LinkEventKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::ConnectionOpened => f.write_str("Opened"),
            Self::ConnectionEnded => f.write_str("Ended"),
            Self::ListRequested { from } => f.debug_struct("Call").field("from", from).finish(),
            Self::ListReceived { status, version, is_full, entries } => {
                let lines: Vec<Line> = entries.iter().map(Line).collect();
                f.debug_struct("Listed")
                    .field("status", status)
                    .field("version", version)
                    .field("full", is_full)
                    .field("lines", &lines)
                    .finish()
            }
            Self::AttemptSent { id, class, started_at } => f
                .debug_struct("Sent")
                .field("id", id)
                .field("class", class)
                .field("began", started_at)
                .finish(),
            Self::ResponseReceived { id, status, not_executed } => f
                .debug_struct("Answered")
                .field("id", id)
                .field("status", status)
                .field("unprocessed", not_executed)
                .finish(),
            Self::StageReported { status, stage } => {
                f.debug_struct("Said").field("status", status).field("stage", stage).finish()
            }
            Self::Process(event) => write!(f, "Process({})", ProcessText(event)),
        }
    }
}

struct ProcessText<'a>(&'a ProcessEvent);

impl fmt::Display for ProcessText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            ProcessEvent::StateFolderPrepared(condition) => {
                write!(f, "Finds({:?})", condition.scenario_name())
            }
            ProcessEvent::Started => f.write_str("Started"),
            ProcessEvent::Ready => f.write_str("Ready"),
            ProcessEvent::Signalled(signal) => write!(f, "Signalled({:?})", signal.name()),
            ProcessEvent::Ended => f.write_str("Ended"),
        }
    }
}

struct Line<'a>(&'a ReceivedEntry);

impl fmt::Debug for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ReceivedEntry { id, address, is_serving } = self.0;
        f.debug_struct("Line").field("id", id).field("address", address).field("serving", is_serving).finish()
    }
}
