//! The program `mosshead-router`, the proxy on `edge` machines.

mod process;
mod sink;
mod status;

pub use self::process::serve;
