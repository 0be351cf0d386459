//! Actor that owns the connections to one peer and the requests that wait for a response.

use super::client::{ConnectionMessage, MAX_QUEUED};
use super::frames::{Frame, FrameReader, encode, frame_reader, read_frame, write_frames};
use super::messages::{PeerRequest, PeerResponse};
use crate::runtime::task;
use crate::transport::frame_format::PeerFormat;
use crate::transport::network::Net;
use crate::transport::peer_health::SharedPeerHealth;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Opens connections to a peer.
pub(super) struct Connector {
    pub(super) net: Net,
    pub(super) addr: SocketAddr,
    /// Maximum duration of an attempt to connect.
    pub(super) connect_timeout: Duration,
    /// Queue of the actor, to which connections report responses and their end.
    pub(super) events: mpsc::Sender<ConnectionMessage>,
}

/// Connection that is open or is being opened.
struct Connection {
    number: u64,
    /// Queue of frames to be written once the connection is open; `None` if the connection accepts no
    /// further requests.
    frames: Option<mpsc::Sender<Vec<u8>>>,
    /// Number of responses received on the connection.
    responses: u64,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Request that waits for its response.
struct PendingRequest {
    connection: u64,
    /// Number of responses that had been received on the connection when the request was sent.
    responses_before: u64,
    reply: oneshot::Sender<PeerResponse>,
}

/// Connections to one peer: the one in use, and earlier ones on which requests still wait for responses.
pub(super) struct Connections {
    connector: Connector,
    health: SharedPeerHealth,
    format: PeerFormat,
    connections: Vec<Connection>,
    pending_requests: HashMap<u64, PendingRequest>,
    last_connection: u64,
    last_request: u64,
}

impl Connections {
    pub(super) fn new(connector: Connector, health: SharedPeerHealth, format: PeerFormat) -> Connections {
        Connections {
            connector,
            health,
            format,
            connections: Vec::new(),
            pending_requests: HashMap::new(),
            last_connection: 0,
            last_request: 0,
        }
    }

    /// Handles messages until all senders have been dropped.
    pub(super) async fn run(mut self, mut messages: mpsc::Receiver<ConnectionMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                ConnectionMessage::Request(request, reply) => self.send(request, reply),
                ConnectionMessage::Response { connection, frame } => self.handle_response(connection, frame),
                ConnectionMessage::ConnectionClosed { connection } => self.remove_connection(connection),
                ConnectionMessage::RequestCancelled => self.drop_cancelled(),
            }
            self.close_unused();
        }
    }

    /// Sends a request on the connection in use; drops `reply` if it cannot be sent.
    fn send(&mut self, request: PeerRequest, reply: oneshot::Sender<PeerResponse>) {
        self.last_request += 1;
        let Some(frame) = encode(self.last_request, request) else { return };
        let connection = self.connection_in_use();
        let Some(frames) = &connection.frames else { return };
        if frames.try_send(frame).is_err() {
            return;
        }
        let pending = PendingRequest { connection: connection.number, responses_before: connection.responses, reply };
        self.pending_requests.insert(self.last_request, pending);
    }

    /// Returns the connection that accepts requests; opens one if there is none.
    fn connection_in_use(&mut self) -> &mut Connection {
        let index = self.connections.iter().position(|connection| connection.frames.is_some()).unwrap_or_else(|| {
            self.last_connection += 1;
            self.connections.push(self.connector.open(self.last_connection));
            self.connections.len() - 1
        });
        &mut self.connections[index]
    }

    /// Passes a response to the sender of its request.
    fn handle_response(&mut self, connection: u64, frame: Frame<PeerResponse>) {
        self.health.record_received();
        self.format.record_frame(frame.format);
        let Some(connection) = self.connections.iter_mut().find(|open| open.number == connection) else { return };
        connection.responses += 1;
        if let Some(pending) = self.pending_requests.remove(&frame.number) {
            // An unreadable response counts as a rejection. Sending fails if the request was cancelled.
            let _ = pending.reply.send(frame.message.unwrap_or(PeerResponse::Rejected));
        }
    }

    /// Removes a closed connection and drops the requests that wait on it.
    fn remove_connection(&mut self, connection: u64) {
        self.connections.retain(|open| open.number != connection);
        self.pending_requests.retain(|_, pending| pending.connection != connection);
    }

    /// Drops the cancelled requests. A connection on which no response was received since one of them was
    /// sent accepts no further requests, since a network partition may hold back the data sent on it.
    fn drop_cancelled(&mut self) {
        let connections = &mut self.connections;
        self.pending_requests.retain(|_, pending| {
            if !pending.reply.is_closed() {
                return true;
            }
            if let Some(connection) = connections.iter_mut().find(|connection| connection.number == pending.connection)
                && connection.responses == pending.responses_before
            {
                connection.frames = None;
            }
            false
        });
    }

    /// Closes the connections that accept no further requests and on which no request waits.
    fn close_unused(&mut self) {
        let pending_requests = &self.pending_requests;
        self.connections.retain(|connection| {
            connection.frames.is_some()
                || pending_requests.values().any(|pending| pending.connection == connection.number)
        });
    }
}

impl Connector {
    /// Starts to open a connection; frames to be sent are queued until it is open.
    fn open(&self, number: u64) -> Connection {
        let (frames_tx, frames) = mpsc::channel(MAX_QUEUED);
        let (net, addr, connect_timeout, events) =
            (self.net.clone(), self.addr, self.connect_timeout, self.events.clone());
        let task = task::spawn(async move {
            match timeout(connect_timeout, net.connect(addr)).await {
                Ok(Ok(stream)) => {
                    let (read, write) = stream.halves();
                    tokio::join!(write_frames(write, frames), read_responses(frame_reader(read), number, events));
                }
                _ => {
                    // The actor ends only with the node.
                    let _ = events.send(ConnectionMessage::ConnectionClosed { connection: number }).await;
                }
            }
        });
        Connection { number, frames: Some(frames_tx), responses: 0, task: task.abort_handle() }
    }
}

/// Reports to the actor the responses received on a connection, and its end.
async fn read_responses(mut read: FrameReader, connection: u64, events: mpsc::Sender<ConnectionMessage>) {
    while let Some(frame) = read_frame(&mut read).await {
        if events.send(ConnectionMessage::Response { connection, frame }).await.is_err() {
            return;
        }
    }
    // The actor ends only with the node.
    let _ = events.send(ConnectionMessage::ConnectionClosed { connection }).await;
}
