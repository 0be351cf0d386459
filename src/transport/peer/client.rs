//! Client for requests to one other controller.

use super::connections::{Connections, Connector};
use super::frames::Frame;
use super::messages::{PeerRequest, PeerResponse};
use crate::runtime::{clock, task};
use crate::transport::frame_format::PeerFormat;
use crate::transport::network::Net;
use crate::transport::peer_health::{HealthLimits, SharedPeerHealth};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// Capacity of the queue of messages to the connection actor of a peer. When it is full, a further
/// request fails at once.
pub(super) const MAX_QUEUED: usize = 256;

/// Message to the actor that owns the connections to a peer. Connections are identified by numbers.
pub(super) enum ConnectionMessage {
    /// Sends a request; its response is passed to the sender.
    Request(PeerRequest, oneshot::Sender<PeerResponse>),
    /// A response was received on a connection.
    Response { connection: u64, frame: Frame<PeerResponse> },
    /// A connection could not be opened, or has been closed.
    ConnectionClosed { connection: u64 },
    /// A request was cancelled: the receiver of its response has been dropped.
    RequestCancelled,
}

/// Timeouts of requests to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// Maximum duration of an attempt to connect.
    pub connect: Duration,
    /// Limits by which the peer is considered unresponsive.
    pub health: HealthLimits,
}

impl PeerTimeouts {
    /// Returns the timeouts for leader leases of `leader_lease_ttl_ms` milliseconds.
    pub fn for_leader_lease(leader_lease_ttl_ms: u64) -> PeerTimeouts {
        PeerTimeouts {
            connect: Duration::from_millis(leader_lease_ttl_ms / 4),
            health: HealthLimits::for_leader_lease(leader_lease_ttl_ms),
        }
    }
}

/// Client for requests to one other controller; cheap to clone.
#[derive(Clone)]
pub struct Peer {
    /// Name of the other controller.
    pub name: String,
    /// Health of the controller, shared by the clones of this client.
    pub health: SharedPeerHealth,
    /// Format of the last frame received from the controller.
    pub format: PeerFormat,
    connect_timeout: Duration,
    tx: mpsc::Sender<ConnectionMessage>,
}

impl Peer {
    /// Starts the actor that owns the connections to the controller `name` at `addr`, over TCP. A
    /// connection that leaves requests unanswered is replaced, since a network partition may hold back
    /// the data sent on it.
    pub fn start(name: String, addr: SocketAddr, timeouts: PeerTimeouts) -> Peer {
        Peer::start_on(Net::default(), name, addr, timeouts)
    }

    /// Starts the actor like [`Peer::start`], over the network `net`.
    pub fn start_on(net: Net, name: String, addr: SocketAddr, timeouts: PeerTimeouts) -> Peer {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let health = SharedPeerHealth::new(&name, timeouts.health);
        let connector = Connector { net, addr, connect_timeout: timeouts.connect, events: tx.clone() };
        let format = PeerFormat::new(&name);
        task::spawn(Connections::new(connector, health.clone(), format.clone()).run(rx));
        Peer { name, health, format, connect_timeout: timeouts.connect, tx }
    }

    /// Sends a request and returns its response; `None` if there is no response within `timeout`. A user's
    /// request to an unresponsive peer fails at once, unless it is sent as a probe; requests of all other kinds
    /// are always sent.
    ///
    /// After `None` the outcome is indeterminate: the peer may still carry out the request.
    pub async fn request(&self, request: PeerRequest, timeout: Duration) -> Option<PeerResponse> {
        self.request_until(request, sleep(timeout)).await
    }

    /// Sends a request like [`Peer::request`], and stops waiting for the response when `cancelled` completes.
    pub async fn request_until(
        &self,
        request: PeerRequest,
        cancelled: impl Future<Output = ()>,
    ) -> Option<PeerResponse> {
        if matches!(request, PeerRequest::User { .. }) && !self.health.may_send_user_request() {
            return None;
        }
        let (started, sent_ms) = (Instant::now(), clock::now_ms());
        let (reply, response) = oneshot::channel();
        self.tx.try_send(ConnectionMessage::Request(request, reply)).ok()?;
        // Drops the receiver before the actor is notified, since the actor looks for closed receivers.
        let outcome = tokio::select! {
            biased;
            response = response => Some(response),
            () = cancelled => None,
        };
        match outcome {
            Some(Ok(response)) => return Some(response),
            // The request failed at once, or its connection was closed.
            Some(Err(_)) if started.elapsed() < self.connect_timeout => {
                self.health.record_not_sent();
                return None;
            }
            Some(Err(_)) => {}
            None => {
                // If the queue is full, a later cancellation message has the same effect.
                let _ = self.tx.try_send(ConnectionMessage::RequestCancelled);
            }
        }
        self.health.record_unanswered(sent_ms);
        None
    }
}
