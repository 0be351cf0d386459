//! The life of a loan, with commits that are made, refused, late or without an answer.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, EndCause, JobLoans, LendingJob, LoanEvent, LoanId, LoanKind, LoanState, Loans, Moment,
    Proposal,
};
use std::collections::BTreeMap;

const QUIET_MS: u64 = 60_000;
const RETURN_AFTER_MS: u64 = 10_000;

fn settings() -> BorrowingSettings {
    serde_json::from_str(r#"{"quiet_s": 60, "return_after_s": 10}"#).unwrap()
}

fn at(ms: u64) -> Moment {
    Moment { steady_ms: ms, wall_ms: 1_000_000 + ms }
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

fn lent(loans: &Loans) -> f64 {
    loans.lent().values().map(|amounts| amounts.gpus).sum()
}

/// A job of which so many tasks neither run nor are done.
fn missing(tasks: u32) -> impl Fn(&str) -> LendingJob {
    move |_| LendingJob { over: false, missing: tasks }
}

fn needs(gpus: f64) -> BTreeMap<String, Amounts> {
    [("desk".to_string(), Amounts::new(4.0 * gpus, gpus))].into()
}

/// An open loan of so many tasks.
fn open(tasks: u32) -> Loans {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, tasks), at(0));
    assert_eq!(loans.next_writes(8, at(0).wall_ms).len(), 1);
    assert_eq!(loans.written(10), [LoanEvent::Recorded(1)]);
    loans
}

fn record(loans: &mut Loans, now: Moment) -> Option<JobLoans> {
    let mut writes = loans.next_writes(8, now.wall_ms);
    writes.pop().and_then(|write| write.value)
}

#[test]
fn nothing_is_recorded_as_long_as_the_commit_is_under_way() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    let writes = loans.next_writes(8, at(0).wall_ms);
    assert_eq!((writes[0].version, writes[0].key.as_str()), (0, "loan/run-1"));
    assert_eq!(writes[0].value.as_ref().unwrap().loans[0].state, LoanState::Open, "as a successor is to find it");
    assert_eq!(state(&loans, 1), Some(LoanState::Proposed));
    assert!(loans.next_writes(8, at(0).wall_ms).is_empty(), "one commit of a record at a time");
    assert_eq!(loans.written(10), [LoanEvent::Recorded(1)]);
    assert_eq!((state(&loans, 1), lent(&loans)), (Some(LoanState::Open), 2.0));
}

#[test]
fn a_loan_that_is_given_up_before_any_record_tells_of_it_leaves_nothing() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    assert_eq!(loans.unrecorded_before(at(1).wall_ms), [1]);
    loans.abandon(1);
    assert!(loans.loans().next().is_none());
    assert!(loans.next_writes(8, at(2).wall_ms).is_empty());
}

// A commit without an answer may be made late: the record is written anew under the version that is
// found, so that the late one fails, also where the loan was given up meanwhile.
#[test]
fn a_commit_without_an_answer_is_settled_by_another_write() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    loans.next_writes(8, at(0).wall_ms);
    loans.indeterminate();
    assert_eq!(loans.keys_to_read(), ["loan/run-1"]);
    assert!(loans.next_writes(8, at(1).wall_ms).is_empty(), "it has to be read first");
    loans.abandon(1);
    loans.reread("loan/run-1", 0);
    let write = loans.next_writes(8, at(2).wall_ms).pop().unwrap();
    assert_eq!(write.version, 0);
    let told = write.value.expect("a deletion would leave the late write its condition").loans[0].state;
    assert_eq!(told, LoanState::Ended(EndCause::NotRecorded));
    assert!(loans.written(12).is_empty(), "nothing is stopped for it any more");
    // Its end is recorded: the record goes.
    let write = loans.next_writes(8, at(3).wall_ms).pop().unwrap();
    assert_eq!((write.version, write.value), (12, None));
    loans.written(13);
    assert!(loans.loans().next().is_none());
}

#[test]
fn a_refused_commit_is_tried_again_with_what_came_since() {
    let mut loans = Loans::new(settings());
    loans.propose(proposal(1, 2), at(0));
    loans.next_writes(8, at(0).wall_ms);
    loans.propose(proposal(2, 3), at(1));
    loans.not_written();
    let record = record(&mut loans, at(2)).unwrap();
    assert_eq!(record.loans.len(), 2);
    assert_eq!(loans.written(10).len(), 2);
    assert_eq!(lent(&loans), 5.0, "both are one loan to the same team now");
    assert_eq!(loans.loans().count(), 1);
}

