//! Pool of the client's idle connections.

use crate::transport::network::Stream;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 4;

type Connection = Box<dyn Stream>;

/// Idle connections by address. When the pool is full, the least recently used connection is closed.
#[derive(Default)]
pub(super) struct Pool {
    max_idle: usize,
    next_sequence: u64,
    pub(super) by_addr: HashMap<SocketAddr, Vec<(u64, Connection)>>,
    pub(super) by_sequence: BTreeMap<u64, SocketAddr>,
}

impl Pool {
    /// Creates a pool that keeps at most `max_idle` connections.
    pub(super) fn new(max_idle: usize) -> Pool {
        Pool { max_idle, ..Pool::default() }
    }

    /// Removes the most recently added connection to a server from the pool; `None` if there is none.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<Connection> {
        let (sequence, stream) = self.by_addr.get_mut(&addr)?.pop()?;
        self.by_sequence.remove(&sequence);
        Some(stream)
    }

    /// Adds a connection to the pool, or closes it if the pool keeps no further connection to this server.
    pub(super) fn add(&mut self, addr: SocketAddr, stream: Connection) {
        let connections = self.by_addr.entry(addr).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER || self.max_idle == 0 {
            return;
        }
        connections.push((self.next_sequence, stream));
        self.by_sequence.insert(self.next_sequence, addr);
        self.next_sequence += 1;
        if self.by_sequence.len() > self.max_idle
            && let Some((oldest, addr)) = self.by_sequence.pop_first()
            && let Some(connections) = self.by_addr.get_mut(&addr)
        {
            connections.retain(|(sequence, _)| *sequence != oldest);
            if connections.is_empty() {
                self.by_addr.remove(&addr);
            }
        }
    }

    /// Closes the idle connections to a server.
    pub(super) fn close_all(&mut self, addr: SocketAddr) {
        for (sequence, _) in self.by_addr.remove(&addr).unwrap_or_default() {
            self.by_sequence.remove(&sequence);
        }
    }
}
