//! The operators' file, read as they write it.

use super::settings::parse_pools;
use crate::config::{Team, tests::settings};

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
fn a_file_is_read_and_the_one_that_is_delivered_is_sound() {
    let pools = parse_pools(FILE, &settings()).unwrap();
    assert_eq!((pools.pools["counter"].most_wanted(), pools.models["notes"].version), (6, 3));
    assert!(parse_pools("", &settings()).unwrap().pools.is_empty());
    let mut users = settings();
    users.params.zones = vec!["viti-levu".into(), "vanua-levu".into()];
    let team = users.params.teams[0].clone();
    let named = |name: &str| Team { name: name.into(), gpus_max: 350.0, ..team.clone() };
    users.params.teams = vec![named("valuers"), named("objections")];
    let delivered = parse_pools(include_str!("../../deploy/warm-pools.hcl"), &users).unwrap();
    assert_eq!(delivered.pools["counter"].most_wanted(), 4);
}

#[test]
fn bad_files_are_told_in_one_line_with_field_and_reason() {
    for (from, to, told) in [
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
        let refused = parse_pools(&FILE.replace(from, to), &settings()).unwrap_err();
        assert!(refused.contains(told) && !refused.contains('\n'), "{refused}");
    }
}

// A slot and its bills change together: a state service that can't do that is told of at once.
#[test]
fn a_state_service_with_too_small_commits_is_refused() {
    let mut small = settings();
    small.params.state.txn_ops = 5;
    let refused = parse_pools(FILE, &small).unwrap_err();
    assert!(refused.starts_with("params.state.txn_ops: "), "{refused}");
}
