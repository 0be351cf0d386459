//! Stand-ins for the outside world, written from the protocol: a state service,
//! a cloud whose machines are up at once, and their workers.

use badgerdrift::transport::http::{self, Client, Request, Response};
use badgerdrift_stand_ins::store::{Store, query};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

pub const LEASE: Duration = Duration::from_secs(3);
pub const REPORT: Duration = Duration::from_millis(100);

async fn listen() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = l.local_addr().unwrap();
    (l, a)
}

struct Machine {
    addr: SocketAddr,
    flavor: String,
    region: String,
    spot: bool,
}

#[derive(Default)]
pub struct SimulationState {
    pub store: Store,
    machines: BTreeMap<String, Machine>,
    rentals: HashMap<String, Vec<String>>,
    /// Tasks that are on machines now, and rules that were seen broken.
    pub on: BTreeMap<(String, String), &'static str>,
    pub broken: Vec<String>,
    /// Tasks that may end with success.
    pub finish: bool,
}

pub type Shared = Arc<Mutex<SimulationState>>;

async fn state(w: Shared, req: Request) -> Response {
    if !req.path.starts_with("/changes") {
        return w.lock().unwrap().store.handle(&req);
    }
    let q = query(&req.path);
    let until = Instant::now() + Duration::from_millis(q["hold_ms"].parse().unwrap());
    loop {
        if let Some(r) = w.lock().unwrap().store.changes(&q, Instant::now() > until) {
            return r;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn cloud(w: Shared, nodes: Vec<SocketAddr>, req: Request) -> Response {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    match (req.method.as_str(), req.path.split('?').next().unwrap()) {
        ("GET", "/flavors") => Response::json(
            200,
            &json!({"flavors": [{"sku": "g8", "cores": 32.0, "cards": 8.0, "mem_gb": 256.0, "cache_gb": 100.0,
                "fetch_gb_per_s": 50.0, "rate": 10.0, "low_price": 4.0, "startup_s": 1.0, "regions": ["a"]}]}),
        ),
        ("GET", _) => {
            let w = w.lock().unwrap();
            let hosts: Vec<Value> = w
                .machines
                .iter()
                .map(|(id, m)| {
                    json!({"id": id, "addr": m.addr, "flavor": m.flavor, "region": m.region,
                    "preemptible": m.spot, "phase": "running", "held_s": 1.0})
                })
                .collect();
            Response::json(200, &json!({"hosts": hosts, "more": false}))
        }
        (_, "/hosts") => {
            let name = body["rental"].as_str().unwrap().to_string();
            if let Some(known) = w.lock().unwrap().rentals.get(&name) {
                return Response::json(200, &json!({"hosts": known}));
            }
            let mut ids = Vec::new();
            for _ in 0..body["number"].as_u64().unwrap().min(2) {
                let (listener, addr) = listen().await;
                let id = {
                    let mut w = w.lock().unwrap();
                    let id = format!("host-{:06}", w.machines.len());
                    let (flavor, region) = (body["flavor"].as_str().unwrap(), body["region"].as_str().unwrap());
                    let spot = body["preemptible"].as_bool().unwrap();
                    let m = Machine { addr, flavor: flavor.into(), region: region.into(), spot };
                    w.machines.insert(id.clone(), m);
                    id
                };
                worker(w.clone(), id.clone(), listener, nodes.clone());
                ids.push(id);
            }
            w.lock().unwrap().rentals.insert(name, ids.clone());
            Response::json(200, &json!({"hosts": ids}))
        }
        _ => {
            let mut w = w.lock().unwrap();
            for id in body["hosts"].as_array().unwrap().iter().filter_map(Value::as_str) {
                w.machines.remove(id);
                w.on.retain(|(_, h), _| h != id);
            }
            Response::json(200, &json!({}))
        }
    }
}

/// What one worker knows.
struct Worker {
    id: String,
    serial: u64,
    tenure: u64,
    seen_token: u64,
    began: Instant,
    tasks: BTreeMap<(String, u64), (&'static str, Option<&'static str>)>,
}

impl Worker {
    fn report(&mut self, w: &SimulationState) -> Value {
        self.serial += 1;
        let m = &w.machines[&self.id];
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|((t, a), (p, why))| json!({"shard": t, "try_no": a, "phase": p, "exit_reason": why}))
            .collect();
        json!({"host": self.id, "addr": m.addr, "flavor": m.flavor, "region": m.region, "preemptible": m.spot,
            "tenure": self.tenure, "serial": self.serial, "fence": self.seen_token, "warning_s": null, "shards": tasks})
    }

    fn execute(&mut self, w: &mut SimulationState, orders: &Value) {
        for o in orders.as_array().into_iter().flatten() {
            let task = o["shard"].as_str().unwrap().to_string();
            let key = (task.clone(), o["try_no"].as_u64().unwrap());
            match o["verb"].as_str().unwrap() {
                "run" if !self.tasks.contains_key(&key) => {
                    if w.on.keys().any(|(t, _)| *t == task) {
                        w.broken.push(format!("{task} runs twice"));
                    }
                    w.on.insert((task, self.id.clone()), "running");
                    self.tasks.insert(key, ("running", None));
                }
                "stop" => {
                    if let Some(t) = self.tasks.get_mut(&key).filter(|t| t.0 == "running") {
                        *t = ("ended", Some("halted"));
                        w.on.remove(&(task, self.id.clone()));
                    }
                }
                "reap" => {
                    self.tasks.remove(&key);
                }
                _ => {}
            }
        }
    }

    fn end_all(&mut self, w: &mut SimulationState) {
        self.tasks.clear();
        w.on.retain(|(_, h), _| *h != self.id);
        self.tenure += 1;
        self.began = Instant::now();
    }
}

fn worker(w: Shared, id: String, listener: TcpListener, nodes: Vec<SocketAddr>) {
    let me = Worker { id, serial: 0, tenure: 1, seen_token: 0, began: Instant::now(), tasks: BTreeMap::new() };
    let me = Arc::new(Mutex::new(me));
    let (w2, me2) = (w.clone(), me.clone());
    tokio::spawn(http::serve(listener, 100, Duration::from_secs(5), move |req| {
        let (w, me) = (w2.clone(), me2.clone());
        async move {
            let body: Value = serde_json::from_slice(&req.body).unwrap();
            let (mut w, mut me) = (w.lock().unwrap(), me.lock().unwrap());
            if !w.machines.contains_key(&me.id) {
                return Response::error(503, "gone");
            }
            let seen_token = body["fence"].as_u64().unwrap();
            let ok = seen_token >= me.seen_token && body["tenure"].as_u64() == Some(me.tenure);
            if ok {
                me.seen_token = seen_token;
                me.execute(&mut w, &body["orders"]);
            }
            Response::json(if ok { 200 } else { 409 }, &me.report(&w))
        }
    }));
    tokio::spawn(async move {
        let client = Client::default();
        let mut at = 0;
        loop {
            tokio::time::sleep(REPORT).await;
            let (sent, body) = {
                let (mut w, mut me) = (w.lock().unwrap(), me.lock().unwrap());
                if !w.machines.contains_key(&me.id) {
                    return;
                }
                if me.began.elapsed() > LEASE {
                    me.end_all(&mut w);
                }
                if w.finish {
                    let id = me.id.clone();
                    for ((task, _), t) in me.tasks.iter_mut().filter(|(_, t)| t.0 == "running") {
                        *t = ("ended", Some("done"));
                        w.on.remove(&(task.clone(), id.clone()));
                    }
                }
                (Instant::now(), me.report(&w).to_string())
            };
            let r = client.call(nodes[at], "POST", "/agent/beat", Some(body.as_bytes()), Duration::from_secs(1)).await;
            match r {
                Ok((200, body)) => {
                    let v: Value = serde_json::from_slice(&body).unwrap();
                    let (mut w, mut me) = (w.lock().unwrap(), me.lock().unwrap());
                    let seen_token = v["fence"].as_u64().unwrap();
                    if seen_token >= me.seen_token && w.machines.contains_key(&me.id) {
                        me.seen_token = seen_token;
                        me.began = sent;
                        me.execute(&mut w, &v["orders"]);
                    }
                }
                _ => at = (at + 1) % nodes.len(),
            }
        }
    });
}

/// Starts the state service and the cloud; returns their addresses.
pub async fn start(nodes: Vec<SocketAddr>) -> (Shared, SocketAddr, SocketAddr) {
    let w: Shared = Arc::default();
    let request_timeout = Duration::from_secs(5);
    let (l, state_addr) = listen().await;
    let w2 = w.clone();
    tokio::spawn(http::serve(l, 500, request_timeout, move |req| state(w2.clone(), req)));
    let (l, cloud_addr) = listen().await;
    let w2 = w.clone();
    tokio::spawn(http::serve(l, 500, request_timeout, move |req| cloud(w2.clone(), nodes.clone(), req)));
    (w, state_addr, cloud_addr)
}
