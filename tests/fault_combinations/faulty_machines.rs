//! Machines on which every task fails.

use crate::scenario::{run_without_headroom, seconds};
use badgerdrift_stand_ins::world::SimulationState;

/// Maximum time, in seconds, until another machine has booted and the gang has run on it.
const DONE_S: u64 = 60;
/// Maximum time, in seconds, until a machine that is known to be faulty is terminated.
const TERMINATED_S: u64 = 20;
/// Maximum number of starts on the faulty machine. One more start may be under way when the scheduler begins to
/// avoid the machine.
const MAX_STARTS_ON_FAULTY: usize = 2;

// The gang needs both zones, so another machine must be launched in the zone of the faulty one. Without that
// the gang is started on the faulty machine again and again.
#[test]
fn a_gang_avoids_the_faulty_machine_of_a_fleet_of_two() {
    run_without_headroom(async |sim| {
        sim.run(seconds(5)).await;
        let mut gang = sim.job("group", 2);
        (gang.apart, gang.cards, gang.run_s) = (true, 2.5, 4.0);
        let gang = sim.submit(gang);
        sim.until("two machines are launched", seconds(10), |world| world.machines.len() >= 2).await;
        let faulty = {
            let mut world = sim.context.world.lock().unwrap();
            let index = sim.context.seed as usize % 2;
            let machine = world.machines.values_mut().nth(index).unwrap();
            machine.faulty = true;
            machine.id.clone()
        };
        sim.until("the gang is done", seconds(DONE_S), |world| world.jobs[&gang].done_told.is_some()).await;
        sim.until("the faulty machine is terminated", seconds(TERMINATED_S), |world: &SimulationState| {
            !world.machines[&faulty].exists()
        })
        .await;
        let start = format!("{faulty} starts {gang}/");
        let starts = sim.context.world.lock().unwrap().history.iter().filter(|h| h.contains(&start)).count();
        assert!((1..=MAX_STARTS_ON_FAULTY).contains(&starts), "seed {}: {starts} starts on {faulty}", sim.context.seed);
    });
}
