//! Errors of the subcommands.

use crate::configuration::UnavailableReason;
use crate::settings::HclError;
use badgerdrift_fleet_config::{DocumentError, DocumentName};
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Reason why a command failed. The variants differ in the exit status of the program.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The arguments or the file are invalid; no change was sent to a controller.
    #[error(transparent)]
    InvalidInput(#[from] InputError),
    /// The controller did not carry out the request, or gave no usable response.
    #[error(transparent)]
    Failed(#[from] ExecutionError),
}

/// Fault in the arguments of a command or in its file.
#[derive(Debug, Error)]
pub enum InputError {
    /// The file cannot be read.
    #[error("{}: {source}", .file.display())]
    UnreadableFile {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", .file.display())]
    InvalidFile {
        /// Path of the file.
        file: PathBuf,
        /// Fault in its content.
        source: ChangesError,
    },
    /// The argument is not the name of a document.
    #[error("{0}: must be `operator` or `team/NAME`")]
    InvalidDocumentName(String),
    /// An argument is not a date.
    #[error("{argument}: {value} is no day such as 2026-12-02")]
    InvalidDay {
        /// Name of the argument, such as `--from`.
        argument: &'static str,
        /// Value that was given.
        value: String,
    },
    /// The last day is before the first.
    #[error("--to: {to} is before {from}")]
    DaysReversed {
        /// Value of `--from`.
        from: String,
        /// Value of `--to`.
        to: String,
    },
}

/// Fault in the content of a file of changes.
#[derive(Debug, Error)]
pub enum ChangesError {
    /// The text is not valid HCL, or a field is unknown, missing or of another type.
    #[error(transparent)]
    Hcl(#[from] HclError),
    /// The file changes no document.
    #[error("team: no document is changed")]
    NoChanges,
    /// An amount is below 0, not finite or too large.
    #[error("{document}.{field}: must be 0 or more")]
    InvalidAmount {
        /// Name of the document.
        document: String,
        /// Name of the field.
        field: &'static str,
    },
    /// A document breaks a rule of `badgerdrift_fleet_config`.
    #[error("{document}.{}: {}", .error.field, .error.reason)]
    InvalidDocument {
        /// Name of the document.
        document: DocumentName,
        /// Field at fault, and the reason.
        error: DocumentError,
    },
}

/// Reason why a controller did not carry out a request, or gave no usable response.
#[derive(Debug, Error)]
pub enum ExecutionError {
    /// The controller did not respond in time.
    #[error("the controller does not answer")]
    NoAnswer,
    /// The response is of another type than the request asks for.
    #[error("the controller gave another answer than expected")]
    UnexpectedAnswer,
    /// The response cannot be serialised as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A feature is switched off or unknown to the controller. The text, which follows "the controller",
    /// names it.
    #[error("the controller {0}")]
    MissingFeature(&'static str),
    /// The controller cannot answer at present.
    #[error("no answer is possible now: again in {after_s} s")]
    RetryLater {
        /// Seconds after which the request may be repeated.
        after_s: u64,
    },
    /// The shared configuration cannot be read or changed at present.
    #[error("{}", unavailable_text(*.0))]
    Unavailable(UnavailableReason),
    /// No document has this name.
    #[error("{0}: there is no such document")]
    NoSuchDocument(String),
    /// No outcome is known for the change.
    #[error("{id}: not known; it may have been made too long ago, or not be agreed on")]
    UnknownChange {
        /// Identifier of the change.
        id: String,
    },
    /// A document was changed after the version that the change was made from.
    #[error("{document}.version: it has changed meanwhile, in version {found}")]
    Conflict {
        /// Name of the document.
        document: DocumentName,
        /// Present version of the document.
        found: u64,
    },
    /// The change names no version from which a document was made.
    #[error("{0}.version: is missing")]
    NotRead(DocumentName),
    /// A document would become invalid.
    #[error("{document}.{}: {}", .error.field, .error.reason)]
    Invalid {
        /// Name of the document.
        document: DocumentName,
        /// Field at fault, and the reason.
        error: DocumentError,
    },
}

/// Returns the text that is printed for a reason.
fn unavailable_text(reason: UnavailableReason) -> &'static str {
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
