//! The files of the project and their words.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Returns the root of the project.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Reads a file. Panics if that fails.
pub fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Returns the number of the line on which the text after `before` begins.
pub fn line_after(before: &str) -> usize {
    before.matches('\n').count() + 1
}

/// Returns the Rust files below a folder, except for build outputs.
pub fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap_or_else(|error| panic!("cannot list {}: {error}", folder.display())) {
        let path = entry.expect("an entry of a source folder").path();
        if path.is_dir() && path.file_name().is_some_and(|name| name != "target") {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the Rust files below these folders of the root.
pub fn rust_files_of(folders: &[&str]) -> Vec<PathBuf> {
    folders.iter().flat_map(|folder| rust_files(&root().join(folder))).collect()
}

/// Words of the code without its comments, file by file. The names of folders and modules count as words.
pub struct Words(Vec<HashSet<String>>);

impl Words {
    pub fn of(folders: &[&str]) -> Words {
        Words(rust_files_of(folders).iter().map(|path| words_of(path)).collect())
    }

    /// Whether any file has this word.
    pub fn has(&self, word: &str) -> bool {
        self.0.iter().any(|file| file.contains(word))
    }

    /// Whether one file has all parts of this path, such as a type and its member or a module and its contents.
    pub fn have_path(&self, path: &str) -> bool {
        self.0.iter().any(|file| path.split("::").all(|part| file.contains(part)))
    }
}

/// Returns the words of a file, including the parts of its path.
fn words_of(path: &Path) -> HashSet<String> {
    let names = path.strip_prefix(root()).unwrap_or(path).with_extension("");
    let mut words: HashSet<String> = names.iter().map(|name| name.to_string_lossy().replace('-', "_")).collect();
    for line in read(path).lines().filter(|line| !line.trim_start().starts_with("//")) {
        words.extend(line.split(|c| !is_identifier_char(c)).map(String::from));
    }
    words
}

/// Whether a character can be part of an identifier.
pub fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Asserts that nothing was found, and otherwise fails with a list of everything found.
pub fn assert_none(what: &str, found: &[String]) {
    assert!(found.is_empty(), "{what}:\n{}", found.join("\n"));
}
