//! Checks of the table of log lines against the log calls of the code.

use super::citation::quoted;
use super::project::{assert_none, is_identifier_char, line_after, read, root, rust_files};
use std::fmt;

/// The page with the table of log lines.
const OPERATIONS: &str = "docs/operations.md";
/// Levels whose messages are listed in the table.
const LOGGED_LEVELS: [&str; 3] = ["info", "warn", "error"];

/// A call of a logging macro.
#[derive(Debug)]
struct LogCall {
    level: &'static str,
    message: String,
    /// Text between the macro's parentheses.
    arguments: String,
    /// Path of the file, relative to `src/`.
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
    /// Whether the row has the level and message of the call.
    fn describes(&self, call: &LogCall) -> bool {
        self.level == call.level && self.message == call.message
    }
}

/// Returns the text between the parentheses of a macro. `text` begins after the opening one.
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

/// Returns the log calls of one level in a file. The message is the last string literal of the macro.
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
            "{module}: log macros must be called with their full path, otherwise this test does not find them"
        );
        calls.extend(LOGGED_LEVELS.iter().flat_map(|level| log_calls_of(level, &module, &text)));
    }
    calls
}

/// Parses a line of the table, or returns `None` if it is not a row with a log level.
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

/// Whether the file has a log call with the level, message and fields of this row.
fn logs_row(calls: &[LogCall], row: &LogRow, module: &str) -> bool {
    let has_field =
        |call: &LogCall, field: &String| call.arguments.split(|c| !is_identifier_char(c)).any(|word| word == field);
    let logs = |call: &&LogCall| row.describes(call) && call.module == module;
    calls.iter().filter(logs).any(|call| row.fields.iter().all(|field| has_field(call, field)))
}

#[test]
fn each_row_of_the_log_table_is_logged() {
    let (calls, rows) = (log_calls(), log_rows());
    assert!(rows.len() > 30, "too few rows of the table were found: {rows:?}");
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
