//! Runs the program and records its output.

use std::process::{Command, Stdio};

/// Runs the program, and returns its exit status, standard output and standard error as text. The first text of each
/// pair in `replaced` is replaced by the second, so that the transcript has no paths and ports.
pub fn transcript(arguments: &[&str], replaced: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerdrift"));
    let output = command.args(arguments).env_remove("LOG_LEVEL").stdin(Stdio::null()).output().unwrap();
    let text = format!(
        "$ badgerdrift {}\n[exit {}]\n{}[stderr]\n{}\n",
        arguments.join(" "),
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap()
    );
    replaced.iter().fold(text, |text, (from, to)| text.replace(from, to))
}
