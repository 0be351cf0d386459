//! What has to leave a machine to make room there: what is moved, what is stopped, and what
//! that costs.

use super::borrowing::StopCause;
use super::candidates::Candidate;
use super::cost::MIGRATION_COST;
use super::planned_stops::PlannedStops;
use super::preemption_eligibility::PreemptionScope;
use super::request::PlacementRequest;
use super::reservations::RESERVATION_REACTIONS;
use super::{Preemption, SchedulingCycle};
use crate::model::{ClusterState, Demand, Host, HostIndex, JobIndex, Reservation, Shape, Spec, TaskAttempt};
use std::cmp::Reverse;

/// The cost of stopping a gang, and of each of its tasks: it loses its place whole, and
/// places for gangs are few.
const STOPPED_GANG_COST: f64 = 2.0;
const STOPPED_GANG_TASK_COST: f64 = 2.0;
/// The cost of stopping a replica: its users are without it until its image is
/// somewhere else.
const STOPPED_REPLICA_COST: f64 = 8.0;
/// The cost of stopping a task of an array, and of one that has hardly begun.
const STOPPED_TASK_COST: f64 = 1.0;
const STOPPED_EARLY_COST: f64 = 0.5;
/// The further cost if the job can't be in time any more.
const STOPPED_LATE_COST: f64 = 1.0;

/// An attempt that would leave its machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Eviction {
    attempt: TaskAttempt,
    /// Where it is moved; none if it is stopped.
    destination: Option<HostIndex>,
}

/// Room that can be had on a machine.
#[derive(Debug)]
pub(super) struct PreemptionPlan {
    /// A measure of what the evictions cost.
    pub(super) cost: f64,
    pub(super) evictions: Vec<Eviction>,
}

/// An attempt that may leave its machine.
struct Victim<'a> {
    attempt: &'a TaskAttempt,
    /// It may be stopped, and not only moved.
    evict: bool,
}

/// For which start attempts would leave, and beside which stops.
struct PreemptionTarget<'a> {
    request: &'a PlacementRequest,
    scope: PreemptionScope,
    host: HostIndex,
    /// What must fit on the machine.
    demand: &'a Demand,
    /// Stops on other machines that are planned for the same start.
    planned: &'a PlannedStops,
}

impl PreemptionPlan {
    /// Adds the evictions to what is planned.
    pub(super) fn add_evictions_to(&self, cluster: &ClusterState, planned: &mut PlannedStops) {
        for Eviction { attempt, destination } in &self.evictions {
            match destination {
                Some(host) => planned.earmark(*host, attempt.demand),
                None => planned.add(cluster, attempt.key.job),
            }
        }
    }
}

