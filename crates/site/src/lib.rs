//! The operators' language: which servers form a pool, which jobs go to which pool, and under which limits.
//!
//! A site is written in KDL with units, includes and named values; [`read`] turns it into one checked [`Site`].
//! Every fault names its file, line and column, shows the line, and says what to write instead; all faults of a
//! site come at once. Nothing here does I/O but through [`Files`].

mod check;
mod explain;
mod fault;
mod files;
mod format;
mod model;
mod read;

pub use check::{ClassFacts, Platform, check};
pub use explain::{Behaviour, Change, Question, diff, explain, questions};
pub use fault::{Fault, Faults};
pub use files::{Files, Memory};
pub use format::format;
pub use model::{Limits, Match, Place, Policy, Pool, Route, Site, Target, Weighted};
pub use read::read;
