//! The corpus of the fuzz target, replayed. `docs/operators/scenarios.md` says how it grows.

mod shared;

/// Danger: a program that ends on what it finds in its folder never starts again.
#[test]
fn no_file_of_the_corpus_does_harm() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).expect("the corpus").map(|file| file.expect("a file").path()).collect();
    files.sort();
    assert!(files.len() >= 10, "{} files", files.len());
    for file in files {
        let bytes = std::fs::read(&file).expect("its bytes");
        shared::check(&bytes);
        // And whatever is cut off it.
        (0..bytes.len()).step_by(7).for_each(|cut| shared::check(&bytes[..cut]));
    }
}
