//! Pauses one controller of several that share a runtime: none of its tasks is polled
//! meanwhile, while clocks, the network and everybody else go on. What is sent to it waits
//! in its connections, and its timers that are due act once it goes on.

use badgerdrift::runtime::task::PauseGate;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

/// The gate before all tasks of one controller.
#[derive(Default)]
pub struct Pause(Mutex<State>);

#[derive(Default)]
struct State {
    paused: bool,
    /// The tasks that were woken meanwhile, in that order.
    woken: Vec<Waker>,
}

impl Pause {
    pub fn set(&self, paused: bool) {
        let woken = {
            let mut state = self.0.lock().unwrap();
            state.paused = paused;
            if paused { Vec::new() } else { std::mem::take(&mut state.woken) }
        };
        woken.into_iter().for_each(Waker::wake);
    }
}

impl PauseGate for Pause {
    fn poll_open(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.0.lock().unwrap();
        if !state.paused {
            return Poll::Ready(());
        }
        state.woken.push(context.waker().clone());
        Poll::Pending
    }
}
