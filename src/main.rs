//! The `badgerdrift` program: command line, loading of the settings files, logging and runtime.

use badgerdrift::commands::borrowing::BorrowingCommand;
use badgerdrift::commands::configuration::ConfigCommand;
use badgerdrift::commands::errors::CommandError;
use badgerdrift::commands::warm_pools::WarmPoolsCommand;
use badgerdrift::configuration;
use badgerdrift::control::node::{self, Subsystems};
use badgerdrift::settings::{ContentError, Fault, FieldError, SettingsError};
use badgerdrift::transport::network::Net;
use badgerdrift::{borrowing, commands, settings, warm_pools};
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// A scheduler for fleets that serve language models.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller. LOG_LEVEL sets how much it logs: error, info or debug.
    Serve(Files),
    /// Checks the settings and says what is wrong with them.
    Check(Files),
    /// Shows and changes the configuration that the regions of a fleet share.
    Config {
        /// Internal address of any controller of the fleet.
        #[arg(long, value_name = "ADDRESS")]
        controller: SocketAddr,
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Shows pools of warm replicas and what they cost.
    Pools {
        /// Internal address of any controller.
        #[arg(long, value_name = "ADDRESS")]
        controller: SocketAddr,
        #[command(subcommand)]
        command: WarmPoolsCommand,
    },
    /// Shows loans of accelerators between teams.
    Loans {
        /// Internal address of any controller.
        #[arg(long, value_name = "ADDRESS")]
        controller: SocketAddr,
        #[command(subcommand)]
        command: BorrowingCommand,
    },
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (HCL).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The regions of the fleet (HCL); without it the controller knows no other regions.
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
    /// Pools of warm replicas (HCL); without it none are kept.
    #[arg(long, value_name = "FILE")]
    warm_pools: Option<PathBuf>,
    /// Who lends accelerators to whom (HCL); without it nothing is lent.
    #[arg(long, value_name = "FILE")]
    borrowing: Option<PathBuf>,
}

/// Settings that were loaded from the files.
struct LoadedFiles {
    settings: settings::Settings,
    operator: settings::OperatorSettings,
    subsystems: Subsystems,
    /// Path of the file from which the pools of `subsystems` were loaded.
    pools_file: Option<PathBuf>,
}

/// Reason why the settings files cannot be used.
#[derive(Debug, thiserror::Error)]
enum FilesError {
    /// One of the files is unreadable or invalid.
    #[error(transparent)]
    File(#[from] SettingsError),
    /// A setting excludes a feature whose file is given.
    #[error(transparent)]
    Combination(#[from] FieldError),
}

impl Files {
    fn load(&self) -> Result<LoadedFiles, FilesError> {
        let settings = settings::load_settings(&self.config)?;
        let operator = self.operator.as_deref().map(settings::load_operator).transpose()?.unwrap_or_default();
        let fleet = self.fleet.as_deref().map(configuration::load_fleet).transpose()?;
        if fleet.is_some() && operator.partitions > 1 {
            return Err(requires_one_partition("a fleet of several regions").into());
        }
        let warm_pools = self.warm_pools.as_deref().map(|file| warm_pools::load_pools(file, &settings)).transpose()?;
        if warm_pools.is_some() && operator.partitions > 1 {
            return Err(requires_one_partition("warm pools").into());
        }
        let borrowing = self.borrowing.as_deref().map(|file| borrowing::load_borrowing(file, &settings)).transpose()?;
        if let (Some(file), true) = (&self.borrowing, operator.partitions > 1) {
            let source = Box::new(requires_one_partition("borrowing").into());
            return Err(SettingsError::Invalid { file: file.clone(), source }.into());
        }
        let pools_file = self.warm_pools.clone();
        Ok(LoadedFiles { settings, operator, subsystems: Subsystems { fleet, warm_pools, borrowing }, pools_file })
    }
}

/// Returns the error that a feature needs exactly one partition.
fn requires_one_partition(feature: &'static str) -> FieldError {
    FieldError::new("partitions", Fault::NotOneWith { feature })
}

/// Exit status of the program after invalid input.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("badgerdrift: no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match cli.command {
        Command::Serve(files) => run_with_files(&files, |loaded| serve(&runtime, loaded)),
        Command::Check(files) => run_with_files(&files, |loaded| {
            println!("{}: the settings are sound", loaded.settings.node);
            ExitCode::SUCCESS
        }),
        Command::Config { controller, command } => {
            print_outcome(runtime.block_on(commands::configuration::run(controller, &command)))
        }
        Command::Pools { controller, command } => {
            print_outcome(runtime.block_on(commands::warm_pools::run(controller, &command)))
        }
        Command::Loans { controller, command } => {
            print_outcome(runtime.block_on(commands::borrowing::run(controller, &command)))
        }
    }
}

fn run_with_files(files: &Files, then: impl FnOnce(LoadedFiles) -> ExitCode) -> ExitCode {
    match files.load() {
        Ok(loaded) => then(loaded),
        Err(error) => {
            eprintln!("badgerdrift: {error}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

/// Prints the output or the error of a command, and returns the exit status.
fn print_outcome(outcome: Result<String, CommandError>) -> ExitCode {
    let error = match outcome {
        Ok(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => error,
    };
    eprintln!("badgerdrift: {error}");
    match error {
        CommandError::InvalidInput(_) => ExitCode::from(EXIT_INVALID_INPUT),
        CommandError::Failed(_) => ExitCode::FAILURE,
    }
}

fn serve(runtime: &tokio::runtime::Runtime, loaded: LoadedFiles) -> ExitCode {
    let log_level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(log_level).init();
    if let Err(error) = runtime.block_on(check_machine_types(&loaded)) {
        eprintln!("badgerdrift: {error}");
        return ExitCode::from(EXIT_INVALID_INPUT);
    }
    match runtime.block_on(node::run(loaded.settings, loaded.operator, loaded.subsystems)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerdrift: a port can't be opened: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Checks the machine types in the file of warm pools, if one is given, against those that the cloud lists
/// or the state service stores.
///
/// # Errors
///
/// A field of the file names an unknown machine type.
async fn check_machine_types(loaded: &LoadedFiles) -> Result<(), SettingsError> {
    let (Some(pools), Some(file)) = (&loaded.subsystems.warm_pools, &loaded.pools_file) else { return Ok(()) };
    let checked = warm_pools::check_machine_types(&Net::default(), &loaded.settings, pools).await;
    checked.map_err(|error| SettingsError::Invalid {
        file: file.clone(),
        source: Box::new(ContentError::WarmPools(error)),
    })
}
