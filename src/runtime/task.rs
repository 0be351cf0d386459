//! Starts the tasks of a controller. A test may gate all of them, and so pause one controller of
//! several that run in the same process.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::task::JoinHandle;

/// Decides whether the tasks of a controller may run.
pub trait Gate: Send + Sync + 'static {
    /// Ready while they may; otherwise the task is woken once they may again.
    fn poll_open(&self, context: &mut Context<'_>) -> Poll<()>;
}

tokio::task_local! {
    /// The gate of the controller that the current task belongs to.
    static GATE: Arc<dyn Gate>;
}

/// Starts a task behind the gate of the current one, if that has any.
#[expect(clippy::disallowed_methods, reason = "all other tasks of a controller are started here")]
pub fn spawn<F>(future: F) -> JoinHandle<F::Output>
where
    F: Future<Output: Send> + Send + 'static,
{
    match GATE.try_with(Arc::clone) {
        Ok(gate) => tokio::spawn(behind(gate, future)),
        Err(_) => tokio::spawn(future),
    }
}

/// Runs a future, and all tasks that it starts, only while the gate is open.
pub async fn behind<F: Future>(gate: Arc<dyn Gate>, future: F) -> F::Output {
    let mut future = pin!(future);
    let gated = poll_fn(|context| {
        ready!(gate.poll_open(context));
        future.as_mut().poll(context)
    });
    GATE.scope(gate.clone(), gated).await
}
