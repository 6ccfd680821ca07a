//! Resident memory of this process.

/// Pages of this machine.
const PAGE: u64 = 4096;

/// The resident set in bytes; 0 where it can't be read.
pub fn resident() -> u64 {
    std::fs::read_to_string("/proc/self/statm").ok().and_then(|text| parse(&text)).unwrap_or(0)
}

/// The resident set told by a line of `statm`.
pub fn parse(statm: &str) -> Option<u64> {
    statm.split_whitespace().nth(1)?.parse::<u64>().ok()?.checked_mul(PAGE)
}

/// Growth of the resident set, divided.
pub fn each(before: u64, after: u64, processes: usize) -> f64 {
    after.saturating_sub(before) as f64 / processes.max(1) as f64
}
