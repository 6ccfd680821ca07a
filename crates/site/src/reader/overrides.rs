//! Overrides: statements for one instance or one zone that replace those of a pool, policy or route.

use kdl::{KdlNode, KdlValue};

use super::{FileId, Reader, Statement, children};
use crate::model::matches_pattern;

const HELP: &str = "write `override instance=\"n3\"` or `override zone=\"memphis\"`";

impl Reader<'_> {
    /// Applies the overrides that are for this instance, and checks all of them.
    pub(super) fn apply_overrides(
        &mut self,
        statements: Vec<Statement>,
        instance: &str,
        zone: &str,
    ) -> Vec<Statement> {
        let (overrides, mut others): (Vec<Statement>, Vec<Statement>) =
            statements.into_iter().partition(|statement| statement.node.name().value() == "override");
        for Statement { file, node } in overrides {
            let applies = self.is_override_for(file, &node, instance, zone);
            for replacement in children(&node) {
                let Some(target) = others.iter_mut().find(|other| names_same(&other.node, replacement))
                else {
                    let kind = replacement.name().value();
                    let name = argument(replacement).unwrap_or("");
                    let message = format!("no {kind} {name:?} is there to be overridden");
                    self.report(file, replacement.span(), message, "define it outside of the override first");
                    continue;
                };
                if applies {
                    replace_children(&mut target.node, children(replacement));
                }
            }
        }
        others
    }

    fn is_override_for(&mut self, file: FileId, node: &KdlNode, instance: &str, zone: &str) -> bool {
        let mut applies = !node.entries().is_empty();
        for entry in node.entries() {
            match entry.name().map(|name| name.value()) {
                Some("instance") => {
                    let pattern = self.text(file, entry);
                    applies &= pattern.is_some_and(|pattern| matches_pattern(&pattern, instance));
                }
                Some("zone") => applies &= self.text(file, entry).is_some_and(|named| named == zone),
                _ => self.report(file, entry.span(), "an override is for an instance or a zone", HELP),
            }
        }
        if node.entries().is_empty() {
            self.report(file, node.span(), "an override names no instance and no zone", HELP);
        }
        applies
    }
}

/// The first argument, which is the name of what is defined.
fn argument(node: &KdlNode) -> Option<&str> {
    node.get(0).and_then(KdlValue::as_string)
}

fn names_same(one: &KdlNode, other: &KdlNode) -> bool {
    one.name() == other.name() && argument(one) == argument(other)
}

/// Puts statements in the place of those with the same names.
fn replace_children(node: &mut KdlNode, replacements: &[KdlNode]) {
    let children = node.ensure_children();
    children.nodes_mut().retain(|old| replacements.iter().all(|new| new.name() != old.name()));
    children.nodes_mut().extend(replacements.iter().cloned());
}
