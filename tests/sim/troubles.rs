//! Random days: jobs come, and troubles overlap.

use super::net::Cut;
use super::world::{BootFaults, GUEST, LEASE_S, secs};
use super::{NODES, Sim, cloud_of, controller, machines, state_of, users};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::IpAddr;
use tokio::time::Instant;

/// What is to be done at an instant of the day.
enum Deed {
    Submit,
    Cancel,
    Kill(usize),
    Start(usize),
    Outage(bool),
    Refuse(usize, bool),
    Cut(Vec<(IpAddr, IpAddr)>, Option<Cut>),
    /// From a node to the machines of a zone, or of all.
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
}

/// The deeds of one trouble that begins then.
fn trouble(rng: &mut StdRng, at: f64) -> Vec<(f64, Deed)> {
    let node = rng.random_range(0..NODES);
    let other = (node + rng.random_range(1..NODES)) % NODES;
    let long = rng.random_range(3.0..25.0);
    let end = at + long;
    let kind = if rng.random_bool(0.5) { Cut::Hold } else { Cut::Refuse };
    let cut = |a, b| vec![(at, Deed::Cut(vec![(a, b)], Some(kind))), (end, Deed::Cut(vec![(a, b)], None))];
    let share = rng.random_range(0.2..1.0);
    match rng.random_range(0..16) {
        0 | 1 => vec![(at, Deed::Kill(node)), (at + rng.random_range(0.1..6.0), Deed::Start(node))],
        2 => vec![(at, Deed::Outage(true)), (end, Deed::Outage(false))],
        3 | 4 => vec![(at, Deed::Refuse(node, true)), (end, Deed::Refuse(node, false))],
        5 => cut(controller(node), controller(other)),
        6 => cut(controller(node), state_of(node)),
        7 => cut(controller(node), cloud_of(node)),
        8 => {
            let zone = ["a", "b", ""][rng.random_range(0..3)];
            vec![(at, Deed::CutMachines(node, zone, Some(kind))), (end, Deed::CutMachines(node, zone, None))]
        }
        9 => vec![(at, Deed::Deaf(share, long))],
        10 => vec![(at, Deed::Mute(share, long))],
        11 => vec![(at, Deed::Hang(share, rng.random_range(2.0..LEASE_S * 1.4)))],
        12 => vec![(at, Deed::Die(rng.random_range(1..3))), (end, Deed::Take(1, rng.random_bool(0.7)))],
        13 => vec![(at, Deed::LateReports(0.3)), (end, Deed::LateReports(0.0))],
        14 if rng.random_bool(0.5) => vec![(at, Deed::LateWrites(0.1)), (end, Deed::LateWrites(0.0))],
        14 => vec![(at, Deed::LostAnswers(0.15)), (end, Deed::LostAnswers(0.0))],
        _ => vec![(at, Deed::CloudDown(true)), (end, Deed::CloudDown(false))],
    }
}

/// The deeds of one fault of the later kinds that begins then.
fn later_fault(rng: &mut StdRng, at: f64) -> Vec<(f64, Deed)> {
    let node = rng.random_range(0..NODES);
    let end = at + rng.random_range(5.0..30.0);
    match rng.random_range(0..6) {
        0 => vec![(at, Deed::Pause(node, true)), (end, Deed::Pause(node, false))],
        1 => vec![(at, Deed::Pause(node, true)), (at + rng.random_range(30.0..90.0), Deed::Pause(node, false))],
        2 => {
            let mut deeds = vec![(at, Deed::PollRate(8.0)), (end, Deed::PollRate(1.0))];
            deeds.extend([(at + 1.0, Deed::Pause(node, true)), (end - 1.0, Deed::Pause(node, false))]);
            deeds
        }
        3 => {
            let faults = BootFaults {
                never: rng.random_range(0.0..0.5),
                late: rng.random_range(0.0..1.0),
                late_by: rng.random_range(2.0..6.0),
            };
            vec![(at, Deed::BootFaults(faults)), (end, Deed::BootFaults(BootFaults::default()))]
        }
        4 => vec![(at, Deed::SubmitMistaken), (at + 3.0, Deed::SubmitMistaken)],
        _ => vec![(at, Deed::SubmitGuests)],
    }
}

impl Sim {
    /// A day of so many seconds with jobs, and so many troubles that overlap.
    pub async fn random_day(&mut self, day_s: f64, troubles: usize) {
        self.random_day_with(day_s, troubles, 0).await;
    }

    /// The same with so many faults of the later kinds as well. They are drawn last, so
    /// that the days of known seeds stay what they were.
    pub async fn random_day_with(&mut self, day_s: f64, troubles: usize, later: usize) {
        let mut rng = StdRng::seed_from_u64(self.g.seed.wrapping_mul(0x9e37_79b9));
        self.g.w.lock().unwrap().faulty = 0.04;
        tokio::spawn(users::stranger(self.g.clone(), rng.random()));
        let mut deeds: Vec<(f64, Deed)> = Vec::new();
        for _ in 0..22 {
            let at = rng.random_range(0.5..day_s * 0.8);
            deeds.push((at, Deed::Submit));
            if rng.random_bool(0.4) {
                deeds.push((at + rng.random_range(0.5..25.0), Deed::Cancel));
            }
        }
        for _ in 0..troubles {
            let at = rng.random_range(4.0..day_s * 0.7);
            deeds.extend(trouble(&mut rng, at));
        }
        for _ in 0..later {
            let at = rng.random_range(4.0..day_s * 0.6);
            deeds.extend(later_fault(&mut rng, at));
        }
        deeds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let began = Instant::now();
        for (at, deed) in deeds {
            self.run((began + secs(at)).saturating_duration_since(Instant::now())).await;
            self.carry_out(deed, &mut rng);
        }
        self.run((began + secs(day_s)).saturating_duration_since(Instant::now())).await;
    }

