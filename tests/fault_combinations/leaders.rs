//! Leaders that end, are cut off or are refused by the state service.

use crate::scenario::{machines, others, run_with_seeds, seconds, submit_long_jobs};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, state_of, world};
use std::time::Duration;

#[test]
fn ten_failovers_around_an_outage_of_the_state_service_break_no_rule() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            for shape in ["batch", "group", "service", "batch", "group"] {
                let mut job = sim.job(shape, 2);
                (job.run_s, job.checkpoint_s, job.flush_s) = (20.0, 5.0, 1.0);
                sim.submit(job);
            }
            for change in 0..10 {
                sim.run(seconds(10)).await;
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

// The reads of a takeover fail and are retried until the outage has ended. A retry must not cause two more
// reads, and the partition must not be started twice.
#[test]
fn an_outage_between_acquiring_a_partition_and_reading_its_records_multiplies_no_reads() {
    run_with_seeds(async |sim| {
        submit_long_jobs(sim, 60.0).await;
        let leader = sim.leader().expect("there is a leader");
        sim.kill(leader);
        while sim.leader().is_none_or(|l| l == leader) {
            tokio::time::sleep(Duration::from_micros(200)).await;
        }
        sim.state_down(true);
        // The simulation also fails if too many requests reach the state service.
        sim.run(seconds(20)).await;
        sim.state_down(false);
        sim.start(leader);
    });
}

// The old leader is cut off from the state service and the other controllers, while its workers and users
// still reach it. Jobs are cancelled through the new leader, and then the state service fails for all.
#[test]
fn jobs_are_cancelled_by_a_new_leader_while_the_old_one_still_reaches_its_workers() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 300.0).await;
        let leader = sim.leader().expect("there is a leader");
        sim.cut(controller(leader), state_of(leader), Some(Cut::Hold));
        others(leader).into_iter().for_each(|other| sim.cut(controller(leader), controller(other), Some(Cut::Hold)));
        sim.run(seconds(1)).await;
        ids.iter().for_each(|id| sim.cancel(id, &others(leader)));
        sim.run(seconds(3)).await;
        sim.state_down(true);
        sim.run(seconds(25)).await;
        sim.state_down(false);
        sim.run(seconds(5)).await;
        sim.context.network.mend();
    });
}

#[test]
fn jobs_continue_after_all_controllers_were_down_for_longer_than_a_lease() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 30.0).await;
        sim.late_reports(0.5);
        (0..NODES).for_each(|node| sim.kill(node));
        sim.run(seconds(14)).await;
        (0..NODES).for_each(|node| sim.start(node));
        sim.run(Duration::from_millis(800)).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        sim.run(seconds(10)).await;
    });
}

// A zone with a controller and machines is cut off from the rest for longer than a lease, while its jobs are
// cancelled through controllers outside.
#[test]
fn jobs_are_cancelled_in_a_zone_cut_off_for_longer_than_a_lease() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 300.0).await;
        let inside = sim.leader().expect("there is a leader");
        let zone: Vec<_> = {
            let world = sim.context.world.lock().unwrap();
            world.machines.values().filter(|m| m.zone == world::ZONES[inside % 2]).map(|m| m.addr.ip()).collect()
        };
        sim.cut(controller(inside), state_of(inside), Some(Cut::Hold));
        for other in others(inside) {
            sim.cut(controller(inside), controller(other), Some(Cut::Hold));
            zone.iter().for_each(|m| sim.cut(controller(other), *m, Some(Cut::Hold)));
        }
        sim.run(seconds(4)).await;
        ids.iter().for_each(|id| sim.cancel(id, &others(inside)));
        sim.run(seconds(22)).await;
        sim.context.network.mend();
    });
}

// Some workers receive direct commands but reach no controller, and others the reverse.
#[test]
fn one_way_cuts_of_machines_during_a_failover_break_no_rule() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 40.0).await;
        let until = tokio::time::Instant::now() + seconds(16);
        machines(sim, 2, |m| m.mute = until);
        machines(sim, 3, |m| m.deaf = until);
        let leader = sim.leader().expect("there is a leader");
        sim.kill(leader);
        sim.run(seconds(6)).await;
        sim.cancel(&ids[0], &others(leader));
        sim.run(seconds(12)).await;
        sim.start(leader);
    });
}

// The ends of some tasks are reported to one leader and those of others to its successors, with late
// heartbeats in between.
#[test]
fn jobs_of_different_lengths_finish_across_failovers() {
    run_with_seeds(async |sim| {
        let mut ids = Vec::new();
        for index in 0..4 {
            let mut job = sim.job("batch", 3);
            job.run_s = 4.0 + 6.0 * f64::from(index);
            ids.push(sim.submit(job));
        }
        for _ in 0..4 {
            sim.run(seconds(6)).await;
            let leader = sim.leader().unwrap_or(0);
            sim.kill(leader);
            sim.late_reports(0.4);
            sim.run(seconds(3)).await;
            sim.start(leader);
        }
        sim.late_reports(0.0);
    });
}

// A leader is cut off, and its successor reports jobs as done and cancelled. The successor ends during an
// outage of the state service and the cut is repaired. If the other controllers gave pledges to the former
// leader again, it would act on outdated state.
#[test]
fn a_former_leader_regains_no_lease_after_its_successor_ended_in_an_outage() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let mut ids = submit_long_jobs(&mut sim, 300.0).await;
            for _ in 0..3 {
                let mut job = sim.job("batch", 2);
                (job.cards, job.run_s) = (0.5, 5.0);
                ids.push(sim.submit(job));
            }
            let all = |world: &world::SimulationState| world.jobs.values().all(|job| job.accepted.is_some());
            sim.until("all are accepted", seconds(10), all).await;
            let old = sim.leader().expect("there is a leader");
            sim.cut(controller(old), state_of(old), Some(Cut::Hold));
            others(old).into_iter().for_each(|other| sim.cut(controller(old), controller(other), Some(Cut::Hold)));
            sim.run(seconds(4)).await;
            ids[..2].to_vec().iter().for_each(|id| sim.cancel(id, &others(old)));
            sim.run(seconds(3 + seed)).await;
            let gang = ids[2].clone();
            let next = sim.leader().expect("there is a next leader");
            sim.state_down(true);
            sim.run(seconds(2)).await;
            sim.kill(next);
            sim.run(Duration::from_millis(400)).await;
            sim.start(next);
            sim.context.network.mend();
            for _ in 0..100 {
                ids.iter().for_each(|id| sim.ask_all(id));
                sim.run(Duration::from_millis(200)).await;
            }
            let runs = sim
                .context
                .world
                .lock()
                .unwrap()
                .machines
                .values()
                .any(|m| m.copies.keys().any(|k| k.0.starts_with(&gang)));
            assert!(runs, "seed {seed}: the gang's leases expired because no controller renewed them");
            sim.cancel(&gang, &[0, 1, 2]);
            sim.state_down(false);
            sim.settle().await;
        });
    }
}
