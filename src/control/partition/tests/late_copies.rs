//! Tests in which copies of direct commands that were carried out and answered reach a worker again.

use super::*;
use std::collections::BTreeMap;

/// Job whose tasks the tests follow.
const JOB: &str = "run-000001";

/// Scripted worker that follows the protocol, and the commands that it has answered.
struct Agent {
    host: &'static str,
    agent_epoch: u64,
    sequence: u64,
    seen_token: u64,
    /// Tasks with their attempts, and the reason of their end if they have ended.
    tasks: BTreeMap<(String, u64), Option<&'static str>>,
    answered: Vec<(u64, u64, Vec<Order>)>,
}

impl Agent {
    fn new(host: &'static str) -> Agent {
        Agent { host, agent_epoch: 1, sequence: 0, seen_token: 0, tasks: BTreeMap::new(), answered: Vec::new() }
    }

    fn status(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), ended)| match ended {
            Some(reason) => task_status(task, *attempt, "ended", Some(reason)),
            None => task_status(task, *attempt, "running", None),
        });
        heartbeat(self.host, self.agent_epoch, self.sequence, self.seen_token, tasks.collect())
    }

    fn carry_out(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Run { task, attempt } | Order::Attach { task, attempt, .. } => {
                    self.tasks.entry((task.clone(), *attempt)).or_insert(None);
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(ended) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        ended.get_or_insert("halted");
                    }
                }
                Order::Reap { task, attempt } => _ = self.tasks.remove(&(task.clone(), *attempt)),
                Order::Load { .. } | Order::Unload { .. } => unreachable!("no worker here loads models"),
            }
        }
    }

    /// Carries a direct command out unless the worker refuses it. Returns whether it was carried out.
    fn direct(&mut self, fencing_token: u64, agent_epoch: u64, orders: &[Order]) -> bool {
        let accepted = fencing_token >= self.seen_token && agent_epoch == self.agent_epoch;
        if accepted {
            self.seen_token = fencing_token;
            self.carry_out(orders);
        }
        accepted
    }

    /// Sends the leader a heartbeat and carries out the reply.
    fn report(&mut self, partition: &mut Partition, now: u64) {
        let status = self.status();
        let orders = partition.heartbeat(&status, StatusSource::Heartbeat, now);
        let token = partition.reply_token(&status).0;
        if token >= self.seen_token {
            self.seen_token = token;
            self.carry_out(&orders);
        }
    }

    /// Receives the direct command that is due, and answers it.
    fn receive(&mut self, partition: &mut Partition, now: u64) {
        let host_index = partition.cluster.host_index[self.host];
        let Some(command) = partition.take_direct_command(host_index, now, false) else { return };
        let accepted = self.direct(command.fencing_token.0, command.agent_epoch, &command.orders);
        let answer = Box::new(self.status());
        let outcome = if accepted {
            self.answered.push((command.fencing_token.0, command.agent_epoch, command.orders.clone()));
            DirectCommandOutcome::Answered(answer)
        } else {
            DirectCommandOutcome::Refused(answer)
        };
        partition.apply_direct_command_outcome(&command, outcome, now);
    }

    /// Reports and receives commands until nothing changes any more.
    fn settle(&mut self, partition: &mut Partition, now: u64) {
        for step in 0..6 {
            self.report(partition, now + step * 1000);
            complete_all_commits(partition, now + step * 1000, 200 + now + step);
            self.receive(partition, now + step * 1000);
        }
    }

    /// Lets copies of all answered commands arrive. Returns the attempts that they start.
    fn receive_copies(&mut self) -> Vec<(String, u64)> {
        let mut started = Vec::new();
        for (fencing_token, agent_epoch, orders) in self.answered.clone() {
            let before = self.tasks.clone();
            self.direct(fencing_token, agent_epoch, &orders);
            started.extend(self.tasks.keys().filter(|key| !before.contains_key(key)).cloned());
        }
        started
    }

    /// Ends all tasks that run, for this reason.
    fn end_tasks(&mut self, reason: &'static str) {
        self.tasks.values_mut().for_each(|ended| _ = ended.get_or_insert(reason));
    }
}

