//! Limits of writes to the state store, for all writers.
//!
//! The store may lower its limits without notice. Values and commits therefore keep to the smaller
//! of the present limits and the announced ones from the start; the rate stays the present one
//! until the store refuses it.

use crate::model::{JobRecord, Spec};
use crate::settings::{Settings, StateLimits};
use serde::Serialize;

/// Bytes in a KiB.
const BYTES_PER_KIB: f64 = 1024.0;
/// Share of a limit that is left free, as the store may write numbers with more digits.
const SPARE_SHARE: f64 = 1.0 / 16.0;
/// Share of the writes a second that are for the leader of a partition; the rest is for elections.
const LEADER_SHARE: f64 = 0.9;
/// The description of a job may take one part in so many of a value under the present limit.
const SPEC_SHARE: usize = 3;
/// Bytes of a range of done tasks at the most: two numbers of six digits and their punctuation.
pub const RANGE_BYTES: usize = 18;

/// Limits of writes to the state store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteLimits {
    /// Largest value in bytes, under the present limits and the announced ones.
    pub value_bytes: usize,
    /// Most changes in a commit, under both.
    pub commit_changes: usize,
    /// Changes a second that the leader of a partition may make at present.
    pub changes_per_s: f64,
    /// The same once the store refuses that.
    pub lower_changes_per_s: f64,
    /// Largest description of a job in bytes under the present limit.
    spec_bytes: usize,
}

impl Settings {
    /// The limits of writes to the state store.
    pub fn write_limits(&self) -> WriteLimits {
        WriteLimits::new(&self.params.state)
    }
}

impl WriteLimits {
    /// The limits by the settings.
    pub fn new(settings: &StateLimits) -> WriteLimits {
        let next = settings.next.unwrap_or_default();
        let smaller = |present: f64, next: Option<f64>| next.map_or(present, |announced| announced.min(present));
        let value_kb = smaller(settings.value_kb, next.value_kb);
        WriteLimits {
            value_bytes: (value_kb * BYTES_PER_KIB * (1.0 - SPARE_SHARE)) as usize,
            commit_changes: next.txn_ops.map_or(settings.txn_ops, |announced| announced.min(settings.txn_ops)),
            changes_per_s: settings.write_rps * LEADER_SHARE,
            lower_changes_per_s: smaller(settings.write_rps, next.write_rps) * LEADER_SHARE,
            spec_bytes: (settings.value_kb * BYTES_PER_KIB) as usize / SPEC_SHARE,
        }
    }

    /// Whether a value of so many bytes may be written.
    pub fn takes(&self, bytes: usize) -> bool {
        bytes <= self.value_bytes
    }

    /// Why a job can't be recorded with its progress, beginning with the field at fault; `None` if it
    /// can.
    pub fn refuses(&self, spec: &Spec) -> Option<&'static str> {
        if self.takes_job(spec) {
            return None;
        }
        let alone = Spec { dependencies: Default::default(), ..spec.clone() };
        Some(if self.takes_job(&alone) { TOO_MANY_DEPENDENCIES } else { TEXTS_TOO_LONG })
    }

    /// Whether the record of such a job fits, with a range of done tasks added.
    fn takes_job(&self, spec: &Spec) -> bool {
        let record = JobRecord { spec: spec.clone(), accepted_ms: LATE_MS, end: None, done: Vec::new() };
        json_bytes(spec) <= self.spec_bytes && self.takes(json_bytes(&record) + RANGE_BYTES)
    }
}

/// A time of day with as many digits as any that is recorded, in milliseconds.
const LATE_MS: u64 = 9_999_999_999_999;
/// The refusal of a job whose texts do not fit into a record.
const TEXTS_TOO_LONG: &str = "bundle: the job's texts are too long";
/// The refusal of a job with more dependencies than fit into a record.
const TOO_MANY_DEPENDENCIES: &str = "waits_on: names too many jobs";

/// Bytes of a value as it is sent; more than any limit where it can't be written.
pub fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 2, |text| text.len())
}

#[cfg(test)]
mod tests;
