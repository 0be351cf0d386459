//! Tests of loans between teams: which tasks of other teams a scheduling cycle preempts, and the capacity that it
//! leaves them.

use super::*;
use badgerdrift_borrowing::{Amounts, BorrowingSettings, LoanKind, Priority, Refusal};
use std::collections::BTreeMap;
use std::sync::Arc;

const GPUS_PER_HOST: f64 = 8.0;
/// Interval between two cycles, in milliseconds.
const ROUND_MS: u64 = 2000;
const TEAMS: [&str; 3] = ["desk", "night", "tune"];

/// Returns settings by which each team lends the capacity of standard work to each other team and borrows for
/// urgent work.
fn mutual_lending() -> BorrowingSettings {
    let entries = |team: &str| {
        let others: Vec<&str> = TEAMS.into_iter().filter(|other| *other != team).collect();
        (
            format!(r#""{team}": {{"to": {others:?}, "up_to": "standard"}}"#),
            format!(r#""{team}": {{"from": "urgent"}}"#),
        )
    };
    let (lenders, borrowers): (Vec<String>, Vec<String>) = TEAMS.into_iter().map(entries).unzip();
    serde_json::from_str(&format!(
        r#"{{"lender": {{{}}}, "borrower": {{{}}}}}"#,
        lenders.join(","),
        borrowers.join(",")
    ))
    .unwrap()
}

/// A job to submit in a given round.
#[derive(Debug, Clone)]
struct Work {
    team: usize,
    shape: Shape,
    urgency: Urgency,
    tasks: u32,
    gpus: u32,
    checkpoint_s: f64,
    accepted_round: u64,
}

fn any_work() -> impl Strategy<Value = Work> {
    let shape = prop_oneof![Just(Shape::Batch), Just(Shape::Gang), Just(Shape::Service)];
    let urgency =
        prop_oneof![Just(Urgency::Low), Just(Urgency::Normal), Just(Urgency::High), Just(Urgency::Production)];
    let checkpoint_s = prop_oneof![Just(0.0), Just(30.0)];
    (0..TEAMS.len(), shape, urgency, 1u32..12, 1u32..5, checkpoint_s, 0u64..8).prop_map(
        |(team, shape, urgency, tasks, gpus, checkpoint_s, accepted_round)| Work {
            team,
            shape,
            urgency,
            tasks,
            gpus,
            checkpoint_s,
            accepted_round,
        },
    )
}

/// A cluster in which tasks run until they are stopped and stops take effect at once, with the loans so far.
struct Fleet {
    cluster: ClusterState,
    policy: Policy,
    settings: Arc<BorrowingSettings>,
    /// Amounts lent, by lender.
    lent_by_team: BTreeMap<String, Amounts>,
    /// Amounts owed, by lender and borrower.
    owed_by_pair: BTreeMap<(String, String), Amounts>,
    /// Jobs that were preempted for a loan recently.
    recently_preempted: Vec<JobIndex>,
    /// Jobs whose capacity is being returned, with the number of tasks to place first.
    returning_tasks: Vec<(JobIndex, u32)>,
    reserves_for_teams: bool,
    next_attempt: u64,
}

impl Fleet {
    fn new(hosts: usize, guarantees: [u32; 3]) -> Fleet {
        let mut policy = policy();
        let unlimited = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };
        for (team, gpus) in TEAMS.into_iter().zip(guarantees) {
            let guarantee = Demand { cpus: 0.0, gpus: f64::from(gpus), mem: f64::INFINITY };
            let rule = TeamRule { guarantee, limit: unlimited, limit_is_final: true, removed: false };
            policy.teams.insert(team.into(), rule);
        }
        let mut cluster = cluster(&vec![("a", false); hosts]);
        cluster.instance_types = vec![instance_type("g8", GPUS_PER_HOST, &["a"])];
        Fleet {
            cluster,
            policy,
            settings: Arc::new(mutual_lending()),
            lent_by_team: BTreeMap::new(),
            owed_by_pair: BTreeMap::new(),
            recently_preempted: Vec::new(),
            returning_tasks: Vec::new(),
            reserves_for_teams: false,
            next_attempt: 0,
        }
    }

    fn add(&mut self, work: &Work, now: u64) -> JobIndex {
        let id = format!("run-{:06}", self.cluster.jobs.len());
        let mut job = spec(&id, work.shape, work.tasks, f64::from(work.gpus));
        job.demand.mem = 1.0;
        (job.team, job.urgency) = (TEAMS[work.team].into(), work.urgency);
        (job.checkpoint_s, job.save_s) = (work.checkpoint_s, if work.checkpoint_s > 0.0 { 2.0 } else { 0.0 });
        job.expected_s = 600.0;
        add_job(&mut self.cluster, job, now)
    }

    /// Returns the accelerators taken by the attempts of the team that are not being stopped.
    fn gpus(&self, team: &str) -> f64 {
        let attempts = self.cluster.each_host().flat_map(|(_, host)| &host.attempts);
        let staying = attempts.filter(|attempt| attempt.stop.is_none());
        staying
            .filter(|attempt| self.cluster.jobs[attempt.key.job].spec.team == team)
            .map(|attempt| attempt.demand.gpus)
            .sum()
    }

    /// Returns the accelerators that all tasks of the team would take.
    fn wanted(&self, team: &str) -> f64 {
        let specs = self.cluster.jobs.iter().map(|job| &job.spec).filter(|spec| spec.team == team);
        specs.map(|spec| spec.demand.gpus * f64::from(spec.tasks)).sum()
    }

    fn guarantee(&self, team: &str) -> f64 {
        self.policy.teams[team].guarantee.gpus
    }

    /// Returns the accelerators below which loans must not bring the team.
    fn floor(&self, team: &str) -> f64 {
        self.guarantee(team).min(self.wanted(team))
    }

    /// Runs a cycle and records its loans.
    fn schedule(&mut self, now: u64) -> CycleDecisions {
        let runnable = TEAMS.map(|team| (team.to_string(), Amounts::new(0.0, self.wanted(team))));
        self.cluster.borrowing = Some(crate::model::BorrowingState {
            settings: self.settings.clone(),
            refusal: None,
            runnable: runnable.into(),
            lent_by_team: self.lent_by_team.clone(),
            owed_by_pair: self.owed_by_pair.clone(),
            reserves_for_teams: self.reserves_for_teams,
            recently_preempted: self.recently_preempted.iter().copied().collect(),
            returning_tasks: self.returning_tasks.iter().copied().collect(),
        });
        let next_attempt = &mut self.next_attempt;
        let outcome = schedule(&mut self.cluster, &self.policy, now, now, Urgency::Low, || {
            *next_attempt += 1;
            *next_attempt
        });
        for stop in &outcome.stops {
            let lender = self.cluster.jobs[stop.key.job].spec.team.clone();
            let borrower = self.cluster.jobs[stop.preempting_job].spec.team.clone();
            let amounts = Amounts::from(self.cluster.jobs[stop.key.job].spec.demand);
            if stop.cause == StopCause::Loan(LoanKind::Borrowed) {
                let lent = self.lent_by_team.entry(lender.clone()).or_default();
                *lent = lent.sum_with(amounts);
                let owed = self.owed_by_pair.entry((lender, borrower)).or_default();
                *owed = owed.sum_with(amounts);
            }
        }
        outcome
    }

    /// Removes the stopped attempts.
    fn carry_out(&mut self, stops: &[Preemption]) {
        for stop in stops {
            let host = self.cluster.host_mut(stop.host).unwrap();
            host.attempts.retain(|attempt| attempt.key != stop.key);
            self.cluster.jobs[stop.key.job].tasks.update(stop.key.task, |task| task.place = Place::Idle);
        }
    }

    /// Adds a job and runs a cycle, which must preempt nothing.
    fn run(&mut self, work: &Work, now: u64) -> JobIndex {
        let job = self.add(work, now);
        let outcome = self.schedule(now);
        assert!(outcome.stops.is_empty());
        job
    }
}

fn work(team: usize, shape: Shape, urgency: Urgency, tasks: u32, gpus: u32) -> Work {
    Work { team, shape, urgency, tasks, gpus, checkpoint_s: 30.0, accepted_round: 0 }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    // More urgent work of one team kept others below their guarantees as long as it ran: 60 urgent replicas left
    // four of the 64 tasks of a team with a guarantee of 40.
    #[test]
    fn no_team_is_preempted_below_its_guarantee_for_another_team(
        guarantees in prop::array::uniform3(0u32..11),
        work in prop::collection::vec(any_work(), 1..14),
        hosts in 1usize..5,
    ) {
        let mut fleet = Fleet::new(hosts, guarantees);
        for round in 1..24 {
            let now = round * ROUND_MS;
            work.iter().filter(|work| work.accepted_round + 1 == round).for_each(|work| { fleet.add(work, now); });
            let outcome = fleet.schedule(now);
            for team in TEAMS {
                let of_team = |job: JobIndex| fleet.cluster.jobs[job].spec.team == team;
                let stopped = |by_others: bool| -> f64 {
                    let stops =
                        outcome.stops.iter().filter(|stop| of_team(stop.key.job) && of_team(stop.preempting_job) != by_others);
                    stops.map(|stop| fleet.cluster.jobs[stop.key.job].spec.demand.gpus).sum()
                };
                // Starts of the same cycle count as left; preemptions within the team do not count as taken.
                let left = fleet.gpus(team) + stopped(false);
                prop_assert!(
                    stopped(true) == 0.0 || left >= fleet.guarantee(team) - 1e-6,
                    "{team}: {} taken, {left} left, guarantee {}", stopped(true), fleet.guarantee(team)
                );
            }
            for stop in &outcome.stops {
                let whole = fleet.cluster.jobs[stop.key.job].spec.shape != Shape::Gang
                    || outcome.stops.iter().filter(|other| other.key.job == stop.key.job).count()
                        == fleet.cluster.jobs[stop.key.job].spec.tasks as usize;
                prop_assert!(whole, "a gang is preempted only whole");
                let lends = matches!(stop.cause, StopCause::Loan(_));
                let spec = &fleet.cluster.jobs[stop.key.job].spec;
                prop_assert!(
                    !lends || stop.grace_s >= spec.grace_s(),
                    "a task that can save a checkpoint gets the time for it"
                );
                let same_team = spec.team == fleet.cluster.jobs[stop.preempting_job].spec.team;
                prop_assert!(lends != same_team || matches!(stop.cause, StopCause::Reclaim | StopCause::Migration),
                    "{:?} between teams: {}", stop.cause, !same_team);
            }
            fleet.carry_out(&outcome.stops);
        }
    }
}

// With 64 task slots, the team with a guarantee of 40 was left with four.
#[test]
fn urgent_work_preempts_another_team_down_to_its_guarantee_and_no_further() {
    let mut fleet = Fleet::new(8, [20, 40, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 64, 1), 1);
    fleet.add(&work(0, Shape::Service, Urgency::High, 60, 1), 2);
    let outcome = fleet.schedule(3);
    assert_eq!((outcome.stops.len(), fleet.gpus("night")), (24, 40.0));
    let guaranteed = outcome.stops.iter().filter(|stop| stop.cause == StopCause::Loan(LoanKind::Guaranteed));
    assert_eq!(guaranteed.count(), 20, "the rest is borrowed");
    assert!(
        fleet
            .cluster
            .each_host()
            .flat_map(|(_, host)| &host.attempts)
            .all(|attempt| attempt.stop.is_none() || attempt.stop_awaits_record)
    );
}

#[test]
fn teams_at_their_guarantees_lend_nothing_and_the_refusal_names_the_reason() {
    let mut fleet = Fleet::new(2, [8, 8, 0]);
    fleet.run(&work(0, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 2);
    let desk = fleet.add(&work(0, Shape::Service, Urgency::High, 4, 1), 3);
    let night = fleet.add(&work(1, Shape::Service, Urgency::High, 4, 1), 4);
    let outcome = fleet.schedule(5);
    let between_teams = |stop: &&Preemption| {
        fleet.cluster.jobs[stop.key.job].spec.team != fleet.cluster.jobs[stop.preempting_job].spec.team
    };
    assert_eq!(outcome.stops.iter().filter(between_teams).count(), 0);
    // Within a team urgency decides, so that nothing is refused. A third team finds no lender.
    assert_eq!(outcome.stops.len(), 8);
    let tune = fleet.add(&work(2, Shape::Service, Urgency::High, 1, 1), 6);
    let outcome = fleet.schedule(7);
    assert_eq!(
        outcome.refused_loans.last().map(|refused| (refused.job, refused.reason)),
        Some((tune, Refusal::LenderAtFloor))
    );
    assert!(desk < night);
}

#[test]
fn tasks_that_lose_the_least_work_are_preempted_and_no_gang_for_one_accelerator() {
    let mut fleet = Fleet::new(3, [0, 0, 0]);
    let gang = fleet.run(&work(1, Shape::Gang, Urgency::Normal, 16, 1), 1);
    let unsaved = fleet.run(&Work { checkpoint_s: 0.0, ..work(1, Shape::Batch, Urgency::Normal, 4, 1) }, 2);
    let saved = fleet.run(&work(2, Shape::Batch, Urgency::Normal, 4, 1), 3);
    // After 100 s a task without checkpoints would lose all its work, and one with checkpoints 10 s.
    fleet.add(&work(0, Shape::Service, Urgency::High, 4, 1), 100_003);
    let outcome = fleet.schedule(100_004);
    assert!(outcome.stops.iter().all(|stop| stop.key.job == saved), "{gang} {unsaved} {:?}", outcome.stops);
    assert_eq!(outcome.stops.len(), 4);
}

#[test]
fn a_job_that_was_preempted_recently_is_spared_while_another_one_can_be() {
    let mut fleet = Fleet::new(2, [0, 0, 0]);
    let first = fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    let second = fleet.run(&Work { checkpoint_s: 0.0, ..work(1, Shape::Batch, Urgency::Normal, 8, 1) }, 2);
    fleet.recently_preempted = vec![first];
    fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 60_000);
    let outcome = fleet.schedule(60_001);
    assert!(outcome.stops.len() == 8 && outcome.stops.iter().all(|stop| stop.key.job == second));
    fleet.carry_out(&outcome.stops);
    fleet.schedule(60_002);
    // No other job can be preempted.
    fleet.add(&work(0, Shape::Service, Urgency::Production, 8, 1), 60_003);
    let outcome = fleet.schedule(60_004);
    let loans: Vec<&Preemption> =
        outcome.stops.iter().filter(|stop| matches!(stop.cause, StopCause::Loan(_))).collect();
    assert!(loans.iter().all(|stop| stop.key.job == first && stop.grace_s >= 2.0));
}

#[test]
fn a_lender_below_its_guarantee_reclaims_capacity_one_replica_at_a_time() {
    let mut fleet = Fleet::new(2, [2, 8, 0]);
    let night = fleet.run(&work(1, Shape::Batch, Urgency::Normal, 16, 1), 1);
    let service = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 2);
    let outcome = fleet.schedule(3);
    fleet.carry_out(&outcome.stops);
    fleet.schedule(4);
    assert_eq!((fleet.gpus("desk"), fleet.gpus("night")), (8.0, 8.0));
    // A machine with tasks of the lender fails.
    let lost = fleet.cluster.hosts[1].take().unwrap();
    lost.attempts.iter().for_each(|attempt| {
        fleet.cluster.jobs[attempt.key.job].tasks.update(attempt.key.task, |task| task.place = Place::Idle);
    });
    let (mut reclaimed, mut max_at_once) = (0, 0);
    for round in 5..40 {
        let outcome = fleet.schedule(round * ROUND_MS);
        let reclaims: Vec<&Preemption> = outcome.stops.iter().filter(|stop| stop.cause == StopCause::Reclaim).collect();
        assert!(
            reclaims
                .iter()
                .all(|stop| stop.key.job == service && fleet.cluster.jobs[stop.preempting_job].spec.team == "night")
        );
        (reclaimed, max_at_once) = (reclaimed + reclaims.len(), max_at_once.max(reclaims.len()));
        fleet.carry_out(&outcome.stops);
    }
    let staying = (fleet.gpus("desk"), fleet.gpus("night"));
    assert!(staying.0 >= 2.0, "the borrower keeps its guarantee: {staying:?}");
    assert!(
        reclaimed > 0 && max_at_once == 1,
        "{reclaimed} reclaimed, {max_at_once} at once; job {night}: {staying:?}"
    );
    assert_eq!(fleet.floor("desk"), 2.0);
}

