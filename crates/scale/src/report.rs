//! Report of a run, over all regions together.

use crate::prepared::Prepared;
use crate::results::{
    BorrowResult, BurstResult, ChangeResult, RegionResult, Role, RoleUsage, ServiceTraffic, SoakResult,
};
use crate::run_report::RunReport;
use crate::scenario::Scenario;
use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Report of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    pub version: &'static str,
    pub seed: u64,
    pub scenario: Scenario,
    pub workers: usize,
    pub most_running_tasks: usize,
    pub jobs_submitted: usize,
    pub jobs_accepted: usize,
    pub jobs_done: usize,
    pub starts: u64,
    /// Mean starts per second after the warm-up.
    pub starts_per_s: f64,
    /// Sum of the regions' maxima of starts in a second.
    pub most_starts_per_s: f64,
    pub stopped_tasks: usize,
    pub machine_failures: usize,
    /// Waits from submission to first start, by urgency.
    pub waits: BTreeMap<String, WaitSummary>,
    pub usage: BTreeMap<Role, RoleUsage>,
    /// Changes of the configuration.
    pub configuration: ConfigurationSummary,
    /// Traffic per second over all regions.
    pub traffic_per_s: TrafficRates,
    /// Result of the burst in the first region that has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<BurstResult>,
    /// Result of the burst of serving in the first region that borrows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub borrow: Option<BorrowResult>,
    /// Result of the soak run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub soak: Option<SoakResult>,
    pub controllers_ended: usize,
    pub broken_rules: Vec<BrokenRule>,
}

/// Distribution of waits.
#[derive(Debug, Serialize)]
pub struct WaitSummary {
    /// Number of waits.
    pub tasks: u64,
    pub p50_s: f64,
    pub p99_s: f64,
    pub max_s: f64,
}

/// Summary of the changes of the configuration.
#[derive(Debug, Default, Serialize)]
pub struct ConfigurationSummary {
    pub asked: usize,
    pub taken: usize,
    /// Waits from the request for a change until the region's leader has applied it, by region.
    pub in_force: BTreeMap<String, WaitSummary>,
}

/// Traffic of all regions per second, in requests, changes and bytes of TCP payload.
#[derive(Debug, Default, Serialize)]
pub struct TrafficRates {
    /// Bytes per worker of reports, answers and orders, including HTTP headers.
    pub bytes_per_worker: f64,
    pub state_requests: f64,
    pub state_requests_refused: f64,
    pub state_writes: f64,
    pub state_writes_refused: f64,
    pub state_bytes: f64,
    pub cloud_bytes: f64,
    pub user_bytes: f64,
}

/// A broken rule.
#[derive(Debug, Serialize)]
pub struct BrokenRule {
    pub region: String,
    pub rule: String,
    pub history: String,
}

const MS_PER_S: f64 = 1000.0;
/// Significant digits of the distributions.
const HISTOGRAM_DIGITS: u8 = 3;
/// Tolerance for rounding in sums of decimal amounts.
const ROUNDING: f64 = 1e-6;

