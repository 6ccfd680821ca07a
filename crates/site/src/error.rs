//! What is wrong with a site: what, where, and what to write instead.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};

/// One error of a site.
#[derive(Clone, Debug)]
pub struct SiteError {
    source: Arc<NamedSource<String>>,
    span: SourceSpan,
    message: String,
    help: Option<String>,
    /// Where the file is included, the innermost first.
    include_chain: Vec<String>,
}

impl SiteError {
    pub(crate) fn new(
        source: Arc<NamedSource<String>>,
        span: SourceSpan,
        message: impl Into<String>,
        help: Option<String>,
        include_chain: Vec<String>,
    ) -> Self {
        Self { source, span, message: message.into(), help, include_chain }
    }

    /// What is wrong.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// What to write instead.
    pub fn help_text(&self) -> Option<&str> {
        self.help.as_deref()
    }

    /// The path of the file.
    pub fn file(&self) -> &str {
        self.source.name()
    }

    /// Line and column, counted from 1.
    pub fn position(&self) -> (usize, usize) {
        position(self.source.inner(), self.span.offset())
    }

    /// The text of the line.
    pub fn source_line(&self) -> &str {
        self.source.inner().lines().nth(self.position().0 - 1).unwrap_or_default()
    }

    /// Where the file is included, as `FILE:LINE`, the innermost first.
    pub fn include_chain(&self) -> &[String] {
        &self.include_chain
    }
}

/// Line and column of a byte, counted from 1; columns count characters.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for SiteError {}

impl Diagnostic for SiteError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let mut text = self.help.clone().unwrap_or_default();
        for location in &self.include_chain {
            text += &format!("{}included at {location}", if text.is_empty() { "" } else { "\n" });
        }
        (!text.is_empty()).then(|| Box::new(text) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&*self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(None, self.span))))
    }
}

/// All errors of a site, in the order of their locations.
#[derive(Clone, Debug, Default)]
pub struct SiteErrors(pub Vec<SiteError>);

impl fmt::Display for SiteErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for error in &self.0 {
            let (line, column) = error.position();
            writeln!(f, "{}:{line}:{column}: {}", error.file(), error.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SiteErrors {}
