//! HTTP client: one request at a time on a connection, and a pool of idle connections.

use super::framing::{parse_reply, read_message};
use super::pool::Pool;
use crate::runtime::sync::lock;
use crate::transport::network::{Net, Stream};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout_at};

/// Reason why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent and will not be carried out.
    NotSent,
    /// The request may have been carried out or may still be carried out.
    Indeterminate,
}

/// HTTP client with a pool of idle connections; cheap to clone.
#[derive(Clone)]
pub struct Client {
    pub(super) idle: Arc<Mutex<Pool>>,
    net: Net,
}

impl Default for Client {
    /// Creates a client for a few servers that receive requests continuously.
    fn default() -> Client {
        Client::with_idle(DEFAULT_MAX_IDLE_CONNECTIONS)
    }
}

/// Default maximum number of idle connections, for a client of a few servers.
pub const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 16;

impl Client {
    /// Creates a client that keeps at most `max_idle` idle connections, over TCP.
    pub fn with_idle(max_idle: usize) -> Client {
        Client::on(&Net::default(), max_idle)
    }

    /// Creates a client that keeps at most `max_idle` idle connections, over the network `net`.
    pub fn on(net: &Net, max_idle: usize) -> Client {
        Client { idle: Arc::new(Mutex::new(Pool::new(max_idle))), net: net.clone() }
    }

    /// Sends a request and returns the status and the body of the reply. `timeout` bounds the whole call.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if no connection could be opened, so that the server cannot have received the
    /// request, and [`CallError::Indeterminate`] if it may have been carried out.
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = Instant::now() + timeout;
        let mut stream = self.take_or_connect(addr, deadline).await?;
        let request = encode_request(addr, method, path, body);
        match timeout_at(deadline, stream.write_all(&request)).await {
            Ok(Ok(())) => {}
            _ => return Err(CallError::Indeterminate),
        }
        let mut buf = Vec::new();
        let Ok(Ok(reply)) = timeout_at(deadline, read_message(&mut stream, &mut buf, parse_reply)).await else {
            return Err(CallError::Indeterminate);
        };
        if !reply.close_after && buf.is_empty() {
            lock(&self.idle).add(addr, stream);
        }
        Ok((reply.head, reply.body))
    }

    /// Takes an idle connection to the server from the pool, or opens a new one.
    async fn take_or_connect(&self, addr: SocketAddr, deadline: Instant) -> Result<Box<dyn Stream>, CallError> {
        let idle = lock(&self.idle).take(addr);
        match idle {
            Some(stream) if !stream.is_closed() => Ok(stream),
            _ => match timeout_at(deadline, self.net.connect(addr)).await {
                Ok(Ok(stream)) => Ok(stream),
                _ => Err(CallError::NotSent),
            },
        }
    }

    /// Closes the idle connections to a server that no longer exists.
    pub fn close_idle_connections(&self, addr: SocketAddr) {
        lock(&self.idle).close_all(addr);
    }
}

fn encode_request(addr: SocketAddr, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + body.map_or(0, <[u8]>::len));
    // Writing to a vector cannot fail.
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {addr}\r\n");
    if let Some(body) = body {
        let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or(&[]));
    out
}
