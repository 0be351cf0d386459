//! Tests of the connections between controllers.

#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

use super::*;
use crate::model::FencingToken;
use crate::transport::frame_format::FrameFormat;
use crate::transport::network::{BoxFuture, Listener, Net, Network, ReadHalf, Stream, WriteHalf};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn requests_are_answered_before_and_after_one_without_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, |request, _| async move {
        match request {
            PeerRequest::TransferHost { .. } => std::future::pending().await,
            PeerRequest::Pledge { fencing_token: FencingToken(3), .. } => PeerResponse::Accepted,
            _ => PeerResponse::Rejected,
        }
    }));
    let peer = Peer::start("b".into(), addr, PeerTimeouts::for_leader_lease(2000));
    let request = |fencing_token| PeerRequest::Pledge {
        partition: 0,
        leader: "a".into(),
        fencing_token: FencingToken(fencing_token),
        for_ms: 5,
        state_ok: true,
    };
    let timeout = Duration::from_millis(500);
    assert_eq!(peer.request(request(3), timeout).await, Some(PeerResponse::Accepted));
    assert_eq!(
        peer.request(PeerRequest::TransferHost { partition: 0, host: "x".into(), to: 1 }, Duration::from_millis(30))
            .await,
        None
    );
    assert_eq!(peer.request(request(4), timeout).await, Some(PeerResponse::Rejected));
}

/// In-memory connection.
struct MemoryStream(DuplexStream);

impl AsyncRead for MemoryStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for MemoryStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Stream for MemoryStream {
    fn is_closed(&self) -> bool {
        false
    }

    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf) {
        let (read, write) = tokio::io::split(self.0);
        (Box::new(read), Box::new(write))
    }
}

/// Network with one peer, which accepts connections after a fixed delay or, with `None`, never.
struct ScriptedNetwork {
    connect_after: Option<Duration>,
    accepted: mpsc::UnboundedSender<DuplexStream>,
}

/// Connections that the peer has accepted and does not serve yet.
pub struct Accepted(Mutex<mpsc::UnboundedReceiver<DuplexStream>>);

impl Network for ScriptedNetwork {
    fn connect(&self, _: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async {
            match self.connect_after {
                Some(time) => sleep(time).await,
                None => std::future::pending().await,
            }
            let (near, far) = duplex(1 << 20);
            let _ = self.accepted.send(far);
            Ok(Box::new(MemoryStream(near)) as Box<dyn Stream>)
        })
    }

    fn bind(&self, _: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>> {
        Box::pin(std::future::pending())
    }
}

impl Listener for Accepted {
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async {
            match self.0.lock().await.recv().await {
                Some(stream) => Ok(Box::new(MemoryStream(stream)) as Box<dyn Stream>),
                None => std::future::pending().await,
            }
        })
    }
}

impl Accepted {
    /// Returns the number of connections that are not served yet.
    fn count(&self) -> usize {
        self.0.try_lock().unwrap().len()
    }
}

/// Duration of a leader lease, in milliseconds, in these tests.
pub const LEASE_TTL_MS: u64 = 2500;

/// Starts the client of a peer "b"; returns it with the connections that the peer accepts and does not serve.
pub fn scripted_peer(connect_after: Option<Duration>) -> (Peer, Accepted) {
    let (accepted, rx) = mpsc::unbounded_channel();
    let net = Net::new(ScriptedNetwork { connect_after, accepted });
    let addr = "127.0.0.1:1".parse().unwrap();
    let peer = Peer::start_on(net, "b".into(), addr, PeerTimeouts::for_leader_lease(LEASE_TTL_MS));
    (peer, Accepted(Mutex::new(rx)))
}

fn release_request(fencing_token: u64) -> PeerRequest {
    PeerRequest::ReleasePledge { partition: 0, fencing_token: FencingToken(fencing_token) }
}

fn status_request() -> PeerRequest {
    PeerRequest::User { partition: 0, call: UserCall::Status("run-000001".into()) }
}

fn spawn_request(
    peer: &Peer,
    request: PeerRequest,
    timeout: Duration,
) -> tokio::task::JoinHandle<Option<PeerResponse>> {
    let peer = peer.clone();
    tokio::spawn(async move { peer.request(request, timeout).await })
}

/// Accepts each pledge release after a delay of as many milliseconds as its fencing token.
async fn accept_after_token_milliseconds(request: PeerRequest, _: FrameFormat) -> PeerResponse {
    if let PeerRequest::ReleasePledge { fencing_token, .. } = request {
        sleep(Duration::from_millis(fencing_token.0)).await;
    }
    PeerResponse::Accepted
}

