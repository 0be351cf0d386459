//! The clients of the state service and the cloud against scripted servers, which return pages, refuse requests,
//! forget keys and send malformed bodies.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

use badgerdrift::clients::{Cloud, RentResult, RequestError, StateStore};
use badgerdrift::control::partition::CommitOutcome;
use badgerdrift::settings::{Settings, load_settings};
use badgerdrift::transport::http::{self, Request, Response};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// Starts a server on loopback that answers each request with `script`, and returns its address.
async fn start_scripted(script: fn(Request) -> Response) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(http::serve(listener, 10, Duration::from_secs(5), move |request| async move { script(request) }));
    addr
}

fn settings(state: SocketAddr, cloud: SocketAddr) -> Settings {
    let text = format!(
        "node = \"n\"\nsite = \"a\"\nserve_on = \"127.0.0.1:1\"\ninternal_addr = \"127.0.0.1:2\"\n\
         [endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[params]\nzones = [\"a\"]\n\
         [[params.teams]]\nname = \"red\"\n[params.workers]\nreport_s = 1.0\nlease_s = 10.0\n\
         gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 30.0\n[params.state]\nrps = 100.0\nwrite_rps = 20.0\n\
         value_kb = 8.0\ntxn_ops = 12\n[params.cloud]\nrps = 50.0\nlist_lag_s = 4.0\n[params.limits]\nmax_sockets = 100\n"
    );
    let file = std::env::temp_dir().join(format!("badgerdrift-{}-{}.toml", std::process::id(), state.port()));
    std::fs::write(&file, text).unwrap();
    let settings = load_settings(&file).unwrap();
    std::fs::remove_file(file).unwrap();
    settings
}

/// Answers of the state service.
fn state_script(request: Request) -> Response {
    let item = |key: &str| json!({"path": key, "data": {}, "stamp": 3});
    match request.path.as_str() {
        path if path.starts_with("/store?") && !path.contains("from=") => {
            Response::json(200, &json!({"items": [item("a/1"), item("a/2")], "more": true, "epoch": 9}))
        }
        path if path.starts_with("/store?") && path.contains("from=a/2") => {
            Response::json(200, &json!({"items": [item("a/3")], "more": false, "epoch": 9}))
        }
        "/store/a/1" => Response::json(200, &item("a/1")),
        "/store/none" => Response::json(404, &json!({"epoch": 9})),
        "/store/babble" => Response { body: b"{\"path\":".to_vec(), ..Response::json(200, &0) },
        "/store/busy" => Response::error(429, "too many"),
        path if path.starts_with("/changes") => Response::error(410, "too old"),
        "/commit" => Response::json(409, &json!({"failed": ["a/1"], "epoch": 9})),
        "/grants/4/extend" => Response::error(404, "no such lease"),
        _ => Response::error(503, "trouble"),
    }
}

#[tokio::test]
async fn the_state_service_client_reads_all_pages_and_distinguishes_refusals() {
    let addr = start_scripted(state_script).await;
    let state = StateStore::new(&settings(addr, addr));
    let keys: Vec<String> = state.list("a/").await.unwrap().into_iter().map(|item| item.key).collect();
    assert_eq!(keys, ["a/1", "a/2", "a/3"]);
    assert_eq!(state.get("a/1").await.unwrap().0.unwrap().version, 3);
    let (none, revision) = state.get("none").await.unwrap();
    assert!(none.is_none() && revision == 9);
    assert_eq!(state.get("babble").await.err(), Some(RequestError::Refused), "a malformed answer counts as a refusal");
    assert_eq!(
        state.get("busy").await.err(),
        Some(RequestError::Throttled),
        "429 must be distinguished from an outage"
    );
    assert_eq!(
        state.changes("a/", 1, 0).await.err(),
        Some(RequestError::NotFound),
        "410 must make the caller read the keys again"
    );
    assert_eq!(state.renew_lease(4, 2500).await, Err(RequestError::NotFound));
    assert_eq!(state.create_lease(2500).await, Err(RequestError::Refused));
    assert!(matches!(state.commit(&[], &[]).await, CommitOutcome::Conflict { failed } if failed == ["a/1"]));
}

/// Answers of the cloud.
fn cloud_script(request: Request) -> Response {
    let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    match (request.path.as_str(), body["rental"].as_str()) {
        ("/hosts", Some("full")) => Response::error(503, "no capacity"),
        ("/hosts", Some("trouble")) => Response::error(503, "trouble"),
        ("/hosts", Some("bad")) => Response::error(400, "malformed"),
        ("/hosts", Some(_)) => Response::json(200, &json!({"hosts": ["host-000001"]})),
        ("/hosts?most=500", _) => Response::json(
            200,
            &json!({"hosts": [{"id": "host-000001", "flavor": "g8", "region": "a", "phase": "starting"}], "more": true}),
        ),
        ("/hosts?from=host-000001&most=500", _) => Response::json(
            200,
            &json!({"hosts": [{"id": "host-000002", "flavor": "g8", "region": "a", "phase": "failed"}], "more": false}),
        ),
        _ => Response::error(503, "trouble"),
    }
}

#[tokio::test]
async fn the_cloud_client_retries_only_if_the_outcome_is_indeterminate() {
    let addr = start_scripted(cloud_script).await;
    let cloud = Cloud::new(&settings(addr, addr));
    assert_eq!(cloud.rent("r-1-1", "g8", "a", false, 3).await, RentResult::Rented(vec!["host-000001".into()]));
    assert_eq!(cloud.rent("full", "g8", "a", false, 3).await, RentResult::NoCapacity);
    assert_eq!(cloud.rent("bad", "g8", "a", false, 3).await, RentResult::Malformed);
    assert_eq!(cloud.rent("trouble", "g8", "a", false, 3).await, RentResult::Indeterminate);
    let list = cloud.list().await.unwrap();
    assert!(list.len() == 2 && list[0].booting() && list[1].failed());
    assert!(
        !cloud.terminate(&["host-000001".into()]).await,
        "a release that the cloud has not confirmed must be repeated"
    );
    assert!(cloud.instance_types().await.is_none());
}
