//! Randomised fault injection: jobs arrive while faults overlap.

use super::net::Cut;
use super::world::{AgentMemory, BootFaults, GUEST, LEASE_S, secs};
use super::{NEXT_LIMITS, NODES, Sim, cloud_of, controller, late_copies, machines, state_of, users};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::IpAddr;
use tokio::time::Instant;

/// Options of a randomised run.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomDay {
    /// Duration in seconds.
    pub day_s: f64,
    /// Number of overlapping faults of the original kinds.
    pub faults: usize,
    /// Number of overlapping faults of the kinds added later.
    pub later: usize,
    /// Number of pipelines that are submitted.
    pub pipelines: usize,
    /// Whether the controllers are upgraded in turn, with pipelines submitted afterwards.
    pub rollout: bool,
    /// Share of direct commands that are repeated after their answer. If it is above 0, controllers and agents also
    /// come back within a second.
    pub repeated_commands: f64,
}

/// Action that a randomised run carries out at a set time.
enum FaultAction {
    Submit,
    Cancel,
    Kill(usize),
    Start(usize),
    Outage(bool),
    Refuse(usize, bool),
    Cut(Vec<(IpAddr, IpAddr)>, Option<Cut>),
    /// Cuts or reconnects a node and the machines of a zone, or of all zones.
    CutMachines(usize, &'static str, Option<Cut>),
    Deaf(f64, f64),
    Mute(f64, f64),
    Hang(f64, f64),
    Die(usize),
    Take(usize, bool),
    LateReports(f64),
    LateWrites(f64),
    LostAnswers(f64),
    CloudDown(bool),
    Pause(usize, bool),
    PollRate(f64),
    BootFaults(BootFaults),
    SubmitMistaken,
    SubmitGuests,
    SubmitPipeline,
    LimitState,
    Upgrade(usize),
    RestartAgents(f64),
}

/// Draws a fault of the original kinds that begins at `at`, in seconds, and returns its actions.
fn fault(rng: &mut StdRng, at: f64) -> Vec<(f64, FaultAction)> {
    let node = rng.random_range(0..NODES);
    let other = (node + rng.random_range(1..NODES)) % NODES;
    let long = rng.random_range(3.0..25.0);
    let end = at + long;
    let kind = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Refuse };
    let cut =
        |a, b| vec![(at, FaultAction::Cut(vec![(a, b)], Some(kind))), (end, FaultAction::Cut(vec![(a, b)], None))];
    let share = rng.random_range(0.2..1.0);
    match rng.random_range(0..16) {
        0 | 1 => vec![(at, FaultAction::Kill(node)), (at + rng.random_range(0.1..6.0), FaultAction::Start(node))],
        2 => vec![(at, FaultAction::Outage(true)), (end, FaultAction::Outage(false))],
        3 | 4 => vec![(at, FaultAction::Refuse(node, true)), (end, FaultAction::Refuse(node, false))],
        5 => cut(controller(node), controller(other)),
        6 => cut(controller(node), state_of(node)),
        7 => cut(controller(node), cloud_of(node)),
        8 => {
            let zone = ["a", "b", ""][rng.random_range(0..3)];
            vec![
                (at, FaultAction::CutMachines(node, zone, Some(kind))),
                (end, FaultAction::CutMachines(node, zone, None)),
            ]
        }
        9 => vec![(at, FaultAction::Deaf(share, long))],
        10 => vec![(at, FaultAction::Mute(share, long))],
        11 => vec![(at, FaultAction::Hang(share, rng.random_range(2.0..LEASE_S * 1.4)))],
        12 => vec![(at, FaultAction::Die(rng.random_range(1..3))), (end, FaultAction::Take(1, rng.random_bool(0.7)))],
        13 => vec![(at, FaultAction::LateReports(0.3)), (end, FaultAction::LateReports(0.0))],
        14 if rng.random_bool(0.5) => vec![(at, FaultAction::LateWrites(0.1)), (end, FaultAction::LateWrites(0.0))],
        14 => vec![(at, FaultAction::LostAnswers(0.15)), (end, FaultAction::LostAnswers(0.0))],
        _ => vec![(at, FaultAction::CloudDown(true)), (end, FaultAction::CloudDown(false))],
    }
}

