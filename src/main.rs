//! The program: command line, logging, runtime.

use badgerdrift::{config, node};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
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
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (HCL).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Files {
    fn load(&self) -> Result<(config::Settings, config::Operator), String> {
        let settings = config::load_settings(&self.config)?;
        let operator =
            self.operator.as_deref().map_or_else(|| Ok(Default::default()), |p: &Path| config::load_operator(p))?;
        Ok((settings, operator))
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let (settings, operator) = match files.load() {
        Ok(s) => s,
        Err(e) => {
            eprintln!("badgerdrift: {e}");
            return ExitCode::from(2);
        }
    };
    if let Command::Check(_) = cli.command {
        println!("{}: the settings are sound", settings.node);
        return ExitCode::SUCCESS;
    }
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_max_level(level).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(r) => r,
        Err(e) => {
            eprintln!("badgerdrift: no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(node::run(settings, operator)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("badgerdrift: a port can't be opened: {e}");
            ExitCode::FAILURE
        }
    }
}
