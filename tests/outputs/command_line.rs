//! Output of the command line: help, and errors about wrong usage and invalid files.

use crate::{golden, program};

/// Commands of the program.
const COMMANDS: [&str; 14] = [
    "",
    "serve",
    "check",
    "config",
    "config get",
    "config apply",
    "config diff",
    "config outcome",
    "config status",
    "pools",
    "pools status",
    "pools bill",
    "loans",
    "loans status",
];

/// Command lines that are refused before anything is sent.
const BAD_USAGE: [&str; 15] = [
    "",
    "fly",
    "serve",
    "check",
    "check --config DATA/settings.toml --pools x",
    "check --config DATA/absent.toml",
    "check --config DATA",
    "check --config DATA/operator.hcl",
    "check --config DATA/settings.toml --operator DATA/absent.hcl",
    "check --config DATA/settings.toml --fleet DATA/operator.hcl",
    "config status",
    "config --controller nowhere status",
    "pools --controller 127.0.0.1:1 bill --from today --to 2026-12-02",
    "pools --controller 127.0.0.1:1 bill --from 2026-12-03 --to 2026-12-02",
    "config --controller 127.0.0.1:1 get group/red",
];

/// Placeholder for the directory of the sample settings in command lines and outputs.
const DATA: &str = "DATA";
/// Placeholder for the version of the program.
const VERSION: &str = "VERSION";

/// Runs a command line with further arguments, and returns the transcript.
fn run(line: &str, further: &[&str]) -> String {
    let data = golden::path("settings").display().to_string();
    let line = line.replace(DATA, &data);
    let arguments: Vec<&str> = line.split_whitespace().chain(further.iter().copied()).collect();
    program::transcript(&arguments, &[(&data, DATA), (env!("CARGO_PKG_VERSION"), VERSION)])
}

#[test]
fn help_of_every_command_matches_the_golden_file() {
    let text: String = COMMANDS.iter().map(|command| run(command, &["--help"])).collect();
    golden::assert_same("help.txt", &(text + &run("", &["--version"])));
}

#[test]
fn errors_about_wrong_usage_match_the_golden_file() {
    let text: String = BAD_USAGE.iter().map(|line| run(line, &[])).collect();
    golden::assert_same("bad-usage.txt", &text);
}
