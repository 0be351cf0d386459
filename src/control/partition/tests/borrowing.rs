//! Tests of loans across records, orders, heartbeats and failovers, with scripted commits and one machine.

use super::*;
use crate::model::Urgency;
use crate::scheduling::TeamRule;
use badgerdrift_borrowing::{BorrowingSettings, LOAN_PREFIX};
use std::sync::Arc;

/// Team that lends.
const LENDER: &str = "blue";
/// Team that borrows.
const BORROWER: &str = "red";
/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 200;

/// Partition with one machine of eight accelerators, which a job of the lending team fills.
struct Harness {
    partition: Partition,
    now: u64,
    sequence: u64,
    revision: u64,
    /// Tasks on the machine, with their attempt numbers.
    running: Vec<(String, u64)>,
    /// Tasks among them that are saving their state.
    saving: Vec<String>,
    records: BTreeMap<String, (Value, u64)>,
}

/// Returns settings that let the borrowing team borrow from the lending team.
fn borrowing() -> Arc<BorrowingSettings> {
    let text = r#"{"quiet_s": 60, "return_after_s": 2, "lender": {"blue": {"to": ["red"], "up_to": "standard"}},
                   "borrower": {"red": {"from": "urgent"}}}"#;
    Arc::new(serde_json::from_str(text).unwrap())
}

/// Sets the accelerators that a team is guaranteed.
fn guarantee(partition: &mut Partition, team: &str, gpus: f64) {
    let rule: &mut TeamRule = partition.policy.teams.get_mut(team).unwrap();
    rule.guarantee = Demand { cpus: 0.0, gpus, mem: f64::INFINITY };
    rule.limit = Demand { cpus: f64::INFINITY, gpus: 100.0, mem: f64::INFINITY };
}

/// Returns the submission of a job of this team.
fn submission_of(id: &str, team: &str, shape: &str, urgency: &str, tasks: u32) -> Vec<u8> {
    let mut body: Value = serde_json::from_slice(&job_submission(id, shape, tasks)).unwrap();
    (body["owner"], body["urgency"]) = (team.into(), urgency.into());
    (body["checkpoint_every_s"], body["flush_s"], body["expected_s"]) = (5.0.into(), 1.0.into(), 600.0.into());
    body.to_string().into_bytes()
}

impl Harness {
    /// Returns a harness in which the lending team's job uses all eight accelerators, two of which are guaranteed.
    fn new() -> Harness {
        let mut harness = Harness {
            partition: partition(),
            now: 1000,
            sequence: 0,
            revision: 100,
            running: Vec::new(),
            saving: Vec::new(),
            records: BTreeMap::new(),
        };
        harness.configure_borrowing();
        harness.submit(&submission_of("run-000001", LENDER, "batch", "standard", 8));
        harness.steps(4);
        assert_eq!(harness.running.len(), 8);
        harness
    }

    fn configure_borrowing(&mut self) {
        self.partition.enable_borrowing(borrowing());
        guarantee(&mut self.partition, LENDER, 2.0);
        guarantee(&mut self.partition, BORROWER, 1.0);
    }

    fn submit(&mut self, body: &[u8]) {
        let _answer = submit_job(&mut self.partition, body, self.now);
        self.finish_commit(true);
    }

    /// Submits the borrowing team's service with this number of replicas, and runs a scheduling cycle.
    fn burst(&mut self, replicas: u32) {
        self.submit(&submission_of("run-000002", BORROWER, "service", "urgent", replicas));
        self.partition.schedule(self.now, self.now);
    }

    /// Completes the next commit, or refuses it.
    fn finish_commit(&mut self, succeeds: bool) {
        let Some(commit) = self.partition.next_commit(self.now, 32) else { return };
        if succeeds {
            self.apply_commit(&commit);
            let _ = self.partition.apply_commit_outcome(CommitOutcome::Done { revision: self.revision });
        } else {
            let _ = self.partition.apply_commit_outcome(CommitOutcome::Refused);
        }
    }

