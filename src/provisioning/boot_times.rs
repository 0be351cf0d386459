//! Statistics of boot times by offering: the expected duration of a boot, which machines are late, the
//! boot timeout, and which offerings are unreliable.
//!
//! Ages and durations count from the request for the machine. All times are milliseconds of the steady
//! clock. The nominal boot time of the instance type is the initial value and the lower bound of the
//! expected boot time, so that ordinary boots are not late after a series of fast ones.

use crate::model::InstanceOffering;
use std::collections::{HashMap, VecDeque};

/// Multiple of the expected boot time after which a machine is late. Boots usually take up to 1.5 times
/// the nominal time.
const LATE_RATIO: f64 = 1.6;
/// Multiple of the expected boot time after which the boot of a machine that is not up has timed out.
const TIMEOUT_RATIO: f64 = 3.0;
/// Quantile of the recent boot times that is taken as the expected boot time.
const EXPECTED_QUANTILE: f64 = 0.75;
/// Number of boots of nominal duration that are assumed for each offering in addition to the observed ones.
const PRIOR_BOOTS: usize = 3;
/// Maximum number of recorded boots of each offering.
const MAX_RECENT_BOOTS: usize = 16;
/// Multiple of the nominal boot time after which a recorded boot is no longer considered.
const RETENTION_RATIO: f64 = 20.0;

/// Outcome of a boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BootOutcome {
    Up { duration_ms: u64 },
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Boot {
    ended_ms: u64,
    outcome: BootOutcome,
}

/// Recent boots of each offering.
#[derive(Debug, Default)]
pub struct BootTimes {
    by_offering: HashMap<InstanceOffering, VecDeque<Boot>>,
}

impl BootTimes {
    /// Records that a machine came up `duration_ms` after its request.
    pub fn record_boot(&mut self, offering: &InstanceOffering, duration_ms: u64, now: u64) {
        self.record(offering, Boot { ended_ms: now, outcome: BootOutcome::Up { duration_ms } });
    }

    /// Records that a machine failed to boot, or that its boot timed out.
    pub fn record_failure(&mut self, offering: &InstanceOffering, now: u64) {
        self.record(offering, Boot { ended_ms: now, outcome: BootOutcome::Failed });
    }

    fn record(&mut self, offering: &InstanceOffering, boot: Boot) {
        let boots = self.by_offering.entry(offering.clone()).or_default();
        if boots.len() == MAX_RECENT_BOOTS {
            boots.pop_front();
        }
        boots.push_back(boot);
    }

    fn recent_outcomes(
        &self,
        offering: &InstanceOffering,
        nominal_ms: u64,
        now: u64,
    ) -> impl Iterator<Item = BootOutcome> {
        let retention_ms = scaled(nominal_ms, RETENTION_RATIO);
        let boots = self.by_offering.get(offering).into_iter().flatten();
        boots.filter(move |boot| now.saturating_sub(boot.ended_ms) <= retention_ms).map(|boot| boot.outcome)
    }

    /// Returns the time, in milliseconds, within which a machine of this offering is expected to be up.
    pub fn expected_ms(&self, offering: &InstanceOffering, nominal_ms: u64, now: u64) -> u64 {
        let mut durations = vec![nominal_ms; PRIOR_BOOTS];
        for outcome in self.recent_outcomes(offering, nominal_ms, now) {
            if let BootOutcome::Up { duration_ms } = outcome {
                durations.push(duration_ms);
            }
        }
        durations.sort_unstable();
        let rank = (durations.len() as f64 * EXPECTED_QUANTILE).ceil() as usize;
        durations[rank - 1].max(nominal_ms)
    }

    /// Returns whether a boot of this age takes clearly longer than usual for its offering.
    pub fn is_late(&self, offering: &InstanceOffering, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(offering, nominal_ms, now), LATE_RATIO)
    }

    /// Returns whether a boot of this age has timed out: the machine is not expected to come up any more.
    pub fn has_timed_out(&self, offering: &InstanceOffering, nominal_ms: u64, age_ms: u64, now: u64) -> bool {
        age_ms > scaled(self.expected_ms(offering, nominal_ms, now), TIMEOUT_RATIO)
    }

    /// Returns the mean number of machines of this offering that must be requested to have one in time.
    /// `late` is the number of its booting machines that are late already.
    pub fn cost_factor(&self, offering: &InstanceOffering, nominal_ms: u64, late: usize, now: u64) -> f64 {
        let in_time_limit_ms = scaled(nominal_ms, LATE_RATIO);
        let (mut total, mut in_time) = (late + PRIOR_BOOTS, PRIOR_BOOTS);
        for outcome in self.recent_outcomes(offering, nominal_ms, now) {
            total += 1;
            in_time +=
                usize::from(matches!(outcome, BootOutcome::Up { duration_ms } if duration_ms <= in_time_limit_ms));
        }
        total as f64 / in_time as f64
    }
}

fn scaled(ms: u64, ratio: f64) -> u64 {
    (ms as f64 * ratio) as u64
}

#[cfg(test)]
mod tests;
