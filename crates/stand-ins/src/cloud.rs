//! HTTP interface of the simulated cloud.

use super::ground::SimulationContext;
use super::machines;
use badgerdrift::transport::http::{Request, Response};
use rand::RngExt;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Answers one request of a controller to the cloud.
pub async fn cloud(context: SimulationContext, req: Request) -> Response {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let lag = context.world.lock().unwrap().rng.random_range(5..80);
    sleep(Duration::from_millis(lag)).await;
    if context.world.lock().unwrap().cloud_down {
        return Response::error(503, "trouble");
    }
    match (req.method.as_str(), req.path.split('?').next().unwrap()) {
        ("GET", "/flavors") => {
            let parameters = context.world.lock().unwrap().parameters.clone();
            let all: Vec<Value> = parameters
                .flavors
                .iter()
                .map(|f| {
                    json!({"sku": f.sku, "cores": f.cores, "cards": f.cards, "mem_gb": f.mem_gb, "cache_gb": 50.0,
                        "fetch_gb_per_s": 1.0, "rate": 1.0 + f.cards, "low_price": 0.4 + 0.4 * f.cards,
                        "startup_s": f.startup_s, "regions": parameters.zones})
                })
                .collect();
            Response::json(200, &json!({"flavors": all}))
        }
        ("GET", _) => {
            let q = crate::store::query(&req.path);
            let from = q.get("from").cloned().unwrap_or_default();
            let most = q.get("most").and_then(|m| m.parse().ok()).unwrap_or(500);
            Response::json(200, &context.world.lock().unwrap().list(&from, most))
        }
        (_, "/hosts") => {
            let (all, new) = context.world.lock().unwrap().rent(&body);
            new.into_iter().for_each(|id| machines::boot(&context, id));
            match all {
                Some(hosts) => Response::json(200, &json!({"hosts": hosts})),
                None => Response::error(503, "no capacity"),
            }
        }
        _ => {
            for id in body["hosts"].as_array().unwrap().iter().filter_map(Value::as_str) {
                machines::remove(&context, id, "is released");
            }
            Response::json(200, &json!({}))
        }
    }
}
