//! The settings of a node.

use core::net::SocketAddrV4;

#[cfg(feature = "fault-injection")]
use crate::injected_fault::InjectedFault;
use crate::snapshot::ChunkSizes;
use crate::timings::Timings;

/// The default of [`Settings::log_rewrite_bytes`].
const DEFAULT_LOG_REWRITE_BYTES: usize = 4 << 20;

/// What a node needs to know at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// How many disks may be lost at a time; an epoch has as many backups.
    pub max_failures: usize,
    /// Whether this is the first start of the fleet.
    pub bootstrap: bool,
    /// The internal addresses of the seeds. With `bootstrap` and an empty disk, these are the bootstrap voters.
    pub seeds: Vec<SocketAddrV4>,
    /// The intervals and timeouts.
    pub timings: Timings,
    /// The log is not rewritten before it is longer than this, in bytes.
    pub log_rewrite_bytes: usize,
    /// From which length on states are sent in chunks, and how long those are.
    pub chunk_sizes: ChunkSizes,
    /// A fault built in, to see that the checkers of the tests find it.
    #[cfg(feature = "fault-injection")]
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Settings {
    /// The default settings.
    pub fn new(
        address: SocketAddrV4,
        max_failures: usize,
        bootstrap: bool,
        seeds: Vec<SocketAddrV4>,
    ) -> Settings {
        Settings {
            address,
            max_failures,
            bootstrap,
            seeds,
            timings: Timings::default(),
            log_rewrite_bytes: DEFAULT_LOG_REWRITE_BYTES,
            chunk_sizes: ChunkSizes::default(),
            #[cfg(feature = "fault-injection")]
            injected_fault: None,
        }
    }

    /// How many members an epoch has when all of them are known.
    pub(crate) fn member_count(&self) -> usize {
        2 * self.max_failures + 1
    }
}