#[test]
fn nothing_is_lent_to_work_that_may_not_borrow_or_beyond_the_lending_limit() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Low, 8, 1), 1);
    let standard = fleet.add(&work(0, Shape::Batch, Urgency::Normal, 2, 1), 2);
    let outcome = fleet.schedule(3);
    assert!(outcome.stops.is_empty());
    assert_eq!(outcome.refused_loans[0].reason, Refusal::NotABorrower);
    fleet.cluster.jobs[standard].cancelling = true;
    let mut settings = mutual_lending();
    settings.lenders.get_mut("night").unwrap().most_gpus = Some(3.0);
    settings.lenders.get_mut("night").unwrap().up_to = Priority::BestEffort;
    fleet.settings = Arc::new(settings);
    fleet.add(&work(0, Shape::Service, Urgency::High, 5, 1), 4);
    let outcome = fleet.schedule(5);
    assert_eq!(outcome.stops.len(), 3);
    assert_eq!(outcome.refused_loans.last().unwrap().reason, Refusal::LenderAtLimit);
}

#[test]
fn a_borrower_preempts_no_more_than_its_team_limit_allows() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.policy.teams.get_mut("desk").unwrap().limit.gpus = 3.0;
    fleet.add(&work(0, Shape::Service, Urgency::High, 3, 1), 2);
    fleet.add(&work(0, Shape::Service, Urgency::Production, 3, 1), 3);
    let outcome = fleet.schedule(4);
    assert_eq!(outcome.stops.len(), 3);
}

