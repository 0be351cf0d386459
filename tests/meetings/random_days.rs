//! Days with random faults; the seeds that failed are printed.

use crate::sim::{seeds, simulate};

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
