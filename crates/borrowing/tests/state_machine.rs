//! Random sequences of loans, commits that are lost or come late, failovers, needs and returns.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

use badgerdrift_borrowing::{
    Amounts, BorrowingSettings, JobLoans, LendingJob, LoanEvent, LoanId, LoanKind, LoanState, Loans, Moment, Proposal,
    RecordWrite,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const JOBS: u32 = 3;
const TASKS: u32 = 8;
const BORROWERS: [&str; 2] = ["desk", "relief"];
/// Long enough for every loan to be returned and forgotten.
const LONG_MS: u64 = 200_000;

/// What may happen.
#[derive(Debug, Clone)]
enum Transition {
    Wait(u64),
    /// So many tasks of a job are to be stopped for a borrower.
    Propose(u32, usize, u32, bool),
    /// The next commit, and what becomes of it.
    Commit(Outcome),
    /// The records are read that must be.
    Reread,
    /// A commit without an answer is made now, if its conditions hold.
    LateCommit,
    /// Loans that are not recorded are given up.
    Abandon,
    /// So many stopped tasks of a job start again.
    Restart(u32, u32),
    /// What the borrowers need.
    Need(u32),
    Failover,
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Done,
    Refused,
    MadeWithoutAnswer,
    Lost,
}

/// The reference only says what happens: what becomes of it depends on the loans.
#[derive(Debug, Clone, Default)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = Steps;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Steps> {
        Just(Steps).boxed()
    }

    fn transitions(_: &Steps) -> BoxedStrategy<Transition> {
        let outcome = prop_oneof![
            4 => Just(Outcome::Done), 1 => Just(Outcome::Refused),
            1 => Just(Outcome::MadeWithoutAnswer), 1 => Just(Outcome::Lost)
        ];
        prop_oneof![
            2 => (100u64..8000).prop_map(Transition::Wait),
            3 => (0..JOBS, 0..BORROWERS.len(), 1..4u32, any::<bool>())
                .prop_map(|(job, borrower, tasks, owed)| Transition::Propose(job, borrower, tasks, owed)),
            5 => outcome.prop_map(Transition::Commit),
            2 => Just(Transition::Reread),
            1 => Just(Transition::LateCommit),
            1 => Just(Transition::Abandon),
            2 => (0..JOBS, 1..4u32).prop_map(|(job, tasks)| Transition::Restart(job, tasks)),
            2 => (0u32..10).prop_map(Transition::Need),
            1 => Just(Transition::Failover),
        ]
        .boxed()
    }

    fn apply(state: Steps, _: &Transition) -> Steps {
        state
    }
}

/// A partition's loans with a store and the jobs' tasks.
struct Harness {
    loans: Loans,
    store: BTreeMap<String, (JobLoans, u64)>,
    revision: u64,
    late: Vec<Vec<RecordWrite>>,
    /// Tasks of each job that were stopped and do not run again.
    stopped: BTreeMap<String, u32>,
    /// What is to be stopped once it is recorded.
    waiting: BTreeMap<LoanId, (String, u32)>,
    need: u32,
    now_ms: u64,
    next_id: LoanId,
}

