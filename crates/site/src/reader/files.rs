//! Files with their includes, and the named values in them.

use std::sync::Arc;

use kdl::{KdlDocument, KdlEntry, KdlError, KdlNode};
use miette::{NamedSource, SourceSpan};

use super::{FileId, Reader, Source, Statement};
use crate::error::SiteError;
use crate::files::resolve_include;

/// The maximum length of a file, in bytes.
const MAX_FILE_LEN: usize = 1 << 20;
/// The maximum number of files of a site.
const MAX_FILES: usize = 64;
/// The maximum number of includes that lead from the first file to another one.
const MAX_INCLUDE_DEPTH: usize = 16;

/// A value that other statements use by `$name`.
pub(super) struct NamedValue {
    pub(super) text: String,
    file: FileId,
    span: SourceSpan,
}

impl Reader<'_> {
    /// The statements of the first file and of all files that it includes, in their order.
    pub(super) fn read_root(&mut self, path: &str) -> Vec<Statement> {
        let mut statements = Vec::new();
        self.read_file(path, None, 0, &mut statements);
        statements
    }

    fn read_file(
        &mut self,
        path: &str,
        included_at: Option<(FileId, SourceSpan)>,
        depth: usize,
        statements: &mut Vec<Statement>,
    ) {
        if self.sources.len() >= MAX_FILES || depth > MAX_INCLUDE_DEPTH {
            let message = format!("`{path}` is one include too many");
            let help =
                format!("a site has at most {MAX_FILES} files, included at most {MAX_INCLUDE_DEPTH} deep");
            return self.report_file(path, included_at, message, &help);
        }
        let text = match self.load_text(path) {
            Ok(text) => text,
            Err((message, help)) => return self.report_file(path, included_at, message, help),
        };
        let file = FileId(self.sources.len());
        let named_text = Arc::new(NamedSource::new(path, text.clone()));
        self.sources.push(Source::new(named_text, included_at));
        let document = match KdlDocument::parse_v2(&text) {
            Ok(document) => document,
            Err(error) => return self.report_syntax_error(file, &text, &error),
        };
        for node in document.nodes() {
            match node.name().value() {
                "include" => self.read_include(file, node, depth, statements),
                "let" => self.read_named_value(file, node),
                _ => statements.push(Statement { file, node: node.clone() }),
            }
        }
    }

    /// The text of a file, or a message and a help text that say why there is none.
    fn load_text(&self, path: &str) -> Result<String, (String, &'static str)> {
        let bytes = self.files.read(path, MAX_FILE_LEN).map_err(|error| {
            (format!("`{path}` cannot be read: {error}"), "includes are relative to the file that includes")
        })?;
        if bytes.len() > MAX_FILE_LEN {
            let message = format!("`{path}` is larger than {} KiB", MAX_FILE_LEN >> 10);
            return Err((message, "split it by `include`, or name another file"));
        }
        String::from_utf8(bytes).map_err(|error| {
            let offset = error.utf8_error().valid_up_to();
            (format!("`{path}` is not UTF-8: byte {offset} starts no character"), "save it as UTF-8")
        })
    }

    /// Reports an error of a file as a whole where it is included; of the first file, at its beginning.
    fn report_file(
        &mut self,
        path: &str,
        included_at: Option<(FileId, SourceSpan)>,
        message: String,
        help: &str,
    ) {
        if let Some((file, span)) = included_at {
            return self.report(file, span, message, help);
        }
        let text = Arc::new(NamedSource::new(path, String::new()));
        self.sources.push(Source::new(text.clone(), None));
        self.errors.push(SiteError::new(text, (0, 0).into(), message, Some(help.to_owned()), Vec::new()));
    }

    /// The parser goes on after an error, and what it then finds is mostly a consequence: only the cause is reported.
    fn report_syntax_error(&mut self, file: FileId, text: &str, error: &KdlError) {
        let is_consequence = |diagnostic: &kdl::KdlDiagnostic| {
            let message = diagnostic.message.as_deref().unwrap_or_default();
            message.starts_with("No closing") || message.starts_with("Closing")
        };
        let diagnostics = &error.diagnostics;
        let cause = diagnostics.iter().find(|diagnostic| !is_consequence(diagnostic)).or(diagnostics.first());
        let Some(cause) = cause else {
            return self.report(file, (0, 0).into(), "this is not KDL", "");
        };
        let rest = text.get(cause.span.offset()..).unwrap_or_default();
        let word = rest.split(|letter: char| !letter.is_ascii_alphanumeric()).next().unwrap_or_default();
        let (message, help) = match (cause.message.as_deref(), word) {
            (_, "true" | "false" | "null") => (format!("`{word}` needs its `#`"), format!("write `#{word}`")),
            (Some("Expected end of document") | None, _) => {
                let help = "write `name value`, `name key=value`, or `name { ... }`, one a line";
                ("this is no statement".to_owned(), help.to_owned())
            }
            (Some(message), _) => (message.to_owned(), cause.help.clone().unwrap_or_default()),
        };
        self.report(file, cause.span, message, &help);
    }

    fn read_include(&mut self, file: FileId, node: &KdlNode, depth: usize, statements: &mut Vec<Statement>) {
        let Some(path) = self.single_text(file, node, "a file, as in `include \"pools.kdl\"`") else {
            return;
        };
        let path = resolve_include(self.sources[file.0].name(), &path);
        // The file itself, and every file that led to it.
        let mut including = Some(file);
        while let Some(ancestor) = including {
            let source = &self.sources[ancestor.0];
            if source.name() == path {
                let message = format!("`{path}` includes itself");
                let help = "take one of the includes of this circle out";
                return self.report(file, node.span(), message, help);
            }
            including = source.included_at.map(|(including, _)| including);
        }
        if self.sources.iter().any(|source| source.name() == path) {
            let message = format!("`{path}` is included twice");
            return self.report(file, node.span(), message, "include each file once");
        }
        self.read_file(&path, Some((file, node.span())), depth + 1, statements);
    }

    fn read_named_value(&mut self, file: FileId, node: &KdlNode) {
        let arguments: Vec<&KdlEntry> =
            node.entries().iter().filter(|entry| entry.name().is_none()).collect();
        let texts: Vec<&str> = arguments.iter().filter_map(|entry| entry.value().as_string()).collect();
        let [name, text] = texts[..] else {
            let help = "write a name and a value with its unit, as in `let patience \"2s\"`";
            return self.report(file, node.span(), "a named value is a name and a text", help);
        };
        if let Some(first) = self.values.get(name) {
            let source = &self.sources[first.file.0];
            let (first_file, line) = (source.name(), source.line(first.span.offset()));
            let message = format!("the value {name:?} is named twice: first at {first_file}:{line}");
            return self.report(file, node.span(), message, "give one of the two another name");
        }
        let value = NamedValue { text: text.to_owned(), file, span: node.span() };
        self.values.insert(name.to_owned(), value);
    }
}
