//! HTTP interface of the simulated state service, with its faults.

use super::deployment::REQUEST_TIMEOUT;
use super::ground::SimulationContext;
use super::late_copies;
use super::versions::production_records;
use super::world::secs;
use badgerdrift::transport::http::{Request, Response};
use rand::RngExt;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Answers one request of a controller to the state service.
pub async fn state(context: SimulationContext, node: usize, req: Request) -> Response {
    if !context.world.lock().unwrap().production[node] {
        return answer(context, node, req).await;
    }
    let req = Request { body: in_production_form(&context, req.body), ..req };
    let response = answer(context.clone(), node, req).await;
    Response { body: in_production_form(&context, response.body), ..response }
}

/// Converts the records in a body to the form that the version in production reads and writes.
fn in_production_form(context: &SimulationContext, body: Vec<u8>) -> Vec<u8> {
    let Ok(mut value) = serde_json::from_slice(&body) else { return body };
    if let Err(broken) = production_records(&mut value) {
        context.world.lock().unwrap().fail(broken);
    }
    serde_json::to_vec(&value).unwrap()
}

/// Randomly drawn delay and fault of one request.
struct RequestFault {
    lag: Duration,
    /// Delay in seconds after which a write without an answer is carried out; `None` for no such fault.
    late_s: Option<f64>,
    /// Whether the request is carried out and its answer lost.
    answer_lost: bool,
}

/// Returns whether the state service refuses this node, or all nodes.
fn is_down(context: &SimulationContext, node: usize) -> bool {
    let world = context.world.lock().unwrap();
    world.store.down || world.refused[node]
}

async fn answer(context: SimulationContext, node: usize, req: Request) -> Response {
    // A request storm breaks a rule. Its requests never return, since simulated time would not advance otherwise.
    if !context.world.lock().unwrap().may_ask(node) {
        return std::future::pending().await;
    }
    if is_down(&context, node) {
        return Response::error(503, "trouble");
    }
    if !context.world.lock().unwrap().takes_request() {
        return Response::error(429, "too many requests");
    }
    if req.path.starts_with("/changes") {
        return watch(&context, node, &req.path).await;
    }
    let fault = draw_request_fault(&context, &req);
    sleep(fault.lag).await;
    if let Some(late) = fault.late_s {
        sleep(secs(late)).await;
        while context.world.lock().unwrap().store.down {
            sleep(Duration::from_millis(100)).await;
        }
        context.log(format!("request of n{node} carried out {late:.1} s late: {} {}", req.method, req.path));
    } else if is_down(&context, node) {
        return Response::error(503, "trouble");
    }
    let response = carry_out(&context, node, &req);
    if fault.late_s.is_some() || fault.answer_lost {
        context.log(format!("answer lost for n{node}: {} {} had status {}", req.method, req.path, response.status));
        sleep(REQUEST_TIMEOUT).await;
    }
    response
}

/// Answers a watch once a key has changed or its time is over. Open watches wait during outages.
async fn watch(context: &SimulationContext, node: usize, path: &str) -> Response {
    let query = crate::store::query(path);
    let until = Instant::now() + Duration::from_millis(query["hold_ms"].parse().unwrap());
    loop {
        if !is_down(context, node)
            && let Some(r) = context.world.lock().unwrap().store.changes(&query, Instant::now() > until)
        {
            return r;
        }
        sleep(Duration::from_millis(25)).await;
    }
}

fn draw_request_fault(context: &SimulationContext, req: &Request) -> RequestFault {
    let mut world = context.world.lock().unwrap();
    let (late, lost) = (world.late_writes, world.lost_answers);
    let slow = world.rng.random_bool(0.01);
    let lag = world.rng.random_range(if slow { 50..300 } else { 1..8 });
    let writes = req.method != "GET";
    let late_s = (writes && world.rng.random_bool(late)).then(|| world.rng.random_range(2.0..12.0));
    RequestFault { lag: Duration::from_millis(lag), late_s, answer_lost: writes && world.rng.random_bool(lost) }
}

/// Carries a request out. If it makes a controller leader, this is noted and the kept copies of worker
/// reports are released.
fn carry_out(context: &SimulationContext, node: usize, req: &Request) -> Response {
    let (response, claimed) = {
        let mut world = context.world.lock().unwrap();
        let before = world.store.claims;
        let response = world.store.handle(req);
        let claimed = world.store.claims > before;
        if claimed {
            let record = world.store.value("part/0");
            world.record_term(&record);
        }
        (response, claimed)
    };
    if claimed {
        context.log(format!("n{node} becomes leader"));
        late_copies::send_kept_reports(context);
    }
    response
}
