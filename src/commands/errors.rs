//! Why a command of the program fails.

use crate::configuration::UnavailableReason;
use crate::settings::HclError;
use badgerdrift_fleet_config::{DocumentError, DocumentName};
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed; the two kinds differ in the exit status of the program.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The input is at fault; nothing was applied.
    #[error(transparent)]
    BadInput(#[from] InputError),
    /// The change was not taken, or the controller gave no answer.
    #[error(transparent)]
    NotDone(#[from] NotDone),
}

/// What is wrong with the arguments of a command or with its file.
#[derive(Debug, Error)]
pub enum InputError {
    /// The file could not be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The content of the file is at fault.
    #[error("{}: {source}", .file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What is wrong with its content.
        source: ChangesError,
    },
    /// The argument names no document.
    #[error("{0}: must be `operator` or `team/NAME`")]
    DocumentName(String),
    /// An argument is no date.
    #[error("{argument}: {value} is no day such as 2026-12-02")]
    Day {
        /// The argument, as `--from`.
        argument: &'static str,
        /// Its value.
        value: String,
    },
    /// The last day is before the first.
    #[error("--to: {to} is before {from}")]
    DaysReversed {
        /// The first day.
        from: String,
        /// The last day.
        to: String,
    },
}

/// What is wrong with a file of changes.
#[derive(Debug, Error)]
pub enum ChangesError {
    /// It is not HCL, or not of the expected types.
    #[error(transparent)]
    Hcl(#[from] HclError),
    /// It changes nothing.
    #[error("team: no document is changed")]
    Empty,
    /// An amount is below 0, not finite or too large.
    #[error("{document}.{field}: must be 0 or more")]
    Amount {
        /// Name of the document.
        document: String,
        /// The field.
        field: &'static str,
    },
    /// A document is not valid.
    #[error("{document}.{}: {}", .error.field, .error.reason)]
    Document {
        /// Name of the document.
        document: DocumentName,
        /// The field at fault, and why.
        error: DocumentError,
    },
}

/// Why a controller did not do, or not answer, what it was asked for.
#[derive(Debug, Error)]
pub enum NotDone {
    /// No answer in time.
    #[error("the controller does not answer")]
    NoAnswer,
    /// The answer belongs to another request.
    #[error("the controller gave another answer than expected")]
    UnexpectedAnswer,
    /// The answer can't be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A feature is switched off, or unknown to the controller; the text names it.
    #[error("the controller {0}")]
    Feature(&'static str),
    /// No answer is possible now.
    #[error("no answer is possible now: again in {after_s} s")]
    RetryLater {
        /// Seconds after which it may be asked again.
        after_s: u64,
    },
    /// The shared configuration can't be read or changed now.
    #[error("{}", unavailable(*.0))]
    Unavailable(UnavailableReason),
    /// There is no document of this name.
    #[error("{0}: there is no such document")]
    NoSuchDocument(String),
    /// The change is not known.
    #[error("{id}: not known; it may have been made too long ago, or not be agreed on")]
    UnknownChange {
        /// Id of the change.
        id: String,
    },
    /// A document changed after it was read for the change.
    #[error("{document}.version: it has changed meanwhile, in version {found}")]
    Conflict {
        /// Name of the document.
        document: DocumentName,
        /// The version that it has.
        found: u64,
    },
    /// A document is changed without the version that it was read in.
    #[error("{0}.version: is missing")]
    NotRead(DocumentName),
    /// A document would not be valid.
    #[error("{document}.{}: {}", .error.field, .error.reason)]
    Invalid {
        /// Name of the document.
        document: DocumentName,
        /// The field at fault, and why.
        error: DocumentError,
    },
}

fn unavailable(reason: UnavailableReason) -> &'static str {
    match reason {
        UnavailableReason::NotStarted => "the region has not begun to take part, or waits for the others to begin",
        UnavailableReason::SettingsDiffer => "the regions' settings differ",
        UnavailableReason::StateService => "the state service does not answer",
        UnavailableReason::Indeterminate => {
            "unclear: the change may still be taken; ask for its outcome, or apply it again with --id"
        }
        UnavailableReason::TooLarge => "the change does not fit into one version: divide it",
        UnavailableReason::Busy => "the controller can't do more now",
    }
}
