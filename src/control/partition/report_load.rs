//! How often attempts are listed in workers' reports: what following them costs the leader.

use crate::settings::bounds::{AttemptBounds, MOST_ENTRIES_PER_S};

/// A rate is measured over so many intervals between reports.
const MEASURED_REPORTS: u64 = 3;
const MS_PER_S: f64 = 1000.0;

/// Counts the entries of attempts in reports.
#[derive(Debug)]
pub(super) struct ReportLoad {
    report_ms: u64,
    began_ms: u64,
    entries: u64,
    entries_per_attempt_s: f64,
}

impl ReportLoad {
    /// Nothing is measured yet; workers report every `report_ms`.
    pub(super) fn new(report_ms: u64) -> ReportLoad {
        ReportLoad { report_ms: report_ms.max(1), began_ms: 0, entries: 0, entries_per_attempt_s: MOST_ENTRIES_PER_S }
    }

    /// A report has listed so many attempts.
    pub(super) fn listed(&mut self, entries: usize) {
        self.entries += entries as u64;
    }

    /// Most attempts that the leader can follow, of which there are `attempts` now.
    pub(super) fn most_attempts(&mut self, bounds: &AttemptBounds, attempts: usize, now: u64) -> usize {
        let measured_ms = now.saturating_sub(self.began_ms);
        if measured_ms >= MEASURED_REPORTS * self.report_ms {
            self.measure(attempts, measured_ms);
            self.began_ms = now;
            self.entries = 0;
        }
        bounds.most(self.entries_per_attempt_s)
    }

    /// Takes the rate since the last time. Attempts are listed at least once in the interval
    /// between two reports, also if none was heard since.
    fn measure(&mut self, attempts: usize, measured_ms: u64) {
        let least = MS_PER_S / self.report_ms as f64;
        let entries_per_s = self.entries as f64 * MS_PER_S / measured_ms as f64;
        let measured = entries_per_s / attempts.max(1) as f64;
        self.entries_per_attempt_s = measured.max(least).min(MOST_ENTRIES_PER_S);
    }
}
