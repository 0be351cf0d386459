//! The cases.

use crate::Scene;
use crate::fleet::Flavor;
use crate::platform::{Deployment, lanna};
use crate::users::job;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Adds machines that are up at the start, as the brief says of this deployment.
fn up_at_start(scene: &Scene, flavor: &Flavor, count: usize) {
    for _ in 0..count {
        scene.fleet.add_machine(flavor.clone(), "doi-suthep", false, Duration::ZERO);
    }
}

fn mekong(capacity: usize) -> Flavor {
    Flavor { sku: "mekong-gpu", cores: 64.0, cards: 8.0, mem_gb: 384.0, ..ping(capacity) }
}

fn ping(capacity: usize) -> Flavor {
    Flavor {
        sku: "ping-gpu",
        cores: 32.0,
        cards: 4.0,
        mem_gb: 128.0,
        startup_s: 45.0,
        regions: vec!["doi-suthep"],
        capacity,
    }
}

pub fn play(case: &str, folder: &Path) -> ! {
    match case {
        "arrays" => arrays(folder),
        "late-return" => late_return(folder),
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2)
        }
    }
}

/// Says how much memory the controllers held and how often they were ended for it.
fn say_memory(scene: &Scene) {
    let controllers = scene.platform.lock();
    for controller in controllers.iter() {
        scene.record.say(&format!(
            "{}: held {:.1} MB at most, killed for memory {} times, ended by itself {} times",
            controller.name,
            controller.largest as f64 / 1048576.0,
            controller.over_memory,
            controller.ended_itself
        ));
    }
}

/// Time for which a job may wait at most once the troubles are over.
const LONGEST_WAIT: Duration = Duration::from_secs(90);

/// What became of a job.
enum Start {
    NotAccepted,
    InTime,
    /// It waited for [`LONGEST_WAIT`] while a machine that fits had room.
    Waiting,
    NoRoom,
}

impl Start {
    /// Returns the exit code of a case whose rule is that the job starts in time.
    fn code(self) -> i32 {
        match self {
            Start::InTime => 0,
            Start::Waiting => 1,
            Start::NotAccepted | Start::NoRoom => 2,
        }
    }
}

/// Submits a service of one task and waits until it has started, for [`LONGEST_WAIT`] from its acceptance at most.
fn starts_in_time(scene: &Scene, id: u64, extra: &Value) -> Start {
    let name = format!("run-{id:06}");
    let status = scene.users.submit(&job(id, "roster-chat", "roster-desk", "service", 1, extra), 0.0);
    if status != 201 && status != 200 {
        scene.record.say(&format!("{name} was not accepted within 60 s: {status}"));
        return Start::NotAccepted;
    }
    let accepted = Instant::now();
    scene.record.say(&format!("{:.1} s: {name} was accepted", scene.record.seconds()));
    let mut last_poll = Instant::now();
    while accepted.elapsed() < LONGEST_WAIT {
        if scene.fleet.facts().started.contains_key(&name) {
            scene.record.say(&format!("{name} started after {:.1} s", accepted.elapsed().as_secs_f64()));
            return Start::InTime;
        }
        if last_poll.elapsed() > Duration::from_secs(5) {
            last_poll = Instant::now();
            scene.users.poll(&name);
        }
        sleep_s(0.2);
    }
    let room = scene.fleet.machines().iter().filter(|machine| machine.lock().unwrap().has_room("ping-gpu")).count();
    scene
        .record
        .say(&format!("{name} has waited for 90 s; machines of its type that are up and without tasks: {room}"));
    if room > 0 { Start::Waiting } else { Start::NoRoom }
}

fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Arrays of the largest size that a submission may name.
fn arrays(folder: &Path) -> ! {
    // The small deployment on smaller machines.
    let lean = Deployment { memory_mb: 37.0, core_share: 0.036, ..lanna() };
    let scene = Scene::new(folder, lean, vec![ping(4), mekong(1)]);
    up_at_start(&scene, &ping(4), 2);
    up_at_start(&scene, &mekong(1), 1);
    scene.start();
    let tasks = if scene.trouble { 100_000 } else { 1_000 };
    for id in 1..=ARRAYS {
        let extra = json!({"urgency": "best_effort", "flavors": ["mekong-gpu"], "size_gb": 0.1});
        let status = scene.users.submit(&job(id, "form-sweep", "relief-ops", "batch", tasks, &extra), 35.0);
        if status != 201 && status != 200 {
            scene.record.say(&format!("array {id} was answered {status}"));
        }
        sleep_s(0.2);
    }
    scene.record.say(&format!("{:.1} s: {ARRAYS} arrays of {tasks} tasks were submitted", scene.record.seconds()));
    let small = json!({"size_gb": 0.1, "flavors": ["ping-gpu"], "urgency": "production"});
    let started = starts_in_time(&scene, 100, &small);
    say_memory(&scene);
    scene.end(started.code())
}

/// Number of arrays in the case of arrays.
const ARRAYS: u64 = 12;

