//! Tests of the settings, and example settings for the tests of other modules.

use super::*;

/// Returns the text of a valid settings file, with unknown fields.
pub fn example() -> String {
    r#"
node = "n0"
site = "a"
serve_on = "127.0.0.1:8080"
internal_addr = "127.0.0.1:8081"
novelty = 3
[[seeds]]
node = "n1"
site = "b"
endpoint = "127.0.0.1:9081"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
nodes = 2
zones = ["a", "b"]
time_bound_ms = 25.0
[[params.teams]]
name = "red"
gpus = 8.0
gpus_max = 16.0
[[params.teams]]
name = "blue"
gpus = 4.0
gpus_max = 0.0
[[params.objectives]]
kind = "wait"
class = "chat"
within_s = 2.0
share = 0.9
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 32
[params.cloud]
rps = 6.0
list_lag_s = 4.0
[params.limits]
core_share = 0.12
memory_mb = 56.0
max_sockets = 800
"#
    .to_string()
}

/// Returns the settings of [`example`].
pub fn settings() -> Settings {
    toml::from_str(&example()).unwrap()
}

#[test]
fn unknown_fields_are_ignored_and_the_error_names_the_invalid_field() {
    check_settings(&settings()).unwrap();
    let mut invalid = settings();
    invalid.params.workers.lease_s = f64::NAN;
    assert!(check_settings(&invalid).unwrap_err().to_string().contains("lease_s"));
    let mut invalid = settings();
    invalid.site = "elsewhere".into();
    assert!(check_settings(&invalid).unwrap_err().to_string().starts_with("site"));
    let mut invalid = settings();
    invalid.params.teams[0].gpus = 99.0;
    assert!(check_settings(&invalid).unwrap_err().to_string().contains("gpus of red"));
}

#[test]
fn later_limits_of_the_state_store_are_checked_like_the_present_limits() {
    let with_later_limits = |table: &str| {
        let text = example().replace("[params.cloud]", &format!("[params.state.next]\n{table}\n[params.cloud]"));
        toml::from_str::<Settings>(&text)
            .map_err(|error| error.to_string())
            .and_then(|settings| check_settings(&settings).map(|()| settings).map_err(|error| error.to_string()))
    };
    let accepted = with_later_limits("write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4").unwrap();
    assert_eq!(accepted.write_limits().commit_changes, 4);
    assert_eq!(with_later_limits("").unwrap().write_limits(), settings().write_limits());
    for (invalid, field) in [
        ("value_kb = 0.0", "value_kb"),
        ("write_rps = -1.0", "write_rps"),
        ("rps = nan", "rps"),
        ("txn_ops = 1", "txn_ops"),
    ] {
        let error = with_later_limits(invalid).unwrap_err();
        assert!(error.starts_with(&format!("params.state.next.{field}: ")), "{error}");
    }
    assert!(with_later_limits("txn_ops = \"four\"").is_err());
}

#[test]
fn unknown_and_invalid_operator_settings_are_refused() {
    let operator: OperatorSettings = hcl::from_str("bin_width_s = 2").unwrap();
    assert_eq!(operator.bin_width_s, 2.0);
    assert!(hcl::from_str::<OperatorSettings>("bin_widht_s = 2").is_err());
    assert!(check_operator(&OperatorSettings { headroom: -1.0, ..OperatorSettings::default() }).is_err());
}

#[test]
fn the_number_of_partitions_is_also_read_under_its_earlier_name() {
    for name in ["partitions", "parts"] {
        let operator: OperatorSettings = hcl::from_str(&format!("{name} = 3\n")).unwrap();
        assert_eq!(operator.partitions, 3, "{name}");
    }
}
