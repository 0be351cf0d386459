//! Stand-in of the state service, as the protocol's page describes it.

use crate::http::{Request, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time that a request takes: responses mostly take under 10 ms.
const LATENCY: Duration = Duration::from_millis(3);
const KEPT_CHANGES: usize = 10_000;
const MAX_PAGE_ITEMS: usize = 1000;
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// Limits of the service, from the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate, at: Instant::now() }
    }
    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + self.rate * (now - self.at).as_secs_f64()).min(self.rate);
        self.at = now;
        // A transaction may be larger than what is left of the burst; it is admitted if the rate allows its part.
        if self.level < amount.min(self.rate) {
            return false;
        }
        self.level -= amount;
        true
    }
}

struct Item {
    data: Value,
    stamp: u64,
    grant: Option<u64>,
}

pub struct Inner {
    epoch: u64,
    items: BTreeMap<String, Item>,
    grants: HashMap<u64, (Instant, Duration)>,
    log: VecDeque<(u64, String, Option<Value>)>,
    next_grant: u64,
    requests: Bucket,
    writes: Bucket,
    limits: Limits,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    pub fn new(limits: Limits) -> Store {
        let inner = Inner {
            epoch: 1,
            items: BTreeMap::new(),
            grants: HashMap::new(),
            log: VecDeque::new(),
            next_grant: 1,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
            limits,
        };
        let store = Store { inner: Arc::new((Mutex::new(inner), Condvar::new())) };
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut inner = ticking.lock();
                if inner.expire() {
                    ticking.inner.1.notify_all();
                }
            }
        });
        store
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap()
    }

    /// Serves a controller at a port of its own; all ports lead to the same service.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let store = self.clone();
        serve(listener, Arc::new(move |request| Some(store.handle(request))));
        addr
    }

    /// Returns all keys and values under a prefix.
    pub fn under(&self, prefix: &str) -> Vec<(String, Value)> {
        let inner = self.lock();
        let found = inner.items.range(prefix.to_string()..).take_while(|(key, _)| key.starts_with(prefix));
        found.map(|(key, item)| (key.clone(), item.data.clone())).collect()
    }

    fn handle(&self, request: &Request) -> (u16, Value) {
        std::thread::sleep(LATENCY);
        let mut inner = self.lock();
        if !inner.requests.take(1.0) {
            return (429, json!({"error": "too many requests"}));
        }
        inner.expire();
        let path = request.plain_path().to_string();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/store") => inner.page(request),
            ("GET", key) if key.starts_with("/store/") => {
                let key = &key["/store/".len()..];
                match inner.items.get(key) {
                    Some(item) => (200, item_json(key, item)),
                    None => (404, json!({"epoch": inner.epoch})),
                }
            }
            ("POST", "/commit") => {
                let answer = inner.commit(&request.json());
                self.inner.1.notify_all();
                answer
            }
            ("POST", "/grants") => {
                let life = Duration::from_millis(request.json()["life_ms"].as_u64().unwrap_or(1000));
                let id = inner.next_grant;
                inner.next_grant += 1;
                inner.grants.insert(id, (Instant::now() + life, life));
                (200, json!({"grant": id}))
            }
            (method, grant) if grant.starts_with("/grants/") => {
                let id = grant["/grants/".len()..].split('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
                if !inner.grants.contains_key(&id) {
                    (404, json!({"error": "no such lease"}))
                } else if method == "DELETE" {
                    inner.end_grant(id);
                    self.inner.1.notify_all();
                    (200, json!({}))
                } else {
                    let life = inner.grants[&id].1;
                    inner.grants.insert(id, (Instant::now() + life, life));
                    (200, json!({"grant": id}))
                }
            }
            ("GET", "/changes") => {
                drop(inner);
                return self.changes(request);
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn changes(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("under").unwrap_or_default();
        let from: u64 = request.query("from").and_then(|from| from.parse().ok()).unwrap_or(0);
        let hold: u64 = request.query("hold_ms").and_then(|hold| hold.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold.min(60_000));
        let mut inner = self.lock();
        loop {
            if inner.log.len() >= KEPT_CHANGES && inner.log.front().is_some_and(|first| first.0 > from + 1) {
                return (410, json!({"epoch": inner.epoch}));
            }
            let found: Vec<Value> = inner
                .log
                .iter()
                .filter(|(stamp, key, _)| *stamp > from && key.starts_with(&prefix))
                .map(|(stamp, key, data)| match data {
                    Some(data) => json!({"put": key, "data": data, "stamp": stamp}),
                    None => json!({"delete": key, "stamp": stamp}),
                })
                .collect();
            let now = Instant::now();
            if !found.is_empty() || now >= until {
                return (200, json!({"epoch": inner.epoch, "log": found}));
            }
            let wait = until - now;
            inner = self.inner.1.wait_timeout(inner, wait.min(Duration::from_millis(500))).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    let mut value = json!({"path": key, "data": item.data, "stamp": item.stamp});
    if let Some(grant) = item.grant {
        value["grant"] = grant.into();
    }
    value
}

impl Inner {
    fn log(&mut self, stamp: u64, key: String, data: Option<Value>) {
        self.log.push_back((stamp, key, data));
        while self.log.len() > KEPT_CHANGES {
            self.log.pop_front();
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.grant == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.epoch += 1;
        let stamp = self.epoch;
        for key in keys {
            self.items.remove(&key);
            self.log(stamp, key, None);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self.grants.iter().filter(|(_, grant)| grant.0 < now).map(|(id, _)| *id).collect();
        for id in &ended {
            self.end_grant(*id);
        }
        !ended.is_empty()
    }

    fn page(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("under").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let most = request.query("most").and_then(|most| most.parse().ok()).unwrap_or(MAX_PAGE_ITEMS);
        let start = if from.is_empty() { prefix.clone() } else { from.clone() };
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, item) in self.items.range(start..).filter(|(key, _)| **key != from) {
            if !key.starts_with(&prefix) {
                break;
            }
            let value = item_json(key, item);
            let length = value.to_string().len() + 1;
            if items.len() >= most.min(MAX_PAGE_ITEMS) || bytes + length > MAX_PAGE_BYTES - 100 {
                more = true;
                break;
            }
            bytes += length;
            items.push(value);
        }
        (200, json!({"items": items, "more": more, "epoch": self.epoch}))
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let guards = body["guards"].as_array().unwrap_or(&empty);
        let apply = body["apply"].as_array().unwrap_or(&empty);
        if apply.len() > self.limits.txn_ops
            || guards.len() > 4 * self.limits.txn_ops
            || body.to_string().len() > 64 * 1024
            || apply.iter().any(|op| op["data"].to_string().len() as f64 > self.limits.value_kb * 1024.0)
        {
            return (400, json!({"error": "too large"}));
        }
        if !self.writes.take(apply.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let lost_grant = |op: &Value| op["grant"].as_u64().is_some_and(|id| !self.grants.contains_key(&id));
        if apply.iter().any(lost_grant) {
            return (400, json!({"error": "no such lease"}));
        }
        let failed: Vec<&str> = guards
            .iter()
            .filter(|guard| {
                let stamp = guard["path"].as_str().and_then(|key| self.items.get(key)).map_or(0, |item| item.stamp);
                guard["stamp"].as_u64() != Some(stamp)
            })
            .filter_map(|guard| guard["path"].as_str())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        if apply.is_empty() {
            return (200, json!({"epoch": self.epoch}));
        }
        self.epoch += 1;
        let stamp = self.epoch;
        for op in apply {
            if let Some(key) = op["put"].as_str() {
                let data = op["data"].clone();
                self.items.insert(key.into(), Item { data: data.clone(), stamp, grant: op["grant"].as_u64() });
                self.log(stamp, key.into(), Some(data));
            } else if let Some(key) = op["delete"].as_str()
                && self.items.remove(key).is_some()
            {
                self.log(stamp, key.into(), None);
            }
        }
        (200, json!({"epoch": self.epoch}))
    }
}
