//! The operators change the number of partitions and restart the controllers one after the other.

use crate::deployment::{Deployment, Params, job};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time between two restarts, and time for which a controller is down, as in the site files and the brief.
const EVERY_S: f64 = 25.0;
const DOWN_S: f64 = 3.0;

pub fn run(folder: &str, trouble: bool) {
    let params = Params {
        report_s: 1.0,
        lease_s: 10.0,
        gang_wait_s: 30.0,
        gang_peer_s: 6.0,
        cancel_s: 40.0,
        list_lag_s: 4.0,
        teams: vec![("relief-ops", 80.0, 216.0), ("roster-desk", 56.0, 152.0)],
        flavors: json!([{"sku": "ping-gpu", "cores": 32, "cards": 4, "mem_gb": 128, "cache_gb": 300,
            "fetch_gb_per_s": 4.6, "rate": 14.12, "low_price": 5.2, "startup_s": 45, "regions": ["a"]}]),
        boot_s: 27.0,
        arguments: Vec::new(),
    };
    let deployment = Deployment::start(folder, &params);
    let d = &deployment;
    if !d.wait(15.0, || d.leader().is_some()) {
        d.cannot_run("no leader");
    }
    for (n, team) in [(1, "relief-ops"), (2, "roster-desk"), (3, "relief-ops"), (4, "roster-desk")] {
        let mut replicas = job(&format!("run-{n:06}"), "service", 3, 22.0, 4.0, 100.0, 1e6);
        replicas["owner"] = json!(team);
        if !d.submit(&replicas) {
            d.cannot_run("a job was not accepted");
        }
    }
    let all_run = || (1..=4).all(|n| d.tasks_running(&format!("run-{n:06}")) == 3);
    if !d.wait(50.0, all_run) {
        d.cannot_run("the replicas do not run");
    }
    d.note("all replicas run; two jobs are called off, so that machines are free");
    for n in [3, 4] {
        d.ask(0, "POST", &format!("/v1/jobs/run-{n:06}/withdraw"), None, 5.0);
    }
    std::thread::sleep(Duration::from_secs(4));
    if trouble {
        *d.operator.lock().unwrap() = format!("{folder}/operator.hcl");
        d.note("the operators' file now says partitions = 2; the controllers are restarted one after the other");
    }
    let Some(leader) = d.leader() else { d.cannot_run("no leader") };
    let others = (0..3).filter(|i| *i != leader);
    for (restarted, i) in others.chain([leader]).enumerate() {
        let began = Instant::now();
        d.note(format!("{} ends", d.names[i]));
        d.kill_controller(i);
        std::thread::sleep(Duration::from_secs_f64(DOWN_S));
        d.note(format!("{} starts", d.names[i]));
        d.start_controller(i);
        let pause_s = if restarted == 2 { 10.0 } else { EVERY_S };
        while began.elapsed().as_secs_f64() < pause_s {
            std::thread::sleep(Duration::from_secs(5));
            for n in 1..=2 {
                d.ask(d.healthy(), "GET", &format!("/v1/jobs/run-{n:06}"), None, 2.0);
            }
        }
    }
    d.verdict()
}