/// Draws a fault of the kinds added later that begins at `at`, in seconds, and returns its actions.
fn later_fault(rng: &mut StdRng, at: f64) -> Vec<(f64, FaultAction)> {
    let node = rng.random_range(0..NODES);
    let end = at + rng.random_range(5.0..30.0);
    match rng.random_range(0..6) {
        0 => vec![(at, FaultAction::Pause(node, true)), (end, FaultAction::Pause(node, false))],
        1 => vec![
            (at, FaultAction::Pause(node, true)),
            (at + rng.random_range(30.0..90.0), FaultAction::Pause(node, false)),
        ],
        2 => {
            let mut fault_actions = vec![(at, FaultAction::PollRate(8.0)), (end, FaultAction::PollRate(1.0))];
            fault_actions
                .extend([(at + 1.0, FaultAction::Pause(node, true)), (end - 1.0, FaultAction::Pause(node, false))]);
            fault_actions
        }
        3 => {
            let faults = BootFaults {
                never: rng.random_range(0.0..0.5),
                late: rng.random_range(0.0..1.0),
                late_by: rng.random_range(2.0..6.0),
            };
            vec![(at, FaultAction::BootFaults(faults)), (end, FaultAction::BootFaults(BootFaults::default()))]
        }
        4 => vec![(at, FaultAction::SubmitMistaken), (at + 3.0, FaultAction::SubmitMistaken)],
        _ => vec![(at, FaultAction::SubmitGuests)],
    }
}

/// Restarts within a second of a day whose commands are repeated.
const QUICK_RESTARTS: usize = 4;

/// Draws a controller or machines that come back within a second.
fn quick_restart(rng: &mut StdRng, day_s: f64) -> Vec<(f64, FaultAction)> {
    let at = rng.random_range(4.0..day_s * 0.7);
    if rng.random_bool(0.5) {
        let node = rng.random_range(0..NODES);
        vec![(at, FaultAction::Kill(node)), (at + rng.random_range(0.1..0.9), FaultAction::Start(node))]
    } else {
        vec![(at, FaultAction::RestartAgents(rng.random_range(0.1..0.6)))]
    }
}

impl Sim {
    /// Runs `day_s` seconds with jobs and `faults` overlapping faults.
    pub async fn random_day(&mut self, day_s: f64, faults: usize) {
        self.random_day_with(day_s, faults, 0).await;
    }

    /// Runs [`Sim::random_day`] with `later` further faults of the kinds added later. These are drawn
    /// last, so that recorded seeds reproduce their runs.
    pub async fn random_day_with(&mut self, day_s: f64, faults: usize, later: usize) {
        let day = RandomDay { day_s, faults, later, ..RandomDay::default() };
        self.random_day_of(day).await;
    }