    /// Applies the writes of a commit to the stored records.
    fn apply_commit(&mut self, commit: &Commit) {
        self.revision += 1;
        apply_writes(&mut self.records, &commit.writes, self.revision);
    }

    /// Sends a heartbeat of the machine, which carries the returned orders out.
    fn heartbeat(&mut self) -> Vec<Order> {
        self.sequence += 1;
        let phase = |task: &String| if self.saving.contains(task) { "flushing" } else { "running" };
        let tasks = self.running.iter().map(|(task, attempt)| task_status(task, *attempt, phase(task), None)).collect();
        let heartbeat = heartbeat("h1", 1, self.sequence, self.partition.fencing_token().0, tasks);
        let orders = self.partition.heartbeat(&heartbeat, StatusSource::Heartbeat, self.now);
        for order in &orders {
            match order {
                Order::Run { task, attempt } => self.running.push((task.clone(), *attempt)),
                Order::Stop { task, .. } => self.running.retain(|(own, _)| own != task),
                _ => {}
            }
        }
        orders
    }

    /// Advances the clock by one step: maintenance, a scheduling cycle, a commit and a heartbeat.
    fn step(&mut self, commits: bool) -> Vec<Order> {
        self.now += STEP_MS;
        self.partition.maintain_loans(self.now, self.now);
        self.partition.schedule(self.now, self.now);
        self.finish_commit(commits);
        self.heartbeat()
    }

    fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| _ = self.step(true));
    }

    /// Returns the number of a job's tasks on the machine.
    fn running_tasks(&self, job: &str) -> usize {
        self.running.iter().filter(|(task, _)| task.starts_with(job)).count()
    }

    /// Returns the states of all recorded loans, as JSON.
    fn loan_states(&self) -> Vec<String> {
        let records = self.records.iter().filter(|(key, _)| key.starts_with(LOAN_PREFIX));
        let loans = records.flat_map(|(_, (record, _))| record["loans"].as_array().unwrap());
        loans.map(|loan| loan["state"].to_string()).collect()
    }
}

/// Returns the number of orders to stop a task.
fn count_stops(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Stop { .. })).count()
}

#[test]
fn a_stop_for_another_team_is_ordered_once_its_record_is_written() {
    let mut harness = Harness::new();
    harness.burst(4);
    assert_eq!(count_stops(&harness.heartbeat()), 0, "the loan is not recorded yet");
    let host = harness.partition.dispatch_queue.hosts().iter().next().copied();
    let direct = host.and_then(|host| harness.partition.take_direct_command(host, harness.now, false));
    assert_eq!(direct.map_or(0, |direct| count_stops(&direct.orders)), 0, "no direct command either");
    harness.finish_commit(false);
    assert_eq!(count_stops(&harness.heartbeat()), 0, "the commit was refused");
    harness.finish_commit(true);
    assert!(harness.loan_states().iter().any(|state| state == "\"open\""));
    assert_eq!(count_stops(&harness.heartbeat()), 4);
    harness.steps(3);
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002")), (4, 4));
}

#[test]
fn a_loan_that_can_not_be_recorded_is_abandoned_and_tasks_keep_running() {
    let mut harness = Harness::new();
    harness.burst(4);
    let patience = 3 * harness.partition.policy.react_ms / STEP_MS;
    for _ in 0..patience {
        assert_eq!(count_stops(&harness.step(false)), 0);
    }
    assert_eq!(harness.running_tasks("run-000001"), 8);
    // The state service answers again.
    harness.steps(8);
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002")), (4, 4));
}

