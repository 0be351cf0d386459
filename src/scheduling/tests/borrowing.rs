//! Tests of loans between teams: what a scheduling cycle stops of other teams, and what it leaves them.

use super::*;
use badgerdrift_borrowing::{Amounts, BorrowingSettings, LoanKind, Priority, Refusal};
use std::collections::BTreeMap;
use std::sync::Arc;

const GPUS_PER_HOST: f64 = 8.0;
const ROUND_MS: u64 = 2000;
const TEAMS: [&str; 3] = ["desk", "night", "tune"];

/// Each team lends ordinary work to each other one, and borrows for urgent work.
fn ring() -> BorrowingSettings {
    let text = |team: &str| {
        let others: Vec<&str> = TEAMS.into_iter().filter(|other| *other != team).collect();
        (
            format!(r#""{team}": {{"to": {others:?}, "up_to": "standard"}}"#),
            format!(r#""{team}": {{"from": "urgent"}}"#),
        )
    };
    let (lenders, borrowers): (Vec<String>, Vec<String>) = TEAMS.into_iter().map(text).unzip();
    serde_json::from_str(&format!(
        r#"{{"lender": {{{}}}, "borrower": {{{}}}}}"#,
        lenders.join(","),
        borrowers.join(",")
    ))
    .unwrap()
}

#[derive(Debug, Clone)]
struct Work {
    team: usize,
    shape: Shape,
    urgency: Urgency,
    tasks: u32,
    gpus: u32,
    checkpoint_s: f64,
    round: u64,
}

fn any_work() -> impl Strategy<Value = Work> {
    let shape = prop_oneof![Just(Shape::Batch), Just(Shape::Gang), Just(Shape::Service)];
    let urgency =
        prop_oneof![Just(Urgency::Low), Just(Urgency::Normal), Just(Urgency::High), Just(Urgency::Production)];
    let checkpoint_s = prop_oneof![Just(0.0), Just(30.0)];
    (0..TEAMS.len(), shape, urgency, 1u32..12, 1u32..5, checkpoint_s, 0u64..8).prop_map(
        |(team, shape, urgency, tasks, gpus, checkpoint_s, round)| Work {
            team,
            shape,
            urgency,
            tasks,
            gpus,
            checkpoint_s,
            round,
        },
    )
}

/// Machines of which nothing is free for long: tasks run until they are stopped.
struct Fleet {
    cluster: ClusterState,
    policy: Policy,
    settings: Arc<BorrowingSettings>,
    lent: BTreeMap<String, Amounts>,
    owed: BTreeMap<(String, String), Amounts>,
    quiet: Vec<JobIndex>,
    returning: Vec<(JobIndex, u32)>,
    reserves_for_teams: bool,
    next_attempt: u64,
}

impl Fleet {
    fn new(hosts: usize, guarantees: [u32; 3]) -> Fleet {
        let mut policy = policy();
        let unlimited = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };
        for (team, gpus) in TEAMS.into_iter().zip(guarantees) {
            let guarantee = Demand { cpus: 0.0, gpus: f64::from(gpus), mem: f64::INFINITY };
            let rule = TeamRule { guarantee, limit: unlimited, settled: true, removed: false };
            policy.teams.insert(team.into(), rule);
        }
        let mut cluster = cluster(&vec![("a", false); hosts]);
        cluster.instance_types = vec![instance_type("g8", GPUS_PER_HOST, &["a"])];
        Fleet {
            cluster,
            policy,
            settings: Arc::new(ring()),
            lent: BTreeMap::new(),
            owed: BTreeMap::new(),
            quiet: Vec::new(),
            returning: Vec::new(),
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
        add(&mut self.cluster, job, now)
    }

    fn gpus(&self, team: &str) -> f64 {
        let attempts = self.cluster.each_host().flat_map(|(_, host)| &host.attempts);
        let staying = attempts.filter(|attempt| attempt.stop.is_none());
        staying.filter(|a| self.cluster.jobs[a.key.job].spec.team == team).map(|a| a.demand.gpus).sum()
    }

    /// What the team's jobs could use: all that is not done.
    fn wanted(&self, team: &str) -> f64 {
        let specs = self.cluster.jobs.iter().map(|job| &job.spec).filter(|spec| spec.team == team);
        specs.map(|spec| spec.demand.gpus * f64::from(spec.tasks)).sum()
    }

    fn guarantee(&self, team: &str) -> f64 {
        self.policy.teams[team].guarantee.gpus
    }

    fn floor(&self, team: &str) -> f64 {
        self.guarantee(team).min(self.wanted(team))
    }

    fn schedule(&mut self, now: u64) -> CycleDecisions {
        let runnable = TEAMS.map(|team| (team.to_string(), Amounts::new(0.0, self.wanted(team))));
        self.cluster.borrowing = Some(crate::model::BorrowingState {
            settings: self.settings.clone(),
            closed: None,
            runnable: runnable.into(),
            lent: self.lent.clone(),
            owed: self.owed.clone(),
            reserves_for_teams: self.reserves_for_teams,
            quiet: self.quiet.iter().copied().collect(),
            returning: self.returning.iter().copied().collect(),
        });
        let next_attempt = &mut self.next_attempt;
        let outcome = schedule(&mut self.cluster, &self.policy, now, now, Urgency::Low, || {
            *next_attempt += 1;
            *next_attempt
        });
        for stop in &outcome.stops {
            let lender = self.cluster.jobs[stop.key.job].spec.team.clone();
            let borrower = self.cluster.jobs[stop.by].spec.team.clone();
            let amounts = Amounts::from(self.cluster.jobs[stop.key.job].spec.demand);
            if stop.cause == StopCause::Loan(LoanKind::Borrowed) {
                let lent = self.lent.entry(lender.clone()).or_default();
                *lent = lent.plus(amounts);
                let owed = self.owed.entry((lender, borrower)).or_default();
                *owed = owed.plus(amounts);
            }
        }
        outcome
    }

    /// What was stopped is gone.
    fn carry_out(&mut self, stops: &[Preemption]) {
        for stop in stops {
            let host = self.cluster.host_mut(stop.host).unwrap();
            host.attempts.retain(|attempt| attempt.key != stop.key);
            self.cluster.jobs[stop.key.job].tasks[stop.key.task as usize].place = Place::Idle;
        }
    }

    /// Adds a job and lets it start.
    fn run(&mut self, work: &Work, now: u64) -> JobIndex {
        let job = self.add(work, now);
        let outcome = self.schedule(now);
        assert!(outcome.stops.is_empty());
        job
    }
}

fn work(team: usize, shape: Shape, urgency: Urgency, tasks: u32, gpus: u32) -> Work {
    Work { team, shape, urgency, tasks, gpus, checkpoint_s: 30.0, round: 0 }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    // More urgent work of one team held others below their guarantees for as long as it lasted: of 64
    // tasks of a team with a guarantee of 40, 60 urgent replicas left four.
    #[test]
    fn no_stop_for_another_team_brings_one_below_its_floor(
        guarantees in prop::array::uniform3(0u32..11),
        work in prop::collection::vec(any_work(), 1..14),
        hosts in 1usize..5,
    ) {
        let mut fleet = Fleet::new(hosts, guarantees);
        for round in 1..24 {
            let now = round * ROUND_MS;
            work.iter().filter(|w| w.round + 1 == round).for_each(|w| { fleet.add(w, now); });
            let outcome = fleet.schedule(now);
            for team in TEAMS {
                let of_team = |job: JobIndex| fleet.cluster.jobs[job].spec.team == team;
                let stopped = |by_others: bool| -> f64 {
                    let of_team = outcome.stops.iter().filter(|s| of_team(s.key.job) && of_team(s.by) != by_others);
                    of_team.map(|s| fleet.cluster.jobs[s.key.job].spec.demand.gpus).sum()
                };
                // Starts of the same cycle count, and what the team stops for itself does not.
                let left = fleet.gpus(team) + stopped(false);
                prop_assert!(
                    stopped(true) == 0.0 || left >= fleet.guarantee(team) - 1e-6,
                    "{team}: {} taken, {left} left, guarantee {}", stopped(true), fleet.guarantee(team)
                );
            }
            for stop in &outcome.stops {
                let whole = fleet.cluster.jobs[stop.key.job].spec.shape != Shape::Gang
                    || outcome.stops.iter().filter(|s| s.key.job == stop.key.job).count()
                        == fleet.cluster.jobs[stop.key.job].spec.tasks as usize;
                prop_assert!(whole, "a gang is stopped whole");
                let lends = matches!(stop.cause, StopCause::Loan(_));
                let spec = &fleet.cluster.jobs[stop.key.job].spec;
                prop_assert!(!lends || stop.grace_s >= spec.grace_s(), "what can save has the time for it");
                let same_team = spec.team == fleet.cluster.jobs[stop.by].spec.team;
                prop_assert!(lends != same_team || matches!(stop.cause, StopCause::Reclaim | StopCause::Move),
                    "{:?} between teams: {}", stop.cause, !same_team);
            }
            fleet.carry_out(&outcome.stops);
        }
    }
}

// As found with 64 places: the team with a guarantee of 40 was left with four.
#[test]
fn a_burst_takes_what_is_beyond_the_guarantee_and_no_more() {
    let mut fleet = Fleet::new(8, [20, 40, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 64, 1), 1);
    fleet.add(&work(0, Shape::Service, Urgency::High, 60, 1), 2);
    let outcome = fleet.schedule(3);
    assert_eq!((outcome.stops.len(), fleet.gpus("night")), (24, 40.0));
    let guaranteed = outcome.stops.iter().filter(|s| s.cause == StopCause::Loan(LoanKind::Guaranteed));
    assert_eq!(guaranteed.count(), 20, "the rest is borrowed");
    assert!(fleet.cluster.each_host().flat_map(|(_, h)| &h.attempts).all(|a| a.stop.is_none() || a.stop_awaits_record));
}

#[test]
fn teams_at_their_guarantees_lend_nothing_to_each_other_and_it_is_said_why() {
    let mut fleet = Fleet::new(2, [8, 8, 0]);
    fleet.run(&work(0, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 2);
    let desk = fleet.add(&work(0, Shape::Service, Urgency::High, 4, 1), 3);
    let night = fleet.add(&work(1, Shape::Service, Urgency::High, 4, 1), 4);
    let outcome = fleet.schedule(5);
    let between_teams = |s: &&Preemption| fleet.cluster.jobs[s.key.job].spec.team != fleet.cluster.jobs[s.by].spec.team;
    assert_eq!(outcome.stops.iter().filter(between_teams).count(), 0);
    // Within a team urgency decides: nothing is refused. A third team has nothing to give.
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
fn what_loses_least_gives_way_and_no_gang_for_one_accelerator() {
    let mut fleet = Fleet::new(3, [0, 0, 0]);
    let gang = fleet.run(&work(1, Shape::Gang, Urgency::Normal, 16, 1), 1);
    let unsaved = fleet.run(&Work { checkpoint_s: 0.0, ..work(1, Shape::Batch, Urgency::Normal, 4, 1) }, 2);
    let saved = fleet.run(&work(2, Shape::Batch, Urgency::Normal, 4, 1), 3);
    // 100 s later all of the unsaved work would be lost, and 10 s of the other.
    fleet.add(&work(0, Shape::Service, Urgency::High, 4, 1), 100_003);
    let outcome = fleet.schedule(100_004);
    assert!(outcome.stops.iter().all(|stop| stop.key.job == saved), "{gang} {unsaved} {:?}", outcome.stops);
    assert_eq!(outcome.stops.len(), 4);
}

#[test]
fn a_job_that_gave_way_is_passed_over_while_another_can_give() {
    let mut fleet = Fleet::new(2, [0, 0, 0]);
    let first = fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    let second = fleet.run(&Work { checkpoint_s: 0.0, ..work(1, Shape::Batch, Urgency::Normal, 8, 1) }, 2);
    fleet.quiet = vec![first];
    fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 60_000);
    let outcome = fleet.schedule(60_001);
    assert!(outcome.stops.len() == 8 && outcome.stops.iter().all(|stop| stop.key.job == second));
    fleet.carry_out(&outcome.stops);
    fleet.schedule(60_002);
    // Nobody else can give.
    fleet.add(&work(0, Shape::Service, Urgency::Production, 8, 1), 60_003);
    let outcome = fleet.schedule(60_004);
    let lent: Vec<&Preemption> = outcome.stops.iter().filter(|s| matches!(s.cause, StopCause::Loan(_))).collect();
    assert!(lent.iter().all(|stop| stop.key.job == first && stop.grace_s >= 2.0));
}

#[test]
fn a_lender_below_its_floor_takes_borrowed_room_back_one_replica_at_a_time() {
    let mut fleet = Fleet::new(2, [2, 8, 0]);
    let night = fleet.run(&work(1, Shape::Batch, Urgency::Normal, 16, 1), 1);
    let service = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 2);
    let outcome = fleet.schedule(3);
    fleet.carry_out(&outcome.stops);
    fleet.schedule(4);
    assert_eq!((fleet.gpus("desk"), fleet.gpus("night")), (8.0, 8.0));
    // A machine dies with the lender's tasks on it.
    let lost = fleet.cluster.hosts[1].take().unwrap();
    lost.attempts.iter().for_each(|a| fleet.cluster.jobs[a.key.job].tasks[a.key.task as usize].place = Place::Idle);
    let (mut reclaimed, mut most_at_once) = (0, 0);
    for round in 5..40 {
        let outcome = fleet.schedule(round * ROUND_MS);
        let back: Vec<&Preemption> = outcome.stops.iter().filter(|s| s.cause == StopCause::Reclaim).collect();
        assert!(back.iter().all(|stop| stop.key.job == service && fleet.cluster.jobs[stop.by].spec.team == "night"));
        (reclaimed, most_at_once) = (reclaimed + back.len(), most_at_once.max(back.len()));
        fleet.carry_out(&outcome.stops);
    }
    let staying = (fleet.gpus("desk"), fleet.gpus("night"));
    assert!(staying.0 >= 2.0, "the borrower keeps its guarantee: {staying:?}");
    assert!(reclaimed > 0 && most_at_once == 1, "{reclaimed}, {most_at_once} at once; job {night}: {staying:?}");
    assert_eq!(fleet.floor("desk"), 2.0);
}

#[test]
fn nothing_is_lent_to_work_that_may_not_borrow_or_beyond_the_most() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Low, 8, 1), 1);
    let standard = fleet.add(&work(0, Shape::Batch, Urgency::Normal, 2, 1), 2);
    let outcome = fleet.schedule(3);
    assert!(outcome.stops.is_empty());
    assert_eq!(outcome.refused_loans[0].reason, Refusal::NotABorrower);
    fleet.cluster.jobs[standard].cancelling = true;
    let mut settings = ring();
    settings.lenders.get_mut("night").unwrap().most_gpus = Some(3.0);
    settings.lenders.get_mut("night").unwrap().up_to = Priority::BestEffort;
    fleet.settings = Arc::new(settings);
    fleet.add(&work(0, Shape::Service, Urgency::High, 5, 1), 4);
    let outcome = fleet.schedule(5);
    assert_eq!(outcome.stops.len(), 3);
    assert_eq!(outcome.refused_loans.last().unwrap().reason, Refusal::LendsItsMost);
}