    /// Runs `day` with pipelines; if the state service has limits, they shrink during the run.
    pub async fn random_day_of(&mut self, day: RandomDay) {
        let RandomDay { day_s, faults, later, pipelines, rollout, repeated_commands } = day;
        let mut rng = StdRng::seed_from_u64(self.context.seed.wrapping_mul(0x9e37_79b9));
        self.context.world.lock().unwrap().faulty = 0.04;
        tokio::spawn(users::poll_unknown_jobs(self.context.clone(), rng.random()));
        let mut fault_actions: Vec<(f64, FaultAction)> = Vec::new();
        for _ in 0..22 {
            let at = rng.random_range(0.5..day_s * 0.8);
            fault_actions.push((at, FaultAction::Submit));
            if rng.random_bool(0.4) {
                fault_actions.push((at + rng.random_range(0.5..25.0), FaultAction::Cancel));
            }
        }
        for _ in 0..faults {
            let at = rng.random_range(4.0..day_s * 0.7);
            fault_actions.extend(fault(&mut rng, at));
        }
        for _ in 0..later {
            let at = rng.random_range(4.0..day_s * 0.6);
            fault_actions.extend(later_fault(&mut rng, at));
        }
        let mut earliest = 3.0;
        if rollout {
            let every = rng.random_range(4.0..day_s * 0.15);
            for node in 0..NODES {
                earliest += every;
                fault_actions.push((earliest, FaultAction::Upgrade(node)));
                fault_actions.push((earliest + rng.random_range(0.3..5.0), FaultAction::Start(node)));
            }
            earliest += 5.0;
        }
        for _ in 0..pipelines {
            let at = rng.random_range(earliest..day_s * 0.7);
            fault_actions.push((at, FaultAction::SubmitPipeline));
            if rng.random_bool(0.5) {
                fault_actions.push((at + rng.random_range(0.2..20.0), FaultAction::Cancel));
            }
        }
        if pipelines > 0 {
            fault_actions
                .push((rng.random_range(if rollout { earliest } else { 0.0 }..day_s), FaultAction::LimitState));
        }
        if repeated_commands > 0.0 {
            self.repeated_commands(repeated_commands);
            fault_actions.extend((0..QUICK_RESTARTS).flat_map(|_| quick_restart(&mut rng, day_s)));
        }
        fault_actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        let began = Instant::now();
        for (at, action) in fault_actions {
            self.run((began + secs(at)).saturating_duration_since(Instant::now())).await;
            self.carry_out(action, &mut rng);
        }
        self.run((began + secs(day_s)).saturating_duration_since(Instant::now())).await;
    }

    fn carry_out(&mut self, action: FaultAction, rng: &mut StdRng) {
        let now = Instant::now();
        match action {
            FaultAction::Submit => {
                let job = self.random_job();
                self.submit(job);
            }
            FaultAction::Cancel => self.cancel_any(rng),
            FaultAction::Kill(n) => self.kill(n),
            FaultAction::Start(n) => self.start(n),
            FaultAction::Outage(down) => self.state_down(down),
            FaultAction::Refuse(n, refused) => self.refuse_state(n, refused),
            FaultAction::Cut(pairs, cut) => {
                self.context.log(format!("cut of {pairs:?}: {cut:?}"));
                pairs.into_iter().for_each(|(a, b)| self.cut(a, b, cut));
            }
            FaultAction::CutMachines(n, zone, cut) => self.cut_machines(n, zone, cut),
            FaultAction::Deaf(share, s) => self.for_random_machines(rng, share, "deaf", |m| m.deaf = now + secs(s)),
            FaultAction::Mute(share, s) => self.for_random_machines(rng, share, "mute", |m| m.mute = now + secs(s)),
            FaultAction::Hang(share, s) => self.for_random_machines(rng, share, "hang", |m| m.hang = now + secs(s)),
            FaultAction::Die(count) => {
                for id in self.random_machines(rng, count, |_| true) {
                    machines::die(&self.context, &id);
                }
            }
            FaultAction::Take(count, noticed) => self.take_spot_machines(count, noticed, rng),
            FaultAction::Pause(node, paused) => self.pause(node, paused),
            FaultAction::PollRate(rate) => self.poll_rate(rate),
            FaultAction::BootFaults(faults) => self.boot_faults(faults),
            FaultAction::SubmitMistaken => {
                let mut job = self.random_job();
                job.mistaken = true;
                let id = self.submit(job);
                self.cancel_later(&id, secs(rng.random_range(10.0..40.0)));
            }
            FaultAction::SubmitGuests => self.submit_guests(rng),
            FaultAction::SubmitPipeline => {
                let jobs = self.random_pipeline(rng);
                self.submit_pipeline(jobs);
            }
            FaultAction::Upgrade(node) => self.kill_to_upgrade(node),
            FaultAction::RestartAgents(share) => self.restart_agents(rng, share, AgentMemory::Stored),
            FaultAction::LimitState => self.limit_state(NEXT_LIMITS),
            FaultAction::LateReports(share) => self.late_reports(share),
            FaultAction::LateWrites(share) => self.late_writes(share),
            FaultAction::LostAnswers(share) => self.lost_answers(share),
            FaultAction::CloudDown(down) => {
                self.context.log(format!("cloud down: {down}"));
                self.context.world.lock().unwrap().cloud_down = down;
            }
        }
    }

