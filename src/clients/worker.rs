//! The client of the workers.

use crate::control::partition::DirectCommandOutcome;
use crate::settings::Settings;
use crate::settings::bounds::Bounds;
use crate::transport::http::{CallError, Client};
use crate::transport::network::Net;
use crate::wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Direct commands to workers.
#[derive(Clone)]
pub struct Worker {
    http: Client,
    /// Bounds the commands under way, and so the sockets that they use.
    under_way: Arc<tokio::sync::Semaphore>,
    kept: usize,
    timeout: Duration,
}

impl Worker {
    /// A client over TCP.
    pub fn new(s: &Settings) -> Worker {
        Worker::on(&Net::default(), s)
    }

    /// A client over a given network.
    pub fn on(net: &Net, s: &Settings) -> Worker {
        let bounds = Bounds::new(s);
        Worker {
            http: Client::on(net, bounds.worker_connections),
            under_way: Arc::new(tokio::sync::Semaphore::new(bounds.direct_commands)),
            kept: bounds.direct_commands / 2,
            // Two questions in vain make a machine lost: both fit into one `react_ms`.
            timeout: Duration::from_millis(s.react_ms() / 2),
        }
    }

    /// Sends a direct command, once fewer than the allowed number are under way.
    pub async fn direct(&self, addr: SocketAddr, body: &[u8]) -> DirectCommandOutcome {
        let Ok(_place) = self.under_way.acquire().await else { return DirectCommandOutcome::NotSent };
        match self.http.call(addr, "POST", wire::DO_PATH, Some(body), self.timeout).await {
            Ok((200 | 409, b)) => match serde_json::from_slice(&b) {
                Ok(r) => DirectCommandOutcome::Answered(Box::new(r)),
                Err(_) => DirectCommandOutcome::Indeterminate,
            },
            Ok(_) | Err(CallError::Indeterminate) => DirectCommandOutcome::Indeterminate,
            Err(CallError::NotSent) => DirectCommandOutcome::NotSent,
        }
    }

    /// How many more commands may be under way, and how many of those are kept
    /// for orders when there is much to ask.
    pub fn places(&self) -> (usize, usize) {
        (self.under_way.available_permits(), self.kept)
    }

    /// Closes the idle connections to a worker that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.http.forget(addr);
    }
}