// A commit applies after its result became unknown and its loan was abandoned. Nothing must be stopped twice, and the
// final record must be correct.
#[test]
fn an_indeterminate_commit_that_applies_late_does_not_repeat_a_loan() {
    let mut harness = Harness::new();
    harness.burst(4);
    let indeterminate = harness.partition.next_commit(harness.now, 32).unwrap();
    let _ = harness.partition.apply_commit_outcome(CommitOutcome::Indeterminate);
    assert_eq!(count_stops(&harness.heartbeat()), 0, "the loan may not be recorded");
    assert!(harness.partition.next_commit(harness.now, 32).is_none(), "the keys must be read first");
    harness.apply_commit(&indeterminate);
    let found = harness.partition.reservation_keys_to_read().into_iter().map(|key| {
        let item = harness.records.get(&key).map(|(value, version)| KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        (key, item)
    });
    let found: Vec<(String, Option<KeyValue>)> = found.collect();
    harness.partition.apply_reservation_records(found);
    let retry = harness.partition.next_commit(harness.now, 32).unwrap();
    assert_eq!(
        retry.conditions.last().unwrap().version,
        harness.revision,
        "the retry is conditional on the version that was read"
    );
    harness.apply_commit(&retry);
    let _ = harness.partition.apply_commit_outcome(CommitOutcome::Done { revision: harness.revision });
    assert_eq!(count_stops(&harness.heartbeat()), 4);
    harness.steps(3);
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002")), (4, 4));
}

/// Lets a new leader begin with the stored records. The machine has not reported to it yet.
fn fail_over(harness: &mut Harness) {
    let items = |prefix: &str| -> Vec<KeyValue> {
        let under = harness.records.iter().filter(|(key, _)| key.starts_with(prefix));
        under
            .map(|(key, (value, version))| KeyValue { key: key.clone(), value: value.clone(), version: *version })
            .collect()
    };
    let (jobs, loans) = (items(JOB_PREFIX), items(LOAN_PREFIX));
    let hosts = self::stored_records(&mut harness.partition).1;
    harness.partition = partition_with_records(harness.partition.fencing_token().0 + 1, jobs, hosts);
    harness.configure_borrowing();
    harness.partition.restore_loans(loans);
}

#[test]
fn a_new_leader_lends_nothing_before_all_machines_are_reconciled() {
    let mut harness = Harness::new();
    harness.burst(4);
    // The loan is recorded, but no stop was ordered.
    harness.finish_commit(true);
    fail_over(&mut harness);
    harness.now += STEP_MS;
    harness.partition.maintain_loans(harness.now, harness.now);
    harness.partition.schedule(harness.now, harness.now);
    assert!(harness.partition.cluster.borrowing.as_ref().unwrap().refusal.is_some());
    assert!(harness.partition.next_commit(harness.now, 32).is_none());
    harness.steps(6);
    // Tasks that were not stopped do not count as lent, and a new loan meets the need.
    let status = harness.partition.loan_status(harness.now).unwrap();
    let lent: u32 = status.loans.iter().map(|entry| entry.loan.tasks).sum();
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002"), lent), (4, 4, 3));
}

// Tasks stopped by the previous leader were still saving their state when the machine reported to the new one, which
// counted them as running. The lender thus had fewer tasks than assumed, and was stopped below its floor.
#[test]
fn tasks_that_save_their_state_at_a_failover_count_as_stopped() {
    let mut harness = Harness::new();
    harness.burst(4);
    harness.finish_commit(true);
    harness.saving = (4..8).map(|task| format!("run-000001/{task}")).collect();
    fail_over(&mut harness);
    for _ in 0..6 {
        harness.step(true);
        let kept =
            harness.running.iter().filter(|(task, _)| task.starts_with("run-000001") && !harness.saving.contains(task));
        assert!(kept.count() >= 2, "the lender keeps its guarantee: {:?}", harness.running);
    }
    let status = harness.partition.loan_status(harness.now).unwrap();
    let lent: u32 = status.loans.iter().map(|entry| entry.loan.tasks).sum();
    assert_eq!(lent, 3, "the restored loan is open, and the fourth task is within the borrower's guarantee");
}

// A configuration change raises the lender's guarantee during a loan. The lender must get capacity back at once, one
// replica at a time, while the borrower keeps its own guarantee.
#[test]
fn a_lender_whose_guarantee_is_raised_during_a_loan_gets_capacity_back() {
    let mut harness = Harness::new();
    harness.burst(6);
    harness.steps(4);
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002")), (2, 6));
    guarantee(&mut harness.partition, LENDER, 5.0);
    let shortfall = harness
        .partition
        .loan_status(harness.now)
        .unwrap()
        .teams
        .iter()
        .find(|team| team.team == LENDER)
        .unwrap()
        .shortfall;
    assert_eq!(shortfall.gpus, 3.0);
    for _ in 0..20 {
        let orders = harness.step(true);
        assert!(count_stops(&orders) <= 1, "one replica at a time");
    }
    assert_eq!((harness.running_tasks("run-000001"), harness.running_tasks("run-000002")), (5, 3));
}

#[test]
fn a_cancelled_borrowing_job_returns_all_capacity() {
    let mut harness = Harness::new();
    harness.burst(4);
    harness.steps(4);
    let (answer, _receiver) = oneshot::channel();
    harness.partition.cancel("run-000002", harness.now, true, answer);
    harness.steps(4);
    assert_eq!(harness.running_tasks("run-000001"), 4, "capacity stays reserved because the need may come back");
    harness.steps(20);
    assert_eq!(harness.running_tasks("run-000001"), 8);
    assert!(harness.loan_states().iter().all(|state| state.contains("ended")), "{:?}", harness.loan_states());
    let status = harness.partition.loan_status(harness.now).unwrap();
    assert!(status.loans.is_empty() && status.teams.iter().all(|team| team.lent.is_zero()));
    let text = harness.partition.metrics.text() + &harness.partition.loan_gauges(harness.now);
    for figure in [
        "loans_total{of=\"open\"}",
        "loans_total{of=\"returned\"}",
        "loan_work_lost_s_total",
        "lent_gpus{team=\"blue\"} 0",
    ] {
        assert!(text.contains(figure), "{figure}: {text}");
    }
}

#[test]
fn without_borrowing_stops_are_ordered_at_once_and_no_loan_is_recorded() {
    let mut harness = Harness::new();
    harness.partition.borrowing = None;
    harness.partition.cluster.borrowing = None;
    harness.burst(4);
    assert!(harness.partition.next_commit(harness.now, 32).is_none());
    assert_eq!(count_stops(&harness.heartbeat()), 4);
    assert!(
        harness.partition.loan_status(harness.now).is_none() && harness.partition.loan_gauges(harness.now).is_empty()
    );
    assert_eq!(harness.partition.cluster.jobs[0].spec.urgency, Urgency::Normal);
}

#[test]
fn no_loan_is_proposed_while_the_state_service_does_not_answer() {
    let mut harness = Harness::new();
    harness.partition.conditions.reservations_recordable = false;
    harness.burst(4);
    let attempts = harness.partition.cluster.each_host().flat_map(|(_, host)| &host.attempts);
    assert_eq!(attempts.filter(|attempt| attempt.stop.is_some()).count(), 0);
    assert!(harness.partition.loan_status(harness.now).unwrap().loans.is_empty());
}

/// Returns the number of reservations for the borrowing team.
fn team_reservations(harness: &Harness) -> usize {
    harness
        .partition
        .cluster
        .each_host()
        .flat_map(|(_, host)| &host.reservations)
        .filter(|reservation| reservation.for_team)
        .count()
}

// Capacity stays reserved because the borrower's need may come back, but the lender has fallen below its floor meanwhile.
#[test]
fn capacity_that_is_reserved_for_a_borrower_is_released_for_a_lender_below_its_floor() {
    let mut harness = Harness::new();
    harness.burst(4);
    harness.steps(4);
    let (answer, _receiver) = oneshot::channel();
    harness.partition.cancel("run-000002", harness.now, true, answer);
    harness.steps(2);
    assert_eq!((team_reservations(&harness), harness.running_tasks("run-000001")), (4, 4));
    guarantee(&mut harness.partition, LENDER, 6.0);
    harness.steps(2);
    assert_eq!(team_reservations(&harness), 0);
    assert!(harness.running_tasks("run-000001") >= 6, "{:?}", harness.running);
}
