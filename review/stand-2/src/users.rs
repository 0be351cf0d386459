//! Users, as the protocol's page describes them.

use crate::fleet::{Fleet, JobDescription};
use crate::platform::Platform;
use crate::record::Record;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns a submission with all fields; `extra` replaces some of them.
pub fn job(id: u64, class: &str, team: &str, shape: &str, shards: u32, extra: &Value) -> Value {
    let mut body = json!({"id": format!("run-{id:06}"), "jobclass": class, "owner": team, "shape": shape,
        "urgency": "standard", "shards": shards, "cores": 5.0, "cards": 1.0, "mem_gb": 25.0,
        "bundle": "img-07", "size_gb": 1.0, "flavors": null, "region": null, "same_place": false, "apart": false,
        "preemptible": false, "expected_s": if shape == "service" { 0.0 } else { 35.0 },
        "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null});
    for (name, value) in extra.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    body
}

#[derive(Clone)]
pub struct Users {
    pub platform: Arc<Platform>,
    pub fleet: Arc<Fleet>,
    pub record: Record,
}

impl Users {
    /// Uploads the job's description for the workers and submits it, with retries for up to 60 s. Returns the last
    /// status; 0 if there was no answer.
    pub fn submit(&self, body: &Value, run_s: f64) -> u16 {
        let id = body["id"].as_str().unwrap_or("").to_string();
        let number = |name: &str| body[name].as_f64().unwrap_or(0.0);
        let description = JobDescription {
            tasks: body["shards"].as_u64().unwrap_or(0) as u32,
            service: body["shape"] == "service",
            cores: number("cores"),
            cards: number("cards"),
            mem_gb: number("mem_gb"),
            bundle: body["bundle"].as_str().unwrap_or("").into(),
            size_gb: number("size_gb"),
            run_s,
        };
        self.fleet.facts().jobs.insert(id.clone(), description);
        let began = Instant::now();
        loop {
            let answer = self.platform.user_call("POST", "/v1/jobs", &body.to_string(), Duration::from_secs(5));
            let (status, wait) = match &answer {
                Ok(answer) => (answer.status, answer.retry_after_s.unwrap_or(1.0).clamp(1.0, 30.0)),
                Err(_) => (0, 1.0),
            };
            let text = answer.as_ref().map(|answer| answer.body.to_string()).unwrap_or_default();
            self.record.line(&format!("user: submit {id}: {status} {}", text.chars().take(200).collect::<String>()));
            if matches!(status, 200 | 201 | 400 | 422) || began.elapsed() > Duration::from_secs(60) {
                return status;
            }
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }

    /// Asks about a job once. Returns status and body.
    pub fn poll(&self, id: &str) -> Option<(u16, Value)> {
        let answer = self.platform.user_call("GET", &format!("/v1/jobs/{id}"), "", Duration::from_secs(2));
        let (status, body) = match answer {
            Ok(answer) => (answer.status, answer.body),
            Err(error) => {
                self.record.line(&format!("user: poll {id}: {error:?}"));
                return None;
            }
        };
        self.record.line(&format!("user: poll {id}: {status} {body}"));
        Some((status, body))
    }
}
