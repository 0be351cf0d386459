//! Combinations of faults: whole deployments in simulated time. A failed day prints
//! its seed; `BADGERDRIFT_SEED=7 cargo test --test fault_combinations random` runs it again.

mod sim;
#[path = "stand_ins/store.rs"]
mod store;

use sim::net::Cut;
use sim::{NODES, Sim, controller, seeds, simulate, state_of};
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_day_without_faults_is_settled() {
    simulate(1, async |mut sim| {
        sim.random_day(60.0, 0).await;
        sim.settle().await;
    });
}

#[test]
fn random_faults_break_no_rule() {
    let seeds = seeds(1..=12);
    let failed = std::sync::Mutex::new(Vec::new());
    let next = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
                    let day = || {
                        simulate(*seed, async |mut sim| {
                            sim.random_day(90.0, 4 + (*seed % 4) as usize).await;
                            sim.settle().await;
                        });
                    };
                    if std::panic::catch_unwind(day).is_err() {
                        failed.lock().unwrap().push(*seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

#[test]
fn cancelled_while_the_leader_alone_is_refused_and_an_outage_follows() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            let ids: Vec<String> = ["service", "batch", "group"]
                .into_iter()
                .map(|shape| {
                    let mut j = sim.job(shape, 2);
                    j.run_s = 300.0;
                    sim.submit(j)
                })
                .collect();
            sim.run(s(15)).await;
            let leader = sim.leader().expect("there is a leader");
            let others: Vec<usize> = (0..NODES).filter(|n| *n != leader).collect();
            sim.refuse_state(leader, true);
            sim.run(s(1)).await;
            for id in &ids {
                sim.cancel(id, &others);
            }
            sim.run(s(1 + 2 * seed)).await;
            sim.state_down(true);
            sim.run(s(25)).await;
            sim.state_down(false);
            sim.refuse_state(leader, false);
            sim.settle().await;
        });
    }
}

// Who can't reach the leader reads the record; the leader has lost the answer to its write.
#[test]
fn a_lost_answer_as_a_job_is_done_confuses_no_user() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.run(s(5)).await;
            let ids: Vec<String> = ["batch", "group", "batch"]
                .into_iter()
                .map(|shape| {
                    let j = sim.job(shape, 2);
                    sim.submit(j)
                })
                .collect();
            let all = |w: &sim::world::SimulationState| w.jobs.values().all(|j| j.accepted.is_some());
            sim.until("all are accepted", s(30), all).await;
            let leader = sim.leader().expect("there is a leader");
            let cut_off = (leader + 1) % NODES;
            sim.cut(controller(leader), controller(cut_off), Some(Cut::Refuse));
            sim.lost_answers(0.7);
            for _ in 0..150 {
                ids.iter().for_each(|id| sim.ask_all(id));
                sim.run(Duration::from_millis(150)).await;
            }
            sim.settle().await;
        });
    }
}

#[test]
fn late_copies_of_all_reports_reach_a_new_leader() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.keep_reports();
            for shape in ["batch", "group", "service", "batch"] {
                let mut j = sim.job(shape, 2);
                j.run_s = 8.0;
                sim.submit(j);
            }
            // Long enough for machines to be returned.
            sim.run(s(40)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            // Each task takes most of a machine: there is none left for both.
            let mut j = sim.job("group", 2);
            j.cards = 3.0;
            sim.submit(j);
            sim.run(s(30)).await;
            // Nothing else needs the room: only a mate on a machine that is long gone,
            // as its late report was believed, makes a task wait in vain or be stopped.
            let stopped = sim.g.w.lock().unwrap().stopped.clone();
            assert!(stopped.is_empty(), "seed {seed}: a task started, and its mates did not: {stopped:?}");
            sim.start(leader);
            sim.settle().await;
        });
    }
}

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

/// A few seeds of a scripted day; each ends settled.
fn days(day: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            day(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Jobs of every shape that run for so long, accepted and placed.
async fn long_jobs(sim: &mut Sim, run_s: f64) -> Vec<String> {
    let mut ids = Vec::new();
    for shape in ["service", "batch", "group"] {
        let mut j = sim.job(shape, 2);
        j.run_s = run_s;
        ids.push(sim.submit(j));
    }
    sim.run(s(15)).await;
    ids
}

fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|n| *n != node).collect()
}

