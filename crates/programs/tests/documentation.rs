//! Checks that the documentation matches the repository: relative links, paths, names of the code and of tests, and the
//! explanations of log lines.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Directories that contain no pages or sources of this repository.
const SKIPPED: [&str; 3] = ["target", ".git", "node_modules"];
/// The pages that name tests. Each name in backquotes that looks like a test name must be a test.
const PAGES_WITH_TESTS: [&str; 6] = [
    "docs/design/0008-control-under-faults.md",
    "docs/design/0009-rules-and-tests.md",
    "docs/incidents/0001-drained-while-reading.md",
    "docs/incidents/0002-one-runner-dark.md",
    "docs/incidents/0003-large-configuration-never-arrived.md",
    "docs/incidents/0004-transfer-from-a-lost-control-node.md",
];
/// The pages whose names of code items must exist in the code.
const PAGES_WITH_NAMES: [&str; 2] = ["docs/architecture.md", "docs/glossary.md"];
/// The glossary. The first column of its tables contains former names, which are no longer in the code.
const GLOSSARY: &str = "docs/glossary.md";
/// The page that explains the log lines of the fleet's programs.
const LOG_PAGE: &str = "docs/operators/fleet.md";
/// Test names are sentences with at least this many underscores; other names on these pages have fewer.
const MIN_UNDERSCORES: usize = 3;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn files(directory: &Path, extension: &str, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if path.is_dir() && !SKIPPED.contains(&name) {
            files(&path, extension, found);
        } else if path.extension().is_some_and(|found| found == extension) {
            found.push(path);
        }
    }
}

fn all_files(extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    files(&root(), extension, &mut found);
    found.sort();
    found
}

/// The targets of `[text](target)`.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](").skip(1).filter_map(|rest| rest.split_once(')')).map(|(target, _)| target)
}

/// The texts in backquotes. An unclosed backquote ends with its line.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

fn is_test_name(text: &str) -> bool {
    let is_word = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
    text.bytes().all(is_word) && text.matches('_').count() >= MIN_UNDERSCORES
}

/// All identifiers in the sources and TOML files, and the names of the packages as in Rust paths.
fn identifiers_in_code() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    for extension in ["rs", "toml"] {
        for file in all_files(extension) {
            let text = std::fs::read_to_string(file).unwrap();
            words.extend(identifiers(&text).map(str::to_owned));
            words.extend(
                identifiers(&text).filter_map(|word| word.strip_prefix("mosshead_")).map(str::to_owned),
            );
        }
    }
    for package in std::fs::read_dir(root().join("crates")).unwrap() {
        let name = package.unwrap().file_name().into_string().unwrap();
        words.insert(name.replace('-', "_"));
    }
    words
}

fn identifiers(text: &str) -> impl Iterator<Item = &str> {
    text.split(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_')
        .filter(|word| !word.is_empty())
}

/// True if a quoted word looks like a code item: a type name, or several words joined by underscores.
fn is_code_name(word: &str) -> bool {
    let is_type = word.starts_with(|letter: char| letter.is_ascii_uppercase())
        && word.contains(|letter: char| letter.is_ascii_lowercase());
    let is_joined = word.trim_matches('_').contains('_');
    is_type || is_joined
}

/// The part of a line that may contain names of code items.
fn part_with_names<'a>(page: &str, line: &'a str) -> &'a str {
    let is_row = page == GLOSSARY && line.starts_with('|');
    if is_row { line[1..].split_once('|').map_or("", |(_, rest)| rest) } else { line }
}

#[test]
fn names_of_the_code_on_the_pages_for_newcomers_are_there() {
    let words = identifiers_in_code();
    let mut missing = Vec::new();
    let mut count = 0;
    for page in PAGES_WITH_NAMES {
        let text = std::fs::read_to_string(root().join(page)).unwrap();
        for (number, line) in text.lines().enumerate() {
            let names =
                quoted(part_with_names(page, line)).flat_map(identifiers).filter(|name| is_code_name(name));
            for name in names {
                count += 1;
                if !words.contains(name) {
                    missing.push(format!("{page}:{}: {name}", number + 1));
                }
            }
        }
    }
    assert!(count >= 100, "{count} names only");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn relative_links_of_the_pages_lead_to_files() {
    let mut missing = Vec::new();
    let mut count = 0;
    for page in all_files("md") {
        let text = std::fs::read_to_string(&page).unwrap();
        let directory = page.parent().unwrap();
        for target in links(&text) {
            let path = target.split('#').next().unwrap_or_default();
            if path.is_empty() || path.contains(':') || path.contains(' ') {
                continue;
            }
            count += 1;
            if !directory.join(path).exists() {
                missing.push(format!("{}: {target}", page.display()));
            }
        }
    }
    assert!(count >= 50, "{count} links only");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn paths_of_the_packages_on_the_pages_are_there() {
    let is_path = |text: &&str| text.starts_with("crates/") && !text.contains([' ', '*', '{', '<']);
    let mut missing = Vec::new();
    let mut count = 0;
    for page in all_files("md") {
        let text = std::fs::read_to_string(&page).unwrap();
        for path in quoted(&text).filter(is_path) {
            count += 1;
            // Some pages append a line number.
            let file = path.split(':').next().unwrap_or_default();
            if !root().join(file).exists() {
                missing.push(format!("{}: {path}", page.display()));
            }
        }
    }
    assert!(count >= 20, "{count} paths only");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn tests_that_the_pages_name_are_there() {
    let sources: Vec<String> =
        all_files("rs").iter().map(|file| std::fs::read_to_string(file).unwrap()).collect();
    let mut missing = Vec::new();
    let mut count = 0;
    for page in PAGES_WITH_TESTS {
        let text = std::fs::read_to_string(root().join(page)).unwrap();
        for name in quoted(&text).filter(|text| is_test_name(text)).collect::<BTreeSet<&str>>() {
            count += 1;
            let definition = format!("fn {name}(");
            if !sources.iter().any(|source| source.contains(&definition)) {
                missing.push(format!("{page}: {name}"));
            }
        }
    }
    assert!(count >= 50, "{count} tests only");
    assert!(missing.is_empty(), "tests that are not there:\n{}", missing.join("\n"));
}

/// The event of each log line in a source file: the text after the component prefix, without the fields.
fn logged_events(source: &str) -> impl Iterator<Item = String> {
    let calls = source.split("spdlog::").skip(1).filter(|call| !call.starts_with(['{', ':']));
    let formats = calls.filter_map(|call| {
        let arguments = call.split_once("!(")?.1.trim_start();
        arguments.strip_prefix('"')?.split('"').next()
    });
    formats.map(|format| {
        let event = format.split_once(": ").map_or(format, |(_, event)| event);
        let words = event.split(' ').take_while(|word| !word.contains('='));
        words.collect::<Vec<_>>().join(" ")
    })
}

#[test]
fn each_line_of_the_log_is_explained() {
    let page = std::fs::read_to_string(root().join(LOG_PAGE)).unwrap();
    let mut sources = Vec::new();
    files(&root().join("crates/programs/src"), "rs", &mut sources);
    let events: BTreeSet<String> = sources
        .iter()
        .flat_map(|file| logged_events(&std::fs::read_to_string(file).unwrap()).collect::<Vec<_>>())
        .collect();
    assert!(events.len() >= 15, "{events:?}");
    let missing: Vec<&String> = events.iter().filter(|event| !page.contains(event.as_str())).collect();
    assert!(missing.is_empty(), "{LOG_PAGE} does not explain {missing:?}");
}
