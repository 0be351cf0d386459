//! The server: one task a connection, bounded in number.

use super::framing::{Message, ReadError, parse_request, read_available, read_message};
use super::idle::{Idle, IdleEntry};
use super::message::{Request, Response, TOO_LARGE, reason};
use crate::runtime::sync::lock;
use crate::runtime::task;
use crate::transport::network::{Listener, Stream};
use std::future::Future;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Pause before a connection is accepted again when no socket was free.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// An idle connection may wait this many times as long as a request may take to arrive.
const IDLE_FACTOR: u32 = 30;

/// Connections beyond the bound that get a refusal before they are closed, as a part of it.
const REFUSED_PART: usize = 16;
/// Seconds after which a request on such a connection may come again.
const REFUSED_RETRY_S: u64 = 1;

/// Serves `listener` for ever. `patience` bounds how long a request may take
/// to arrive; idle connections may stay until there are too many, when the one
/// that waited longest is closed: workers that were cut off leave theirs behind.
pub async fn serve<H, F>(listener: impl Listener, max_open: usize, patience: Duration, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    let refused = Arc::new(AtomicUsize::new(0));
    let idle = Arc::new(Mutex::new(Idle::default()));
    loop {
        let Ok(stream) = listener.accept().await else {
            // No free socket: wait for one instead of spinning.
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= max_open {
            let Some((_, oldest)) = lock(&idle).waiting.pop_first() else {
                refuse(stream, patience, &refused, max_open.div_ceil(REFUSED_PART));
                continue;
            };
            oldest.notify_one();
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (handler, open, idle) = (handler.clone(), open.clone(), idle.clone());
        task::spawn(async move {
            connection(stream, patience, &*handler, &idle).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Refuses the first request of a connection beyond the bound, if there are fewer than `most`
/// such connections. Others are closed at once, so that sockets stay free.
fn refuse(mut stream: Box<dyn Stream>, patience: Duration, refused: &Arc<AtomicUsize>, most: usize) {
    if refused.load(Ordering::Relaxed) >= most {
        return;
    }
    refused.fetch_add(1, Ordering::Relaxed);
    let refused = refused.clone();
    task::spawn(async move {
        // The connection is closed in any case.
        let _ = timeout(patience, answer_refusal(&mut stream)).await;
        refused.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn answer_refusal(stream: &mut Box<dyn Stream>) {
    if read_message(stream, &mut Vec::new(), parse_request).await.is_ok() {
        let refusal = Response::error(503, "too many connections");
        let refusal = Response { retry_after_s: Some(REFUSED_RETRY_S), ..refusal };
        // The client may have closed the connection.
        let _ = stream.write_all(&encode_reply(&refusal, true)).await;
    }
}

async fn connection<H, F>(mut stream: Box<dyn Stream>, patience: Duration, handler: &H, idle: &Mutex<Idle>)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        if buf.is_empty() && !next_request_begins(&mut stream, &mut buf, patience, idle).await {
            return;
        }
        let (reply, close) = match timeout(patience, read_message(&mut stream, &mut buf, parse_request)).await {
            Ok(Ok(Message { head, body, close })) => {
                (handler(Request { method: head.method, path: head.path, body }).await, close)
            }
            Ok(Err(ReadError::Refused(status))) => (refusal(status), true),
            Ok(Err(ReadError::Closed)) => return,
            Err(_) => (Response::error(408, "the request did not arrive in time"), true),
        };
        if timeout(patience, stream.write_all(&encode_reply(&reply, close))).await.is_err() || close {
            return;
        }
    }
}

/// Waits for the next request, which may take long; `false` if the connection is to end.
async fn next_request_begins(
    stream: &mut Box<dyn Stream>,
    buf: &mut Vec<u8>,
    patience: Duration,
    idle: &Mutex<Idle>,
) -> bool {
    let entry = IdleEntry::enter(idle);
    tokio::select! {
        biased;
        read = timeout(patience * IDLE_FACTOR, read_available(stream, buf)) => matches!(read, Ok(Ok(length)) if length > 0),
        () = entry.close_request.notified() => false,
    }
}

/// The answer to a message that framing refuses.
fn refusal(status: u16) -> Response {
    match status {
        // Not asked again: users repeat what gets any status but 400.
        413 => Response::error(400, TOO_LARGE),
        _ => Response::error(status, reason(status)),
    }
}

fn encode_reply(response: &Response, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let (status, reason) = (response.status, reason(response.status));
    let (content_type, length) = (response.content_type, response.body.len());
    // Writing to a vector can't fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n");
    if let Some(seconds) = response.retry_after_s {
        let _ = write!(out, "Retry-After: {seconds}\r\n");
    }
    if let Some(methods) = response.allow {
        let _ = write!(out, "Allow: {methods}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    out
}
