//! Frames between controllers as version 0.2.0 wrote them, byte for byte.
//!
//! This version reads each recorded frame and sends the message again over a socket. The bytes must be the same,
//! including those of the length. This finds each field, variant or reason that is spelled differently on the wire,
//! regardless of its name in Rust.

use badgerdrift::model::FencingToken;
use badgerdrift::transport::peer::{Peer, PeerRequest, PeerResponse, PeerTimeouts, serve};
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const REQUESTS: &str = include_str!("../data/v0.2.0/requests.hex");
const RESPONSES: &str = include_str!("../data/v0.2.0/responses.hex");
/// The same responses, as they are sent to a controller whose frames name no format.
const RESPONSES_TO_UNNAMED: &str = include_str!("../data/v0.2.0/responses_to_unnamed.hex");

const REQUEST_COUNT: usize = 27;
const RESPONSE_COUNT: usize = 64;
/// Reasons that a controller of the previous version does not know. They are left out of responses to it.
const REASONS_LEFT_OUT_FOR_UNNAMED: [&str; 4] = [
    "user_refused_configuration_behind",
    "user_refused_controller_outdated",
    "user_refused_predecessor_elsewhere",
    "user_refused_predecessor_unclear",
];

/// Maximum time for a frame on a local connection.
const LIMIT: Duration = Duration::from_secs(10);
const LENGTH_BYTES: usize = 4;

/// Controller whose requests are answered.
#[derive(Clone, Copy)]
pub enum Asker {
    /// A controller of this version.
    Current,
    /// A controller whose frames name no format.
    Unnamed,
}

impl Asker {
    /// Returns a request of this controller with this number.
    fn request(self, number: u64) -> Vec<u8> {
        let body = json!({"Release": {"partition": 0, "term": 1}});
        let message = match self {
            Asker::Current => json!({"n": number, "body": body, "format": 1}),
            Asker::Unnamed => json!({"n": number, "body": body}),
        };
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).unwrap();
        [&(encoded.len() as u32).to_be_bytes()[..], &encoded].concat()
    }
}

/// Returns names and bytes of recorded frames. Their message numbers are their line numbers, from 1.
fn recorded(text: &str) -> Vec<(String, Vec<u8>)> {
    let frame = |line: &str| {
        let (name, digits) = line.split_once(' ').unwrap();
        (name.to_string(), bytes(digits))
    };
    text.lines().map(frame).collect()
}

fn bytes(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

pub fn hex(frame: &[u8]) -> String {
    frame.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads the next frame, and returns it including its length.
async fn next_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    stream.read_exact(&mut frame).await.unwrap();
    let length = u32::from_be_bytes(frame[..].try_into().unwrap()) as usize;
    frame.resize(LENGTH_BYTES + length, 0);
    stream.read_exact(&mut frame[LENGTH_BYTES..]).await.unwrap();
    frame
}

/// Returns a peer and the listener to which it connects at its first request.
async fn listened_peer() -> (Peer, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (Peer::start("worker-1".into(), addr, PeerTimeouts::for_leader_lease(LIMIT.as_millis() as u64)), listener)
}

/// Returns the frames in which a controller of this version sends these requests, one after the other.
pub async fn request_frames_on_socket(requests: Vec<PeerRequest>) -> Vec<Vec<u8>> {
    let (peer, listener) = listened_peer().await;
    let count = requests.len();
    let asking = tokio::spawn(async move {
        for request in requests {
            peer.request(request, LIMIT).await;
        }
    });
    let mut stream = listener.accept().await.unwrap().0;
    let mut frames = Vec::new();
    for number in 1..=count {
        frames.push(next_frame(&mut stream).await);
        stream.write_all(&answer_no(number)).await.unwrap();
    }
    asking.await.unwrap();
    frames
}

/// Returns the frame of a refusal of the request with this number.
fn answer_no(number: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    ciborium::into_writer(&json!({"n": number, "body": "No", "format": 1}), &mut encoded).unwrap();
    [&(encoded.len() as u32).to_be_bytes()[..], &encoded].concat()
}

/// Starts a controller of this version that gives these responses in turn. Returns a connection to it and the requests
/// that it receives.
async fn serving(responses: Vec<PeerResponse>) -> (TcpStream, mpsc::UnboundedReceiver<PeerRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let next = Arc::new(Mutex::new(VecDeque::from(responses)));
    let (asked, asked_rx) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, move |request, _| {
        let _ = asked.send(request);
        let response = next.lock().unwrap().pop_front().unwrap();
        async move { response }
    }));
    (TcpStream::connect(addr).await.unwrap(), asked_rx)
}

