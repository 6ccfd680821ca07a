//! The process of a proxy (`mosshead-router`).

mod process;
mod sink;
mod status;

pub use self::process::serve;
