//! Simulated workers' side of the protocol: reports, direct commands and late copies of reports.

use super::deployment::PATIENCE;
use super::ground::SimulationContext;
use super::world::secs;
use badgerdrift::transport::http::{self, Client, Response};
use rand::RngExt;
use serde_json::Value;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Path prefix of requests to models.
pub const MODEL_PATH: &str = "/model/";
/// Time that a model takes for a request.
const REQUEST_TIME: Duration = Duration::from_millis(50);
/// Time limit of a worker for the answer to a report.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Starts the worker of a newly rented machine.
pub fn boot(g: &SimulationContext, id: String) {
    let (net, life, addr, up) = {
        let mut w = g.w.lock().unwrap();
        let m = w.machines.get_mut(&id).unwrap();
        let (net, life) = g.process(m.addr.ip());
        m.life = life;
        (net, life, m.addr, m.up)
    };
    let _ = life;
    let g = g.clone();
    tokio::spawn(async move {
        sleep_until(up).await;
        if !exists(&g, &id) {
            return;
        }
        g.log(format!("{id} is up"));
        let Ok(listener) = net.bind(addr).await else { return };
        let (g2, id2) = (g.clone(), id.clone());
        tokio::spawn(http::serve(listener, 100, PATIENCE, move |req| direct(g2.clone(), id2.clone(), req)));
        reports(g, id, Client::on(&net, 4)).await;
    });
}

/// Removes a machine from the cloud and ends its process; `why` goes to the history.
pub fn remove(g: &SimulationContext, id: &str, why: &str) {
    let life = {
        let mut w = g.w.lock().unwrap();
        w.remove(id, why);
        w.machines.get(id).map(|m| m.life)
    };
    if let Some(life) = life {
        g.network.kill(life);
    }
}

/// Crashes a machine, which stays rented.
pub fn die(g: &SimulationContext, id: &str) {
    let life = {
        let mut w = g.w.lock().unwrap();
        w.die(id);
        w.machines.get(id).map(|m| m.life)
    };
    if let Some(life) = life {
        g.network.kill(life);
    }
}

fn exists(g: &SimulationContext, id: &str) -> bool {
    g.w.lock().unwrap().machines[id].exists()
}

/// Waits while a machine hangs. Returns false if the machine is gone afterwards.
async fn awake(g: &SimulationContext, id: &str) -> bool {
    loop {
        let until = g.w.lock().unwrap().machines[id].hang;
        if until <= Instant::now() {
            return exists(g, id);
        }
        sleep_until(until).await;
    }
}

async fn direct(g: SimulationContext, id: String, req: http::Request) -> Response {
    let deaf = g.w.lock().unwrap().machines[&id].deaf > Instant::now();
    if deaf || !awake(&g, &id).await {
        sleep(PATIENCE).await;
        return Response::error(503, "lost");
    }
    if let Some(image) = req.path.strip_prefix(MODEL_PATH) {
        return answer_request(&g, &id, image).await;
    }
    if held_up(&g, &id, &req) {
        sleep(PATIENCE).await;
        return Response::error(503, "held up");
    }
    let mut w = g.w.lock().unwrap();
    if req.path == "/inspect" {
        return Response::json(200, &w.report(&id));
    }
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    if body["fence"].is_null() || body["tenure"].is_null() {
        return Response::error(400, "fence or tenure is missing");
    }
    let done = w.direct(&id, &body);
    Response::json(if done { 200 } else { 409 }, &w.report(&id))
}

/// Returns whether a direct command is delayed. A delayed command is carried out later if its token and
/// session still match.
fn held_up(g: &SimulationContext, id: &str, req: &http::Request) -> bool {
    let mut w = g.w.lock().unwrap();
    let share = w.late_commands;
    if share <= 0.0 || req.path == "/inspect" || !w.rng.random_bool(share) {
        return false;
    }
    let after = secs(w.rng.random_range(2.0..16.0));
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let (g, id) = (g.clone(), id.to_string());
    tokio::spawn(async move {
        sleep(after).await;
        if exists(&g, &id) {
            g.log(format!("{id} gets a command that was held up"));
            g.w.lock().unwrap().direct(&id, &body);
        }
    });
    true
}

/// Answers a request to a model, named by the number of its image. Answers 503 unless the machine has a
/// ready replica.
async fn answer_request(g: &SimulationContext, id: &str, image: &str) -> Response {
    let answers = {
        let w = g.w.lock().unwrap();
        let addr = w.machines[id].addr;
        image.parse().is_ok_and(|image| w.answering(image).contains(&addr))
    };
    if !answers {
        return Response::error(503, "no replica");
    }
    sleep(REQUEST_TIME).await;
    Response::json(200, &serde_json::json!({ "answered": true }))
}

/// Next action of a worker after an attempt to report.
enum AfterReport {
    /// Report to the same node next time.
    Stay,
    /// Report to this node at once.
    Redirected(usize),
    /// Try the next node after a pause.
    TryAnother,
    /// Stop: the machine is gone.
    Gone,
}

/// Report with the time and the session in which it was sent.
struct SentReport {
    sent: Instant,
    tenure: u64,
    body: String,
    /// Whether the report is lost before any controller.
    mute: bool,
}

