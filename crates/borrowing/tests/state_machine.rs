//! Model-based test of loans: random sequences of proposals, commits that are refused, delayed or without an
//! answer, failovers, needs and returns.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, ClockReading, JobLoans, LendingJob, LoanEvent, LoanId, LoanKind, LoanState, Loans,
    Proposal, RecordWrite,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const JOB_COUNT: u32 = 3;
const TASKS_PER_JOB: u32 = 8;
const BORROWERS: [&str; 2] = ["desk", "relief"];
/// Time, in milliseconds, within which every loan is returned and removed.
const RETURN_ALL_MS: u64 = 200_000;

/// A step of a sequence.
#[derive(Debug, Clone)]
enum Transition {
    /// This many milliseconds pass.
    Wait(u64),
    /// Tasks are to be stopped: number of the job, index of the borrower, number of tasks, and whether the
    /// loan is owed.
    Propose(u32, usize, u32, bool),
    /// The next commit, with this outcome.
    Commit(CommitOutcome),
    /// All records that must be read are read.
    ReadRecords,
    /// A delayed commit is applied, if its conditions still hold.
    ApplyDelayedCommit,
    /// All loans that are not recorded are abandoned.
    Abandon,
    /// Stopped tasks start again: number of the job and number of tasks.
    Restart(u32, u32),
    /// Every borrower needs this many accelerators.
    Need(u32),
    /// Another leader takes over.
    Failover,
}

#[derive(Debug, Clone, Copy)]
enum CommitOutcome {
    Applied,
    Refused,
    AppliedWithoutAnswer,
    Delayed,
}

/// Reference without state: every step is possible at any time, and its effect depends on the loans.
#[derive(Debug, Clone, Default)]
struct AnySequence;

impl ReferenceStateMachine for AnySequence {
    type State = AnySequence;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<AnySequence> {
        Just(AnySequence).boxed()
    }

    fn transitions(_: &AnySequence) -> BoxedStrategy<Transition> {
        let outcome = prop_oneof![
            4 => Just(CommitOutcome::Applied), 1 => Just(CommitOutcome::Refused),
            1 => Just(CommitOutcome::AppliedWithoutAnswer), 1 => Just(CommitOutcome::Delayed)
        ];
        prop_oneof![
            2 => (100u64..8000).prop_map(Transition::Wait),
            3 => (0..JOB_COUNT, 0..BORROWERS.len(), 1..4u32, any::<bool>())
                .prop_map(|(job, borrower, tasks, owed)| Transition::Propose(job, borrower, tasks, owed)),
            5 => outcome.prop_map(Transition::Commit),
            2 => Just(Transition::ReadRecords),
            1 => Just(Transition::ApplyDelayedCommit),
            1 => Just(Transition::Abandon),
            2 => (0..JOB_COUNT, 1..4u32).prop_map(|(job, tasks)| Transition::Restart(job, tasks)),
            2 => (0u32..10).prop_map(Transition::Need),
            1 => Just(Transition::Failover),
        ]
        .boxed()
    }

    fn apply(state: AnySequence, _: &Transition) -> AnySequence {
        state
    }
}

/// The loans of a partition, a store for their records, and the stopped tasks of the jobs.
struct Harness {
    loans: Loans,
    store: BTreeMap<String, (JobLoans, u64)>,
    revision: u64,
    /// Commits without an answer that may still be applied.
    late_commits: Vec<Vec<RecordWrite>>,
    /// Number of tasks of each job that were stopped and do not run again.
    stopped: BTreeMap<String, u32>,
    /// Lending job and number of tasks to stop once the loan is recorded, by loan.
    unrecorded_stops: BTreeMap<LoanId, (String, u32)>,
    need: u32,
    now_ms: u64,
    next_id: LoanId,
}

