//! Tests of the operators' file of warm pools and of the check of its machine types.

use super::settings::parse_pools;
use crate::settings::{Team, tests::settings};

const FILE: &str = r#"
model "notes" {
  version = 3
  image   = "notes-3"
  size_gb = 40
  names   = ["notes"]
}

pool "counter" {
  model  = "notes"
  payer  = "red"
  count  = 2
  cores  = 4
  cards  = 1
  mem_gb = 16
  window "office" {
    days  = ["weekdays"]
    from  = "07:30"
    to    = "17:00"
    zone  = "Pacific/Fiji"
    count = 6
  }
  exception "2026-12-25" {
    zone  = "Pacific/Fiji"
    count = 0
  }
}
"#;

#[test]
fn an_example_file_and_the_shipped_one_are_accepted() {
    let pools = parse_pools(FILE, &settings()).unwrap();
    assert_eq!((pools.pools["counter"].max_replicas(), pools.models["notes"].version), (6, 3));
    assert!(parse_pools("", &settings()).unwrap().pools.is_empty());
    let mut fleet_settings = settings();
    fleet_settings.params.zones = vec!["viti-levu".into(), "vanua-levu".into()];
    let team = fleet_settings.params.teams[0].clone();
    let named = |name: &str| Team { name: name.into(), gpus_max: 350.0, ..team.clone() };
    fleet_settings.params.teams = vec![named("valuers"), named("objections")];
    let shipped = parse_pools(include_str!("../../deploy/warm-pools.hcl"), &fleet_settings).unwrap();
    assert_eq!(shipped.pools["counter"].max_replicas(), 4);
}

#[test]
fn an_invalid_file_is_refused_with_field_and_reason_in_one_line() {
    for (from, to, expected) in [
        ("payer  = \"red\"", "payer  = \"nobody\"", "pool.counter.payer: there is no team nobody"),
        ("count  = 2", "count  = -2", "-2"),
        ("count  = 2", "counts = 2", "counts"),
        ("count  = 2", "count  = 40", "pool.counter.count: 40 replicas are more than the limit of red"),
        (
            "to    = \"17:00\"",
            "to    = \"07:00\"",
            "pool.counter.window.office.to: the window ends at 07:00 before it begins",
        ),
        ("zone  = \"Pacific/Fiji\"\n    count = 6", "zone  = \"Fiji/Pacific\"\n    count = 6", "there is no time zone"),
        ("pool \"counter\" {", "pool \"counter\" {}\npool \"counter\" {", "pool.counter: there are two of this name"),
    ] {
        assert!(FILE.contains(from), "{from}");
        let refused = parse_pools(&FILE.replace(from, to), &settings()).unwrap_err().to_string();
        assert!(refused.contains(expected) && !refused.contains('\n'), "{refused}");
    }
}

// A slot and its bills are written in one commit. Guards against a start with a state service whose
// commits are too small for that, which would fail only at the first charge.
#[test]
fn a_state_service_with_commits_too_small_for_a_slot_and_its_bills_is_refused() {
    let mut settings_with_small_commits = settings();
    settings_with_small_commits.params.state.txn_ops = 5;
    let refused = parse_pools(FILE, &settings_with_small_commits).unwrap_err().to_string();
    assert!(refused.starts_with("params.state.txn_ops: "), "{refused}");
}

mod machine_types {
    use super::super::check_machine_types;
    use super::{FILE, parse_pools, settings};
    use crate::transport::http::{self, Response};
    use crate::transport::network::Net;
    use serde_json::{Value, json};
    use std::net::SocketAddr;
    use std::time::Duration;
    use tokio::net::TcpListener;

    /// Starts a server that gives every request this answer, or never answers, and returns its address.
    #[expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]
    async fn server(answer: Option<Value>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = move |_| {
            let answer = answer.clone();
            async move {
                match answer {
                    Some(body) => Response::json(200, &body),
                    None => std::future::pending().await,
                }
            }
        };
        tokio::spawn(http::serve(listener, 8, Duration::from_secs(5), handler));
        address
    }

    fn machine_type(name: &str) -> Value {
        json!({"sku": name, "cores": 32.0, "cards": 8.0, "mem_gb": 256.0, "cache_gb": 100.0, "fetch_gb_per_s": 1.0,
            "rate": 10.0, "low_price": 4.0, "startup_s": 30.0, "regions": ["a"]})
    }

    fn cloud_with(names: &[&str]) -> Option<Value> {
        let types: Vec<Value> = names.iter().map(|name| machine_type(name)).collect();
        Some(json!({ "flavors": types }))
    }

    fn state_with(name: &str) -> Option<Value> {
        let stored = crate::control::partition::tests::instance_type();
        let stored = crate::model::InstanceType { name: name.into(), ..stored };
        Some(json!({"items": [{"path": "flavors", "data": [stored], "stamp": 1}], "more": false, "epoch": 1}))
    }

    async fn check(cloud: Option<Value>, state: Option<Value>) -> Result<(), String> {
        let mut settings = settings();
        settings.params.workers.report_s = 0.3;
        settings.endpoints.cloud = server(cloud).await;
        settings.endpoints.state = server(state).await;
        let file = FILE.replace("mem_gb = 16", "mem_gb = 16\n  machines = [\"g8\"]");
        let pools = parse_pools(&file, &settings).unwrap();
        check_machine_types(&Net::default(), &settings, &pools).await.map_err(|error| error.to_string())
    }

    // Guards against a controller that starts with a misspelt machine type, of which the operator learns
    // only from its log.
    #[tokio::test]
    async fn an_unknown_machine_type_is_refused_with_its_field() {
        let refused = check(cloud_with(&["g4"]), state_with("c8")).await;
        assert_eq!(refused.unwrap_err(), "pool.counter.machines: there is no machine type g8");
        assert_eq!(check(cloud_with(&["g4", "g8"]), state_with("c8")).await, Ok(()));
    }

    // Guards against a refused restart of a controller when the cloud has dropped a machine type, or when the
    // cloud or the state service is down.
    #[tokio::test]
    async fn a_dropped_machine_type_or_a_missing_list_is_accepted() {
        assert_eq!(check(cloud_with(&["g4"]), state_with("g8")).await, Ok(()), "the cloud has dropped it");
        assert_eq!(check(None, state_with("c8")).await, Ok(()));
        assert_eq!(check(cloud_with(&["g4"]), None).await, Ok(()));
    }
}
