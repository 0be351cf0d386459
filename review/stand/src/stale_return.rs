//! A leader that has lost the state service and the other controllers, and was replaced, returns a machine that its
//! successor has rented and uses.

use crate::deployment::{Deployment, Params, job};
use serde_json::json;
use std::time::{Duration, Instant};

/// Length of the cut, the longest that a site file has for a controller.
const CUT_S: f64 = 42.0;
/// Time after the hand-over from which a request of the former leader counts: requests may be under way.
const GRACE_S: f64 = 5.0;

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
            "fetch_gb_per_s": 4.6, "rate": 14.12, "low_price": 5.2, "startup_s": 15, "regions": ["a"]}]),
        boot_s: 9.0,
        arguments: Vec::new(),
        write_rps: 20.0,
    };
    let deployment = Deployment::start(folder, &params);
    let d = &deployment;
    if !d.wait(15.0, || d.leader().is_some()) {
        d.cannot_run("no leader");
    }
    d.note("first job: the deployment works");
    if !d.submit(&job("run-000001", "service", 1, 22.0, 4.0, 100.0, 1e6)) {
        d.cannot_run("the first job was not accepted");
    }
    if !d.wait(25.0, || d.tasks_running("run-000001") == 1) {
        d.cannot_run("the first job does not run");
    }
    std::thread::sleep(Duration::from_secs(1));
    let Some(former) = d.leader() else { d.cannot_run("no leader") };
    let cut_at = Instant::now();
    if trouble {
        d.note(format!("{} loses the state service and the other controllers", d.names[former]));
        d.state.set_held(former, true);
        d.cut_peers(former, true);
        if !d.wait(15.0, || d.leader().is_some_and(|leader| leader != former)) {
            d.cannot_run("no other controller took over");
        }
    }
    let Some(leader) = d.leader() else { d.cannot_run("no leader") };
    let taken = Instant::now();
    d.note(format!("{} leads, by the state service: {:?}", d.names[leader], d.state.leader()));
    let watch = deployment.clone();
    *d.platform.on_release.lock().unwrap() = Some(Box::new(move |controller, name, ids| {
        if watch.leader() != Some(leader) || controller == leader || taken.elapsed().as_secs_f64() < GRACE_S {
            return None;
        }
        let world = watch.platform.world.lock().unwrap();
        let used: Vec<String> = ids
            .iter()
            .filter_map(|id| world.hosts.get(id))
            .filter(|host| host.gone.is_none() && !host.on_machine().is_empty())
            .map(|host| format!("{} with {:?}", host.id, host.on_machine()))
            .collect();
        (!used.is_empty()).then(|| {
            format!(
                "{name} returns {} {:.1} s after {} took over",
                used.join(", "),
                taken.elapsed().as_secs_f64(),
                watch.names[leader]
            )
        })
    }));
    if !d.submit(&job("run-000002", "service", 4, 22.0, 4.0, 100.0, 1e6)) {
        d.cannot_run("the second job was not accepted");
    }
    if !d.wait(30.0, || d.tasks_running("run-000002") == 4) {
        d.cannot_run("the second job does not run");
    }
    d.note("the second job runs");
    while cut_at.elapsed().as_secs_f64() < CUT_S {
        std::thread::sleep(Duration::from_secs(5));
        d.ask(leader, "GET", "/v1/jobs/run-000002", None, 2.0);
    }
    if trouble {
        d.state.set_held(former, false);
        d.cut_peers(former, false);
        d.note("the cut is over");
    }
    std::thread::sleep(Duration::from_secs(3));
    d.ask(leader, "GET", "/v1/jobs/run-000002", None, 2.0);
    d.verdict()
}
