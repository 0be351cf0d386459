//! One run: starts the regions, follows their progress, and joins their results.

use crate::child::RegionProcess;
use crate::claims::{RegionClaim, claim_networks};
use crate::directory::RunDirectory;
use crate::names::region_name;
use crate::plan::{RegionMessage, RegionPlan};
use crate::prepared::Prepared;
use crate::report::{BrokenRule, Report};
use crate::results::RegionResult;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::Command;
use tokio::sync::{mpsc, watch};

/// Reason why a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The user ended the run.
    #[error("interrupted")]
    Interrupted,
    /// The run could not be started, or it could not go on.
    #[error("{0}")]
    Failed(String),
}

impl From<String> for RunError {
    fn from(message: String) -> RunError {
        RunError::Failed(message)
    }
}

/// Runs a scenario. All processes have ended when this returns, also after an error. Broken rules are printed to
/// standard error; the settings and logs of the controllers of a failed run are kept.
pub async fn run(prepared: &Prepared) -> Result<Report, RunError> {
    let controller = match &prepared.controller {
        Some(path) => path.clone(),
        None => build_controller()?,
    };
    let claims = claim_networks(&prepared.scenario)?;
    let mut directory = RunDirectory::create()?;
    println!("seed {}, {} regions, {} workers", prepared.seed, prepared.scenario.regions, prepared.scenario.workers);
    let result = run_regions(directory.path(), prepared, &controller, &claims).await;
    match &result {
        Ok(report) if report.broken_rules.is_empty() => {}
        Ok(report) => {
            report.broken_rules.iter().for_each(print_broken_rule);
            directory.keep();
        }
        Err(RunError::Failed(_)) => directory.keep(),
        Err(RunError::Interrupted) => {}
    }
    result
}

fn print_broken_rule(broken: &BrokenRule) {
    eprintln!("rule broken in {}: {}\n{}", broken.region, broken.rule, broken.history);
}

/// Runs the regions with the settings and logs of their controllers in `directory`.
async fn run_regions(
    directory: &Path,
    prepared: &Prepared,
    controller: &Path,
    claims: &[RegionClaim],
) -> Result<Report, RunError> {
    let plans = (0..prepared.scenario.regions).map(|region| RegionPlan {
        region,
        seed: prepared.seed,
        scenario: prepared.scenario.clone(),
        all_networks: claims.iter().map(RegionClaim::networks).collect(),
        controller: controller.to_path_buf(),
        directory: directory.to_path_buf(),
    });
    let mut regions = Vec::new();
    for (plan, claim) in plans.zip(claims) {
        regions.push(RegionProcess::start(&plan, claim).await?);
    }
    let results = follow(regions, prepared.scenario.duration_s).await?;
    Ok(Report::new(prepared, &results))
}

/// Waits for the results of all regions and for the end of their processes.
async fn follow(regions: Vec<RegionProcess>, duration_s: f64) -> Result<Vec<RegionResult>, RunError> {
    let (sender, messages) = mpsc::unbounded_channel();
    let stop = watch::Sender::new(false);
    let count = regions.len();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, region) in regions.into_iter().enumerate() {
        tasks.spawn(forward_messages(region, number, sender.clone(), stop.subscribe()));
    }
    drop(sender);
    let results = tokio::select! {
        results = collect_results(messages, count, duration_s) => results.map_err(RunError::Failed),
        _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
    };
    stop.send_replace(true);
    tasks.join_all().await;
    results
}

/// Forwards the messages of a region, up to its result, its failure or the end of the run, and ends its process.
async fn forward_messages(
    mut region: RegionProcess,
    number: usize,
    sender: mpsc::UnboundedSender<(usize, RegionMessage)>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        let message = tokio::select! {
            message = region.next() => message,
            _ = stop.changed() => break,
        };
        let ended = || RegionMessage::Failed(format!("the process of {} ended without a result", region_name(number)));
        let message = message.unwrap_or_else(ended);
        let is_last = !matches!(message, RegionMessage::Progress { .. });
        let _ = sender.send((number, message));
        if is_last {
            break;
        }
    }
    region.stop().await;
}

/// Shows the progress of the regions and returns their results in order.
async fn collect_results(
    mut messages: mpsc::UnboundedReceiver<(usize, RegionMessage)>,
    count: usize,
    duration_s: f64,
) -> Result<Vec<RegionResult>, String> {
    let progress = ProgressBar::new(duration_s as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}") {
        progress.set_style(style);
    }
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
