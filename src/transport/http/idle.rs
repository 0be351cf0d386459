//! Connections of the server that wait for their next request.

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
    n: u64,
    pub(super) asked_to_go: Arc<Notify>,
}

impl IdleEntry<'_> {
    /// Enters a connection; none if the server is at its end.
    pub(super) fn enter(idle: &Mutex<Idle>) -> Option<IdleEntry<'_>> {
        let asked_to_go = Arc::new(Notify::new());
        let mut i = idle.lock().ok()?;
        i.next += 1;
        let n = i.next;
        i.waiting.insert(n, asked_to_go.clone());
        drop(i);
        Some(IdleEntry { idle, n, asked_to_go })
    }
}

impl Drop for IdleEntry<'_> {
    fn drop(&mut self) {
        if let Ok(mut i) = self.idle.lock() {
            i.waiting.remove(&self.n);
        }
    }
}
