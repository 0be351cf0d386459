//! Simulated workers' side of the protocol: reports, direct commands and late copies of reports.

use super::deployment::REQUEST_TIMEOUT;
use super::ground::SimulationContext;
use super::late_copies::{delay_command, repeat_command, send_late_copies};
use super::world::secs;
use badgerdrift::transport::http::{self, Client, Response};
use rand::RngExt;
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Path prefix of requests to models.
pub const MODEL_PATH: &str = "/model/";
/// Time that a model takes for a request.
const REQUEST_TIME: Duration = Duration::from_millis(50);
/// Time limit of a worker for the answer to a report.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Starts the worker of a newly rented machine.
pub fn boot(context: &SimulationContext, id: String) {
    let (net, process_id, addr, up) = {
        let mut world = context.world.lock().unwrap();
        let machine = world.machines.get_mut(&id).unwrap();
        let (net, process_id) = context.process(machine.addr.ip());
        machine.process_id = process_id;
        (net, process_id, machine.addr, machine.up)
    };
    let _ = process_id;
    let context = context.clone();
    tokio::spawn(async move {
        sleep_until(up).await;
        if !exists(&context, &id) {
            return;
        }
        context.log(format!("{id} is up"));
        let listener = match net.bind(addr).await {
            Ok(listener) => listener,
            // A machine that was removed meanwhile has no address any more.
            Err(_) if !exists(&context, &id) => return,
            Err(error) => return context.fail_bind(addr, &error),
        };
        let (command_context, command_id) = (context.clone(), id.clone());
        tokio::spawn(http::serve(listener, 100, REQUEST_TIMEOUT, move |req| {
            direct(command_context.clone(), command_id.clone(), req)
        }));
        send_reports(context, id, Client::on(&net, 4)).await;
    });
}

/// Removes a machine from the cloud and ends its process; `why` goes to the history.
pub fn remove(context: &SimulationContext, id: &str, why: &str) {
    let process_id = {
        let mut world = context.world.lock().unwrap();
        world.remove(id, why);
        world.machines.get(id).map(|machine| machine.process_id)
    };
    if let Some(process_id) = process_id {
        context.network.kill(process_id);
    }
}

/// Crashes a machine, which stays rented.
pub fn die(context: &SimulationContext, id: &str) {
    let process_id = {
        let mut world = context.world.lock().unwrap();
        world.die(id);
        world.machines.get(id).map(|machine| machine.process_id)
    };
    if let Some(process_id) = process_id {
        context.network.kill(process_id);
    }
}

pub(super) fn exists(context: &SimulationContext, id: &str) -> bool {
    context.world.lock().unwrap().machines[id].exists()
}

/// Waits while a machine hangs. Returns false if the machine is gone afterwards.
async fn wait_while_hanging(context: &SimulationContext, id: &str) -> bool {
    loop {
        let until = context.world.lock().unwrap().machines[id].hang;
        if until <= Instant::now() {
            return exists(context, id);
        }
        sleep_until(until).await;
    }
}

async fn direct(context: SimulationContext, id: String, req: http::Request) -> Response {
    let deaf = context.world.lock().unwrap().machines[&id].deaf > Instant::now();
    if deaf || !wait_while_hanging(&context, &id).await {
        sleep(REQUEST_TIMEOUT).await;
        return Response::error(503, "lost");
    }
    if let Some(image) = req.path.strip_prefix(MODEL_PATH) {
        return answer_request(&context, &id, image).await;
    }
    if delay_command(&context, &id, &req) {
        sleep(REQUEST_TIMEOUT).await;
        return Response::error(503, "held up");
    }
    let mut world = context.world.lock().unwrap();
    if req.path == "/inspect" {
        return Response::json(200, &world.report(&id));
    }
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    if body["fence"].is_null() || body["tenure"].is_null() {
        return Response::error(400, "fence or tenure is missing");
    }
    let done = world.direct(&id, &body);
    if done && let Some(after) = world.note_answered_command(&id, &body) {
        repeat_command(&context, id.clone(), body, after);
    }
    Response::json(if done { 200 } else { 409 }, &world.report(&id))
}

