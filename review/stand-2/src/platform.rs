//! The platform: starts the controllers, starts them again after they ended, and ends those over their memory limit.

use crate::http::call;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What the settings of a deployment say, as far as cases differ.
#[derive(Clone)]
pub struct Deployment {
    pub zones: Vec<&'static str>,
    /// Name, guarantee and limit of each team, in GPUs; 0 means none.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub memory_mb: f64,
    pub core_share: f64,
    pub back_s: f64,
}

/// The Lanna deployment of the brief: the small one.
pub fn lanna() -> Deployment {
    Deployment {
        zones: vec!["doi-suthep"],
        teams: vec![
            ("roster-desk", 56.0, 152.0),
            ("district-liaison", 32.0, 112.0),
            ("relief-ops", 80.0, 216.0),
            ("infra-crew", 64.0, 176.0),
        ],
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        rps: 100.0,
        write_rps: 20.0,
        value_kb: 8.0,
        txn_ops: 12,
        cloud_rps: 5.0,
        list_lag_s: 4.0,
        memory_mb: 56.0,
        core_share: 0.12,
        back_s: 3.0,
    }
}

pub struct Controller {
    pub name: String,
    pub public: SocketAddr,
    internal: SocketAddr,
    zone: &'static str,
    child: Option<Child>,
    start_at: Option<Instant>,
    starts: u32,
    /// Kills by the platform for memory.
    pub over_memory: u32,
    /// Ends without a signal of the platform.
    pub ended_itself: u32,
    /// Largest memory seen, in bytes.
    pub largest: u64,
    healthy: Arc<AtomicBool>,
}

pub struct Platform {
    pub deployment: Deployment,
    pub controllers: Mutex<Vec<Controller>>,
    folder: PathBuf,
    record: Record,
    ended: AtomicBool,
    next_user: Mutex<usize>,
}

