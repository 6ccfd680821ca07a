//! A corpus of invalid files: each has its exact message, reviewed by hand, in `tests/snapshots`.

mod common;

use std::fmt::Write;
use std::path::Path;

use common::platform;
use mosshead_site::{MemoryFiles, check, read};

/// One look at the message has to be enough for an operator.
#[test]
fn every_broken_file_gets_its_message() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken");
    let mut names: Vec<String> = std::fs::read_dir(&folder)
        .expect("the corpus is in the repository")
        .filter_map(|entry| entry.ok()?.path().file_stem()?.to_str().map(str::to_owned))
        .collect();
    names.sort();
    assert!(names.len() >= 60, "{} files", names.len());
    let mut all = String::new();
    for name in names {
        let text = std::fs::read_to_string(folder.join(format!("{name}.kdl")))
            .expect("a file of the corpus is readable text");
        let errors = match read(&MemoryFiles::single("site.kdl", &text), "site.kdl", "n1", "memphis") {
            Ok(site) => check(&site, &platform()),
            Err(errors) => errors.0,
        };
        assert!(!errors.is_empty(), "{name} has no error");
        let _ = writeln!(all, "## {name}");
        for error in errors {
            let (line, column) = error.position();
            let _ = writeln!(all, "{}:{line}:{column}: {}", error.file(), error.message());
            let _ = writeln!(all, "    {}", error.source_line().trim_end());
            if let Some(help) = error.help_text() {
                let _ = writeln!(all, "    help: {help}");
            }
        }
    }
    insta::assert_snapshot!(all);
}
