//! The state service is down for a while as a large array of short tasks runs: the tasks that have ended can't be
//! removed from the reports meanwhile, and the reports become longer than a request may be.

use crate::deployment::{Deployment, Params, job};
use serde_json::json;
use std::time::{Duration, Instant};

/// Length of the outage; the site files have up to 25 s.
const OUTAGE_S: f64 = 20.0;
/// Time for which the replicas are watched, from the beginning of the outage on.
const WATCH_S: f64 = 45.0;

pub fn run(folder: &str, trouble: bool) {
    let params = Params {
        report_s: 1.0,
        lease_s: 10.0,
        gang_wait_s: 30.0,
        gang_peer_s: 6.0,
        cancel_s: 40.0,
        list_lag_s: 4.0,
        teams: vec![("relief-ops", 80.0, 216.0), ("red-lotus", 0.0, 216.0)],
        flavors: json!([{"sku": "mekong-gpu", "cores": 64, "cards": 8, "mem_gb": 384, "cache_gb": 600,
            "fetch_gb_per_s": 9.0, "rate": 22.21, "low_price": 9.7, "startup_s": 45, "regions": ["a"]}]),
        boot_s: 27.0,
        arguments: Vec::new(),
        write_rps: 20.0,
    };
    let deployment = Deployment::start(folder, &params);
    let d = &deployment;
    d.platform.world.lock().unwrap().capacity = 2;
    if !d.wait(15.0, || d.leader().is_some()) {
        d.cannot_run("no leader");
    }
    let mut replicas = job("run-000001", "service", 2, 5.0, 1.0, 25.0, 1e6);
    replicas["jobclass"] = json!("callout-surge");
    replicas["urgency"] = json!("urgent");
    replicas["size_gb"] = json!(42.7);
    if !d.submit(&replicas) || !d.wait(45.0, || d.tasks_running("run-000001") == 2) {
        d.cannot_run("the replicas do not run");
    }
    d.note("both replicas run");
    let mut array = job("run-000002", "batch", 25_000, 0.25, 0.0, 1.35, 4.0);
    array["owner"] = json!("red-lotus");
    array["jobclass"] = json!("census-match");
    array["urgency"] = json!("best_effort");
    array["preemptible"] = json!(true);
    array["size_gb"] = json!(0.5);
    if !d.submit(&array) || !d.wait(20.0, || d.tasks_running("run-000002") > 100) {
        d.cannot_run("the array does not run");
    }
    std::thread::sleep(Duration::from_secs(6));
    if !d.platform.world.lock().unwrap().lease_ends.is_empty() {
        d.cannot_run("a lease ended before the outage");
    }
    let began = Instant::now();
    if trouble {
        d.note(format!("the state service is down for {OUTAGE_S} s"));
        d.state.set_down(true);
    }
    let mut down = trouble;
    while began.elapsed().as_secs_f64() < WATCH_S {
        std::thread::sleep(Duration::from_secs(4));
        if down && began.elapsed().as_secs_f64() >= OUTAGE_S {
            d.state.set_down(false);
            down = false;
            d.note("the state service is back");
        }
        d.ask(d.healthy(), "GET", "/v1/jobs/run-000001", None, 2.0);
        d.ask(d.healthy(), "GET", "/v1/jobs/run-000002", None, 2.0);
        let sizes = d.platform.report_sizes();
        d.note(format!(
            "on machines: {} replicas, {} tasks of the array; bytes of a report: {sizes:?}",
            d.tasks_running("run-000001"),
            d.tasks_running("run-000002")
        ));
    }
    let mut world = d.platform.world.lock().unwrap();
    let ends = world.lease_ends.clone();
    for (host, killed) in &ends {
        let replicas: Vec<&String> = killed.iter().filter(|shard| shard.starts_with("run-000001/")).collect();
        if let (false, Some((count, status, bytes))) = (replicas.is_empty(), world.odd_answers.get(host).copied()) {
            let text = format!(
                "{host} reported on time, its reports were answered {status} ({count} times, the last one of {bytes} bytes); its \
                 lease ended and it killed {} tasks, among them the replicas {replicas:?}",
                killed.len()
            );
            d.platform.broken(&mut world, text);
        }
    }
    drop(world);
    d.verdict()
}
