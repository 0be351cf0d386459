//! Frames exchanged with controllers of the version in production.

use badgerdrift::api::refusal::RefusalReason;
use badgerdrift::model::FencingToken;
use badgerdrift::transport::frame_format::FrameFormat;
use badgerdrift::transport::peer::{
    CapacityReport, MachineGroup, Peer, PeerRequest, PeerResponse, PeerTimeouts, UserCall, serve,
};
use badgerdrift_stand_ins::production_format as production;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const LIMIT: Duration = Duration::from_secs(2);

/// Returns the frames that the version in production sent, in the order of the file.
fn recorded(text: &str) -> Vec<Vec<u8>> {
    let byte = |hex: &[u8]| u8::from_str_radix(std::str::from_utf8(hex).unwrap(), 16).unwrap();
    text.lines().map(|line| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(byte).collect()).collect()
}

fn machines(spot: bool, count: usize) -> MachineGroup {
    MachineGroup { instance_type: "g8".into(), zone: "a".into(), spot, count }
}

/// Returns the requests that were recorded.
fn requests() -> Vec<PeerRequest> {
    let user = |call| PeerRequest::User { partition: 0, call };
    vec![
        PeerRequest::Pledge {
            partition: 0,
            leader: "worker-0".into(),
            fencing_token: FencingToken(7),
            for_ms: 2500,
            state_ok: true,
        },
        PeerRequest::ReleasePledge { partition: 0, fencing_token: FencingToken(7) },
        user(UserCall::Submit(b"{\"id\":\"run-000412\"}".to_vec())),
        user(UserCall::Status("run-000412".into())),
        user(UserCall::Cancel("run-000412".into())),
        PeerRequest::CapacityReport(CapacityReport {
            partition: 1,
            lowest_bin: Some(9),
            assumed: 2,
            wanted: vec![machines(true, 3)],
            spare: vec!["host-000001".into()],
        }),
        PeerRequest::TransferHost { partition: 1, host: "host-000001".into(), to: 2 },
    ]
}

fn refused(reason: RefusalReason) -> PeerResponse {
    let body = b"{\"error\":\"not ready\"}".to_vec();
    PeerResponse::User { status: 503, body, retry_after_s: Some(1), refusal: Some(reason) }
}

/// Returns the responses that were recorded.
fn responses() -> Vec<PeerResponse> {
    let body = b"{\"id\":\"run-000412\",\"phase\":\"pending\"}".to_vec();
    vec![
        PeerResponse::Accepted,
        PeerResponse::Rejected,
        PeerResponse::PendingMachines { pending_machines: vec![machines(false, 1)], refused: vec![] },
        PeerResponse::User { status: 200, body, retry_after_s: None, refusal: None },
        refused(RefusalReason::EndBeingRecorded),
    ]
}

/// Reads the next frame, and returns its content without the length.
async fn next_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.unwrap();
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body).await.unwrap();
    body
}

/// Returns the frame of this value.
fn encoded(value: &Value) -> Vec<u8> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body).unwrap();
    [&(body.len() as u32).to_be_bytes()[..], &body].concat()
}

fn decoded<T: DeserializeOwned>(body: &[u8]) -> production::Numbered<T> {
    ciborium::from_reader(body).unwrap()
}

/// Starts a controller of this version that gives these responses in turn. Returns a connection to it and the requests
/// that it receives.
async fn serving(responses: Vec<PeerResponse>) -> (TcpStream, mpsc::UnboundedReceiver<(PeerRequest, FrameFormat)>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let next = Arc::new(Mutex::new(VecDeque::from(responses)));
    let (asked, asked_rx) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, move |request, format| {
        asked.send((request, format)).unwrap();
        let response = next.lock().unwrap().pop_front().unwrap();
        async move { response }
    }));
    (TcpStream::connect(addr).await.unwrap(), asked_rx)
}

