//! What controllers say to each other: CBOR messages in frames of a length and
//! a body, requests and replies matched by number.

use crate::api::refusal::RefusalReason;
use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::configuration::{ConfigurationRequest, ConfigurationResponse};
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::runtime::task;
use crate::transport::frame_format::{FrameFormat, PeerFormat};
use crate::transport::network::{Listener, Net};
use crate::transport::peer_health::{HealthLimits, SharedPeerHealth};
use crate::warm_pools::{WarmPoolsRequest, WarmPoolsResponse};
use connections::{Connections, Connector};
use frames::{Frame, encode, frame_reader, read_frame, write_frames};
use serde::{Deserialize, Deserializer, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

mod connections;
mod frames;

pub(crate) use frames::MAX_FRAME;

/// Messages to the actor of a peer that wait, at the most; a request beyond is refused at once.
const MAX_QUEUED: usize = 256;

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Promise not to act for this partition for a while.
    #[serde(rename = "Promise")]
    Pledge {
        /// Number of the partition.
        partition: u32,
        /// Name of the node that asks.
        #[serde(rename = "owner")]
        leader: String,
        /// The fencing token that the pledge is for.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
        /// Duration of the pledge in milliseconds.
        for_ms: u64,
        /// True if the state service has answered the asker lately.
        state_ok: bool,
    },
    /// The asker has stopped acting under this fencing token: its pledge binds no more.
    #[serde(rename = "Release")]
    ReleasePledge {
        /// Number of the partition.
        partition: u32,
        /// The fencing token that the pledge was for.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
    },
    /// A user's request for the leader of a partition.
    User {
        /// Number of the partition.
        partition: u32,
        /// What the user asks.
        call: UserCall,
    },
    /// To the provisioner: what a partition needs, and could do without.
    CapacityReport(CapacityReport),
    /// A request about the configuration that the regions of a fleet share.
    Configuration(ConfigurationRequest),
    /// A question about warm pools.
    Pools(WarmPoolsRequest),
    /// A question about loans between teams.
    Loans(BorrowingRequest),
    /// From the provisioner: give this machine, if it is free, to another partition.
    TransferHost {
        /// Partition that the machine belongs to.
        partition: u32,
        /// Id of the machine.
        host: String,
        /// Partition that is to get it.
        to: u32,
    },
}

/// A user's request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UserCall {
    /// Accept a job; with the body of the submission.
    Submit(Vec<u8>),
    /// Tell the state of the job with this id.
    Status(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// Machines of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// Name of the machine type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: usize,
}

/// What a partition needs, and could do without.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Number of the partition.
    pub partition: u32,
    /// The lowest bin that waits for room, if any does.
    pub lowest_bin: Option<u64>,
    /// How many machines it believes to be on their way to it.
    pub assumed: usize,
    /// Machines that it lacks.
    pub wanted: Vec<Machines>,
    /// Free machines that nothing here needs.
    pub spare: Vec<String>,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The pledge is given, or the request is carried out.
    #[serde(rename = "Promised")]
    Accepted,
    /// The request is refused, or cannot be carried out.
    #[serde(rename = "No")]
    Rejected,
    /// Machines that are on their way to the partition.
    PendingMachines {
        /// Machines that are on their way to the partition.
        pending_machines: Vec<Machines>,
        /// Kinds of machines that cannot be had now.
        refused: Vec<Machines>,
    },
    /// The response about warm pools.
    Pools(WarmPoolsResponse),
    /// The response about loans between teams.
    Loans(BorrowingResponse),
    /// The response about the shared configuration.
    Configuration(ConfigurationResponse),
    /// The response for the user.
    User {
        /// The HTTP status code.
        status: u16,
        /// The body, in JSON.
        body: Vec<u8>,
        /// Seconds after which to ask again; `None` if the answer is final.
        retry_after_s: Option<u64>,
        /// Why the leader refuses, for the counters of the node that asked.
        #[serde(default, deserialize_with = "known_reason")]
        refusal: Option<RefusalReason>,
    },
}

impl PeerResponse {
    /// The response without what a speaker of this format can't read: an unknown reason makes
    /// the whole frame unreadable to the version before.
    fn readable_in(mut self, format: FrameFormat) -> PeerResponse {
        if let PeerResponse::User { refusal, .. } = &mut self
            && !format.is_current()
        {
            refusal.take_if(|reason| !reason.is_known_to_all());
        }
        self
    }
}

/// A reason by its name; `None` also for one that this version does not know.
fn known_reason<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<RefusalReason>, D::Error> {
    let name: Option<String> = Option::deserialize(deserializer)?;
    Ok(name.and_then(|name| RefusalReason::from_label(&name)))
}

