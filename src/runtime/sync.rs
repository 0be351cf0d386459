//! Helpers for mutexes and one-shot replies.

use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Locks a mutex even if it is poisoned by the panic of a task. The mutexes protect caches, hints and counters, each of
/// which is consistent after every statement.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a reply; it is dropped if the receiver no longer exists.
pub fn reply<T>(sender: oneshot::Sender<T>, value: T) {
    let _ = sender.send(value);
}
