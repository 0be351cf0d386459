//! What a run that fails tells its user. The controllers are scripts that fail in a known way.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Controller that sends the state service far more requests than any rule allows.
const FLOODING_CONTROLLER: &str = r#"#!/bin/bash
state=$(sed -n 's/^state = "\(.*\)"$/\1/p' "$3")
flood() {
    until { exec 3<>"/dev/tcp/${state%:*}/${state#*:}"; } 2>/dev/null; do sleep 0.02; done
    for _ in {1..2000}; do printf 'GET /store/part/0 HTTP/1.1\r\nhost: state\r\n\r\n'; done >&3 &
    cat <&3 >/dev/null 2>&1
}
echo "the flood begins" >&2
for _ in {1..4}; do flood & done
wait
"#;

/// Controller that ends as one whose port is in use.
const ENDING_CONTROLLER: &str = "#!/bin/bash\necho \"badgerdrift: a port can't be opened\" >&2\nexit 1\n";

/// A script in place of the controller program, in a directory of its own that also takes the directories of runs.
struct FakeController {
    directory: PathBuf,
}

impl FakeController {
    fn create(name: &str, script: &str) -> FakeController {
        let directory = std::env::temp_dir().join(format!("badgerdrift-{name}-{}", std::process::id()));
        std::fs::create_dir(&directory).unwrap();
        let controller = FakeController { directory };
        std::fs::write(controller.program(), script).unwrap();
        std::fs::set_permissions(controller.program(), std::fs::Permissions::from_mode(0o755)).unwrap();
        controller
    }

    fn program(&self) -> PathBuf {
        self.directory.join("controller")
    }

    /// Runs a command of the load tool with this controller.
    fn run(&self, command: &str, scenario: &str, arguments: &[&str]) -> Output {
        let scenario = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale").join(scenario);
        Command::new(env!("CARGO_BIN_EXE_badgerdrift-scale"))
            .arg(command)
            .arg(scenario)
            .args(arguments)
            .args(["--seed", "5", "--controller", self.program().to_str().unwrap()])
            .env("TMPDIR", &self.directory)
            .output()
            .unwrap()
    }

    /// Returns the directory of settings and logs that a run says it has kept.
    fn kept_directory(&self, printed: &str) -> PathBuf {
        let line = printed.lines().find(|line| line.contains("are kept in")).expect(printed);
        let kept = PathBuf::from(line.rsplit_once(' ').unwrap().1);
        assert!(kept.starts_with(&self.directory), "{printed}");
        kept
    }
}

impl Drop for FakeController {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

// Guards against a burst, a comparison or a sweep that ends with a failure and no message.
#[test]
fn a_broken_rule_is_printed_with_its_history_by_each_command() {
    let commands: [(&str, &str, &[&str]); 4] = [
        ("run", "small.hcl", &[]),
        ("burst", "small-burst.hcl", &[]),
        ("borrow", "small-borrowing.hcl", &[]),
        ("sweep", "small.hcl", &["--sizes", "0.5,0.6,0.7,0.8"]),
    ];
    for (command, scenario, arguments) in commands {
        let controller = FakeController::create(&format!("flood-{command}"), FLOODING_CONTROLLER);
        let output = controller.run(command, scenario, arguments);
        let printed = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{command}: {printed}");
        let rule = "sent over 1000 requests in a second to the state service";
        assert!(printed.contains("rule broken in region-") && printed.contains(rule), "{command}: {printed}");
        assert!(printed.contains("broken rule: n"), "{command}: the history is missing: {printed}");
        let logs = std::fs::read_dir(controller.kept_directory(&printed)).unwrap().flatten();
        let logs: Vec<PathBuf> =
            logs.map(|log| log.path()).filter(|log| log.extension().is_some_and(|e| e == "log")).collect();
        assert!(!logs.is_empty(), "{command}");
        assert_eq!(std::fs::read_to_string(&logs[0]).unwrap(), "the flood begins\n", "{command}");
    }
}

// Guards against a controller without an address that is only counted, while the run goes on and judges the rules.
#[test]
fn a_controller_that_ends_by_itself_ends_the_run_with_its_last_message() {
    let controller = FakeController::create("ends", ENDING_CONTROLLER);
    let output = controller.run("burst", "small-burst.hcl", &[]);
    let printed = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{printed}");
    assert!(printed.contains(" of region-0 ended by itself"), "{printed}");
    assert!(printed.contains("a port can't be opened"), "{printed}");
    assert!(!printed.contains("rule broken"), "{printed}");
    assert!(controller.kept_directory(&printed).is_dir());
}
