//! Routes: which requests they are for, and where they lead.

use kdl::KdlNode;
use mosshead_units::{Fraction, Time};

use super::{Definition, FileId, NameIndex, Reader, children};
use crate::model::{Route, RouteMatch, RouteTarget, WeightedPool};

const TO_HELP: &str = "write `to \"POOL\"` or `to \"POOL\" share=\"20%\"`";

/// A pool of a route, with its share if that is written.
struct SplitPart {
    pool: usize,
    share: Option<f64>,
}

/// The statements of a route, as far as they were read.
#[derive(Default)]
struct RouteStatements {
    matches: RouteMatch,
    policy: Option<usize>,
    split: Vec<SplitPart>,
    /// The delay after which the client of a rejected request may retry.
    retry_after: Option<Time>,
    has_target: bool,
    /// Whether a `to` has an error, so that `split` lacks it.
    has_invalid_part: bool,
}

impl Reader<'_> {
    /// Reads a route; none if it has no valid target, for which an error is reported.
    pub(super) fn read_route(
        &mut self,
        definition: &Definition,
        pools: &NameIndex,
        policies: &NameIndex,
    ) -> Option<Route> {
        let Definition { file, ref node, ref name } = *definition;
        let location = self.location(file, node.span());
        let mut statements = RouteStatements::default();
        for child in children(node) {
            self.read_route_statement(file, child, name, pools, policies, &mut statements);
        }
        let RouteStatements { matches, policy, split, retry_after, has_target, has_invalid_part } =
            statements;
        if !has_target {
            let help = "add `to \"POOL\"` or `refuse \"2s\"`";
            self.report(file, node.span(), format!("the route {name:?} leads nowhere"), help);
        }
        let target = match retry_after {
            Some(retry_after) => RouteTarget::Reject(retry_after),
            // What is wrong with one part would show again in their sum.
            None if has_invalid_part => return None,
            None => RouteTarget::Pools(self.check_split(definition, &split)?),
        };
        Some(Route { name: name.clone(), matches, target, policy, location })
    }

    fn read_route_statement(
        &mut self,
        file: FileId,
        child: &KdlNode,
        route: &str,
        pools: &NameIndex,
        policies: &NameIndex,
        statements: &mut RouteStatements,
    ) {
        let matches = &mut statements.matches;
        match child.name().value() {
            "class" => matches.classes.extend(self.texts(file, child)),
            "tenant" => matches.tenants.extend(self.texts(file, child)),
            "path" => matches.paths.extend(self.texts(file, child)),
            "method" => matches.methods.extend(self.texts(file, child)),
            "header" => match &self.texts(file, child)[..] {
                [name, value] => matches.headers.push((name.to_lowercase(), value.clone())),
                _ => {
                    let help = "write name and value, as in `header \"x-app\" \"desk\"`";
                    self.report(file, child.span(), "a header is a name and a value", help);
                }
            },
            "to" => {
                statements.has_target = true;
                let part = self.read_split_part(file, child, pools);
                statements.has_invalid_part |= part.is_none();
                statements.split.extend(part);
            }
            "refuse" => {
                statements.has_target = true;
                statements.retry_after =
                    self.quantity(file, child, "a come-back time, as in `refuse \"2s\"`");
                if !statements.split.is_empty() {
                    let help = "a route leads to pools or to a refusal, not to both";
                    self.report(file, child.span(), format!("the route {route:?} leads two ways"), help);
                }
            }
            "policy" => {
                if let Some(policy) = self.single_text(file, child, "a policy, as in `policy \"pay\"`") {
                    statements.policy = self.find_named(file, child.span(), "policy", &policy, policies);
                }
            }
            _ => {
                let known = ["class", "header", "method", "path", "policy", "refuse", "tenant", "to"];
                self.report_unknown_statement(file, child, "a route", &known);
            }
        }
    }

    fn read_split_part(&mut self, file: FileId, node: &KdlNode, pools: &NameIndex) -> Option<SplitPart> {
        let (mut pool, mut share) = (None, None);
        for entry in node.entries() {
            match entry.name().map(|name| name.value()) {
                None if pool.is_none() => {
                    let name = self.text(file, entry)?;
                    pool = Some(self.find_named(file, entry.span(), "pool", &name, pools)?);
                }
                Some("share") if share.is_none() => {
                    share = Some(self.entry_quantity::<Fraction>(file, entry)?.0);
                }
                _ => {
                    self.report(file, entry.span(), "`to` takes a pool and its share", TO_HELP);
                    return None;
                }
            }
        }
        if pool.is_none() {
            self.report(file, node.span(), "`to` names no pool", TO_HELP);
        }
        Some(SplitPart { pool: pool?, share })
    }

    /// Checks that every pool of a split has a share and that the shares sum to 1. A single pool needs no share.
    fn check_split(&mut self, definition: &Definition, split: &[SplitPart]) -> Option<Vec<WeightedPool>> {
        let Definition { file, ref node, ref name } = *definition;
        match split {
            [] => return None,
            [SplitPart { pool, share: None }] => return Some(vec![WeightedPool { pool: *pool, share: 1.0 }]),
            _ => {}
        }
        let weighted = |part: &SplitPart| Some(WeightedPool { pool: part.pool, share: part.share? });
        let Some(pools) = split.iter().map(weighted).collect::<Option<Vec<WeightedPool>>>() else {
            let message = format!("the route {name:?} splits, but not every pool has its share");
            self.report(file, node.span(), message, "add `share=\"...%\"` to each `to`");
            return None;
        };
        let sum: f64 = pools.iter().map(|pool| pool.share).sum();
        if (sum - 1.0).abs() > 1e-6 {
            let message = format!("the shares of the route {name:?} sum to {}%", (sum * 1e6).round() / 1e4);
            self.report(file, node.span(), message, "make them sum to 100%");
            return None;
        }
        Some(pools)
    }
}
