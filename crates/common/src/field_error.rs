//! Errors in the files of operators.

use std::error::Error;
use std::fmt;

/// An invalid field of an operator's file, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, for example `pool.counter.payer`.
    pub field: String,
    /// Reason for which the value is not valid.
    pub reason: String,
}

impl FieldError {
    /// Creates an error in the field with the path `field`.
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