/// Answers a request to a model, named by the number of its image. Answers 503 unless the machine has a
/// ready replica.
async fn answer_request(context: &SimulationContext, id: &str, image: &str) -> Response {
    let answers = {
        let world = context.world.lock().unwrap();
        let addr = world.machines[id].addr;
        image.parse().is_ok_and(|image| world.answering(image).contains(&addr))
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
async fn send_reports(context: SimulationContext, id: String, client: Client) {
    let mut at = {
        let mut world = context.world.lock().unwrap();
        world.rng.random_range(0..context.doors.len())
    };
    while report_due(&context, &id).await {
        let Some(report) = next_report(&context, &id) else { return };
        send_late_copies(&context, &id, &report.body);
        let mut next = false;
        // A redirection is followed without waiting for the next report.
        for _ in 0..context.doors.len() {
            match send_report(&context, &id, &client, at, &report).await {
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
            at = (at + 1) % context.doors.len();
            sleep(Duration::from_secs(1)).await;
        }
    }
}

/// Waits until the next report is due or the machine's state has changed. Returns false if the machine
/// is gone.
async fn report_due(context: &SimulationContext, id: &str) -> bool {
    let last = Instant::now();
    let due = {
        let mut world = context.world.lock().unwrap();
        last + secs(world.parameters.report_s * world.rng.random_range(0.75..1.25))
    };
    loop {
        sleep(Duration::from_millis(50)).await;
        if !wait_while_hanging(context, id).await {
            return false;
        }
        let changed = context.world.lock().unwrap().machines[id].changed;
        if Instant::now() >= due || (changed && last.elapsed() >= secs(0.5)) {
            return true;
        }
    }
}

fn next_report(context: &SimulationContext, id: &str) -> Option<SentReport> {
    let mut world = context.world.lock().unwrap();
    world.tick_if_due();
    if !world.machines[id].exists() {
        return None;
    }
    let machine = world.machines.get_mut(id).unwrap();
    machine.changed = false;
    let mute = machine.mute > Instant::now();
    let body = world.report(id).to_string();
    world.note_report(body.len());
    Some(SentReport { sent: Instant::now(), tenure: world.tenure(id), body, mute })
}

async fn send_report(
    context: &SimulationContext,
    id: &str,
    client: &Client,
    at: usize,
    report: &SentReport,
) -> AfterReport {
    let (sent, body) = (report.sent, report.body.as_bytes());
    if report.mute {
        sleep(ANSWER_LIMIT).await;
        return AfterReport::TryAnother;
    }
    let limit = ANSWER_LIMIT.saturating_sub(sent.elapsed());
    let result = client.call(context.doors[at], "POST", "/agent/beat", Some(body), limit).await;
    let deaf = context.world.lock().unwrap().machines[id].deaf > Instant::now();
    if deaf {
        sleep(ANSWER_LIMIT.saturating_sub(sent.elapsed())).await;
        return AfterReport::TryAnother;
    }
    if !wait_while_hanging(context, id).await {
        return AfterReport::Gone;
    }
    if sent.elapsed() > ANSWER_LIMIT {
        return AfterReport::TryAnother;
    }
    match result {
        Ok((200, b)) => {
            let v: Value = serde_json::from_slice(&b).unwrap_or_default();
            context.world.lock().unwrap().reply(id, report.tenure, sent, &v);
            AfterReport::Stay
        }
        Ok((421, b)) => {
            let v: Value = serde_json::from_slice(&b).unwrap_or_default();
            let to = v["reports_to"].as_str().and_then(|n| n.strip_prefix('n')?.parse::<usize>().ok());
            to.filter(|n| *n != at && *n < context.doors.len()).map_or(AfterReport::TryAnother, AfterReport::Redirected)
        }
        _ => AfterReport::TryAnother,
    }
}
