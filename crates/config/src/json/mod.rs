//! JSON of the operator's configuration: scanned as text, parsed value by value.

pub(crate) mod object;
pub(crate) mod scanner;
