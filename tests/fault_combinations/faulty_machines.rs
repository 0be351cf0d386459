//! Machines on which every task fails.

use crate::scenario::{days_without_headroom, s};
use badgerdrift_stand_ins::world::SimulationState;

/// Within this time another machine has booted, and the gang has run on it.
const DONE_S: u64 = 60;
/// Within this time a machine that is known to be faulty is returned.
const RETURNED_S: u64 = 20;
/// Starts on the faulty machine until it is avoided; one more may be under way.
const STARTS_THERE: usize = 2;

// The gang needs both zones, so that another machine must be rented in one of them.
#[test]
fn a_gang_avoids_the_faulty_machine_of_a_fleet_of_two() {
    days_without_headroom(async |sim| {
        sim.run(s(5)).await;
        let mut gang = sim.job("group", 2);
        (gang.apart, gang.cards, gang.run_s) = (true, 2.5, 4.0);
        let gang = sim.submit(gang);
        sim.until("two machines are rented", s(10), |w| w.machines.len() >= 2).await;
        let faulty = {
            let mut w = sim.context.world.lock().unwrap();
            let n = sim.context.seed as usize % 2;
            let machine = w.machines.values_mut().nth(n).unwrap();
            machine.faulty = true;
            machine.id.clone()
        };
        sim.until("the gang is done", s(DONE_S), |w| w.jobs[&gang].done_told.is_some()).await;
        sim.until("the faulty machine is returned", s(RETURNED_S), |w: &SimulationState| !w.machines[&faulty].exists())
            .await;
        let start = format!("{faulty} starts {gang}/");
        let starts = sim.context.world.lock().unwrap().history.iter().filter(|h| h.contains(&start)).count();
        assert!((1..=STARTS_THERE).contains(&starts), "seed {}: {starts} starts on {faulty}", sim.context.seed);
    });
}
