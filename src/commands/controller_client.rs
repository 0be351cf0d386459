//! Requests of the program's commands to a running controller, and how answers are printed.

use crate::commands::errors::{CommandError, NotDone};
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Life of a lease from which the limits of the connection follow.
const CONNECTION_LEASE_MS: u64 = 20_000;

/// A connection to the controller at this internal address.
pub fn connect(controller: SocketAddr) -> Peer {
    let limits = PeerTimeouts::for_leader_lease(CONNECTION_LEASE_MS);
    Peer::start_on(Net::default(), controller.to_string(), controller, limits)
}

/// Sends a request to the controller at this internal address.
///
/// # Errors
///
/// The controller does not answer.
pub async fn ask(controller: SocketAddr, request: PeerRequest) -> Result<PeerResponse, CommandError> {
    let answer = connect(controller).request(request, ANSWER_LIMIT).await;
    answer.ok_or(CommandError::NotDone(NotDone::NoAnswer))
}

/// The error of a command that can't be answered now.
pub fn retry_later(after_s: u64) -> CommandError {
    NotDone::RetryLater { after_s }.into()
}

/// A value as JSON for people.
///
/// # Errors
///
/// The value cannot be written as JSON.
pub fn json_text(value: &impl Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(NotDone::Json)?;
    Ok(text + "\n")
}
