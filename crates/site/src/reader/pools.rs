//! Pools.

use super::{Definition, NameIndex, Reader, children};
use crate::model::Pool;

impl Reader<'_> {
    pub(super) fn read_pool(&mut self, definition: &Definition, pools: &NameIndex) -> Pool {
        let Definition { file, ref node, ref name } = *definition;
        let mut pool = Pool {
            name: name.clone(),
            zones: Vec::new(),
            kinds: Vec::new(),
            ids: Vec::new(),
            min_member_share: 0.0,
            panic_threshold: 0.0,
            fallback: None,
            location: self.location(file, node.span()),
        };
        for child in children(node) {
            match child.name().value() {
                "zone" => pool.zones.extend(self.texts(file, child)),
                "kind" => pool.kinds.extend(self.texts(file, child)),
                "id" => pool.ids.extend(self.texts(file, child)),
                "least" => pool.min_member_share = self.share(file, child).unwrap_or_default(),
                "panic" => pool.panic_threshold = self.share(file, child).unwrap_or_default(),
                "fallback" => {
                    if let Some(fallback) = self.single_text(file, child, "a pool, as in `fallback \"all\"`")
                    {
                        pool.fallback = self.find_named(file, child.span(), "pool", &fallback, pools);
                    }
                }
                _ => {
                    let known = ["fallback", "id", "kind", "least", "panic", "zone"];
                    self.report_unknown_statement(file, child, "a pool", &known);
                }
            }
        }
        pool
    }
}
