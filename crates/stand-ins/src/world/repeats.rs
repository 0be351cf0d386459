//! Commands that arrive once more after their answer, and machines that come back within a second.

use super::{SimulationState, secs};
use rand::RngExt;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Commands that are kept for each machine.
const KEPT_COMMANDS: usize = 32;
/// Seconds after which the copy of a command arrives, for half of the copies.
const EARLY_COPY_S: std::ops::Range<f64> = 1.0..12.0;
/// Seconds after which the other copies arrive.
const LATE_COPY_S: std::ops::Range<f64> = 12.0..150.0;

/// What an agent remembers when its machine comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentMemory {
    /// The highest token, the session and the number of its last report, as the protocol requires.
    Stored,
    /// Nothing: it begins with token 0 and session 1.
    Lost,
}

impl SimulationState {
    /// Notes a command that a machine has carried out and answered. Returns the time after which a copy of it arrives;
    /// `None` if none does.
    pub fn note_answered_command(&mut self, id: &str, command: &Value) -> Option<Duration> {
        if self.repeated_commands <= 0.0 || command["orders"].as_array().is_none_or(Vec::is_empty) {
            return None;
        }
        let kept = self.answered_commands.entry(id.to_string()).or_default();
        if kept.len() == KEPT_COMMANDS {
            kept.pop_front();
        }
        kept.push_back(command.clone());
        if !self.rng.random_bool(self.repeated_commands) {
            return None;
        }
        let after_s = if self.rng.random_bool(0.5) { EARLY_COPY_S } else { LATE_COPY_S };
        Some(secs(self.rng.random_range(after_s)))
    }

    /// Returns the kept commands of a machine, or of all machines.
    pub fn answered_commands(&self, id: Option<&str>) -> Vec<(String, Value)> {
        let wanted = self.answered_commands.iter().filter(|(machine, _)| id.is_none_or(|id| *machine == id));
        wanted.flat_map(|(id, commands)| commands.iter().map(move |command| (id.clone(), command.clone()))).collect()
    }

    /// Carries out the copy of a command that was answered before.
    pub fn repeat_command(&mut self, id: &str, command: &Value) {
        if !self.machines.get(id).is_some_and(|machine| machine.alive(Instant::now())) {
            return;
        }
        // The sender may have been superseded since, which is no fault of its own.
        let check_terms = std::mem::replace(&mut self.check_terms, false);
        self.log(format!("{id} receives a copy of an answered command: {command}"));
        let done = self.direct(id, command);
        self.log(format!("{id} carries the copy out: {done}"));
        self.check_terms = check_terms;
    }

    /// Ends all tasks of a machine without reports of their ends: its agent starts again.
    pub fn restart_agent(&mut self, id: &str, memory: AgentMemory) {
        let now = Instant::now();
        self.remove_all_models(id);
        let Some(machine) = self.machines.get_mut(id).filter(|machine| machine.alive(now)) else { return };
        let lost: Vec<_> = std::mem::take(&mut machine.copies).into_keys().collect();
        machine.changed = true;
        if memory == AgentMemory::Lost {
            (machine.fence, machine.tenure, machine.serial) = (0, 1, 0);
            machine.lease_from = now;
        }
        self.log(format!("{id} comes back, memory {memory:?}, without {lost:?}"));
    }
}
