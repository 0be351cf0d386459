//! The cases.

use crate::Scene;
use crate::fleet::Flavor;
use crate::platform::lanna;
use crate::users::job;
use serde_json::{Value, json};
use std::path::Path;
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
        "small-tasks" => small_tasks(folder),
        "arrays" => arrays(folder),
        "day" => day(folder),
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
        if scene.fleet.facts().started.get(&name).is_some() {
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

/// An array of small tasks, and a replica of another team on the same machine.
fn small_tasks(folder: &Path) -> ! {
    let scene = Scene::new(folder, lanna(), vec![mekong(1)]);
    up_at_start(&scene, &mekong(1), 1);
    scene.start();
    let tasks = if scene.trouble { 1_400 } else { 700 };
    let service = json!({"cores": 22.0, "cards": 4.0, "mem_gb": 100.0, "size_gb": 0.1, "urgency": "production"});
    let array = json!({"cores": 0.02, "cards": 0.0, "mem_gb": 0.05, "expected_s": RUN_S, "size_gb": 0.1,
        "urgency": "best_effort"});
    if scene.users.submit(&job(1, "roster-chat", "roster-desk", "service", 1, &service), 0.0) != 201
        || scene.users.submit(&job(2, "form-sweep", "relief-ops", "batch", tasks, &array), RUN_S) != 201
    {
        scene.record.say("the jobs were not accepted");
        scene.end(2);
    }
    let (accepted, mut done) = (Instant::now(), false);
    while accepted.elapsed() < LONGEST_WAIT + Duration::from_secs(10) && !done {
        sleep_s(3.0);
        done = scene.users.poll("run-000002").is_some_and(|(status, body)| status == 200 && body["phase"] == "done");
        scene.users.poll("run-000001");
    }
    let ran_s = accepted.elapsed().as_secs_f64();
    for machine in scene.fleet.machines() {
        let machine = machine.lock().unwrap();
        scene.record.say(&format!(
            "{}: largest report {} bytes, {} leases ended with tasks on it",
            machine.id, machine.largest_report, machine.leases_ended
        ));
    }
    let facts = scene.fleet.facts();
    let of = |map: &std::collections::HashMap<String, u64>, id: &str| map.get(id).copied().unwrap_or(0);
    let (killed, replica) = (of(&facts.killed_by_lease, "run-000002"), of(&facts.killed_by_lease, "run-000001"));
    scene.record.say(&format!(
        "array of {tasks} tasks of {RUN_S} s: done {done} after {ran_s:.0} s, {} tasks completed, {killed} killed by the \
         end of a lease; the replica beside it was killed {replica} times",
        of(&facts.completed, "run-000002")
    ));
    drop(facts);
    match (done, killed + replica) {
        (true, 0) => scene.end(0),
        (false, 1..) => scene.end(1),
        _ => scene.end(2),
    }
}

/// Run time of the small tasks in seconds.
const RUN_S: f64 = 20.0;

/// One day's jobs have ended; then all controllers crash and come back.
fn day(folder: &Path) -> ! {
    let scene = Scene::new(folder, lanna(), vec![ping(4)]);
    up_at_start(&scene, &ping(4), 2);
    scene.start();
    let small = json!({"size_gb": 0.1, "flavors": ["ping-gpu"], "urgency": "production"});
    let status = scene.users.submit(&job(1, "form-sweep", "relief-ops", "batch", 7, &small), 1.0);
    if status != 201 || scene.users.submit(&job(2, "roster-chat", "roster-desk", "service", 1, &small), 0.0) != 201 {
        scene.record.say("the first jobs were not accepted");
        scene.end(2);
    }
    let ended = |record: &(String, Value)| record.0 == "job/run-000001" && record.1["end"] == "Done";
    let mut written = None;
    for _ in 0..100 {
        written = scene.store.under("job/").into_iter().find(ended);
        if written.is_some() {
            break;
        }
        sleep_s(0.1);
    }
    let Some((_, written)) = written else {
        scene.record.say("the first job did not end");
        scene.end(2);
    };
    // What the controllers wrote for the jobs that ended earlier: the same record under other ids.
    let records = (0..JOBS_OF_A_DAY).map(|number| {
        let id = format!("run-{:06}", 100_000 + number);
        let mut record = written.clone();
        record["spec"]["id"] = id.clone().into();
        (format!("job/{id}"), record)
    });
    scene.record.line(&format!("state: {JOBS_OF_A_DAY} records like {written}"));
    scene.store.add_earlier(records.collect());
    if scene.trouble {
        for index in 0..3 {
            scene.platform.crash(index);
        }
        sleep_s(scene.platform.deployment.back_s);
    }
    let started = starts_in_time(&scene, 3, &small);
    scene.users.poll("run-000002");
    say_memory(&scene);
    let lost = scene.fleet.facts().killed_by_lease.get("run-000002").copied().unwrap_or(0);
    scene.record.say(&format!("tasks of the service that ran before the crash, killed by the end of a lease: {lost}"));
    scene.end(started.code())
}

/// Jobs that the brief's rates of Lanna give in a day: (1.4 + 12 + 9.5 + 1.9) a minute.
const JOBS_OF_A_DAY: u64 = 35_712;

/// Arrays of the largest size that a submission may name.
fn arrays(folder: &Path) -> ! {
    let scene = Scene::new(folder, lanna(), vec![ping(4), mekong(1)]);
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
const ARRAYS: u64 = 16;
