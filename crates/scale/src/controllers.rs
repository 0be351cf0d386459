//! Real controllers of a region: processes that are started, killed and suspended.

use crate::bound_process;
use crate::names::{BURST_IMAGE, region_name, team_name};
use crate::plan::RegionPlan;
use crate::scenario::{Borrowing, WarmPool};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use tokio::process::Child;

/// Log level of the controllers where the environment does not set `LOG_LEVEL`.
const DEFAULT_LOG_LEVEL: &str = "error";

/// Controllers of a region. They are killed when this value is dropped.
pub struct Controllers {
    plan: RegionPlan,
    processes: Vec<Option<Child>>,
}

impl Controllers {
    /// Starts all controllers.
    pub fn start(plan: &RegionPlan) -> io::Result<Controllers> {
        let count = plan.scenario.controllers_per_region;
        let mut controllers = Controllers { plan: plan.clone(), processes: (0..count).map(|_| None).collect() };
        (0..count).try_for_each(|number| controllers.start_one(number))?;
        Ok(controllers)
    }

    /// Starts a controller unless it runs.
    pub fn start_one(&mut self, number: usize) -> io::Result<()> {
        if self.processes[number].is_some() {
            return Ok(());
        }
        let settings = self.file(number, "toml");
        std::fs::write(&settings, settings_text(&self.plan, number))?;
        let log = File::options().create(true).append(true).open(self.file(number, "log"))?;
        let mut command = bound_process::controller_command(&self.plan.controller)?;
        command.arg("serve").arg("--config").arg(&settings).kill_on_drop(true);
        if self.plan.scenario.configuration.is_some() {
            let fleet = self.file(number, "fleet.hcl");
            std::fs::write(&fleet, fleet_text(&self.plan))?;
            command.arg("--fleet").arg(&fleet);
        }
        if let Some(pool) = &self.plan.scenario.warm_pool {
            let pools = self.file(number, "pools.hcl");
            std::fs::write(&pools, pools_text(pool))?;
            command.arg("--warm-pools").arg(&pools);
        }
        if let Some(borrowing) = self.plan.scenario.borrowing.as_ref().filter(|borrowing| borrowing.enabled) {
            let file = self.file(number, "borrowing.hcl");
            std::fs::write(&file, borrowing_text(borrowing, self.plan.scenario.teams.count))?;
            command.arg("--borrowing").arg(&file);
        }
        let log_level = std::env::var_os("LOG_LEVEL").unwrap_or_else(|| DEFAULT_LOG_LEVEL.into());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).env("LOG_LEVEL", log_level);
        self.processes[number] = Some(command.spawn()?);
        Ok(())
    }

    /// Kills a controller.
    pub async fn kill(&mut self, number: usize) -> io::Result<()> {
        match self.processes[number].take() {
            Some(mut process) => process.kill().await,
            None => Ok(()),
        }
    }

    /// Kills all controllers.
    pub async fn kill_all(&mut self) -> io::Result<()> {
        for number in 0..self.processes.len() {
            self.kill(number).await?;
        }
        Ok(())
    }

    /// Suspends or resumes a controller's process.
    pub fn hold(&self, number: usize, held: bool) -> io::Result<()> {
        let Some(pid) = self.process_id(number).and_then(|id| Pid::from_raw(id as i32)) else { return Ok(()) };
        Ok(kill_process(pid, if held { Signal::STOP } else { Signal::CONT })?)
    }

    /// Returns the identifier of a controller's process; `None` while it does not run.
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.processes[number].as_ref().and_then(Child::id)
    }

    /// Returns the number of controllers, running or not.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Returns a description of a controller that has exited by itself, if there is one.
    pub fn ended(&mut self) -> Option<String> {
        let status_of = |process: &mut Option<Child>| process.as_mut()?.try_wait().ok()?;
        let (number, status) = self.processes.iter_mut().map(status_of).enumerate().find_map(|(n, s)| Some((n, s?)))?;
        let name = format!("{} of {}", controller_name(number), self.plan.name());
        Some(format!("controller {name} ended by itself: {status}: {}", self.last_log_line(number)))
    }

    /// Returns the last line of a controller's log; empty if it has none.
    fn last_log_line(&self, number: usize) -> String {
        let log = std::fs::read(self.file(number, "log")).unwrap_or_default();
        String::from_utf8_lossy(&log).lines().last().unwrap_or_default().to_string()
    }

    /// Returns the path of one of a controller's files.
    fn file(&self, number: usize, extension: &str) -> PathBuf {
        self.plan.directory.join(format!("{}-n{number}.{extension}", self.plan.name()))
    }
}

