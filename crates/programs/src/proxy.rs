//! The process of a proxy (`mosshead-router`).

mod process;
mod refusal_log;
mod sink;
mod status;

pub use self::process::serve;
pub use self::refusal_log::{RefusalCounts, RefusalLog};