/// Of the machines that are up every `step`th is troubled until then.
fn machines(sim: &Sim, step: usize, put: impl Fn(&mut sim::world::Machine)) {
    let now = tokio::time::Instant::now();
    let mut w = sim.g.w.lock().unwrap();
    w.machines.values_mut().filter(|m| m.alive(now)).step_by(step).for_each(put);
}

// The reads of a takeover fail, and are tried again until the outage is over: each try
// must not ask for two more, and the partition must not begin twice.
#[test]
fn an_outage_begins_between_taking_the_partition_and_reading_its_records() {
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
        sim.g.fabric.mend();
    });
}

// Machines hang or are cut off while their jobs are cancelled, the leader is refused and
// ends, and the state service is out for longer than `cancel_s`.
#[test]
fn machines_hang_while_their_jobs_are_cancelled_in_the_gap() {
    days(async |sim| {
        let ids = long_jobs(sim, 300.0).await;
        let leader = sim.leader().expect("there is a leader");
        let until = tokio::time::Instant::now() + s(18);
        machines(sim, 2, |m| m.hang = until);
        machines(sim, 3, |m| m.deaf = until);
        sim.refuse_state(leader, true);
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(s(4)).await;
        sim.state_down(true);
        sim.run(s(6)).await;
        sim.kill(leader);
        sim.run(s(1)).await;
        sim.start(leader);
        sim.run(s(18)).await;
        sim.state_down(false);
        sim.refuse_state(leader, false);
    });
}

// Users ask at all nodes, and repeat the submission, within milliseconds after every
// answer, and some cancel at once, while answers of the state service are lost.
#[test]
fn close_looks_after_acceptances_ends_and_cancellations() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.lost_answers(0.4);
        for n in 0..24 {
            let mut j = sim.job(["batch", "service", "group"][n % 3], 1);
            j.run_s = 1.5;
            let id = sim.submit(j);
            if n % 2 == 0 {
                let known = id.clone();
                sim.until("accepted", s(60), |w| w.jobs[&known].accepted.is_some()).await;
                sim.cancel(&id, &[0, 1, 2]);
            }
            for _ in 0..10 {
                sim.ask_all(&id);
                sim.submit_again(&id);
                sim.run(Duration::from_millis(40)).await;
            }
        }
        sim.lost_answers(0.0);
    });
}

// Transactions without an answer are carried out at once or after newer ones, while the
// leader ends and returns, some of them within a second.
#[test]
fn late_writes_while_leaders_change() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.late_writes(0.25);
        sim.lost_answers(0.25);
        for n in 0..8 {
            for shape in ["batch", "service"] {
                let mut j = sim.job(shape, 2);
                j.run_s = 3.0;
                let id = sim.submit(j);
                if shape == "service" {
                    sim.cancel_later(&id, s(8));
                }
            }
            sim.run(s(5)).await;
            if n % 2 == 1 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(Duration::from_millis(if n % 4 == 1 { 400 } else { 5000 })).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
        sim.lost_answers(0.0);
    });
}

// Every team is at its limit; jobs are cancelled whose machines are cut off or hang, the
// leader changes, and more work waits.
#[test]
fn teams_at_their_limits_while_machines_are_out_of_reach_and_the_leader_changes() {
    days(async |sim| {
        let mut ids = Vec::new();
        for (n, (team, _, cards)) in sim::world::TEAMS.into_iter().enumerate() {
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
            let w = sim.g.w.lock().unwrap();
            w.machines.values().skip(1).step_by(3).map(|m| m.addr.ip()).collect()
        };
        for node in 0..NODES {
            far.iter().for_each(|m| sim.cut(controller(node), *m, Some(Cut::Hold)));
        }
        ids.iter().step_by(2).for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(s(1)).await;
        sim.kill(leader);
        sim.run(s(16)).await;
        sim.g.fabric.mend();
        sim.start(leader);
        sim.run(s(5)).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}

// Cancelled in the very seconds in which the work changes hands, while some machines can't
// be told anything.
#[test]
fn jobs_are_cancelled_while_work_changes_hands() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let ids = long_jobs(&mut sim, 300.0).await;
            let until = tokio::time::Instant::now() + s(8);
            machines(&sim, 2, |m| m.deaf = until);
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(Duration::from_millis(500 * seed)).await;
            ids.iter().for_each(|id| sim.cancel(id, &others(leader)));
            sim.run(s(2)).await;
            sim.start(leader);
            sim.settle().await;
        });
    }
}