/// Returns the number of the controller that `part/0` names.
fn leader(scene: &Scene) -> Option<usize> {
    let records = scene.store.under("part/0");
    let holder = records.first()?.1["holder"].as_str()?.to_string();
    scene.platform.lock().iter().position(|controller| controller.name == holder)
}

/// Waits until `condition` holds, for `seconds` at most. Returns whether it did.
fn wait_until(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed().as_secs_f64() < seconds {
        if condition() {
            return true;
        }
        sleep_s(0.02);
    }
    false
}

/// The cloud's interface is down while the leader returns idle machines; the leader stands still, another one takes
/// over and uses the machines; the cloud's interface is back, then the former leader goes on.
fn late_return(folder: &Path) -> ! {
    let scene = Scene::new(folder, lanna(), vec![ping(3)]);
    up_at_start(&scene, &ping(3), 3);
    scene.start();
    let began = Instant::now();
    if !wait_until(10.0, || leader(&scene).is_some()) {
        scene.record.say("no controller leads");
        scene.end(2);
    }
    let first = leader(&scene).unwrap_or(0);
    let until = |seconds: f64| sleep_s(seconds - began.elapsed().as_secs_f64().min(seconds));
    until(OUTAGE_AT_S);
    let mut replaced = None;
    if scene.trouble {
        scene.record.line("cloud: down");
        scene.fleet.cloud_down.store(true, Ordering::Relaxed);
        let refused = || scene.fleet.refused_releases.lock().unwrap().iter().filter(|(_, node)| *node == first).count();
        if !wait_until(25.0, || refused() >= 2) {
            scene.record.say("the leader did not return its idle machines");
            scene.end(2);
        }
        // Half a second after a refusal: the leader waits for a second before it repeats the request.
        sleep_s(0.5);
        scene.platform.pause(first, true);
        let paused = Instant::now();
        if !wait_until(15.0, || leader(&scene).is_some_and(|leader| leader != first)) {
            scene.record.say("no other controller took over");
            scene.end(2);
        }
        replaced = Some(Instant::now());
        scene.record.say(&format!("{:.1} s: another controller leads", scene.record.seconds()));
        submit_replicas(&scene);
        let up_again = OUTAGE_AT_S + OUTAGE_S;
        until(up_again);
        scene.fleet.cloud_down.store(false, Ordering::Relaxed);
        scene.record.line("cloud: up");
        let left = FREEZE_S - paused.elapsed().as_secs_f64();
        sleep_s(left.max(0.0));
        scene.platform.pause(first, false);
    } else {
        // Before the leader returns the idle machines.
        submit_replicas(&scene);
        until(OUTAGE_AT_S + OUTAGE_S);
    }
    let last = Instant::now();
    while last.elapsed() < Duration::from_secs(8) {
        sleep_s(1.0);
        scene.users.poll("run-000001");
    }
    let releases = scene.fleet.releases.lock().unwrap().clone();
    let stale = |release: &&crate::fleet::Release| {
        let after = replaced.and_then(|replaced| release.at.checked_duration_since(replaced));
        release.node == first && !release.tasks.is_empty() && after.is_some_and(|after| after > STALE_AFTER)
    };
    let stale: Vec<_> = releases.iter().filter(stale).collect();
    for release in &stale {
        let after = replaced.map_or(0.0, |replaced| (release.at - replaced).as_secs_f64());
        scene.record.say(&format!(
            "{} was returned by the controller that had been replaced {after:.1} s before, with {:?} running",
            release.host, release.tasks
        ));
    }
    scene.record.say(&format!(
        "machines returned: {}, of these by a replaced controller while in use: {}",
        releases.len(),
        stale.len()
    ));
    scene.end(i32::from(!stale.is_empty()))
}

/// Submits a service of three replicas, each of which takes a machine, and waits until they run.
fn submit_replicas(scene: &Scene) {
    let extra = json!({"cores": 22.0, "cards": 4.0, "mem_gb": 100.0, "size_gb": 0.1, "urgency": "production"});
    let status = scene.users.submit(&job(1, "roster-chat", "roster-desk", "service", 3, &extra), 0.0);
    let started = || scene.fleet.facts().started.get("run-000001").copied().unwrap_or(0) >= 3;
    if !wait_until(14.0, started) {
        scene.record.say(&format!("the replicas did not start; the submission was answered {status}"));
        scene.end(2);
    }
    scene.record.say(&format!("{:.1} s: three replicas run", scene.record.seconds()));
}

/// When the cloud's interface goes down, in seconds after the start, and for how long: the site file's `cloud_outage`
/// lasts up to 40 s.
const OUTAGE_AT_S: f64 = 60.0;
const OUTAGE_S: f64 = 35.0;
/// How long the leader stands still: the site file's `node_freeze` lasts up to 28 s.
const FREEZE_S: f64 = 27.0;
/// Two leader leases: what a replaced controller sends later than this after the hand-over was not on its way before.
const STALE_AFTER: Duration = Duration::from_secs(5);