/// Sends the reports of a machine until it is gone.
async fn reports(g: SimulationContext, id: String, client: Client) {
    let mut at = {
        let mut w = g.w.lock().unwrap();
        w.rng.random_range(0..g.doors.len())
    };
    while report_due(&g, &id).await {
        let Some(report) = next_report(&g, &id) else { return };
        copies(&g, &id, &report.body);
        let mut next = false;
        // A redirection is followed without waiting for the next report.
        for _ in 0..g.doors.len() {
            match send_report(&g, &id, &client, at, &report).await {
                AfterReport::Stay => break,
                AfterReport::Redirected(node) => at = node,
                AfterReport::TryAnother => {
                    next = true;
                    break;
                }
                AfterReport::Gone => return,
            }
        }
        if next {
            at = (at + 1) % g.doors.len();
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Waits until the next report is due or the machine's state has changed. Returns false if the machine
/// is gone.
async fn report_due(g: &SimulationContext, id: &str) -> bool {
    let last = Instant::now();
    let due = {
        let mut w = g.w.lock().unwrap();
        last + secs(w.parameters.report_s * w.rng.random_range(0.75..1.25))
    };
    loop {
        sleep(Duration::from_millis(50)).await;
        if !awake(g, id).await {
            return false;
        }
        let changed = g.w.lock().unwrap().machines[id].changed;
        if Instant::now() >= due || (changed && last.elapsed() >= secs(0.5)) {
            return true;
        }
    }
}

fn next_report(g: &SimulationContext, id: &str) -> Option<SentReport> {
    let mut w = g.w.lock().unwrap();
    w.tick_if_due();
    if !w.machines[id].exists() {
        return None;
    }
    let m = w.machines.get_mut(id).unwrap();
    m.changed = false;
    let mute = m.mute > Instant::now();
    let body = w.report(id).to_string();
    Some(SentReport { sent: Instant::now(), tenure: w.tenure(id), body, mute })
}

async fn send_report(g: &SimulationContext, id: &str, client: &Client, at: usize, report: &SentReport) -> AfterReport {
    let (sent, body) = (report.sent, report.body.as_bytes());
    if report.mute {
        sleep(ANSWER_LIMIT).await;
        return AfterReport::TryAnother;
    }
    let limit = ANSWER_LIMIT.saturating_sub(sent.elapsed());
    let r = client.call(g.doors[at], "POST", "/agent/beat", Some(body), limit).await;
    let deaf = g.w.lock().unwrap().machines[id].deaf > Instant::now();
    if deaf {
        sleep(ANSWER_LIMIT.saturating_sub(sent.elapsed())).await;
        return AfterReport::TryAnother;
    }
    if !awake(g, id).await {
        return AfterReport::Gone;
    }
    if sent.elapsed() > ANSWER_LIMIT {
        return AfterReport::TryAnother;
    }
    match r {
        Ok((200, b)) => {
            let v: Value = serde_json::from_slice(&b).unwrap_or_default();
            g.w.lock().unwrap().reply(id, report.tenure, sent, &v);
            AfterReport::Stay
        }
        Ok((421, b)) => {
            let v: Value = serde_json::from_slice(&b).unwrap_or_default();
            let to = v["reports_to"].as_str().and_then(|n| n.strip_prefix('n')?.parse::<usize>().ok());
            to.filter(|n| *n != at && *n < g.doors.len()).map_or(AfterReport::TryAnother, AfterReport::Redirected)
        }
        _ => AfterReport::TryAnother,
    }
}

/// Copies a share of the reports. A copy arrives late at one or all controllers: after seconds, after
/// more than a lease, or when the next leader begins.
fn copies(g: &SimulationContext, id: &str, body: &str) {
    let (ip, after, to) = {
        let mut w = g.w.lock().unwrap();
        let ip = w.machines[id].addr.ip();
        if w.keeping {
            let kept = w.kept.entry(id.into()).or_default();
            kept.push((ip, body.into()));
            if kept.len() > 2 {
                kept.remove(0);
            }
        }
        let share = w.late_reports;
        if !w.rng.random_bool(share) {
            return;
        }
        if w.rng.random_bool(0.3) {
            w.kept.entry(id.into()).or_default().push((ip, body.into()));
            return;
        }
        let all = w.rng.random_bool(0.5);
        let one = w.rng.random_range(0..g.doors.len());
        let to: Vec<usize> = if all { (0..g.doors.len()).collect() } else { vec![one] };
        let latest = w.parameters.lease_s * 2.5;
        (ip, secs(w.rng.random_range(1.0..latest)), to)
    };
    send_copy(g, ip, body, after, &to);
}

fn send_copy(g: &SimulationContext, ip: IpAddr, body: &str, after: Duration, to: &[usize]) {
    for &node in to {
        let (g, body) = (g.clone(), body.to_string());
        tokio::spawn(async move {
            sleep(after).await;
            let client = Client::on(&g.process(ip).0, 0);
            let r =
                client.call(g.doors[node], "POST", "/agent/beat", Some(body.as_bytes()), Duration::from_secs(2)).await;
            let status = r.map_or(0, |r| r.0);
            g.log(format!("late copy at n{node} answered {status}: {body}"));
        });
    }
}

/// Sends the kept reports to every controller, several times during the first second of a new leader.
pub fn release_kept(g: &SimulationContext) {
    let kept: Vec<(IpAddr, String)> = std::mem::take(&mut g.w.lock().unwrap().kept).into_values().flatten().collect();
    let nodes: Vec<usize> = (0..g.doors.len()).collect();
    for (ip, body) in kept {
        for ms in [0, 20, 60, 150, 400, 1000] {
            send_copy(g, ip, &body, Duration::from_millis(ms), &nodes);
        }
    }
}