fn settings() -> BorrowingSettings {
    serde_json::from_str(r#"{"quiet_s": 60, "return_after_s": 10}"#).unwrap()
}

impl Harness {
    fn clock_reading(&self) -> ClockReading {
        ClockReading { steady_ms: self.now_ms, wall_ms: 1_000_000 + self.now_ms }
    }

    fn conditions_hold(&self, writes: &[RecordWrite]) -> bool {
        writes.iter().all(|write| self.store.get(&write.key).map_or(0, |stored| stored.1) == write.version)
    }

    fn apply_writes(&mut self, writes: Vec<RecordWrite>) {
        self.revision += 1;
        for write in writes {
            match write.value {
                Some(value) => _ = self.store.insert(write.key, (value, self.revision)),
                None => _ = self.store.remove(&write.key),
            }
        }
    }

    fn commit(&mut self, outcome: CommitOutcome) {
        let writes = self.loans.next_writes(2, self.clock_reading().wall_ms);
        if writes.is_empty() {
            return;
        }
        let conditions_hold = self.conditions_hold(&writes);
        match outcome {
            CommitOutcome::Applied if conditions_hold => {
                self.apply_writes(writes);
                let events = self.loans.commit_succeeded(self.revision);
                events.into_iter().for_each(|LoanEvent::Recorded(id)| self.stop_recorded_tasks(id));
            }
            // A condition did not hold, so the records must be read.
            CommitOutcome::Applied => self.loans.commit_indeterminate(),
            CommitOutcome::Refused => self.loans.commit_failed(),
            CommitOutcome::AppliedWithoutAnswer => {
                if conditions_hold {
                    self.apply_writes(writes);
                }
                self.loans.commit_indeterminate();
            }
            CommitOutcome::Delayed => {
                self.late_commits.push(writes);
                self.loans.commit_indeterminate();
            }
        }
    }

    fn stop_recorded_tasks(&mut self, id: LoanId) {
        let (job, tasks) =
            self.unrecorded_stops.remove(&id).expect("a loan is recorded at most once, and not after it was abandoned");
        let (record, _) = &self.store[&format!("loan/{job}")];
        let recorded_tasks: u32 = record.loans.iter().filter(|loan| loan.id <= id).map(|loan| loan.tasks).sum();
        assert!(recorded_tasks >= tasks, "tasks are stopped only after their record is written");
        *self.stopped.entry(job).or_default() += tasks;
    }

    fn follow(&mut self) {
        let stopped = &self.stopped;
        let lending = |job: &str| LendingJob { over: false, missing: stopped.get(job).copied().unwrap_or(0) };
        let need = Amounts::new(0.0, f64::from(self.need));
        let needs = BORROWERS.iter().map(|team| (team.to_string(), need)).collect();
        let now = self.clock_reading();
        self.loans.reconcile_restored(lending);
        self.loans.update_for_demand(lending, &needs, now);
    }

    fn check(&self) {
        let sum = |sums: BTreeMap<String, Amounts>| sums.values().map(|amounts| amounts.gpus).sum::<f64>();
        assert_eq!(
            sum(self.loans.lent_by_team()),
            sum(self.loans.borrowed_by_team()),
            "the amounts lent equal the amounts borrowed"
        );
        let mut lent: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, _, loan) in self.loans.loans() {
            if matches!(loan.state, LoanState::Open | LoanState::Returning) {
                *lent.entry(job).or_default() += loan.tasks;
            }
        }
        for (job, tasks) in lent {
            assert!(tasks <= self.stopped.get(job).copied().unwrap_or(0), "{job} lends more tasks than were stopped");
        }
    }

    /// Proposes to stop up to `tasks` tasks of a job for a borrower, as far as the job has such tasks.
    fn propose(&mut self, job: u32, borrower: usize, tasks: u32, owed: bool) {
        let job = format!("run-{job}");
        let unrecorded_tasks: u32 =
            self.unrecorded_stops.values().filter(|stop| stop.0 == job).map(|stop| stop.1).sum();
        let stopped = self.stopped.get(&job).copied().unwrap_or(0);
        let tasks = tasks.min(TASKS_PER_JOB.saturating_sub(unrecorded_tasks + stopped));
        if tasks > 0 {
            self.next_id += 1;
            self.unrecorded_stops.insert(self.next_id, (job.clone(), tasks));
            let proposal = Proposal {
                id: self.next_id,
                lending_job: job,
                lender: "night".into(),
                borrower: BORROWERS[borrower].into(),
                borrowing_job: "run-9".into(),
                machine: "g8".into(),
                tasks,
                each: Amounts::new(0.0, 1.0),
                kind: if owed { LoanKind::Borrowed } else { LoanKind::Guaranteed },
            };
            let now = self.clock_reading();
            self.loans.propose(proposal, now);
        }
    }

    /// Replaces the leader by one that restores the loans from the stored records.
    fn fail_over(&mut self) {
        // Commits are also conditional on the partition's key, so those of the previous leader fail.
        self.late_commits.clear();
        self.unrecorded_stops.clear();
        let records = self
            .store
            .iter()
            .map(|(key, (record, version))| (key.trim_start_matches("loan/").to_string(), record.clone(), *version));
        let mut loans = Loans::new(settings());
        loans.restore(records.collect::<Vec<_>>());
        self.loans = loans;
        self.follow();
    }

    /// Ends all demand, with a state service that answers, and checks that all loans are returned and removed.
    fn return_all_loans(&mut self) {
        self.need = 0;
        for _ in 0..40 {
            self.now_ms += RETURN_ALL_MS / 40;
            let abandoned = self.loans.unrecorded_before(self.clock_reading().wall_ms);
            abandoned.into_iter().for_each(|id| self.loans.abandon(id));
            for key in self.loans.keys_to_read() {
                self.loans.set_read_version(&key, self.store.get(&key).map_or(0, |stored| stored.1));
            }
            self.stopped.clear();
            self.follow();
            self.commit(CommitOutcome::Applied);
            self.commit(CommitOutcome::Applied);
        }
        assert!(
            self.loans.lent_by_team().is_empty(),
            "all loans are returned: {:?}",
            self.loans.loans().collect::<Vec<_>>()
        );
        assert!(self.loans.loans().next().is_none(), "all loans are removed");
    }
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Harness;
    type Reference = AnySequence;

    fn init_test(_: &AnySequence) -> Harness {
        Harness {
            loans: Loans::new(settings()),
            store: BTreeMap::new(),
            revision: 1,
            late_commits: Vec::new(),
            stopped: BTreeMap::new(),
            unrecorded_stops: BTreeMap::new(),
            need: 0,
            now_ms: 0,
            next_id: 0,
        }
    }

    fn apply(mut harness: Harness, _: &AnySequence, transition: Transition) -> Harness {
        match transition {
            Transition::Wait(ms) => {
                harness.now_ms += ms;
                harness.follow();
            }
            Transition::Propose(job, borrower, tasks, owed) => harness.propose(job, borrower, tasks, owed),
            Transition::Commit(outcome) => harness.commit(outcome),
            Transition::ReadRecords => {
                for key in harness.loans.keys_to_read() {
                    harness.loans.set_read_version(&key, harness.store.get(&key).map_or(0, |stored| stored.1));
                }
            }
            Transition::ApplyDelayedCommit => {
                if let Some(writes) = harness.late_commits.pop()
                    && harness.conditions_hold(&writes)
                {
                    harness.apply_writes(writes);
                }
            }
            Transition::Abandon => {
                for id in harness.loans.unrecorded_before(harness.clock_reading().wall_ms + 1) {
                    harness.loans.abandon(id);
                    harness.unrecorded_stops.remove(&id);
                }
            }
            Transition::Restart(job, tasks) => {
                let stopped = harness.stopped.entry(format!("run-{job}")).or_default();
                *stopped = stopped.saturating_sub(tasks);
                harness.follow();
            }
            Transition::Need(need) => harness.need = need,
            Transition::Failover => harness.fail_over(),
        }
        harness.check();
        harness
    }

    fn teardown(mut harness: Harness, _: AnySequence) {
        harness.return_all_loans();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn amounts_balance_records_precede_stops_and_all_loans_are_returned(sequential 1..40 => Harness);
}
