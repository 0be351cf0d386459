//! A team without a guarantee (the guest) submits a large array job, many one-task jobs and best-effort work
//! while teams with guarantees use their capacity.

use crate::scenario::{run_with_seeds, seconds};
use badgerdrift_stand_ins::Sim;
use badgerdrift_stand_ins::world::{GUEST, Job, TEAMS, secs};
use tokio::time::Instant;

/// Length of a scenario in seconds.
const DAY_S: u64 = 150;
/// Maximum time, in seconds, until work within a guarantee begins, including the boot of a machine.
const GUARANTEED_START_S: f64 = 15.0;
/// Time, in seconds, that one guest task occupies its resources, including the fetch of the image and the gap
/// until the next task.
const TASK_S: f64 = 6.0;
/// Accelerators of one task of the guest's array.
const TASK_CARDS: f64 = 0.5;
/// Accelerators that the cloud offers on spot machines, and as many on ordinary ones.
const CARDS_PER_PRICE_CLASS: f64 = 8.0;

/// Identifiers of the guest's jobs: the array, the best-effort job and the one-task jobs.
struct GuestJobs {
    array: String,
    best_effort: String,
    one_task_jobs: Vec<String>,
}

fn submit_guest_jobs(sim: &mut Sim, spot: bool) -> GuestJobs {
    let submit = |sim: &mut Sim, mut job: Job| {
        (job.team, job.preemptible) = (GUEST.0, spot);
        sim.submit(job)
    };
    let mut array = sim.job("batch", 1500);
    (array.cards, array.run_s) = (TASK_CARDS, 4.0);
    let array = submit(sim, array);
    let mut best_effort = sim.job("batch", 20);
    (best_effort.cards, best_effort.run_s, best_effort.urgency) = (0.0, 4.0, "best_effort");
    let best_effort = submit(sim, best_effort);
    let mut one_task_jobs = Vec::new();
    for _ in 0..40 {
        let mut job = sim.job("batch", 1);
        (job.cards, job.run_s) = (0.0, 3.0);
        one_task_jobs.push(submit(sim, job));
    }
    GuestJobs { array, best_effort, one_task_jobs }
}

/// Submits one job of two accelerators for each team with a guarantee, and returns the jobs' identifiers.
fn submit_guaranteed_jobs(sim: &mut Sim, index: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for (team, _, _) in TEAMS {
        let mut job = sim.job(["batch", "group"][index % 2], 2);
        (job.team, job.cards, job.run_s) = (team, 1.0, 5.0);
        ids.push(sim.submit(job));
    }
    ids
}

/// Asserts that at least half of the guest's best-effort tasks and one-task jobs are done, and at least half
/// of the array tasks that fit on the free accelerators.
fn assert_served(sim: &Sim, jobs: &GuestJobs, free_cards: f64) {
    let world = sim.context.world.lock().unwrap();
    let done = |id: &String| world.jobs[id].done.len();
    let array_tasks = (free_cards / TASK_CARDS) * DAY_S as f64 / TASK_S;
    let one_task_jobs_done = jobs.one_task_jobs.iter().filter(|id| world.jobs[*id].all_done()).count();
    println!(
        "seed {}: guest tasks done: array {} (the free accelerators allow {array_tasks}), best effort {}, one-task jobs {one_task_jobs_done}",
        sim.context.seed,
        done(&jobs.array),
        done(&jobs.best_effort)
    );
    assert!(
        2.0 * done(&jobs.array) as f64 >= array_tasks,
        "seed {}: too few tasks of the guest's array are done",
        sim.context.seed
    );
    assert!(
        2 * done(&jobs.best_effort) >= 20,
        "seed {}: too few best-effort tasks of the guest are done",
        sim.context.seed
    );
    assert!(
        2 * one_task_jobs_done >= jobs.one_task_jobs.len(),
        "seed {}: too few one-task jobs of the guest are done",
        sim.context.seed
    );
}

/// Asserts that each of these jobs began within `GUARANTEED_START_S` of its acceptance.
fn assert_not_starved(sim: &Sim, ids: &[String]) {
    let world = sim.context.world.lock().unwrap();
    for id in ids {
        let job = &world.jobs[id];
        let wait = job.accepted.zip(job.began).map(|(accepted, began)| began - accepted);
        println!("seed {}: {id} of {} began after {wait:?}", sim.context.seed, job.team);
        let in_time = wait.is_some_and(|wait| wait < secs(GUARANTEED_START_S));
        assert!(in_time, "seed {}: {id} of {} began after {wait:?}", sim.context.seed, job.team);
    }
}

/// Runs a scenario in which the guest's jobs may use spot machines, or only machines that the other teams use
/// as well.
fn run_guest_scenario(spot: bool, free_cards: f64) {
    run_with_seeds(async |sim| {
        // One spot and one ordinary machine of each type in each zone.
        sim.context.world.lock().unwrap().parameters.capacity = 1;
        sim.run(seconds(5)).await;
        let jobs = submit_guest_jobs(sim, spot);
        let began = Instant::now();
        let mut guaranteed_jobs = Vec::new();
        while began.elapsed() < seconds(DAY_S - 30) {
            guaranteed_jobs.extend(submit_guaranteed_jobs(sim, guaranteed_jobs.len()));
            sim.run(seconds(10)).await;
        }
        sim.run(seconds(30)).await;
        assert_served(sim, &jobs, free_cards);
        assert_not_starved(sim, &guaranteed_jobs);
        sim.cancel(&jobs.array, &[0, 1, 2]);
    });
}

// A guest with far more work than there are machines must not keep guaranteed work waiting.
#[test]
fn a_guest_on_spot_machines_is_served_and_starves_nobody() {
    run_guest_scenario(true, CARDS_PER_PRICE_CLASS);
}

// The same without spot machines. The other teams' jobs occupy four accelerators for more than half of the
// time.
#[test]
fn a_guest_on_the_teams_own_machines_is_served_and_starves_nobody() {
    run_guest_scenario(false, CARDS_PER_PRICE_CLASS - 4.0);
}
