//! Tests of the budget of requests to the state service. The controllers together must not exceed the
//! shares of the rate limit, and polls must not use up the share of submissions and cancellations.

use super::*;
use std::time::Duration;
use tokio::time::advance;

const CONTROLLERS: usize = 3;
const REQUESTS_PER_S: f64 = 100.0;
const SECONDS: u64 = 10;

/// Returns how many requests the budgets admit in [`SECONDS`] if they are asked continually.
async fn admitted(budgets: &[RequestBudget], purpose: RequestPurpose) -> f64 {
    let mut admitted = 0;
    for _ in 0..SECONDS * 100 {
        for budget in budgets {
            admitted += (0..5).filter(|_| budget.try_admit(purpose)).count();
        }
        advance(Duration::from_millis(10)).await;
    }
    admitted as f64
}

/// Returns the budgets of all controllers.
fn budgets() -> Vec<RequestBudget> {
    (0..CONTROLLERS).map(|_| RequestBudget::new(REQUESTS_PER_S, CONTROLLERS)).collect()
}

/// Asserts that the admitted requests use at most this share of the rate limit, and nearly all of it.
fn assert_share(admitted: f64, share: f64) {
    let max_requests = REQUESTS_PER_S * share * (SECONDS as f64 + BURST_S);
    assert!(admitted <= max_requests && admitted > 0.9 * max_requests, "{admitted} of {max_requests}");
}

#[tokio::test(start_paused = true)]
async fn polls_at_all_controllers_together_are_limited_to_their_share_of_the_rate() {
    assert_share(admitted(&budgets(), RequestPurpose::Poll).await, 0.3);
}

#[tokio::test(start_paused = true)]
async fn submissions_and_cancellations_keep_their_share_when_polls_use_up_theirs() {
    let budgets = budgets();
    admitted(&budgets, RequestPurpose::Poll).await;
    assert!(
        !budgets[0].try_admit(RequestPurpose::Poll) || !budgets[0].try_admit(RequestPurpose::Poll),
        "the budget of polls is used up"
    );
    assert_share(admitted(&budgets, RequestPurpose::Change).await, 0.4);
}

#[tokio::test(start_paused = true)]
async fn budget_at_a_low_rate_admits_the_acceptance_of_a_submission_without_the_leader() {
    let budget = RequestBudget::new(2.0, CONTROLLERS);
    assert!(budget.try_admit(RequestPurpose::Change), "the read that shows whether the job is known");
    assert!(budget.try_admit_all(2, RequestPurpose::Change), "the read of the instance types and the commit");
    assert!(!budget.try_admit(RequestPurpose::Change));
}
