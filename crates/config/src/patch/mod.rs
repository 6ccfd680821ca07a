//! Patches between processes of the fleet: what turns one configuration into a newer one.
//!
//! A patch is a JSON object of `base` (the revision it applies to), `sum` (the hash of the newer text) and either
//! `whole` (the newer configuration), or some of
//!
//! - `withdraw`: by list, the names of the items to remove;
//! - `upsert`: by list, the items to replace or to add at the end;
//! - `order`: by list, the names of all items in order, where the order does not follow from the upserts;
//! - `drop`: the top-level fields to remove;
//! - `set`: the other top-level fields to set;
//! - `fields`: the keys of all top-level fields in order, where the order does not follow.

mod apply;
mod diff;
mod keys;
