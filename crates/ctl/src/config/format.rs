//! `mossheadctl config fmt`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Args;

use crate::outcome::{Outcome, UsageError};

#[derive(Args)]
pub(super) struct Fmt {
    /// The files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Changes nothing; exits with 1 where a file is not in the one form.
    #[arg(long)]
    check: bool,
}

impl Fmt {
    pub(super) fn run(&self) -> anyhow::Result<Outcome> {
        let mut outcome = Outcome::Passed;
        for path in &self.files {
            let name = path.display();
            let text = fs::read_to_string(path).map_err(|error| UsageError(format!("{name}: {error}")))?;
            let formatted = mosshead_site::format(&text).map_err(|_| {
                UsageError(format!("{name}: this is not KDL; `mossheadctl config check` says why"))
            })?;
            if formatted == text {
                continue;
            }
            if self.check {
                println!("{name}: not in the one form; `mossheadctl config fmt {name}` writes it");
                outcome = Outcome::Failed;
            } else {
                replace_file(path, &formatted).with_context(|| format!("{name}"))?;
            }
        }
        Ok(outcome)
    }
}

/// Replaces a file completely or not at all: a site that is cut off half-way would lose its last routes.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let new_path = path.with_extension("kdl.new");
    fs::write(&new_path, text)?;
    fs::rename(new_path, path)
}
