//! What may stand on the ways between the programs and the stand-ins.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;

use mosshead_world::events::Event;
use mosshead_world::scenario::LinkKind;
use mosshead_world::{LinkFault, ServerId};
use tokio::net::TcpStream;

/// The far end of a way: where a program connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Which kind of way leads there.
    pub way: LinkKind,
    /// Whose way it is.
    pub proxy: usize,
    /// The server there, if it is one,
    pub server: Option<ServerId>,
    /// and its zone.
    pub zone: Option<usize>,
    /// Where that listens for this program.
    pub address: SocketAddr,
}

/// What is done to the process of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It will find its folder for stored state so.
    Finds(&'static str),
    /// It is started.
    Started,
    /// It has answered 200 on `/_health`.
    Ready,
    /// It is sent this signal.
    Signalled(&'static str),
    /// It has ended.
    Ended,
}

/// Whoever stands on the ways. All calls come from the one thread of the day.
pub trait Between {
    /// The day begins at this instant.
    fn begin(&self, at: Instant);

    /// A program has connected: what speaks for the far end goes on with what this gives.
    fn through(&self, place: Place, near: TcpStream) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

    /// Something is wrong with ways from now on, or no longer.
    fn ways(&self, ways: &LinkFault, on: bool);

    /// Something has happened.
    fn fact(&self, fact: &Event);

    /// Something was done to a program's process.
    fn process(&self, proxy: usize, what: Process);
}

/// Nobody: connections go straight to the stand-ins.
pub(crate) struct Nothing;

impl Between for Nothing {
    fn begin(&self, _: Instant) {}

    fn through(&self, _: Place, near: TcpStream) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>>>> {
        Box::pin(async { Ok(near) })
    }

    fn ways(&self, _: &LinkFault, _: bool) {}

    fn fact(&self, _: &Event) {}

    fn process(&self, _: usize, _: Process) {}
}
