//! Replays the corpus of the fuzz target. `docs/operators/scenarios.md` describes how to extend it.

mod shared;

/// A program that panics on the content of its folder could never start again.
#[test]
fn no_file_of_the_corpus_causes_a_panic() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the corpus is in the repository")
        .map(|file| file.expect("the folder can be listed").path())
        .collect();
    files.sort();
    assert!(files.len() >= 10, "{} files", files.len());
    for file in files {
        let bytes = std::fs::read(&file).expect("a file of the corpus is readable");
        shared::check_invariants(&bytes);
        (0..bytes.len()).step_by(7).for_each(|length| shared::check_invariants(&bytes[..length]));
    }
}
