//! Starting of a controller's tasks. A test can put all of them behind a gate, and so pause one of several
//! controllers that run in the same process.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::task::JoinHandle;

/// Decides whether the tasks of a controller may run.
pub trait PauseGate: Send + Sync + 'static {
    /// Returns ready while the tasks may run; otherwise registers the current task to be woken when they may run
    /// again.
    fn poll_open(&self, context: &mut Context<'_>) -> Poll<()>;
}

tokio::task_local! {
    /// Gate of the controller to which the current task belongs.
    static GATE: Arc<dyn PauseGate>;
}

/// Starts a task, behind the gate of the current task if it has one.
#[expect(clippy::disallowed_methods, reason = "all other tasks of a controller are started here")]
pub fn spawn<F>(future: F) -> JoinHandle<F::Output>
where
    F: Future<Output: Send> + Send + 'static,
{
    match GATE.try_with(Arc::clone) {
        Ok(gate) => tokio::spawn(run_gated(gate, future)),
        Err(_) => tokio::spawn(future),
    }
}

/// Runs a future, and all tasks that it starts by [`spawn`], only while the gate is open.
pub async fn run_gated<F: Future>(gate: Arc<dyn PauseGate>, future: F) -> F::Output {
    let mut future = pin!(future);
    let gated = poll_fn(|context| {
        ready!(gate.poll_open(context));
        future.as_mut().poll(context)
    });
    GATE.scope(gate.clone(), gated).await
}
