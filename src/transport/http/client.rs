//! The client: one request at a time on a connection, and a pool of idle connections.

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

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The request never left: it will not be carried out.
    NotSent,
    /// The request may have been carried out, or may be later.
    Indeterminate,
}

/// A client with a pool of idle connections.
#[derive(Clone)]
pub struct Client {
    pub(super) idle: Arc<Mutex<Pool>>,
    net: Net,
}

impl Default for Client {
    /// For a few servers that get requests all the time.
    fn default() -> Client {
        Client::with_idle(SMALL_IDLE_POOL)
    }
}

/// Idle connections of a client of a few servers.
pub const SMALL_IDLE_POOL: usize = 16;

impl Client {
    /// A client with `most` idle connections at the most.
    pub fn with_idle(max_idle: usize) -> Client {
        Client::on(&Net::default(), max_idle)
    }

    /// The same over a given network.
    pub fn on(net: &Net, max_idle: usize) -> Client {
        Client { idle: Arc::new(Mutex::new(Pool::new(max_idle))), net: net.clone() }
    }

    /// Sends a request and returns the status and the body of the reply.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if the server cannot have received the request; otherwise it may have been carried out.
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

    /// An idle connection to the server, or a new one.
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

    /// Forgets the idle connections to a machine that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        lock(&self.idle).close_all(addr);
    }
}

fn encode_request(addr: SocketAddr, method: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + body.map_or(0, <[u8]>::len));
    // Writing to a vector can't fail.
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {addr}\r\n");
    if let Some(body) = body {
        let _ = write!(out, "Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or(&[]));
    out
}
