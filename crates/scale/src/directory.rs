//! Directory of the settings and logs of a run's controllers.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Directory of one run, unique also among the runs of one process. It is removed when this value is dropped,
/// unless it is kept.
pub struct RunDirectory {
    path: PathBuf,
    kept: bool,
}

impl RunDirectory {
    /// Creates a directory that no other run uses.
    pub fn create() -> Result<RunDirectory, String> {
        let parent = std::env::temp_dir().join(format!("badgerdrift-scale-{}", std::process::id()));
        let failed = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
        std::fs::create_dir_all(&parent).map_err(|error| failed(&parent, error))?;
        for number in 1.. {
            let path = parent.join(format!("run-{number}"));
            match std::fs::create_dir(&path) {
                Ok(()) => return Ok(RunDirectory { path, kept: false }),
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
                Err(error) => return Err(failed(&path, error)),
            }
        }
        Err(format!("{}: no directory can be created", parent.display()))
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the directory as evidence and tells the user where it is.
    pub fn keep(&mut self) {
        self.kept = true;
        eprintln!("badgerdrift-scale: settings and logs of the controllers are kept in {}", self.path.display());
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        let _ = std::fs::remove_dir_all(&self.path);
        // Fails, as it should, while the directory of an earlier run of this process is kept.
        let _ = self.path.parent().map(std::fs::remove_dir);
    }
}
