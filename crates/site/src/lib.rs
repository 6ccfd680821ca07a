//! The operators' language: which servers form a pool, which requests go to which pool, and under which limits.
//!
//! A site is written in KDL with units, includes and named values; [`read`] turns it into one validated [`Site`].
//! Every error names its file, line and column, shows the line, and says what to write instead; all errors of a
//! site are reported at once. [`check`] compares a site with the platform, [`explain`] says what it does with a request,
//! [`diff`] what changes between two versions, and [`format()`] writes it in its standard form. Nothing here does I/O but
//! through [`Files`].

mod check;
mod diff;
mod error;
mod explain;
mod files;
mod format;
mod model;
mod platform;
mod reader;

pub use check::check;
pub use diff::{BehaviourChange, diff};
pub use error::{SiteError, SiteErrors};
pub use explain::{Behaviour, Located, PoolUse, RequestDescription, explain, sample_requests};
pub use files::{Files, MemoryFiles};
pub use format::format;
pub use model::{Limits, Policy, Pool, Route, RouteMatch, RouteTarget, Site, SourceLocation, WeightedPool};
pub use platform::{Platform, PlatformServer, RequestClass};
pub use reader::read;
