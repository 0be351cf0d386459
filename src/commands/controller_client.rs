//! Requests of the subcommands to a running controller, and the JSON form of responses.

use crate::commands::errors::{CommandError, ExecutionError};
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the response of a controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Lease duration, in milliseconds, from which the timeouts of the connection are derived.
const TIMEOUT_LEASE_MS: u64 = 20_000;

/// Returns a connection to the controller at this internal address.
pub fn connect(controller: SocketAddr) -> Peer {
    let timeouts = PeerTimeouts::for_leader_lease(TIMEOUT_LEASE_MS);
    Peer::start_on(Net::default(), controller.to_string(), controller, timeouts)
}

/// Sends a request to the controller at this internal address and returns its response.
///
/// # Errors
///
/// [`ExecutionError::NoAnswer`] if the controller does not answer in time.
pub async fn ask(controller: SocketAddr, request: PeerRequest) -> Result<PeerResponse, CommandError> {
    let answer = connect(controller).request(request, RESPONSE_TIMEOUT).await;
    answer.ok_or(CommandError::Failed(ExecutionError::NoAnswer))
}

/// Returns the error of a command that may be repeated after `after_s` seconds.
pub fn retry_later_error(after_s: u64) -> CommandError {
    ExecutionError::RetryLater { after_s }.into()
}

/// Returns a value as indented JSON with a final line break.
///
/// # Errors
///
/// The value cannot be serialised as JSON.
pub fn json_text(value: &impl Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(ExecutionError::Json)?;
    Ok(text + "\n")
}
