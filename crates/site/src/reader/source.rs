//! The files of a site, and how one came to include another.

use std::sync::Arc;

use miette::{NamedSource, SourceSpan};

use crate::error::SiteError;
use crate::model::{Site, SourceLocation};

/// The number of a file among the sources of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FileId(pub(crate) usize);

/// A file of a site.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    text: Arc<NamedSource<String>>,
    /// Offsets at which the lines after the first begin. They are computed once, since a large site has thousands of
    /// locations.
    line_starts: Arc<[usize]>,
    /// The `include` statement that leads to it, with the file that contains it; none for the first file.
    pub(super) included_at: Option<(FileId, SourceSpan)>,
}

impl Source {
    pub(super) fn new(text: Arc<NamedSource<String>>, included_at: Option<(FileId, SourceSpan)>) -> Source {
        let line_ends = text.inner().bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = line_ends.map(|(offset, _)| offset + 1).collect();
        Source { text, line_starts, included_at }
    }

    pub(crate) fn name(&self) -> &str {
        self.text.name()
    }

    pub(crate) fn text(&self) -> Arc<NamedSource<String>> {
        self.text.clone()
    }

    /// The line of a byte, counted from 1.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) + 1
    }
}

/// Where the files that led to this one are included, the innermost first.
pub(super) fn include_chain(sources: &[Source], mut file: FileId) -> Vec<String> {
    let mut chain = Vec::new();
    while let Some((including, span)) = sources[file.0].included_at {
        let source = &sources[including.0];
        chain.push(format!("{}:{}", source.name(), source.line(span.offset())));
        file = including;
    }
    chain
}

impl Site {
    /// An error at the location of something in this site.
    pub(crate) fn error_at(&self, location: &SourceLocation, message: String, help: &str) -> SiteError {
        let text = self.sources[location.file_id.0].text();
        let chain = include_chain(&self.sources, location.file_id);
        SiteError::new(text, location.span.into(), message, Some(help.to_owned()), chain)
    }
}
