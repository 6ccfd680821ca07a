//! The links between the proxies and what the emulator plays: an implementer can stand between them.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

use mosshead_world::events::Event;
use mosshead_world::scenario::{LinkKind, StoredStateCondition};
use mosshead_world::{LinkFault, ServerId};
use tokio::net::TcpStream;

/// The far end of a link: what a proxy connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkEndpoint {
    /// Which kind of link leads there.
    pub kind: LinkKind,
    /// The proxy whose link it is.
    pub proxy: usize,
    /// The server there, if it is one.
    pub server: Option<ServerId>,
    /// The zone of that server.
    pub zone: Option<usize>,
    /// Where the far end listens for this proxy.
    pub address: SocketAddr,
}

/// A signal that a proxy's process is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGSTOP: it is suspended and is not notified of that.
    Suspend,
    /// SIGCONT: it goes on.
    Resume,
    /// SIGTERM: it shuts down gracefully.
    Terminate,
    /// SIGKILL: it ends at once.
    Kill,
}

impl ProcessSignal {
    /// The name of the signal in POSIX.
    pub fn name(self) -> &'static str {
        match self {
            Self::Suspend => "SIGSTOP",
            Self::Resume => "SIGCONT",
            Self::Terminate => "SIGTERM",
            Self::Kill => "SIGKILL",
        }
    }
}

/// What is done to the process of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// Its folder for stored state was put into this condition, before its start.
    StateFolderPrepared(StoredStateCondition),
    /// It was started.
    Started,
    /// It has answered 200 on `/_health`.
    Ready,
    /// It was sent this signal.
    Signalled(ProcessSignal),
    /// It has ended.
    Ended,
}

/// Whoever stands between the proxies and the emulator. All calls come from the one thread of the day.
pub trait ProxyLinks {
    /// The day begins at this instant.
    fn on_day_started(&self, at: Instant);

    /// A proxy has connected to this endpoint: the endpoint is served on the stream that this returns.
    fn relay(
        &self,
        endpoint: LinkEndpoint,
        proxy_stream: TcpStream,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

    /// A fault of links begins, or ends.
    fn set_fault(&self, fault: &LinkFault, is_active: bool);

    /// The world has recorded an event.
    fn on_event(&self, event: &Event);

    /// Something was done to a proxy's process.
    fn on_process_event(&self, proxy: usize, event: ProcessEvent);
}

/// Connections that go straight to the emulator; nothing is recorded.
pub(crate) struct DirectLinks;

impl ProxyLinks for DirectLinks {
    fn on_day_started(&self, _: Instant) {}

    fn relay(
        &self,
        _: LinkEndpoint,
        proxy_stream: TcpStream,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>> {
        Box::pin(async { Ok(proxy_stream) })
    }

    fn set_fault(&self, _: &LinkFault, _: bool) {}

    fn on_event(&self, _: &Event) {}

    fn on_process_event(&self, _: usize, _: ProcessEvent) {}
}
