//! Names of settings. Samples with every name are accepted. With a misspelt name, a value of a wrong type or a negative
//! number the program prints the recorded error.

use crate::{golden, program};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Options of `check`, each with its sample file.
const SAMPLES: [(&str, &str); 5] = [
    ("--config", "settings.toml"),
    ("--operator", "operator.hcl"),
    ("--fleet", "fleet.hcl"),
    ("--warm-pools", "warm-pools.hcl"),
    ("--borrowing", "borrowing.hcl"),
];
/// Sample of a file with changes, which `config diff` reads.
const CHANGES: &str = "changes.hcl";
/// Address at which no process listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Returns the path of a sample file.
fn sample(name: &str) -> PathBuf {
    golden::path("settings").join(name)
}

/// Runs `check` with all samples, the one named `replaced` replaced by `file`, and returns the result.
fn check(replaced: &str, file: &Path) -> String {
    let file_of = |name: &str| if name == replaced { file.to_path_buf() } else { sample(name) };
    let options = SAMPLES.iter().flat_map(|(option, name)| [option.to_string(), file_of(name).display().to_string()]);
    let arguments: Vec<String> = std::iter::once("check".to_string()).chain(options).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (file, samples) = (file.display().to_string(), golden::path("settings").display().to_string());
    result(&program::transcript(&arguments, &[(&file, "FILE"), (&samples, "SAMPLES")]))
}

/// Runs `config diff` with this file, and returns the result.
fn diff(file: &Path) -> String {
    let file = file.display().to_string();
    result(&program::transcript(&["config", "--controller", UNUSED_ADDRESS, "diff", &file], &[(&file, "FILE")]))
}

/// Returns a transcript without the command line.
fn result(transcript: &str) -> String {
    transcript.split_once('\n').map(|(_, result)| result.to_string()).unwrap_or_default()
}

/// Returns the invalid variants of a line, each with its kind.
fn variants(line: &str) -> Vec<(&'static str, String)> {
    let trimmed = line.trim_start();
    let name_end =
        trimmed.find(|character: char| !character.is_alphanumeric() && character != '_').unwrap_or(trimmed.len());
    if name_end == 0 {
        return table_variants(line);
    }
    let end = line.len() - trimmed.len() + name_end;
    let mut variants = vec![("misspelt", format!("{}_x{}", &line[..end], &line[end..]))];
    if let Some((name, value)) = line.split_once(" = ") {
        variants.push(("wrong type", format!("{name} = [{{ wrong = 1 }}]")));
        if value.parse::<f64>().is_ok() {
            variants.push(("negative", format!("{name} = -{value}")));
        }
    }
    variants
}

/// Returns the invalid variants of the header of a table in TOML.
fn table_variants(line: &str) -> Vec<(&'static str, String)> {
    let Some(end) = line.find(']') else { return Vec::new() };
    vec![("misspelt", format!("{}_x{}", &line[..end], &line[end..]))]
}

/// Returns the output of the program for a sample and for each invalid variant of each of its lines.
fn results(name: &str, run: impl Fn(&Path) -> String) -> String {
    let whole = std::fs::read_to_string(sample(name)).unwrap();
    let mut text = format!("# {name}\n{}", run(&sample(name)));
    let lines: Vec<&str> = whole.lines().collect();
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("variant-{}-{name}", std::process::id()));
    for (number, line) in lines.iter().enumerate() {
        for (kind, changed) in variants(line) {
            let mut variant = lines.clone();
            variant[number] = &changed;
            std::fs::write(&file, variant.join("\n") + "\n").unwrap();
            let _ = write!(text, "## line {}, {kind}: {}\n{}", number + 1, changed.trim(), run(&file));
        }
    }
    text
}

#[test]
fn samples_with_every_name_are_accepted() {
    let result = check("operator.hcl", &sample("operator.hcl"));
    assert!(result.starts_with("[exit 0]\n"), "{result}");
}

#[test]
fn errors_about_platform_settings_match_the_golden_file() {
    golden::assert_same("settings-toml.txt", &results("settings.toml", |file| check("settings.toml", file)));
}

#[test]
fn errors_about_operator_settings_match_the_golden_file() {
    let files = SAMPLES[1..].iter().map(|(_, name)| results(name, |file| check(name, file)));
    golden::assert_same("settings-hcl.txt", &files.collect::<String>());
}

#[test]
fn errors_about_files_with_changes_match_the_golden_file() {
    golden::assert_same("changes-hcl.txt", &results(CHANGES, diff));
}

#[test]
fn the_former_name_of_partitions_is_accepted() {
    let result = check("operator.hcl", &sample("operator-former-name.hcl"));
    assert!(result.starts_with("[exit 0]\n"), "{result}");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("former-name-with-two-{}.hcl", std::process::id()));
    std::fs::write(&file, "parts = 2\n").unwrap();
    let refused = check("operator.hcl", &file);
    assert!(refused.starts_with("[exit 2]\n") && refused.contains("partitions: must be 1"), "{refused}");
}
