//! The files of the project and their words.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

pub fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The number of the line on which the text after `before` begins.
pub fn line_after(before: &str) -> usize {
    before.matches('\n').count() + 1
}

/// The Rust files below a folder, without build outputs.
pub fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap_or_else(|error| panic!("{}: {error}", folder.display())) {
        let path = entry.expect("an entry of a source folder").path();
        if path.is_dir() && path.file_name().is_some_and(|name| name != "target") {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

pub fn rust_files_of(folders: &[&str]) -> Vec<PathBuf> {
    folders.iter().flat_map(|folder| rust_files(&root().join(folder))).collect()
}

/// The words of the code without its comments, file by file; the names of its modules are words.
pub struct Words(Vec<HashSet<String>>);

impl Words {
    pub fn of(folders: &[&str]) -> Words {
        Words(rust_files_of(folders).iter().map(|path| words_of(path)).collect())
    }

    pub fn has(&self, word: &str) -> bool {
        self.0.iter().any(|file| file.contains(word))
    }

    /// Does one file have all parts of this path: a type and its member, or a module and its contents?
    pub fn have_path(&self, path: &str) -> bool {
        self.0.iter().any(|file| path.split("::").all(|part| file.contains(part)))
    }
}

fn words_of(path: &Path) -> HashSet<String> {
    let names = path.strip_prefix(root()).unwrap_or(path).with_extension("");
    let mut words: HashSet<String> = names.iter().map(|name| name.to_string_lossy().replace('-', "_")).collect();
    for line in read(path).lines().filter(|line| !line.trim_start().starts_with("//")) {
        words.extend(line.split(|c| !is_identifier_char(c)).map(String::from));
    }
    words
}

pub fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Fails with all that was found.
pub fn assert_none(what: &str, found: &[String]) {
    assert!(found.is_empty(), "{what}:\n{}", found.join("\n"));
}
