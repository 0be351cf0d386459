//! Rules that are checked at every start of a task and at every answer to a user.

use super::SimulationState;
use super::job::Job;
use super::machine::{Machine, TaskAttempt};
use serde_json::Value;
use tokio::time::Instant;

impl SimulationState {
    /// Checks the start of a task on a machine: duplicates, team limits, placement and dependencies.
    pub(super) fn check_start(&mut self, id: &str, key: &(String, u64), job: &Job) {
        let machine = &self.machines[id];
        let on: Vec<(&Machine, &(String, u64), &TaskAttempt)> = self
            .machines
            .values()
            .flat_map(|machine| machine.copies.iter().map(move |(k, attempt)| (machine, k, attempt)))
            .filter(|(_, _, attempt)| attempt.phase.on())
            .collect();
        let mut wrong = Vec::new();
        if let Some((other, k, _)) = on.iter().find(|(_, k, _)| k.0 == key.0) {
            wrong.push(format!("ran_twice: {} try {} starts on {id}, try {} is on {}", key.0, key.1, k.1, other.id));
        }
        if let Some((core_limit, card_limit)) = self.parameters.team_limit(job.team) {
            let team = || on.iter().filter(|o| o.2.team == job.team).filter_map(|o| self.jobs.get(&o.2.job));
            let cores = team().map(|job| job.cores).sum::<f64>() + job.cores;
            let cards = team().map(|job| job.cards).sum::<f64>() + job.cards;
            if cores > core_limit || cards > card_limit {
                wrong.push(format!(
                    "quota: {} starts on {id}: team {} uses {cores} cores, {cards} cards",
                    key.0, job.team
                ));
            }
        }
        let place = |why: &str| {
            format!("wrong_place: {} starts on {id} ({} {}): {why}", key.0, machine.flavor.sku, machine.zone)
        };
        if job.flavors.as_ref().is_some_and(|f| !f.contains(&machine.flavor.sku)) {
            wrong.push(place("the type is not allowed"));
        }
        if job.region.is_some_and(|r| r != machine.zone) {
            wrong.push(place("the zone is not allowed"));
        }
        if machine.spot && !job.preemptible {
            wrong.push(place("spot is not allowed"));
        }
        let mates = || on.iter().filter(|o| o.2.job == job.id && o.1.0 != key.0);
        if job.same_place && mates().any(|o| o.0.zone != machine.zone) {
            wrong.push(place("other tasks of the job are in another zone"));
        }
        let here = mates().filter(|o| o.0.zone == machine.zone).count() + 1;
        if job.apart && here > job.shards.div_ceil(2) as usize {
            wrong.push(place("too many tasks of the job are in this zone"));
        }
        if job.cancelled.is_some() {
            wrong.push(format!("ran_cancelled: {} try {} starts on {id} after the answer `cancelled`", key.0, key.1));
        }
        for needed in job.waits_on.iter().filter(|id| self.recorded_end(id) != "Done") {
            wrong.push(format!("too_early: {} starts on {id} before {needed} is recorded as done", key.0));
        }
        if job.invalid {
            wrong.push(format!("{} starts, but its job is invalid", key.0));
        }
        wrong.into_iter().for_each(|w| self.fail(w));
    }

