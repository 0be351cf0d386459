//! Load tool: runs real controllers against simulated services at the size of a target fleet and reports
//! the measurements.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a load tool: a wrong assumption ends the run")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod addresses;
mod borrow;
mod borrow_report;
mod bound_process;
mod burst;
mod burst_report;
mod child;
mod claims;
mod configuration;
mod controllers;
mod counting;
mod directory;
mod faults;
mod links;
mod names;
mod plan;
mod prepared;
mod region;
mod relays;
mod report;
mod results;
mod run;
mod run_report;
mod samples;
mod scenario;
mod soak;
mod soak_plan;
mod soak_report;
mod sweep;
mod workload;

use clap::{Parser, Subcommand};
use run::RunError;
use run_report::RunReport;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status for an invalid scenario.
const BAD_SCENARIO: u8 = 2;

/// Runs real controllers of badgerdrift against stand-ins at the size of a target fleet.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario once.
    Run(RunArguments),
    /// Runs a scenario's burst with its warm pool, without it, and with its leader killed.
    Burst {
        #[command(flatten)]
        run: RunArguments,
        /// How many seeds are run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Runs a scenario's burst of serving with borrowing and without it: calm, with its leader killed,
    /// and with machines lost.
    Borrow {
        #[command(flatten)]
        run: RunArguments,
        /// How many seeds are run.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Runs a scenario at several sizes and fits a line to each cost.
    Sweep {
        #[command(flatten)]
        run: RunArguments,
        /// Sizes as parts of the scenario's, at least four.
        #[arg(long, value_delimiter = ',', default_value = "0.1,0.2,0.3,0.4")]
        sizes: Vec<f64>,
    },
    /// Runs a scenario with random faults, a quiet end and a check of all accepted jobs, once for each seed.
    Soak {
        #[command(flatten)]
        run: RunArguments,
        /// Which seeds are run, the last one excluded.
        #[arg(long, value_name = "A..B")]
        seeds: String,
    },
    /// The stand-ins of one region and its controllers; started by `run`.
    #[command(hide = true)]
    Region,
    /// Becomes a controller that does not outlive the process of its region; started by `region`.
    #[command(hide = true)]
    Controller(bound_process::Arguments),
}

#[derive(clap::Args, Clone)]
struct RunArguments {
    /// The scenario (HCL).
    scenario: PathBuf,
    /// Where the report goes (JSON).
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Repeats the workload of an earlier run.
    #[arg(long)]
    seed: Option<u64>,
    /// Takes this part of the scenario's workers and arrivals.
    #[arg(long, default_value_t = 1.0)]
    size: f64,
    /// The controller program; built if it is not named.
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("no runtime: {error}")),
    };
    match cli.command {
        Command::Region => {
            runtime.block_on(region::serve());
            ExitCode::SUCCESS
        }
        Command::Controller(arguments) => fail(&bound_process::become_controller(&arguments)),
        Command::Run(arguments) => match prepare(&arguments) {
            Ok(prepared) => outcome(runtime.block_on(run::run(&prepared)), &arguments),
            Err(error) => refuse(&error),
        },
        Command::Burst { run, seeds } => match prepare(&run) {
            Ok(prepared) => outcome(runtime.block_on(burst_report::compare(&prepared, seeds)), &run),
            Err(error) => refuse(&error),
        },
        Command::Borrow { run, seeds } => match prepare(&run) {
            Ok(prepared) => outcome(runtime.block_on(borrow_report::compare(&prepared, seeds)), &run),
            Err(error) => refuse(&error),
        },
        Command::Soak { run, seeds } => {
            let checked = prepare(&run).and_then(|prepared| Ok((prepared, soak_report::parse_seeds(&seeds)?)));
            match checked {
                Ok((prepared, seeds)) => outcome(runtime.block_on(soak_report::soak(&prepared, seeds)), &run),
                Err(error) => refuse(&error),
            }
        }
        Command::Sweep { run, sizes } => {
            match prepare(&run).and_then(|prepared| sweep::check(&sizes).map(|()| prepared)) {
                Ok(prepared) => outcome(runtime.block_on(sweep::sweep(&prepared, &sizes)), &run),
                Err(error) => refuse(&error),
            }
        }
    }
}

/// Reads and checks the scenario and joins it with the arguments of the run.
fn prepare(arguments: &RunArguments) -> Result<prepared::Prepared, String> {
    let scenario = scenario::load(&arguments.scenario)?.scaled(arguments.size)?;
    let seed = arguments.seed.unwrap_or_else(|| u64::from(std::process::id()));
    Ok(prepared::Prepared { scenario, seed, controller: arguments.controller.clone() })
}

/// Prints and writes the report of a command. Broken rules were printed by their runs.
fn outcome(result: Result<impl RunReport, RunError>, arguments: &RunArguments) -> ExitCode {
    let report = match result {
        Ok(report) => report,
        Err(error) => return fail(&error.to_string()),
    };
    println!("{}", report.table());
    match write(arguments.report.as_deref(), &report) {
        Ok(()) if report.rules_hold() => ExitCode::SUCCESS,
        Ok(()) => ExitCode::FAILURE,
        Err(error) => fail(&error),
    }
}

fn write(path: Option<&Path>, value: &impl serde::Serialize) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn refuse(error: &str) -> ExitCode {
    eprintln!("badgerdrift-scale: {error}");
    ExitCode::from(BAD_SCENARIO)
}

fn fail(error: &str) -> ExitCode {
    eprintln!("badgerdrift-scale: {error}");
    ExitCode::FAILURE
}
