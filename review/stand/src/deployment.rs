//! Controllers as processes, the links between them, and users.

use crate::http::call;
use crate::state::State;
use crate::world::{Config, Platform};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;

/// Values of the settings that differ between cases.
pub struct Params {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub flavors: Value,
    pub boot_s: f64,
    /// Changes a second that the state service takes.
    pub write_rps: f64,
    /// Further arguments of `serve`, before `--config`.
    pub arguments: Vec<String>,
}

pub struct Deployment {
    pub state: Arc<State>,
    pub platform: Arc<Platform>,
    pub names: Vec<String>,
    pub users: Vec<SocketAddr>,
    settings: Vec<PathBuf>,
    arguments: Vec<String>,
    root: PathBuf,
    dir: PathBuf,
    processes: Mutex<Vec<Option<Child>>>,
    /// Whether traffic between a controller and the others is held.
    cut_from_peers: Arc<Vec<AtomicBool>>,
    next_user: AtomicUsize,
}

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Deployment {
    /// Starts the stand-ins and three controllers. `folder` is that of the case.
    pub fn start(folder: &str, params: &Params) -> Arc<Deployment> {
        let root = PathBuf::from(folder).join("../..").canonicalize().unwrap();
        let dir = std::env::temp_dir().join(format!("badgerdrift-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let seconds = Duration::from_secs_f64;
        let config = Config {
            report: seconds(params.report_s),
            lease: seconds(params.lease_s),
            gang_wait: seconds(params.gang_wait_s),
            list_lag: seconds(params.list_lag_s),
            flavors: params.flavors.clone(),
            boot: seconds(params.boot_s),
        };
        let platform = Platform::new(config, &format!("{folder}/record.txt"));
        let state = State::new(3);
        let names: Vec<String> = (0..3).map(|i| format!("worker-{i}")).collect();
        let users: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
        let internal: Vec<SocketAddr> = (0..3).map(|_| free_addr()).collect();
        *platform.controllers.lock().unwrap() = names.iter().cloned().zip(users.iter().copied()).collect();
        let cut: Arc<Vec<AtomicBool>> = Arc::new((0..3).map(|_| AtomicBool::new(false)).collect());
        let mut settings = Vec::new();
        for i in 0..3 {
            let seeds: String = (0..3)
                .filter(|j| *j != i)
                .map(|j| {
                    let link = open_link(i, j, internal[j], cut.clone());
                    format!("[[seeds]]\nnode = \"{}\"\nsite = \"a\"\nendpoint = \"{link}\"\n", names[j])
                })
                .collect();
            let teams: String = params
                .teams
                .iter()
                .map(|(name, gpus, most)| {
                    format!("[[params.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:.1}\ngpus_max = {most:.1}\n")
                })
                .collect();
            let text = format!(
                "node = \"{}\"\nsite = \"a\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n{seeds}[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n\
                 [params]\nnodes = 3\nzones = [\"a\"]\ntime_bound_ms = 25.0\n{teams}[params.workers]\nreport_s = {:.3}\nlease_s = {:.3}\n\
                 gang_wait_s = {:.3}\ngang_peer_s = {:.3}\ncancel_s = {:.3}\n[params.state]\nrps = 100.0\nwrite_rps = {:.1}\nvalue_kb = 8.0\ntxn_ops = 12\n\
                 [params.cloud]\nrps = 5.0\nlist_lag_s = {:.3}\n[params.limits]\ncore_share = 0.12\nmemory_mb = 56.0\nmax_sockets = 800\n",
                names[i],
                users[i],
                internal[i],
                platform.open_cloud(i, &names[i]),
                state.open(i),
                params.report_s,
                params.lease_s,
                params.gang_wait_s,
                params.gang_peer_s,
                params.cancel_s,
                params.write_rps,
                params.list_lag_s,
            );
            let path = dir.join(format!("{}.toml", names[i]));
            std::fs::write(&path, text).unwrap();
            settings.push(path);
        }
        let deployment = Arc::new(Deployment {
            state,
            platform,
            names,
            users,
            settings,
            arguments: params.arguments.clone(),
            root,
            dir,
            processes: Mutex::new(vec![None, None, None]),
            cut_from_peers: cut,
            next_user: AtomicUsize::new(0),
        });
        (0..3).for_each(|i| deployment.start_controller(i));
        deployment
    }

    /// Starts a controller with the deploy file's command.
    pub fn start_controller(&self, i: usize) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{i}.log"))).unwrap();
        let mut command = Command::new(self.root.join("target/release/badgerdrift"));
        // The process ends with this one, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .current_dir(&self.root)
            .args(["serve", "--operator", "deploy/operator.hcl"])
            .args(&self.arguments)
            .arg("--config")
            .arg(&self.settings[i])
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.processes.lock().unwrap()[i] = Some(child),
            Err(error) => {
                eprintln!("the controller can't be started: {error}");
                self.finish(2);
            }
        }
    }

    pub fn signal(&self, i: usize, signal: i32) {
        if let Some(child) = &self.processes.lock().unwrap()[i] {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill_controller(&self, i: usize) {
        if let Some(mut child) = self.processes.lock().unwrap()[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        self.platform.note(text);
    }

    /// Holds the traffic between a controller and the others, or lets it go on.
    pub fn cut_peers(&self, i: usize, cut: bool) {
        self.cut_from_peers[i].store(cut, Ordering::SeqCst);
    }

    /// Number of the controller that leads, by the key in the state service.
    pub fn leader(&self) -> Option<usize> {
        let (name, _) = self.state.leader()?;
        self.names.iter().position(|n| *n == name)
    }

    /// Waits until the condition holds; `false` after the time.
    pub fn wait(&self, seconds: f64, condition: impl Fn() -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if condition() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes and exits.
    pub fn finish(&self, code: i32) -> ! {
        for i in 0..3 {
            self.signal(i, SIGCONT);
            self.signal(i, SIGKILL);
        }
        (0..3).for_each(|i| self.kill_controller(i));
        if std::env::var("KEEP").is_ok() {
            eprintln!("logs: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
        std::process::exit(code)
    }

    /// Ends the case with the result of its rule.
    pub fn verdict(&self) -> ! {
        let broken = self.platform.world.lock().unwrap().broken.clone();
        for text in &broken {
            println!("broken: {text}");
        }
        if broken.is_empty() {
            println!("the rule held");
        }
        self.finish(i32::from(!broken.is_empty()))
    }

    /// The case can't run.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.note(format!("the case could not run: {why}"));
        eprintln!("the case could not run: {why}");
        self.finish(2)
    }

    // ---- users ----

    /// One request of a user to a controller, noted with its answer.
    pub fn ask(&self, i: usize, method: &str, path: &str, body: Option<&Value>, wait_s: f64) -> Option<(u16, Value)> {
        let answer = call(self.users[i], method, path, body, Duration::from_secs_f64(wait_s));
        let shown = answer.as_ref().map_or("no answer".to_string(), |(status, body)| format!("{status} {body}"));
        self.note(format!("user -> {}: {method} {path} -> {shown}", self.names[i]));
        answer
    }

    /// A healthy controller, in turn, as the load balancer chooses one.
    pub fn healthy(&self) -> usize {
        for _ in 0..3 {
            let i = self.next_user.fetch_add(1, Ordering::Relaxed) % 3;
            if call(self.users[i], "GET", "/ready", None, Duration::from_millis(500)).is_some_and(|(s, _)| s == 200) {
                return i;
            }
        }
        0
    }

    /// Submits a job as a user does: retried after 1 s or more for up to 60 s. `true` once it is accepted.
    pub fn submit(&self, job: &Value) -> bool {
        let id = job["id"].as_str().unwrap_or("").to_string();
        self.platform.world.lock().unwrap().jobs.insert(id.clone(), job.clone());
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            match self.ask(self.healthy(), "POST", "/v1/jobs", Some(job), 5.0) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Number of the job's tasks that have their image on a machine.
    pub fn tasks_running(&self, id: &str) -> usize {
        let world = self.platform.world.lock().unwrap();
        let on = world.hosts.values().filter(|h| h.gone.is_none() && !h.dead).flat_map(|h| h.on_machine());
        on.filter(|shard| shard.split('/').next() == Some(id)).count()
    }
}

/// A job with the usual fields.
pub fn job(id: &str, shape: &str, shards: u64, cores: f64, cards: f64, mem_gb: f64, run_s: f64) -> Value {
    json!({"id": id, "jobclass": "roster-chat", "owner": "relief-ops", "shape": shape, "urgency": "production",
        "shards": shards, "cores": cores, "cards": cards, "mem_gb": mem_gb, "bundle": format!("img-{id}"), "size_gb": 1.0,
        "flavors": null, "region": null, "same_place": false, "apart": false, "preemptible": false,
        "expected_s": if shape == "service" { 0.0 } else { run_s }, "checkpoint_every_s": 0.0, "flush_s": 0.0,
        "due_s": null, "run_s": run_s})
}

/// Opens a port that leads from one controller to another.
fn open_link(from: usize, to: usize, addr: SocketAddr, cut: Arc<Vec<AtomicBool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || {
                wait_while_cut(&cut, from, to);
                let Ok(target) = TcpStream::connect(addr) else { return };
                let _ = (stream.set_nodelay(true), target.set_nodelay(true));
                let (a, b) = (stream.try_clone().unwrap(), target.try_clone().unwrap());
                let other = cut.clone();
                std::thread::spawn(move || pump(a, b, &other, from, to));
                pump(target, stream, &cut, from, to);
            });
        }
    });
    link
}

fn wait_while_cut(cut: &[AtomicBool], from: usize, to: usize) {
    while cut[from].load(Ordering::SeqCst) || cut[to].load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Passes bytes on, in order; holds them during a cut.
fn pump(mut from: TcpStream, mut to: TcpStream, cut: &[AtomicBool], a: usize, b: usize) {
    let mut chunk = [0u8; 16384];
    loop {
        match from.read(&mut chunk) {
            Ok(n) if n > 0 => {
                wait_while_cut(cut, a, b);
                if to.write_all(&chunk[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

impl Deployment {
    /// What each controller holds in memory, in MB of 1,000,000 bytes, without the pages of files such as the program.
    pub fn memory_mb(&self) -> Vec<f64> {
        let processes = self.processes.lock().unwrap();
        let of = |child: &Child| {
            let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
            let kb = |name: &str| -> f64 {
                let line = text.lines().find(|line| line.starts_with(name)).unwrap_or("");
                line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
            };
            (kb("RssAnon:") + kb("RssShmem:")) * 1024.0 / 1e6
        };
        processes.iter().map(|child| child.as_ref().map_or(0.0, of)).collect()
    }
}
