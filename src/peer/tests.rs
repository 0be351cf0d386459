#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

use super::*;
use tokio::net::TcpListener;

#[tokio::test]
async fn peers_ask_and_answer_and_survive_a_silent_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, |request| async move {
        match request {
            PeerRequest::TransferHost { .. } => std::future::pending().await,
            PeerRequest::Promise { term: 3, .. } => PeerResponse::Promised,
            _ => PeerResponse::No,
        }
    }));
    let p = Peer::start("b".into(), addr, Duration::from_millis(500));
    let request = |term| PeerRequest::Promise { partition: 0, owner: "a".into(), term, for_ms: 5, state_ok: true };
    let limit = Duration::from_millis(500);
    assert_eq!(p.request(request(3), limit).await, Some(PeerResponse::Promised));
    assert_eq!(
        p.request(PeerRequest::TransferHost { partition: 0, host: "x".into(), to: 1 }, Duration::from_millis(30)).await,
        None
    );
    assert_eq!(p.request(request(4), limit).await, Some(PeerResponse::No));
}