/// Time between two looks at the controllers' memory: a process over its limit is killed without delay.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Processes that were started and are not known to have ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, whatever state the stand-ins are in.
pub fn kill_all() {
    for pid in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Platform {
    /// Chooses names and addresses of three controllers; none is started yet.
    pub fn new(deployment: Deployment, folder: &Path, record: Record) -> Arc<Platform> {
        let controllers: Vec<Controller> = (0..3)
            .map(|index| Controller {
                name: format!("worker-{index}"),
                public: free_port(),
                internal: free_port(),
                zone: deployment.zones[index % deployment.zones.len()],
                child: None,
                start_at: None,
                starts: 0,
                over_memory: 0,
                ended_itself: 0,
                largest: 0,
                healthy: Arc::default(),
            })
            .collect();
        Arc::new(Platform {
            deployment,
            controllers: Mutex::new(controllers),
            folder: folder.into(),
            record,
            ended: AtomicBool::new(false),
            next_user: Mutex::new(0),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<Controller>> {
        self.controllers.lock().unwrap()
    }

    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.lock().iter().map(|controller| (controller.name.clone(), controller.public)).collect()
    }

    /// Writes the settings, starts all controllers, and watches them from then on.
    pub fn start(self: &Arc<Platform>, clouds: &[SocketAddr], states: &[SocketAddr]) {
        for index in 0..3 {
            let text = self.settings(index, clouds[index], states[index]);
            fs::write(self.folder.join(format!("settings-{index}.toml")), text).unwrap();
            self.start_one(&mut self.lock()[index], index);
        }
        let watching = self.clone();
        std::thread::spawn(move || {
            while !watching.ended.load(Ordering::Relaxed) {
                watching.watch();
                std::thread::sleep(WATCH_INTERVAL);
            }
        });
        for index in 0..3 {
            let probing = self.clone();
            std::thread::spawn(move || probing.probe(index));
        }
    }

    fn settings(&self, index: usize, cloud: SocketAddr, state: SocketAddr) -> String {
        let deployment = &self.deployment;
        let controllers = self.lock();
        let own = &controllers[index];
        let mut text = format!(
            "node = \"{}\"\nsite = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n",
            own.name, own.zone, own.public, own.internal
        );
        for other in controllers.iter().filter(|other| other.name != own.name) {
            text += &format!(
                "[[seeds]]\nnode = \"{}\"\nsite = \"{}\"\nendpoint = \"{}\"\n",
                other.name, other.zone, other.internal
            );
        }
        text += &format!(
            "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[params]\nnodes = 3\nzones = {:?}\ntime_bound_ms = 25.0\n",
            deployment.zones
        );
        for (name, gpus, gpus_max) in &deployment.teams {
            text += &format!(
                "[[params.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:?}\ngpus_max = {gpus_max:?}\n"
            );
        }
        text += &format!(
            "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = {:?}\n",
            deployment.report_s, deployment.lease_s, deployment.cancel_s
        );
        text += &format!(
            "[params.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
            deployment.rps, deployment.write_rps, deployment.value_kb, deployment.txn_ops
        );
        text += &format!(
            "[params.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n[params.limits]\ncore_share = {:?}\nmemory_mb = {:?}\nmax_sockets = 800\n",
            deployment.cloud_rps, deployment.list_lag_s, deployment.core_share, deployment.memory_mb
        );
        text
    }

    /// Starts a controller with the command of the deploy file, from the repository's root.
    fn start_one(&self, controller: &mut Controller, index: usize) {
        let deploy = fs::read_to_string("deploy/service.toml").unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap().trim_end_matches('"');
        let mut words = run.split(' ');
        controller.starts += 1;
        let log = File::create(self.folder.join(format!("log-{index}-{}.txt", controller.starts))).unwrap();
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
        let child = Command::new(words.next().unwrap())
            .args(words)
            .arg(self.folder.join(format!("settings-{index}.toml")))
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.record.line(&format!("platform: {} started, process {}", controller.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        controller.child = Some(child);
        controller.start_at = None;
    }

    fn watch(&self) {
        let back = Duration::from_secs_f64(self.deployment.back_s);
        let limit = (self.deployment.memory_mb * 1024.0 * 1024.0) as u64;
        let mut controllers = self.lock();
        for index in 0..controllers.len() {
            let controller = &mut controllers[index];
            if let Some(child) = controller.child.as_mut() {
                if let Ok(Some(status)) = child.try_wait() {
                    self.record.line(&format!("platform: {} ended by itself: {status}", controller.name));
                    forget(child.id());
                    controller.ended_itself += 1;
                    controller.child = None;
                    controller.start_at = Some(Instant::now() + back);
                    continue;
                }
                let held = held_bytes(child.id()).unwrap_or(0);
                controller.largest = controller.largest.max(held);
                if held > limit {
                    self.record.line(&format!(
                        "platform: {} holds {:.1} MB, over its limit of {} MB: killed",
                        controller.name,
                        held as f64 / 1048576.0,
                        self.deployment.memory_mb
                    ));
                    controller.over_memory += 1;
                    let _ = child.kill();
                    let _ = child.wait();
                    forget(child.id());
                    controller.child = None;
                    controller.start_at = Some(Instant::now() + back);
                }
            } else if controller.start_at.is_some_and(|at| at <= Instant::now()) {
                self.start_one(controller, index);
            }
        }
    }

    /// Stops or continues a controller by a signal.
    pub fn pause(&self, index: usize, paused: bool) {
        let mut controllers = self.lock();
        let controller = &mut controllers[index];
        if let Some(child) = &controller.child {
            let signal = if paused { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
            self.record.line(&format!(
                "platform: {} {}",
                controller.name,
                if paused { "stopped" } else { "continued" }
            ));
        }
    }

    /// Ends all controllers for good.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for controller in self.lock().iter_mut() {
            controller.start_at = None;
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
                forget(child.id());
            }
        }
    }

    /// Probes a controller as the load balancer does.
    fn probe(&self, index: usize) {
        let (addr, healthy) = {
            let controllers = self.lock();
            (controllers[index].public, controllers[index].healthy.clone())
        };
        let (mut failures, mut successes, mut ever, mut since) = (0, 0, false, Instant::now());
        while !self.ended.load(Ordering::Relaxed) {
            let second = Duration::from_secs(1);
            let ok = call(addr, "GET", "/ready", None, second, second).is_ok_and(|answer| answer.status == 200);
            (failures, successes) = if ok { (0, successes + 1) } else { (failures + 1, 0) };
            if healthy.load(Ordering::Relaxed) {
                if failures >= 2 {
                    healthy.store(false, Ordering::Relaxed);
                    since = Instant::now();
                }
            } else if successes >= 1 && !ever || successes >= 2 && since.elapsed() >= Duration::from_secs(3) {
                healthy.store(true, Ordering::Relaxed);
                ever = true;
            }
            std::thread::sleep(second);
        }
    }

    /// Sends a user's request through the load balancer: a healthy node, up to three tries to connect.
    pub fn user_call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Result<crate::http::Answer, crate::http::CallError> {
        let mut last = Err(crate::http::CallError::NotConnected);
        for _ in 0..3 {
            let addr = {
                let controllers = self.lock();
                let healthy: Vec<SocketAddr> = controllers
                    .iter()
                    .filter(|controller| controller.healthy.load(Ordering::Relaxed))
                    .map(|controller| controller.public)
                    .collect();
                if healthy.is_empty() {
                    return last;
                }
                let mut next = self.next_user.lock().unwrap();
                *next += 1;
                healthy[*next % healthy.len()]
            };
            last = crate::http::call_text(addr, method, path, body, timeout, Duration::from_millis(500));
            if last != Err(crate::http::CallError::NotConnected) {
                break;
            }
        }
        last
    }
}

/// Returns the bytes that a process holds for itself: its anonymous memory, without the program's file.
fn held_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}
