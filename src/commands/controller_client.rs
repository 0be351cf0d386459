//! What the program's commands ask a running controller, and how answers are printed.

use crate::commands::configuration::CommandError;
use crate::transport::network::Net;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Life of a lease from which the limits of the connection follow.
const CONNECTION_GRANT_MS: u64 = 20_000;

/// Asks the controller at this internal address.
pub async fn ask(controller: SocketAddr, request: PeerRequest) -> Result<PeerResponse, CommandError> {
    let limits = PeerTimeouts::for_leader_lease(CONNECTION_GRANT_MS);
    let peer = Peer::start_on(Net::default(), controller.to_string(), controller, limits);
    let answer = peer.request(request, ANSWER_LIMIT).await;
    answer.ok_or_else(|| CommandError::NotDone("the controller does not answer".into()))
}

/// What a command says that can't be answered now.
pub fn retry_later(after_s: u64) -> CommandError {
    CommandError::NotDone(format!("no answer is possible now: again in {after_s} s"))
}

/// A value as JSON for people.
pub fn json_text(value: &impl Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| CommandError::NotDone(e.to_string()))?;
    Ok(text + "\n")
}
