//! Errors in what an operator declares.

use std::error::Error;
use std::fmt;

/// A field of an operator's file that is not valid, and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `pool.counter.payer`.
    pub field: String,
    /// What is wrong with its value.
    pub reason: String,
}

impl FieldError {
    /// An error in the field of this path.
    pub fn new(field: &str, reason: &str) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.reason)
    }
}

impl Error for FieldError {}
