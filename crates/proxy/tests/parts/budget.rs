//! Tests of `mosshead::budget`.

use mosshead::budget::{DescriptorBudget, KIB_PER_CONNECTION, RESERVED_DESCRIPTORS};

/// Guards the limits of the machine: both are kept by both sides together.
#[test]
fn neither_descriptors_nor_memory_are_overdrawn() {
    for (sockets, memory_mb) in [(1024, 192.0), (4096, 64.0), (64, 2048.0)] {
        let both: usize =
            DescriptorBudget::split(sockets, memory_mb, 0).iter().map(|side| side.available()).sum();
        assert!(both as u64 + RESERVED_DESCRIPTORS <= sockets, "{both} of {sockets}");
        assert!(both as f64 * KIB_PER_CONNECTION <= memory_mb * 1024.0, "{both} in {memory_mb} MB");
    }
}
