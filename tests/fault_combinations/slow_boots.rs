//! Machines that boot late or never while they are charged.

use crate::scenario::{charged, run_without_headroom, seconds};
use crate::simulation::{seeds, simulate_with};
use badgerdrift_stand_ins::world::{BootFaults, Job, SimulationState, secs};
use badgerdrift_stand_ins::{Setup, Sim};
use tokio::time::Instant;

/// Number of machines that the jobs of these scenarios need.
const NEEDED: usize = 3;
/// Maximum time, in seconds, until a machine that does not boot is terminated and a replacement has booted.
const REPLACED_S: u64 = 25;
/// Maximum time, in seconds, until machines without work are terminated.
const TERMINATED_S: u64 = 40;

/// Submits a gang and an array job that together need three machines with accelerators.
fn submit_work(sim: &mut Sim) {
    for (shape, tasks) in [("group", 2), ("batch", 1)] {
        let mut job = sim.job(shape, tasks);
        (job.cards, job.run_s) = (2.5, 30.0);
        sim.submit(job);
    }
}

/// Whether all jobs have begun.
fn all_began(world: &SimulationState) -> bool {
    world.jobs.values().all(|job| job.began.is_some())
}

/// Waits until all jobs have begun, and asserts that at most `max_machines` machines are charged at once.
async fn until_all_began(sim: &Sim, max_machines: usize) {
    let end = Instant::now() + seconds(REPLACED_S);
    while !all_began(&sim.context.world.lock().unwrap()) {
        assert!(Instant::now() < end, "seed {}: jobs have not begun in {REPLACED_S} s", sim.context.seed);
        let charged = charged(sim);
        assert!(
            charged <= max_machines,
            "seed {}: {charged} machines are charged, expected at most {max_machines}",
            sim.context.seed
        );
        sim.run(secs(0.5)).await;
    }
}

/// Waits until all jobs have ended and then until all machines are terminated.
async fn until_all_are_terminated(sim: &Sim) {
    sim.until("all work is done", seconds(120), |world| world.jobs.values().all(Job::over)).await;
    let none = |world: &SimulationState| world.machines.values().all(|m| !m.exists());
    sim.until("all machines are terminated", seconds(TERMINATED_S), none).await;
}

// A machine that never boots must neither keep its work waiting nor be charged for ever.
#[test]
fn machines_that_never_boot_are_terminated_and_replaced() {
    run_without_headroom(async |sim| {
        sim.run(seconds(5)).await;
        sim.boot_faults(BootFaults { never: 1.0, ..BootFaults::default() });
        submit_work(sim);
        sim.until("machines are launched", seconds(5), |world| world.machines.len() >= NEEDED).await;
        sim.boot_faults(BootFaults::default());
        let never_booted: Vec<String> = sim.context.world.lock().unwrap().machines.keys().cloned().collect();
        until_all_began(sim, 2 * NEEDED).await;
        let terminated = |world: &SimulationState| never_booted.iter().all(|id| !world.machines[id].exists());
        sim.until("machines that never boot are terminated", seconds(REPLACED_S), terminated).await;
        let launched = sim.context.world.lock().unwrap().machines.len();
        assert!(launched <= 3 * NEEDED, "seed {}: {launched} machines were launched", sim.context.seed);
        until_all_are_terminated(sim).await;
    });
}

// The machines boot shortly before or shortly after the time at which their boots time out.
#[test]
fn surplus_machines_that_boot_late_are_terminated() {
    const LATE_BY: [f64; 3] = [3.0, 4.0, 5.5];
    run_without_headroom(async |sim| {
        sim.run(seconds(5)).await;
        let late_by = LATE_BY[sim.context.seed as usize % LATE_BY.len()];
        sim.boot_faults(BootFaults { late: 1.0, late_by, ..BootFaults::default() });
        submit_work(sim);
        sim.until("machines are launched", seconds(5), |world| world.machines.len() >= NEEDED).await;
        sim.boot_faults(BootFaults::default());
        until_all_began(sim, 2 * NEEDED).await;
        until_all_are_terminated(sim).await;
        let launched = sim.context.world.lock().unwrap().machines.len();
        assert!(launched <= 3 * NEEDED, "seed {}: {launched} machines were launched", sim.context.seed);
    });
}

// A third of all machines never boots, and half of the others boot late. The machines of the previous wave of
// jobs are terminated before the next wave, which needs four.
#[test]
fn most_jobs_begin_while_most_boots_fail_or_are_late() {
    const WAVES: usize = 6;
    const MAX_CHARGED: usize = 12;
    run_without_headroom(async |sim| {
        sim.boot_faults(BootFaults { never: 0.33, late: 0.5, late_by: 3.5 });
        sim.run(seconds(5)).await;
        let mut max_charged = 0;
        for wave in 0..WAVES {
            for team in ["red", "blue"] {
                let mut job = sim.job(["batch", "group"][wave % 2], 2);
                (job.team, job.cards, job.run_s) = (team, 2.5, 6.0);
                sim.submit(job);
            }
            for _ in 0..25 {
                sim.run(seconds(1)).await;
                max_charged = max_charged.max(charged(sim));
            }
        }
        sim.run(seconds(REPLACED_S)).await;
        let (begun, all, launched) = {
            let world = sim.context.world.lock().unwrap();
            (world.jobs.values().filter(|job| job.began.is_some()).count(), world.jobs.len(), world.machines.len())
        };
        println!(
            "seed {}: {begun} of {all} jobs have begun; {launched} machines launched, at most {max_charged} at once",
            sim.context.seed
        );
        assert!(max_charged <= MAX_CHARGED, "seed {}: {max_charged} machines were charged at once", sim.context.seed);
        assert!(begun * 10 >= all * 9, "seed {}: only {begun} of {all} jobs have begun", sim.context.seed);
    });
}

// Between its first heartbeat and the one that shows the fencing token a machine counts neither as booting nor
// as usable. A plan made in that interval must not launch another machine in its place.
#[test]
fn no_machine_is_launched_in_place_of_one_that_has_just_booted() {
    for seed in seeds(1..=12) {
        simulate_with(Setup::without_headroom(), seed, async |mut sim| {
            sim.run(seconds(5)).await;
            submit_work(&mut sim);
            sim.until("all work is done", seconds(120), |world| world.jobs.values().all(Job::over)).await;
            let world = sim.context.world.lock().unwrap();
            assert_eq!(world.machines.len(), NEEDED, "seed {seed}: machines that were launched\n{}", world.recent(""));
        });
    }
}
