//! Consistent store in memory, which implements the state service for all tests.

use badgerdrift::transport::http::{Request, Response};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Returns the parameters of a path's query.
pub fn query(path: &str) -> HashMap<String, String> {
    let q = path.split_once('?').map_or("", |p| p.1);
    q.split('&').filter_map(|kv| kv.split_once('=')).map(|(name, value)| (name.into(), value.into())).collect()
}

/// Keys with their revisions and leases, and the log of changes.
#[derive(Default)]
pub struct Store {
    /// Value, revision and lease of each key.
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    /// Last renewal and duration of each lease.
    grants: HashMap<u64, (Instant, Duration)>,
    next_grant: u64,
    log: Vec<Value>,
    pub down: bool,
    /// Number of commits that put a key under a lease, as a leader does when it begins.
    pub claims: u64,
    /// Number of puts and deletes that were carried out.
    pub writes: u64,
    /// Limits of values, commits and changes; `None` for no limits.
    pub limits: Option<Limits>,
    /// Number of commits that were refused because of the rate of changes.
    pub throttled: u64,
    /// Changes that the rate limit still allows now.
    allowed: f64,
    refilled: Option<Instant>,
}

/// Limits of the state service.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Largest value, in bytes.
    pub value_bytes: usize,
    /// Most changes in a commit.
    pub changes: usize,
    /// Most changes per second.
    pub changes_per_s: f64,
}

impl Store {
    /// Ends the leases whose time is over. No lease ends during an outage.
    fn expire(&mut self) {
        if self.down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> =
            self.grants.iter().filter(|(_, lease)| lease.0 + lease.1 < now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end(id));
    }

    /// Ends a lease and deletes its keys.
    fn end(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, entry)| entry.2 == Some(id)).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.log.push(json!({"delete": key, "stamp": self.revision}));
        }
    }

    /// Begins or ends an outage and renews every lease: after an outage each has its full time again.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
        let now = Instant::now();
        self.grants.values_mut().for_each(|lease| lease.0 = now);
    }

    /// Returns the refusal of a commit that exceeds the limits; `None` if it does not.
    fn refusal(&mut self, apply: &[Value]) -> Option<Response> {
        let limits = self.limits?;
        let too_large =
            |change: &Value| change.get("data").is_some_and(|data| data.to_string().len() > limits.value_bytes);
        if apply.len() > limits.changes || apply.iter().any(too_large) {
            return Some(Response::error(400, "too large"));
        }
        let now = Instant::now();
        let since = self.refilled.replace(now).map_or(1.0, |at| (now - at).as_secs_f64());
        self.allowed = (self.allowed + since * limits.changes_per_s).min(limits.changes_per_s);
        if apply.len() as f64 > self.allowed {
            self.throttled += 1;
            return Some(Response::error(429, "too many changes"));
        }
        self.allowed -= apply.len() as f64;
        None
    }

    fn commit(&mut self, body: &Value) -> Response {
        let apply = body["apply"].as_array().unwrap();
        if let Some(refusal) = self.refusal(apply) {
            return refusal;
        }
        if apply.iter().filter_map(|change| change["grant"].as_u64()).any(|lease| !self.grants.contains_key(&lease)) {
            return Response::json(400, &json!({"error": "no such lease"}));
        }
        let failed: Vec<&Value> = body["guards"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|guard| {
                self.keys.get(guard["path"].as_str().unwrap()).map_or(0, |entry| entry.1)
                    != guard["stamp"].as_u64().unwrap()
            })
            .map(|guard| &guard["path"])
            .collect();
        if !failed.is_empty() {
            return Response::json(409, &json!({"failed": failed, "epoch": self.revision}));
        }
        self.revision += 1;
        self.writes += apply.len() as u64;
        self.claims += u64::from(apply.iter().any(|change| change["grant"].is_u64()));
        for change in apply {
            if let Some(key) = change["put"].as_str() {
                self.keys.insert(key.into(), (change["data"].clone(), self.revision, change["grant"].as_u64()));
                self.log.push(json!({"put": key, "data": change["data"], "stamp": self.revision}));
            } else if let Some(key) = change["delete"].as_str() {
                self.keys.remove(key);
                self.log.push(json!({"delete": key, "stamp": self.revision}));
            }
        }
        Response::json(200, &json!({"epoch": self.revision}))
    }

    /// Returns the value of a key; null if the key does not exist.
    pub fn value(&self, key: &str) -> Value {
        self.keys.get(key).map_or(Value::Null, |entry| entry.0.clone())
    }

    /// Returns the keys that begin with a prefix, with their values.
    pub fn under(&self, prefix: &str) -> Vec<(String, Value)> {
        let under = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        under.map(|(key, entry)| (key.clone(), entry.0.clone())).collect()
    }

    /// Answers a request; with 503 during an outage.
    pub fn handle(&mut self, req: &Request) -> Response {
        if self.down { Response::error(503, "outage") } else { self.read(req) }
    }

    /// Answers a request regardless of an outage.
    pub fn read(&mut self, req: &Request) -> Response {
        self.expire();
        let path = req.path.split('?').next().unwrap();
        let q = query(&req.path);
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        if path == "/commit" {
            return self.commit(&body);
        }
        if path == "/store" {
            let (under, from) = (&q["under"], q.get("from").cloned().unwrap_or_default());
            let most: usize = q.get("most").and_then(|m| m.parse().ok()).unwrap_or(1000);
            let mut items: Vec<Value> = self
                .keys
                .iter()
                .filter(|(key, _)| key.starts_with(under) && **key > from)
                .take(most + 1)
                .map(|(key, entry)| json!({"path": key, "data": entry.0, "stamp": entry.1}))
                .collect();
            let more = items.len() > most;
            items.truncate(most);
            return Response::json(200, &json!({"items": items, "more": more, "epoch": self.revision}));
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some(entry) => Response::json(200, &json!({"path": key, "data": entry.0, "stamp": entry.1})),
                None => Response::json(404, &json!({"epoch": self.revision})),
            };
        }
        if path == "/grants" {
            self.next_grant += 1;
            let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
            self.grants.insert(self.next_grant, (Instant::now(), life));
            return Response::json(200, &json!({"grant": self.next_grant}));
        }
        let id: u64 = path.split('/').nth(2).and_then(|s| s.parse().ok()).unwrap();
        if req.method == "DELETE" {
            self.end(id);
            return Response::json(200, &json!({}));
        }
        match self.grants.get_mut(&id) {
            Some(lease) => {
                lease.0 = Instant::now();
                Response::json(200, &json!({"grant": id}))
            }
            None => Response::error(404, "no such lease"),
        }
    }

    /// Returns the answer to a watch, or `None` while it has to wait. A watch that `ends` without changes gets
    /// an empty answer. Open watches wait during an outage.
    pub fn changes(&mut self, q: &HashMap<String, String>, ends: bool) -> Option<Response> {
        if self.down {
            return None;
        }
        self.expire();
        let from: u64 = q["from"].parse().unwrap();
        let news = self.log.partition_point(|e| e["stamp"].as_u64().unwrap() <= from);
        let hit = |e: &&Value| {
            let key = e["put"].as_str().or(e["delete"].as_str()).unwrap();
            key.starts_with(&q["under"])
        };
        let log: Vec<&Value> = self.log[news..].iter().filter(hit).collect();
        (ends || !log.is_empty()).then(|| Response::json(200, &json!({"epoch": self.revision, "log": log})))
    }
}