    fn carry_out(&mut self, deed: Deed, rng: &mut StdRng) {
        let now = Instant::now();
        match deed {
            Deed::Submit => {
                let job = self.random_job();
                self.submit(job);
            }
            Deed::Cancel => {
                let open: Vec<String> = {
                    let w = self.g.w.lock().unwrap();
                    let open = w.jobs.values().filter(|j| j.accepted.is_some() && !j.over() && !j.cancel_asked);
                    open.map(|j| j.id.clone()).collect()
                };
                if !open.is_empty() {
                    let id = open[rng.random_range(0..open.len())].clone();
                    self.cancel(&id, &[0, 1, 2]);
                }
            }
            Deed::Kill(n) => self.kill(n),
            Deed::Start(n) => self.start(n),
            Deed::Outage(down) => self.state_down(down),
            Deed::Refuse(n, refused) => self.refuse_state(n, refused),
            Deed::Cut(pairs, cut) => {
                self.g.log(format!("cut of {pairs:?}: {cut:?}"));
                pairs.into_iter().for_each(|(a, b)| self.cut(a, b, cut));
            }
            Deed::CutMachines(n, zone, cut) => {
                self.g.log(format!("cut of n{n} from machines of {zone:?}: {cut:?}"));
                let ips: Vec<IpAddr> = {
                    let w = self.g.w.lock().unwrap();
                    let all = w.machines.values().filter(|m| zone.is_empty() || cut.is_none() || m.zone == zone);
                    all.map(|m| m.addr.ip()).collect()
                };
                ips.into_iter().for_each(|ip| self.cut(controller(n), ip, cut));
            }
            Deed::Deaf(share, s) => self.each(rng, share, "deaf", |m| m.deaf = now + secs(s)),
            Deed::Mute(share, s) => self.each(rng, share, "mute", |m| m.mute = now + secs(s)),
            Deed::Hang(share, s) => self.each(rng, share, "hang", |m| m.hang = now + secs(s)),
            Deed::Die(count) => {
                for id in self.some(rng, count, |_| true) {
                    machines::die(&self.g, &id);
                }
            }
            Deed::Take(count, noticed) => {
                for id in self.some(rng, count, |spot| spot) {
                    if noticed {
                        self.g.log(format!("{id} is to be taken"));
                        let mut w = self.g.w.lock().unwrap();
                        let m = w.machines.get_mut(&id).unwrap();
                        (m.taken, m.changed) = (Some(now + secs(rng.random_range(3.0..12.0))), true);
                    } else {
                        machines::remove(&self.g, &id, "is taken without notice");
                    }
                }
            }
            Deed::Pause(node, paused) => self.pause(node, paused),
            Deed::PollRate(rate) => self.poll_rate(rate),
            Deed::BootFaults(faults) => self.boot_faults(faults),
            Deed::SubmitMistaken => {
                let mut job = self.random_job();
                job.mistaken = true;
                let id = self.submit(job);
                self.cancel_later(&id, secs(rng.random_range(10.0..40.0)));
            }
            Deed::SubmitGuests => {
                for tasks in [30, 1, 1, 1, 1] {
                    let mut job = self.job("batch", tasks);
                    (job.team, job.preemptible, job.cards) = (GUEST.0, rng.random_bool(0.5), 0.5);
                    job.run_s = rng.random_range(1.0..4.0);
                    self.submit(job);
                }
            }
            Deed::LateReports(share) => self.late_reports(share),
            Deed::LateWrites(share) => self.late_writes(share),
            Deed::LostAnswers(share) => self.lost_answers(share),
            Deed::CloudDown(down) => {
                self.g.log(format!("cloud down: {down}"));
                self.g.w.lock().unwrap().cloud_down = down;
            }
        }
    }

    /// Some of the machines that are up, by their kind.
    fn some(&self, rng: &mut StdRng, count: usize, wanted: impl Fn(bool) -> bool) -> Vec<String> {
        let now = Instant::now();
        let w = self.g.w.lock().unwrap();
        let mut up: Vec<String> =
            w.machines.values().filter(|m| m.alive(now) && wanted(m.spot)).map(|m| m.id.clone()).collect();
        let mut out = Vec::new();
        while out.len() < count && !up.is_empty() {
            out.push(up.swap_remove(rng.random_range(0..up.len())));
        }
        out
    }

    fn each(&self, rng: &mut StdRng, share: f64, what: &str, put: impl Fn(&mut super::world::Machine)) {
        let now = Instant::now();
        let mut w = self.g.w.lock().unwrap();
        let mut hit = Vec::new();
        for m in w.machines.values_mut().filter(|m| m.alive(now)) {
            if rng.random_bool(share) {
                put(m);
                hit.push(m.id.clone());
            }
        }
        w.log(format!("{what}: {hit:?}"));
    }
}
