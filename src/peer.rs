//! What controllers say to each other: CBOR messages in frames of a length and
//! a body, requests and replies matched by number.

use crate::net::{Listener, Net, ReadHalf, WriteHalf};
use crate::refusal::RefusalReason;
use crate::task;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Most that a frame may hold: a request's body with what is around it.
const MAX_FRAME: usize = 128 * 1024;

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Promise not to act for this partition for a while.
    Promise {
        /// Number of the partition.
        partition: u32,
        /// Name of the node that asks.
        owner: String,
        /// The term that the promise is for.
        term: u64,
        /// Duration of the promise in milliseconds.
        for_ms: u64,
        /// True if the state service has answered the asker lately.
        state_ok: bool,
    },
    /// The asker has stopped acting under this term: its promise binds no more.
    Release {
        /// Number of the partition.
        partition: u32,
        /// The term that the promise was for.
        term: u64,
    },
    /// A user's request for the owner of a partition.
    User {
        /// Number of the partition.
        partition: u32,
        /// What the user asks.
        call: UserCall,
    },
    /// To the leader: what a partition needs, and could do without.
    CapacityReport(CapacityReport),
    /// From the leader: give this machine, if it is free, to another partition.
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
    pub flavor: String,
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
    /// The promise is given, or the request is carried out.
    Promised,
    /// The request is refused, or cannot be carried out.
    No,
    /// Machines that are on their way to the partition.
    PendingMachines {
        /// Machines that are on their way to the partition.
        pending_machines: Vec<Machines>,
        /// Kinds of machines that cannot be had now.
        refused: Vec<Machines>,
    },
    /// The response for the user.
    User {
        /// The HTTP status code.
        status: u16,
        /// The body, in JSON.
        body: Vec<u8>,
        /// Seconds after which to ask again; `None` if the answer is final.
        retry_after_s: Option<u64>,
        /// Why the owner refuses, for the counters of the node that asked.
        #[serde(default)]
        refusal: Option<RefusalReason>,
    },
}

#[derive(Serialize, Deserialize)]
struct Numbered<T> {
    n: u64,
    body: T,
}

fn encode<T: Serialize>(n: u64, body: T) -> Option<Vec<u8>> {
    let mut out = vec![0; 4];
    ciborium::into_writer(&Numbered { n, body }, &mut out).ok()?;
    let len = out.len() - 4;
    if len > MAX_FRAME {
        return None;
    }
    out[..4].copy_from_slice(&(len as u32).to_be_bytes());
    Some(out)
}

async fn read_frame<T: for<'a> Deserialize<'a>>(stream: &mut ReadHalf) -> Option<(u64, T)> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await.ok()?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME {
        return None;
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    let m: Numbered<T> = ciborium::from_reader(body.as_slice()).ok()?;
    Some((m.n, m.body))
}

/// Serves the other controllers for ever.
pub async fn serve<H, F>(listener: impl Listener, handler: H)
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (mut read, write) = stream.halves();
        let handler = handler.clone();
        let (tx, rx) = mpsc::channel::<Vec<u8>>(64);
        task::spawn(write_frames(write, rx));
        task::spawn(async move {
            while let Some((n, request)) = read_frame::<PeerRequest>(&mut read).await {
                let (handler, tx) = (handler.clone(), tx.clone());
                task::spawn(async move {
                    if let Some(frame) = encode(n, handler(request).await) {
                        let _ = tx.send(frame).await;
                    }
                });
            }
        });
    }
}

async fn write_frames(mut write: WriteHalf, mut rx: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = rx.recv().await {
        if write.write_all(&frame).await.is_err() {
            return;
        }
    }
}

enum ToPeer {
    Request(PeerRequest, oneshot::Sender<PeerResponse>),
    Response(u64, u64, PeerResponse),
    Broken(u64),
    Abandoned,
}

/// The way to one other controller.
#[derive(Clone)]
pub struct Peer {
    /// Name of the other controller.
    pub name: String,
    tx: mpsc::Sender<ToPeer>,
}

impl Peer {
    /// Starts the actor that owns the connection. One that leaves requests
    /// unanswered is given up, as a cut may hold what is sent on it.
    pub fn start(name: String, addr: SocketAddr, connect_limit: Duration) -> Peer {
        Peer::start_on(Net::default(), name, addr, connect_limit)
    }

    /// The same over a given network.
    pub fn start_on(net: Net, name: String, addr: SocketAddr, connect_limit: Duration) -> Peer {
        let (tx, rx) = mpsc::channel(256);
        task::spawn(run(net, addr, connect_limit, tx.clone(), rx));
        Peer { name, tx }
    }

    /// Sends a request; `None` if there was no response within the limit or the connection broke.
    pub async fn request(&self, request: PeerRequest, limit: Duration) -> Option<PeerResponse> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(ToPeer::Request(request, tx)).ok()?;
        match timeout(limit, rx).await {
            Ok(r) => r.ok(),
            Err(_) => {
                let _ = self.tx.try_send(ToPeer::Abandoned);
                None
            }
        }
    }
}

async fn run(
    net: Net,
    addr: SocketAddr,
    connect_limit: Duration,
    tx: mpsc::Sender<ToPeer>,
    mut rx: mpsc::Receiver<ToPeer>,
) {
    let mut next = 0u64;
    let mut life = 0u64;
    let mut open: Option<mpsc::Sender<Vec<u8>>> = None;
    let mut waiting: HashMap<u64, oneshot::Sender<PeerResponse>> = HashMap::new();
    while let Some(m) = rx.recv().await {
        match m {
            ToPeer::Request(request, reply) => {
                if open.is_none() {
                    life += 1;
                    open = connect(&net, addr, connect_limit, life, &tx).await;
                }
                next += 1;
                if let (Some(frame), Some(out)) = (encode(next, request), open.as_ref())
                    && out.try_send(frame).is_ok()
                {
                    waiting.insert(next, reply);
                }
            }
            ToPeer::Response(l, n, r) if l == life => {
                if let Some(w) = waiting.remove(&n) {
                    let _ = w.send(r);
                }
            }
            ToPeer::Broken(l) if l == life => {
                open = None;
                waiting.clear();
            }
            ToPeer::Abandoned => {
                open = None;
                life += 1;
                waiting.clear();
            }
            ToPeer::Response(..) | ToPeer::Broken(_) => {}
        }
    }
}

async fn connect(
    net: &Net,
    addr: SocketAddr,
    limit: Duration,
    life: u64,
    tx: &mpsc::Sender<ToPeer>,
) -> Option<mpsc::Sender<Vec<u8>>> {
    let stream = timeout(limit, net.connect(addr)).await.ok()?.ok()?;
    let (mut read, write) = stream.halves();
    let (out, frames) = mpsc::channel(256);
    task::spawn(write_frames(write, frames));
    let tx = tx.clone();
    task::spawn(async move {
        while let Some((n, r)) = read_frame::<PeerResponse>(&mut read).await {
            if tx.send(ToPeer::Response(life, n, r)).await.is_err() {
                return;
            }
        }
        let _ = tx.send(ToPeer::Broken(life)).await;
    });
    Some(out)
}

#[cfg(test)]
mod tests;
