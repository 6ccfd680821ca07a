//! What is wrong with a site: where, what, and what to write instead.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};

/// One fault.
#[derive(Clone, Debug)]
pub struct Fault {
    source: Arc<NamedSource<String>>,
    span: SourceSpan,
    message: String,
    help: Option<String>,
    /// The includes that led here, the innermost first.
    chain: Vec<String>,
}

impl Fault {
    pub(crate) fn new(
        source: Arc<NamedSource<String>>,
        span: SourceSpan,
        message: impl Into<String>,
        help: Option<String>,
        chain: Vec<String>,
    ) -> Self {
        Self { source, span, message: message.into(), help, chain }
    }

    /// What is wrong.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// What to write instead.
    pub fn help_text(&self) -> Option<&str> {
        self.help.as_deref()
    }

    /// The file.
    pub fn file(&self) -> &str {
        self.source.name()
    }

    /// Line and column, counted from 1.
    pub fn position(&self) -> (usize, usize) {
        position(self.source.inner(), self.span.offset())
    }

    /// The line at fault.
    pub fn line(&self) -> &str {
        self.source.inner().lines().nth(self.position().0 - 1).unwrap_or_default()
    }

    /// Where the files that include this one do so, the innermost first.
    pub fn chain(&self) -> &[String] {
        &self.chain
    }
}

/// Line and column of a byte, counted from 1; columns count characters.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let mut text = self.help.clone().unwrap_or_default();
        for link in &self.chain {
            text += &format!("{}included at {link}", if text.is_empty() { "" } else { "\n" });
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

/// All faults of a site, in the order of their places.
#[derive(Clone, Debug, Default)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for fault in &self.0 {
            let (line, column) = fault.position();
            writeln!(f, "{}:{line}:{column}: {}", fault.file(), fault.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
