//! Patches that processes of the fleet send each other to turn one configuration into a newer one.
//!
//! A patch is a JSON object with `base` (the revision that it applies to), `sum` (the hash of the newer text), and
//! either `whole` (the complete newer configuration) or any of
//!
//! - `withdraw`: the names of the items to remove, by list;
//! - `upsert`: the items to replace or to append, by list;
//! - `order`: the names of all items in order, by list, if the order does not follow from the upserts;
//! - `drop`: the top-level fields to remove;
//! - `set`: the other top-level fields to set;
//! - `fields`: the keys of all top-level fields in order, if the order does not follow from the other parts.

mod apply;
mod diff;
mod keys;
