//! Limits of writes to the state service, for all writers.
//!
//! The state service may change from its present limits to the announced ones without notice.
//! Values and commits therefore always respect the smaller of both limits. The write rate follows
//! the present limit until the state service refuses it.

use crate::model::{JobRecord, Spec};
use crate::settings::{Settings, StateLimits};
use serde::Serialize;

/// Number of bytes in a KiB.
const BYTES_PER_KIB: f64 = 1024.0;
/// Share of the value limit that is left unused, as the state service may write numbers with more
/// digits.
const RESERVED_VALUE_SHARE: f64 = 1.0 / 16.0;
/// Share of the write rate for the leader of a partition; the rest is for elections.
const LEADER_SHARE: f64 = 0.9;
/// Divisor of the present value limit that gives the maximum size of a job's description.
const SPEC_SIZE_DIVISOR: usize = 3;
/// Maximum number of bytes of a range of done tasks: two numbers of six digits and their punctuation.
pub const MAX_RANGE_BYTES: usize = 18;

/// Limits of writes to the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteLimits {
    /// Maximum size of a value in bytes, under the present and the announced limits.
    pub value_bytes: usize,
    /// Maximum number of writes in a commit, under the present and the announced limits.
    pub commit_changes: usize,
    /// Number of writes per second that the leader of a partition may make under the present limits.
    pub changes_per_s: f64,
    /// Number of writes per second that the leader of a partition may make once the state service has
    /// refused the present rate.
    pub lower_changes_per_s: f64,
    /// Maximum size of a job's description in bytes, under the present limits.
    max_spec_bytes: usize,
}

impl Settings {
    /// Returns the limits of writes to the state service.
    pub fn write_limits(&self) -> WriteLimits {
        WriteLimits::new(&self.params.state)
    }
}

impl WriteLimits {
    /// Returns the limits that the settings state.
    pub fn new(settings: &StateLimits) -> WriteLimits {
        let next = settings.next.unwrap_or_default();
        let smaller = |present: f64, next: Option<f64>| next.map_or(present, |announced| announced.min(present));
        let value_kb = smaller(settings.value_kb, next.value_kb);
        WriteLimits {
            value_bytes: (value_kb * BYTES_PER_KIB * (1.0 - RESERVED_VALUE_SHARE)) as usize,
            commit_changes: next.txn_ops.map_or(settings.txn_ops, |announced| announced.min(settings.txn_ops)),
            changes_per_s: settings.write_rps * LEADER_SHARE,
            lower_changes_per_s: smaller(settings.write_rps, next.write_rps) * LEADER_SHARE,
            max_spec_bytes: (settings.value_kb * BYTES_PER_KIB) as usize / SPEC_SIZE_DIVISOR,
        }
    }

    /// Returns whether a value of this number of bytes may be written.
    pub fn fits_value(&self, bytes: usize) -> bool {
        bytes <= self.value_bytes
    }

    /// Returns why a job with its progress does not fit into a record, as a text that begins with the
    /// field at fault; `None` if it fits.
    pub fn job_refusal(&self, spec: &Spec) -> Option<&'static str> {
        if self.job_record_fits(spec) {
            return None;
        }
        let without_dependencies = Spec { dependencies: Default::default(), ..spec.clone() };
        Some(if self.job_record_fits(&without_dependencies) { TOO_MANY_DEPENDENCIES } else { TEXTS_TOO_LONG })
    }

    /// Returns whether the record of the job fits into a value, with one range of done tasks.
    fn job_record_fits(&self, spec: &Spec) -> bool {
        let record = JobRecord { spec: spec.clone(), accepted_ms: WIDEST_TIMESTAMP_MS, end: None, done: Vec::new() };
        json_bytes(spec) <= self.max_spec_bytes && self.fits_value(json_bytes(&record) + MAX_RANGE_BYTES)
    }
}

/// Wall-clock time, in milliseconds, with as many digits as any recorded time can have.
const WIDEST_TIMESTAMP_MS: u64 = 9_999_999_999_999;
/// Refusal of a job whose texts do not fit into a record.
const TEXTS_TOO_LONG: &str = "bundle: the job's texts are too long";
/// Refusal of a job with more dependencies than fit into a record.
const TOO_MANY_DEPENDENCIES: &str = "waits_on: names too many jobs";

/// Returns the number of bytes of a value as JSON; a number above any limit if it can't be serialised.
pub fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 2, |text| text.len())
}

#[cfg(test)]
mod tests;
