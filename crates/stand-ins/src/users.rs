//! Simulated users, which submit jobs, repeat submissions, poll and cancel at any node.

use super::ground::SimulationContext;
use crate::world::secs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Sends one request about a job and checks the answer. Returns status 0 if there was none.
async fn ask(context: &SimulationContext, id: &str, node: usize, what: &str) -> (u16, Value) {
    let (method, path, body, limit) = match what {
        "submit" => {
            let mut world = context.world.lock().unwrap();
            let job = world.jobs.get_mut(id).unwrap();
            job.submitted = true;
            job.first_submitted.get_or_insert(Instant::now());
            ("POST", "/v1/jobs".to_string(), Some(job.body()), 5.0)
        }
        "withdraw" => {
            context.world.lock().unwrap().jobs.get_mut(id).unwrap().cancel_asked = true;
            ("POST", format!("/v1/jobs/{id}/withdraw"), None, 5.0)
        }
        _ => ("GET", format!("/v1/jobs/{id}"), None, 2.0),
    };
    let sent = Instant::now();
    match context.user.call(context.doors[node], method, &path, body.as_deref().map(str::as_bytes), secs(limit)).await {
        Ok((status, bytes)) => {
            let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            context.world.lock().unwrap().check_answer(id, sent, node, what, status, &body);
            (status, body)
        }
        Err(_) => (0, Value::Null),
    }
}

/// Polls a job at a node; returns whether the poll was answered.
pub async fn poll(context: &SimulationContext, id: &str, node: usize) -> bool {
    matches!(ask(context, id, node, "poll").await.0, 200 | 404)
}

/// Polls a job at every node, a millisecond from now.
pub fn ask_all(context: &SimulationContext, id: &str) {
    at_every_node(context, id, "poll");
}

/// Repeats the submission of a job at every node, a millisecond from now.
pub fn submit_again(context: &SimulationContext, id: &str) {
    at_every_node(context, id, "submit");
}

fn at_every_node(context: &SimulationContext, id: &str, what: &'static str) {
    for node in 0..context.doors.len() {
        let (context, id) = (context.clone(), id.to_string());
        tokio::spawn(async move {
            sleep(Duration::from_millis(1)).await;
            ask(&context, &id, node, what).await;
        });
    }
}

/// Requests the cancellation of a job at these nodes in turn until one answers 200 or 404.
pub async fn cancel(context: SimulationContext, id: String, nodes: Vec<usize>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut i = rng.random_range(0..nodes.len());
    loop {
        let (status, _) = ask(&context, &id, nodes[i], "withdraw").await;
        if matches!(status, 200 | 404) {
            ask_all(&context, &id);
            return;
        }
        i = (i + 1) % nodes.len();
        sleep(secs(rng.random_range(1.0..2.0))).await;
    }
}

/// Returns a random node for the submission of a job. A job that waits for others needs a node of this
/// version; `None` if there is none.
fn node_to_submit_at(context: &SimulationContext, id: &str, rng: &mut StdRng) -> Option<usize> {
    let world = context.world.lock().unwrap();
    let waits = !world.jobs[id].waits_on.is_empty();
    let nodes: Vec<usize> = (0..context.doors.len()).filter(|node| !waits || !world.production[*node]).collect();
    (!nodes.is_empty()).then(|| nodes[rng.random_range(0..nodes.len())])
}

/// Submits a job, polls it until it is over, and goes on to poll it now and then.
pub async fn user(context: SimulationContext, id: String, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    loop {
        let Some(node) = node_to_submit_at(&context, &id, &mut rng) else {
            sleep(secs(0.5)).await;
            continue;
        };
        let (status, _) = ask(&context, &id, node, "submit").await;
        match status {
            200 | 201 => break,
            400 | 422 => return,
            _ if began.elapsed() > secs(60.0) => return,
            _ => sleep(secs(rng.random_range(1.0..2.5))).await,
        }
    }
    if rng.random_bool(0.5) {
        ask_all(&context, &id);
    }
    let mut again = 0;
    loop {
        let rate = context.world.lock().unwrap().poll_rate;
        sleep(secs(rng.random_range(1.0..5.0) / rate)).await;
        let what = if rng.random_bool(0.1) { "submit" } else { "poll" };
        let over = context.world.lock().unwrap().jobs[&id].over();
        ask(&context, &id, rng.random_range(0..context.doors.len()), what).await;
        if !over && context.world.lock().unwrap().jobs[&id].over() {
            ask_all(&context, &id);
        }
        again += u32::from(over);
        if again > 4 {
            // Polls of a job that has been over for a while are rare.
            sleep(secs(rng.random_range(5.0..20.0) / rate)).await;
        }
    }
}

/// Polls jobs that were never submitted; an answer of 200 breaks a rule.
pub async fn poll_unknown_jobs(context: SimulationContext, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let rate = context.world.lock().unwrap().poll_rate;
        sleep(secs(rng.random_range(2.0..6.0) / rate)).await;
        let id = format!("run-9{:05}", rng.random_range(0..100_000));
        let node = rng.random_range(0..context.doors.len());
        let response = context.user.call(context.doors[node], "GET", &format!("/v1/jobs/{id}"), None, secs(2.0)).await;
        if let Ok((200, _)) = response {
            context
                .world
                .lock()
                .unwrap()
                .fail(format!("invented: n{node} answers 200 to a poll of {id}, which was never submitted"));
        }
    }
}
