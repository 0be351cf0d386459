//! The client of one other controller.

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

/// Messages to the actor of a peer that wait, at the most; a request beyond is refused at once.
pub(super) const MAX_QUEUED: usize = 256;

/// A message to the actor of a peer's connections, which are identified by numbers.
pub(super) enum ConnectionMessage {
    /// Send a request, and pass on its response.
    Request(PeerRequest, oneshot::Sender<PeerResponse>),
    /// A response has come on a connection.
    Response { connection: u64, frame: Frame<PeerResponse> },
    /// A connection could not be opened, or has ended.
    ConnectionClosed { connection: u64 },
    /// A request was cancelled: nobody receives the response.
    RequestCancelled,
}

/// Timeouts of requests to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// How long an attempt to connect may take.
    pub connect: Duration,
    /// When the peer counts as unresponsive.
    pub health: HealthLimits,
}

impl PeerTimeouts {
    /// The timeouts for a duration of leader leases in milliseconds.
    pub fn for_leader_lease(leader_lease_ttl_ms: u64) -> PeerTimeouts {
        PeerTimeouts {
            connect: Duration::from_millis(leader_lease_ttl_ms / 4),
            health: HealthLimits::for_leader_lease(leader_lease_ttl_ms),
        }
    }
}

/// The client of one other controller; cheap to clone.
#[derive(Clone)]
pub struct Peer {
    /// Name of the other controller.
    pub name: String,
    /// Whether the controller is unresponsive.
    pub health: SharedPeerHealth,
    /// The format that the controller speaks, by its last frame.
    pub format: PeerFormat,
    connect_timeout: Duration,
    tx: mpsc::Sender<ConnectionMessage>,
}

impl Peer {
    /// Starts the actor that owns the connections. One that leaves requests unanswered is replaced:
    /// a network partition may hold what is sent on it.
    pub fn start(name: String, addr: SocketAddr, timeouts: PeerTimeouts) -> Peer {
        Peer::start_on(Net::default(), name, addr, timeouts)
    }

    /// The same over a given network.
    pub fn start_on(net: Net, name: String, addr: SocketAddr, timeouts: PeerTimeouts) -> Peer {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let health = SharedPeerHealth::new(&name, timeouts.health);
        let connector = Connector { net, addr, connect_timeout: timeouts.connect, events: tx.clone() };
        let format = PeerFormat::new(&name);
        task::spawn(Connections::new(connector, health.clone(), format.clone()).run(rx));
        Peer { name, health, format, connect_timeout: timeouts.connect, tx }
    }

    /// The response to a request, if it comes within the timeout. A user's request to an unresponsive
    /// peer fails at once, unless it is the one that probes it; all others are always sent.
    ///
    /// With `None` the outcome is indeterminate: the peer may handle the request all the same.
    pub async fn request(&self, request: PeerRequest, timeout: Duration) -> Option<PeerResponse> {
        self.request_until(request, sleep(timeout)).await
    }

    /// Like [`Peer::request`], with a timeout at the end of `cancelled`.
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
        // The receiver is dropped before the actor is notified, which looks for closed ones.
        let outcome = tokio::select! {
            biased;
            response = response => Some(response),
            () = cancelled => None,
        };
        match outcome {
            Some(Ok(response)) => return Some(response),
            // Refused at once, or its connection was closed.
            Some(Err(_)) if started.elapsed() < self.connect_timeout => return None,
            Some(Err(_)) => {}
            None => {
                // If the queue is full, a later cancellation has the same effect.
                let _ = self.tx.try_send(ConnectionMessage::RequestCancelled);
            }
        }
        self.health.unanswered(sent_ms);
        None
    }
}
