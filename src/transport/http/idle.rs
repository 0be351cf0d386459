//! Connections of the server that wait for their next request.

use crate::runtime::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Connections that wait for their next request, by when they began to.
#[derive(Default)]
pub(super) struct IdleConnections {
    last_number: u64,
    pub(super) waiting: BTreeMap<u64, Arc<Notify>>,
}

/// One connection's entry, for as long as it waits.
pub(super) struct IdleRegistration<'a> {
    idle: &'a Mutex<IdleConnections>,
    number: u64,
    pub(super) close_request: Arc<Notify>,
}

impl IdleRegistration<'_> {
    /// Enters a connection; it leaves with the entry.
    pub(super) fn new(idle: &Mutex<IdleConnections>) -> IdleRegistration<'_> {
        let close_request = Arc::new(Notify::new());
        let mut entries = lock(idle);
        entries.last_number += 1;
        let number = entries.last_number;
        entries.waiting.insert(number, close_request.clone());
        drop(entries);
        IdleRegistration { idle, number, close_request }
    }
}

impl Drop for IdleRegistration<'_> {
    fn drop(&mut self) {
        lock(self.idle).waiting.remove(&self.number);
    }
}
