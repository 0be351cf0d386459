//! The state service, as each of the controllers sees it.

use super::deployment::PATIENCE;
use super::ground::SimulationContext;
use super::machines;
use super::versions::production_records;
use super::world::secs;
use badgerdrift::transport::http::{Request, Response};
use rand::RngExt;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The state service, as one of the controllers sees it.
pub async fn state(g: SimulationContext, node: usize, req: Request) -> Response {
    if !g.w.lock().unwrap().production[node] {
        return answer(g, node, req).await;
    }
    let req = Request { body: in_production_form(&g, req.body), ..req };
    let response = answer(g.clone(), node, req).await;
    Response { body: in_production_form(&g, response.body), ..response }
}

/// The records in a body as the version in production reads or writes them.
fn in_production_form(g: &SimulationContext, body: Vec<u8>) -> Vec<u8> {
    let Ok(mut value) = serde_json::from_slice(&body) else { return body };
    if let Err(broken) = production_records(&mut value) {
        g.w.lock().unwrap().fail(broken);
    }
    serde_json::to_vec(&value).unwrap()
}

async fn answer(g: SimulationContext, node: usize, req: Request) -> Response {
    let down = |g: &SimulationContext| {
        let w = g.w.lock().unwrap();
        w.store.down || w.refused[node]
    };
    // A storm is told, and ends here: it must not keep the clock from going on.
    if !g.w.lock().unwrap().may_ask(node) {
        return std::future::pending().await;
    }
    if down(&g) {
        return Response::error(503, "trouble");
    }
    if !g.w.lock().unwrap().takes_request() {
        return Response::error(429, "too many requests");
    }
    if req.path.starts_with("/changes") {
        let q = crate::store::query(&req.path);
        let until = Instant::now() + Duration::from_millis(q["hold_ms"].parse().unwrap());
        loop {
            if !down(&g)
                && let Some(r) = g.w.lock().unwrap().store.changes(&q, Instant::now() > until)
            {
                return r;
            }
            sleep(Duration::from_millis(25)).await;
        }
    }
    let (lag, late, lost) = {
        let mut w = g.w.lock().unwrap();
        let (late, lost) = (w.late_writes, w.lost_answers);
        let slow = w.rng.random_bool(0.01);
        let lag = w.rng.random_range(if slow { 50..300 } else { 1..8 });
        let writes = req.method != "GET";
        let late = (writes && w.rng.random_bool(late)).then(|| w.rng.random_range(2.0..12.0));
        (Duration::from_millis(lag), late, writes && w.rng.random_bool(lost))
    };
    sleep(lag).await;
    if let Some(late) = late {
        sleep(secs(late)).await;
        while g.w.lock().unwrap().store.down {
            sleep(Duration::from_millis(100)).await;
        }
        g.log(format!("late by {late:.1} s for n{node}: {} {}", req.method, req.path));
    } else if down(&g) {
        return Response::error(503, "trouble");
    }
    let (r, claimed) = {
        let mut w = g.w.lock().unwrap();
        let before = w.store.claims;
        let r = w.store.handle(&req);
        let claimed = w.store.claims > before;
        if claimed {
            let record = w.store.value("part/0");
            w.note_token(&record);
        }
        (r, claimed)
    };
    if claimed {
        g.log(format!("n{node} begins to lead"));
        machines::release_kept(&g);
    }
    if late.is_some() || lost {
        g.log(format!("no answer for n{node}: {} {} was {}", req.method, req.path, r.status));
        sleep(PATIENCE).await;
    }
    r
}
