//! Registry of the server's idle connections, which wait for their next request.

use crate::runtime::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Idle connections, numbered in the order in which they became idle; each can be instructed to close.
#[derive(Default)]
pub(super) struct IdleConnections {
    last_number: u64,
    pub(super) waiting: BTreeMap<u64, Arc<Notify>>,
}

/// Registration of one idle connection; dropping it removes the connection from the registry.
pub(super) struct IdleRegistration<'a> {
    idle: &'a Mutex<IdleConnections>,
    number: u64,
    pub(super) close_signal: Arc<Notify>,
}

impl IdleRegistration<'_> {
    /// Registers a connection as idle until the returned registration is dropped.
    pub(super) fn new(idle: &Mutex<IdleConnections>) -> IdleRegistration<'_> {
        let close_signal = Arc::new(Notify::new());
        let mut entries = lock(idle);
        entries.last_number += 1;
        let number = entries.last_number;
        entries.waiting.insert(number, close_signal.clone());
        drop(entries);
        IdleRegistration { idle, number, close_signal }
    }
}

impl Drop for IdleRegistration<'_> {
    fn drop(&mut self) {
        lock(self.idle).waiting.remove(&self.number);
    }
}
