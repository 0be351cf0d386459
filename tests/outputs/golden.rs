//! Golden files, and the comparison with them.

use std::path::{Path, PathBuf};

/// Path of a golden file.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/v0.2.0/outputs").join(name)
}

/// Text of a golden file.
pub fn read(name: &str) -> String {
    let path = path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Fails at the first line that differs; the whole actual text is left in the target directory.
pub fn assert_same(name: &str, actual: &str) {
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&left, actual).unwrap();
    let expected = read(name);
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(expected, actual, "{name}, line {}; all of it: {}", number + 1, left.display());
    }
    assert_eq!(expected, actual, "{name}; all of it: {}", left.display());
}
