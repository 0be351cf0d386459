//! Comparison of one burst with and without a pool, over several seeds.

use crate::prepared::Prepared;
use crate::report::{BrokenRule, Report};
use crate::results::BurstResult;
use crate::run::{self, RunError};
use crate::run_report::RunReport;
use crate::scenario::{Fault, FaultKind};
use comfy_table::Table;
use serde::Serialize;

/// Seconds after which a leader that was killed during the burst restarts.
const RESTART_S: f64 = 3.0;
/// Seconds from the start of the burst until the leader is killed.
const KILLED_AFTER_S: f64 = 0.01;
const MS_PER_S: f64 = 1000.0;

/// Variant of a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// With the pool.
    Warm,
    /// Without the pool.
    Cold,
    /// With the pool, and with the leader killed during the burst.
    #[serde(rename = "warm_owner_killed")]
    WarmLeaderKilled,
}

/// Result of one run.
#[derive(Debug, Serialize)]
pub struct BurstRow {
    pub variant: Variant,
    pub seed: u64,
    /// Number of answered requests, with the distribution of their times below.
    pub answered: usize,
    pub unanswered: usize,
    pub p50_s: f64,
    pub p99_s: f64,
    pub max_s: f64,
    /// Largest difference of any team between the bill and the account of the workers, in seconds per
    /// loaded replica.
    pub bill_differs_s: f64,
    pub result: BurstResult,
    pub broken_rules: Vec<BrokenRule>,
    #[serde(rename = "owner_mean_cores")]
    pub leader_mean_cores: f64,
}

/// Results of all runs.
#[derive(Debug, Serialize)]
pub struct BurstReport {
    pub version: &'static str,
    pub rows: Vec<BurstRow>,
}

/// Runs the scenario's burst in each variant for `seeds` consecutive seeds.
pub async fn compare(prepared: &Prepared, seeds: u64) -> Result<BurstReport, RunError> {
    if prepared.scenario.burst.is_none() || prepared.scenario.warm_pool.is_none() {
        return Err(RunError::Failed("burst, warm_pool: the scenario must have both".into()));
    }
    let mut rows = Vec::new();
    for seed in prepared.seed..prepared.seed + seeds {
        for variant in [Variant::Warm, Variant::Cold, Variant::WarmLeaderKilled] {
            let report = run::run(&prepared_for(prepared, variant, seed)).await?;
            rows.push(BurstRow::new(variant, seed, report));
        }
    }
    Ok(BurstReport { version: env!("CARGO_PKG_VERSION"), rows })
}

fn prepared_for(prepared: &Prepared, variant: Variant, seed: u64) -> Prepared {
    let mut prepared = Prepared { seed, ..prepared.clone() };
    let scenario = &mut prepared.scenario;
    match variant {
        Variant::Warm => {}
        Variant::Cold => scenario.warm_pool = None,
        Variant::WarmLeaderKilled => {
            let at_s = scenario.burst.as_ref().map_or(0.0, |burst| burst.at_s) + KILLED_AFTER_S;
            let kind = FaultKind::ControllerKilled;
            let killed = Fault { kind, at_s, region: 0, for_s: RESTART_S, count: 0 };
            scenario.fault.insert("owner killed in mid-burst".into(), killed);
        }
    }
    prepared
}

impl BurstRow {
    fn new(variant: Variant, seed: u64, report: Report) -> BurstRow {
        let result = report.burst.unwrap_or_default();
        let mut answered = result.answered_ms.clone();
        answered.sort_unstable();
        let at = |part: f64| {
            let last = answered.len().saturating_sub(1);
            answered.get((last as f64 * part).round() as usize).map_or(f64::NAN, |ms| f64::from(*ms) / MS_PER_S)
        };
        BurstRow {
            variant,
            seed,
            answered: answered.len(),
            unanswered: result.unanswered,
            p50_s: at(0.5),
            p99_s: at(0.99),
            max_s: at(1.0),
            bill_differs_s: bill_difference(&result),
            broken_rules: report.broken_rules,
            leader_mean_cores: report.usage.get(&crate::results::Role::Leader).map_or(0.0, |usage| usage.mean_cores),
            result,
        }
    }
}

/// Returns the largest difference of any team between its bill and the account of the workers, in seconds
/// per loaded replica.
fn bill_difference(result: &BurstResult) -> f64 {
    let teams = result.billed.keys().chain(result.seen.keys());
    let difference = |team: &String| {
        let (billed, seen) = (result.billed.get(team), result.seen.get(team));
        let (billed, seen) = (billed.copied().unwrap_or_default(), seen.copied().unwrap_or_default());
        (billed.idle_s - seen.idle_s).abs().max((billed.claimed_s - seen.claimed_s).abs())
    };
    teams.map(difference).fold(0.0, f64::max) / result.loaded.max(1) as f64
}

impl RunReport for BurstReport {
    fn rules_hold(&self) -> bool {
        self.rows.iter().all(|row| row.broken_rules.is_empty())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header([
            "run",
            "seed",
            "ready",
            "attached",
            "answered",
            "p50 s",
            "p99 s",
            "max s",
            "bill off, s a replica",
            "rules",
        ]);
        for row in &self.rows {
            table.add_row([
                format!("{:?}", row.variant),
                row.seed.to_string(),
                row.result.ready_before.to_string(),
                row.result.attached.to_string(),
                format!("{} of {}", row.answered, row.answered + row.unanswered),
                format!("{:.2}", row.p50_s),
                format!("{:.2}", row.p99_s),
                format!("{:.2}", row.max_s),
                format!("{:.2}", row.bill_differs_s),
                if row.broken_rules.is_empty() { "kept" } else { "BROKEN" }.to_string(),
            ]);
        }
        table
    }
}
