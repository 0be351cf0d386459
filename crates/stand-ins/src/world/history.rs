//! History of a simulation: events, broken rules and failures of simulated services.

use super::SimulationState;
use super::job::Job;

impl SimulationState {
    /// Adds a line to the history, which keeps the last 20,001 lines.
    pub fn log(&mut self, what: String) {
        let t = self.start.elapsed().as_secs_f64();
        if self.history.len() > 20_000 {
            self.history.pop_front();
        }
        self.history.push_back(format!("{t:8.3} {what}"));
    }

    /// Records a broken rule. The first one ends the simulation.
    pub fn fail(&mut self, what: String) {
        self.log(format!("broken rule: {what}"));
        self.broken.get_or_insert(what);
    }

    /// Records a failure of a simulated service itself. The first one ends the simulation.
    pub fn fail_service(&mut self, what: String) {
        self.log(format!("failure of a simulated service: {what}"));
        self.service_failure.get_or_insert(what);
    }

    /// Returns the latest events, preceded by earlier ones about the job that `about` names.
    pub fn recent(&self, about: &str) -> String {
        if std::env::var_os("BADGERDRIFT_HISTORY").is_some() {
            return self.history.iter().map(|h| format!("{h}\n")).collect();
        }
        let last = self.history.len().saturating_sub(40);
        let job = about.find("run-").map(|i| &about[i..(i + 10).min(about.len())]);
        let of_job: Vec<&String> =
            self.history.iter().take(last).filter(|h| job.is_some_and(|job| h.contains(job))).collect();
        let of_job = of_job[of_job.len().saturating_sub(40)..].iter().copied();
        of_job.chain(self.history.iter().skip(last)).map(|h| format!("{h}\n")).collect()
    }

    /// Records the size of a worker's report in bytes.
    pub fn note_report(&mut self, bytes: usize) {
        self.largest_report = self.largest_report.max(bytes);
    }

    /// Returns counts of what has happened.
    pub fn summary(&self) -> String {
        let count = |what: fn(&&Job) -> bool| self.jobs.values().filter(what).count();
        format!(
            "{} jobs, {} accepted, {} done, {} cancelled; {} starts, {} machines, {} sessions, {} claims, {} replies dropped, largest report {} bytes",
            self.jobs.len(),
            count(|job| job.accepted.is_some()),
            count(|job| job.done_told.is_some()),
            count(|job| job.cancelled.is_some()),
            self.starts,
            self.machines.len(),
            self.machines.values().map(|machine| machine.tenure).sum::<u64>(),
            self.store.claims,
            self.replies_dropped,
            self.largest_report
        )
    }
}
