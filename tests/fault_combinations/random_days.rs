//! Scenarios with random faults. The seeds that fail are printed.

use crate::simulation::{seeds, simulate, simulate_with};
use badgerdrift_stand_ins::{RandomDay, Setup};

/// Seed with which one of two machines is faulty and a gang needs both zones.
const FAULTY_MACHINE_OF_TWO: u64 = 497;

/// Runs a scenario for each of the seeds on four threads, and fails with those seeds that failed.
pub fn run_all(seeds: &[u64], scenario: impl Fn(u64) + Sync + std::panic::RefUnwindSafe) {
    let failed = std::sync::Mutex::new(Vec::new());
    let next = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
                    if std::panic::catch_unwind(|| scenario(*seed)).is_err() {
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
fn a_day_without_faults_is_settled() {
    simulate(1, async |mut sim| {
        sim.random_day(60.0, 0).await;
        sim.settle().await;
    });
}

#[test]
fn random_faults_break_no_rule() {
    run_all(&seeds((1..=12).chain([FAULTY_MACHINE_OF_TWO])), |seed| {
        let setup = Setup { time_of_day_stands: true, ..Setup::default() };
        simulate_with(setup, seed, async |mut sim| {
            sim.random_day(90.0, 4 + (seed % 4) as usize).await;
            sim.settle().await;
        });
    });
}

// Adds paused controllers, poll storms, failed boots, jobs that fail on every machine and guests to the other
// faults.
#[test]
fn random_faults_of_all_kinds_break_no_rule() {
    run_all(&seeds(1..=12), |seed| {
        simulate(seed, async |mut sim| {
            sim.random_day_with(90.0, 2 + (seed % 3) as usize, 1 + (seed % 4) as usize).await;
            sim.settle().await;
        });
    });
}

// Adds pipelines, some of whose jobs are cancelled, and lower limits of the state service.
#[test]
fn random_faults_break_no_rule_of_pipelines() {
    run_all(&seeds(1..=16), |seed| {
        simulate(seed, async |mut sim| {
            let faults = 2 + (seed % 4) as usize;
            let day =
                RandomDay { day_s: 90.0, faults, later: (seed % 3) as usize, pipelines: 6, ..RandomDay::default() };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    });
}

// Controllers begin as the version in production and are replaced while faults occur.
#[test]
fn random_faults_break_no_rule_while_controllers_are_upgraded() {
    run_all(&seeds(1..=16), |seed| {
        let setup = Setup { production: true, ..Setup::default() };
        simulate_with(setup, seed, async |mut sim| {
            let faults = 2 + (seed % 4) as usize;
            let day = RandomDay {
                day_s: 110.0,
                faults,
                later: (seed % 3) as usize,
                pipelines: 3,
                rollout: true,
                ..RandomDay::default()
            };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    });
}

// Jobs depend on jobs of other partitions.
#[test]
fn random_faults_break_no_rule_of_pipelines_over_several_partitions() {
    run_all(&seeds(1..=8), |seed| {
        let mut setup = Setup::default();
        setup.operator.partitions = 3;
        simulate_with(setup, seed, async |mut sim| {
            let day =
                RandomDay { day_s: 90.0, faults: (seed % 4) as usize, later: 0, pipelines: 5, ..RandomDay::default() };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    });
}
