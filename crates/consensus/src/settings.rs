//! The settings of a node.

use core::net::SocketAddrV4;

use crate::injected_fault::InjectedFault;
use crate::snapshot::ChunkSizes;
use crate::timings::Timings;

/// What a node needs to know at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// How many disks may be lost at a time; the backups are as many.
    pub max_failures: usize,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// The internal addresses of the seeds. With `bootstrap` and an empty disk, these are the bootstrap voters.
    pub seeds: Vec<SocketAddrV4>,
    /// The intervals and timeouts.
    pub timings: Timings,
    /// The log is rewritten when the records since the last time are longer than this.
    pub log_rewrite_bytes: usize,
    /// From which length on states are sent in chunks, and how long those are.
    pub chunk_sizes: ChunkSizes,
    /// A fault built in, to see that the checkers of the tests find it.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Settings {
    /// The usual settings.
    pub fn new(
        address: SocketAddrV4,
        failures: usize,
        bootstrap: bool,
        seeds: Vec<SocketAddrV4>,
    ) -> Settings {
        let rewrite_bytes = 4 << 20;
        Settings {
            address,
            max_failures: failures,
            bootstrap,
            seeds,
            timings: Timings::default(),
            log_rewrite_bytes: rewrite_bytes,
            chunk_sizes: ChunkSizes::default(),
            injected_fault: None,
        }
    }

    /// How many members an epoch has when all of them are known.
    pub(crate) fn member_count(&self) -> usize {
        2 * self.max_failures + 1
    }
}
