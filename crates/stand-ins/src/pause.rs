//! Pause of one controller among several on one runtime. While it is paused, none of its tasks is
//! polled; clocks, the network and all other tasks go on. Bytes that are sent to it wait in its
//! connections, and its expired timers take effect when it resumes.

use badgerdrift::runtime::task::PauseGate;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

/// Gate that blocks all tasks of one controller while it is paused.
#[derive(Default)]
pub struct Pause(Mutex<State>);

#[derive(Default)]
struct State {
    paused: bool,
    /// Tasks that were polled during the pause, in that order.
    woken: Vec<Waker>,
}

impl Pause {
    /// Pauses the tasks, or resumes them.
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
