//! Names and labels of the metrics that whole deployments print in simulated time (`GET /metrics`).

use crate::{golden, regions};
use badgerdrift::control::node::Subsystems;
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::store::Limits;
use badgerdrift_stand_ins::{NEXT_LIMITS, PRESENT_LIMITS, RandomDay, Setup, Sim};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Metrics whose label values are names of the deployment: classes, teams, regions and partitions.
const FREE_LABELS: [&str; 17] = [
    "boots_failed_total",
    "boots_late_total",
    "borrowed_gpus",
    "cancellations_followed_total",
    "configuration_exchanges_total",
    "decision_ms",
    "decision_ms_count",
    "jobs_waiting_for_others",
    "lent_gpus",
    "loan_work_lost_s_total",
    "partitions_taken_total",
    "shortfall_gpus",
    "start_after_order_ms",
    "start_after_order_ms_count",
    "tasks_lost_total",
    "tasks_preempted_total",
    "warm_claims_given_up_total",
];
/// Names and labels of the metrics that were added after the pinned file was written.
const ADDED_NAMES: &str = include_str!("added_metrics.txt");
/// Maximum changes in a commit under the lowest limits of the state service.
const LEAST_CHANGES: usize = 2;
/// Interval between two reads of the metrics.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Names and labels that were seen.
type Names = Arc<Mutex<BTreeSet<String>>>;

/// Returns a line of the metrics without its value and without label values that depend on the deployment.
fn name_of(line: &str) -> String {
    let (name, _) = line.rsplit_once(' ').unwrap();
    let Some((metric, labels)) = name.split_once('{') else { return name.to_string() };
    if !FREE_LABELS.contains(&metric.trim_start_matches("badgerdrift_")) {
        return name.to_string();
    }
    let (label, rest) = labels.split_once('=').unwrap();
    let rest = rest.trim_start_matches('"').split_once('"').unwrap().1;
    format!("{metric}{{{label}=*{rest}")
}

/// Whether a name belongs to a metric of [`ADDED_NAMES`].
fn is_added(name: &str) -> bool {
    let metric = |name: &str| name.split('{').next().unwrap().to_string();
    ADDED_NAMES.lines().any(|added| metric(added) == metric(name))
}

