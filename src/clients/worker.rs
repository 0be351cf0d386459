//! Client of the workers.

use crate::control::partition::DirectCommandOutcome;
use crate::settings::Settings;
use crate::settings::bounds::Bounds;
use crate::transport::http::{CallError, Client};
use crate::transport::network::Net;
use crate::wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of direct commands that may be sent in addition to those in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandCapacity {
    /// Number of commands that may be sent now.
    pub free: usize,
    /// Number of the free commands that probes must leave for orders, however many probes are due.
    pub reserved_for_orders: usize,
}

/// Client that sends direct commands to workers; cheap to clone.
///
/// The outcome of a command without an answer is indeterminate: the worker may carry it out minutes
/// later, until it has seen a higher fencing token or a new agent runs on its machine.
#[derive(Clone)]
pub struct Worker {
    http: Client,
    /// Limits the number of commands in flight, and thereby of the sockets that they use.
    in_flight: Arc<tokio::sync::Semaphore>,
    reserved_for_orders: usize,
    timeout: Duration,
}

impl Worker {
    /// Returns a client over TCP.
    pub fn new(settings: &Settings) -> Worker {
        Worker::on(&Net::default(), settings)
    }

    /// Returns a client over the given network.
    pub fn on(net: &Net, settings: &Settings) -> Worker {
        let bounds = Bounds::new(settings);
        Worker {
            http: Client::on(net, bounds.worker_connections),
            in_flight: Arc::new(tokio::sync::Semaphore::new(bounds.direct_commands)),
            reserved_for_orders: bounds.direct_commands / 2,
            // Two unanswered probes make a machine unreachable; both must time out within `react_ms`.
            timeout: Duration::from_millis(settings.react_ms() / 2),
        }
    }

    /// Sends a direct command as soon as fewer than the maximum number are in flight, and returns its
    /// outcome.
    pub async fn send_direct_command(&self, addr: SocketAddr, body: &[u8]) -> DirectCommandOutcome {
        let Ok(_permit) = self.in_flight.acquire().await else { return DirectCommandOutcome::NotSent };
        match self.http.call(addr, "POST", wire::DIRECT_COMMAND_PATH, Some(body), self.timeout).await {
            Ok((status @ (200 | 409), answer)) => match serde_json::from_slice(&answer) {
                Ok(heartbeat) if status == 200 => DirectCommandOutcome::Answered(Box::new(heartbeat)),
                Ok(heartbeat) => DirectCommandOutcome::Refused(Box::new(heartbeat)),
                Err(_) => DirectCommandOutcome::Indeterminate,
            },
            Ok(_) | Err(CallError::Indeterminate) => DirectCommandOutcome::Indeterminate,
            Err(CallError::NotSent) => DirectCommandOutcome::NotSent,
        }
    }

    /// Returns how many commands may be sent now.
    pub fn command_capacity(&self) -> CommandCapacity {
        CommandCapacity { free: self.in_flight.available_permits(), reserved_for_orders: self.reserved_for_orders }
    }

    /// Closes the idle connections to a worker that no longer exists.
    pub fn close_idle_connections(&self, addr: SocketAddr) {
        self.http.close_idle_connections(addr);
    }
}
