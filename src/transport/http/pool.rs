//! The client's idle connections.

use crate::transport::network::Stream;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Most idle connections to one server.
const IDLE_PER_HOST: usize = 4;

type Open = Box<dyn Stream>;

/// Idle connections by address; the one that was used longest ago goes first.
#[derive(Default)]
pub(super) struct Pool {
    most: usize,
    next: u64,
    pub(super) by_addr: HashMap<SocketAddr, Vec<(u64, Open)>>,
    pub(super) by_age: BTreeMap<u64, SocketAddr>,
}

impl Pool {
    /// A pool of `most` connections at the most.
    pub(super) fn new(most: usize) -> Pool {
        Pool { most, ..Pool::default() }
    }

    /// Takes an idle connection to a server out of the pool.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<Open> {
        let (age, stream) = self.by_addr.get_mut(&addr)?.pop()?;
        self.by_age.remove(&age);
        Some(stream)
    }

    /// Puts a connection into the pool.
    pub(super) fn put(&mut self, addr: SocketAddr, stream: Open) {
        let same = self.by_addr.entry(addr).or_default();
        if same.len() >= IDLE_PER_HOST || self.most == 0 {
            return;
        }
        same.push((self.next, stream));
        self.by_age.insert(self.next, addr);
        self.next += 1;
        if self.by_age.len() > self.most
            && let Some((oldest, addr)) = self.by_age.pop_first()
            && let Some(same) = self.by_addr.get_mut(&addr)
        {
            same.retain(|(age, _)| *age != oldest);
            if same.is_empty() {
                self.by_addr.remove(&addr);
            }
        }
    }

    /// Closes the idle connections to a server.
    pub(super) fn forget(&mut self, addr: SocketAddr) {
        for (age, _) in self.by_addr.remove(&addr).unwrap_or_default() {
            self.by_age.remove(&age);
        }
    }
}