/// Returns the frames in which a controller of this version sends these responses to the asker.
pub async fn response_frames_on_socket(responses: Vec<PeerResponse>, asker: Asker) -> Vec<Vec<u8>> {
    let count = responses.len() as u64;
    let (mut stream, _asked) = serving(responses).await;
    let mut frames = Vec::new();
    for number in 1..=count {
        stream.write_all(&asker.request(number)).await.unwrap();
        frames.push(next_frame(&mut stream).await);
    }
    frames
}

/// Returns the requests that a controller of this version reads from these frames.
async fn read_requests(frames: &[(String, Vec<u8>)]) -> Vec<PeerRequest> {
    let (mut stream, mut asked) = serving(vec![PeerResponse::Rejected; frames.len()]).await;
    let mut requests = Vec::new();
    for (name, frame) in frames {
        stream.write_all(frame).await.unwrap();
        // A request of an unknown kind is answered, but not passed to the handler.
        next_frame(&mut stream).await;
        requests.push(asked.try_recv().unwrap_or_else(|_| panic!("the frame {name} was not read")));
    }
    requests
}

/// Returns the responses that a controller of this version reads from these frames.
async fn read_responses(frames: &[(String, Vec<u8>)]) -> Vec<PeerResponse> {
    let (peer, listener) = listened_peer().await;
    let script: Vec<Vec<u8>> = frames.iter().map(|(_, frame)| frame.clone()).collect();
    tokio::spawn(async move {
        let mut stream = listener.accept().await.unwrap().0;
        for frame in script {
            next_frame(&mut stream).await;
            stream.write_all(&frame).await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    let mut responses = Vec::new();
    for (name, _) in frames {
        let response =
            peer.request(PeerRequest::ReleasePledge { partition: 0, fencing_token: FencingToken(1) }, LIMIT).await;
        responses.push(response.unwrap_or_else(|| panic!("the frame {name} was not read")));
    }
    responses
}

/// Asserts that these frames equal the recorded ones.
fn assert_same(sent: &[Vec<u8>], expected: &[(String, Vec<u8>)]) {
    assert_eq!(sent.len(), expected.len());
    for (frame, (name, recorded)) in sent.iter().zip(expected) {
        assert_eq!(hex(frame), hex(recorded), "{name}");
    }
}

#[tokio::test]
async fn requests_of_0_2_0_are_read_and_sent_again_byte_for_byte() {
    let frames = recorded(REQUESTS);
    assert_eq!(frames.len(), REQUEST_COUNT);
    assert_same(&request_frames_on_socket(read_requests(&frames).await).await, &frames);
}

#[tokio::test]
async fn responses_of_0_2_0_are_read_and_sent_again_byte_for_byte() {
    let frames = recorded(RESPONSES);
    assert_eq!(frames.len(), RESPONSE_COUNT);
    assert_same(&response_frames_on_socket(read_responses(&frames).await, Asker::Current).await, &frames);
}

#[tokio::test]
async fn responses_to_a_controller_that_names_no_format_are_those_of_0_2_0() {
    let responses = read_responses(&recorded(RESPONSES)).await;
    assert_same(&response_frames_on_socket(responses, Asker::Unnamed).await, &recorded(RESPONSES_TO_UNNAMED));
}

#[test]
fn only_unknown_reasons_are_left_out_for_a_controller_that_names_no_format() {
    let (current, unnamed) = (recorded(RESPONSES), recorded(RESPONSES_TO_UNNAMED));
    let differing = current.iter().zip(&unnamed).filter(|(current, unnamed)| current != unnamed);
    let names: BTreeSet<&str> = differing.map(|(current, _)| current.0.as_str()).collect();
    assert_eq!(names, BTreeSet::from(REASONS_LEFT_OUT_FOR_UNNAMED));
}

#[test]
fn recorded_frames_have_the_length_in_their_header_and_distinct_names() {
    for text in [REQUESTS, RESPONSES, RESPONSES_TO_UNNAMED] {
        let frames = recorded(text);
        let names: BTreeSet<&String> = frames.iter().map(|(name, _)| name).collect();
        assert_eq!(names.len(), frames.len());
        for (name, frame) in &frames {
            let length = u32::from_be_bytes(frame[..LENGTH_BYTES].try_into().unwrap()) as usize;
            assert_eq!(length, frame.len() - LENGTH_BYTES, "{name}");
        }
    }
}
