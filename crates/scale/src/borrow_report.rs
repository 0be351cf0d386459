//! Comparison of one burst without faults, with the leader killed and with machines lost, each with and
//! without borrowing, over several seeds.

use crate::prepared::Prepared;
use crate::report::{BrokenRule, Report};
use crate::results::BorrowResult;
use crate::results::Role;
use crate::run::{self, RunError};
use crate::run_report::RunReport;
use crate::scenario::{Fault, FaultKind};
use comfy_table::Table;
use serde::Serialize;

/// Seconds after which a leader that was killed in the burst restarts.
const RESTART_S: f64 = 3.0;
/// Seconds from the start of the burst until the leader is killed.
const KILLED_AFTER_S: f64 = 0.3;
/// Fraction of the burst's duration after which machines are lost.
const LOST_AFTER_SHARE: f64 = 0.5;
/// Fraction of the machines that is lost.
const LOST_SHARE: f64 = 0.1;
const MS_PER_S: f64 = 1000.0;

/// Fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// No fault.
    Calm,
    /// The leader is killed as the burst begins.
    #[serde(rename = "owner_killed")]
    LeaderKilled,
    /// A tenth of the machines crashes during the loan.
    MachinesLost,
}

/// A distribution of seconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Seconds {
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

/// Result of one run.
#[derive(Debug, Serialize)]
pub struct BorrowRun {
    pub seed: u64,
    pub variant: Variant,
    pub borrowing: bool,
    /// Time from the start of the burst until its replicas answer.
    pub gain_s: Seconds,
    /// Number of replicas that answered.
    pub replicas: usize,
    /// Number of replicas that never answered.
    pub without_room: usize,
    pub least_share_of_floor: f64,
    pub below_floor_s: f64,
    pub most_lost_s: f64,
    pub checkpoint_every_s: f64,
    /// Seconds from the end of the burst until all lent work runs again; `None` if it did not by the end of
    /// the run.
    pub return_s: Option<f64>,
    pub stops: usize,
    #[serde(rename = "owner_mean_cores")]
    pub leader_mean_cores: f64,
    pub broken_rules: Vec<BrokenRule>,
}

/// Results of all runs.
#[derive(Debug, Serialize)]
pub struct BorrowReport {
    pub version: &'static str,
    pub workers: usize,
    pub runs: Vec<BorrowRun>,
}

/// Runs the scenario in each variant, with and without borrowing, for `seeds` consecutive seeds.
pub async fn compare(prepared: &Prepared, seeds: u64) -> Result<BorrowReport, RunError> {
    if prepared.scenario.borrowing.is_none() {
        return Err(RunError::Failed("borrowing: the scenario must have it".into()));
    }
    let mut runs = Vec::new();
    for seed in prepared.seed..prepared.seed + seeds {
        for variant in [Variant::Calm, Variant::LeaderKilled, Variant::MachinesLost] {
            for borrowing in [true, false] {
                let report = run::run(&prepared_for(prepared, variant, borrowing, seed)).await?;
                runs.push(BorrowRun::new(seed, variant, borrowing, report));
            }
        }
    }
    Ok(BorrowReport { version: env!("CARGO_PKG_VERSION"), workers: prepared.scenario.workers, runs })
}

fn prepared_for(prepared: &Prepared, variant: Variant, borrowing: bool, seed: u64) -> Prepared {
    let mut prepared = Prepared { seed, ..prepared.clone() };
    let scenario = &mut prepared.scenario;
    let Some(settings) = &mut scenario.borrowing else { return prepared };
    settings.enabled = borrowing;
    let (at_s, for_s) = (settings.at_s, settings.for_s);
    let fault = match variant {
        Variant::Calm => return prepared,
        Variant::LeaderKilled => Fault {
            kind: FaultKind::ControllerKilled,
            at_s: at_s + KILLED_AFTER_S,
            region: 0,
            for_s: RESTART_S,
            count: 0,
        },
        Variant::MachinesLost => Fault {
            kind: FaultKind::Machines,
            at_s: at_s + for_s * LOST_AFTER_SHARE,
            region: 0,
            for_s: 0.0,
            count: (scenario.workers as f64 * LOST_SHARE).round() as usize,
        },
    };
    scenario.fault.insert("of this variant".into(), fault);
    prepared
}

impl BorrowRun {
    fn new(seed: u64, variant: Variant, borrowing: bool, report: Report) -> BorrowRun {
        let result: BorrowResult = report.borrow.unwrap_or_default();
        let classes = report.scenario.class.values();
        BorrowRun {
            seed,
            variant,
            borrowing,
            gain_s: seconds(&result.gained_ms),
            replicas: result.gained_ms.len(),
            without_room: result.without_room,
            least_share_of_floor: result.least_share_of_floor,
            below_floor_s: result.below_floor_ms as f64 / MS_PER_S,
            most_lost_s: result.most_lost_s,
            checkpoint_every_s: classes.map(|class| class.checkpoint_every_s).fold(0.0, f64::max),
            return_s: result.returned_ms.map(|ms| f64::from(ms) / MS_PER_S),
            stops: result.stops,
            leader_mean_cores: report.usage.get(&Role::Leader).map_or(0.0, |usage| usage.mean_cores),
            broken_rules: report.broken_rules,
        }
    }
}

fn seconds(values_ms: &[u32]) -> Seconds {
    let mut sorted = values_ms.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    let at = |part: f64| {
        let index = (last as f64 * part).round() as usize;
        sorted.get(index).map_or(f64::NAN, |ms| f64::from(*ms) / MS_PER_S)
    };
    Seconds { p50: at(0.5), p99: at(0.99), max: at(1.0) }
}

impl RunReport for BorrowReport {
    fn rules_hold(&self) -> bool {
        self.runs.iter().all(|run| run.broken_rules.is_empty())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header([
            "run",
            "borrowing",
            "seed",
            "replicas",
            "gain p50 s",
            "p99 s",
            "max s",
            "least share of floor",
            "below floor s",
            "most lost s",
            "returned s",
            "stops",
            "owner cores",
            "rules",
        ]);
        for run in &self.runs {
            table.add_row([
                format!("{:?}", run.variant),
                if run.borrowing { "on" } else { "off" }.to_string(),
                run.seed.to_string(),
                format!("{} of {}", run.replicas, run.replicas + run.without_room),
                format!("{:.1}", run.gain_s.p50),
                format!("{:.1}", run.gain_s.p99),
                format!("{:.1}", run.gain_s.max),
                format!("{:.3}", run.least_share_of_floor),
                format!("{:.1}", run.below_floor_s),
                format!("{:.1} of {:.0}", run.most_lost_s, run.checkpoint_every_s),
                run.return_s.map_or("not yet".into(), |s| format!("{s:.1}")),
                run.stops.to_string(),
                format!("{:.3}", run.leader_mean_cores),
                if run.broken_rules.is_empty() { "kept" } else { "BROKEN" }.to_string(),
            ]);
        }
        table
    }
}
