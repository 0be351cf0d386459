//! Errors of settings files. Each is displayed as one line.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Reason why a settings file cannot be used, displayed as one line with the name of the file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read: {source}", .file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file was read and its content is invalid.
    #[error("{}: {source}", .file.display())]
    Invalid {
        /// Path of the file.
        file: PathBuf,
        /// Error in the content of the file.
        source: Box<ContentError>,
    },
}

/// Error in the content of a settings file.
#[derive(Debug, Error)]
pub enum ContentError {
    /// The content is not valid TOML or does not have the expected types.
    #[error("{}", single_line_toml_error(.text_line, .source))]
    Toml {
        /// Number, from 1, and text of the invalid line; `None` if the parser reports no position.
        text_line: Option<(usize, String)>,
        /// Error of the parser.
        source: toml::de::Error,
    },
    /// The content is not valid HCL or does not have the expected types.
    #[error(transparent)]
    Hcl(#[from] HclError),
    /// A field has a value of the right type that is not allowed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of the warm pools file is invalid.
    #[error("{0}")]
    WarmPools(badgerdrift_warm_pools::FieldError),
    /// A field of the borrowing file is invalid.
    #[error("{0}")]
    Borrowing(badgerdrift_borrowing::FieldError),
}

/// Formats an error of the TOML parser in one line.
fn single_line_toml_error(text_line: &Option<(usize, String)>, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match text_line {
        Some((number, text)) => format!("line {number} ({text}): {message}"),
        None => message,
    }
}

/// Reason why a text in HCL cannot be parsed.
#[derive(Debug, Error)]
pub enum HclError {
    /// The text is not valid HCL or does not have the expected types.
    #[error("{}", single_line_hcl_error(.0))]
    Unparsable(#[from] hcl::Error),
    /// Two blocks of one kind have the same name.
    #[error("{kind}.{name}: there are two of this name")]
    DuplicateBlock {
        /// Type of the blocks.
        kind: String,
        /// Name of the blocks.
        name: String,
    },
}

/// Formats an error of the HCL parser in one line.
fn single_line_hcl_error(error: &hcl::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Invalid field, with the reason.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{field}: {fault}")]
pub struct FieldError {
    /// Path of the field, such as `params.workers.lease_s`.
    pub field: String,
    /// Reason why the field is invalid.
    pub fault: Fault,
}

impl FieldError {
    /// Creates the error of `field`.
    pub fn new(field: impl Into<String>, fault: Fault) -> FieldError {
        FieldError { field: field.into(), fault }
    }
}

/// Reason why a field is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Fault {
    /// A string is empty.
    #[error("must not be empty")]
    Empty,
    /// A name appears more than once.
    #[error("{0} appears twice")]
    Duplicate(String),
    /// A list is empty that must contain at least one entry of this kind, such as `a zone`.
    #[error("must name {0}")]
    EmptyList(&'static str),
    /// A name is not in the list that must contain it.
    #[error("{name} is not among {list}")]
    NotInList {
        /// Name that was found.
        name: String,
        /// Path of the list, such as `params.zones`.
        list: &'static str,
    },
    /// A number is not above 0 or not finite.
    #[error("must be above 0, is {0}")]
    NotPositive(f64),
    /// A number is below 0 or not finite.
    #[error("must be 0 or more, is {0}")]
    Negative(f64),
    /// A guarantee exceeds its limit.
    #[error("above {limit}")]
    AboveLimit {
        /// Field that holds the limit.
        limit: String,
    },
    /// A duration is less than twice the duration in this field.
    #[error("must be at least twice {0}")]
    BelowTwice(&'static str),
    /// A count is below this minimum.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// A count is below the minimum of an enabled feature.
    #[error("must be at least {minimum} with {feature}, is {actual}")]
    BelowMinimumWith {
        /// Minimum count that the feature requires.
        minimum: usize,
        /// The feature, as `warm pools`.
        feature: &'static str,
        /// Count that was found.
        actual: usize,
    },
    /// More than one partition is set with a feature that supports only one.
    #[error("must be 1 with {feature}")]
    NotOneWith {
        /// The feature, as `warm pools`.
        feature: &'static str,
    },
}
