//! Teams at their limits.

use crate::scenario::{days, machines, s};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, world};

// Every team is at its limit; jobs are cancelled whose machines are cut off or hang, the
// leader changes, and more work waits.
#[test]
fn teams_at_their_limits_while_machines_are_out_of_reach_and_the_leader_changes() {
    days(async |sim| {
        let mut ids = Vec::new();
        for (n, (team, _, cards)) in world::TEAMS.into_iter().enumerate() {
            for _ in 0..(cards as usize) {
                let mut j = sim.job("service", 1);
                (j.team, j.cards) = (team, 1.0);
                ids.push(sim.submit(j));
            }
            let mut j = sim.job(["batch", "group"][n % 2], 2);
            (j.team, j.run_s) = (team, 4.0);
            sim.submit(j);
        }
        sim.run(s(15)).await;
        let until = tokio::time::Instant::now() + s(14);
        machines(sim, 3, |m| m.hang = until);
        let leader = sim.leader().expect("there is a leader");
        let far: Vec<_> = {
            let w = sim.context.world.lock().unwrap();
            w.machines.values().skip(1).step_by(3).map(|m| m.addr.ip()).collect()
        };
        for node in 0..NODES {
            far.iter().for_each(|m| sim.cut(controller(node), *m, Some(Cut::Hold)));
        }
        ids.iter().step_by(2).for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(s(1)).await;
        sim.kill(leader);
        sim.run(s(16)).await;
        sim.context.network.mend();
        sim.start(leader);
        sim.run(s(5)).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}
