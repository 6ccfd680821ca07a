//! What the comparison with bytes of earlier versions accepts, and what it fails on.

use std::collections::BTreeMap;
use std::panic::catch_unwind;

use mosshead_test_data::{FormerData, files_of};
use tempfile::TempDir;

/// A package whose data are one value (7) in the file `number.cbor` and a file that is no value.
fn package() -> TempDir {
    let package = tempfile::tempdir().unwrap();
    let directory = package.path().join("tests/data/former");
    std::fs::create_dir_all(&directory).unwrap();
    std::fs::write(directory.join("number.cbor"), minicbor::to_vec(7_u64).unwrap()).unwrap();
    std::fs::write(directory.join("README.md"), "Bytes of earlier versions").unwrap();
    package
}

fn data(package: &TempDir) -> FormerData {
    FormerData::of_package(package.path().to_str().unwrap())
}

#[test]
fn values_are_found_by_their_names() {
    let package = package();
    assert_eq!(data(&package).cbor_names().into_iter().collect::<Vec<_>>(), ["number"]);
    assert_eq!(data(&package).cbor("number"), [7]);
    assert_eq!(data(&package).files().into_keys().collect::<Vec<_>>(), ["README.md", "number.cbor"]);
}

#[test]
fn a_value_that_is_written_as_before_passes() {
    let package = package();
    data(&package).assert_round_trip("number", &7_u64);
    data(&package).assert_same_encoding("number", &7_u64);
}

#[test]
fn another_value_or_another_type_or_a_missing_file_fails() {
    let package = package();
    let data = data(&package);
    assert!(catch_unwind(|| data.assert_round_trip("number", &8_u64)).is_err());
    assert!(catch_unwind(|| data.assert_same_encoding("number", &8_u64)).is_err());
    assert!(catch_unwind(|| data.assert_round_trip("number", &String::from("7"))).is_err());
    assert!(catch_unwind(|| data.assert_same_encoding("number", &String::from("7"))).is_err());
    assert!(catch_unwind(|| data.assert_round_trip("missing", &7_u64)).is_err());
    assert!(catch_unwind(|| data.bytes("missing")).is_err());
    assert!(catch_unwind(|| data.subdirectory("missing").files()).is_err());
}

#[test]
fn a_copy_has_the_same_files() {
    let (package, copy) = (package(), tempfile::tempdir().unwrap());
    data(&package).copy_to(copy.path());
    assert_eq!(files_of(copy.path()), data(&package).files());
    assert_ne!(files_of(copy.path()), BTreeMap::new());
}
