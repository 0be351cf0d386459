//! The whole service against stand-ins, on loopback. Each controller runs on a runtime of its own, so that it can be
//! killed.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod stand_ins;

use badgerdrift::control::node;
use badgerdrift::settings::{OperatorSettings, Settings};
use badgerdrift::transport::http::Client;
use serde_json::{Value, json};
use stand_ins::{HEARTBEAT_INTERVAL, LEASE, Shared};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Returns an address on the loopback network that no other test uses. A port found to be free on a shared address
/// could be taken by a connection of another test before it is bound.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (number, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let byte = |value: u32| (1 + value % 250) as u8;
    SocketAddr::from(([127, byte(pid / 250), byte(pid), byte(number)], 20_000 + (number / 250) as u16))
}

/// A controller, which is killed when this is dropped.
struct Node {
    _kill: oneshot::Sender<()>,
}

/// Settings of the controller with this index in `addrs`, the pairs of user and internal addresses.
fn settings(index: usize, addrs: &[(SocketAddr, SocketAddr)], state: SocketAddr, cloud: SocketAddr) -> Settings {
    let seeds: String = (0..addrs.len())
        .filter(|other| *other != index)
        .map(|other| format!("[[seeds]]\nnode = \"n{other}\"\nsite = \"a\"\nendpoint = \"{}\"\n", addrs[other].1))
        .collect();
    let text = format!(
        r#"
node = "n{index}"
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
        addrs[index].0,
        addrs[index].1,
        HEARTBEAT_INTERVAL.as_secs_f64(),
        LEASE.as_secs_f64()
    );
    toml::from_str(&text).unwrap()
}

/// Starts a controller on a thread of its own.
fn spawn(settings: Settings, partitions: u32) -> Node {
    let (kill, killed) = oneshot::channel::<()>();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            tokio::select! {
                result = node::run(settings, OperatorSettings { partitions, idle_keep: 60.0, ..OperatorSettings::default() }, Default::default()) => result.unwrap(),
                _ = killed => {}
            }
        });
    });
    Node { _kill: kill }
}

/// Controllers and the stand-ins that they use.
struct Fleet {
    /// User and internal address of each controller.
    addrs: Vec<(SocketAddr, SocketAddr)>,
    /// Addresses of the state service and the cloud.
    services: (SocketAddr, SocketAddr),
    world: Shared,
    /// The controllers, `None` for those that are killed.
    nodes: Vec<Option<Node>>,
    client: Client,
    partitions: u32,
}

impl Fleet {
    /// Starts this many controllers.
    async fn start(count: usize, partitions: u32) -> Fleet {
        let addrs: Vec<_> = (0..count).map(|_| (free_addr(), free_addr())).collect();
        let (world, state, cloud) = stand_ins::start(addrs.iter().map(|addr| addr.0).collect()).await;
        let mut fleet =
            Fleet { addrs, services: (state, cloud), world, nodes: Vec::new(), client: Client::default(), partitions };
        for index in 0..count {
            fleet.nodes.push(None);
            fleet.restart(index);
        }
        fleet
    }

    /// Starts a controller that is not running.
    fn restart(&mut self, index: usize) {
        let settings = settings(index, &self.addrs, self.services.0, self.services.1);
        self.nodes[index] = Some(spawn(settings, self.partitions));
    }

    /// Sends a request to a controller. Returns the status and the body of the answer, or 0 and null if there is no
    /// answer.
    async fn call(&self, index: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let body = (!body.is_empty()).then_some(body.as_bytes());
        match self.client.call(self.addrs[index].0, method, path, body, Duration::from_secs(3)).await {
            Ok((status, body)) => (status, serde_json::from_slice(&body).unwrap_or_default()),
            Err(_) => (0, Value::Null),
        }
    }

