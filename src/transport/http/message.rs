//! Requests and responses.

use crate::api::refusal::RefusalReason;

/// Most that a request's body may hold.
pub const MAX_BODY: usize = 64 * 1024;
pub(super) const BODY_TOO_LARGE: &str = "body: must be at most 64 KiB";

/// A request that has arrived whole.
#[derive(Debug)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The path, as sent.
    pub path: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// The answer to a request.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// When the client should come back.
    pub retry_after_s: Option<u64>,
    /// The methods that the path has, if another was used.
    pub allow: Option<&'static str>,
    /// Why it is a refusal, if it is one; for the counters, and not sent.
    pub refusal: Option<RefusalReason>,
    /// The media type of the body.
    pub content_type: &'static str,
}

impl Response {
    /// A response with a JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response { status, body, retry_after_s: None, allow: None, refusal: None, content_type: "application/json" }
    }

    /// A refusal with a message.
    pub fn error(status: u16, message: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": message }))
    }
}

/// The reason phrase of a status.
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
