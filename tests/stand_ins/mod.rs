//! Stand-ins for the external services on loopback, written from the protocol: a state service, a cloud whose
//! machines boot at once, and their workers.

use badgerdrift::transport::http::{self, Client, Request, Response};
use badgerdrift_stand_ins::store::{Store, query};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Lease of a worker on its tasks.
pub const LEASE: Duration = Duration::from_secs(3);
/// Interval between the heartbeats of a worker.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Binds a free port on loopback.
async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// A machine that the cloud has launched.
struct Machine {
    addr: SocketAddr,
    flavor: String,
    region: String,
    spot: bool,
}

/// State that the stand-ins share.
#[derive(Default)]
pub struct SimulationState {
    pub store: Store,
    machines: BTreeMap<String, Machine>,
    /// Machines of each launch request, by the request's name.
    rentals: HashMap<String, Vec<String>>,
    /// States of the tasks that run now, by task and machine.
    pub running_tasks: BTreeMap<(String, String), &'static str>,
    /// Descriptions of rules that were broken.
    pub broken_rules: Vec<String>,
    /// Whether running tasks end with success.
    pub finish: bool,
    /// Whether copies of answered direct commands arrive after each reply to a heartbeat.
    pub repeat_commands: bool,
}

/// Shared state of the stand-ins.
pub type Shared = Arc<Mutex<SimulationState>>;

/// Answers a request to the state service.
async fn state(world: Shared, request: Request) -> Response {
    if !request.path.starts_with("/changes") {
        return world.lock().unwrap().store.handle(&request);
    }
    let parameters = query(&request.path);
    let until = Instant::now() + Duration::from_millis(parameters["hold_ms"].parse().unwrap());
    loop {
        if let Some(response) = world.lock().unwrap().store.changes(&parameters, Instant::now() > until) {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Answers a request to the cloud.
async fn cloud(world: Shared, nodes: Vec<SocketAddr>, request: Request) -> Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match (request.method.as_str(), request.path.split('?').next().unwrap()) {
        ("GET", "/flavors") => Response::json(
            200,
            &json!({"flavors": [{"sku": "g8", "cores": 32.0, "cards": 8.0, "mem_gb": 256.0, "cache_gb": 100.0,
                "fetch_gb_per_s": 50.0, "rate": 10.0, "low_price": 4.0, "startup_s": 1.0, "regions": ["a"]}]}),
        ),
        ("GET", _) => {
            let world = world.lock().unwrap();
            let hosts: Vec<Value> = world
                .machines
                .iter()
                .map(|(id, machine)| {
                    json!({"id": id, "addr": machine.addr, "flavor": machine.flavor, "region": machine.region,
                    "preemptible": machine.spot, "phase": "running", "held_s": 1.0})
                })
                .collect();
            Response::json(200, &json!({"hosts": hosts, "more": false}))
        }
        (_, "/hosts") => {
            let name = body["rental"].as_str().unwrap().to_string();
            if let Some(known) = world.lock().unwrap().rentals.get(&name) {
                return Response::json(200, &json!({"hosts": known}));
            }
            let mut ids = Vec::new();
            for _ in 0..body["number"].as_u64().unwrap().min(2) {
                let (listener, addr) = listen().await;
                let id = {
                    let mut world = world.lock().unwrap();
                    let id = format!("host-{:06}", world.machines.len());
                    let (flavor, region) = (body["flavor"].as_str().unwrap(), body["region"].as_str().unwrap());
                    let spot = body["preemptible"].as_bool().unwrap();
                    let machine = Machine { addr, flavor: flavor.into(), region: region.into(), spot };
                    world.machines.insert(id.clone(), machine);
                    id
                };
                worker(world.clone(), id.clone(), listener, nodes.clone());
                ids.push(id);
            }
            world.lock().unwrap().rentals.insert(name, ids.clone());
            Response::json(200, &json!({"hosts": ids}))
        }
        _ => {
            let mut world = world.lock().unwrap();
            for id in body["hosts"].as_array().unwrap().iter().filter_map(Value::as_str) {
                world.machines.remove(id);
                world.running_tasks.retain(|(_, host), _| host != id);
            }
            Response::json(200, &json!({}))
        }
    }
}

/// State of one worker.
struct Worker {
    id: String,
    serial: u64,
    /// Number of the worker's current session.
    tenure: u64,
    /// Highest fencing token seen.
    seen_token: u64,
    /// Start of the worker's current lease.
    lease_start: Instant,
    /// State and exit reason of each attempt, by task and attempt number.
    tasks: BTreeMap<(String, u64), (&'static str, Option<&'static str>)>,
    /// Direct commands that were carried out and answered.
    answered: Vec<Value>,
    /// Attempts that the worker was told to discard.
    discarded: BTreeSet<(String, u64)>,
}

impl Worker {
    /// Returns a worker that has no tasks and has seen no token.
    fn new(id: String) -> Worker {
        Worker {
            id,
            serial: 0,
            tenure: 1,
            seen_token: 0,
            lease_start: Instant::now(),
            tasks: BTreeMap::new(),
            answered: Vec::new(),
            discarded: BTreeSet::new(),
        }
    }

    /// Builds the next heartbeat.
    fn report(&mut self, world: &SimulationState) -> Value {
        self.serial += 1;
        let machine = &world.machines[&self.id];
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((task, attempt), (phase, reason))| {
                json!({"shard": task, "try_no": attempt, "phase": phase, "exit_reason": reason})
            })
            .collect();
        json!({"host": self.id, "addr": machine.addr, "flavor": machine.flavor, "region": machine.region, "preemptible": machine.spot,
            "tenure": self.tenure, "serial": self.serial, "fence": self.seen_token, "warning_s": null, "shards": tasks})
    }

    /// Carries out the orders of a reply or a direct command. A task that is started while it runs elsewhere breaks a
    /// rule.
    fn execute(&mut self, world: &mut SimulationState, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let task = order["shard"].as_str().unwrap().to_string();
            let key = (task.clone(), order["try_no"].as_u64().unwrap());
            match order["verb"].as_str().unwrap() {
                "run" if !self.tasks.contains_key(&key) => {
                    if self.discarded.contains(&key) {
                        world.broken_rules.push(format!("{task} is started again on {}", self.id));
                    }
                    if world.running_tasks.keys().any(|(running, _)| *running == task) {
                        world.broken_rules.push(format!("{task} runs twice"));
                    }
                    world.running_tasks.insert((task, self.id.clone()), "running");
                    self.tasks.insert(key, ("running", None));
                }
                "stop" => {
                    if let Some(attempt) = self.tasks.get_mut(&key).filter(|attempt| attempt.0 == "running") {
                        *attempt = ("ended", Some("halted"));
                        world.running_tasks.remove(&(task, self.id.clone()));
                    }
                }
                "reap" => {
                    self.tasks.remove(&key);
                    self.discarded.insert(key);
                }
                _ => {}
            }
        }
    }

    /// Carries a direct command out if its token and session match. Returns whether it does.
    fn direct(&mut self, world: &mut SimulationState, command: &Value) -> bool {
        let seen_token = command["fence"].as_u64().unwrap();
        let accepted = seen_token >= self.seen_token && command["tenure"].as_u64() == Some(self.tenure);
        if accepted {
            self.seen_token = seen_token;
            self.execute(world, &command["orders"]);
        }
        accepted
    }

    /// Receives copies of all commands that were carried out and answered.
    fn receive_copies(&mut self, world: &mut SimulationState) {
        for command in self.answered.clone() {
            self.direct(world, &command);
        }
    }

    /// Ends all tasks, as the lease has expired, and begins a new session.
    fn end_all(&mut self, world: &mut SimulationState) {
        self.tasks.clear();
        world.running_tasks.retain(|(_, host), _| *host != self.id);
        self.tenure += 1;
        self.lease_start = Instant::now();
    }
}

