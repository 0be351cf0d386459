//! Runs at the same time: networks of their own, and nothing left behind by a run that is killed.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Number of bytes that a new pipe holds.
const PIPE_CAPACITY: usize = 65_536;
/// Time in which a run must start its processes, or its processes must end.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Directory for temporary files of one run, which also marks the run's processes in their environment.
struct RunFiles(PathBuf);

impl RunFiles {
    fn create(name: &str) -> RunFiles {
        let path = std::env::temp_dir().join(format!("badgerdrift-{name}-{}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        RunFiles(path)
    }

    fn report(&self) -> PathBuf {
        self.0.join("report.json")
    }

    /// Creates a program that takes the place of a controller and does nothing.
    fn idle_controller(&self) -> PathBuf {
        let program = self.0.join("controller");
        std::fs::write(&program, "#!/bin/sh\nexec sleep 600\n").unwrap();
        std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
        program
    }

    /// Returns the command of a run with these files.
    fn command(&self, scenario: &str) -> Command {
        let scenario = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale").join(scenario);
        let mut command = Command::new(env!("CARGO_BIN_EXE_badgerdrift-scale"));
        command.arg("run").arg(scenario).arg("--report").arg(self.report()).env("TMPDIR", &self.0);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// Returns the settings files that the run has written for its controllers, below its directory.
    fn settings(&self) -> Vec<String> {
        let (mut open, mut settings) = (vec![self.0.clone()], Vec::new());
        while let Some(directory) = open.pop() {
            for path in std::fs::read_dir(directory).into_iter().flatten().flatten().map(|entry| entry.path()) {
                if path.is_dir() {
                    open.push(path);
                } else if path.extension().is_some_and(|extension| extension == "toml") {
                    settings.extend(std::fs::read_to_string(&path));
                }
            }
        }
        settings
    }

    /// Returns the networks of the run's regions, as the second byte of their controllers' addresses.
    fn networks(&self) -> BTreeSet<u8> {
        let network = |settings: &String| {
            let address = settings.split("serve_on = \"127.").nth(1)?;
            address.split('.').next()?.parse().ok()
        };
        self.settings().iter().filter_map(network).collect()
    }

    /// Returns the processes of the run, except `without`.
    fn processes(&self, without: Option<u32>) -> Vec<u32> {
        let mark = format!("TMPDIR={}", self.0.display());
        let all = std::fs::read_dir("/proc").unwrap().flatten();
        let ids = all.filter_map(|process| process.file_name().to_str()?.parse().ok());
        let marked = ids.filter(|id: &u32| {
            let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
            environment.split(|byte| *byte == 0).any(|variable| variable == mark.as_bytes())
        });
        marked.filter(|id| Some(*id) != without).collect()
    }
}

impl Drop for RunFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let begin = Instant::now();
    while !holds() {
        assert!(begin.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(POLL);
    }
}

fn kill(id: u32) {
    kill_process(Pid::from_raw(id as i32).unwrap(), Signal::KILL).unwrap();
}

/// Ends a run and waits until all its processes are gone.
fn end(files: &RunFiles, mut run: Child) {
    kill(run.id());
    run.wait().unwrap();
    until("processes of a killed run are left behind", || files.processes(None).is_empty());
}

/// Returns whether a run may claim these networks.
fn is_free(network: u8) -> bool {
    let name = SocketAddr::from_abstract_name(format!("badgerdrift-scale/127.{network}.0.0/15")).unwrap();
    UnixDatagram::bind_addr(&name).is_ok()
}

// Guards against a run that takes the networks of another one that has found them free and bound nothing yet. The
// first run is held in that state by a full pipe in place of its output.
#[test]
fn a_run_does_not_take_the_networks_of_one_that_has_bound_nothing_yet() {
    let (first_files, second_files) = (RunFiles::create("first"), RunFiles::create("second"));
    let (mut output, mut input) = std::io::pipe().unwrap();
    input.write_all(&[b'\n'; PIPE_CAPACITY]).unwrap();
    let mut first = first_files.command("small.hcl");
    first.arg("--controller").arg(first_files.idle_controller()).stdout(input);
    let first = first.spawn().unwrap();
    until("the first run does not begin", || std::fs::read_dir(&first_files.0).unwrap().count() > 1);
    std::thread::sleep(Duration::from_millis(200));
    let mut second = second_files.command("small-burst.hcl");
    second.arg("--controller").arg(second_files.idle_controller());
    let second = second.spawn().unwrap();
    until("the second run does not start its controllers", || second_files.settings().len() == 3);
    assert_eq!(first_files.settings().len(), 0, "the first run was to be held before it starts controllers");
    std::thread::spawn(move || output.read_to_end(&mut Vec::new()));
    until("the first run does not start its controllers", || first_files.settings().len() == 6);
    let (first_networks, second_networks) = (first_files.networks(), second_files.networks());
    end(&first_files, first);
    end(&second_files, second);
    assert_eq!((first_networks.len(), second_networks.len()), (2, 1));
    assert!(first_networks.is_disjoint(&second_networks), "{first_networks:?} {second_networks:?}");
}

// Guards against controllers that outlive a run that was killed, or whose region was, and keep its networks busy.
#[test]
fn after_a_killed_run_or_region_no_process_is_left_and_the_networks_are_free() {
    for region_is_killed in [false, true] {
        let files = RunFiles::create(if region_is_killed { "killed-region" } else { "killed-run" });
        let mut run = files.command("small.hcl").spawn().unwrap();
        // The run, two regions and three controllers of each.
        until("the run does not start its processes", || {
            files.settings().len() == 6 && files.processes(None).len() == 9
        });
        let networks = files.networks();
        assert!(networks.len() == 2 && networks.iter().all(|network| !is_free(*network)), "{networks:?}");
        if region_is_killed {
            let is_region =
                |id: &u32| std::fs::read_to_string(format!("/proc/{id}/cmdline")).unwrap().ends_with("\0region\0");
            kill(files.processes(Some(run.id())).into_iter().find(is_region).unwrap());
        } else {
            kill(run.id());
        }
        assert!(!run.wait().unwrap().success());
        until("processes are left behind", || files.processes(None).is_empty());
        // Another run may take them first, and gives them back, too.
        until("networks stay claimed", || networks.iter().all(|network| is_free(*network)));
    }
}

// Guards against runs at the same time that reach each other's services.
#[test]
fn small_runs_at_the_same_time_pass_with_reports_of_their_own() {
    let runs: Vec<(u64, RunFiles, Child)> =
        [(11, "small.hcl"), (12, "small-burst.hcl"), (13, "small.hcl"), (14, "small-burst.hcl")]
            .into_iter()
            .map(|(seed, scenario)| {
                let files = RunFiles::create(&format!("together-{seed}"));
                let run = files.command(scenario).args(["--seed", &seed.to_string()]).spawn().unwrap();
                (seed, files, run)
            })
            .collect();
    for (seed, files, run) in runs {
        let output = run.wait_with_output().unwrap();
        let printed = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "seed {seed}: {}: {printed}", output.status);
        let report: Value = serde_json::from_slice(&std::fs::read(files.report()).unwrap()).unwrap();
        assert_eq!((&report["seed"], &report["broken_rules"]), (&Value::from(seed), &Value::Array(Vec::new())));
        assert!(report["jobs_done"].as_u64().unwrap() > 0, "seed {seed}");
        assert_eq!(files.processes(None), Vec::<u32>::new(), "seed {seed}");
    }
}

// Guards against a number of regions that does not fit into an address and would wrap around.
#[test]
fn more_regions_than_addresses_are_refused_as_a_bad_scenario() {
    let files = RunFiles::create("regions");
    let scenario = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale/small.hcl");
    for regions in [21, 128, 256, 300] {
        let text = std::fs::read_to_string(&scenario).unwrap();
        let text = text.replace("regions                = 2", &format!("regions = {regions}"));
        let file = files.0.join("scenario.hcl");
        std::fs::write(&file, text.replace("workers                = 20", "workers = 2000")).unwrap();
        let output = files.command(file.to_str().unwrap()).output().unwrap();
        let printed = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), printed.lines().count()), (Some(2), 1), "{printed}");
        assert!(printed.contains("regions: must be from 1 to 20"), "{printed}");
        assert!(output.stdout.is_empty(), "nothing was started");
    }
}
