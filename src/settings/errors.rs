//! Why a file of settings is refused. Each error is shown as one line.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a file of settings can't be used: shown as one line that names the file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read: {source}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The file was read, and its content is at fault.
    #[error("{}: {source}", .file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// What is wrong with its content.
        source: Box<ContentError>,
    },
}

/// What is wrong with the content of a file of settings.
#[derive(Debug, Error)]
pub enum ContentError {
    /// It is not TOML, or not of the expected types.
    #[error("{}", single_line_toml_error(.text_line, .source))]
    Toml {
        /// Number, from 1, and text of the line at fault; `None` if the parser names no place.
        text_line: Option<(usize, String)>,
        /// The error of the parser.
        source: toml::de::Error,
    },
    /// It is not HCL, or not of the expected types.
    #[error(transparent)]
    Hcl(#[from] HclError),
    /// A field has a value that its type allows and its meaning does not.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// A field of the warm pools' file is at fault.
    #[error("{0}")]
    WarmPools(badgerdrift_warm_pools::FieldError),
    /// A field of the borrowing file is at fault.
    #[error("{0}")]
    Borrowing(badgerdrift_borrowing::FieldError),
}

fn single_line_toml_error(text_line: &Option<(usize, String)>, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match text_line {
        Some((number, text)) => format!("line {number} ({text}): {message}"),
        None => message,
    }
}

/// Why a text in HCL can't be read.
#[derive(Debug, Error)]
pub enum HclError {
    /// It is not HCL, or not of the expected types.
    #[error("{}", single_line_hcl_error(.0))]
    Unparsable(#[from] hcl::Error),
    /// Two blocks of a kind have the same name.
    #[error("{kind}.{name}: there are two of this name")]
    DuplicateBlock {
        /// Kind of the blocks.
        kind: String,
        /// Their name.
        name: String,
    },
}

fn single_line_hcl_error(error: &hcl::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// A field that is at fault.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{field}: {fault}")]
pub struct FieldError {
    /// The field, as `params.workers.lease_s`.
    pub field: String,
    /// What is wrong with it.
    pub fault: Fault,
}

impl FieldError {
    /// The error of this field.
    pub fn new(field: impl Into<String>, fault: Fault) -> FieldError {
        FieldError { field: field.into(), fault }
    }
}

/// What is wrong with a field.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Fault {
    /// A text is empty.
    #[error("must not be empty")]
    Empty,
    /// A name is given a second time.
    #[error("{0} appears twice")]
    Duplicate(String),
    /// A list is empty that must name one of these, as `a zone`.
    #[error("must name {0}")]
    NamesNone(&'static str),
    /// A name is missing from the list that it must be of.
    #[error("{name} is not among {list}")]
    NotAmong {
        /// The name.
        name: String,
        /// The list, as `params.zones`.
        list: &'static str,
    },
    /// A number is not above 0, or not finite.
    #[error("must be above 0, is {0}")]
    NotPositive(f64),
    /// A number is below 0, or not finite.
    #[error("must be 0 or more, is {0}")]
    Negative(f64),
    /// A guarantee is above the limit in this field.
    #[error("above {limit}")]
    AboveLimit {
        /// The field of the limit.
        limit: String,
    },
    /// A time is less than twice the one in this field.
    #[error("must be at least twice {0}")]
    BelowTwice(&'static str),
    /// A count is too small.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// A count is too small for a feature that is switched on.
    #[error("must be at least {minimum} with {feature}, is {actual}")]
    BelowMinimumWith {
        /// The smallest count that the feature takes.
        minimum: usize,
        /// The feature, as `warm pools`.
        feature: &'static str,
        /// The count that is set.
        actual: usize,
    },
    /// More than one partition with a feature that takes no more.
    #[error("must be 1 with {feature}")]
    NotOneWith {
        /// The feature, as `warm pools`.
        feature: &'static str,
    },
}
