//! State service: keys with versions, commits, leases and watches. Each controller has a port of its own, so that a
//! case can cut or refuse one controller.

use crate::http::{Answer, Req, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub epoch: u64,
    log: Vec<(u64, String, Option<Value>)>,
    grants: HashMap<u64, (Instant, Duration)>,
    last_grant: u64,
    /// Controllers whose traffic is held.
    pub held: Vec<bool>,
    /// Whether the service answers 503 to everybody.
    pub down: bool,
    pub requests: u64,
}

pub struct State {
    pub store: Mutex<Store>,
    changed: Condvar,
}

impl Store {
    fn expire(&mut self) {
        if self.down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self.grants.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_grant(id);
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in keys {
            self.keys.remove(&key);
            self.log.push((self.epoch, key, None));
        }
    }

    /// Name of the node that leads partition 0, and its token.
    pub fn leader(&self) -> Option<(String, u64)> {
        let record = &self.keys.get("part/0")?.0;
        Some((record["holder"].as_str()?.to_string(), record["term"].as_u64()?))
    }
}

impl State {
    pub fn new(controllers: usize) -> Arc<State> {
        let store = Store { held: vec![false; controllers], ..Store::default() };
        let state = Arc::new(State { store: Mutex::new(store), changed: Condvar::new() });
        let expiry = state.clone();
        std::thread::spawn(move || {
            loop {
                expiry.store.lock().unwrap().expire();
                expiry.changed.notify_all();
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        state
    }

    /// After an outage every lease has its full time again.
    pub fn set_down(&self, down: bool) {
        let mut store = self.store.lock().unwrap();
        store.down = down;
        let now = Instant::now();
        for (end, life) in store.grants.values_mut() {
            *end = now + *life;
        }
    }

    pub fn set_held(&self, controller: usize, held: bool) {
        self.store.lock().unwrap().held[controller] = held;
    }

    pub fn leader(&self) -> Option<(String, u64)> {
        self.store.lock().unwrap().leader()
    }

    /// Opens a port for one controller.
    pub fn open(self: &Arc<Self>, controller: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state = self.clone();
        serve(listener, || true, Arc::new(move |req: &Req| state.answer(controller, req)));
        addr
    }

    /// Waits while the controller's traffic is held.
    fn wait_while_held(&self, controller: usize) {
        while self.store.lock().unwrap().held[controller] {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn answer(&self, controller: usize, req: &Req) -> Answer {
        self.wait_while_held(controller);
        let answer = self.carry_out(controller, req);
        self.wait_while_held(controller);
        answer
    }

    fn carry_out(&self, controller: usize, req: &Req) -> Answer {
        let path = req.path.split('?').next().unwrap_or("").to_string();
        let mut store = self.store.lock().unwrap();
        store.requests += 1;
        if store.down {
            return Some((503, json!({"error": "trouble"})));
        }
        store.expire();
        match (req.method.as_str(), path.as_str()) {
            ("GET", "/store") => {
                let under = req.query("under").unwrap_or_default();
                let from = req.query("from").unwrap_or_default();
                let most: usize = req.query("most").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
                let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, (data, stamp, _)) in store.keys.range(under.clone()..) {
                    if !key.starts_with(&under) {
                        break;
                    }
                    if *key <= from {
                        continue;
                    }
                    let item = json!({"path": key, "data": data, "stamp": stamp});
                    bytes += item.to_string().len();
                    if items.len() >= most || bytes > 500_000 {
                        more = true;
                        break;
                    }
                    items.push(item);
                }
                Some((200, json!({"items": items, "more": more, "epoch": store.epoch})))
            }
            ("GET", "/changes") => {
                let under = req.query("under").unwrap_or_default();
                let from: u64 = req.query("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let hold: u64 = req.query("hold_ms").and_then(|f| f.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(hold.min(60_000));
                loop {
                    let held = store.held[controller] || store.down;
                    let log: Vec<Value> = store
                        .log
                        .iter()
                        .filter(|(stamp, key, _)| *stamp > from && key.starts_with(&under))
                        .map(|(stamp, key, data)| match data {
                            Some(data) => json!({"put": key, "data": data, "stamp": stamp}),
                            None => json!({"delete": key, "stamp": stamp}),
                        })
                        .collect();
                    if !held && (!log.is_empty() || Instant::now() >= until) {
                        return Some((200, json!({"epoch": store.epoch, "log": log})));
                    }
                    store = self.changed.wait_timeout(store, Duration::from_millis(20)).unwrap().0;
                }
            }
            ("POST", "/commit") => {
                let body = req.json();
                let guards = body["guards"].as_array().cloned().unwrap_or_default();
                let failed: Vec<String> = guards
                    .iter()
                    .filter(|guard| {
                        let key = guard["path"].as_str().unwrap_or("");
                        store.keys.get(key).map_or(0, |v| v.1) != guard["stamp"].as_u64().unwrap_or(0)
                    })
                    .map(|guard| guard["path"].as_str().unwrap_or("").to_string())
                    .collect();
                let apply = body["apply"].as_array().cloned().unwrap_or_default();
                let dead = |op: &Value| op["grant"].as_u64().is_some_and(|id| !store.grants.contains_key(&id));
                if apply.iter().any(|op| op.get("put").is_some() && dead(op)) {
                    return Some((400, json!({"error": "no such lease"})));
                }
                if !failed.is_empty() {
                    return Some((409, json!({"failed": failed, "epoch": store.epoch})));
                }
                if !apply.is_empty() {
                    store.epoch += 1;
                }
                let stamp = store.epoch;
                for op in apply {
                    if let Some(key) = op["put"].as_str() {
                        store.keys.insert(key.into(), (op["data"].clone(), stamp, op["grant"].as_u64()));
                        store.log.push((stamp, key.into(), Some(op["data"].clone())));
                    } else if let Some(key) = op["delete"].as_str()
                        && store.keys.remove(key).is_some()
                    {
                        store.log.push((stamp, key.into(), None));
                    }
                }
                self.changed.notify_all();
                Some((200, json!({"epoch": stamp})))
            }
            ("POST", "/grants") => {
                let life = Duration::from_millis(req.json()["life_ms"].as_u64().unwrap_or(100).clamp(100, 600_000));
                store.last_grant += 1;
                let id = store.last_grant;
                store.grants.insert(id, (Instant::now() + life, life));
                Some((200, json!({"grant": id})))
            }
            (method, path) if path.starts_with("/grants/") => {
                let rest = &path["/grants/".len()..];
                let id: u64 = rest.split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if !store.grants.contains_key(&id) {
                    return Some((404, json!({"error": "no such lease"})));
                }
                if method == "DELETE" {
                    store.end_grant(id);
                    self.changed.notify_all();
                } else {
                    let life = req.json()["life_ms"].as_u64();
                    let grant = store.grants.get_mut(&id).unwrap();
                    if let Some(life) = life {
                        grant.1 = Duration::from_millis(life);
                    }
                    grant.0 = Instant::now() + grant.1;
                }
                Some((200, json!({"grant": id})))
            }
            ("GET", path) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match store.keys.get(key) {
                    Some((data, stamp, grant)) => {
                        Some((200, json!({"path": key, "data": data, "stamp": stamp, "grant": grant})))
                    }
                    None => Some((404, json!({"epoch": store.epoch}))),
                }
            }
            _ => Some((400, json!({"error": "malformed"}))),
        }
    }
}
