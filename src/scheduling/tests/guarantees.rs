//! Tests of guarantees with many teams: scheduling cycles converge, with few preemptions.

use super::*;

/// CPUs of each task. Guarantees are multiples of it, so that each covers whole tasks.
const TASK_CPUS: f64 = 2.0;
const TASKS_PER_HOST: u32 = 16;
const HOSTS: usize = 4;
/// Interval between two cycles, in milliseconds.
const ROUND_MS: u64 = 2000;
/// Number of cycles; long enough for work to wait for several gang reservations.
const ROUNDS: u64 = 80;

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// Returns a policy that guarantees each team the CPUs of the given number of tasks.
fn policy_of(guaranteed_tasks: &[u32]) -> Policy {
    let mut policy = policy();
    policy.guarantee_s = Some(10.0);
    let unlimited = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };
    for (team, tasks) in guaranteed_tasks.iter().enumerate() {
        let guarantee = Demand { cpus: TASK_CPUS * f64::from(*tasks), gpus: 0.0, mem: f64::INFINITY };
        policy
            .teams
            .insert(team_name(team), TeamRule { guarantee, limit: unlimited, limit_is_final: true, removed: false });
    }
    policy
}

/// A job to submit in a given round.
#[derive(Debug, Clone)]
struct Work {
    team: usize,
    shape: Shape,
    tasks: u32,
    accepted_round: u64,
}

fn any_work(shape: impl Strategy<Value = Shape>) -> impl Strategy<Value = Work> {
    (0usize..8, shape, 1u32..90, 0u64..6).prop_map(|(team, shape, tasks, accepted_round)| Work {
        team,
        shape,
        tasks,
        accepted_round,
    })
}

/// A cluster in which tasks run until they are stopped and stops take effect at once.
struct Fleet {
    cluster: ClusterState,
    policy: Policy,
    next_attempt: u64,
}

impl Fleet {
    fn new(guaranteed_tasks: &[u32]) -> Fleet {
        let mut cluster = cluster(&[("a", false); HOSTS]);
        cluster.instance_types = vec![instance_type("c32", 0.0, &["a"])];
        Fleet { cluster, policy: policy_of(guaranteed_tasks), next_attempt: 0 }
    }

    fn add(&mut self, work: &Work, now: u64) {
        let id = format!("run-{:06}", self.cluster.jobs.len());
        let mut job = spec(&id, work.shape, work.tasks, 0.0);
        job.team = team_name(work.team);
        job.demand = Demand { cpus: TASK_CPUS, gpus: 0.0, mem: 1.0 };
        job.expected_s = 600.0;
        add_job(&mut self.cluster, job, now);
    }

    fn schedule(&mut self, now: u64) -> CycleDecisions {
        let next_attempt = &mut self.next_attempt;
        schedule(&mut self.cluster, &self.policy, now, now, Urgency::Low, || {
            *next_attempt += 1;
            *next_attempt
        })
    }

    /// Removes the stopped attempts.
    fn carry_out(&mut self, stops: &[Preemption]) {
        for stop in stops {
            let host = self.cluster.host_mut(stop.host).unwrap();
            host.attempts.retain(|attempt| attempt.key != stop.key);
            self.cluster.jobs[stop.key.job].tasks.update(stop.key.task, |task| task.place = Place::Idle);
        }
    }

    /// Returns the number of tasks of the team on machines.
    fn running(&self, team: usize) -> u32 {
        let name = team_name(team);
        let attempts = self.cluster.each_host().flat_map(|(_, host)| &host.attempts);
        attempts.filter(|attempt| self.cluster.jobs[attempt.key.job].spec.team == name).count() as u32
    }

    /// Returns the number of tasks of all jobs of the team.
    fn wanted(&self, team: usize) -> u32 {
        let name = team_name(team);
        self.cluster.jobs.iter().filter(|job| job.spec.team == name).map(|job| job.spec.tasks).sum()
    }
}

