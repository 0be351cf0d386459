//! HTTP interface of the simulated cloud.

use super::ground::SimulationContext;
use super::machines;
use badgerdrift::transport::http::{Request, Response};
use rand::RngExt;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Answers one request of a controller to the cloud.
pub async fn cloud(context: SimulationContext, request: Request) -> Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let lag = context.world.lock().unwrap().rng.random_range(5..80);
    sleep(Duration::from_millis(lag)).await;
    if context.world.lock().unwrap().cloud_down {
        return Response::error(503, "trouble");
    }
    match (request.method.as_str(), request.path.split('?').next().unwrap()) {
        ("GET", "/flavors") => {
            let parameters = context.world.lock().unwrap().parameters.clone();
            let all: Vec<Value> = parameters
                .flavors
                .iter()
                .map(|flavor| {
                    json!({"sku": flavor.sku, "cores": flavor.cores, "cards": flavor.cards, "mem_gb": flavor.mem_gb, "cache_gb": 50.0,
                        "fetch_gb_per_s": 1.0, "rate": 1.0 + flavor.cards, "low_price": 0.4 + 0.4 * flavor.cards,
                        "startup_s": flavor.startup_s, "regions": parameters.zones})
                })
                .collect();
            Response::json(200, &json!({"flavors": all}))
        }
        ("GET", _) => {
            let query = crate::store::query(&request.path);
            let from = query.get("from").cloned().unwrap_or_default();
            let most = query.get("most").and_then(|m| m.parse().ok()).unwrap_or(500);
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
