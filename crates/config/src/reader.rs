//! From the text of a configuration or of a part of it to what is kept in memory.
//!
//! Each module is named after what it reads: [`full_text`] a configuration with every check, [`shared_items`] one that
//! has most items in common with another, [`document`] top-level fields, [`items`] the items of a list.
//! [`list_merge`] puts the lists of [`shared_items`] together.

mod document;
mod full_text;
mod items;
mod list_merge;
mod shared_items;

pub(crate) use document::{list_fields, object_fields, parse_document, parse_field_value};
pub(crate) use full_text::check_text;
pub use full_text::peek_revision;
pub(crate) use items::{parse_items, parse_names};
