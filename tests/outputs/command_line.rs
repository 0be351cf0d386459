//! The command line: its help, and what is said of bad usage and bad files.

use crate::{golden, program};

/// The program's commands.
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

/// The directory of the settings in command lines.
const DATA: &str = "DATA";
/// Stands for the version of the program.
const VERSION: &str = "VERSION";

fn run(line: &str, last: &[&str]) -> String {
    let data = golden::path("settings").display().to_string();
    let line = line.replace(DATA, &data);
    let arguments: Vec<&str> = line.split_whitespace().chain(last.iter().copied()).collect();
    program::transcript(&arguments, &[(&data, DATA), (env!("CARGO_PKG_VERSION"), VERSION)])
}

#[test]
fn help_of_every_command_is_as_ever() {
    let text: String = COMMANDS.iter().map(|command| run(command, &["--help"])).collect();
    golden::assert_same("help.txt", &(text + &run("", &["--version"])));
}

#[test]
fn bad_usage_is_told_as_ever() {
    let text: String = BAD_USAGE.iter().map(|line| run(line, &[])).collect();
    golden::assert_same("bad-usage.txt", &text);
}