/// Generates guarantees of eight teams, in tasks, that fit into the cluster together.
fn any_guarantees() -> impl Strategy<Value = Vec<u32>> {
    prop::collection::vec(0u32..=TASKS_PER_HOST * HOSTS as u32 / 8, 8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    // Chains of preemptions among hundreds of teams stopped nine of ten started tasks: tasks within a guarantee
    // of CPUs were stopped, and one guaranteed task preempted as many tasks as its whole array could replace.
    #[test]
    fn arrays_of_many_teams_reach_their_guarantees_with_few_preemptions(
        guaranteed_tasks in any_guarantees(),
        work in prop::collection::vec(any_work(Just(Shape::Batch)), 1..14),
    ) {
        let mut fleet = Fleet::new(&guaranteed_tasks);
        let mut stops = 0;
        let mut last_stop_round = 0;
        for round in 1..ROUNDS {
            let now = round * ROUND_MS;
            work.iter().filter(|work| work.accepted_round + 1 == round).for_each(|work| fleet.add(work, now));
            let outcome = fleet.schedule(now);
            stops += outcome.stops.len();
            if !outcome.stops.is_empty() {
                last_stop_round = round;
            }
            fleet.carry_out(&outcome.stops);
        }
        for (team, guaranteed) in guaranteed_tasks.iter().enumerate() {
            let due = (*guaranteed).min(fleet.wanted(team));
            prop_assert!(fleet.running(team) >= due, "team {team}: {} of {due}", fleet.running(team));
        }
        // Each guaranteed task stops at most one task, once.
        let bound = guaranteed_tasks.iter().sum::<u32>() as usize;
        prop_assert!(stops <= bound, "{stops} stops, at most {bound} expected");
        prop_assert!(last_stop_round < ROUNDS / 2, "still stopping in round {last_stop_round}");
    }

    #[test]
    fn equally_urgent_work_preempts_no_team_below_its_guarantee(
        guaranteed_tasks in any_guarantees(),
        work in prop::collection::vec(any_work(prop_oneof![Just(Shape::Batch), Just(Shape::Gang)]), 1..14),
    ) {
        let mut fleet = Fleet::new(&guaranteed_tasks);
        for round in 1..ROUNDS {
            let now = round * ROUND_MS;
            work.iter().filter(|work| work.accepted_round + 1 == round).for_each(|work| fleet.add(work, now));
            let outcome = fleet.schedule(now);
            let before: Vec<u32> = (0..guaranteed_tasks.len()).map(|team| fleet.running(team)).collect();
            fleet.carry_out(&outcome.stops);
            for (team, guaranteed) in guaranteed_tasks.iter().enumerate() {
                let kept = before[team].min(*guaranteed);
                prop_assert!(fleet.running(team) >= kept, "team {team}: {} of {kept}", fleet.running(team));
            }
            prop_assert!(round < ROUNDS / 2 || outcome.stops.is_empty(), "still stopping in round {round}");
        }
    }
}

// An array of 400 tasks, one of them within the guarantee of its team, preempted 365 tasks.
#[test]
fn a_team_preempts_no_more_tasks_than_its_guarantee_covers() {
    let mut fleet = Fleet::new(&[0, 5]);
    fleet.add(&Work { team: 0, shape: Shape::Batch, tasks: 64, accepted_round: 0 }, 1);
    assert_eq!(fleet.schedule(1).starts.len(), 64);
    fleet.add(&Work { team: 1, shape: Shape::Batch, tasks: 60, accepted_round: 0 }, 2);
    assert_eq!(fleet.schedule(2 + fleet.policy.gang_reservation_ms).stops.len(), 5);
}

// Work beyond a guarantee in an earlier deadline bin was started first and preempted in the same cycle.
#[test]
fn work_within_a_guarantee_gets_free_capacity_first() {
    let mut fleet = Fleet::new(&[0, 5]);
    fleet.add(&Work { team: 0, shape: Shape::Batch, tasks: 70, accepted_round: 0 }, 1);
    fleet.add(&Work { team: 1, shape: Shape::Batch, tasks: 70, accepted_round: 0 }, 2);
    let outcome = fleet.schedule(3);
    assert!(outcome.stops.is_empty());
    let of_guaranteed = outcome.starts.iter().filter(|start| start.key.job == 1).count();
    assert_eq!(of_guaranteed, 5, "the rest of the capacity is given in the order of the bins");
}

// Tasks were preempted for guaranteed tasks although as much capacity became free shortly afterwards.
#[test]
fn nothing_is_preempted_if_enough_tasks_are_expected_to_end() {
    let stops = |expected_s: f64| {
        let mut fleet = Fleet::new(&[0, 2]);
        fleet.add(&Work { team: 0, shape: Shape::Batch, tasks: 64, accepted_round: 0 }, 1);
        fleet.cluster.jobs[0].spec.expected_s = expected_s;
        fleet.schedule(1);
        fleet.add(&Work { team: 1, shape: Shape::Batch, tasks: 60, accepted_round: 0 }, 2);
        fleet.schedule(3).stops.len()
    };
    assert_eq!(stops(10.0), 0, "several of the 64 end within a second");
    assert_eq!(stops(600.0), 2, "none is likely to end soon");
}

// One task of a small array preempted gangs of 256 tasks.
#[test]
fn a_gang_is_not_preempted_if_its_team_would_fall_below_its_guarantee() {
    let mut fleet = Fleet::new(&[4, 5]);
    fleet.add(&Work { team: 0, shape: Shape::Gang, tasks: 64, accepted_round: 0 }, 1);
    assert_eq!(fleet.schedule(1).starts.len(), 64);
    fleet.add(&Work { team: 1, shape: Shape::Batch, tasks: 60, accepted_round: 0 }, 2);
    assert!(fleet.schedule(2 + fleet.policy.gang_reservation_ms).stops.is_empty());
}

// A gang of five that was not the first gang in the queue preempted an array of four tasks again and again. A gang
// that must not be preempted had 60 of the 64 task slots, so that there was never a fifth slot: the reservation of
// the gang of five expired and the array started again.
#[test]
fn nothing_is_preempted_for_a_gang_that_would_still_not_fit() {
    let mut fleet = Fleet::new(&[0, 0, 0, 0, 1, 0, 5, 0]);
    let work = [
        Work { team: 4, shape: Shape::Gang, tasks: 60, accepted_round: 0 },
        Work { team: 0, shape: Shape::Batch, tasks: 4, accepted_round: 0 },
        Work { team: 0, shape: Shape::Gang, tasks: 1, accepted_round: 4 },
        Work { team: 6, shape: Shape::Gang, tasks: 5, accepted_round: 4 },
    ];
    let mut stops = 0;
    for round in 1..400 {
        let now = round * ROUND_MS;
        work.iter().filter(|work| work.accepted_round + 1 == round).for_each(|work| fleet.add(work, now));
        let outcome = fleet.schedule(now);
        stops += outcome.stops.len();
        fleet.carry_out(&outcome.stops);
    }
    assert_eq!(stops, 0);
}