    /// Checks an answer to a request about a job, sent at `sent`, against all earlier answers to its user.
    pub fn check_answer(&mut self, id: &str, sent: Instant, node: usize, what: &str, status: u16, answer: &Value) {
        let now = Instant::now();
        let phase = answer["phase"].as_str().unwrap_or("");
        let Some(job) = self.jobs.get(id).cloned() else { return };
        let told = format!("{id}: {what} at n{node} sent {:.3}: {status} {answer}", (sent - self.start).as_secs_f64());
        self.log(format!("answer to the user of {told}"));
        let after = |t: Option<Instant>| t.is_some_and(|t| sent > t);
        if status == 200 || status == 404 {
            self.jobs.get_mut(id).unwrap().answered = Some(now);
        }
        if !job.submitted && status == 200 {
            self.fail(format!("invented: {told}"));
        }
        if job.invalid {
            if matches!(status, 200 | 201) {
                self.fail(format!("invalid job accepted: {told}"));
            }
            return;
        }
        if matches!(status, 404 | 400 | 422) && after(job.accepted) {
            self.fail(format!("forgotten: {told}"));
        }
        if matches!(status, 400 | 422) {
            self.fail(format!("valid job refused: {told}"));
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        if after(job.done_told) && phase != "done" || after(job.cancelled) && phase != "cancelled" {
            self.fail(format!("went_back: {told}"));
        }
        if phase == "cancelled"
            && !job.cancel_asked
            && !self.needs(&job, |world, job| world.recorded_end(&job.id) == "Cancelled")
        {
            self.fail(format!(
                "went_back: answered `cancelled`, but neither the job nor a dependency was cancelled: {told}"
            ));
        }
        if phase != "cancelled" && self.needs(&job, |_, job| after(job.cancelled)) {
            self.fail(format!("orphaned: not answered `cancelled`, but a dependency was before: {told}"));
        }
        if phase == "done" && !job.all_done() {
            self.fail(format!(
                "not_done: answered `done`, but only tasks {:?} of {} are: {told}",
                job.done, job.shards
            ));
        }
        if what == "withdraw" && !matches!(phase, "done" | "cancelled") {
            self.fail(format!("cancellation answered with another phase than `done` or `cancelled`: {told}"));
        }
        let job = self.jobs.get_mut(id).unwrap();
        job.accepted.get_or_insert(now);
        match phase {
            "done" => _ = job.done_told.get_or_insert(now),
            "cancelled" => _ = job.cancelled.get_or_insert(now),
            _ => {}
        }
    }

    /// Returns whether another submission may name this job as a dependency: the job must be accepted, and
    /// also over if the other job `comes_late`.
    pub fn may_be_dependency(&self, id: &str, comes_late: bool) -> bool {
        self.jobs.get(id).is_some_and(|job| job.accepted.is_some() && (job.over() || !comes_late))
    }

    /// Returns the end in the record of a job; empty if there is none.
    fn recorded_end(&self, id: &str) -> String {
        self.store.value(&format!("job/{id}"))["end"].as_str().unwrap_or_default().to_string()
    }

    /// Returns whether `holds` is true of any direct or indirect dependency of a job.
    fn needs(&self, job: &Job, holds: impl Fn(&SimulationState, &Job) -> bool) -> bool {
        let mut open: Vec<&String> = job.waits_on.iter().collect();
        while let Some(id) = open.pop() {
            let Some(needed) = self.jobs.get(id) else { continue };
            if holds(self, needed) {
                return true;
            }
            open.extend(&needed.waits_on);
        }
        false
    }

    /// Returns a description of each accepted job that is not over, except services that run as they should.
    pub fn unsettled(&self) -> Vec<String> {
        let mut out = Vec::new();
        for job in self.jobs.values().filter(|job| job.accepted.is_some() && !job.over()) {
            let running: Vec<String> = self
                .machines
                .values()
                .flat_map(|machine| machine.copies.iter().map(move |(k, attempt)| (machine, k, attempt)))
                .filter(|(_, _, attempt)| attempt.job == job.id)
                .map(|(machine, k, attempt)| {
                    format!("{} try {} on {} {} {:?}", k.0, k.1, machine.id, attempt.phase.name(), attempt.why)
                })
                .collect();
            let runs = running.iter().filter(|r| r.contains(" running ")).count();
            if job.shape != "service" || job.cancel_asked || runs < job.shards as usize {
                out.push(format!(
                    "{} {} {} of {} done, {running:?}: {}",
                    job.id,
                    job.shape,
                    job.done.len(),
                    job.shards,
                    job.body()
                ));
            }
        }
        out
    }
}
