//! Soak runs over several seeds, and their report.

use crate::prepared::Prepared;
use crate::report::BrokenRule;
use crate::results::SoakResult;
use crate::run::{self, RunError};
use crate::run_report::RunReport;
use crate::soak_plan;
use comfy_table::Table;
use serde::Serialize;
use std::ops::Range;

/// Largest number of seeds of one command.
const MOST_SEEDS: u64 = 10_000;

/// Result of the run with one seed.
#[derive(Debug, Serialize)]
pub struct SoakRow {
    pub seed: u64,
    pub workers: usize,
    pub starts: u64,
    pub result: SoakResult,
    pub broken_rules: Vec<BrokenRule>,
}

/// Results of all seeds.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    pub version: &'static str,
    pub rows: Vec<SoakRow>,
}

/// Parses a range of seeds such as `1..51`, whose end is not included.
///
/// # Errors
///
/// The text is no such range, or the range is empty or too long; the error is one line.
pub fn parse_seeds(text: &str) -> Result<Range<u64>, String> {
    let bounds = text.split_once("..").and_then(|(first, end)| Some((first.parse().ok()?, end.parse().ok()?)));
    match bounds {
        Some((first, end)) if first < end && end - first <= MOST_SEEDS => Ok(first..end),
        _ => Err(format!("--seeds: must be a range such as 1..51 of 1 to {MOST_SEEDS} seeds, is {text}")),
    }
}

/// Runs the scenario with each seed. The plan of a run that breaks a rule is printed to standard error.
pub async fn soak(prepared: &Prepared, seeds: Range<u64>) -> Result<SoakReport, RunError> {
    let scenario = &prepared.scenario;
    let Some(soak) = &scenario.soak else {
        return Err(RunError::Failed("soak: the scenario must have it".into()));
    };
    let mut rows = Vec::new();
    for seed in seeds {
        let report = run::run(&Prepared { seed, ..prepared.clone() }).await?;
        if !report.broken_rules.is_empty() {
            eprintln!("seed {seed}, plan:");
            let faults = soak_plan::draw(soak, scenario.warm_up_s, scenario.controllers_per_region, seed);
            faults.iter().for_each(|fault| eprintln!("  {fault}"));
        }
        let result = report.soak.unwrap_or_default();
        rows.push(SoakRow {
            seed,
            workers: report.workers,
            starts: report.starts,
            result,
            broken_rules: report.broken_rules,
        });
    }
    Ok(SoakReport { version: env!("CARGO_PKG_VERSION"), rows })
}

impl RunReport for SoakReport {
    fn rules_hold(&self) -> bool {
        self.rows.iter().all(|row| row.broken_rules.is_empty())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["seed", "faults", "leaderships", "accepted", "starts", "answered after s", "rules"]);
        for row in &self.rows {
            table.add_row([
                row.seed.to_string(),
                row.result.faults.to_string(),
                row.result.leaderships.to_string(),
                row.result.accepted.to_string(),
                row.starts.to_string(),
                format!("{:.1}", row.result.answered_after_s),
                if row.broken_rules.is_empty() { "kept" } else { "BROKEN" }.to_string(),
            ]);
        }
        table
    }
}
