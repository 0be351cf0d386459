//! The leader of the jobs is cut off, refused or ends.

use crate::scenario::{days, long_jobs, machines, others, s};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, state_of, world};
use std::time::Duration;

#[test]
fn leaders_change_ten_times_with_an_outage_inside() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            for shape in ["batch", "group", "service", "batch", "group"] {
                let mut j = sim.job(shape, 2);
                (j.run_s, j.checkpoint_s, j.flush_s) = (20.0, 5.0, 1.0);
                sim.submit(j);
            }
            for change in 0..10 {
                sim.run(s(10)).await;
                let leader = sim.leader().unwrap_or(change % NODES);
                sim.kill(leader);
                if change == 4 {
                    sim.state_down(true);
                }
                sim.run(Duration::from_millis(if change % 2 == 0 { 500 } else { 4000 })).await;
                sim.start(leader);
                if change == 5 {
                    sim.state_down(false);
                }
            }
            sim.settle().await;
        });
    }
}

// The reads of a failover fail, and are tried again until the outage is over: each try
// must not ask for two more, and the partition must not begin twice.
#[test]
fn an_outage_begins_between_acquiring_the_partition_and_reading_its_records() {
    days(async |sim| {
        long_jobs(sim, 60.0).await;
        let leader = sim.leader().expect("there is a leader");
        sim.kill(leader);
        while sim.leader().is_none_or(|l| l == leader) {
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        sim.state_down(true);
        // A storm of requests fails the day, too.
        sim.run(s(20)).await;
        sim.state_down(false);
        sim.start(leader);
    });
}

// The old leader is cut from the state service and the other controllers; its workers and
// users still reach it. Jobs are cancelled through the new one, and then all lose the service.
#[test]
fn a_leader_cut_off_with_its_workers_while_jobs_are_cancelled_elsewhere() {
    days(async |sim| {
        let ids = long_jobs(sim, 300.0).await;
        let leader = sim.leader().expect("there is a leader");
        sim.cut(controller(leader), state_of(leader), Some(Cut::Hold));
        others(leader).into_iter().for_each(|o| sim.cut(controller(leader), controller(o), Some(Cut::Hold)));
        sim.run(s(1)).await;
        ids.iter().for_each(|id| sim.cancel(id, &others(leader)));
        sim.run(s(3)).await;
        sim.state_down(true);
        sim.run(s(25)).await;
        sim.state_down(false);
        sim.run(s(5)).await;
        sim.context.network.mend();
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    days(async |sim| {
        let ids = long_jobs(sim, 30.0).await;
        sim.late_reports(0.5);
        (0..NODES).for_each(|n| sim.kill(n));
        sim.run(s(14)).await;
        (0..NODES).for_each(|n| sim.start(n));
        sim.run(Duration::from_millis(800)).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        sim.run(s(10)).await;
    });
}

// A zone with a controller and machines is cut off from everything for longer than a lease,
// and the jobs there are cancelled from outside.
#[test]
fn a_zone_with_a_controller_is_cut_off_for_longer_than_a_lease() {
    days(async |sim| {
        let ids = long_jobs(sim, 300.0).await;
        let inside = sim.leader().expect("there is a leader");
        let zone: Vec<_> = {
            let w = sim.context.world.lock().unwrap();
            w.machines.values().filter(|m| m.zone == world::ZONES[inside % 2]).map(|m| m.addr.ip()).collect()
        };
        sim.cut(controller(inside), state_of(inside), Some(Cut::Hold));
        for o in others(inside) {
            sim.cut(controller(inside), controller(o), Some(Cut::Hold));
            zone.iter().for_each(|m| sim.cut(controller(o), *m, Some(Cut::Hold)));
        }
        sim.run(s(4)).await;
        ids.iter().for_each(|id| sim.cancel(id, &others(inside)));
        sim.run(s(22)).await;
        sim.context.network.mend();
    });
}

// Workers reach no controller while direct commands reach them, and the reverse.
#[test]
fn machines_are_mute_or_unreachable_while_the_leader_ends() {
    days(async |sim| {
        let ids = long_jobs(sim, 40.0).await;
        let until = tokio::time::Instant::now() + s(16);
        machines(sim, 2, |m| m.mute = until);
        machines(sim, 3, |m| m.deaf = until);
        let leader = sim.leader().expect("there is a leader");
        sim.kill(leader);
        sim.run(s(6)).await;
        sim.cancel(&ids[0], &others(leader));
        sim.run(s(12)).await;
        sim.start(leader);
    });
}

// Jobs of several tasks that end far apart, across changes of the leader.
#[test]
fn tasks_end_far_apart_across_changes_of_the_leader() {
    days(async |sim| {
        let mut ids = Vec::new();
        for n in 0..4 {
            let mut j = sim.job("batch", 3);
            j.run_s = 4.0 + 6.0 * f64::from(n);
            ids.push(sim.submit(j));
        }
        for _ in 0..4 {
            sim.run(s(6)).await;
            let leader = sim.leader().unwrap_or(0);
            sim.kill(leader);
            sim.late_reports(0.4);
            sim.run(s(3)).await;
            sim.start(leader);
        }
        sim.late_reports(0.0);
    });
}

// The former leader, cut off, is succeeded by another, which reports jobs as done and cancelled;
// during an outage that one ends, the cut ends, and all others would give pledges to the former
// leader again, whose state is out of date.
#[test]
fn a_former_leader_has_no_lease_again_after_its_successor_ended_in_an_outage() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let mut ids = long_jobs(&mut sim, 300.0).await;
            for _ in 0..3 {
                let mut j = sim.job("batch", 2);
                (j.cards, j.run_s) = (0.5, 5.0);
                ids.push(sim.submit(j));
            }
            let all = |w: &world::SimulationState| w.jobs.values().all(|j| j.accepted.is_some());
            sim.until("all are accepted", s(10), all).await;
            let old = sim.leader().expect("there is a leader");
            sim.cut(controller(old), state_of(old), Some(Cut::Hold));
            others(old).into_iter().for_each(|o| sim.cut(controller(old), controller(o), Some(Cut::Hold)));
            sim.run(s(4)).await;
            ids[..2].to_vec().iter().for_each(|id| sim.cancel(id, &others(old)));
            sim.run(s(3 + seed)).await;
            let third = ids[2].clone();
            let next = sim.leader().expect("there is a next leader");
            sim.state_down(true);
            sim.run(s(2)).await;
            sim.kill(next);
            sim.run(Duration::from_millis(400)).await;
            sim.start(next);
            sim.context.network.mend();
            for _ in 0..100 {
                ids.iter().for_each(|id| sim.ask_all(id));
                sim.run(Duration::from_millis(200)).await;
            }
            let on = sim
                .context
                .world
                .lock()
                .unwrap()
                .machines
                .values()
                .any(|m| m.copies.keys().any(|k| k.0.starts_with(&third)));
            assert!(on, "seed {seed}: the gang's lease ran out, as nobody kept it alive");
            sim.cancel(&third, &[0, 1, 2]);
            sim.state_down(false);
            sim.settle().await;
        });
    }
}
