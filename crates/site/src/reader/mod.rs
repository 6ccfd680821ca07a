//! KDL to a site: includes, named values, overrides, units. Errors are collected; the first one does not end the reading.

mod entries;
mod files;
mod overrides;
mod policies;
mod pools;
mod routes;
mod source;
mod suggestions;

use std::collections::BTreeMap;

use kdl::{KdlDocument, KdlNode};
use miette::SourceSpan;

use crate::error::{SiteError, SiteErrors};
use crate::files::Files;
use crate::model::{Site, SourceLocation};
pub(crate) use source::{FileId, Source};

use files::NamedValue;
use source::include_chain;

/// Reads a site as the instance of this name and zone sees it: overrides for others have no effect.
///
/// # Errors
///
/// All errors of the site, each with its location.
pub fn read(files: &dyn Files, path: &str, instance: &str, zone: &str) -> Result<Site, SiteErrors> {
    let mut reader = Reader { files, sources: Vec::new(), errors: Vec::new(), values: BTreeMap::new() };
    let statements = reader.read_root(path);
    let site = reader.build_site(statements, instance, zone);
    let mut errors = reader.errors;
    if !errors.is_empty() {
        // In the order in which a person reads: the first file first, from its top.
        let reading_order = |error: &SiteError| {
            let file = reader.sources.iter().position(|source| source.name() == error.file());
            (file, error.position())
        };
        errors.sort_by_key(reading_order);
        return Err(SiteErrors(errors));
    }
    Ok(Site { sources: reader.sources, ..site })
}

/// What is known of a site while it is read.
struct Reader<'a> {
    files: &'a dyn Files,
    sources: Vec<Source>,
    errors: Vec<SiteError>,
    values: BTreeMap<String, NamedValue>,
}

/// A statement at the top level of a file.
struct Statement {
    file: FileId,
    node: KdlNode,
}

/// A pool, policy or route with its name.
struct Definition {
    file: FileId,
    node: KdlNode,
    name: String,
}

/// Names of pools or policies, with their indices in the site.
type NameIndex = BTreeMap<String, usize>;

/// The statements between the braces of a node.
fn children(node: &KdlNode) -> &[KdlNode] {
    node.children().map(KdlDocument::nodes).unwrap_or_default()
}

impl Reader<'_> {
    /// Adds an error; without a help text where `help` is empty.
    fn report(&mut self, file: FileId, span: SourceSpan, message: impl Into<String>, help: &str) {
        let help = (!help.is_empty()).then(|| help.to_owned());
        let chain = include_chain(&self.sources, file);
        self.errors.push(SiteError::new(self.sources[file.0].text(), span, message, help, chain));
    }

    fn location(&self, file: FileId, span: SourceSpan) -> SourceLocation {
        let source = &self.sources[file.0];
        SourceLocation {
            file: source.name().to_owned(),
            line: source.line(span.offset()),
            file_id: file,
            span: (span.offset(), span.len()),
        }
    }

    fn build_site(&mut self, statements: Vec<Statement>, instance: &str, zone: &str) -> Site {
        let statements = self.apply_overrides(statements, instance, zone);
        let (mut pools, mut policies, mut routes) = (Vec::new(), Vec::new(), Vec::new());
        for Statement { file, node } in statements {
            let definitions = match node.name().value() {
                "pool" => &mut pools,
                "policy" => &mut policies,
                "route" => &mut routes,
                _ => {
                    let known = ["include", "let", "override", "policy", "pool", "route"];
                    self.report_unknown_statement(file, &node, "a site", &known);
                    continue;
                }
            };
            let expected = format!("a name, as in `{} \"quick\"`", node.name().value());
            if let Some(name) = self.single_text(file, &node, &expected) {
                definitions.push(Definition { file, node, name });
            }
        }
        for definitions in [&pools, &policies, &routes] {
            self.check_names_are_unique(definitions);
        }
        let (pool_names, policy_names) = (name_index(&pools), name_index(&policies));
        Site {
            pools: pools.iter().map(|pool| self.read_pool(pool, &pool_names)).collect(),
            policies: policies.iter().map(|policy| self.read_policy(policy)).collect(),
            routes: routes
                .iter()
                .filter_map(|route| self.read_route(route, &pool_names, &policy_names))
                .collect(),
            sources: Vec::new(),
        }
    }

    fn check_names_are_unique(&mut self, definitions: &[Definition]) {
        for (index, Definition { file, node, name }) in definitions.iter().enumerate() {
            if let Some(first) = definitions[..index].iter().find(|earlier| earlier.name == *name) {
                let SourceLocation { file: first_file, line, .. } =
                    self.location(first.file, first.node.span());
                let kind = node.name().value();
                let message = format!("the {kind} {name:?} is defined twice: first at {first_file}:{line}");
                self.report(*file, node.name().span(), message, "give one of the two another name");
            }
        }
    }
}

fn name_index(definitions: &[Definition]) -> NameIndex {
    definitions.iter().enumerate().map(|(index, definition)| (definition.name.clone(), index)).collect()
}
