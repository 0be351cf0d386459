//! Tests of floors, of the work lost by stops, and of the settings of lenders and borrowers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, JobDemand, KnownTeam, PreemptibleWork, Priority, Refusal, TeamShare,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn gpus(amount: f64) -> Amounts {
    Amounts::new(0.0, amount)
}

fn team_share(guarantee: f64, runnable: f64, in_use: f64) -> TeamShare {
    TeamShare { guarantee: gpus(guarantee), runnable: gpus(runnable), in_use: gpus(in_use) }
}

// A floor above the demand would keep capacity idle; one below the guarantee would take what is guaranteed.
#[test]
fn floor_is_the_smaller_of_guarantee_and_demand_per_resource() {
    assert_eq!(team_share(10.0, 6.0, 4.0).floor(), gpus(6.0));
    assert_eq!(team_share(10.0, 60.0, 4.0).floor(), gpus(10.0));
    assert_eq!(team_share(10.0, 60.0, 4.0).shortfall(), gpus(6.0));
    assert_eq!(team_share(0.0, 60.0, 4.0).floor(), gpus(0.0));
    let both_resources = TeamShare {
        guarantee: Amounts::new(8.0, 4.0),
        runnable: Amounts::new(2.0, 9.0),
        in_use: Amounts::new(2.0, 3.0),
    };
    assert_eq!((both_resources.floor(), both_resources.shortfall()), (Amounts::new(2.0, 4.0), gpus(1.0)));
}

// Counting an incomplete gang would raise the floor by capacity that the team cannot use.
#[test]
fn demand_counts_running_and_startable_tasks_and_only_complete_gangs() {
    let job = |running, waiting, gang_size| JobDemand { per_task: gpus(2.0), running, waiting, gang_size };
    assert_eq!(job(3, 4, None).amounts(), gpus(14.0));
    // One task of a gang of four is in back-off: none of its tasks could run.
    assert_eq!(job(0, 3, Some(4)).amounts(), gpus(0.0));
    assert_eq!(job(0, 4, Some(4)).amounts(), gpus(8.0));
    // A gang that is being stopped counts like a running one, as it can start again at once.
    assert_eq!(job(0, 4, Some(4)).amounts(), job(4, 0, Some(4)).amounts());
}

// A resource that the team is not guaranteed must not prevent a stop.
#[test]
fn stop_of_a_resource_without_guarantee_keeps_the_floor() {
    // CPU cores are taken from a team that is guaranteed accelerators only.
    assert!(team_share(4.0, 4.0, 4.0).keeps_floor_without(Amounts::new(16.0, 0.0)));
    assert!(!team_share(4.0, 9.0, 4.0).keeps_floor_without(Amounts::new(16.0, 1.0)));
    let cpus = TeamShare {
        guarantee: Amounts::new(16.0, 0.0),
        runnable: Amounts::new(40.0, 4.0),
        in_use: Amounts::new(20.0, 4.0),
    };
    assert!(cpus.keeps_floor_without(Amounts::new(4.0, 4.0)));
    assert!(!cpus.keeps_floor_without(Amounts::new(5.0, 1.0)));
}

proptest! {
    // Stopped work could start again, so the demand is at least the use before the stop. Comparing the
    // use after the stop with the guarantee must therefore give the same result as with the floor.
    #[test]
    fn stop_that_keeps_the_guarantee_keeps_the_floor(
        guarantee in 0u32..20, in_use in 0u32..20, waiting in 0u32..20, taken in 0u32..20,
    ) {
        let taken = taken.min(in_use);
        let [guarantee, in_use, waiting, taken] = [guarantee, in_use, waiting, taken].map(f64::from);
        let before = team_share(guarantee, in_use + waiting, in_use);
        let after = team_share(guarantee, in_use + waiting, in_use - taken);
        if taken > 0.0 {
            prop_assert_eq!(before.keeps_floor_without(gpus(taken)), after.shortfall().is_zero());
        }
    }
}

// An underestimated loss would select work whose stop costs more than that of other work.
#[test]
fn lost_work_counts_time_since_the_last_checkpoint_for_every_task_of_a_gang() {
    let work = PreemptibleWork { ran_s: 75.0, checkpoint_every_s: 30.0, flush_s: 4.0, fetch_s: 6.0, tasks: 1 };
    assert_eq!(work.lost_work_s(), 15.0 + 4.0 + 6.0);
    assert_eq!(PreemptibleWork { tasks: 16, ..work }.lost_work_s(), 16.0 * 25.0);
    assert_eq!(PreemptibleWork { checkpoint_every_s: 0.0, ..work }.lost_work_s(), 75.0 + 6.0);
}

fn settings() -> BorrowingSettings {
    serde_json::from_str(
        r#"{"lender": {"night": {"to": ["desk"], "up_to": "standard", "most_gpus": 8, "most_share": 0.5}},
            "borrower": {"desk": {"from": "urgent"}}}"#,
    )
    .unwrap()
}

// A team must not lose work to a team that it does not lend to, nor work above its declared priority.
#[test]
fn loan_is_permitted_only_between_declared_teams_within_their_priorities() {
    let settings = settings();
    let permits = |lender, gives, borrower, takes| settings.check_permitted(lender, gives, borrower, takes);
    assert_eq!(permits("night", Priority::Standard, "desk", Priority::Urgent), Ok(()));
    assert_eq!(permits("night", Priority::BestEffort, "desk", Priority::Production), Ok(()));
    assert_eq!(permits("night", Priority::Urgent, "desk", Priority::Production), Err(Refusal::NotALender));
    assert_eq!(permits("night", Priority::Standard, "desk", Priority::Standard), Err(Refusal::NotABorrower));
    assert_eq!(permits("desk", Priority::Standard, "night", Priority::Urgent), Err(Refusal::NotABorrower));
    assert_eq!(permits("other", Priority::Standard, "desk", Priority::Urgent), Err(Refusal::NotALender));
}

// With both bounds declared, the smaller one must apply.
#[test]
fn lender_is_bounded_by_the_smaller_of_amount_and_share() {
    let settings = settings();
    assert_eq!(settings.most_gpus("night", gpus(16.0)), 8.0);
    assert_eq!(settings.most_gpus("night", gpus(32.0)), 8.0);
    assert_eq!(settings.most_gpus("night", gpus(8.0)), 4.0, "half of its guarantee");
    assert_eq!(settings.most_gpus("desk", gpus(8.0)), 0.0);
}

// A misspelled team would silently neither lend nor borrow.
#[test]
fn lender_that_is_no_known_team_is_refused() {
    let teams = |names: &[&str]| -> BTreeMap<String, KnownTeam> {
        names.iter().map(|name| (name.to_string(), KnownTeam { guarantee: gpus(8.0) })).collect()
    };
    assert_eq!(settings().check(&teams(&["night", "desk"])), Ok(()));
    let refused = settings().check(&teams(&["desk"])).unwrap_err();
    assert_eq!(refused.to_string(), "lender.night: no team night");
}
