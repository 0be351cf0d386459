//! Troubles that meet: whole deployments in simulated time. A failed day prints
//! its seed; `BADGERDRIFT_SEED=7 cargo test --test meetings random` runs it again.

mod sim;
#[path = "stand_ins/store.rs"]
mod store;

use sim::net::Cut;
use sim::{NODES, controller, seeds, simulate};
use std::time::Duration;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn a_day_without_troubles_is_settled() {
    simulate(1, async |mut sim| {
        sim.random_day(60.0, 0).await;
        sim.settle().await;
    });
}

#[test]
fn random_troubles_break_no_rule() {
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
            let all = |w: &sim::world::World| w.jobs.values().all(|j| j.accepted.is_some());
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
