//! A controller ends after some hours of ordinary traffic; the next leader reads the records of all jobs, the ended ones too.

use crate::deployment::{Deployment, Params, job};
use crate::http::call;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Jobs that came and ended before: ten hours of the 24.8 a minute that the brief names.
const JOBS: u64 = 15_000;
/// Memory of a controller in MB (`params.limits.memory_mb`).
const MEMORY_MB: f64 = 56.0;
/// Time until a controller that has ended is back.
const BACK_S: f64 = 3.0;
/// Time for which the deployment is watched after the disruption.
const WATCH_S: f64 = 45.0;

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
        write_rps: 2000.0,
    };
    let deployment = Deployment::start(folder, &params);
    let d = &deployment;
    d.platform.world.lock().unwrap().capacity = 2;
    if !d.wait(15.0, || d.leader().is_some()) {
        d.cannot_run("no leader");
    }
    // The platform: a process over its limit gets killed and started again.
    let kills = Arc::new(AtomicU64::new(0));
    let (platform, killed) = (deployment.clone(), kills.clone());
    let memory_watch = move || {
        let mut back: [Option<Instant>; 3] = [None; 3];
        loop {
            std::thread::sleep(Duration::from_millis(20));
            for (i, mb) in platform.memory_mb().into_iter().enumerate() {
                if mb > MEMORY_MB {
                    platform.kill_controller(i);
                    killed.fetch_add(1, Ordering::Relaxed);
                    platform.note(format!("{} holds {mb:.1} MB of {MEMORY_MB} and is killed", platform.names[i]));
                    back[i] = Some(Instant::now() + Duration::from_secs_f64(BACK_S));
                }
                if back[i].is_some_and(|at| Instant::now() >= at) {
                    back[i] = None;
                    platform.note(format!("{} is started again", platform.names[i]));
                    platform.start_controller(i);
                }
            }
        }
    };
    d.wait(5.0, || false);
    std::thread::spawn(memory_watch);
    // The history: jobs are submitted and called off, by eight users.
    let began = Instant::now();
    let failed = Arc::new(AtomicU64::new(0));
    let users: Vec<_> = (0..8)
        .map(|user| {
            let (d, failed) = (deployment.clone(), failed.clone());
            std::thread::spawn(move || {
                for n in (0..JOBS).filter(|n| n % 8 == user) {
                    let id = format!("run-{:06}", 100_000 + n);
                    let mut array = job(&id, "batch", 7, 5.0, 1.0, 25.0, 35.0);
                    array["jobclass"] = json!("form-sweep");
                    array["urgency"] = json!("best_effort");
                    d.platform.world.lock().unwrap().jobs.insert(id.clone(), array.clone());
                    let ends = [
                        ("POST", "/v1/jobs".to_string(), Some(&array)),
                        ("POST", format!("/v1/jobs/{id}/withdraw"), None),
                    ];
                    for (method, path, body) in ends {
                        let done = (0..20).any(|attempt| {
                            if attempt > 0 {
                                std::thread::sleep(Duration::from_millis(300));
                            }
                            let to = d.leader().unwrap_or(0);
                            let answer = call(d.users[to], method, &path, body, Duration::from_secs(5));
                            matches!(answer, Some((200 | 201, _)))
                        });
                        if !done {
                            failed.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            })
        })
        .collect();
    users.into_iter().for_each(|user| user.join().unwrap());
    d.note(format!("{JOBS} jobs have come and were called off within {:.0} s", began.elapsed().as_secs_f64()));
    if failed.load(Ordering::Relaxed) > 0 || kills.load(Ordering::Relaxed) > 0 {
        d.cannot_run("the history could not be made");
    }
    std::thread::sleep(Duration::from_secs(2));
    let Some(leader) = d.leader() else { d.cannot_run("no leader") };
    d.note(format!("{} leads; memory in MB: {:.1?}", d.names[leader], d.memory_mb()));
    if trouble {
        d.note(format!("{} ends", d.names[leader]));
        d.kill_controller(leader);
        std::thread::sleep(Duration::from_secs_f64(BACK_S));
        d.note(format!("{} is started again", d.names[leader]));
        d.start_controller(leader);
    }
    let began = Instant::now();
    let accepted = d.submit(&job("run-000001", "service", 1, 22.0, 4.0, 100.0, 1e6));
    while began.elapsed().as_secs_f64() < WATCH_S {
        std::thread::sleep(Duration::from_secs(5));
        d.ask(d.healthy(), "GET", "/v1/jobs/run-000001", None, 2.0);
        d.note(format!("memory in MB: {:.1?}; leader by the state service: {:?}", d.memory_mb(), d.state.leader()));
    }
    let (count, runs) = (kills.load(Ordering::Relaxed), d.tasks_running("run-000001") == 1);
    if count >= 3 {
        let text = format!(
            "controllers ended for memory {count} times in {WATCH_S} s, one leader after the other; a job submitted since: \
             accepted {accepted}, runs {runs}"
        );
        let mut world = d.platform.world.lock().unwrap();
        d.platform.broken(&mut world, text);
    }
    d.verdict()
}
