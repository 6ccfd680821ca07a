//! Policies.

use kdl::KdlNode;

use super::entries::displayed;
use super::{Definition, FileId, Reader, children};
use crate::model::{Limits, Policy};

const MAX_ATTEMPTS: u32 = 100;
const MAX_CONCURRENCY: u32 = 1_000_000;

impl Reader<'_> {
    pub(super) fn read_policy(&mut self, definition: &Definition) -> Policy {
        let Definition { file, ref node, ref name } = *definition;
        let mut limits = Limits::default();
        for child in children(node) {
            match child.name().value() {
                "time-limit" => limits.time_limit = self.quantity(file, child, "a time, as in `\"2s\"`"),
                "attempts" => limits.attempts = self.integer(file, child, 1, MAX_ATTEMPTS),
                "retry-budget" => {
                    limits.retry_budget = self.quantity(file, child, "a share, as in `\"20%\"`");
                }
                "second-copies" => limits.can_hedge = self.boolean(file, child),
                "concurrency" => limits.concurrency = self.integer(file, child, 1, MAX_CONCURRENCY),
                _ => {
                    let known = ["attempts", "concurrency", "retry-budget", "second-copies", "time-limit"];
                    self.report_unknown_statement(file, child, "a policy", &known);
                }
            }
        }
        Policy { name: name.clone(), limits, location: self.location(file, node.span()) }
    }

    fn boolean(&mut self, file: FileId, node: &KdlNode) -> Option<bool> {
        let expected = "`#true` or `#false`";
        let entry = self.single_entry(file, node, expected)?;
        let boolean = entry.value().as_bool();
        if boolean.is_none() {
            let message = format!("`{}` is neither true nor false", displayed(entry.value()));
            self.report(file, entry.span(), message, &format!("write {expected}"));
        }
        boolean
    }
}
