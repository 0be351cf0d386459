//! Connections of the server that wait for their next request.

use crate::runtime::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Connections that wait for their next request, by when they began to.
#[derive(Default)]
pub(super) struct Idle {
    next: u64,
    pub(super) waiting: BTreeMap<u64, Arc<Notify>>,
}

/// One connection's entry, for as long as it waits.
pub(super) struct IdleEntry<'a> {
    idle: &'a Mutex<Idle>,
    number: u64,
    pub(super) close_request: Arc<Notify>,
}

impl IdleEntry<'_> {
    /// Enters a connection; it leaves with the entry.
    pub(super) fn enter(idle: &Mutex<Idle>) -> IdleEntry<'_> {
        let close_request = Arc::new(Notify::new());
        let mut entries = lock(idle);
        entries.next += 1;
        let number = entries.next;
        entries.waiting.insert(number, close_request.clone());
        drop(entries);
        IdleEntry { idle, number, close_request }
    }
}

impl Drop for IdleEntry<'_> {
    fn drop(&mut self) {
        lock(self.idle).waiting.remove(&self.number);
    }
}