/// Sends one request for each of these answers to a peer that gives them. Returns the peer and the responses read from
/// the answers.
async fn asking(answers: Vec<Vec<u8>>) -> (Peer, Vec<Option<PeerResponse>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    let peer = Peer::start("worker-1".into(), addr, PeerTimeouts::for_leader_lease(4000));
    let script = answers.clone();
    tokio::spawn(async move {
        let mut stream = listener.accept().await.unwrap().0;
        for answer in script {
            next_frame(&mut stream).await;
            stream.write_all(&answer).await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    let mut received = Vec::new();
    for _ in answers {
        received.push(
            peer.request(PeerRequest::ReleasePledge { partition: 0, fencing_token: FencingToken(1) }, LIMIT).await,
        );
    }
    (peer, received)
}

/// Returns a recorded response with the number of its request replaced.
fn renumbered(frame: &[u8], number: u8) -> Vec<u8> {
    // The frame is a map of two entries, the first of which is `n`. Its number follows the four bytes of the length and
    // three bytes of the map.
    assert_eq!(&frame[4..7], b"\xa2\x61n");
    let mut frame = frame.to_vec();
    frame[7] = number;
    frame
}

#[tokio::test]
async fn requests_of_the_version_in_production_are_read_and_show_its_format() {
    let (mut stream, mut asked) = serving(vec![PeerResponse::Accepted; requests().len()]).await;
    for (frame, request) in recorded(include_str!("../data/production/requests.hex")).iter().zip(requests()) {
        stream.write_all(frame).await.unwrap();
        assert_eq!(asked.recv().await.unwrap(), (request, FrameFormat::UNVERSIONED));
        let answer = decoded::<production::PeerResponse>(&next_frame(&mut stream).await);
        assert_eq!(answer.body, production::PeerResponse::Promised);
    }
}

#[tokio::test]
async fn responses_of_the_version_in_production_are_read_and_show_its_format() {
    let frames = recorded(include_str!("../data/production/responses.hex"));
    let answers = frames.iter().zip(1..).map(|(frame, number)| renumbered(frame, number)).collect();
    let (peer, received) = asking(answers).await;
    assert_eq!(received, responses().into_iter().map(Some).collect::<Vec<_>>());
    assert!(peer.format.is_earlier_version() && !peer.format.is_current());
}

#[tokio::test]
async fn the_version_in_production_reads_the_requests_of_this_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer::start("worker-1".into(), listener.local_addr().unwrap(), PeerTimeouts::for_leader_lease(4000));
    assert!(!peer.format.is_earlier_version(), "a peer that has not answered must not count as old");
    let asked = peer.clone();
    tokio::spawn(async move {
        for request in requests() {
            asked.request(request, LIMIT).await;
        }
    });
    let mut stream = listener.accept().await.unwrap().0;
    for (frame, number) in recorded(include_str!("../data/production/requests.hex")).iter().zip(1..) {
        let request = decoded::<production::PeerRequest>(&next_frame(&mut stream).await);
        assert_eq!(request, decoded(&frame[4..]));
        stream.write_all(&encoded(&json!({"n": number, "body": "No"}))).await.unwrap();
    }
}

#[tokio::test]
async fn the_version_in_production_reads_the_responses_of_this_one() {
    let (mut stream, _asked) = serving(responses()).await;
    let request = &recorded(include_str!("../data/production/requests.hex"))[0];
    for frame in recorded(include_str!("../data/production/responses.hex")) {
        stream.write_all(request).await.unwrap();
        let response = decoded::<production::PeerResponse>(&next_frame(&mut stream).await);
        assert_eq!(response, decoded(&frame[4..]));
    }
}

// The version in production closes a connection on which it receives an unknown reason.
#[tokio::test]
async fn a_new_reason_is_sent_only_to_peers_that_know_it() {
    let new =
        [RefusalReason::ControllerOutdated, RefusalReason::DependencyElsewhere, RefusalReason::DependencyIndeterminate];
    let (mut stream, _asked) = serving(new.into_iter().chain(new).map(refused).collect()).await;
    let from_old = &recorded(include_str!("../data/production/requests.hex"))[0];
    for _ in new {
        stream.write_all(from_old).await.unwrap();
        match decoded::<production::PeerResponse>(&next_frame(&mut stream).await).body {
            production::PeerResponse::User { status, refusal, .. } => assert_eq!((status, refusal), (503, None)),
            other => panic!("{other:?}"),
        }
    }
    let current = encoded(&json!({"n": 9, "format": 1, "body": {"Release": {"partition": 0, "term": 1}}}));
    for reason in new {
        stream.write_all(&current).await.unwrap();
        let response: ciborium::Value = ciborium::from_reader(next_frame(&mut stream).await.as_slice()).unwrap();
        assert!(format!("{response:?}").contains(&reason.label()), "{response:?}");
    }
}

#[tokio::test]
async fn a_request_of_an_unknown_kind_is_refused_and_the_connection_stays() {
    let (mut stream, mut asked) = serving(vec![PeerResponse::Accepted]).await;
    let unknown = encoded(&json!({"n": 5, "format": 2, "body": {"Rebalance": {"partition": 0}}}));
    stream.write_all(&unknown).await.unwrap();
    let refusal = decoded::<production::PeerResponse>(&next_frame(&mut stream).await);
    assert_eq!((refusal.n, refusal.body), (5, production::PeerResponse::No));
    stream.write_all(&recorded(include_str!("../data/production/requests.hex"))[1]).await.unwrap();
    assert_eq!(
        asked.recv().await.unwrap().0,
        PeerRequest::ReleasePledge { partition: 0, fencing_token: FencingToken(7) }
    );
}

#[tokio::test]
async fn an_unknown_reason_is_read_as_none_and_an_unknown_response_as_a_refusal() {
    let answer = |number: u64, body: Value| encoded(&json!({"n": number, "format": 2, "body": body}));
    let user = json!({"User": {"status": 503, "body": b"{}", "retry_after_s": 1, "refusal": "too_many_moons"}});
    let answers = vec![answer(1, user), answer(2, json!("Maybe"))];
    let (peer, received) = asking(answers).await;
    let expected = PeerResponse::User { status: 503, body: b"{}".to_vec(), retry_after_s: Some(1), refusal: None };
    assert_eq!(received, [Some(expected), Some(PeerResponse::Rejected)]);
    assert!(peer.format.is_current(), "a later version must count as current");
}
