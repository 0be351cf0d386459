//! A team without a guarantee brings a huge array, a swarm of one-task jobs and work for
//! idle time, while teams with guarantees use them.

use crate::scenario::{days, s};
use badgerdrift_stand_ins::Sim;
use badgerdrift_stand_ins::world::{GUEST, Job, TEAMS, secs};
use tokio::time::Instant;

const DAY_S: u64 = 150;
/// Work within a guarantee begins in this time, also if a machine has to boot for it.
const GUARANTEED_START_S: f64 = 15.0;
/// How long a task of the guest's takes with its image and the time until the next one.
const TASK_S: f64 = 6.0;
const TASK_CARDS: f64 = 0.5;
/// Accelerators of the machines of one kind, spot or ordinary, that the cloud has.
const CARDS_OF_A_KIND: f64 = 8.0;

/// The guest's jobs: the array, the work for idle time, and the swarm.
struct GuestJobs {
    array: String,
    idle_time: String,
    swarm: Vec<String>,
}

fn submit_guests_work(sim: &mut Sim, spot: bool) -> GuestJobs {
    let submit = |sim: &mut Sim, mut j: Job| {
        (j.team, j.preemptible) = (GUEST.0, spot);
        sim.submit(j)
    };
    let mut array = sim.job("batch", 1500);
    (array.cards, array.run_s) = (TASK_CARDS, 4.0);
    let array = submit(sim, array);
    let mut idle_time = sim.job("batch", 20);
    (idle_time.cards, idle_time.run_s, idle_time.urgency) = (0.0, 4.0, "best_effort");
    let idle_time = submit(sim, idle_time);
    let mut swarm = Vec::new();
    for _ in 0..40 {
        let mut one = sim.job("batch", 1);
        (one.cards, one.run_s) = (0.0, 3.0);
        swarm.push(submit(sim, one));
    }
    GuestJobs { array, idle_time, swarm }
}

/// Each team runs jobs of two accelerators, one after the other, within its guarantee.
fn submit_guaranteed_work(sim: &mut Sim, n: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for (team, _, _) in TEAMS {
        let mut j = sim.job(["batch", "group"][n % 2], 2);
        (j.team, j.cards, j.run_s) = (team, 1.0, 5.0);
        ids.push(sim.submit(j));
    }
    ids
}

/// At least half of each is done; of the array half of what the free accelerators allow.
fn assert_served(sim: &Sim, jobs: &GuestJobs, free_cards: f64) {
    let w = sim.context.world.lock().unwrap();
    let done = |id: &String| w.jobs[id].done.len();
    let array_tasks = (free_cards / TASK_CARDS) * DAY_S as f64 / TASK_S;
    let swarm = jobs.swarm.iter().filter(|id| w.jobs[*id].all_done()).count();
    println!(
        "seed {}: of the guest's array {} are done, {array_tasks} would be; of the work for idle time {}, of the swarm {swarm}",
        sim.context.seed,
        done(&jobs.array),
        done(&jobs.idle_time)
    );
    assert!(2.0 * done(&jobs.array) as f64 >= array_tasks, "seed {}: the guest's array", sim.context.seed);
    assert!(2 * done(&jobs.idle_time) >= 20, "seed {}: the guest's work for idle time", sim.context.seed);
    assert!(2 * swarm >= jobs.swarm.len(), "seed {}: the guest's swarm", sim.context.seed);
}

fn assert_not_starved(sim: &Sim, ids: &[String]) {
    let w = sim.context.world.lock().unwrap();
    for id in ids {
        let job = &w.jobs[id];
        let wait = job.accepted.zip(job.began).map(|(accepted, began)| began - accepted);
        println!("seed {}: {id} of {} began after {wait:?}", sim.context.seed, job.team);
        let in_time = wait.is_some_and(|wait| wait < secs(GUARANTEED_START_S));
        assert!(in_time, "seed {}: {id} of {} began after {wait:?}", sim.context.seed, job.team);
    }
}

/// The guest's work may run on spot machines, or only where the other teams run theirs.
fn guest_day(spot: bool, free_cards: f64) {
    days(async |sim| {
        // One machine of a type in each zone, of either kind.
        sim.context.world.lock().unwrap().parameters.capacity = 1;
        sim.run(s(5)).await;
        let jobs = submit_guests_work(sim, spot);
        let began = Instant::now();
        let mut guaranteed = Vec::new();
        while began.elapsed() < s(DAY_S - 30) {
            guaranteed.extend(submit_guaranteed_work(sim, guaranteed.len()));
            sim.run(s(10)).await;
        }
        sim.run(s(30)).await;
        assert_served(sim, &jobs, free_cards);
        assert_not_starved(sim, &guaranteed);
        sim.cancel(&jobs.array, &[0, 1, 2]);
    });
}

#[test]
fn a_guest_on_spot_machines_is_served_and_starves_nobody() {
    guest_day(true, CARDS_OF_A_KIND);
}

// The other teams' jobs take four accelerators for more than half of the time.
#[test]
fn a_guest_on_the_teams_own_machines_is_served_and_starves_nobody() {
    guest_day(false, CARDS_OF_A_KIND - 4.0);
}
