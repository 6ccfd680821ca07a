//! The JSON of the configuration API, read in two steps.
//!
//! The upper levels of a text are only scanned: [`structure`] checks brackets, strings and keys, and [`cursor`] and
//! [`containers`] split the text into the texts of its values. [`value`] and [`object`] then parse small values, one
//! item of a list at a time, so that a configuration with thousands of routes is never held in memory as JSON values.

pub(crate) mod containers;
pub(crate) mod cursor;
pub(crate) mod minify;
pub(crate) mod object;
pub(crate) mod string;
pub(crate) mod structure;
pub(crate) mod value;
