//! Runs the program, and writes down what it shows.

use std::process::{Command, Stdio};

/// Exit status, standard output and standard error of a run, as text. Each of `replaced` is
/// written as its second part, so that paths and ports do not show.
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
