//! The actor that owns the connections to one peer and the requests that wait there.

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

/// What opens connections to a peer.
pub(super) struct Connector {
    pub(super) net: Net,
    pub(super) addr: SocketAddr,
    /// How long an attempt to connect may take.
    pub(super) connect_timeout: Duration,
    /// Where connections report what happens on them.
    pub(super) events: mpsc::Sender<ConnectionMessage>,
}

/// A connection, or the attempt to open one.
struct Connection {
    number: u64,
    /// Frames wait here until the connection is open. None: it takes no more requests.
    frames: Option<mpsc::Sender<Vec<u8>>>,
    /// Responses that came on it.
    responses: u64,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request without a response.
struct PendingRequest {
    connection: u64,
    /// Responses that had come on the connection when the request was sent.
    responses_before: u64,
    reply: oneshot::Sender<PeerResponse>,
}

/// The connections to one peer: the one in use, and earlier ones on which requests wait.
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

    /// Handles messages until nobody can send any more.
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

    /// Sends a request on the connection in use; drops the reply if that can't be done.
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

    fn connection_in_use(&mut self) -> &mut Connection {
        let index = self.connections.iter().position(|connection| connection.frames.is_some()).unwrap_or_else(|| {
            self.last_connection += 1;
            self.connections.push(self.connector.open(self.last_connection));
            self.connections.len() - 1
        });
        &mut self.connections[index]
    }

    fn handle_response(&mut self, connection: u64, frame: Frame<PeerResponse>) {
        self.health.received();
        self.format.received(frame.format);
        let Some(connection) = self.connections.iter_mut().find(|open| open.number == connection) else { return };
        connection.responses += 1;
        if let Some(pending) = self.pending_requests.remove(&frame.number) {
            // What can't be read is no usable answer. An asker that waits no longer needs none.
            let _ = pending.reply.send(frame.message.unwrap_or(PeerResponse::Rejected));
        }
    }

    fn remove_connection(&mut self, connection: u64) {
        self.connections.retain(|open| open.number != connection);
        self.pending_requests.retain(|_, pending| pending.connection != connection);
    }

    /// Drops the requests that were cancelled. A connection on which nothing has come since one of
    /// them was sent takes no more: a network partition may hold what is sent on it.
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

    /// Closes the connections that take no more requests and on which none waits.
    fn close_unused(&mut self) {
        let pending_requests = &self.pending_requests;
        self.connections.retain(|connection| {
            connection.frames.is_some()
                || pending_requests.values().any(|pending| pending.connection == connection.number)
        });
    }
}

impl Connector {
    /// Starts a connection; what is to be sent on it waits until it is open.
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

/// Reports the responses that come on a connection, and its end.
async fn read_responses(mut read: FrameReader, connection: u64, events: mpsc::Sender<ConnectionMessage>) {
    while let Some(frame) = read_frame(&mut read).await {
        if events.send(ConnectionMessage::Response { connection, frame }).await.is_err() {
            return;
        }
    }
    // The actor ends only with the node.
    let _ = events.send(ConnectionMessage::ConnectionClosed { connection }).await;
}