#[test]
fn a_loan_is_returned_once_the_need_has_been_gone_for_long_enough() {
    let mut loans = open(2);
    loans.follow(missing(2), &needs(2.0), at(1000));
    // A need that flickers begins the time anew.
    loans.follow(missing(2), &needs(0.0), at(2000));
    loans.follow(missing(2), &needs(2.0), at(9000));
    loans.follow(missing(2), &needs(0.0), at(10_000));
    loans.follow(missing(2), &needs(0.0), at(10_000 + RETURN_AFTER_MS - 1));
    assert_eq!(state(&loans, 1), Some(LoanState::Open));
    loans.follow(missing(2), &needs(0.0), at(10_000 + RETURN_AFTER_MS));
    assert_eq!(state(&loans, 1), Some(LoanState::Returning));
    assert_eq!(loans.returning().collect::<Vec<_>>(), [("run-1", 2)]);
    loans.follow(missing(1), &needs(0.0), at(22_000));
    assert_eq!(lent(&loans), 1.0);
    loans.follow(missing(0), &needs(0.0), at(23_000));
    assert_eq!((state(&loans, 1), lent(&loans)), (Some(LoanState::Ended(EndCause::Returned)), 0.0));
}

#[test]
fn what_the_borrower_still_needs_is_kept_and_the_oldest_loan_is_returned_first() {
    let mut loans = open(2);
    loans.propose(Proposal { lending_job: "run-9".into(), ..proposal(2, 3) }, at(10));
    loans.next_writes(8, at(10).wall_ms);
    loans.written(11);
    for ms in [1000, 1000 + RETURN_AFTER_MS] {
        loans.follow(missing(3), &needs(3.0), at(ms));
    }
    assert_eq!((state(&loans, 1), state(&loans, 2)), (Some(LoanState::Returning), Some(LoanState::Open)));
}

#[test]
fn work_that_runs_again_elsewhere_is_no_longer_lent_and_a_job_that_ended_lends_nothing() {
    let mut loans = open(2);
    loans.follow(missing(0), &needs(2.0), at(1000));
    assert_eq!(state(&loans, 1), Some(LoanState::Ended(EndCause::Replaced)));
    let mut loans = open(2);
    loans.follow(|_| LendingJob { over: true, missing: 0 }, &needs(2.0), at(1000));
    assert_eq!(state(&loans, 1), Some(LoanState::Ended(EndCause::LenderEnded)));
}

#[test]
fn a_job_that_gave_way_is_quiet_until_the_time_is_over_and_its_record_goes_then() {
    let mut loans = open(2);
    loans.follow(missing(0), &needs(0.0), at(1000));
    assert_eq!(loans.quiet_jobs(at(QUIET_MS - 1).wall_ms).collect::<Vec<_>>(), ["run-1"]);
    assert!(record(&mut loans, at(1000)).is_some(), "its end is recorded and kept");
    loans.written(20);
    assert_eq!(loans.quiet_jobs(at(QUIET_MS).wall_ms).count(), 0);
    let write = loans.next_writes(8, at(QUIET_MS).wall_ms).pop().unwrap();
    assert_eq!((write.version, write.value), (20, None));
}

#[test]
fn what_is_due_under_a_guarantee_is_not_owed() {
    let mut loans = Loans::new(settings());
    loans.propose(Proposal { kind: LoanKind::Guaranteed, ..proposal(1, 2) }, at(0));
    loans.next_writes(8, at(0).wall_ms);
    assert_eq!(loans.written(10), [LoanEvent::Recorded(1)]);
    assert_eq!((state(&loans, 1), lent(&loans)), (Some(LoanState::Ended(EndCause::WithinGuarantee)), 0.0));
    assert_eq!(loans.quiet_jobs(at(1).wall_ms).count(), 1, "the job gave way all the same");
}

// A successor finds records of stops that were ordered in part, or not at all.
#[test]
fn a_failover_lends_what_was_stopped_and_no_more() {
    let successor = |tasks_missing: u32| {
        let mut before = Loans::new(settings());
        before.propose(proposal(1, 3), at(0));
        let record = record(&mut before, at(0)).unwrap();
        let mut loans = Loans::new(settings());
        loans.restore([("run-1".to_string(), record, 10)]);
        assert_eq!(state(&loans, 1), Some(LoanState::Unsettled));
        loans.settle(missing(tasks_missing));
        (state(&loans, 1).unwrap(), lent(&loans))
    };
    assert_eq!(successor(0), (LoanState::Ended(EndCause::NotCarriedOut), 0.0));
    assert_eq!(successor(1), (LoanState::Open, 1.0));
    assert_eq!(successor(7), (LoanState::Open, 3.0));
}