/// Returns the platform's settings file of one controller.
fn settings_text(plan: &RegionPlan, number: usize) -> String {
    let (scenario, networks, zones) = (&plan.scenario, plan.networks(), plan.zones());
    let mut text = format!(
        "node = \"{}\"\nsite = {:?}\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n",
        controller_name(number),
        zones[number % zones.len()],
        networks.controller(number),
        networks.controller_internal(number)
    );
    let linked = scenario.soak.is_some();
    for other in (0..scenario.controllers_per_region).filter(|other| *other != number) {
        let endpoint = if linked { networks.peer_link(number, other) } else { networks.controller_internal(other) };
        text += &format!(
            "[[seeds]]\nnode = \"{}\"\nsite = {:?}\nendpoint = \"{}\"\n",
            controller_name(other),
            zones[other % zones.len()],
            endpoint
        );
    }
    let state = if linked { networks.state_link(number) } else { networks.state_service(number) };
    text += &format!(
        "[endpoints]\ncloud = \"{}\"\nstate = \"{state}\"\n[params]\nzones = {zones:?}\n",
        networks.cloud(number)
    );
    let teams = &scenario.teams;
    for team in 0..teams.count {
        text += &format!(
            "[[params.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = {:?}\ngpus_max = {:?}\n",
            team_name(team),
            plan.part(teams.guaranteed_cores),
            plan.part(teams.most_cores),
            plan.part(teams.guaranteed_cards),
            plan.part(teams.most_cards)
        );
    }
    let (worker, state) = (&scenario.worker, &scenario.state);
    text += &format!(
        "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
        worker.report_s, worker.lease_s, worker.gang_wait_s, worker.gang_peer_s, worker.cancel_s
    );
    text += &format!(
        "[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
        state.rps, state.write_rps, state.value_kb, state.txn_ops
    );
    text + &format!(
        "[params.cloud]\nrps = {CLOUD_RPS:?}\nlist_lag_s = {LIST_LAG_S:?}\n[params.limits]\nmax_sockets = {}\n",
        scenario.controller.max_sockets
    )
}

/// Returns the operators' file that names the other regions to a controller.
fn fleet_text(plan: &RegionPlan) -> String {
    let mut text = format!("region = {:?}\nregions {{\n", plan.name());
    for (region, networks) in plan.all_networks.iter().enumerate() {
        let controllers = 0..plan.scenario.controllers_per_region;
        let addresses: Vec<String> =
            controllers.map(|number| networks.relay(plan.region, number).to_string()).collect();
        text += &format!("  {} {{\n    controllers = {addresses:?}\n  }}\n", region_name(region));
    }
    text + "}\n"
}

/// Returns the operators' file that declares the pool.
fn pools_text(pool: &WarmPool) -> String {
    let WarmPool { replicas, cores, cards, mem_gb, bill_every_s } = pool;
    format!(
        "bill_every_s = {bill_every_s:?}\n\
         model \"burst\" {{\n  version = 1\n  image = \"{BURST_IMAGE}\"\n  size_gb = 1\n}}\n\
         pool \"burst\" {{\n  model = \"burst\"\n  payer = \"{}\"\n  keep = \"loaded\"\n  count = {replicas}\n  \
         cores = {cores:?}\n  cards = {cards:?}\n  mem_gb = {mem_gb:?}\n  loads_at_a_time = {replicas}\n}}\n",
        team_name(0)
    )
}

/// Returns the operators' file of lending: all other teams lend to the first one.
fn borrowing_text(borrowing: &Borrowing, teams: usize) -> String {
    let Borrowing { quiet_s, return_after_s, .. } = borrowing;
    let first = team_name(0);
    let mut text = format!(
        "quiet_s = {quiet_s:?}\nreturn_after_s = {return_after_s:?}\nborrower \"{first}\" {{\n  from = \"urgent\"\n}}\n"
    );
    for team in (1..teams).map(team_name) {
        text += &format!("lender \"{team}\" {{\n  to = [\"{first}\"]\n  up_to = \"standard\"\n}}\n");
    }
    text
}

/// Returns the name of a controller, from which the simulated workers parse its number.
pub fn controller_name(number: usize) -> String {
    format!("n{number}")
}

/// Rate limit of the cloud, in calls per second.
const CLOUD_RPS: f64 = 10.0;
/// Delay of the cloud's list of machines, in seconds.
pub const LIST_LAG_S: f64 = 4.0;
