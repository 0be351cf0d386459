//! Locks and replies, handled alike everywhere.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Locks a mutex, also after a panic of a task that held it: what is locked here are caches,
/// hints and counters, each of which is consistent after every statement.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a reply; one that nobody waits for any more is dropped.
pub fn reply<T>(sender: oneshot::Sender<T>, value: T) {
    let _ = sender.send(value);
}