/// Starts a worker, which receives direct commands and sends heartbeats to one of the nodes.
fn worker(world: Shared, id: String, listener: TcpListener, nodes: Vec<SocketAddr>) {
    let state = Worker::new(id);
    let state = Arc::new(Mutex::new(state));
    let (command_world, command_state) = (world.clone(), state.clone());
    tokio::spawn(http::serve(listener, 100, Duration::from_secs(5), move |request| {
        let (world, state) = (command_world.clone(), command_state.clone());
        async move {
            let body: Value = serde_json::from_slice(&request.body).unwrap();
            let (mut world, mut state) = (world.lock().unwrap(), state.lock().unwrap());
            if !world.machines.contains_key(&state.id) {
                return Response::error(503, "gone");
            }
            let accepted = state.direct(&mut world, &body);
            if accepted {
                state.answered.push(body);
            }
            Response::json(if accepted { 200 } else { 409 }, &state.report(&world))
        }
    }));
    tokio::spawn(async move {
        let client = Client::default();
        let mut node = 0;
        loop {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let (sent, body) = {
                let (mut world, mut state) = (world.lock().unwrap(), state.lock().unwrap());
                if !world.machines.contains_key(&state.id) {
                    return;
                }
                if state.lease_start.elapsed() > LEASE {
                    state.end_all(&mut world);
                }
                if world.finish {
                    let id = state.id.clone();
                    for ((task, _), attempt) in state.tasks.iter_mut().filter(|(_, attempt)| attempt.0 == "running") {
                        *attempt = ("ended", Some("done"));
                        world.running_tasks.remove(&(task.clone(), id.clone()));
                    }
                }
                (Instant::now(), state.report(&world).to_string())
            };
            let result =
                client.call(nodes[node], "POST", "/agent/beat", Some(body.as_bytes()), Duration::from_secs(1)).await;
            match result {
                Ok((200, body)) => {
                    let reply: Value = serde_json::from_slice(&body).unwrap();
                    let (mut world, mut state) = (world.lock().unwrap(), state.lock().unwrap());
                    let seen_token = reply["fence"].as_u64().unwrap();
                    if seen_token >= state.seen_token && world.machines.contains_key(&state.id) {
                        state.seen_token = seen_token;
                        state.lease_start = sent;
                        state.execute(&mut world, &reply["orders"]);
                        if world.repeat_commands {
                            state.receive_copies(&mut world);
                        }
                    }
                }
                _ => node = (node + 1) % nodes.len(),
            }
        }
    });
}

/// Starts the state service and the cloud. Returns their shared state and the addresses of both.
pub async fn start(nodes: Vec<SocketAddr>) -> (Shared, SocketAddr, SocketAddr) {
    let world: Shared = Arc::default();
    let request_timeout = Duration::from_secs(5);
    let (listener, state_addr) = listen().await;
    let state_world = world.clone();
    tokio::spawn(http::serve(listener, 500, request_timeout, move |request| state(state_world.clone(), request)));
    let (listener, cloud_addr) = listen().await;
    let cloud_world = world.clone();
    tokio::spawn(http::serve(listener, 500, request_timeout, move |request| {
        cloud(cloud_world.clone(), nodes.clone(), request)
    }));
    (world, state_addr, cloud_addr)
}
