//! HTTP requests and responses.

use crate::api::refusal::RefusalReason;

/// Maximum size, in bytes, of the body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
pub(super) const BODY_TOO_LARGE: &str = "body: must be at most 64 KiB";

/// Completely received request.
#[derive(Debug)]
pub struct Request {
    /// Method, as sent.
    pub method: String,
    /// Path, as sent.
    pub path: String,
    /// Body; empty if the request has none.
    pub body: Vec<u8>,
}

/// Response to a request.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds after which the client may retry; `None` if no `Retry-After` header is sent.
    pub retry_after_s: Option<u64>,
    /// Value of the `Allow` header: the methods that the path supports; `None` unless another method was used.
    pub allow: Option<&'static str>,
    /// Reason of the refusal, for the metrics; it is not sent. `None` if the response is not a refusal that is
    /// counted.
    pub refusal: Option<RefusalReason>,
    /// Media type of the body.
    pub content_type: &'static str,
}

impl Response {
    /// Creates a response with `value` as its JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response { status, body, retry_after_s: None, allow: None, refusal: None, content_type: "application/json" }
    }

    /// Creates an error response with `message` in its JSON body.
    pub fn error(status: u16, message: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": message }))
    }
}

/// Returns the reason phrase of a status code.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
