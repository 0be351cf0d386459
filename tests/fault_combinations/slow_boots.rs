//! Machines that are rented come up late, or never, while they are charged.

use crate::scenario::{charged, days_without_headroom, s};
use crate::simulation::{seeds, simulate_with};
use badgerdrift_stand_ins::world::{BootFaults, Job, SimulationState, secs};
use badgerdrift_stand_ins::{Setup, Sim};
use tokio::time::Instant;

/// Machines that the work of these days takes.
const NEEDED: usize = 3;
/// Within this time a machine that does not come up is returned, another is rented
/// instead, and that one is up.
const REPLACED_S: u64 = 25;
/// Within this time machines without work are returned.
const RETURNED_S: u64 = 40;

/// A gang and an array that take three machines with accelerators.
fn submit_work(sim: &mut Sim) {
    for (shape, tasks) in [("group", 2), ("batch", 1)] {
        let mut j = sim.job(shape, tasks);
        (j.cards, j.run_s) = (2.5, 30.0);
        sim.submit(j);
    }
}

fn all_began(w: &SimulationState) -> bool {
    w.jobs.values().all(|j| j.began.is_some())
}

/// Until all jobs have begun no more than so many machines are charged at once.
async fn until_all_began(sim: &Sim, most_machines: usize) {
    let end = Instant::now() + s(REPLACED_S);
    while !all_began(&sim.context.world.lock().unwrap()) {
        assert!(Instant::now() < end, "seed {}: work waits for machines that are not up", sim.context.seed);
        let charged = charged(sim);
        assert!(charged <= most_machines, "seed {}: {charged} machines are charged", sim.context.seed);
        sim.run(secs(0.5)).await;
    }
}

async fn until_all_are_returned(sim: &Sim) {
    sim.until("all work is done", s(120), |w| w.jobs.values().all(Job::over)).await;
    let none = |w: &SimulationState| w.machines.values().all(|m| !m.exists());
    sim.until("all machines are returned", s(RETURNED_S), none).await;
}

#[test]
fn machines_that_never_come_up_are_returned_and_replaced() {
    days_without_headroom(async |sim| {
        sim.run(s(5)).await;
        sim.boot_faults(BootFaults { never: 1.0, ..BootFaults::default() });
        submit_work(sim);
        sim.until("machines are rented", s(5), |w| w.machines.len() >= NEEDED).await;
        sim.boot_faults(BootFaults::default());
        let never_up: Vec<String> = sim.context.world.lock().unwrap().machines.keys().cloned().collect();
        until_all_began(sim, 2 * NEEDED).await;
        let returned = |w: &SimulationState| never_up.iter().all(|id| !w.machines[id].exists());
        sim.until("what never comes up is returned", s(REPLACED_S), returned).await;
        let rented = sim.context.world.lock().unwrap().machines.len();
        assert!(rented <= 3 * NEEDED, "seed {}: {rented} machines were rented", sim.context.seed);
        until_all_are_returned(sim).await;
    });
}

// They come up just before or after they are given up.
#[test]
fn machines_come_up_late_and_the_surplus_is_returned() {
    const LATE_BY: [f64; 3] = [3.0, 4.0, 5.5];
    days_without_headroom(async |sim| {
        sim.run(s(5)).await;
        let late_by = LATE_BY[sim.context.seed as usize % LATE_BY.len()];
        sim.boot_faults(BootFaults { late: 1.0, late_by, ..BootFaults::default() });
        submit_work(sim);
        sim.until("machines are rented", s(5), |w| w.machines.len() >= NEEDED).await;
        sim.boot_faults(BootFaults::default());
        until_all_began(sim, 2 * NEEDED).await;
        until_all_are_returned(sim).await;
        let rented = sim.context.world.lock().unwrap().machines.len();
        assert!(rented <= 3 * NEEDED, "seed {}: {rented} machines were rented", sim.context.seed);
    });
}

// A third of all machines never comes up, and half of the others are late. Each wave of jobs
// finds the machines of the last one returned, and needs four.
#[test]
fn work_goes_on_while_most_boots_fail() {
    const WAVES: usize = 6;
    const MAX_CHARGED: usize = 12;
    days_without_headroom(async |sim| {
        sim.boot_faults(BootFaults { never: 0.33, late: 0.5, late_by: 3.5 });
        sim.run(s(5)).await;
        let mut most = 0;
        for n in 0..WAVES {
            for team in ["red", "blue"] {
                let mut j = sim.job(["batch", "group"][n % 2], 2);
                (j.team, j.cards, j.run_s) = (team, 2.5, 6.0);
                sim.submit(j);
            }
            for _ in 0..25 {
                sim.run(s(1)).await;
                most = most.max(charged(sim));
            }
        }
        sim.run(s(REPLACED_S)).await;
        let (begun, all, rented) = {
            let w = sim.context.world.lock().unwrap();
            (w.jobs.values().filter(|j| j.began.is_some()).count(), w.jobs.len(), w.machines.len())
        };
        println!("seed {}: {begun} of {all} jobs have begun; {rented} machines, {most} at once", sim.context.seed);
        assert!(most <= MAX_CHARGED, "seed {}: {most} machines were charged", sim.context.seed);
        assert!(begun * 10 >= all * 9, "seed {}: only {begun} of {all} jobs have begun", sim.context.seed);
    });
}

// Between its first report and the one that shows the token a machine is neither expected nor in use; a
// plan that is made then must not rent another one in its place.
#[test]
fn nothing_is_rented_beside_machines_that_have_just_come_up() {
    for seed in seeds(1..=12) {
        simulate_with(Setup::without_headroom(), seed, async |mut sim| {
            sim.run(s(5)).await;
            submit_work(&mut sim);
            sim.until("all work is done", s(120), |w| w.jobs.values().all(Job::over)).await;
            let w = sim.context.world.lock().unwrap();
            assert_eq!(w.machines.len(), NEEDED, "seed {seed}: machines that were rented\n{}", w.recent(""));
        });
    }
}
