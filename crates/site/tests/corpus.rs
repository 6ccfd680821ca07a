//! A corpus of broken files: each has its exact message, reviewed by hand, in `tests/snapshots`.

mod common;

use std::fmt::Write;
use std::path::Path;

use common::platform;
use mosshead_site::{Memory, check, read};

/// Guards operators: one look at the message has to be enough.
#[test]
fn every_broken_file_gets_its_message() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken");
    let mut names: Vec<String> = std::fs::read_dir(&folder)
        .expect("the corpus")
        .filter_map(|entry| entry.ok()?.path().file_stem()?.to_str().map(str::to_owned))
        .collect();
    names.sort();
    assert!(names.len() >= 60, "{} files", names.len());
    let mut all = String::new();
    for name in names {
        let text = std::fs::read_to_string(folder.join(format!("{name}.kdl"))).expect("a file");
        let faults = match read(&Memory::one("site.kdl", &text), "site.kdl", "n1", "memphis") {
            Ok(site) => check(&site, &platform()),
            Err(faults) => faults.0,
        };
        assert!(!faults.is_empty(), "{name} is not broken");
        let _ = writeln!(all, "## {name}");
        for fault in faults {
            let (line, column) = fault.position();
            let _ = writeln!(all, "{}:{line}:{column}: {}", fault.file(), fault.message());
            let _ = writeln!(all, "    {}", fault.line().trim_end());
            if let Some(help) = fault.help_text() {
                let _ = writeln!(all, "    help: {help}");
            }
        }
    }
    insta::assert_snapshot!(all);
}