/// Reads the metrics of all controllers until it is cancelled.
async fn read_metrics(context: SimulationContext, names: Names) {
    loop {
        for door in context.doors.iter() {
            if let Ok((200, body)) = context.user.call(*door, "GET", "/metrics", None, READ_INTERVAL).await {
                let text = String::from_utf8(body.to_vec()).unwrap();
                names.lock().unwrap().extend(text.lines().map(name_of));
            }
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Runs a scenario in simulated time and collects the names of metrics meanwhile.
fn collect_names<F: Future<Output = ()>>(setup: Setup, seed: u64, names: &Names, script: impl FnOnce(Sim) -> F + Send) {
    let names = names.clone();
    let scenario = async || {
        let sim = Sim::new(seed, setup);
        let context = sim.context.clone();
        tokio::select! {
            () = script(sim) => {}
            () = read_metrics(context, names) => {}
        }
    };
    let run = || {
        let builder = &mut tokio::runtime::Builder::new_current_thread();
        builder.enable_all().start_paused(true).build().unwrap().block_on(scenario());
    };
    std::thread::scope(|scope| scope.spawn(run).join()).unwrap();
}

/// Runs random scenarios with faults and collects the names of metrics.
fn collect_names_of_random_days(setup: impl Fn() -> Setup, seeds: std::ops::RangeInclusive<u64>, names: &Names) {
    for seed in seeds {
        collect_names(setup(), seed, names, async |mut sim: Sim| {
            let faults = 2 + (seed % 4) as usize;
            let day = RandomDay { day_s: 90.0, faults, later: 1, pipelines: 2, ..RandomDay::default() };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    }
}

/// Setup with warm pools.
fn with_pools() -> Setup {
    let pools = json!({"bill_every_s": 20,
        "model": {"zero": {"version": 1, "image": "img-0", "size_gb": 1},
                  "one": {"version": 1, "image": "img-1", "size_gb": 1}},
        "pool": {"loaded": {"model": "zero", "payer": "red", "keep": "loaded", "count": 2,
                            "cores": 4, "cards": 2, "mem_gb": 4},
                 "rooms": {"model": "one", "payer": "blue", "count": 1, "cores": 2, "cards": 1, "mem_gb": 4}}});
    let warm_pools = Some(serde_json::from_value(pools).unwrap());
    Setup { subsystems: Subsystems { warm_pools, ..Subsystems::default() }, loads_models: true, ..Setup::default() }
}

/// Setup with borrowing.
fn with_borrowing() -> Setup {
    let borrowing = json!({"quiet_s": 3600, "return_after_s": 8,
        "lender": {"blue": {"to": ["red"], "up_to": "standard"}, "guest": {"to": ["red"], "up_to": "standard"}},
        "borrower": {"red": {"from": "urgent"}}});
    let borrowing = Some(serde_json::from_value(borrowing).unwrap());
    Setup {
        subsystems: Subsystems { borrowing, ..Subsystems::default() },
        guaranteed_cards: vec![("red", 1.0), ("blue", 3.0)],
        ..Setup::default()
    }
}

/// A batch job uses all accelerators. Replicas of another team borrow some of them and return them.
async fn run_loan(mut sim: Sim) {
    let mut batch_job = sim.job("batch", 8);
    (batch_job.team, batch_job.run_s, batch_job.checkpoint_s, batch_job.flush_s) = ("blue", 120.0, 5.0, 1.0);
    sim.submit(batch_job);
    sim.run(Duration::from_secs(40)).await;
    let mut burst = sim.job("service", 3);
    (burst.team, burst.urgency) = ("red", "urgent");
    let burst = sim.submit(burst);
    sim.run(Duration::from_secs(40)).await;
    sim.cancel(&burst, &[0, 1, 2]);
    sim.run(Duration::from_secs(60)).await;
}

/// The limits of the state service are lowered, the leader is paused, and then the state service is unavailable.
async fn run_outages(mut sim: Sim, limits: Limits) {
    sim.run(Duration::from_secs(10)).await;
    let jobs: Vec<_> = (0..60).map(|_| sim.job("batch", 1)).collect();
    sim.submit_pipeline(jobs);
    sim.limit_state(limits);
    sim.run(Duration::from_secs(20)).await;
    let leader = sim.leader().expect("there is a leader");
    sim.pause(leader, true);
    sim.run(Duration::from_secs(60)).await;
    sim.pause(leader, false);
    sim.run(Duration::from_secs(30)).await;
    sim.state_down(true);
    sim.run(Duration::from_secs(120)).await;
    sim.state_down(false);
    sim.run(Duration::from_secs(30)).await;
}

#[test]
fn names_and_labels_of_metrics_match_the_golden_file() {
    let names = Names::default();
    collect_names_of_random_days(Setup::default, 1..=6, &names);
    collect_names_of_random_days(with_pools, 1..=4, &names);
    collect_names_of_random_days(with_borrowing, 1..=3, &names);
    collect_names(Setup { capacity: Some(1), ..with_borrowing() }, 1, &names, run_loan);
    for limits in [NEXT_LIMITS, Limits { changes: LEAST_CHANGES, ..PRESENT_LIMITS }] {
        (1..=2).for_each(|seed| collect_names(Setup::default(), seed, &names, |sim| run_outages(sim, limits)));
    }
    let names = names.lock().unwrap();
    let (added, pinned): (Vec<&String>, Vec<&String>) = names.iter().partition(|name| is_added(name));
    let text: String = pinned.into_iter().map(|name| name.clone() + "\n").collect();
    golden::assert_same("metrics.txt", &text);
    let added: String = added.into_iter().map(|name| name.clone() + "\n").collect();
    assert_eq!(added, ADDED_NAMES, "metrics that were added since the pinned file");
}

#[test]
fn names_of_configuration_metrics_match_the_golden_file() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    let text = runtime.block_on(regions::metrics_after_changes());
    let names: BTreeSet<String> = text.lines().map(name_of).filter(|name| name.contains("configuration")).collect();
    let text: String = names.iter().map(|name| name.clone() + "\n").collect();
    golden::assert_same("configuration-metrics.txt", &text);
}
