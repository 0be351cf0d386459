#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

use super::framing::MAX_HEAD;
use super::{CallError, Client, MAX_BODY, Request, Response, serve};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

async fn server(patience_ms: u64) -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = l.local_addr().unwrap();
    tokio::spawn(serve(l, 10, Duration::from_millis(patience_ms), |r: Request| async move {
        Response { retry_after_s: Some(3), ..Response::json(200, &(r.method, r.path, r.body.len())) }
    }));
    addr
}

/// Sends bytes and returns all that comes back before the connection closes.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(addr).await.unwrap();
    // A refusal may close the connection before all is written.
    let _ = s.write_all(bytes).await;
    let mut out = Vec::new();
    let _ = timeout(Duration::from_secs(5), s.read_to_end(&mut out)).await.expect("the connection is closed");
    String::from_utf8(out).unwrap()
}

#[tokio::test]
async fn requests_are_framed_and_connections_kept() {
    let addr = server(1000).await;
    let c = Client::default();
    for n in [0, 5, MAX_BODY] {
        let body = vec![b'x'; n];
        let (status, reply) = c.call(addr, "POST", "/p", Some(&body), Duration::from_secs(2)).await.unwrap();
        assert_eq!((status, reply), (200, format!("[\"POST\",\"/p\",{n}]").into_bytes()));
    }
    assert_eq!(c.idle.lock().unwrap().by_addr[&addr].len(), 1, "one connection served all");
    let r = raw(addr, b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n").await;
    assert!(r.contains("Retry-After: 3") && r.contains("Connection: close"));
}

// Found at 1,500 machines: one connection kept to each for direct commands,
// besides the one that it reports on, used up the sockets.
#[tokio::test]
async fn idle_connections_are_bounded_and_the_oldest_goes_first() {
    let c = Client::with_idle(2);
    let addrs = [server(1000).await, server(1000).await, server(1000).await];
    for addr in addrs {
        c.call(addr, "GET", "/", None, Duration::from_secs(2)).await.unwrap();
    }
    let mut kept: Vec<SocketAddr> = c.idle.lock().unwrap().by_addr.keys().copied().collect();
    kept.sort();
    let mut last = addrs[1..].to_vec();
    last.sort();
    assert_eq!(kept, last);
    c.forget(addrs[2]);
    assert_eq!(c.idle.lock().unwrap().by_age.len(), 1);
}

// The next size: connections that cut workers left behind must not keep others out.
#[tokio::test]
async fn the_longest_idle_connection_goes_when_there_are_too_many() {
    let addr = server(1000).await;
    let limit = Duration::from_secs(2);
    let mut kept = Vec::new();
    for _ in 0..10 {
        let c = Client::default();
        c.call(addr, "GET", "/", None, limit).await.unwrap();
        kept.push(c);
    }
    let late = Client::default();
    assert!(late.call(addr, "GET", "/", None, limit).await.is_ok());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let open = |c: &Client| c.idle.lock().unwrap().take(addr).is_some_and(|s| !s.is_closed());
    assert!(!open(&kept[0]), "the first one was closed");
    assert!(kept[1..].iter().all(open));
}

// A user that meets a node with no free place must hear so, and when to come again.
#[tokio::test]
async fn a_connection_beyond_the_bound_is_told_when_to_come_again() {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = l.local_addr().unwrap();
    tokio::spawn(serve(l, 1, Duration::from_secs(1), |_| std::future::pending::<Response>()));
    let mut busy = TcpStream::connect(addr).await.unwrap();
    busy.write_all(b"GET /x HTTP/1.1\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let answer = raw(addr, b"GET /y HTTP/1.1\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 1"), "{answer}");
}

#[tokio::test]
async fn bad_and_slow_requests_are_bounded() {
    let addr = server(200).await;
    for (bytes, status) in [
        (b"nonsense\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nContent-Length: 99999\r\n\r\n".to_vec(), 400),
        (b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), 501),
        ([b"GET /p HTTP/1.1\r\nA: ".to_vec(), vec![b'x'; 2 * MAX_HEAD]].concat(), 431),
        ([b"GET /p HTTP/1.1\r\n".to_vec(), b"A: b\r\n".repeat(100), b"\r\n".to_vec()].concat(), 431),
        (b"GET /p HT".to_vec(), 408),
        (b"POST /p HTTP/1.1\r\nContent-Length: 5\r\n\r\nab".to_vec(), 408),
    ] {
        let r = raw(addr, &bytes).await;
        assert!(r.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {r}");
    }
}

#[tokio::test]
async fn a_call_tells_what_was_not_sent_from_what_is_unclear() {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = l.local_addr().unwrap();
    let c = Client::default();
    let limit = Duration::from_millis(200);
    assert_eq!(c.call(addr, "GET", "/", None, limit).await, Err(CallError::Indeterminate));
    drop(l);
    assert_eq!(c.call(addr, "GET", "/", None, limit).await, Err(CallError::NotSent));
}