impl Report {
    /// Joins the results of the regions.
    pub fn new(prepared: &Prepared, regions: &[RegionResult]) -> Report {
        let scenario = &prepared.scenario;
        let elapsed_s = regions.iter().map(|region| region.elapsed_s).fold(0.1, f64::max);
        let sum = |of: fn(&RegionResult) -> usize| regions.iter().map(of).sum::<usize>();
        let starts: u64 = regions.iter().map(|region| region.starts).sum();
        let workers = sum(|region| region.workers);
        let mut usage: BTreeMap<Role, RoleUsage> = BTreeMap::new();
        for (role, used) in regions.iter().flat_map(|region| &region.usage) {
            usage.entry(*role).or_default().join(used);
        }
        Report {
            version: env!("CARGO_PKG_VERSION"),
            seed: prepared.seed,
            scenario: scenario.clone(),
            workers,
            most_running_tasks: sum(|region| region.most_running_tasks),
            jobs_submitted: sum(|region| region.jobs_submitted),
            jobs_accepted: sum(|region| region.jobs_accepted),
            jobs_done: sum(|region| region.jobs_done),
            starts,
            starts_per_s: regions.iter().map(|region| region.starts_after_warm_up).sum::<u64>() as f64
                / (elapsed_s - scenario.warm_up_s).max(1.0),
            most_starts_per_s: regions.iter().map(|region| region.most_starts_per_s).sum(),
            stopped_tasks: sum(|region| region.stopped_tasks),
            machine_failures: sum(|region| region.machine_failures),
            waits: waits(regions),
            usage,
            configuration: configuration(regions),
            traffic_per_s: rates(regions, elapsed_s, workers),
            controllers_ended: sum(|region| region.controllers_ended),
            burst: scenario.burst.is_some().then(|| regions.first().map(|region| region.burst.clone())).flatten(),
            borrow: scenario.borrowing.is_some().then(|| regions.first().map(|region| region.borrow.clone())).flatten(),
            soak: regions.iter().find_map(|region| region.soak.clone()),
            broken_rules: broken_rules(scenario, regions),
        }
    }
}

impl RunReport for Report {
    fn rules_hold(&self) -> bool {
        self.broken_rules.is_empty()
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["figure", "value"]);
        let mut row = |name: &str, value: String| _ = table.add_row([name.to_string(), value]);
        row("workers up at the end", format!("{} of {}", self.workers, self.scenario.workers));
        row("tasks on machines, most", self.most_running_tasks.to_string());
        let jobs = (self.jobs_done, self.jobs_accepted, self.jobs_submitted);
        row("jobs done / accepted / submitted", format!("{} / {} / {}", jobs.0, jobs.1, jobs.2));
        row("task starts a second, mean / most", format!("{:.0} / {:.0}", self.starts_per_s, self.most_starts_per_s));
        row("tasks stopped for others", self.stopped_tasks.to_string());
        row("machines failed", self.machine_failures.to_string());
        for (urgency, wait) in &self.waits {
            let text = format!("{:.2} / {:.2} / {:.2} s of {} tasks", wait.p50_s, wait.p99_s, wait.max_s, wait.tasks);
            row(&format!("submission to start, {urgency}: p50 / p99 / max"), text);
        }
        for (role, usage) in &self.usage {
            let cores = format!("{:.3} / {:.3} cores", usage.mean_cores, usage.most_cores);
            let rest = format!("{:.0} MB, {:.0} files", usage.most_resident_mb, usage.most_open_files);
            row(&format!("{role:?}: processor mean / most, memory, open files"), format!("{cores}, {rest}"));
        }
        let configuration = &self.configuration;
        row(
            "changes of the configuration taken / asked for",
            format!("{} / {}", configuration.taken, configuration.asked),
        );
        for (region, wait) in &configuration.in_force {
            let text = format!("{:.2} / {:.2} / {:.2} s of {}", wait.p50_s, wait.p99_s, wait.max_s, wait.tasks);
            row(&format!("change to in force, {region}: p50 / p99 / max"), text);
        }
        let traffic = &self.traffic_per_s;
        row("bytes a second for a worker", format!("{:.0}", traffic.bytes_per_worker));
        row(
            "state services: requests, writes a second",
            format!("{:.0}, {:.0}", traffic.state_requests, traffic.state_writes),
        );
        let refused = (traffic.state_requests_refused, traffic.state_writes_refused);
        row("state services: refused requests, commits a second", format!("{:.1}, {:.1}", refused.0, refused.1));
        row("controllers ended by themselves", self.controllers_ended.to_string());
        row("broken rules", self.broken_rules.len().to_string());
        table
    }
}

fn waits(regions: &[RegionResult]) -> BTreeMap<String, WaitSummary> {
    let mut waits_ms: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (urgency, waits) in regions.iter().flat_map(|region| &region.waits_ms) {
        waits_ms.entry(urgency.clone()).or_default().extend(waits.iter().map(|wait| u64::from(*wait)));
    }
    waits_ms.into_iter().map(|(urgency, waits)| (urgency, summary(&waits))).collect()
}