    /// Cancels one of the open jobs.
    fn cancel_any(&mut self, rng: &mut StdRng) {
        let open: Vec<String> = {
            let world = self.context.world.lock().unwrap();
            let open = world.jobs.values().filter(|j| j.accepted.is_some() && !j.over() && !j.cancel_asked);
            open.map(|j| j.id.clone()).collect()
        };
        if !open.is_empty() {
            let id = open[rng.random_range(0..open.len())].clone();
            self.cancel(&id, &[0, 1, 2]);
        }
    }

    /// Cuts a controller off from the machines of a zone, or of all zones; `None` ends the cut.
    fn cut_machines(&mut self, node: usize, zone: &str, cut: Option<Cut>) {
        self.context.log(format!("cut of n{node} from machines of {zone:?}: {cut:?}"));
        let ips: Vec<IpAddr> = {
            let world = self.context.world.lock().unwrap();
            let all = world.machines.values().filter(|m| zone.is_empty() || cut.is_none() || m.zone == zone);
            all.map(|m| m.addr.ip()).collect()
        };
        for ip in ips {
            self.cut(controller(node), ip, cut);
        }
    }

    /// Starts the agents of a share of the machines again; copies of the commands that they had answered follow.
    fn restart_agents(&self, rng: &mut StdRng, share: f64, memory: AgentMemory) {
        let ids: Vec<String> = self.context.world.lock().unwrap().machines.keys().cloned().collect();
        for id in ids.iter().filter(|_| rng.random_bool(share)) {
            late_copies::restart_agent(&self.context, id, memory);
        }
    }

    /// Reclaims spot machines, with or without notice.
    fn take_spot_machines(&mut self, count: usize, noticed: bool, rng: &mut StdRng) {
        for id in self.random_machines(rng, count, |spot| spot) {
            if noticed {
                self.context.log(format!("{id} gets notice of its reclaim"));
                let mut world = self.context.world.lock().unwrap();
                let m = world.machines.get_mut(&id).unwrap();
                (m.taken, m.changed) = (Some(Instant::now() + secs(rng.random_range(3.0..12.0))), true);
            } else {
                machines::remove(&self.context, &id, "is reclaimed without notice");
            }
        }
    }

    /// Submits a large array and several small ones for a team without a guarantee.
    fn submit_guests(&mut self, rng: &mut StdRng) {
        for tasks in [30, 1, 1, 1, 1] {
            let mut job = self.job("batch", tasks);
            (job.team, job.preemptible, job.cards) = (GUEST.0, rng.random_bool(0.5), 0.5);
            job.run_s = rng.random_range(1.0..4.0);
            self.submit(job);
        }
    }

    /// Returns up to `count` random machines that are up and whose spot flag `wanted` accepts.
    fn random_machines(&self, rng: &mut StdRng, count: usize, wanted: impl Fn(bool) -> bool) -> Vec<String> {
        let now = Instant::now();
        let world = self.context.world.lock().unwrap();
        let mut up: Vec<String> =
            world.machines.values().filter(|m| m.alive(now) && wanted(m.spot)).map(|m| m.id.clone()).collect();
        let mut out = Vec::new();
        while out.len() < count && !up.is_empty() {
            out.push(up.swap_remove(rng.random_range(0..up.len())));
        }
        out
    }

    fn for_random_machines(&self, rng: &mut StdRng, share: f64, what: &str, put: impl Fn(&mut super::world::Machine)) {
        let now = Instant::now();
        let mut world = self.context.world.lock().unwrap();
        let mut hit = Vec::new();
        for m in world.machines.values_mut().filter(|m| m.alive(now)) {
            if rng.random_bool(share) {
                put(m);
                hit.push(m.id.clone());
            }
        }
        world.log(format!("{what}: {hit:?}"));
    }
}