// New machines are up at once and get work while writes lag; the leader ends meanwhile.
#[test]
fn new_machines_get_work_while_writes_lag_and_the_leader_ends() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.late_writes(0.4);
        for n in 0..6 {
            for shape in ["service", "group"] {
                let mut j = sim.job(shape, 2);
                (j.cards, j.run_s) = (1.0, 6.0);
                let id = sim.submit(j);
                if shape == "service" {
                    sim.cancel_later(&id, s(9));
                }
            }
            sim.run(Duration::from_millis(2300)).await;
            if n % 2 == 0 {
                let leader = sim.leader().unwrap_or(n % NODES);
                sim.kill(leader);
                sim.run(s(4)).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
    });
}

#[test]
fn one_task_jobs_at_four_a_second_through_takeovers() {
    simulate(1, async |mut sim| {
        sim.run(s(5)).await;
        for n in 0..240 {
            let mut j = sim.job("batch", 1);
            (j.cores, j.cards, j.run_s) = (0.5, 0.0, 1.0);
            let id = sim.submit(j);
            if n % 4 == 0 {
                sim.cancel_later(&id, Duration::from_millis(700 + 10 * n));
            }
            if n % 80 == 60 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(s(1)).await;
                sim.start(leader);
            }
            sim.run(Duration::from_millis(250)).await;
        }
        sim.settle().await;
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
            let w = sim.g.w.lock().unwrap();
            w.machines.values().filter(|m| m.zone == sim::world::ZONES[inside % 2]).map(|m| m.addr.ip()).collect()
        };
        sim.cut(controller(inside), state_of(inside), Some(Cut::Hold));
        for o in others(inside) {
            sim.cut(controller(inside), controller(o), Some(Cut::Hold));
            zone.iter().for_each(|m| sim.cut(controller(o), *m, Some(Cut::Hold)));
        }
        sim.run(s(4)).await;
        ids.iter().for_each(|id| sim.cancel(id, &others(inside)));
        sim.run(s(22)).await;
        sim.g.fabric.mend();
    });
}

// Workers reach no controller while direct commands reach them, and the reverse.
#[test]
fn machines_are_mute_or_deaf_while_the_leader_ends() {
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

// A cancellation or a repeated submission meets the end of a job's last task.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    days(async |sim| {
        sim.run(s(5)).await;
        for n in 0..20 {
            let mut j = sim.job(["batch", "group"][n % 2], 2);
            j.run_s = 2.0;
            let id = sim.submit(j);
            let done = id.clone();
            let ended = |w: &sim::world::SimulationState| w.jobs[&done].all_done();
            while !ended(&sim.g.w.lock().unwrap()) {
                sim.run(Duration::from_millis(5 + n as u64)).await;
            }
            sim.cancel(&id, &[n % NODES]);
            sim.submit_again(&id);
            sim.ask_all(&id);
        }
        sim.run(s(5)).await;
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

// Found on a day of our own: the old leader, cut off, is followed by another, which calls
// jobs done and cancelled; in an outage that one ends, the cut ends, and all others would
// promise to the old leader again, whose memory is from before.
#[test]
fn an_old_leader_is_not_entitled_again_after_the_next_one_ended_in_an_outage() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let mut ids = long_jobs(&mut sim, 300.0).await;
            for _ in 0..3 {
                let mut j = sim.job("batch", 2);
                (j.cards, j.run_s) = (0.5, 5.0);
                ids.push(sim.submit(j));
            }
            let all = |w: &sim::world::SimulationState| w.jobs.values().all(|j| j.accepted.is_some());
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
            sim.g.fabric.mend();
            for _ in 0..100 {
                ids.iter().for_each(|id| sim.ask_all(id));
                sim.run(Duration::from_millis(200)).await;
            }
            let on =
                sim.g.w.lock().unwrap().machines.values().any(|m| m.copies.keys().any(|k| k.0.starts_with(&third)));
            assert!(on, "seed {seed}: the gang's lease ran out, as nobody kept it alive");
            sim.cancel(&third, &[0, 1, 2]);
            sim.state_down(false);
            sim.settle().await;
        });
    }
}
