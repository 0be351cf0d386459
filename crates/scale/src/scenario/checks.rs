//! Checks of the values in a scenario. An error is one line that names the field and the reason.

use super::{ANSWER_LIMIT_S, Fault, JobClass, MachineType, Scenario};

/// Least value of `max_sockets` that a controller accepts.
const LEAST_SOCKETS: f64 = 16.0;
/// Most controllers of a run, which keeps its processes well below a hundred.
const MOST_CONTROLLERS: usize = 60;
/// Most regions of a run: zones and machines of a region have one byte of an address each.
const MOST_REGIONS: usize = 20;
const MOST_WORKERS_PER_REGION: usize = 40_000;

impl Scenario {
    /// Checks all fields; the error names the first one that is out of its range.
    pub(super) fn check(&self) -> Result<(), String> {
        in_range("regions", self.regions as f64, 1.0, MOST_REGIONS as f64)?;
        in_range("zones_per_region", self.zones_per_region as f64, 1.0, 100.0)?;
        let controllers = (self.regions * self.controllers_per_region) as f64;
        in_range("controllers_per_region", self.controllers_per_region as f64, 1.0, MOST_CONTROLLERS as f64)?;
        in_range("controllers_per_region: controllers of all regions", controllers, 1.0, MOST_CONTROLLERS as f64)?;
        let sockets = self.controller.max_sockets as f64;
        in_range("controller.max_sockets", sockets, LEAST_SOCKETS, f64::MAX)?;
        let least_workers = (self.regions * self.zones_per_region) as f64;
        in_range("workers", self.workers as f64, least_workers, (MOST_WORKERS_PER_REGION * self.regions) as f64)?;
        in_range("duration_s", self.duration_s, 1.0, 86_400.0)?;
        in_range("warm_up_s", self.warm_up_s, 0.0, self.duration_s)?;
        if let Some(configuration) = &self.configuration {
            in_range("configuration.changes_per_s", configuration.changes_per_s, 0.0, 1000.0)?;
        }
        in_range("teams.count", self.teams.count as f64, 1.0, 100_000.0)?;
        for (field, guaranteed, most) in [
            ("teams.guaranteed_cores", self.teams.guaranteed_cores, self.teams.most_cores),
            ("teams.guaranteed_cards", self.teams.guaranteed_cards, self.teams.most_cards),
        ] {
            in_range(field, guaranteed, 0.0, if most > 0.0 { most } else { f64::MAX })?;
        }
        in_range("worker.lease_s", self.worker.lease_s, 2.0 * self.worker.report_s, f64::MAX)?;
        in_range("worker.report_s", self.worker.report_s, 0.01, f64::MAX)?;
        ordered("worker.fetch_s", self.worker.fetch_s.0, self.worker.fetch_s.1)?;
        self.check_burst()?;
        self.check_borrowing()?;
        self.check_soak()?;
        in_range("state.rps", self.state.rps, 1.0, f64::MAX)?;
        in_range("state.write_rps", self.state.write_rps, 1.0, f64::MAX)?;
        let last_team = (self.teams.count - 1) as f64;
        for (name, class) in &self.class {
            in_range(&format!("class.{name}.first_team"), class.first_team as f64, 0.0, last_team)?;
            class.check(name, &self.machine)?;
        }
        self.fault.iter().try_for_each(|(name, fault)| fault.check(name, self))
    }

    fn check_burst(&self) -> Result<(), String> {
        if self.worker.load_s != (0.0, 0.0) {
            ordered("worker.load_s", self.worker.load_s.0, self.worker.load_s.1)?;
        }
        if let Some(burst) = &self.burst {
            in_range("burst.at_s", burst.at_s, 0.0, self.duration_s)?;
            in_range("burst.requests", burst.requests as f64, 1.0, 100_000.0)?;
            in_range("burst.over_s", burst.over_s, 0.0, self.duration_s)?;
            in_range("burst.cores", burst.cores, 0.01, self.machine.cores)?;
        }
        if let Some(pool) = &self.warm_pool {
            in_range("warm_pool.bill_every_s", pool.bill_every_s, 0.01, f64::MAX)?;
            in_range("warm_pool.cores", pool.cores, 0.01, self.machine.cores)?;
        }
        Ok(())
    }

    fn check_borrowing(&self) -> Result<(), String> {
        let Some(borrowing) = &self.borrowing else { return Ok(()) };
        in_range("teams.count", self.teams.count as f64, 2.0, 100_000.0)?;
        in_range("borrowing.at_s", borrowing.at_s, 0.0, self.duration_s)?;
        in_range("borrowing.for_s", borrowing.for_s, 0.0, self.duration_s - borrowing.at_s)?;
        in_range("borrowing.replicas", borrowing.replicas as f64, 1.0, 99_999.0)?;
        in_range("borrowing.cores", borrowing.cores, 0.01, self.machine.cores)?;
        in_range("borrowing.cards", borrowing.cards, 0.0, self.machine.cards)?;
        in_range("borrowing.quiet_s", borrowing.quiet_s, 0.0, f64::MAX)?;
        in_range("borrowing.return_after_s", borrowing.return_after_s, 0.0, f64::MAX)
    }

    fn check_soak(&self) -> Result<(), String> {
        let Some(soak) = &self.soak else { return Ok(()) };
        in_range("regions", self.regions as f64, 1.0, 1.0)?;
        in_range("controllers_per_region", self.controllers_per_region as f64, 2.0, MOST_CONTROLLERS as f64)?;
        in_range("soak.faults_s", soak.faults_s, 1.0, self.duration_s - self.warm_up_s - ANSWER_LIMIT_S)?;
        in_range("soak.longest_s", soak.longest_s, 0.5, soak.faults_s)?;
        ordered("soak.faults", soak.faults.0 as f64, soak.faults.1 as f64)
    }
}

impl JobClass {
    fn check(&self, name: &str, machine: &MachineType) -> Result<(), String> {
        ordered(&format!("class.{name}.tasks"), f64::from(self.tasks.0), f64::from(self.tasks.1))?;
        ordered(&format!("class.{name}.run_s"), self.run_s.0, self.run_s.1)?;
        in_range(&format!("class.{name}.cores"), self.cores, 0.01, machine.cores)?;
        in_range(&format!("class.{name}.cards"), self.cards, 0.0, machine.cards)?;
        in_range(&format!("class.{name}.mem_gb"), self.mem_gb, 0.0, machine.mem_gb)?;
        in_range(&format!("class.{name}.jobs_per_s"), self.jobs_per_s, 0.0, 1e6)
    }
}

impl Fault {
    fn check(&self, name: &str, scenario: &Scenario) -> Result<(), String> {
        in_range(&format!("fault.{name}.at_s"), self.at_s, 0.0, scenario.duration_s)?;
        in_range(&format!("fault.{name}.for_s"), self.for_s, 0.0, scenario.duration_s)?;
        in_range(&format!("fault.{name}.region"), self.region as f64, 0.0, (scenario.regions - 1) as f64)
    }
}

/// Fails unless `value` is from `least` to `most`.
pub(super) fn in_range(field: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if value >= least && value <= most {
        Ok(())
    } else if most < f64::MAX {
        Err(format!("{field}: must be from {least} to {most}, is {value}"))
    } else {
        Err(format!("{field}: must be at least {least}, is {value}"))
    }
}

/// Fails unless both values are above 0 and in order.
fn ordered(field: &str, least: f64, most: f64) -> Result<(), String> {
    if least > 0.0 && least <= most {
        Ok(())
    } else {
        Err(format!("{field}: must be above 0 and in order, is {least} to {most}"))
    }
}
