//! JSON of the configuration API, in two levels.
//!
//! The upper levels of a text are only scanned: [`structure`] checks brackets, strings and keys, [`cursor`] and
//! [`containers`] cut the text into the texts of its values. A value is parsed into memory only when it is small, one
//! item of a list at a time, by [`value`] and [`object`]; a configuration of thousands of routes is never kept as
//! JSON values in its entirety.

pub(crate) mod containers;
pub(crate) mod cursor;
pub(crate) mod minify;
pub(crate) mod object;
pub(crate) mod string;
pub(crate) mod structure;
pub(crate) mod value;