// Guards against requests that each wait for the failed connection attempts of the requests before them.
#[tokio::test(start_paused = true)]
async fn concurrent_requests_fail_after_one_connect_timeout_if_connecting_hangs() {
    let (peer, _accepted) = scripted_peer(None);
    let started = Instant::now();
    let requests: Vec<_> = (0..5).map(|_| spawn_request(&peer, release_request(0), Duration::from_secs(10))).collect();
    for request in requests {
        assert_eq!(request.await.unwrap(), None);
    }
    let connect_timeout = PeerTimeouts::for_leader_lease(LEASE_TTL_MS).connect;
    assert!(started.elapsed() < connect_timeout + Duration::from_millis(50), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn requests_are_sent_once_the_connection_is_open() {
    let (peer, accepted) = scripted_peer(Some(Duration::from_millis(300)));
    tokio::spawn(serve(accepted, accept_after_token_milliseconds));
    let requests: Vec<_> = (0..5).map(|_| spawn_request(&peer, release_request(0), Duration::from_secs(1))).collect();
    for request in requests {
        assert_eq!(request.await.unwrap(), Some(PeerResponse::Accepted));
    }
}

// Guards against the loss of a pledge request when a submission on the same connection is cancelled.
#[tokio::test(start_paused = true)]
async fn a_cancelled_request_does_not_cancel_others_on_its_connection() {
    let (peer, accepted) = scripted_peer(Some(Duration::ZERO));
    tokio::spawn(serve(accepted, accept_after_token_milliseconds));
    let slow = spawn_request(&peer, release_request(200), Duration::from_millis(500));
    assert_eq!(peer.request(release_request(5000), Duration::from_millis(100)).await, None);
    assert_eq!(slow.await.unwrap(), Some(PeerResponse::Accepted));
}

// A network partition may hold back the data sent on a connection even after the partition has healed.
#[tokio::test(start_paused = true)]
async fn a_connection_is_replaced_after_a_request_without_any_response_on_it() {
    let (peer, accepted) = scripted_peer(Some(Duration::ZERO));
    for connections in 1..4 {
        assert_eq!(peer.request(release_request(0), Duration::from_millis(100)).await, None);
        assert_eq!(accepted.count(), connections);
    }
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_kept_after_a_cancelled_request_if_it_receives_responses() {
    let (peer, accepted) = scripted_peer(Some(Duration::ZERO));
    let (opened, (forward, forwarded)) = (Arc::new(AtomicUsize::new(0)), mpsc::unbounded_channel());
    let count = opened.clone();
    tokio::spawn(async move {
        while let Some(stream) = accepted.0.lock().await.recv().await {
            count.fetch_add(1, Ordering::Relaxed);
            let _ = forward.send(stream);
        }
    });
    tokio::spawn(serve(Accepted(Mutex::new(forwarded)), accept_after_token_milliseconds));
    let cancelled = spawn_request(&peer, release_request(5000), Duration::from_millis(100));
    sleep(Duration::from_millis(10)).await;
    for _ in 0..3 {
        assert_eq!(peer.request(release_request(50), Duration::from_millis(400)).await, Some(PeerResponse::Accepted));
    }
    assert_eq!(cancelled.await.unwrap(), None);
    assert_eq!(peer.request(release_request(50), Duration::from_millis(400)).await, Some(PeerResponse::Accepted));
    assert_eq!(opened.load(Ordering::Relaxed), 1);
}

#[tokio::test(start_paused = true)]
async fn user_requests_fail_at_once_while_the_peer_is_unresponsive() {
    let (peer, accepted) = scripted_peer(Some(Duration::ZERO));
    let timeout = Duration::from_millis(500);
    for _ in 0..2 {
        assert!(!peer.health.is_unresponsive());
        assert_eq!(peer.request(status_request(), timeout).await, None);
    }
    assert!(peer.health.is_unresponsive());
    let started = Instant::now();
    for _ in 0..20 {
        assert_eq!(peer.request(status_request(), timeout).await, None);
    }
    assert_eq!(started.elapsed(), Duration::ZERO);
    let connections = accepted.count();
    assert_eq!(peer.request(release_request(0), timeout).await, None);
    assert_eq!(accepted.count(), connections + 1, "a pledge release is sent although the peer is unresponsive");

    // The peer responds again: the next probe and all requests after it are answered.
    tokio::spawn(serve(accepted, accept_after_token_milliseconds));
    sleep(Duration::from_millis(PeerTimeouts::for_leader_lease(LEASE_TTL_MS).health.probe_interval_ms)).await;
    assert_eq!(peer.request(status_request(), timeout).await, Some(PeerResponse::Accepted));
    assert!(!peer.health.is_unresponsive());
    assert_eq!(peer.request(status_request(), timeout).await, Some(PeerResponse::Accepted));
}

#[tokio::test(start_paused = true)]
async fn a_peer_is_unresponsive_after_two_connect_timeouts() {
    let (peer, _accepted) = scripted_peer(None);
    for _ in 0..2 {
        assert_eq!(peer.request(status_request(), Duration::from_secs(10)).await, None);
    }
    assert!(peer.health.is_unresponsive());
}
