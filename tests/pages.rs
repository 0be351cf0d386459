//! The pages name what the code has: source files, identifiers, log messages and tests.
//!
//! A page that cites a name in back quotes promises a reader that a search for it succeeds. Each
//! test here collects all citations that do not keep that and lists them by page and line.

use std::collections::HashSet;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

/// The pages whose names are checked, relative to the root.
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
/// The page with the table of log lines.
const OPERATIONS: &str = "docs/operations.md";
/// The levels whose messages the table has.
const LOGGED_LEVELS: [&str; 3] = ["info", "warn", "error"];

/// A text in back quotes on a page.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Citation {
    page: String,
    line: usize,
    text: String,
}

impl fmt::Display for Citation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: `{}`", self.page, self.line, self.text)
    }
}

/// A call of a logging macro.
#[derive(Debug)]
struct LogCall {
    level: &'static str,
    message: String,
    /// All that is between the macro's parentheses.
    arguments: String,
    /// The file, relative to `src/`.
    module: String,
    line: usize,
}

impl fmt::Display for LogCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "src/{}:{}: {} {:?}", self.module, self.line, self.level, self.message)
    }
}

/// A row of the table of log lines: level, message, fields, modules, and two cells of prose.
#[derive(Debug)]
struct LogRow {
    line: usize,
    level: String,
    message: String,
    fields: Vec<String>,
    modules: Vec<String>,
}

impl fmt::Display for LogRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{OPERATIONS}:{}: {} `{}`", self.line, self.level, self.message)
    }
}

impl LogRow {
    fn describes(&self, call: &LogCall) -> bool {
        self.level == call.level && self.message == call.message
    }
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The number of the line on which the text after `before` begins.
fn line_after(before: &str) -> usize {
    before.matches('\n').count() + 1
}

/// What a text has in back quotes; a citation may go on over the end of a line.
fn quoted(page: &str, text: &str) -> Vec<Citation> {
    let mut citations = Vec::new();
    let mut line = 1;
    for (index, part) in text.split('`').enumerate() {
        if index % 2 == 1 && !part.is_empty() {
            citations.push(Citation { page: page.into(), line, text: part.into() });
        }
        line += part.matches('\n').count();
    }
    citations
}

/// All citations of a page that are one word: commands and examples have several.
fn citations(page: &str) -> Vec<Citation> {
    let mut found = quoted(page, &read(&root().join(page)));
    found.retain(|citation| !citation.text.contains(char::is_whitespace));
    found
}

fn all_citations() -> Vec<Citation> {
    PAGES.iter().flat_map(|page| citations(page)).collect()
}

/// The Rust files below a folder, without build outputs.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
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

fn rust_files_of(folders: &[&str]) -> Vec<PathBuf> {
    folders.iter().flat_map(|folder| rust_files(&root().join(folder))).collect()
}

/// The words of the code without its comments, file by file; the names of its modules are words.
struct Words(Vec<HashSet<String>>);

impl Words {
    fn of(folders: &[&str]) -> Words {
        Words(rust_files_of(folders).iter().map(|path| words_of(path)).collect())
    }

    fn has(&self, word: &str) -> bool {
        self.0.iter().any(|file| file.contains(word))
    }

    /// Does the code have all parts of this path, with those of a type and its member in one file?
    fn have_path(&self, path: &str) -> bool {
        let parts: Vec<&str> = path.split("::").collect();
        let is_member = |pair: &[&str]| pair[0].starts_with(|c: char| c.is_ascii_uppercase());
        let in_one_file = |pair: &[&str]| self.0.iter().any(|file| pair.iter().all(|part| file.contains(*part)));
        parts.iter().all(|part| self.has(part)) && parts.windows(2).all(|pair| !is_member(pair) || in_one_file(pair))
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

fn is_identifier_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '_'
}

/// Is it made of identifiers, with `::` between them if there are several?
fn is_rust_name(text: &str) -> bool {
    text.split("::").all(|part| !part.is_empty() && part.chars().all(is_identifier_char))
}

/// Fails with all that was found.
fn assert_none(what: &str, found: &[String]) {
    assert!(found.is_empty(), "{what}:\n{}", found.join("\n"));
}

/// Is it the path of a source file, or of a folder? Patterns are none.
fn is_path(text: &str) -> bool {
    let path = text.ends_with(".rs") || (text.ends_with('/') && !text.starts_with('/'));
    path && !text.contains('*')
}

fn path_exists(path: &str) -> bool {
    ["", "src"].iter().any(|base| root().join(base).join(path).exists())
}

/// The pages give paths relative to the root or to `src/`.
#[test]
fn cited_source_paths_exist() {
    let missing = |citation: &Citation| is_path(&citation.text) && !path_exists(&citation.text);
    let found: Vec<String> = all_citations().iter().filter(|c| missing(c)).map(Citation::to_string).collect();
    assert_none("paths that do not exist, from the root or from src/", &found);
}

/// The identifiers in the third column of the glossary.
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
    assert!(identifiers.len() > 50, "the glossary was not read: {identifiers:?}");
    let unknown = |citation: &&Citation| !words.have_path(&citation.text);
    let found: Vec<String> = identifiers.iter().filter(unknown).map(Citation::to_string).collect();
    assert_none("identifiers of the glossary that neither src nor crates have", &found);
}

/// Is it clearly a name from the code: a path of identifiers, or one in snake case?
fn is_code_name(text: &str) -> bool {
    is_rust_name(text) && text.contains(['_', ':'])
}

/// Metrics are printed with a prefix, counters with an ending; the code may have the name without.
fn metric_spellings(name: &str) -> [String; 2] {
    let bare = name.strip_prefix("badgerdrift_").unwrap_or(name);
    [format!("badgerdrift_{bare}"), bare.strip_suffix("_total").unwrap_or(bare).to_string()]
}

/// Also names of settings, metrics and tests: all of them are words of some source file.
#[test]
fn cited_names_exist() {
    let words = Words::of(&["src", "crates", "tests", "examples"]);
    let known = |name: &str| words.have_path(name) || metric_spellings(name).iter().any(|word| words.has(word));
    let unknown = |citation: &&Citation| is_code_name(&citation.text) && !known(&citation.text);
    let found: Vec<String> = all_citations().iter().filter(unknown).map(Citation::to_string).collect();
    assert_none("names that no source file has", &found);
}

/// What is between the parentheses of a macro, of which `text` begins after the first one.
fn macro_arguments(text: &str) -> &str {
    let (mut depth, mut in_string, mut escaped) = (1, false, false);
    for (index, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            '(' if !in_string => depth += 1,
            ')' if !in_string => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..index];
        }
    }
    text
}

