//! A corpus of broken files: each has its exact message, reviewed by hand, in `tests/snapshots`.

use std::fmt::Write;
use std::path::Path;

use mosshead_site::{ClassFacts, Memory, Platform, check, read};
use mosshead_units::Time;

fn platform() -> Platform {
    let class = |name: &str, ms, safe| ClassFacts { name: name.to_owned(), deadline: Time::ms(ms), safe };
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let server = |zone: &str, at: u32| (zone.to_owned(), "standard".to_owned(), format!("s-{at}"));
    Platform {
        classes: vec![
            class("slot-lookup", 4000, true),
            class("book-lesson", 6000, false),
            class("package-pay", 2500, false),
        ],
        tenants: names(&["piano-strings", "band-voice"]),
        zones: names(&["memphis", "nashville", "birmingham"]),
        kinds: names(&["standard", "older"]),
        servers: vec![server("memphis", 1), server("nashville", 2), server("birmingham", 3)],
        attempts: 4,
    }
}

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
