//! Statistics of boot times, by offering: how long a boot is expected to take, which machines are late,
//! which will never come up, and which offerings are unreliable.
//!
//! Ages and durations count from the request for the machine. All times are milliseconds of the steady
//! clock. The nominal boot time of the instance type is the starting point and the least that is
//! expected, so that after a series of fast boots ordinary ones are not late.

use crate::model::InstanceOffering;
use std::collections::{HashMap, VecDeque};

/// A machine is late at this multiple of the expected boot time. Boots usually take up to
/// one and a half times the nominal time.
const LATE_RATIO: f64 = 1.6;
/// A machine that is not up after this multiple of the expected boot time never will be.
const GIVE_UP_RATIO: f64 = 3.0;
/// The expected boot time is that within which this share of the recent boots were up.
const EXPECTED_QUANTILE: f64 = 0.75;
/// Every offering is judged as if this many boots of nominal length had been seen before.
const PRIOR_BOOTS: usize = 3;
/// Boots remembered of each offering.
const MAX_BOOTS: usize = 16;
/// A boot is forgotten after this multiple of the nominal boot time.
const MEMORY_RATIO: f64 = 20.0;

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

/// The recent boots of each offering.
#[derive(Debug, Default)]
pub struct BootTimes {
    by_offering: HashMap<InstanceOffering, VecDeque<Boot>>,
}

impl BootTimes {
    /// Notes that a machine is up.
    pub fn came_up(&mut self, offering: &InstanceOffering, took_ms: u64, now: u64) {
        self.note(offering, Boot { ended_ms: now, outcome: BootOutcome::Up { took_ms } });
    }

    /// Notes that a machine failed to boot, or that its boot was given up.
    pub fn failed(&mut self, offering: &InstanceOffering, now: u64) {
        self.note(offering, Boot { ended_ms: now, outcome: BootOutcome::Failed });
    }

    fn note(&mut self, offering: &InstanceOffering, boot: Boot) {
        let boots = self.by_offering.entry(offering.clone()).or_default();
        if boots.len() == MAX_BOOTS {
            boots.pop_front();
        }
        boots.push_back(boot);
    }

    fn recent(&self, offering: &InstanceOffering, nominal_ms: u64, now: u64) -> impl Iterator<Item = BootOutcome> {
        let memory_ms = scaled(nominal_ms, MEMORY_RATIO);
        let boots = self.by_offering.get(offering).into_iter().flatten();
        boots.filter(move |boot| now.saturating_sub(boot.ended_ms) <= memory_ms).map(|boot| boot.outcome)
    }

    /// Within how long a machine of this offering is expected to be up.
    pub fn expected_ms(&self, offering: &InstanceOffering, nominal_ms: u64, now: u64) -> u64 {
        let mut durations = vec![nominal_ms; PRIOR_BOOTS];
        for outcome in self.recent(offering, nominal_ms, now) {
            if let BootOutcome::Up { took_ms } = outcome {
                durations.push(took_ms);
            }
        }
        durations.sort_unstable();
        let rank = (durations.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        durations[rank - 1].max(nominal_ms)
    }

    /// Is a boot of this age clearly longer than usual for its offering?
    pub fn is_late(&self, offering: &InstanceOffering, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(offering, nominal_ms, now), LATE_RATIO)
    }

    /// Is a boot of this age so long that the machine will never be up?
    pub fn is_lost(&self, offering: &InstanceOffering, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(offering, nominal_ms, now), GIVE_UP_RATIO)
    }

    /// How many machines of this offering must be requested, on average, to have one in time. `late` is
    /// the number of booting ones that are late already.
    pub fn cost_factor(&self, offering: &InstanceOffering, nominal_ms: u64, late: usize, now: u64) -> f64 {
        let slow_ms = scaled(nominal_ms, LATE_RATIO);
        let (mut all, mut in_time) = (late + PRIOR_BOOTS, PRIOR_BOOTS);
        for outcome in self.recent(offering, nominal_ms, now) {
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
