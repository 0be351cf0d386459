use super::*;
use std::time::Duration;
use tokio::time::advance;

const CONTROLLERS: usize = 3;
const REQUESTS_PER_S: f64 = 100.0;
const SECONDS: u64 = 10;

/// Requests that all controllers together make for users who ask them all the time.
async fn admitted(budgets: &[RequestBudget], purpose: Purpose) -> f64 {
    let mut admitted = 0;
    for _ in 0..SECONDS * 100 {
        for budget in budgets {
            admitted += (0..5).filter(|_| budget.admits(purpose)).count();
        }
        advance(Duration::from_millis(10)).await;
    }
    admitted as f64
}

fn budgets() -> Vec<RequestBudget> {
    (0..CONTROLLERS).map(|_| RequestBudget::new(REQUESTS_PER_S, CONTROLLERS)).collect()
}

/// Asserts that of the store's rate at most this share is used, but nearly that.
fn assert_share(admitted: f64, share: f64) {
    let most = REQUESTS_PER_S * share * (SECONDS as f64 + BURST_S);
    assert!(admitted <= most && admitted > 0.9 * most, "{admitted} of {most}");
}

#[tokio::test(start_paused = true)]
async fn polls_at_all_controllers_together_take_their_share_of_the_stores_rate() {
    assert_share(admitted(&budgets(), Purpose::Poll).await, 0.3);
}

#[tokio::test(start_paused = true)]
async fn submissions_and_cancellations_have_a_share_that_polls_leave_alone() {
    let budgets = budgets();
    admitted(&budgets, Purpose::Poll).await;
    assert!(!budgets[0].admits(Purpose::Poll) || !budgets[0].admits(Purpose::Poll), "polls have spent theirs");
    assert_share(admitted(&budgets, Purpose::Change).await, 0.4);
}

#[tokio::test(start_paused = true)]
async fn a_submission_can_be_accepted_without_the_leader_at_any_rate() {
    let budget = RequestBudget::new(2.0, CONTROLLERS);
    assert!(budget.admits(Purpose::Change), "the read whether the job is known");
    assert!(budget.admits_all(2, Purpose::Change), "the machine types and the commit");
    assert!(!budget.admits(Purpose::Change));
}
