//! Tests of the states of a loan, with commits that are applied, refused, delayed or without an answer.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, ClockReading, JobLoans, LendingJob, LoanEndCause, LoanEvent, LoanId, LoanKind,
    LoanState, Loans, Proposal,
};
use std::collections::BTreeMap;

const QUIET_MS: u64 = 60_000;
const RETURN_AFTER_MS: u64 = 10_000;

fn settings() -> BorrowingSettings {
    serde_json::from_str(r#"{"quiet_s": 60, "return_after_s": 10}"#).unwrap()
}

fn at(ms: u64) -> ClockReading {
    ClockReading { steady_ms: ms, wall_ms: 1_000_000 + ms }
}

fn proposal(id: LoanId, tasks: u32) -> Proposal {
    Proposal {
        id,
        lending_job: "run-1".into(),
        lender: "night".into(),
        borrower: "desk".into(),
        borrowing_job: "run-2".into(),
        machine: "g8".into(),
        tasks,
        each: Amounts::new(4.0, 1.0),
        kind: LoanKind::Borrowed,
    }
}

fn state(loans: &Loans, id: LoanId) -> Option<LoanState> {
    loans.loans().find(|(_, _, loan)| loan.id == id).map(|(_, _, loan)| loan.state)
}

fn lent_gpus(loans: &Loans) -> f64 {
    loans.lent_by_team().values().map(|amounts| amounts.gpus).sum()
}

/// Returns a job that lends, with `tasks` tasks that neither run nor are done.
fn with_missing_tasks(tasks: u32) -> impl Fn(&str) -> LendingJob {
    move |_| LendingJob { over: false, missing: tasks }
}

fn needs(gpus: f64) -> BTreeMap<String, Amounts> {
    [("desk".to_string(), Amounts::new(4.0 * gpus, gpus))].into()
}

/// Returns loans with one open loan of `tasks` tasks.
fn loans_with_one_open(tasks: u32) -> Loans {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, tasks), at(0));
    assert_eq!(loans.next_writes(8, at(0).wall_ms).len(), 1);
    assert_eq!(loans.commit_succeeded(10), [LoanEvent::Recorded(1)]);
    loans
}

/// Returns the record of the next write; `None` if nothing is to be written or the record is deleted.
fn next_record(loans: &mut Loans, now: ClockReading) -> Option<JobLoans> {
    let mut writes = loans.next_writes(8, now.wall_ms);
    writes.pop().and_then(|write| write.value)
}

// Tasks stopped before the record is written would be lost to the lender after a failover. The record must
// already have the state that a successor is to find.
#[test]
fn loan_is_recorded_only_after_its_commit_succeeds() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    let writes = loans.next_writes(8, at(0).wall_ms);
    assert_eq!((writes[0].version, writes[0].key.as_str()), (0, "loan/run-1"));
    assert_eq!(
        writes[0].value.as_ref().unwrap().loans[0].state,
        LoanState::Open,
        "the state that a successor has to find"
    );
    assert_eq!(state(&loans, 1), Some(LoanState::Proposed));
    assert!(loans.next_writes(8, at(0).wall_ms).is_empty(), "a record is in one commit at a time");
    assert_eq!(loans.commit_succeeded(10), [LoanEvent::Recorded(1)]);
    assert_eq!((state(&loans, 1), lent_gpus(&loans)), (Some(LoanState::Open), 2.0));
}

// A record of an abandoned loan would make a successor look for tasks that were never stopped.
#[test]
fn loan_abandoned_before_any_write_leaves_no_record() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    assert_eq!(loans.unrecorded_before(at(1).wall_ms), [1]);
    loans.abandon(1);
    assert!(loans.loans().next().is_none());
    assert!(loans.next_writes(8, at(2).wall_ms).is_empty());
}

// A commit without an answer may be applied later. The record is written again under the version found,
// so that the delayed commit fails, also if the loan was abandoned in the meantime.
#[test]
fn commit_without_answer_is_read_and_written_again() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    loans.next_writes(8, at(0).wall_ms);
    loans.commit_indeterminate();
    assert_eq!(loans.keys_to_read(), ["loan/run-1"]);
    assert!(loans.next_writes(8, at(1).wall_ms).is_empty(), "the record has to be read first");
    loans.abandon(1);
    loans.set_read_version("loan/run-1", 0);
    let write = loans.next_writes(8, at(2).wall_ms).pop().unwrap();
    assert_eq!(write.version, 0);
    let recorded_state =
        write.value.expect("the record must not be deleted: the condition of the delayed write would still hold").loans
            [0]
        .state;
    assert_eq!(recorded_state, LoanState::Ended(LoanEndCause::NotRecorded));
    assert!(loans.commit_succeeded(12).is_empty(), "no task is stopped for the abandoned loan");
    // Its end is recorded, so the record is deleted.
    let write = loans.next_writes(8, at(3).wall_ms).pop().unwrap();
    assert_eq!((write.version, write.value), (12, None));
    loans.commit_succeeded(13);
    assert!(loans.loans().next().is_none());
}

// A refused commit must lose neither its loans nor those proposed while it was in flight.
#[test]
fn refused_commit_is_retried_with_later_proposals() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    loans.next_writes(8, at(0).wall_ms);
    loans.propose(proposal(2, 3), at(1));
    loans.commit_failed();
    let record = next_record(&mut loans, at(2)).unwrap();
    assert_eq!(record.loans.len(), 2);
    assert_eq!(loans.commit_succeeded(10).len(), 2);
    assert_eq!(lent_gpus(&loans), 5.0, "both are merged into one loan to the same team");
    assert_eq!(loans.loans().count(), 1);
}

