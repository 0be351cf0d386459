//! Processes that the kernel ends when their parent ends, however it ends.

use rustix::process::{Pid, Signal, getppid, set_parent_process_death_signal};
use std::ffi::OsString;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use tokio::process::Command;

/// Arguments of the process that becomes a controller.
#[derive(clap::Args)]
pub struct Arguments {
    /// Process whose end ends the controller.
    #[arg(long)]
    parent: i32,
    /// The controller program.
    program: PathBuf,
    /// Arguments of the controller program.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    arguments: Vec<OsString>,
}

/// Makes the kernel kill this process when the thread that started it ends.
pub fn end_with_parent() -> io::Result<()> {
    Ok(set_parent_process_death_signal(Some(Signal::KILL))?)
}

/// Returns the command of a controller that ends with this process. The arguments of the controller follow.
pub fn controller_command(program: &Path) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("controller").arg("--parent").arg(std::process::id().to_string()).arg(program);
    Ok(command)
}

/// Replaces this process by the controller program. Returns only the error if that is impossible.
pub fn become_controller(arguments: &Arguments) -> String {
    if let Err(error) = end_with_parent() {
        return error.to_string();
    }
    // The parent may have ended before the signal was set.
    if getppid().map(Pid::as_raw_nonzero).map(i32::from) != Some(arguments.parent) {
        return "the process of the region has ended".into();
    }
    let error = std::process::Command::new(&arguments.program).args(&arguments.arguments).exec();
    format!("{}: {error}", arguments.program.display())
}