// Two tasks may be stopped, which does not free enough for a task with four accelerators.
#[test]
fn nothing_is_preempted_if_the_guarantee_of_the_lender_leaves_too_little_capacity() {
    let mut fleet = Fleet::new(1, [0, 6, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.add(&work(0, Shape::Service, Urgency::High, 1, 4), 2);
    assert!(fleet.schedule(3).stops.is_empty());
    fleet.add(&work(0, Shape::Service, Urgency::High, 1, 2), 4);
    assert_eq!(fleet.schedule(5).stops.len(), 2);
}

// Capacity reserved for one team was taken as unavailable for all jobs with the same requirements, once a job of
// another team had found none.
#[test]
fn capacity_reserved_for_a_team_is_found_after_a_job_of_another_team_found_none() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    let ended = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 1);
    fleet.cluster.jobs[ended].cancelling = true;
    fleet.reserves_for_teams = true;
    let demand = fleet.cluster.jobs[ended].spec.demand.times(8.0);
    fleet.cluster.host_mut(0).unwrap().reservations.push(Reservation::of_team(ended, demand, 100_000));
    fleet.add(&work(1, Shape::Service, Urgency::Production, 8, 1), 2);
    let desk = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 3);
    let outcome = fleet.schedule(4);
    assert!(outcome.starts.len() == 8 && outcome.starts.iter().all(|start| start.key.job == desk));
}

#[test]
fn only_as_many_tasks_as_capacity_was_returned_for_are_placed_before_more_urgent_work() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    let night = fleet.add(&work(1, Shape::Batch, Urgency::Low, 8, 1), 1);
    let urgent = fleet.add(&work(2, Shape::Service, Urgency::Production, 8, 1), 2);
    fleet.returning_tasks = vec![(night, 3)];
    let outcome = fleet.schedule(3);
    let started = |job: JobIndex| outcome.starts.iter().filter(|start| start.key.job == job).count();
    assert_eq!((started(night), started(urgent)), (3, 5));
}