// A short gap in the need must not return a loan: the borrower would take the capacity again at once.
#[test]
fn loan_is_returned_after_the_need_is_gone_for_the_return_time() {
    let mut loans = loans_with_one_open(2);
    loans.update_for_demand(with_missing_tasks(2), &needs(2.0), at(1000));
    // A need that comes back starts the time again.
    loans.update_for_demand(with_missing_tasks(2), &needs(0.0), at(2000));
    loans.update_for_demand(with_missing_tasks(2), &needs(2.0), at(9000));
    loans.update_for_demand(with_missing_tasks(2), &needs(0.0), at(10_000));
    loans.update_for_demand(with_missing_tasks(2), &needs(0.0), at(10_000 + RETURN_AFTER_MS - 1));
    assert_eq!(state(&loans, 1), Some(LoanState::Open));
    loans.update_for_demand(with_missing_tasks(2), &needs(0.0), at(10_000 + RETURN_AFTER_MS));
    assert_eq!(state(&loans, 1), Some(LoanState::Returning));
    assert_eq!(loans.returning_tasks().collect::<Vec<_>>(), [("run-1", 2)]);
    loans.update_for_demand(with_missing_tasks(1), &needs(0.0), at(22_000));
    assert_eq!(lent_gpus(&loans), 1.0);
    loans.update_for_demand(with_missing_tasks(0), &needs(0.0), at(23_000));
    assert_eq!((state(&loans, 1), lent_gpus(&loans)), (Some(LoanState::Ended(LoanEndCause::Returned)), 0.0));
}

// Returning every loan at the first surplus would take capacity that the borrower still uses.
#[test]
fn needed_loans_are_kept_and_the_oldest_loan_is_returned_first() {
    let mut loans = loans_with_one_open(2);
    loans.propose(Proposal { lending_job: "run-9".into(), ..proposal(2, 3) }, at(10));
    loans.next_writes(8, at(10).wall_ms);
    loans.commit_succeeded(11);
    for ms in [1000, 1000 + RETURN_AFTER_MS] {
        loans.update_for_demand(with_missing_tasks(3), &needs(3.0), at(ms));
    }
    assert_eq!((state(&loans, 1), state(&loans, 2)), (Some(LoanState::Returning), Some(LoanState::Open)));
}

// A loan that stays open would be owed although nothing is missing.
#[test]
fn loan_ends_when_the_lender_runs_again_or_its_job_ends() {
    let mut loans = loans_with_one_open(2);
    loans.update_for_demand(with_missing_tasks(0), &needs(2.0), at(1000));
    assert_eq!(state(&loans, 1), Some(LoanState::Ended(LoanEndCause::Replaced)));
    let mut loans = loans_with_one_open(2);
    loans.update_for_demand(|_| LendingJob { over: true, missing: 0 }, &needs(2.0), at(1000));
    assert_eq!(state(&loans, 1), Some(LoanState::Ended(LoanEndCause::LenderEnded)));
}

// Without the quiet time the same job would be stopped again and again. Without the deletion the records
// would pile up.
#[test]
fn stopped_job_is_spared_for_the_quiet_time_and_its_record_is_deleted_afterwards() {
    let mut loans = loans_with_one_open(2);
    loans.update_for_demand(with_missing_tasks(0), &needs(0.0), at(1000));
    assert_eq!(loans.recently_preempted_jobs(at(QUIET_MS - 1).wall_ms).collect::<Vec<_>>(), ["run-1"]);
    assert!(next_record(&mut loans, at(1000)).is_some(), "the end of the loan is recorded and kept");
    loans.commit_succeeded(20);
    assert_eq!(loans.recently_preempted_jobs(at(QUIET_MS).wall_ms).count(), 0);
    let write = loans.next_writes(8, at(QUIET_MS).wall_ms).pop().unwrap();
    assert_eq!((write.version, write.value), (20, None));
}

// Capacity that a borrower is guaranteed must not be reclaimed from it.
#[test]
fn loan_within_the_guarantee_is_not_owed() {
    let mut loans = Loans::new(settings());
    loans.propose(Proposal { kind: LoanKind::Guaranteed, ..proposal(1, 2) }, at(0));
    loans.next_writes(8, at(0).wall_ms);
    assert_eq!(loans.commit_succeeded(10), [LoanEvent::Recorded(1)]);
    assert_eq!((state(&loans, 1), lent_gpus(&loans)), (Some(LoanState::Ended(LoanEndCause::WithinGuarantee)), 0.0));
    assert_eq!(
        loans.recently_preempted_jobs(at(1).wall_ms).count(),
        1,
        "the tasks of the job were stopped nevertheless"
    );
}

// A successor finds records of stops that the previous leader ordered in part or not at all. Lending more
// than was stopped would take capacity from the lender a second time.
#[test]
fn restored_loan_counts_only_tasks_that_were_stopped() {
    let successor = |tasks_missing: u32| {
        let mut former_loans = Loans::new(settings());
        former_loans.propose(proposal(1, 3), at(0));
        let record = next_record(&mut former_loans, at(0)).unwrap();
        let mut loans = Loans::new(settings());
        loans.restore([("run-1".to_string(), record, 10)]);
        assert_eq!(state(&loans, 1), Some(LoanState::Unsettled));
        loans.reconcile_restored(with_missing_tasks(tasks_missing));
        (state(&loans, 1).unwrap(), lent_gpus(&loans))
    };
    assert_eq!(successor(0), (LoanState::Ended(LoanEndCause::NotCarriedOut), 0.0));
    assert_eq!(successor(1), (LoanState::Open, 1.0));
    assert_eq!(successor(7), (LoanState::Open, 3.0));
}
