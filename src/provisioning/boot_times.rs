//! Boot times as seen, by kind of machine: how long a boot is expected to take, which
//! machines are late, which will never come up, and which kinds are unreliable.
//!
//! Ages and durations count from the rental request. All times are milliseconds of the
//! steady clock. The nominal boot time of the machine type is the starting point and the
//! least that is expected, so that a spell of fast boots makes nobody impatient.

use std::collections::{HashMap, VecDeque};

/// A machine is late at this multiple of the expected boot time. Boots usually take up to
/// one and a half times the nominal time.
const LATE_RATIO: f64 = 1.6;
/// A machine that is not up after this multiple of the expected boot time never will be.
const GIVE_UP_RATIO: f64 = 3.0;
/// The expected boot time is that within which this share of the recent boots were up.
const EXPECTED_QUANTILE: f64 = 0.75;
/// Every kind is judged as if it had shown this many boots of nominal length before.
const PRIOR_BOOTS: usize = 3;
/// Boots remembered of each kind.
const MAX_BOOTS: usize = 16;
/// A boot is forgotten after this multiple of the nominal boot time.
const MEMORY_RATIO: f64 = 20.0;

/// What boots are told apart by: machine type, zone, and whether it is a spot machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MachineKind {
    /// Index of the machine type.
    pub instance_type: usize,
    /// Zone of the machine.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
}

/// How a boot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BootOutcome {
    Up { took_ms: u64 },
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Boot {
    ended_ms: u64,
    outcome: BootOutcome,
}

/// The recent boots of each kind.
#[derive(Debug, Default)]
pub struct BootTimes {
    kinds: HashMap<MachineKind, VecDeque<Boot>>,
}

impl BootTimes {
    /// Notes that a machine is up.
    pub fn came_up(&mut self, kind: &MachineKind, took_ms: u64, now: u64) {
        self.note(kind, Boot { ended_ms: now, outcome: BootOutcome::Up { took_ms } });
    }

    /// Notes that a machine failed to boot, or was given up.
    pub fn failed(&mut self, kind: &MachineKind, now: u64) {
        self.note(kind, Boot { ended_ms: now, outcome: BootOutcome::Failed });
    }

    fn note(&mut self, kind: &MachineKind, boot: Boot) {
        let boots = self.kinds.entry(kind.clone()).or_default();
        if boots.len() == MAX_BOOTS {
            boots.pop_front();
        }
        boots.push_back(boot);
    }

    fn recent(&self, kind: &MachineKind, nominal_ms: u64, now: u64) -> impl Iterator<Item = BootOutcome> {
        let memory_ms = scaled(nominal_ms, MEMORY_RATIO);
        let boots = self.kinds.get(kind).into_iter().flatten();
        boots.filter(move |b| now.saturating_sub(b.ended_ms) <= memory_ms).map(|b| b.outcome)
    }

    /// Within how long a machine of this kind is expected to be up.
    pub fn expected_ms(&self, kind: &MachineKind, nominal_ms: u64, now: u64) -> u64 {
        let mut durations = vec![nominal_ms; PRIOR_BOOTS];
        for outcome in self.recent(kind, nominal_ms, now) {
            if let BootOutcome::Up { took_ms } = outcome {
                durations.push(took_ms);
            }
        }
        durations.sort_unstable();
        let rank = (durations.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        durations[rank - 1].max(nominal_ms)
    }

    /// Has the machine taken clearly longer than its kind usually does?
    pub fn is_late(&self, kind: &MachineKind, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(kind, nominal_ms, now), LATE_RATIO)
    }

    /// Has the machine taken so long that it will never be up?
    pub fn is_lost(&self, kind: &MachineKind, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(kind, nominal_ms, now), GIVE_UP_RATIO)
    }

    /// How many machines of this kind must be rented, on average, to have one in time.
    /// `late` are on their way and late already.
    pub fn cost_factor(&self, kind: &MachineKind, nominal_ms: u64, late: usize, now: u64) -> f64 {
        let slow_ms = scaled(nominal_ms, LATE_RATIO);
        let (mut all, mut in_time) = (late + PRIOR_BOOTS, PRIOR_BOOTS);
        for outcome in self.recent(kind, nominal_ms, now) {
            all += 1;
            in_time += usize::from(matches!(outcome, BootOutcome::Up { took_ms } if took_ms <= slow_ms));
        }
        all as f64 / in_time as f64
    }
}

fn scaled(ms: u64, ratio: f64) -> u64 {
    (ms as f64 * ratio) as u64
}

#[cfg(test)]
mod tests;