fn summary(waits_ms: &[u64]) -> WaitSummary {
    let mut histogram = Histogram::<u64>::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed");
    for wait in waits_ms {
        histogram.record(*wait).expect("a histogram without bound takes any value");
    }
    WaitSummary {
        tasks: histogram.len(),
        p50_s: histogram.value_at_quantile(0.5) as f64 / MS_PER_S,
        p99_s: histogram.value_at_quantile(0.99) as f64 / MS_PER_S,
        max_s: histogram.max() as f64 / MS_PER_S,
    }
}

/// Returns how soon changes requested in any region were in force in each region. A change that was not in
/// force in a region by the end of the run is left out of that region's waits.
fn configuration(regions: &[RegionResult]) -> ConfigurationSummary {
    let changes: Vec<&ChangeResult> = regions.iter().flat_map(|region| &region.changes).collect();
    let in_force = |region: &RegionResult| {
        let applied: BTreeMap<u64, u64> = region.applied_at_ms.iter().copied().collect();
        let wait = |change: &&ChangeResult| Some(applied.get(&change.version?)?.saturating_sub(change.asked_at_ms));
        let waits: Vec<u64> = changes.iter().filter_map(wait).collect();
        (region.region.clone(), summary(&waits))
    };
    let taken = changes.iter().filter(|change| change.version.is_some()).count();
    let in_force = if taken > 0 { regions.iter().map(in_force).collect() } else { BTreeMap::new() };
    ConfigurationSummary { asked: changes.len(), taken, in_force }
}

fn rates(regions: &[RegionResult], elapsed_s: f64, workers: usize) -> TrafficRates {
    let rate = |of: fn(&ServiceTraffic) -> u64| {
        regions.iter().map(|region| of(&region.traffic)).sum::<u64>() as f64 / elapsed_s
    };
    TrafficRates {
        bytes_per_worker: rate(|traffic| traffic.worker_bytes) / workers.max(1) as f64,
        state_requests: rate(|traffic| traffic.state_requests),
        state_requests_refused: rate(|traffic| traffic.state_requests_refused),
        state_writes: rate(|traffic| traffic.state_writes),
        state_writes_refused: rate(|traffic| traffic.state_writes_refused),
        state_bytes: rate(|traffic| traffic.state_bytes),
        cloud_bytes: rate(|traffic| traffic.cloud_bytes),
        user_bytes: rate(|traffic| traffic.user_bytes),
    }
}

/// Returns the rules broken in any region, and a broken rule for each team whose maximum usages of all
/// regions, added as if simultaneous, exceed its limit over the fleet.
fn broken_rules(scenario: &Scenario, regions: &[RegionResult]) -> Vec<BrokenRule> {
    let of_region = |region: &RegionResult| {
        let rule = region.broken_rule.clone()?;
        Some(BrokenRule { region: region.region.clone(), rule, history: region.history.clone() })
    };
    let mut broken: Vec<BrokenRule> = regions.iter().filter_map(of_region).collect();
    let mut used: BTreeMap<&String, (f64, f64)> = BTreeMap::new();
    for (team, most) in regions.iter().flat_map(|region| &region.most_used) {
        let sum = used.entry(team).or_default();
        *sum = (sum.0 + most.0, sum.1 + most.1);
    }
    for (team, (cores, cards)) in used {
        let beyond = |used: f64, most: f64| most > 0.0 && used > most + ROUNDING;
        if beyond(cores, scenario.teams.most_cores) || beyond(cards, scenario.teams.most_cards) {
            let rule = format!("quota over the fleet: {team} uses up to {cores} cores, {cards} cards");
            let by_region =
                regions.iter().map(|region| format!("{}: {:?}\n", region.region, region.most_used.get(team)));
            broken.push(BrokenRule { region: "all regions".into(), rule, history: by_region.collect() });
        }
    }
    broken
}
