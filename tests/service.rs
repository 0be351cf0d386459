//! The whole service against stand-ins, on loopback. Each controller runs on a
//! runtime of its own, so that it can be killed.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod stand_ins;

use badgerdrift::control::node;
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift::transport::http::Client;
use serde_json::{Value, json};
use stand_ins::{LEASE, REPORT, Shared};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

fn free_addr() -> SocketAddr {
    // An address of its own on the loopback network: a port that was free a moment ago may
    // meanwhile serve a connection of another test.
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (n, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let byte = |v: u32| (1 + v % 250) as u8;
    SocketAddr::from(([127, byte(pid / 250), byte(pid), byte(n)], 20_000 + (n / 250) as u16))
}

/// One controller, which dies when this is dropped.
struct Node {
    _kill: oneshot::Sender<()>,
}

fn settings(i: usize, addrs: &[(SocketAddr, SocketAddr)], state: SocketAddr, cloud: SocketAddr) -> Settings {
    let seeds: String = (0..addrs.len())
        .filter(|j| *j != i)
        .map(|j| format!("[[seeds]]\nnode = \"n{j}\"\nsite = \"a\"\nendpoint = \"{}\"\n", addrs[j].1))
        .collect();
    let text = format!(
        r#"
node = "n{i}"
site = "a"
serve_on = "{}"
internal_addr = "{}"
{seeds}
[endpoints]
cloud = "{cloud}"
state = "{state}"
[params]
zones = ["a"]
[[params.teams]]
name = "red"
gpus = 8.0
[params.workers]
report_s = {}
lease_s = {}
gang_wait_s = 3.0
gang_peer_s = 1.0
cancel_s = 5.0
[params.state]
rps = 500.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 20.0
list_lag_s = 0.5
[params.limits]
max_sockets = 400
"#,
        addrs[i].0,
        addrs[i].1,
        REPORT.as_secs_f64(),
        LEASE.as_secs_f64()
    );
    toml::from_str(&text).unwrap()
}

fn spawn(s: Settings, partitions: u32) -> Node {
    let (kill, dead) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        rt.block_on(async {
            tokio::select! {
                r = node::run(s, OperatorSettings { partitions, idle_keep: 60.0, ..OperatorSettings::default() }, Default::default()) => r.unwrap(),
                _ = dead => {}
            }
        });
    });
    Node { _kill: kill }
}

struct Fleet {
    addrs: Vec<(SocketAddr, SocketAddr)>,
    outside: (SocketAddr, SocketAddr),
    world: Shared,
    nodes: Vec<Option<Node>>,
    client: Client,
    partitions: u32,
}

impl Fleet {
    async fn start(n: usize, partitions: u32) -> Fleet {
        let addrs: Vec<_> = (0..n).map(|_| (free_addr(), free_addr())).collect();
        let (world, state, cloud) = stand_ins::start(addrs.iter().map(|a| a.0).collect()).await;
        let mut f =
            Fleet { addrs, outside: (state, cloud), world, nodes: Vec::new(), client: Client::default(), partitions };
        for i in 0..n {
            f.nodes.push(None);
            f.restart(i);
        }
        f
    }

    fn restart(&mut self, i: usize) {
        let s = settings(i, &self.addrs, self.outside.0, self.outside.1);
        self.nodes[i] = Some(spawn(s, self.partitions));
    }

