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

/// How many more direct commands may be under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandCapacity {
    /// Commands that may be sent now.
    pub free: usize,
    /// So many of them are not for probes, however many are due.
    pub reserved_for_orders: usize,
}

/// Direct commands to workers.
///
/// A command without an answer is indeterminate: it may be carried out minutes later, until the
/// worker has seen a higher fencing token or a new agent runs on its machine.
#[derive(Clone)]
pub struct Worker {
    http: Client,
    /// Bounds the commands under way, and so the sockets that they use.
    under_way: Arc<tokio::sync::Semaphore>,
    reserved_for_orders: usize,
    timeout: Duration,
}

impl Worker {
    /// A client over TCP.
    pub fn new(settings: &Settings) -> Worker {
        Worker::on(&Net::default(), settings)
    }

    /// A client over a given network.
    pub fn on(net: &Net, settings: &Settings) -> Worker {
        let bounds = Bounds::new(settings);
        Worker {
            http: Client::on(net, bounds.worker_connections),
            under_way: Arc::new(tokio::sync::Semaphore::new(bounds.direct_commands)),
            reserved_for_orders: bounds.direct_commands / 2,
            // Two unanswered probes make a machine unreachable: both fit into one `react_ms`.
            timeout: Duration::from_millis(settings.react_ms() / 2),
        }
    }

    /// Sends a direct command, once fewer than the allowed number are under way.
    pub async fn direct(&self, addr: SocketAddr, body: &[u8]) -> DirectCommandOutcome {
        let Ok(_permit) = self.under_way.acquire().await else { return DirectCommandOutcome::NotSent };
        match self.http.call(addr, "POST", wire::DO_PATH, Some(body), self.timeout).await {
            Ok((200 | 409, answer)) => match serde_json::from_slice(&answer) {
                Ok(heartbeat) => DirectCommandOutcome::Answered(Box::new(heartbeat)),
                Err(_) => DirectCommandOutcome::Indeterminate,
            },
            Ok(_) | Err(CallError::Indeterminate) => DirectCommandOutcome::Indeterminate,
            Err(CallError::NotSent) => DirectCommandOutcome::NotSent,
        }
    }

    /// How many more commands may be under way now.
    pub fn capacity(&self) -> CommandCapacity {
        CommandCapacity { free: self.under_way.available_permits(), reserved_for_orders: self.reserved_for_orders }
    }

    /// Closes the idle connections to a worker that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.http.forget(addr);
    }
}