fn settings() -> BorrowingSettings {
    serde_json::from_str(r#"{"quiet_s": 60, "return_after_s": 10}"#).unwrap()
}

impl Harness {
    fn moment(&self) -> Moment {
        Moment { steady_ms: self.now_ms, wall_ms: 1_000_000 + self.now_ms }
    }

    fn conditions_hold(&self, writes: &[RecordWrite]) -> bool {
        writes.iter().all(|write| self.store.get(&write.key).map_or(0, |stored| stored.1) == write.version)
    }

    fn make(&mut self, writes: Vec<RecordWrite>) {
        self.revision += 1;
        for write in writes {
            match write.value {
                Some(value) => _ = self.store.insert(write.key, (value, self.revision)),
                None => _ = self.store.remove(&write.key),
            }
        }
    }

    fn commit(&mut self, outcome: Outcome) {
        let writes = self.loans.next_writes(2, self.moment().wall_ms);
        if writes.is_empty() {
            return;
        }
        let holds = self.conditions_hold(&writes);
        match outcome {
            Outcome::Done if holds => {
                self.make(writes);
                let events = self.loans.written(self.revision);
                events.into_iter().for_each(|LoanEvent::Recorded(id)| self.recorded(id));
            }
            // A condition did not hold: the records are read again.
            Outcome::Done => self.loans.indeterminate(),
            Outcome::Refused => self.loans.not_written(),
            Outcome::MadeWithoutAnswer => {
                if holds {
                    self.make(writes);
                }
                self.loans.indeterminate();
            }
            Outcome::Lost => {
                self.late.push(writes);
                self.loans.indeterminate();
            }
        }
    }

    fn recorded(&mut self, id: LoanId) {
        let (job, tasks) = self.waiting.remove(&id).expect("a loan is recorded once, and not after it was given up");
        let (record, _) = &self.store[&format!("loan/{job}")];
        let told: u32 = record.loans.iter().filter(|loan| loan.id <= id).map(|loan| loan.tasks).sum();
        assert!(told >= tasks, "nothing is stopped before its record");
        *self.stopped.entry(job).or_default() += tasks;
    }

    fn follow(&mut self) {
        let stopped = &self.stopped;
        let lending = |job: &str| LendingJob { over: false, missing: stopped.get(job).copied().unwrap_or(0) };
        let need = Amounts::new(0.0, f64::from(self.need));
        let needs = BORROWERS.iter().map(|team| (team.to_string(), need)).collect();
        let now = self.moment();
        self.loans.settle(lending);
        self.loans.follow(lending, &needs, now);
    }

    fn check(&self) {
        let sum = |sums: BTreeMap<String, Amounts>| sums.values().map(|amounts| amounts.gpus).sum::<f64>();
        assert_eq!(sum(self.loans.lent()), sum(self.loans.borrowed()), "what is lent is what is borrowed");
        let mut lent: BTreeMap<&str, u32> = BTreeMap::new();
        for (job, _, loan) in self.loans.loans() {
            if matches!(loan.state, LoanState::Open | LoanState::Returning) {
                *lent.entry(job).or_default() += loan.tasks;
            }
        }
        for (job, tasks) in lent {
            assert!(tasks <= self.stopped.get(job).copied().unwrap_or(0), "{job} lends what it did not stop");
        }
    }

    /// The leader proposes to stop some tasks of a job for another team.
    fn propose(&mut self, job: u32, borrower: usize, tasks: u32, owed: bool) {
        let job = format!("run-{job}");
        let busy: u32 = self.waiting.values().filter(|waiting| waiting.0 == job).map(|waiting| waiting.1).sum();
        let stopped = self.stopped.get(&job).copied().unwrap_or(0);
        let tasks = tasks.min(TASKS.saturating_sub(busy + stopped));
        if tasks > 0 {
            self.next_id += 1;
            self.waiting.insert(self.next_id, (job.clone(), tasks));
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
            let now = self.moment();
            self.loans.propose(proposal, now);
        }
    }

    /// Another leader takes over with what is recorded.
    fn fail_over(&mut self) {
        // Commits of the last leader guard on the partition's key as well.
        self.late.clear();
        self.waiting.clear();
        let records = self
            .store
            .iter()
            .map(|(key, (record, version))| (key.trim_start_matches("loan/").to_string(), record.clone(), *version));
        let mut loans = Loans::new(settings());
        loans.restore(records.collect::<Vec<_>>());
        self.loans = loans;
        self.follow();
    }

    /// All demand ends, and the state service answers: everything is returned and forgotten.
    fn settle_all(&mut self) {
        self.need = 0;
        for _ in 0..40 {
            self.now_ms += LONG_MS / 40;
            let given_up = self.loans.unrecorded_before(self.moment().wall_ms);
            given_up.into_iter().for_each(|id| self.loans.abandon(id));
            for key in self.loans.keys_to_read() {
                self.loans.reread(&key, self.store.get(&key).map_or(0, |stored| stored.1));
            }
            self.stopped.clear();
            self.follow();
            self.commit(Outcome::Done);
            self.commit(Outcome::Done);
        }
        assert!(self.loans.lent().is_empty(), "all is returned: {:?}", self.loans.loans().collect::<Vec<_>>());
        assert!(self.loans.loans().next().is_none(), "all is forgotten");
    }
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test(_: &Steps) -> Harness {
        Harness {
            loans: Loans::new(settings()),
            store: BTreeMap::new(),
            revision: 1,
            late: Vec::new(),
            stopped: BTreeMap::new(),
            waiting: BTreeMap::new(),
            need: 0,
            now_ms: 0,
            next_id: 0,
        }
    }

    fn apply(mut harness: Harness, _: &Steps, transition: Transition) -> Harness {
        match transition {
            Transition::Wait(ms) => {
                harness.now_ms += ms;
                harness.follow();
            }
            Transition::Propose(job, borrower, tasks, owed) => harness.propose(job, borrower, tasks, owed),
            Transition::Commit(outcome) => harness.commit(outcome),
            Transition::Reread => {
                for key in harness.loans.keys_to_read() {
                    harness.loans.reread(&key, harness.store.get(&key).map_or(0, |stored| stored.1));
                }
            }
            Transition::LateCommit => {
                if let Some(writes) = harness.late.pop()
                    && harness.conditions_hold(&writes)
                {
                    harness.make(writes);
                }
            }
            Transition::Abandon => {
                for id in harness.loans.unrecorded_before(harness.moment().wall_ms + 1) {
                    harness.loans.abandon(id);
                    harness.waiting.remove(&id);
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

    fn teardown(mut harness: Harness, _: Steps) {
        harness.settle_all();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn sums_are_conserved_records_come_first_and_all_is_returned(sequential 1..40 => Harness);
}
