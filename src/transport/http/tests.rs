#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

use super::framing::MAX_HEAD_BYTES;
use super::{CallError, Client, MAX_BODY_BYTES, Request, Response, serve};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

async fn start_server(request_timeout_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, 10, Duration::from_millis(request_timeout_ms), |request: Request| async move {
        Response { retry_after_s: Some(3), ..Response::json(200, &(request.method, request.path, request.body.len())) }
    }));
    addr
}

/// Sends bytes on a new connection and returns everything received until the connection is closed.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The server may refuse and close the connection before all bytes are written.
    let _ = stream.write_all(bytes).await;
    let mut out = Vec::new();
    let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut out))
        .await
        .expect("the server did not close the connection within 5 s");
    String::from_utf8(out).unwrap()
}

#[tokio::test]
async fn requests_of_all_sizes_are_answered_on_one_reused_connection() {
    let addr = start_server(1000).await;
    let client = Client::default();
    for length in [0, 5, MAX_BODY_BYTES] {
        let body = vec![b'x'; length];
        let (status, reply) = client.call(addr, "POST", "/p", Some(&body), Duration::from_secs(2)).await.unwrap();
        assert_eq!((status, reply), (200, format!("[\"POST\",\"/p\",{length}]").into_bytes()));
    }
    assert_eq!(client.idle.lock().unwrap().by_addr[&addr].len(), 1, "all calls use one connection");
    let reply = send_raw(addr, b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").await;
    assert!(reply.contains("Retry-After: 3") && reply.contains("Connection: close"));
}

// Guards against running out of sockets: at 1,500 machines, one idle connection to each for direct commands, beside
// the connection of its heartbeats, used all of them.
#[tokio::test]
async fn the_client_closes_its_least_recently_used_connection_beyond_the_maximum() {
    let client = Client::with_idle(2);
    let addrs = [start_server(1000).await, start_server(1000).await, start_server(1000).await];
    for addr in addrs {
        client.call(addr, "GET", "/", None, Duration::from_secs(2)).await.unwrap();
    }
    let mut kept: Vec<SocketAddr> = client.idle.lock().unwrap().by_addr.keys().copied().collect();
    kept.sort();
    let mut last = addrs[1..].to_vec();
    last.sort();
    assert_eq!(kept, last);
    client.close_idle_connections(addrs[2]);
    assert_eq!(client.idle.lock().unwrap().by_sequence.len(), 1);
}

// Guards against unreachable workers whose idle connections prevent the server from accepting new ones.
#[tokio::test]
async fn the_server_closes_its_longest_idle_connection_beyond_the_maximum() {
    let addr = start_server(1000).await;
    let timeout = Duration::from_secs(2);
    let mut clients = Vec::new();
    for _ in 0..10 {
        let client = Client::default();
        client.call(addr, "GET", "/", None, timeout).await.unwrap();
        clients.push(client);
    }
    let last_client = Client::default();
    assert!(last_client.call(addr, "GET", "/", None, timeout).await.is_ok());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let open = |client: &Client| client.idle.lock().unwrap().take(addr).is_some_and(|stream| !stream.is_closed());
    assert!(!open(&clients[0]), "the connection that was idle longest is closed");
    assert!(clients[1..].iter().all(open));
}

// A node without a free connection must refuse a user's request with the time after which to retry.
#[tokio::test]
async fn a_request_beyond_the_maximum_of_connections_is_refused_with_retry_after() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(serve(listener, 1, Duration::from_secs(1), |_| std::future::pending::<Response>()));
    let mut first_connection = TcpStream::connect(addr).await.unwrap();
    first_connection.write_all(b"GET /x HTTP/1.1\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let answer = send_raw(addr, b"GET /y HTTP/1.1\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 1"), "{answer}");
}

#[tokio::test]
async fn malformed_oversized_and_slow_requests_are_refused_with_their_status() {
    let addr = start_server(200).await;
    for (bytes, status) in [
        (b"nonsense\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nContent-Length: 99999\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), 501),
        ([b"GET /p HTTP/1.1\r\nA: ".to_vec(), vec![b'x'; 2 * MAX_HEAD_BYTES]].concat(), 431),
        ([b"GET /p HTTP/1.1\r\n".to_vec(), b"A: b\r\n".repeat(100), b"\r\n".to_vec()].concat(), 431),
        (b"GET /p HT".to_vec(), 408),
        (b"POST /p HTTP/1.1\r\nContent-Length: 5\r\n\r\nab".to_vec(), 408),
    ] {
        let reply = send_raw(addr, &bytes).await;
        assert!(reply.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {reply}");
    }
}

#[tokio::test]
async fn a_call_without_a_connection_is_not_sent_and_one_without_a_reply_is_indeterminate() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = Client::default();
    let timeout = Duration::from_millis(200);
    assert_eq!(client.call(addr, "GET", "/", None, timeout).await, Err(CallError::Indeterminate));
    drop(listener);
    assert_eq!(client.call(addr, "GET", "/", None, timeout).await, Err(CallError::NotSent));
}
