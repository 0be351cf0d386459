//! Changes during random faults.

use crate::fleet::{CONTROLLERS, Fleet, REGIONS, simulate};
use badgerdrift_stand_ins::net::Cut;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Returns the seeds to run: those of the environment variable `BADGERDRIFT_SEED` if it is set, otherwise 1 to 6.
fn seeds() -> Vec<u64> {
    match std::env::var("BADGERDRIFT_SEED") {
        Ok(seeds) => seeds.split(',').map(|seed| seed.trim().parse().unwrap()).collect(),
        Err(_) => (1..=6).collect(),
    }
}

/// Begins or ends one random fault.
fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng) {
    let (region, controller) = (rng.random_range(0..REGIONS), rng.random_range(0..CONTROLLERS));
    match rng.random_range(0..9) {
        0 => fleet.cut_off(region, Some(Cut::Hold)),
        1 => fleet.cut_off(region, Some(Cut::Refuse)),
        2 => fleet.mend(),
        3 => fleet.kill(region, controller),
        4 | 5 => (0..CONTROLLERS).for_each(|controller| fleet.start(region, controller)),
        6 => fleet.state_down(region, true),
        7 => fleet.state_down(region, false),
        _ => fleet.pause(region, controller, rng.random_bool(0.5)),
    }
}

#[test]
fn random_faults_break_no_limit_and_leave_one_history() {
    for seed in seeds() {
        simulate(seed, true, async move |mut fleet| {
            let mut rng = StdRng::seed_from_u64(seed);
            fleet.begin().await;
            for _ in 0..40 {
                inject_fault(&mut fleet, &mut rng);
                let region = rng.random_range(0..REGIONS);
                let shares = [(); REGIONS].map(|()| f64::from(rng.random_range(0..20)));
                let team = if rng.random_bool(0.5) { "red" } else { "blue" };
                let change = fleet.team_change(region, team, shares);
                let wait = std::time::Duration::from_millis(rng.random_range(10..4000));
                let _ =
                    tokio::time::timeout(wait, fleet.apply(region, rng.random_range(0..CONTROLLERS), &change)).await;
                fleet.run(rng.random_range(0.0..3.0)).await;
            }
            for region in 0..REGIONS {
                fleet.state_down(region, false);
                for controller in 0..CONTROLLERS {
                    fleet.pause(region, controller, false);
                    fleet.start(region, controller);
                }
            }
            fleet.mend();
            fleet.run(30.0).await;
            let version = fleet.take(0, "red", [1.0, 2.0, 3.0]).await;
            fleet.until("in force", 20.0, || (0..REGIONS).all(|region| fleet.applied(region).version >= version)).await;
            fleet
                .until("all shares moved", 30.0, || {
                    (0..REGIONS).all(|region| fleet.limit(region, "red") == 1.0 + region as f64)
                })
                .await;
        });
    }
}
