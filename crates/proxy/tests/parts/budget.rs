//! Tests of `mosshead::budget`.

use mosshead::budget::{DescriptorBudget, KIB_PER_CONNECTION, RESERVED_DESCRIPTORS};

#[test]
fn both_sides_together_stay_within_the_limits_on_descriptors_and_memory() {
    for (sockets, memory_mb) in [(1024, 192.0), (4096, 64.0), (64, 2048.0)] {
        let both: usize =
            DescriptorBudget::split(sockets, memory_mb, 0).iter().map(|side| side.available()).sum();
        assert!(both as u64 + RESERVED_DESCRIPTORS <= sockets, "{both} of {sockets}");
        assert!(both as f64 * KIB_PER_CONNECTION <= memory_mb * 1024.0, "{both} in {memory_mb} MB");
    }
}
