//! One run: starts the regions, follows their progress, and joins their results.

use crate::addresses::RegionNetworks;
use crate::child::RegionProcess;
use crate::directory::RunDirectory;
use crate::plan::{RegionMessage, RegionPlan};
use crate::prepared::Prepared;
use crate::report::{BrokenRule, Report};
use crate::results::RegionResult;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::Command;
use tokio::sync::mpsc;

/// Runs a scenario. All processes have ended when this returns, also after an error. Broken rules are printed to
/// standard error; the settings and logs of the controllers of a failed run are kept.
pub async fn run(prepared: &Prepared) -> Result<Report, String> {
    let controller = match &prepared.controller {
        Some(path) => path.clone(),
        None => build_controller()?,
    };
    let mut directory = RunDirectory::create()?;
    let result = tokio::select! {
        result = run_in(directory.path(), prepared, &controller) => result,
        _ = tokio::signal::ctrl_c() => return Err("interrupted".into()),
    };
    if let Ok(report) = &result {
        report.broken_rules.iter().for_each(print_broken_rule);
    }
    if !result.as_ref().is_ok_and(|report| report.broken_rules.is_empty()) {
        directory.keep();
    }
    result
}

fn print_broken_rule(broken: &BrokenRule) {
    eprintln!("rule broken in {}: {}\n{}", broken.region, broken.rule, broken.history);
}

/// Runs a scenario with the settings and logs of its controllers in `directory`.
async fn run_in(directory: &Path, prepared: &Prepared, controller: &Path) -> Result<Report, String> {
    let networks = RegionNetworks::find(prepared.scenario.regions)?;
    println!("seed {}, {} regions, {} workers", prepared.seed, prepared.scenario.regions, prepared.scenario.workers);
    let plans = (0..prepared.scenario.regions).map(|region| RegionPlan {
        region,
        seed: prepared.seed,
        scenario: prepared.scenario.clone(),
        all_networks: networks.clone(),
        controller: controller.to_path_buf(),
        directory: directory.to_path_buf(),
    });
    let mut regions = Vec::new();
    for plan in plans {
        regions.push(RegionProcess::start(&plan).await?);
    }
    let results = follow(regions, prepared.scenario.duration_s).await?;
    Ok(Report::new(prepared, &results))
}

/// Waits for the results of all regions.
async fn follow(regions: Vec<RegionProcess>, duration_s: f64) -> Result<Vec<RegionResult>, String> {
    let progress = ProgressBar::new(duration_s as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
        progress.set_style(style);
    }
    let (sender, mut messages) = mpsc::unbounded_channel();
    let count = regions.len();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, mut region) in regions.into_iter().enumerate() {
        let sender = sender.clone();
        tasks.spawn(async move {
            while let Some(message) = region.next().await {
                let last = !matches!(message, RegionMessage::Progress { .. });
                let _ = sender.send((number, message));
                if last {
                    break;
                }
            }
            region.stop().await;
        });
    }
    drop(sender);
    let mut starts = vec![0; count];
    let mut workers = vec![0; count];
    let mut results = Vec::new();
    while let Some((number, message)) = messages.recv().await {
        match message {
            RegionMessage::Progress { elapsed_s, starts: started, workers: up } => {
                (starts[number], workers[number]) = (started, up);
                progress.set_position(elapsed_s as u64);
                let (starts, workers) = (starts.iter().sum::<u64>(), workers.iter().sum::<usize>());
                progress.set_message(format!("{workers} workers, {starts} starts"));
            }
            RegionMessage::Result(result) => results.push(*result),
            RegionMessage::Failed(error) => return Err(error),
        }
    }
    progress.finish_and_clear();
    if results.len() < count {
        return Err(format!("{} of {count} regions ended without a result", count - results.len()));
    }
    results.sort_by(|a, b| a.region.cmp(&b.region));
    Ok(results)
}

/// Builds the controller program with the profile of this one and returns its path.
fn build_controller() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name("badgerdrift");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command
        .args(["build", "--locked", "--quiet", "--package", "badgerdrift", "--bin", "badgerdrift"])
        .current_dir(root);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let built = command.status().map_err(|error| format!("cargo: {error}"))?;
    if built.success() && program.exists() {
        Ok(program)
    } else {
        Err(format!("{}: the controller program could not be built", program.display()))
    }
}
