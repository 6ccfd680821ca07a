//! The keys of a patch and of its parts. They must not change, since processes of other versions read them.

pub(super) const BASE: &str = "base";
pub(super) const SUM: &str = "sum";
pub(super) const WHOLE: &str = "whole";
pub(super) const WITHDRAW: &str = "withdraw";
pub(super) const UPSERT: &str = "upsert";
pub(super) const ORDER: &str = "order";
pub(super) const DROP: &str = "drop";
pub(super) const SET: &str = "set";
pub(super) const FIELDS: &str = "fields";
