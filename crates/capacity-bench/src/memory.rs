//! Resident memory of this process.

/// The length of a page of memory, in bytes, as it is assumed to be on the machine.
const PAGE_LEN: u64 = 4096;

/// The resident set in bytes; 0 where it can't be read.
pub fn resident_bytes() -> u64 {
    std::fs::read_to_string("/proc/self/statm").ok().and_then(|text| parse_statm(&text)).unwrap_or(0)
}

/// The resident set in bytes, by the line of `/proc/self/statm`.
pub fn parse_statm(statm: &str) -> Option<u64> {
    statm.split_whitespace().nth(1)?.parse::<u64>().ok()?.checked_mul(PAGE_LEN)
}

/// Keeps what a value has allocated for the rest of this process. Memory that is freed between two sizes would be taken again
/// by the second one, whose growth would then be measured too low.
pub fn leak<T>(value: T) {
    std::mem::forget(value);
}

/// Growth of the resident set for each process, in bytes.
pub fn growth_per_process(before: u64, after: u64, processes: usize) -> f64 {
    after.saturating_sub(before) as f64 / processes.max(1) as f64
}
