//! The settings of a node.

use core::net::SocketAddrV4;

#[cfg(feature = "fault-injection")]
use crate::injected_fault::InjectedFault;
use crate::snapshot::ChunkSizes;
use crate::timings::Timings;

/// The default of [`Settings::log_rewrite_bytes`].
const DEFAULT_LOG_REWRITE_BYTES: usize = 4 << 20;

/// The configuration of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// The number of disks that may fail at the same time; also the number of backups in an epoch.
    pub max_failures: usize,
    /// True if the fleet starts for the first time.
    pub bootstrap: bool,
    /// The internal addresses of the seeds. With `bootstrap` and an empty disk, the seeds are the bootstrap voters.
    pub seeds: Vec<SocketAddrV4>,
    /// The intervals and timeouts.
    pub timings: Timings,
    /// A log of at most this length, in bytes, is not rewritten because of its length.
    pub log_rewrite_bytes: usize,
    /// The size above which states are sent in chunks, and the size of a chunk.
    pub chunk_sizes: ChunkSizes,
    /// A fault injected by a test, to verify that its checkers detect it.
    #[cfg(feature = "fault-injection")]
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Settings {
    /// Settings with default timings and sizes.
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

    /// The number of members of an epoch once enough nodes are known.
    pub(crate) fn member_count(&self) -> usize {
        2 * self.max_failures + 1
    }
}
