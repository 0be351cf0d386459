//! Floors, losses and who may lend to whom.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, JobDemand, KnownTeam, Priority, Refusal, StoppedWork, TeamShare,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn gpus(amount: f64) -> Amounts {
    Amounts::new(0.0, amount)
}

fn share(guarantee: f64, runnable: f64, in_use: f64) -> TeamShare {
    TeamShare { guarantee: gpus(guarantee), runnable: gpus(runnable), in_use: gpus(in_use) }
}

#[test]
fn a_floor_is_the_lesser_of_guarantee_and_demand_of_each_amount() {
    assert_eq!(share(10.0, 6.0, 4.0).floor(), gpus(6.0));
    assert_eq!(share(10.0, 60.0, 4.0).floor(), gpus(10.0));
    assert_eq!(share(10.0, 60.0, 4.0).shortfall(), gpus(6.0));
    assert_eq!(share(0.0, 60.0, 4.0).floor(), gpus(0.0));
    let of_both = TeamShare {
        guarantee: Amounts::new(8.0, 4.0),
        runnable: Amounts::new(2.0, 9.0),
        in_use: Amounts::new(2.0, 3.0),
    };
    assert_eq!((of_both.floor(), of_both.shortfall()), (Amounts::new(2.0, 4.0), gpus(1.0)));
}

#[test]
fn demand_counts_what_runs_and_what_could_start_and_gangs_whole() {
    let job = |running, waiting, gang_of| JobDemand { each: gpus(2.0), running, waiting, gang_of };
    assert_eq!(job(3, 4, None).amounts(), gpus(14.0));
    // One task of a gang of four is in back-off: none of it could run.
    assert_eq!(job(0, 3, Some(4)).amounts(), gpus(0.0));
    assert_eq!(job(0, 4, Some(4)).amounts(), gpus(8.0));
    // It is being stopped: it starts again as soon as it is gone.
    assert_eq!(job(0, 4, Some(4)).amounts(), job(4, 0, Some(4)).amounts());
}

#[test]
fn work_of_what_is_not_guaranteed_may_be_stopped() {
    // CPUs are taken from a team that is guaranteed accelerators alone.
    assert!(share(4.0, 4.0, 4.0).keeps_floor_without(Amounts::new(16.0, 0.0)));
    assert!(!share(4.0, 9.0, 4.0).keeps_floor_without(Amounts::new(16.0, 1.0)));
    let cpus = TeamShare {
        guarantee: Amounts::new(16.0, 0.0),
        runnable: Amounts::new(40.0, 4.0),
        in_use: Amounts::new(20.0, 4.0),
    };
    assert!(cpus.keeps_floor_without(Amounts::new(4.0, 4.0)));
    assert!(!cpus.keeps_floor_without(Amounts::new(5.0, 1.0)));
}

proptest! {
    // What is stopped could run again, so that the demand is no less than the use before: the
    // guarantee alone decides, and the floor after the stop is kept.
    #[test]
    fn what_keeps_the_guarantee_keeps_the_floor(
        guarantee in 0u32..20, in_use in 0u32..20, waiting in 0u32..20, taken in 0u32..20,
    ) {
        let taken = taken.min(in_use);
        let [guarantee, in_use, waiting, taken] = [guarantee, in_use, waiting, taken].map(f64::from);
        let before = share(guarantee, in_use + waiting, in_use);
        let after = share(guarantee, in_use + waiting, in_use - taken);
        if taken > 0.0 {
            prop_assert_eq!(before.keeps_floor_without(gpus(taken)), after.shortfall().is_nothing());
        }
    }
}

#[test]
fn work_loses_what_was_done_since_its_last_checkpoint_times_its_gang() {
    let work = StoppedWork { ran_s: 75.0, checkpoint_every_s: 30.0, flush_s: 4.0, fetch_s: 6.0, tasks: 1 };
    assert_eq!(work.lost_s(), 15.0 + 4.0 + 6.0);
    assert_eq!(StoppedWork { tasks: 16, ..work }.lost_s(), 16.0 * 25.0);
    assert_eq!(StoppedWork { checkpoint_every_s: 0.0, ..work }.lost_s(), 75.0 + 6.0);
}

fn settings() -> BorrowingSettings {
    serde_json::from_str(
        r#"{"lender": {"night": {"to": ["desk"], "up_to": "standard", "most_gpus": 8, "most_share": 0.5}},
            "borrower": {"desk": {"from": "urgent"}}}"#,
    )
    .unwrap()
}

#[test]
fn only_named_teams_lend_and_borrow_by_priority() {
    let settings = settings();
    let permits = |lender, gives, borrower, takes| settings.permits(lender, gives, borrower, takes);
    assert_eq!(permits("night", Priority::Standard, "desk", Priority::Urgent), Ok(()));
    assert_eq!(permits("night", Priority::BestEffort, "desk", Priority::Production), Ok(()));
    assert_eq!(permits("night", Priority::Urgent, "desk", Priority::Production), Err(Refusal::NotALender));
    assert_eq!(permits("night", Priority::Standard, "desk", Priority::Standard), Err(Refusal::NotABorrower));
    assert_eq!(permits("desk", Priority::Standard, "night", Priority::Urgent), Err(Refusal::NotABorrower));
    assert_eq!(permits("other", Priority::Standard, "desk", Priority::Urgent), Err(Refusal::NotALender));
}

#[test]
fn a_team_lends_no_more_than_its_most() {
    let settings = settings();
    assert_eq!(settings.most_gpus("night", gpus(16.0)), 8.0);
    assert_eq!(settings.most_gpus("night", gpus(32.0)), 8.0);
    assert_eq!(settings.most_gpus("night", gpus(8.0)), 4.0, "half of its guarantee");
    assert_eq!(settings.most_gpus("desk", gpus(8.0)), 0.0);
}

#[test]
fn what_is_declared_is_checked_against_the_teams() {
    let teams = |names: &[&str]| -> BTreeMap<String, KnownTeam> {
        names.iter().map(|name| (name.to_string(), KnownTeam { guarantee: gpus(8.0) })).collect()
    };
    assert_eq!(settings().check(&teams(&["night", "desk"])), Ok(()));
    let refused = settings().check(&teams(&["desk"])).unwrap_err();
    assert_eq!(refused.to_string(), "lender.night: no team night");
}