    async fn call(&self, i: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let body = (!body.is_empty()).then_some(body.as_bytes());
        match self.client.call(self.addrs[i].0, method, path, body, Duration::from_secs(3)).await {
            Ok((s, b)) => (s, serde_json::from_slice(&b).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Calls until `wanted` is the status and the answer satisfies `ok`.
    async fn until(&self, i: usize, method: &str, path: &str, body: &str, ok: impl Fn(u16, &Value) -> bool) -> Value {
        let began = Instant::now();
        loop {
            let (status, v) = self.call(i, method, path, body).await;
            if ok(status, &v) {
                return v;
            }
            assert!(began.elapsed() < Duration::from_secs(30), "{method} {path}: {status} {v}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn submit(&self, i: usize, id: &str, shape: &str, tasks: u32) {
        let body = job(id, shape, tasks);
        self.until(i, "POST", "/v1/jobs", &body, |s, _| s == 201 || s == 200).await;
    }

    async fn phase(&self, i: usize, id: &str, phase: &str) -> Value {
        self.until(i, "GET", &format!("/v1/jobs/{id}"), "", |s, v| s == 200 && v["phase"] == phase).await
    }

    fn check(&self) {
        assert_eq!(self.world.lock().unwrap().broken, Vec::<String>::new());
    }
}

fn job(id: &str, shape: &str, tasks: u32) -> String {
    json!({"id": id, "jobclass": "c", "owner": "red", "shape": shape, "urgency": "standard", "shards": tasks,
        "cores": 1.0, "cards": 1.0, "mem_gb": 1.0, "bundle": "i", "size_gb": 1.0, "flavors": null, "region": null,
        "same_place": false, "apart": false, "preemptible": false, "expected_s": 1.0, "checkpoint_every_s": 0.0,
        "flush_s": 0.0, "due_s": null})
    .to_string()
}

#[tokio::test]
async fn jobs_of_each_shape_run_finish_and_are_cancelled() {
    let f = Fleet::start(2, 1).await;
    f.until(0, "GET", "/ready", "", |s, _| s == 200).await;
    f.submit(0, "run-000001", "batch", 3).await;
    f.submit(1, "run-000002", "group", 2).await;
    f.submit(1, "run-000003", "service", 2).await;
    for id in ["run-000001", "run-000002", "run-000003"] {
        f.phase(0, id, "running").await;
    }
    f.until(1, "POST", "/v1/jobs/run-000003/withdraw", "", |s, v| s == 200 && v["phase"] == "cancelled").await;
    f.world.lock().unwrap().finish = true;
    for id in ["run-000001", "run-000002"] {
        f.phase(1, id, "done").await;
    }
    f.phase(0, "run-000003", "cancelled").await;
    let (s, v) = f.call(0, "POST", "/v1/jobs", &job("run-000001", "batch", 3)).await;
    assert_eq!((s, &v["phase"]), (200, &json!("done")));
    f.check();
}

#[tokio::test]
async fn bad_requests_get_the_answers_of_the_protocol() {
    let f = Fleet::start(1, 1).await;
    f.until(0, "GET", "/ready", "", |s, _| s == 200).await;
    f.submit(0, "run-000001", "batch", 1).await;
    let team = job("run-000009", "batch", 1).replace("red", "green");
    for (method, path, body, status) in [
        ("POST", "/v1/jobs", "no json", 400),
        ("POST", "/v1/jobs", "[]", 400),
        ("POST", "/v1/jobs", "{\"id\":\"run-000005\"}", 400),
        ("POST", "/v1/jobs", "{\"id\":\"run-000001\"}", 200),
        ("POST", "/v1/jobs", team.as_str(), 422),
        ("GET", "/v1/jobs/run-000777", "", 404),
        ("GET", "/v1/jobs/nonsense", "", 404),
        ("POST", "/v1/jobs/run-000777/withdraw", "", 404),
        ("DELETE", "/v1/jobs", "", 405),
        ("GET", "/agent/beat", "", 405),
        ("POST", "/agent/beat", "{}", 400),
        ("GET", "/nowhere", "", 404),
    ] {
        let (s, v) = f.call(0, method, path, body).await;
        assert_eq!(s, status, "{method} {path} {body}: {v}");
    }
    let big = "x".repeat(70 * 1024);
    let (status, v) = f.call(0, "POST", "/v1/jobs", &big).await;
    assert!(status == 400 && v["error"].as_str().unwrap().starts_with("body:"), "{status} {v}");
}

#[tokio::test]
async fn accepted_jobs_outlive_the_crash_of_every_controller() {
    let mut f = Fleet::start(2, 1).await;
    f.submit(0, "run-000001", "service", 2).await;
    f.submit(1, "run-000002", "batch", 4).await;
    f.phase(0, "run-000001", "running").await;
    f.nodes[0] = None;
    f.phase(1, "run-000001", "running").await;
    f.nodes[1] = None;
    tokio::time::sleep(REPORT).await;
    f.addrs = f.addrs.iter().map(|a| (a.0, free_addr())).collect();
    f.restart(0);
    f.restart(1);
    f.phase(1, "run-000001", "running").await;
    f.world.lock().unwrap().finish = true;
    f.phase(0, "run-000002", "done").await;
    f.check();
}

#[tokio::test]
async fn running_work_outlives_an_outage_of_the_state_store() {
    let f = Fleet::start(3, 1).await;
    f.submit(0, "run-000001", "service", 2).await;
    f.phase(1, "run-000001", "running").await;
    let before = f.world.lock().unwrap().on.clone();
    f.world.lock().unwrap().store.set_down(true);
    tokio::time::sleep(LEASE * 2).await;
    assert_eq!(f.world.lock().unwrap().on, before, "no lease ran out");
    let began = Instant::now();
    let (s, _) = f.call(0, "POST", "/v1/jobs", &job("run-000002", "batch", 1)).await;
    assert_eq!(s, 503);
    assert!(began.elapsed() < Duration::from_secs(2), "refused, and not held back");
    assert_eq!(f.call(0, "GET", "/ready", "").await.0, 503);
    f.world.lock().unwrap().store.set_down(false);
    f.submit(0, "run-000002", "batch", 1).await;
    f.phase(2, "run-000001", "running").await;
    assert!(before.keys().all(|k| f.world.lock().unwrap().on.contains_key(k)));
    f.check();
}

// Found on days of our own at the next size: all leases ran out in an outage in which
// every controller had ended, as nobody could know who held the partition.
#[tokio::test]
async fn running_work_outlives_a_crash_of_every_controller_in_an_outage() {
    let mut f = Fleet::start(3, 1).await;
    f.submit(0, "run-000001", "service", 2).await;
    f.phase(1, "run-000001", "running").await;
    let before = f.world.lock().unwrap().on.clone();
    f.world.lock().unwrap().store.set_down(true);
    f.nodes.iter_mut().for_each(|n| *n = None);
    tokio::time::sleep(REPORT).await;
    f.addrs = f.addrs.iter().map(|a| (a.0, free_addr())).collect();
    for i in 0..3 {
        f.restart(i);
    }
    tokio::time::sleep(LEASE * 2).await;
    assert_eq!(f.world.lock().unwrap().on, before, "no lease ran out");
    f.world.lock().unwrap().store.set_down(false);
    f.phase(2, "run-000001", "running").await;
    assert_eq!(f.world.lock().unwrap().on, before, "nor is anything started anew");
    let withdraw = "/v1/jobs/run-000001/withdraw";
    f.until(0, "POST", withdraw, "", |s, v| s == 200 && v["phase"] == "cancelled").await;
    assert!(f.world.lock().unwrap().on.is_empty(), "cancelled is said once all tasks are gone");
    f.check();
}

#[tokio::test]
async fn three_partitions_are_led_and_fail_over() {
    let mut f = Fleet::start(3, 3).await;
    f.until(0, "GET", "/ready", "", |s, _| s == 200).await;
    f.submit(0, "run-000001", "service", 2).await;
    f.phase(2, "run-000001", "running").await;
    f.nodes[0] = None;
    f.phase(1, "run-000001", "running").await;
    f.submit(2, "run-000002", "service", 1).await;
    f.phase(1, "run-000002", "running").await;
    f.check();
}
