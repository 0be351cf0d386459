//! Why a request to the state store or the cloud failed.

use crate::transport::http::CallError;
use thiserror::Error;

/// Why the state store or the cloud gave no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// Not carried out.
    #[error("the request was not carried out")]
    Refused,
    /// Not carried out, as there were too many requests or writes lately.
    #[error("the request was not carried out: the rate limit is exceeded")]
    Throttled,
    /// There was no answer: the request may have been carried out, or may be later, also after
    /// requests that are sent after it.
    #[error("the request had no answer: its outcome is indeterminate")]
    Indeterminate,
    /// The key, lease or revision does not exist (any more).
    #[error("the key, lease or revision does not exist")]
    NotFound,
}

impl From<CallError> for RequestError {
    fn from(error: CallError) -> RequestError {
        match error {
            CallError::NotSent => RequestError::Refused,
            CallError::Indeterminate => RequestError::Indeterminate,
        }
    }
}