/// Serves the other controllers for ever.
pub async fn serve<H, F>(listener: impl Listener, handler: H)
where
    H: Fn(PeerRequest, FrameFormat) -> F + Send + Sync + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (read, write) = stream.halves();
        let mut read = frame_reader(read);
        let handler = handler.clone();
        let (tx, rx) = mpsc::channel::<Vec<u8>>(64);
        task::spawn(write_frames(write, rx));
        task::spawn(async move {
            while let Some(frame) = read_frame::<PeerRequest>(&mut read).await {
                let (handler, tx) = (handler.clone(), tx.clone());
                task::spawn(async move {
                    let response = match frame.message {
                        Some(request) => handler(request, frame.format).await,
                        None => PeerResponse::Rejected,
                    };
                    if let Some(frame) = encode(frame.number, response.readable_in(frame.format)) {
                        let _ = tx.send(frame).await;
                    }
                });
            }
        });
    }
}

/// A message to the actor of a peer. Connections and requests are told by their numbers.
enum ToPeer {
    /// Send a request, and its response to the asker.
    Request(PeerRequest, oneshot::Sender<PeerResponse>),
    /// A response has come on a connection.
    Response { connection: u64, frame: Frame<PeerResponse> },
    /// A connection could not be opened, or has ended.
    Broken { connection: u64 },
    /// An asker has given its request up: nobody receives the response.
    Abandoned,
}

/// How long a peer is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// How long an attempt to connect may take.
    pub connect: Duration,
    /// When the peer counts as silent.
    pub health: HealthLimits,
}

impl PeerLimits {
    /// The limits for a life of a lease.
    pub fn for_leader_lease(leader_lease_ttl_ms: u64) -> PeerLimits {
        PeerLimits {
            connect: Duration::from_millis(leader_lease_ttl_ms / 4),
            health: HealthLimits::for_leader_lease(leader_lease_ttl_ms),
        }
    }
}

/// The way to one other controller.
#[derive(Clone)]
pub struct Peer {
    /// Name of the other controller.
    pub name: String,
    /// Whether the controller is silent; told of whatever else is heard from it.
    pub health: SharedPeerHealth,
    /// The format that the controller speaks, as its last frame told.
    pub format: PeerFormat,
    connect_limit: Duration,
    tx: mpsc::Sender<ToPeer>,
}

impl Peer {
    /// Starts the actor that owns the connection. One that leaves requests
    /// unanswered is given up, as a cut may hold what is sent on it.
    pub fn start(name: String, addr: SocketAddr, limits: PeerLimits) -> Peer {
        Peer::start_on(Net::default(), name, addr, limits)
    }

    /// The same over a given network.
    pub fn start_on(net: Net, name: String, addr: SocketAddr, limits: PeerLimits) -> Peer {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let health = SharedPeerHealth::new(&name, limits.health);
        let connector = Connector { net, addr, limit: limits.connect, events: tx.clone() };
        let format = PeerFormat::new(&name);
        task::spawn(Connections::new(connector, health.clone(), format.clone()).run(rx));
        Peer { name, health, format, connect_limit: limits.connect, tx }
    }

    /// The response to a request, if it comes within the limit. A user's request to a silent
    /// peer fails at once, unless it is the one that probes it; all others are always sent.
    pub async fn request(&self, request: PeerRequest, limit: Duration) -> Option<PeerResponse> {
        self.request_until(request, sleep(limit)).await
    }

    /// The same, if it comes before `given_up` is over.
    pub async fn request_until(
        &self,
        request: PeerRequest,
        given_up: impl Future<Output = ()>,
    ) -> Option<PeerResponse> {
        if matches!(request, PeerRequest::User { .. }) && !self.health.may_ask() {
            return None;
        }
        let (sent, sent_ms) = (Instant::now(), clock::now_ms());
        let (reply, response) = oneshot::channel();
        self.tx.try_send(ToPeer::Request(request, reply)).ok()?;
        // The receiver is dropped before the actor hears that the request is abandoned.
        let outcome = tokio::select! {
            biased;
            response = response => Some(response),
            () = given_up => None,
        };
        match outcome {
            Some(Ok(response)) => return Some(response),
            // Refused at once, or its connection has hung.
            Some(Err(_)) if sent.elapsed() < self.connect_limit => return None,
            Some(Err(_)) => {}
            None => {
                let _ = self.tx.try_send(ToPeer::Abandoned);
            }
        }
        self.health.unanswered(sent_ms);
        None
    }
}

#[cfg(test)]
pub mod tests;
