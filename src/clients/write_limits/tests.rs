//! Tests of the limits of writes.

use super::*;
use crate::control::partition::tests::job_submission;
use crate::model::Dependencies;
use crate::settings::tests::settings;
use crate::settings::{NextStateLimits, StateLimits};
use crate::wire;

/// Announced limits, which are smaller than the present ones.
const NEXT: NextStateLimits =
    NextStateLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(4) };

/// Returns settings with fixed present limits and the given announced ones.
fn limits(next: Option<NextStateLimits>) -> StateLimits {
    StateLimits { rps: 100.0, write_rps: 20.0, value_kb: 8.0, txn_ops: 12, next }
}

/// Returns a job without dependencies.
fn spec() -> Spec {
    wire::parse_submission(&job_submission("run-000001", "batch", 4)).unwrap()
}

#[test]
fn values_and_commits_respect_the_smaller_announced_limits_but_the_rate_is_the_present_one() {
    let limits = WriteLimits::new(&limits(Some(NEXT)));
    assert!(limits.fits_value(1900) && !limits.fits_value(2048));
    assert_eq!((limits.commit_changes, limits.changes_per_s, limits.lower_changes_per_s), (4, 18.0, 13.5));
}

// The larger limits may not be in force yet.
#[test]
fn larger_announced_limits_have_no_effect() {
    let grown = NextStateLimits { rps: None, write_rps: Some(50.0), value_kb: Some(64.0), txn_ops: Some(40) };
    assert_eq!(WriteLimits::new(&limits(Some(grown))), WriteLimits::new(&limits(None)));
}

#[test]
fn job_with_32_dependencies_with_the_longest_ids_fits_under_the_smaller_limit() {
    let limits = WriteLimits::new(&limits(Some(NEXT)));
    let refusal_with = |count: u64| {
        let ids = (0..count).map(|number| format!("run-{number:020}"));
        limits.job_refusal(&Spec { dependencies: Dependencies::new(ids), ..spec() })
    };
    assert_eq!(refusal_with(32), None);
    assert!(refusal_with(2000).is_some_and(|refusal| refusal.starts_with("waits_on: ")));
    let long_image = Spec { image: "i".repeat(4000), ..spec() };
    assert!(limits.job_refusal(&long_image).is_some_and(|refusal| refusal.starts_with("bundle: ")));
}

#[test]
fn value_limit_leaves_spare_bytes_for_longer_spellings_of_numbers() {
    let settings = settings();
    let present = (settings.params.state.value_kb * 1024.0) as usize;
    assert!(settings.write_limits().value_bytes < present);
}
