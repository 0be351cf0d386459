//! Histograms and counters, served at `GET /metrics` in the Prometheus text format.

use crate::runtime::sync::lock;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};

/// Histograms and counters by name and label.
#[derive(Default)]
pub struct Metrics {
    histograms: BTreeMap<(&'static str, String), Histogram<u32>>,
    counters: BTreeMap<(&'static str, String), u64>,
}

/// Maximum duration, in milliseconds, that a histogram records: one hour.
const MAX_OBSERVED_MS: u64 = 3_600_000;

impl Metrics {
    /// Records a duration in milliseconds in a histogram. Durations over one hour are recorded as one hour.
    #[allow(clippy::expect_used, reason = "the bounds are constants that hdrhistogram accepts")]
    pub fn observe(&mut self, name: &'static str, label: &str, duration_ms: u64) {
        let histogram = self.histograms.entry((name, label.to_string())).or_insert_with(|| {
            // One significant digit limits a histogram to a few kilobytes.
            Histogram::new_with_bounds(1, MAX_OBSERVED_MS, 1).expect("hdrhistogram accepts these constant bounds")
        });
        histogram.saturating_record(duration_ms.clamp(1, MAX_OBSERVED_MS));
    }

    /// Increments a counter by one.
    pub fn count(&mut self, name: &'static str, label: &str) {
        self.add(name, label, 1);
    }

    /// Increments a counter by `amount`.
    pub fn add(&mut self, name: &'static str, label: &str, amount: u64) {
        *self.counters.entry((name, label.to_string())).or_default() += amount;
    }

    /// Returns all metrics in the text format of `GET /metrics`.
    pub fn text(&self) -> String {
        // Writing to a `String` cannot fail.
        let mut text = String::new();
        for ((name, label), histogram) in &self.histograms {
            for quantile in [0.5, 0.9, 0.99] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "badgerdrift_{name}{{of=\"{label}\",quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "badgerdrift_{name}_count{{of=\"{label}\"}} {}", histogram.len());
        }
        for ((name, label), count) in &self.counters {
            let _ = writeln!(text, "badgerdrift_{name}_total{{of=\"{label}\"}} {count}");
        }
        text
    }
}

/// Metrics of a node, shared by its tasks; cheap to clone.
#[derive(Clone, Default)]
pub struct SharedMetrics(Arc<Mutex<Metrics>>);

impl SharedMetrics {
    /// Increments a counter by one.
    pub fn count(&self, name: &'static str, label: &str) {
        lock(&self.0).count(name, label);
    }

    /// Returns all metrics in the text format of `GET /metrics`.
    pub fn text(&self) -> String {
        lock(&self.0).text()
    }
}

/// Returns the line of a gauge without a label, in the text format of `GET /metrics`.
pub fn gauge_line(name: &str, value: usize) -> String {
    format!("badgerdrift_{name} {value}\n")
}

/// Returns the line of a gauge with a label, in the text format of `GET /metrics`.
pub fn labelled_gauge_line(name: &str, label: &str, label_value: &str, value: usize) -> String {
    format!("badgerdrift_{name}{{{label}=\"{label_value}\"}} {value}\n")
}

#[cfg(test)]
mod tests;
