//! Reads the text of a configuration, or a part of it, into memory.
//!
//! [`full_text`] reads a complete configuration, [`shared_items`] one that has most items in common with another one,
//! [`document`] top-level fields, and [`items`] the items of a list. [`list_merge`] builds the lists of
//! [`shared_items`].

mod document;
mod full_text;
mod items;
mod list_merge;
mod shared_items;

pub(crate) use document::{list_fields, object_fields, parse_document, parse_field_value};
pub(crate) use full_text::check_text;
pub use full_text::peek_revision;
pub(crate) use items::{parse_items, parse_names};
