//! Checks that names cited on the pages exist in the code: source files, identifiers, log messages and tests.
//!
//! A search of the code for a name in back quotes must succeed. Each test collects all citations for which it does
//! not, and lists them by page and line.

#![allow(clippy::expect_used, clippy::panic, reason = "a test ends at the first wrong assumption")]

mod citation;
mod log_table;
mod project;

use citation::{Citation, quoted};
use project::{Words, assert_none, is_identifier_char, line_after, read, root, rust_files, rust_files_of};

/// Paths of the checked pages, relative to the root.
const PAGES: [&str; 8] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/operations.md",
    "docs/design.md",
    "docs/borrowing.md",
    "docs/warm-pools.md",
    "docs/CAPACITY.md",
];
/// The page with the glossary.
const ARCHITECTURE: &str = "docs/architecture.md";
/// First words of commands, which are not texts that the program prints.
const COMMANDS: [&str; 6] = ["badgerdrift", "cargo", "config", "loans", "pools", "serve"];
/// Folders of the root: a citation that begins with one of them is a path.
const FOLDERS: [&str; 7] = ["crates/", "deploy/", "docs/", "examples/", "journal/", "src/", "tests/"];

/// Returns the citations of a page that are one word. Commands and examples have several words.
fn citations(page: &str) -> Vec<Citation> {
    let mut found = quoted(page, &read(&root().join(page)));
    found.retain(|citation| !citation.text.contains(char::is_whitespace));
    found
}

fn all_citations() -> Vec<Citation> {
    PAGES.iter().flat_map(|page| citations(page)).collect()
}

/// Whether a text is an identifier, or several with `::` between them.
fn is_rust_name(text: &str) -> bool {
    text.split("::").all(|part| !part.is_empty() && part.chars().all(is_identifier_char))
}

/// Whether a text is the path of a source file, of a folder, or of anything in a folder of the root. Patterns with
/// `*` are not paths.
fn is_path(text: &str) -> bool {
    let has_path_form = text.ends_with(".rs") || (text.ends_with('/') && !text.starts_with('/'));
    (has_path_form || FOLDERS.iter().any(|folder| text.starts_with(folder))) && !text.contains('*')
}

fn path_exists(path: &str) -> bool {
    ["", "src"].iter().any(|base| root().join(base).join(path).exists())
}

/// The pages cite paths relative to the root or to `src/`.
#[test]
fn cited_source_paths_exist() {
    let missing = |citation: &Citation| is_path(&citation.text) && !path_exists(&citation.text);
    let found: Vec<String> = all_citations().iter().filter(|c| missing(c)).map(Citation::to_string).collect();
    assert_none("paths that do not exist, from the root or from src/", &found);
}

/// Returns the identifiers in the third column of the glossary.
fn glossary_identifiers() -> Vec<Citation> {
    let text = read(&root().join(ARCHITECTURE));
    let (before, glossary) = text.split_once("## Glossary").expect("a glossary");
    let mut identifiers = Vec::new();
    for (index, row) in glossary.lines().enumerate().filter(|(_, row)| row.starts_with('|')) {
        let types = row.split('|').nth(3).unwrap_or_default();
        let line = line_after(before) + index;
        identifiers.extend(quoted(ARCHITECTURE, types).into_iter().map(|citation| Citation { line, ..citation }));
    }
    identifiers.retain(|citation| is_rust_name(&citation.text));
    identifiers
}

#[test]
fn identifiers_of_the_glossary_exist() {
    let words = Words::of(&["src", "crates"]);
    let identifiers = glossary_identifiers();
    assert!(identifiers.len() > 50, "too few identifiers of the glossary were found: {identifiers:?}");
    let unknown = |citation: &&Citation| !words.have_path(&citation.text);
    let found: Vec<String> = identifiers.iter().filter(unknown).map(Citation::to_string).collect();
    assert_none("identifiers of the glossary that neither src nor crates have", &found);
}

/// Whether a text is certainly a name from the code: a path of identifiers, or an identifier in snake case.
fn is_code_name(text: &str) -> bool {
    is_rust_name(text) && text.contains(['_', ':'])
}

/// Returns the spellings of a metric in the code, which may lack the printed prefix and the suffix of counters.
fn metric_spellings(name: &str) -> [String; 2] {
    let bare = name.strip_prefix("badgerdrift_").unwrap_or(name);
    [format!("badgerdrift_{bare}"), bare.strip_suffix("_total").unwrap_or(bare).to_string()]
}

/// Includes names of settings, metrics and tests: each is a word of some source file.
#[test]
fn cited_names_exist() {
    let words = Words::of(&["src", "crates", "tests", "examples"]);
    let known = |name: &str| words.have_path(name) || metric_spellings(name).iter().any(|word| words.has(word));
    let unknown = |citation: &&Citation| is_code_name(&citation.text) && !known(&citation.text);
    let found: Vec<String> = all_citations().iter().filter(unknown).map(Citation::to_string).collect();
    assert_none("names that no source file has", &found);
}

/// Whether a text is several words in lower case, like a log message or a reason that the program prints.
fn is_printed_text(text: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_lowercase() || " ,'".contains(c);
    let first = text.split(' ').next().unwrap_or_default();
    text.contains(' ') && text.chars().all(is_plain) && !COMMANDS.contains(&first)
}

/// A message that is cited anywhere on a page must be a whole string literal of the code, so that a search finds it.
#[test]
fn cited_messages_exist() {
    let code: String = rust_files(&root().join("src")).iter().map(|path| read(path)).collect();
    let mut found = Vec::new();
    for citation in PAGES.iter().flat_map(|page| quoted(page, &read(&root().join(page)))) {
        let text = citation.text.split_whitespace().collect::<Vec<_>>().join(" ");
        if is_printed_text(&text) && !code.contains(&format!("\"{text}\"")) {
            found.push(citation.to_string());
        }
    }
    assert_none("messages that are not a string literal in src", &found);
}

/// Returns the name of the function that begins on this line, or `None`.
fn function_name(line: &str) -> Option<&str> {
    let line = line.trim_start().trim_start_matches("pub ").trim_start_matches("async ");
    line.strip_prefix("fn ")?.split(|c| !is_identifier_char(c)).next()
}

/// Returns the names of the functions of a file that have a test attribute.
fn test_names_of(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut is_test = false;
    for line in text.lines() {
        let line = line.trim_start();
        if let Some(name) = function_name(line) {
            names.extend(is_test.then(|| name.to_string()));
            is_test = false;
        } else if line.starts_with("#[") {
            is_test |= line.starts_with("#[test]") || line.contains("::test");
        } else if !line.starts_with("//") {
            is_test = false;
        }
    }
    names
}

/// A citation that ends in `...` is the beginning of the name of a test.
#[test]
fn cited_tests_exist() {
    let files = rust_files_of(&["src", "crates", "tests"]);
    let tests: Vec<String> = files.iter().flat_map(|path| test_names_of(&read(path))).collect();
    assert!(tests.len() > 300, "too few tests were found: {}", tests.len());
    let is_unknown = |citation: &&Citation| {
        let prefix = citation.text.strip_suffix("...").map(|name| name.rsplit("::").next().unwrap_or(name));
        prefix.is_some_and(|prefix| is_rust_name(prefix) && !tests.iter().any(|test| test.starts_with(prefix)))
    };
    let found: Vec<String> = all_citations().iter().filter(is_unknown).map(Citation::to_string).collect();
    assert_none("beginnings of test names that no test has", &found);
}
