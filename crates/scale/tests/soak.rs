//! Soak runs with real controllers on loopback: random faults, and the checks that must find a broken controller.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn scenario() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale/soak.hcl")
}

fn soak(scenario: &Path, arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_badgerdrift-scale");
    Command::new(program).arg("soak").arg(scenario).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Writes a file of the test and returns its path.
fn write(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("badgerdrift-soak-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

// Guards against rules that break, and accepted jobs that stay without an answer, after random faults.
#[test]
fn all_accepted_jobs_are_answered_after_random_faults() {
    let output = soak(&scenario(), &["--seeds", "1..3"]);
    assert!(output.status.success(), "{}\n{}", text(&output.stdout), text(&output.stderr));
    assert_eq!(text(&output.stdout).matches("kept").count(), 2, "{}", text(&output.stdout));
}

// Guards against a soak that passes though the controllers do nothing, and against a plan that its seed does not repeat.
#[test]
fn controllers_that_serve_nobody_fail_the_soak_with_the_plan_of_its_seed() {
    let short = std::fs::read_to_string(scenario()).unwrap();
    let short = short.replace("warm_up_s              = 4", "warm_up_s = 1").replace("faults_s  = 20", "faults_s = 3");
    let short = short.replace("longest_s = 9", "longest_s = 1");
    let scenario = write("short.hcl", &short);
    let idle = write("idle.sh", "#!/bin/sh\nexec sleep 60\n");
    std::fs::set_permissions(&idle, std::fs::Permissions::from_mode(0o755)).unwrap();
    let run = || soak(&scenario, &["--seeds", "4..5", "--controller", idle.to_str().unwrap()]);
    let (first, second) = std::thread::scope(|scope| {
        let other = scope.spawn(run);
        (run(), other.join().unwrap())
    });
    std::fs::remove_file(&scenario).unwrap();
    std::fs::remove_file(&idle).unwrap();
    let (first_text, second_text) = (text(&first.stderr), text(&second.stderr));
    assert_eq!(first.status.code(), Some(1), "{first_text}");
    assert!(first_text.contains("no job was accepted"), "{first_text}");
    let plan = |text: &str| text.split_once("seed 4, plan:").map(|(_, plan)| plan.to_string()).unwrap_or_default();
    assert!(plan(&first_text).lines().filter(|line| line.contains(" s for ")).count() >= 4, "{first_text}");
    assert_eq!(plan(&first_text), plan(&second_text), "the same seed draws the same plan");
}

#[test]
fn a_bad_range_of_seeds_or_scenario_is_refused_in_one_line() {
    let without_quiet_end = std::fs::read_to_string(scenario()).unwrap().replace("= 105", "= 50");
    let too_short = write("bad.hcl", &without_quiet_end);
    let cases = [
        (scenario(), "5..5", "--seeds: must be a range"),
        (scenario(), "seven", "--seeds: must be a range"),
        (too_short.clone(), "1..2", "soak.faults_s: must be"),
    ];
    for (scenario, seeds, reason) in cases {
        let output = soak(&scenario, &["--seeds", seeds]);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(reason) && said.lines().count() == 1, "{said}");
        assert!(output.stdout.is_empty(), "nothing was started");
    }
    std::fs::remove_file(&too_short).unwrap();
}
