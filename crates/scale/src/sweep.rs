//! Sweep: runs of a scenario at several sizes, with a line fitted to each cost.

use crate::prepared::Prepared;
use crate::report::Report;
use crate::results::Role;
use crate::run::{self, RunError};
use crate::run_report::RunReport;
use comfy_table::Table;
use serde::Serialize;

/// Least number of sizes for a meaningful linear fit.
const LEAST_SIZES: usize = 4;

/// Reports of all sizes, and the lines fitted to the costs.
#[derive(Debug, Serialize)]
pub struct Sweep {
    pub runs: Vec<Report>,
    pub slopes: Vec<Slope>,
}

/// Linear fit of a cost over another figure.
#[derive(Debug, Serialize)]
pub struct Slope {
    pub cost: &'static str,
    pub over: &'static str,
    pub at_zero: f64,
    pub slope: f64,
    /// Measured minus fitted value, for each size.
    pub residuals: Vec<f64>,
}

/// Checks the sizes of a sweep.
///
/// # Errors
///
/// There are too few sizes, or one is not above 0.
pub fn check(sizes: &[f64]) -> Result<(), String> {
    if sizes.len() < LEAST_SIZES {
        return Err(format!("--sizes: at least {LEAST_SIZES} are needed, {} are given", sizes.len()));
    }
    if sizes.iter().any(|size| !size.is_finite() || *size <= 0.0) {
        return Err("--sizes: must be above 0".into());
    }
    Ok(())
}

/// Runs the scenario at each size, one after the other.
pub async fn sweep(prepared: &Prepared, sizes: &[f64]) -> Result<Sweep, RunError> {
    let mut runs = Vec::new();
    for size in sizes {
        let scenario = prepared.scenario.clone().scaled(*size)?;
        runs.push(run::run(&Prepared { scenario, ..prepared.clone() }).await?);
    }
    let slopes = slopes(&runs);
    Ok(Sweep { runs, slopes })
}

type Figure = fn(&Report) -> f64;

fn usage(report: &Report, role: Role) -> crate::results::RoleUsage {
    report.usage.get(&role).cloned().unwrap_or_default()
}

/// Figures per region: those of the fleet divided by the number of regions.
fn per_region(report: &Report, fleet: f64) -> f64 {
    fleet / report.scenario.regions as f64
}

fn slopes(runs: &[Report]) -> Vec<Slope> {
    let workers: Figure = |report| per_region(report, report.workers as f64);
    let starts: Figure = |report| per_region(report, report.starts_per_s);
    let costs: [(&'static str, &'static str, Figure, Figure); 7] = [
        ("owner: processor cores", "workers of the region", workers, |report| usage(report, Role::Leader).mean_cores),
        ("owner: processor cores", "task starts a second in the region", starts, |report| {
            usage(report, Role::Leader).mean_cores
        }),
        ("owner: memory in MB", "workers of the region", workers, |report| {
            usage(report, Role::Leader).most_resident_mb
        }),
        ("owner: open files", "workers of the region", workers, |report| usage(report, Role::Leader).most_open_files),
        ("standby: memory in MB", "workers of the region", workers, |report| {
            usage(report, Role::Standby).most_resident_mb
        }),
        ("state service: writes a second", "task starts a second in the region", starts, |report| {
            per_region(report, report.traffic_per_s.state_writes)
        }),
        ("state service: requests a second", "workers of the region", workers, |report| {
            per_region(report, report.traffic_per_s.state_requests)
        }),
    ];
    let fitted = costs.into_iter().map(|(cost, over, x, y)| {
        let points: Vec<(f64, f64)> = runs.iter().map(|report| (x(report), y(report))).collect();
        let (at_zero, slope) = fit(&points);
        let residuals = points.iter().map(|(x, y)| y - at_zero - slope * x).collect();
        Slope { cost, over, at_zero, slope, residuals }
    });
    fitted.collect()
}

/// Returns the least-squares line through the points.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>();
    let variance = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}

impl RunReport for Sweep {
    fn rules_hold(&self) -> bool {
        self.runs.iter().all(|run| run.broken_rules.is_empty())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["cost", "over", "at zero", "slope", "largest residual"]);
        for slope in &self.slopes {
            let largest = slope.residuals.iter().fold(0.0, |most: f64, residual| most.max(residual.abs()));
            let numbers = [slope.at_zero, slope.slope, largest].map(|number| format!("{number:.5}"));
            table.add_row([slope.cost, slope.over, &numbers[0], &numbers[1], &numbers[2]]);
        }
        table
    }
}

#[cfg(test)]
mod tests {
    use super::fit;

    #[test]
    fn a_line_is_found_again() {
        let (at_zero, slope) = fit(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0), (10.0, 23.0)]);
        assert!((at_zero - 3.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-9);
    }
}
