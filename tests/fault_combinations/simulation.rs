//! Runs scenarios in simulated time, each the same for the same seed.

use badgerdrift_stand_ins::{Setup, Sim};
use std::future::Future;

/// Runs one scenario in simulated time, on a thread of its own.
pub fn simulate<F: Future<Output = ()>>(seed: u64, scenario: impl FnOnce(Sim) -> F + Send) {
    simulate_with(Setup::default(), seed, scenario);
}

/// Runs one scenario like [`simulate`], with another setup.
pub fn simulate_with<F: Future<Output = ()>>(setup: Setup, seed: u64, scenario: impl FnOnce(Sim) -> F + Send) {
    if std::env::var_os("BADGERDRIFT_TRACE").is_some() {
        let _ = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG).with_ansi(false).try_init();
    }
    let run = || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(async { scenario(Sim::new(seed, setup)).await });
    };
    let ended = std::thread::scope(|scope| scope.spawn(run).join());
    if let Err(panic) = ended {
        std::panic::resume_unwind(panic);
    }
}

/// Returns the seeds to run: those of the environment variable `BADGERDRIFT_SEED` if it is set, otherwise these.
pub fn seeds(fixed: impl IntoIterator<Item = u64>) -> Vec<u64> {
    match std::env::var("BADGERDRIFT_SEED") {
        Ok(seeds) => seeds.split(',').map(|seed| seed.trim().parse().expect("BADGERDRIFT_SEED is a number")).collect(),
        Err(_) => fixed.into_iter().collect(),
    }
}