    /// Repeats a request until `accepted` returns true for the status and the body, and returns the body. Panics after
    /// 30 s.
    async fn until(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
        accepted: impl Fn(u16, &Value) -> bool,
    ) -> Value {
        let began = Instant::now();
        loop {
            let (status, answer) = self.call(index, method, path, body).await;
            if accepted(status, &answer) {
                return answer;
            }
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "{method} {path} was still answered with {status} {answer} after 30 s"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a job until it is accepted.
    async fn submit(&self, index: usize, id: &str, shape: &str, tasks: u32) {
        let body = job(id, shape, tasks);
        self.until(index, "POST", "/v1/jobs", &body, |status, _| status == 201 || status == 200).await;
    }

    /// Polls a job until it is in this phase.
    async fn until_phase(&self, index: usize, id: &str, phase: &str) -> Value {
        self.until(index, "GET", &format!("/v1/jobs/{id}"), "", |status, job| status == 200 && job["phase"] == phase)
            .await
    }

    /// Asserts that no rule of the stand-ins was broken.
    fn assert_no_broken_rules(&self) {
        assert_eq!(self.world.lock().unwrap().broken_rules, Vec::<String>::new());
    }
}

/// Body of a submission.
fn job(id: &str, shape: &str, tasks: u32) -> String {
    json!({"id": id, "jobclass": "c", "owner": "red", "shape": shape, "urgency": "standard", "shards": tasks,
        "cores": 1.0, "cards": 1.0, "mem_gb": 1.0, "bundle": "i", "size_gb": 1.0, "flavors": null, "region": null,
        "same_place": false, "apart": false, "preemptible": false, "expected_s": 1.0, "checkpoint_every_s": 0.0,
        "flush_s": 0.0, "due_s": null})
    .to_string()
}

#[tokio::test]
async fn jobs_of_each_shape_run_finish_and_are_cancelled() {
    let fleet = Fleet::start(2, 1).await;
    fleet.until(0, "GET", "/ready", "", |status, _| status == 200).await;
    fleet.submit(0, "run-000001", "batch", 3).await;
    fleet.submit(1, "run-000002", "group", 2).await;
    fleet.submit(1, "run-000003", "service", 2).await;
    for id in ["run-000001", "run-000002", "run-000003"] {
        fleet.until_phase(0, id, "running").await;
    }
    fleet
        .until(1, "POST", "/v1/jobs/run-000003/withdraw", "", |status, job| {
            status == 200 && job["phase"] == "cancelled"
        })
        .await;
    fleet.world.lock().unwrap().finish = true;
    for id in ["run-000001", "run-000002"] {
        fleet.until_phase(1, id, "done").await;
    }
    fleet.until_phase(0, "run-000003", "cancelled").await;
    let (status, answer) = fleet.call(0, "POST", "/v1/jobs", &job("run-000001", "batch", 3)).await;
    assert_eq!((status, &answer["phase"]), (200, &json!("done")));
    fleet.assert_no_broken_rules();
}

#[tokio::test]
async fn invalid_requests_get_the_statuses_of_the_protocol() {
    let fleet = Fleet::start(1, 1).await;
    fleet.until(0, "GET", "/ready", "", |status, _| status == 200).await;
    fleet.submit(0, "run-000001", "batch", 1).await;
    let team = job("run-000009", "batch", 1).replace("red", "green");
    for (method, path, body, expected) in [
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
        let (status, answer) = fleet.call(0, method, path, body).await;
        assert_eq!(status, expected, "{method} {path} {body}: {answer}");
    }
    let big = "x".repeat(70 * 1024);
    let (status, answer) = fleet.call(0, "POST", "/v1/jobs", &big).await;
    assert!(status == 400 && answer["error"].as_str().unwrap().starts_with("body:"), "{status} {answer}");
}

#[tokio::test]
async fn accepted_jobs_survive_a_crash_of_every_controller() {
    let mut fleet = Fleet::start(2, 1).await;
    fleet.submit(0, "run-000001", "service", 2).await;
    fleet.submit(1, "run-000002", "batch", 4).await;
    fleet.until_phase(0, "run-000001", "running").await;
    fleet.nodes[0] = None;
    fleet.until_phase(1, "run-000001", "running").await;
    fleet.nodes[1] = None;
    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    fleet.addrs = fleet.addrs.iter().map(|addr| (addr.0, free_addr())).collect();
    fleet.restart(0);
    fleet.restart(1);
    fleet.until_phase(1, "run-000001", "running").await;
    fleet.world.lock().unwrap().finish = true;
    fleet.until_phase(0, "run-000002", "done").await;
    fleet.assert_no_broken_rules();
}

#[tokio::test]
async fn copied_starts_of_a_cancelled_job_run_none_of_its_tasks_again() {
    let fleet = Fleet::start(2, 1).await;
    fleet.until(0, "GET", "/ready", "", |status, _| status == 200).await;
    fleet.world.lock().unwrap().repeat_commands = true;
    for id in ["run-000001", "run-000002"] {
        fleet.submit(0, id, "service", 3).await;
        fleet.until(0, "GET", &format!("/v1/jobs/{id}"), "", |_, job| job["running"] == 3).await;
        let path = format!("/v1/jobs/{id}/withdraw");
        fleet.until(1, "POST", &path, "", |status, job| status == 200 && job["phase"] == "cancelled").await;
    }
    tokio::time::sleep(HEARTBEAT_INTERVAL * 4).await;
    fleet.assert_no_broken_rules();
}

#[tokio::test]
async fn running_tasks_survive_an_outage_of_the_state_service() {
    let fleet = Fleet::start(3, 1).await;
    fleet.submit(0, "run-000001", "service", 2).await;
    fleet.until_phase(1, "run-000001", "running").await;
    let before = fleet.world.lock().unwrap().running_tasks.clone();
    fleet.world.lock().unwrap().store.set_down(true);
    tokio::time::sleep(LEASE * 2).await;
    assert_eq!(fleet.world.lock().unwrap().running_tasks, before, "tasks were stopped or started during the outage");
    let began = Instant::now();
    let (status, _) = fleet.call(0, "POST", "/v1/jobs", &job("run-000002", "batch", 1)).await;
    assert_eq!(status, 503);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "the submission must be refused without waiting for the state service"
    );
    for node in 0..3 {
        // No controller is worse off than the others, and the leader answers under the pledges of the others.
        assert_eq!(fleet.call(node, "GET", "/ready", "").await.0, 200);
        assert_eq!(fleet.call(node, "GET", "/v1/jobs/run-000001", "").await.0, 200);
    }
    fleet.world.lock().unwrap().store.set_down(false);
    fleet.submit(0, "run-000002", "batch", 1).await;
    fleet.until_phase(2, "run-000001", "running").await;
    assert!(before.keys().all(|key| fleet.world.lock().unwrap().running_tasks.contains_key(key)));
    fleet.assert_no_broken_rules();
}

// When every controller ended during an outage of the state service, none could learn which one led the partition,
// and all leases expired.
#[tokio::test]
async fn running_tasks_survive_a_crash_of_every_controller_in_an_outage_of_the_state_service() {
    let mut fleet = Fleet::start(3, 1).await;
    fleet.submit(0, "run-000001", "service", 2).await;
    fleet.until_phase(1, "run-000001", "running").await;
    let before = fleet.world.lock().unwrap().running_tasks.clone();
    fleet.world.lock().unwrap().store.set_down(true);
    fleet.nodes.iter_mut().for_each(|node| *node = None);
    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    fleet.addrs = fleet.addrs.iter().map(|addr| (addr.0, free_addr())).collect();
    for index in 0..3 {
        fleet.restart(index);
    }
    tokio::time::sleep(LEASE * 2).await;
    assert_eq!(fleet.world.lock().unwrap().running_tasks, before, "tasks were stopped or started during the outage");
    fleet.world.lock().unwrap().store.set_down(false);
    fleet.until_phase(2, "run-000001", "running").await;
    assert_eq!(fleet.world.lock().unwrap().running_tasks, before, "tasks were stopped or started after the outage");
    let withdraw = "/v1/jobs/run-000001/withdraw";
    fleet.until(0, "POST", withdraw, "", |status, job| status == 200 && job["phase"] == "cancelled").await;
    assert!(
        fleet.world.lock().unwrap().running_tasks.is_empty(),
        "the job was reported as cancelled before all of its tasks were gone"
    );
    fleet.assert_no_broken_rules();
}

#[tokio::test]
async fn three_partitions_are_led_and_fail_over() {
    let mut fleet = Fleet::start(3, 3).await;
    fleet.until(0, "GET", "/ready", "", |status, _| status == 200).await;
    fleet.submit(0, "run-000001", "service", 2).await;
    fleet.until_phase(2, "run-000001", "running").await;
    fleet.nodes[0] = None;
    fleet.until_phase(1, "run-000001", "running").await;
    fleet.submit(2, "run-000002", "service", 1).await;
    fleet.until_phase(1, "run-000002", "running").await;
    fleet.assert_no_broken_rules();
}
