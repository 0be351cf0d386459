use super::*;
use tokio::time::Instant;

// The state service's time-outs add up to more where several calls follow each other.
#[tokio::test(start_paused = true)]
async fn an_answer_comes_before_its_user_has_given_up() {
    let start = Instant::now();
    assert_eq!(in_time(std::future::pending()).await.status, 503);
    assert_eq!(start.elapsed(), MAX_USER_WAIT);
    assert!(MAX_USER_WAIT < Duration::from_secs(5));
    assert_eq!(in_time(async { Response::later(SLOW) }).await.status, 503);
}