/// Returns a partition with a job whose tasks are placed on the worker and not ordered yet.
fn placed(shape: &str, tasks: u32) -> (Partition, Agent) {
    let mut partition = partition_with_tokens(FencingTokenRange::following(FencingToken::NONE), vec![], vec![]);
    let mut agent = Agent::new("h1");
    agent.seen_token = partition.fencing_token().0;
    agent.report(&mut partition, 1000);
    let _rx = submit_job(&mut partition, &job_submission(JOB, shape, tasks), 1000);
    complete_all_commits(&mut partition, 1000, 100);
    partition.schedule(1001, 1001);
    (partition, agent)
}

/// Returns a partition with a job, and the worker that runs its tasks after a direct command.
fn started_by_direct_command(shape: &str, tasks: u32) -> (Partition, Agent) {
    let (mut partition, mut agent) = placed(shape, tasks);
    agent.receive(&mut partition, 1001);
    agent.report(&mut partition, 1500);
    assert_eq!((agent.tasks.len(), agent.answered.len()), (tasks as usize, 1));
    (partition, agent)
}

/// Checks that the worker has discarded all attempts and that no copy starts one of them again.
fn assert_copies_start_nothing(agent: &mut Agent) {
    assert!(agent.tasks.is_empty(), "not discarded: {:?}", agent.tasks);
    assert_eq!(agent.receive_copies(), vec![]);
}