#[test]
fn a_borrower_takes_no_more_than_its_limit() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.policy.teams.get_mut("desk").unwrap().limit.gpus = 3.0;
    fleet.add(&work(0, Shape::Service, Urgency::High, 3, 1), 2);
    fleet.add(&work(0, Shape::Service, Urgency::Production, 3, 1), 3);
    let outcome = fleet.schedule(4);
    assert_eq!(outcome.stops.len(), 3);
}

// Two of four tasks may be stopped, which is not enough for a task of four accelerators.
#[test]
fn nothing_is_stopped_where_the_floor_leaves_too_little_room() {
    let mut fleet = Fleet::new(1, [0, 6, 0]);
    fleet.run(&work(1, Shape::Batch, Urgency::Normal, 8, 1), 1);
    fleet.add(&work(0, Shape::Service, Urgency::High, 1, 4), 2);
    assert!(fleet.schedule(3).stops.is_empty());
    fleet.add(&work(0, Shape::Service, Urgency::High, 1, 2), 4);
    assert_eq!(fleet.schedule(5).stops.len(), 2);
}

// What one team's job finds held was taken for full for all jobs of its kind.
#[test]
fn room_that_is_held_for_a_team_is_found_by_its_jobs_after_another_found_none() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    let over = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 1);
    fleet.cluster.jobs[over].cancelling = true;
    fleet.reserves_for_teams = true;
    let demand = fleet.cluster.jobs[over].spec.demand.times(8.0);
    fleet.cluster.host_mut(0).unwrap().reservations.push(Reservation::of_team(over, demand, 100_000));
    fleet.add(&work(1, Shape::Service, Urgency::Production, 8, 1), 2);
    let desk = fleet.add(&work(0, Shape::Service, Urgency::High, 8, 1), 3);
    let outcome = fleet.schedule(4);
    assert!(outcome.starts.len() == 8 && outcome.starts.iter().all(|start| start.key.job == desk));
}

#[test]
fn work_whose_room_is_returned_is_placed_before_more_urgent_work_and_no_more_of_it() {
    let mut fleet = Fleet::new(1, [0, 0, 0]);
    let night = fleet.add(&work(1, Shape::Batch, Urgency::Low, 8, 1), 1);
    let urgent = fleet.add(&work(2, Shape::Service, Urgency::Production, 8, 1), 2);
    fleet.returning = vec![(night, 3)];
    let outcome = fleet.schedule(3);
    let started = |job: JobIndex| outcome.starts.iter().filter(|start| start.key.job == job).count();
    assert_eq!((started(night), started(urgent)), (3, 5));
}
