//! Teams that use all of their limits.

use crate::scenario::{machines, run_with_seeds, seconds};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, world};

// Jobs are cancelled whose machines are cut off or hang while the leader changes and more work waits. Capacity
// that is still in use there must count against the team's limit.
#[test]
fn team_limits_hold_while_machines_are_unreachable_and_the_leader_changes() {
    run_with_seeds(async |sim| {
        let mut ids = Vec::new();
        for (index, (team, _, cards)) in world::TEAMS.into_iter().enumerate() {
            for _ in 0..(cards as usize) {
                let mut job = sim.job("service", 1);
                (job.team, job.cards) = (team, 1.0);
                ids.push(sim.submit(job));
            }
            let mut job = sim.job(["batch", "group"][index % 2], 2);
            (job.team, job.run_s) = (team, 4.0);
            sim.submit(job);
        }
        sim.run(seconds(15)).await;
        let until = tokio::time::Instant::now() + seconds(14);
        machines(sim, 3, |m| m.hang = until);
        let leader = sim.leader().expect("there is a leader");
        let cut_off: Vec<_> = {
            let world = sim.context.world.lock().unwrap();
            world.machines.values().skip(1).step_by(3).map(|m| m.addr.ip()).collect()
        };
        for node in 0..NODES {
            cut_off.iter().for_each(|m| sim.cut(controller(node), *m, Some(Cut::Hold)));
        }
        ids.iter().step_by(2).for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(seconds(1)).await;
        sim.kill(leader);
        sim.run(seconds(16)).await;
        sim.context.network.mend();
        sim.start(leader);
        sim.run(seconds(5)).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}