#[test]
fn a_copied_start_does_not_run_a_failed_and_moved_task_again() {
    let (mut partition, mut agent) = started_by_direct_command("service", 1);
    agent.end_tasks("error");
    agent.settle(&mut partition, 2000);
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_preempted_task_again() {
    let (mut partition, mut agent) = started_by_direct_command("batch", 1);
    partition.cluster.host_mut(0).unwrap().attempts[0].stop = Some(0.0);
    agent.settle(&mut partition, 2000);
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_task_of_a_cancelled_job_again() {
    let (mut partition, mut agent) = started_by_direct_command("service", 2);
    let mut cancelled = request_cancellation(&mut partition, JOB, 2000, true);
    agent.settle(&mut partition, 2000);
    partition.schedule(9000, 9000);
    complete_all_commits(&mut partition, 9000, 300);
    assert!(matches!(cancelled.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_completed_task_again() {
    let (mut partition, mut agent) = started_by_direct_command("batch", 2);
    agent.end_tasks("done");
    agent.settle(&mut partition, 2000);
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_gang_task_of_an_earlier_attempt_again() {
    let (mut partition, mut agent) = started_by_direct_command("group", 2);
    agent.end_tasks("mates_gone");
    agent.report(&mut partition, 2000);
    partition.schedule(2100, 2100);
    agent.settle(&mut partition, 2200);
    assert_eq!(agent.tasks.values().filter(|ended| ended.is_none()).count(), 2, "the next attempt runs");
    assert_eq!(agent.receive_copies(), vec![]);
}

#[test]
fn a_copied_start_of_the_former_leader_starts_nothing_under_its_successor() {
    let (mut partition, mut agent) = started_by_direct_command("service", 1);
    let (jobs, hosts) = stored_records(&mut partition);
    let mut successor = partition_with_records(5000, jobs, hosts);
    agent.end_tasks("error");
    agent.settle(&mut successor, 2000);
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_task_of_a_job_that_the_leader_does_not_hold() {
    let (mut partition, mut agent) = started_by_direct_command("service", 1);
    // The same command started a task whose job the leader does not hold any more.
    agent.answered[0].2.push(Order::Run { task: "run-000077/0".into(), attempt: 9 });
    agent.tasks.insert(("run-000077/0".into(), 9), None);
    agent.end_tasks("error");
    agent.settle(&mut partition, 2000);
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_copied_start_does_not_run_a_moved_task_after_its_machine_came_back() {
    let (mut partition, mut agent) = started_by_direct_command("service", 1);
    partition.heartbeat(&heartbeat("h2", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1600);
    complete_all_commits(&mut partition, 1600, 101);
    agent.tasks.clear();
    agent.settle(&mut partition, 2000);
    let place = partition.cluster.jobs[0].tasks.get(0).place;
    partition.schedule(9000, 9000);
    assert_eq!(place, Place::Idle, "the machine has shown that the task is gone");
    assert_eq!(agent.receive_copies(), vec![]);
}

#[test]
fn a_copied_attach_to_a_loaded_model_does_not_run_a_failed_task_again() {
    let (mut partition, mut agent) = placed("service", 1);
    partition.cluster.host_mut(0).unwrap().attempts[0].slot = Some(7);
    agent.receive(&mut partition, 1001);
    agent.end_tasks("error");
    agent.settle(&mut partition, 2000);
    assert!(matches!(agent.answered[0].2[..], [Order::Attach { .. }]));
    assert_copies_start_nothing(&mut agent);
}

#[test]
fn a_late_attach_to_a_loaded_model_does_not_run_a_task_of_a_cancelled_job() {
    let (mut partition, mut agent) = placed("service", 1);
    partition.cluster.host_mut(0).unwrap().attempts[0].slot = Some(7);
    let late = partition.take_direct_command(0, 1001, false).unwrap();
    partition.apply_direct_command_outcome(&late, DirectCommandOutcome::Indeterminate, 1100);
    agent.answered.push((late.fencing_token.0, late.agent_epoch, late.orders));
    let mut cancelled = request_cancellation(&mut partition, JOB, 1200, true);
    agent.seen_token = partition.fencing_token().0;
    for now in [2000, 3000, 4000] {
        agent.report(&mut partition, now);
        partition.schedule(now, now);
        complete_all_commits(&mut partition, now, 200 + now);
    }
    assert!(cancelled.try_recv().is_ok(), "the worker has shown that the task cannot start");
    assert_eq!(agent.receive_copies(), vec![]);
}

#[test]
fn nothing_is_placed_on_or_moved_off_a_machine_whose_agent_has_lost_its_memory() {
    for reports_more_than_before in [false, true] {
        let (mut partition, mut agent) = started_by_direct_command("service", 2);
        partition.heartbeat(&heartbeat("h2", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1600);
        let places = |partition: &Partition| {
            (0..2).map(|task| partition.cluster.jobs[0].tasks.get(task).place).collect::<Vec<_>>()
        };
        let before = places(&partition);
        agent.tasks.clear();
        (agent.seen_token, agent.sequence) = (0, if reports_more_than_before { 1000 } else { 0 });
        for now in [2000, 3000] {
            agent.report(&mut partition, now);
            let host_index = partition.cluster.host_index["h1"];
            let command = partition.take_direct_command(host_index, now + 500, true).unwrap();
            agent.direct(command.fencing_token.0, command.agent_epoch, &command.orders);
            let outcome = DirectCommandOutcome::Answered(Box::new(agent.status()));
            partition.apply_direct_command_outcome(&command, outcome, now + 500);
            partition.schedule(now, now);
        }
        let _rx = submit_job(&mut partition, &job_submission("run-000002", "batch", 4), 3600);
        complete_all_commits(&mut partition, 3600, 300);
        partition.schedule(3700, 3700);
        assert_eq!(places(&partition), before);
        let others = &partition.cluster.jobs[1].tasks;
        assert!(others.all(|task| matches!(task.place, Place::OnHost(1, _))), "{others:?}");
        assert_eq!(partition.detect_failures(4000, 0).to_terminate, ["h1"]);
        assert!(partition.metrics_mut().text().contains("badgerdrift_agents_without_memory_total{of=\"all\"} 1"));
        partition.host_terminated("h1");
        partition.schedule(5000, 5000);
        assert_ne!(places(&partition), before);
    }
}
