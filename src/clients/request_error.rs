//! Errors of requests to the state service and the cloud.

use crate::transport::http::CallError;
use thiserror::Error;

/// Reason for which a request to the state service or the cloud had no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request was not carried out.
    #[error("the request was not carried out")]
    Refused,
    /// The request was not carried out, as it exceeded a rate limit.
    #[error("the request was not carried out: the rate limit is exceeded")]
    Throttled,
    /// The request had no answer. It may have been carried out, or may still be carried out later,
    /// even after requests that are sent after it.
    #[error("the request had no answer: its outcome is indeterminate")]
    Indeterminate,
    /// The key, lease or revision does not exist, or no longer exists.
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
