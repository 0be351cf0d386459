//! Reads golden files and compares texts with them.

use std::path::{Path, PathBuf};

/// Returns the path of a golden file.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/v0.2.0/outputs").join(name)
}

/// Reads a golden file.
pub fn read(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Asserts that a text equals a golden file, and fails at the first line that differs. The whole actual text is written
/// to the target directory.
pub fn assert_same(name: &str, actual: &str) {
    let actual_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&actual_file, actual).unwrap();
    let expected = read(name);
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(expected, actual, "{name}, line {}; whole actual text: {}", number + 1, actual_file.display());
    }
    assert_eq!(expected, actual, "{name}; whole actual text: {}", actual_file.display());
}