impl SchedulingCycle<'_> {
    /// Would work of another team be stopped for the job, while there are loans between teams?
    pub(super) fn stops_other_teams(&self, job_index: JobIndex, vacancy: &PreemptionPlan) -> bool {
        let team = |job: JobIndex| &self.cluster.jobs[job].spec.team;
        let stops_others =
            |eviction: &Eviction| eviction.destination.is_none() && team(eviction.attempt.key.job) != team(job_index);
        self.cluster.borrowing.is_some() && vacancy.evictions.iter().any(stops_others)
    }

    /// A machine with free room and the image for a running replica, so that
    /// moving it there costs it next to nothing, beside what is `planned`.
    fn migration_target(&self, from: HostIndex, c: &TaskAttempt, planned: &PlannedStops) -> Option<HostIndex> {
        let spec = &self.cluster.jobs[c.key.job].spec;
        if spec.shape != Shape::Service || !c.running() || c.stop.is_some() || !self.settled(c) {
            return None;
        }
        let room_for = |host_index: HostIndex| {
            let s = &self.index.hosts[host_index];
            let mut room = s.free;
            room.sub(&s.reserved);
            s.usable && host_index != from && spec.demand.fits(&planned.left_of(room, host_index))
        };
        let warm = self.index.warm(self.cluster, &spec.image);
        let mut open = warm.iter().copied().filter(|h| room_for(*h)).peekable();
        open.peek()?;
        let request = self.request(c.key.job);
        let mut counts = self.index.counts(c.key.job);
        counts.sub(self.index.hosts[from].zone);
        let mut best: Option<Candidate> = None;
        for host_index in open {
            let ready = |h: &Host| h.images.iter().any(|i| i.ready && i.name == spec.image);
            if !request.requirements.accepts(&self.index.hosts[host_index], &counts)
                || !self.cluster.host(host_index).is_some_and(ready)
            {
                continue;
            }
            let cost = self.cost(&request, host_index);
            if best.is_none_or(|b| cost < b.cost) {
                best = Some(Candidate { cost, host: host_index });
            }
        }
        best.map(|b| b.host)
    }

    /// What would have to leave the machine so that `demand` fits, and where
    /// to, if it is moved; with a measure of what that costs.
    pub(super) fn plan_preemption(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        demand: &Demand,
    ) -> Option<PreemptionPlan> {
        self.plan_preemption_beside(request, scope, host_index, demand, &PlannedStops::default())
    }

    /// The same beside stops on other machines that are planned for the same start.
    pub(super) fn plan_preemption_beside(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        demand: &Demand,
        planned: &PlannedStops,
    ) -> Option<PreemptionPlan> {
        self.hosts_examined.set(self.hosts_examined.get() + 1);
        let h = self.cluster.host(host_index)?;
        let mut room = planned.left_of(self.index.hosts[host_index].free, host_index);
        for c in h.attempts.iter().filter(|c| !c.ended() && c.stop.is_some()) {
            room.add(&c.demand);
        }
        if demand.fits(&room) {
            return Some(PreemptionPlan { cost: 0.0, evictions: Vec::new() });
        }
        let scope = self.scope_on_host(scope, request, host_index);
        let target = PreemptionTarget { request, scope, host: host_index, demand, planned };
        let victims = self.potential_victims(&target, h);
        // Most is settled by a look at what could leave at best.
        let mut most = room;
        victims.iter().for_each(|v| most.add(&v.attempt.demand));
        if !demand.fits(&most) {
            return None;
        }
        self.choose_victims(&target, victims, room)
    }

    /// The attempts that may leave a machine, in the order in which they would.
    fn potential_victims<'a>(&self, target: &PreemptionTarget, h: &'a Host) -> Vec<Victim<'a>> {
        let PreemptionTarget { request, scope, planned, .. } = *target;
        let mut victims: Vec<Victim> = Vec::new();
        for attempt in h.attempts.iter().filter(|c| !c.ended() && c.stop.is_none()) {
            let evict = self.may_evict(request.job_index, scope, attempt, planned);
            let service = self.cluster.jobs[attempt.key.job].spec.shape == Shape::Service;
            let moves = attempt.running()
                && self.settled(attempt)
                && service
                && self.may_migrate(request.job_index, attempt, planned);
            if evict || moves {
                victims.push(Victim { attempt, evict });
            }
        }
        victims
    }

    /// Takes victims until the demand fits into `room` with what they leave: the least
    /// urgent first; of those, the ones that lose least.
    fn choose_victims(
        &self,
        target: &PreemptionTarget,
        mut victims: Vec<Victim>,
        mut room: Demand,
    ) -> Option<PreemptionPlan> {
        let PreemptionTarget { request, scope, host: host_index, demand, .. } = *target;
        let mut planned = target.planned.clone();
        let urgency = |c: &TaskAttempt| self.cluster.jobs[c.key.job].urgency;
        victims.sort_by_key(|v| (urgency(v.attempt), !self.restart_in_time(v.attempt), Reverse(v.attempt.since_ms)));
        if self.cluster.borrowing.is_some() {
            self.sort_by_loss(&mut victims, host_index);
        }
        let mut evictions = Vec::new();
        let mut cost = 0.0;
        for Victim { attempt, evict } in victims {
            if demand.fits(&room) {
                break;
            }
            // What was taken before it counts: together they may be too much for its team.
            let evict = evict && self.may_evict(request.job_index, scope, attempt, &planned);
            let moves = self.may_migrate(request.job_index, attempt, &planned);
            let destination = moves.then(|| self.migration_target(host_index, attempt, &planned)).flatten();
            if let Some(host) = destination {
                planned.earmark(host, attempt.demand);
                cost += MIGRATION_COST;
                if self.cluster.borrowing.is_some() {
                    planned.add(self.cluster, attempt.key.job);
                }
            } else if evict {
                cost = self.add_stop_cost(request.job_index, cost, attempt, host_index);
                planned.add(self.cluster, attempt.key.job);
            } else {
                continue;
            }
            evictions.push(Eviction { attempt: *attempt, destination });
            room.add(&attempt.demand);
        }
        demand.fits(&room).then_some(PreemptionPlan { cost, evictions })
    }

    /// What was stopped lately comes last, and before that what loses most.
    fn sort_by_loss(&self, victims: &mut Vec<Victim>, host_index: HostIndex) {
        let loss =
            |victim: &Victim| (self.gave_way_lately(victim.attempt.key.job), self.lost_s(victim.attempt, host_index));
        let mut losses: Vec<((bool, f64), Victim)> = victims.drain(..).map(|victim| (loss(&victim), victim)).collect();
        losses.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        victims.extend(losses.into_iter().map(|(_, victim)| victim));
    }

    /// `cost` with that of stopping an attempt for a job.
    fn add_stop_cost(&self, job: JobIndex, cost: f64, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let other_team = self.cluster.jobs[attempt.key.job].spec.team != self.cluster.jobs[job].spec.team;
        if self.cluster.borrowing.is_some() && other_team {
            return cost + STOPPED_TASK_COST + self.loan_cost(attempt, host_index);
        }
        let victim = &self.cluster.jobs[attempt.key.job].spec;
        let stopped = match victim.shape {
            Shape::Gang => STOPPED_GANG_COST + STOPPED_GANG_TASK_COST * f64::from(victim.tasks),
            Shape::Service => STOPPED_REPLICA_COST,
            Shape::Batch if self.started_recently(attempt) => STOPPED_EARLY_COST,
            Shape::Batch => STOPPED_TASK_COST,
        };
        let late = if self.restart_in_time(attempt) { 0.0 } else { STOPPED_LATE_COST };
        cost + stopped + late
    }

    /// Carries out what `plan_preemption` found.
    pub(super) fn execute_preemption(
        &mut self,
        request: &PlacementRequest,
        host_index: HostIndex,
        evictions: &[Eviction],
    ) {
        let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
        for Eviction { attempt, destination } in evictions {
            if let Some(to) = destination {
                self.reserve(*to, Reservation::of_job(attempt.key.job, attempt.demand, until_ms));
            }
            let cause = match destination {
                Some(_) => Ok(StopCause::Move),
                None => self.stop_cause(request.job_index, attempt, &PlannedStops::default()),
            };
            // What was planned together was judged together; what may not be stopped any more is kept.
            let Ok(cause) = cause else { continue };
            let grace_s = match cause {
                StopCause::Loan(_) | StopCause::Reclaim => self.cluster.jobs[attempt.key.job].spec.grace_s(),
                _ => self.stop_grace_s(request, host_index, &self.cluster.jobs[attempt.key.job].spec),
            };
            self.stop_tasks_of_job(request.job_index, host_index, attempt, grace_s, cause);
        }
    }

    /// Seconds that a stopped task has to save. An array task has none where a start that
    /// could be in time would be late for its class's objective by then: it goes on from its
    /// last checkpoint. A gang would lose as much with each of its tasks, and keeps its time.
    fn stop_grace_s(&self, request: &PlacementRequest, host_index: HostIndex, victim: &Spec) -> f64 {
        let grace_s = victim.grace_s();
        let fetch_s = self.fetch_s(request, host_index);
        let late_by_saving =
            request.objective_left_s.is_some_and(|left_s| fetch_s <= left_s && left_s < fetch_s + grace_s);
        if late_by_saving && victim.shape == Shape::Batch { 0.0 } else { grace_s }
    }

    /// Orders a stop; a gang stops whole.
    fn stop_tasks_of_job(
        &mut self,
        by: JobIndex,
        host_index: HostIndex,
        attempt: &TaskAttempt,
        grace_s: f64,
        cause: StopCause,
    ) {
        let whole_attempt = *attempt;
        let TaskAttempt { key, attempt, .. } = whole_attempt;
        let whole = self.cluster.jobs[key.job].spec.shape == Shape::Gang;
        let tasks_together = if whole { self.cluster.jobs[key.job].spec.tasks } else { 1 };
        let mut hosts: Vec<HostIndex> = if whole { self.index.hosts_of(key.job).collect() } else { vec![host_index] };
        hosts.sort_unstable();
        hosts.dedup();
        let lost_s = self.lost_s(&whole_attempt, host_index) / f64::from(tasks_together);
        let mut stopped = 0;
        for i in hosts {
            let Some(h) = self.cluster.hosts[i].as_mut() else { continue };
            for c in h.attempts.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
                let same = i == host_index && c.key == key && c.attempt == attempt;
                if same || (whole && c.key.job == key.job) {
                    c.stop = Some(grace_s);
                    c.stop_awaits_record = matches!(cause, StopCause::Loan(_));
                    stopped += 1;
                    self.index.stop(&self.cluster.jobs[key.job].spec);
                    self.decisions.stops.push(Preemption {
                        host: i,
                        key: c.key,
                        attempt: c.attempt,
                        grace_s,
                        by,
                        cause,
                        lost_s,
                    });
                }
            }
        }
        let each = self.cluster.jobs[key.job].spec.demand;
        self.borrowing.stopped(key.job, each, stopped, cause);
    }
}
