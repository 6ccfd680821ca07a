//! What the tests that play a whole fleet in virtual time have in common: a clock that only events advance, links and
//! their random disturbances, disks that lose power, and one seeded source of chance. For tests only: packages have it
//! as a dev-dependency, no program depends on it.
//!
//! The same seed plays the same day: nothing here does I/O, reads a clock, or has chance of its own. Every draw comes
//! from the [`RandomSource`] that the caller hands in, and the caller decides in which order it draws. That order is part
//! of what a seed means, so the parts of a delay in [`Noise`] are drawn one by one.

mod address;
mod disk;
mod event_queue;
mod links;
mod noise;
mod process_id;
mod random_source;

pub use address::control_node_address;
pub use disk::{Disk, DiskWrite};
pub use event_queue::EventQueue;
pub use links::{Link, Links};
pub use noise::Noise;
pub use process_id::ProcessId;
pub use random_source::RandomSource;

use mosshead_time::Duration;

/// A span of so many milliseconds.
pub const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
