//! Measures the time of scheduling cycles with and without borrowing, on a full fleet with a burst that
//! needs capacity.
//!
//!     cargo run --release --example pass_cost -- 480 4000

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a measurement: a wrong assumption ends it")]

use badgerdrift::control::partition::Partition;
use badgerdrift::model::{Demand, FencingToken, FencingTokenRange, Host, InstanceType, Job, Shape, Spec, Urgency};
use badgerdrift::scheduling::{Policy, TeamRule};
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift_borrowing::BorrowingSettings;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Accelerators of a machine.
const GPUS: f64 = 8.0;
const TEAMS: [&str; 4] = ["desk", "night", "tune", "idle"];
/// Number of tasks of a night run.
const TASKS: u32 = 16;
/// Number of scheduling cycles that are timed after the one with the burst.
const CYCLES: u64 = 20;
const SETTINGS: &str = "node = \"n0\"\nsite = \"a\"\nserve_on = \"127.0.0.1:1\"\ninternal_addr = \"127.0.0.1:2\"\n\
    [endpoints]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n[params]\nzones = [\"a\"]\n\
    [params.workers]\nreport_s = 4.0\nlease_s = 22.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 30.0\n\
    [params.state]\nrps = 100.0\nwrite_rps = 40.0\nvalue_kb = 32.0\ntxn_ops = 32\n\
    [params.cloud]\nrps = 6.0\nlist_lag_s = 10.0\n[params.limits]\nmax_sockets = 800\n\
    [[params.teams]]\nname = \"desk\"\n";

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    println!("machines  borrowing  pass that fills ms  pass with a burst ms  later passes ms  stops");
    for machines in sizes {
        for borrowing in [false, true] {
            measure(machines, borrowing);
        }
    }
}

fn measure(machines: usize, borrowing: bool) {
    let mut fleet = fleet(machines, borrowing);
    let night_runs = machines * GPUS as usize / TASKS as usize + machines / 20 + 1;
    for number in 0..night_runs {
        let team = TEAMS[1 + number % 3];
        add(&mut fleet, number, team, Shape::Batch, Urgency::Normal, TASKS);
    }
    let first = timed(|| fleet.schedule(1000, 1000));
    // The machines have started the tasks that were assigned to them.
    for host in fleet.cluster_mut().hosts.iter_mut().flatten() {
        host.attempts.iter_mut().for_each(|attempt| attempt.phase = badgerdrift::model::TaskPhase::Running);
    }
    for number in 0..machines / 4 {
        add(&mut fleet, night_runs + number, "desk", Shape::Service, Urgency::High, 4);
    }
    fleet.maintain_loans(2000, 2000);
    let burst = timed(|| fleet.schedule(2000, 2000));
    let later = timed(|| (1..=CYCLES).for_each(|n| fleet.schedule(2000 + n, 2000 + n))) / CYCLES as u32;
    let attempts = fleet.cluster().each_host().flat_map(|(_, host)| &host.attempts);
    let stops = attempts.filter(|attempt| attempt.stop.is_some()).count();
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    println!("{machines:8}  {borrowing:9}  {:18.1}  {:20.1}  {:15.1}  {stops:5}", ms(first), ms(burst), ms(later));
}

fn timed(work: impl FnOnce()) -> Duration {
    let began = Instant::now();
    work();
    began.elapsed()
}

/// Creates a partition of empty machines and four teams, each with a guarantee of a sixth of the
/// accelerators.
fn fleet(machines: usize, borrowing: bool) -> Partition {
    let settings: Settings = toml::from_str(SETTINGS).expect("the settings are sound");
    let mut policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let unlimited = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };
    for team in TEAMS {
        let gpus = machines as f64 * GPUS / 6.0;
        let guarantee = Demand { cpus: 0.0, gpus, mem: f64::INFINITY };
        policy
            .teams
            .insert(team.into(), TeamRule { guarantee, limit: unlimited, limit_is_final: true, removed: false });
    }
    let mut partition = Partition::new(policy, 0, settings.partitions_of_teams(1), settings.write_limits());
    let instance_type = InstanceType {
        name: "g8".into(),
        cap: Demand { cpus: 64.0, gpus: GPUS, mem: 512.0 },
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 30.0,
        zones: vec!["a".into()],
    };
    partition.begin_leadership(
        FencingTokenRange::following(FencingToken::NONE),
        1,
        Vec::new(),
        Vec::new(),
        vec![instance_type],
        0,
    );
    for number in 0..machines {
        let mut host = Host::new(format!("host-{number:06}"), "a".into(), false, Some(0), 0);
        (host.registered, host.reconciled) = (true, true);
        host.addr = Some(([10, 0, 0, 1], 9000).into());
        partition.cluster_mut().add_host(host);
    }
    if borrowing {
        partition.enable_borrowing(Arc::new(borrowing_settings()));
        partition.maintain_loans(1, 1);
    }
    partition
}

fn borrowing_settings() -> BorrowingSettings {
    let lenders = TEAMS[1..].iter().map(|team| format!(r#""{team}": {{"to": ["desk"], "up_to": "standard"}}"#));
    let lenders = lenders.collect::<Vec<_>>().join(",");
    serde_json::from_str(&format!(r#"{{"lender": {{{lenders}}}, "borrower": {{"desk": {{"from": "urgent"}}}}}}"#))
        .expect("the settings are sound")
}

fn add(fleet: &mut Partition, number: usize, team: &str, shape: Shape, urgency: Urgency, tasks: u32) {
    let spec = Spec {
        id: format!("run-{number:06}"),
        class: "any".into(),
        team: team.into(),
        shape,
        urgency,
        tasks,
        demand: Demand { cpus: 4.0, gpus: 1.0, mem: 16.0 },
        image: format!("image-{}", number % 12),
        image_gb: 10.0,
        instance_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        expected_s: 600.0,
        checkpoint_s: 30.0,
        save_s: 2.0,
        due_s: None,
        dependencies: Default::default(),
    };
    let mut job = Job::new(spec, number as u64, 0);
    (job.version, job.unknown_to_earlier_leaders) = (1, true);
    fleet.cluster_mut().add_job(job);
}
