//! Tests of the limits of writes.

use super::*;
use crate::control::partition::tests::body;
use crate::model::Dependencies;
use crate::settings::tests::settings;
use crate::settings::{NextStateLimits, StateLimits};
use crate::wire;

const NEXT: NextStateLimits =
    NextStateLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(4) };

fn limits(next: Option<NextStateLimits>) -> StateLimits {
    StateLimits { rps: 100.0, write_rps: 20.0, value_kb: 8.0, txn_ops: 12, next }
}

fn spec() -> Spec {
    wire::parse_submission(&body("run-000001", "batch", 4)).unwrap()
}

#[test]
fn values_and_commits_keep_to_the_smaller_limits_from_the_start_and_the_rate_does_not() {
    let limits = WriteLimits::new(&limits(Some(NEXT)));
    assert!(limits.takes(1900) && !limits.takes(2048));
    assert_eq!((limits.commit_changes, limits.changes_per_s, limits.lower_changes_per_s), (4, 18.0, 13.5));
}

#[test]
fn limits_that_grow_do_not_count_before_they_hold() {
    let grown = NextStateLimits { rps: None, write_rps: Some(50.0), value_kb: Some(64.0), txn_ops: Some(40) };
    assert_eq!(WriteLimits::new(&limits(Some(grown))), WriteLimits::new(&limits(None)));
}

#[test]
fn at_the_smaller_limit_a_job_may_have_at_least_32_dependencies_with_the_longest_ids() {
    let limits = WriteLimits::new(&limits(Some(NEXT)));
    let named = |count: u64| {
        let ids = (0..count).map(|number| format!("run-{number:020}"));
        limits.refuses(&Spec { dependencies: Dependencies::new(ids), ..spec() })
    };
    assert_eq!(named(32), None);
    assert!(named(2000).is_some_and(|refusal| refusal.starts_with("waits_on: ")));
    let long = Spec { image: "i".repeat(4000), ..spec() };
    assert!(limits.refuses(&long).is_some_and(|refusal| refusal.starts_with("bundle: ")));
}

#[test]
fn a_value_at_the_limit_leaves_spare_bytes_for_other_spellings_of_numbers() {
    let settings = settings();
    let present = (settings.params.state.value_kb * 1024.0) as usize;
    assert!(settings.write_limits().value_bytes < present);
}