/// The calls of one level in a file. The message is the last string of the macro.
fn log_calls_of(level: &'static str, module: &str, text: &str) -> Vec<LogCall> {
    let call = format!("tracing::{level}!(");
    let calls = text.match_indices(&call).map(|(start, _)| {
        let arguments = macro_arguments(&text[start + call.len()..]).to_string();
        let message = arguments.rsplit('"').nth(1).unwrap_or_default().to_string();
        LogCall { level, message, arguments, module: module.into(), line: line_after(&text[..start]) }
    });
    calls.collect()
}

fn log_calls() -> Vec<LogCall> {
    let mut calls = Vec::new();
    for path in rust_files(&root().join("src")) {
        let text = read(&path);
        let module = path.strip_prefix(root().join("src")).unwrap_or(&path).to_string_lossy().to_string();
        assert!(
            !text.contains("use tracing::"),
            "{module}: log macros are called with their path, so that all are found"
        );
        calls.extend(LOGGED_LEVELS.iter().flat_map(|level| log_calls_of(level, &module, &text)));
    }
    calls
}

/// The row of the table of log lines that this line is, if it is one.
fn log_row(line: usize, text: &str) -> Option<LogRow> {
    let cells: Vec<&str> = text.split('|').map(str::trim).collect();
    let [_, level, message, fields, modules, ..] = cells[..] else { return None };
    let names = |cell: &str| quoted(OPERATIONS, cell).into_iter().map(|citation| citation.text).collect();
    let (fields, modules) = (names(fields), names(modules));
    let message = message.trim_matches('`').to_string();
    LOGGED_LEVELS.contains(&level).then(|| LogRow { line, level: level.into(), message, fields, modules })
}

fn log_rows() -> Vec<LogRow> {
    let text = read(&root().join(OPERATIONS));
    let (before, rest) = text.split_once("## Logs").expect("a section about logs");
    let (logs, _) = rest.split_once("\n## ").expect("a section after that");
    let first = line_after(before);
    logs.lines().enumerate().filter_map(|(index, line)| log_row(first + index, line)).collect()
}

#[test]
fn each_log_message_is_in_the_table() {
    let (calls, rows) = (log_calls(), log_rows());
    let is_listed = |call: &LogCall| rows.iter().any(|row| row.describes(call) && row.modules.contains(&call.module));
    let found: Vec<String> = calls.iter().filter(|call| !is_listed(call)).map(LogCall::to_string).collect();
    assert_none(&format!("log messages without a row with their level and module in {OPERATIONS}"), &found);
}

/// Does the file log this row, with all of its fields?
fn logs_row(calls: &[LogCall], row: &LogRow, module: &str) -> bool {
    let has_field =
        |call: &LogCall, field: &String| call.arguments.split(|c| !is_identifier_char(c)).any(|w| w == field);
    let logs = |call: &&LogCall| row.describes(call) && call.module == module;
    calls.iter().filter(logs).any(|call| row.fields.iter().all(|field| has_field(call, field)))
}

#[test]
fn each_row_of_the_log_table_is_logged() {
    let (calls, rows) = (log_calls(), log_rows());
    assert!(rows.len() > 30, "the table was not read: {rows:?}");
    let mut found = Vec::new();
    for row in rows {
        if row.modules.is_empty() {
            found.push(format!("{row}: no module"));
        }
        let missing = row.modules.iter().filter(|module| !logs_row(&calls, &row, module));
        found.extend(missing.map(|module| format!("{row}: not logged with these fields by {module}")));
    }
    assert_none("rows of the log table without a log call", &found);
}

/// The name of the function that a line begins, if it begins one.
fn function_name(line: &str) -> Option<&str> {
    let line = line.trim_start().trim_start_matches("pub ").trim_start_matches("async ");
    line.strip_prefix("fn ")?.split(|c| !is_identifier_char(c)).next()
}

/// The names of the functions of a file that have an attribute of a test.
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

/// A name that ends in `...` is the beginning of a test's name.
#[test]
fn cited_tests_exist() {
    let files = rust_files_of(&["src", "crates", "tests"]);
    let tests: Vec<String> = files.iter().flat_map(|path| test_names_of(&read(path))).collect();
    assert!(tests.len() > 300, "the tests were not found: {}", tests.len());
    let is_unknown = |citation: &&Citation| {
        let prefix = citation.text.strip_suffix("...").map(|name| name.rsplit("::").next().unwrap_or(name));
        prefix.is_some_and(|prefix| is_rust_name(prefix) && !tests.iter().any(|test| test.starts_with(prefix)))
    };
    let found: Vec<String> = all_citations().iter().filter(is_unknown).map(Citation::to_string).collect();
    assert_none("beginnings of tests' names that no test has", &found);
}
