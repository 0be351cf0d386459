//! HTTP server: one task per connection, with a bound on the number of connections.

use super::framing::{Message, ReadError, parse_request, read_available, read_message};
use super::idle::{IdleConnections, IdleRegistration};
use super::message::{BODY_TOO_LARGE, Request, Response, reason_phrase};
use crate::runtime::sync::lock;
use crate::runtime::task;
use crate::transport::network::{Listener, Stream};
use std::future::Future;
use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// Delay before the next attempt to accept a connection when no socket was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Idle timeout of a connection, as a multiple of the request timeout.
const IDLE_TIMEOUT_FACTOR: u32 = 30;

/// Divisor of the maximum number of connections that gives the number of further connections that receive a refusal
/// before they are closed.
const REFUSED_CONNECTIONS_DIVISOR: usize = 16;
/// `Retry-After` value, in seconds, of the refusal on a connection beyond the maximum.
const REFUSED_RETRY_AFTER_S: u64 = 1;

/// Numbers of connections that a server turned away for want of room; cheap to clone, and all clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionMetrics(Arc<ConnectionCounters>);

#[derive(Debug, Default)]
struct ConnectionCounters {
    /// Idle connections that were closed for new ones.
    idle_closed: AtomicU64,
    /// Connections whose first request was refused.
    refused: AtomicU64,
    /// Connections that were closed without an answer.
    dropped: AtomicU64,
}

impl ConnectionMetrics {
    /// Returns the counters in the text format of `GET /metrics`.
    pub fn text(&self) -> String {
        let ConnectionCounters { idle_closed, refused, dropped } = &*self.0;
        let counters = [("idle_closed", idle_closed), ("refused", refused), ("dropped", dropped)];
        let line = |(label, count): (&str, &AtomicU64)| {
            let count = count.load(Ordering::Relaxed);
            (count > 0).then(|| format!("badgerdrift_connections_closed_total{{of=\"{label}\"}} {count}\n"))
        };
        counters.into_iter().filter_map(line).collect()
    }
}

/// Like [`serve_counted`], without counters.
pub async fn serve<H, F>(listener: impl Listener, max_connections: usize, request_timeout: Duration, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    serve_counted(listener, max_connections, request_timeout, ConnectionMetrics::default(), handler).await;
}

/// Serves the connections of `listener`; never returns. `request_timeout` bounds the time in which a request must
/// arrive. When `max_connections` are open, the connection that has been idle longest is closed to accept a new one,
/// since unreachable workers leave idle connections open.
pub async fn serve_counted<H, F>(
    listener: impl Listener,
    max_connections: usize,
    request_timeout: Duration,
    metrics: ConnectionMetrics,
    handler: H,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let open_connections = Arc::new(AtomicUsize::new(0));
    let refused_connections = Arc::new(AtomicUsize::new(0));
    let idle = Arc::new(Mutex::new(IdleConnections::default()));
    loop {
        let Ok(stream) = listener.accept().await else {
            // No socket is free: waits before the next attempt instead of retrying in a busy loop.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.load(Ordering::Relaxed) >= max_connections {
            let Some((_, oldest)) = lock(&idle).waiting.pop_first() else {
                refuse_connection(
                    stream,
                    request_timeout,
                    &refused_connections,
                    max_connections.div_ceil(REFUSED_CONNECTIONS_DIVISOR),
                    &metrics,
                );
                continue;
            };
            metrics.0.idle_closed.fetch_add(1, Ordering::Relaxed);
            oldest.notify_one();
        }
        open_connections.fetch_add(1, Ordering::Relaxed);
        let (handler, open_connections, idle) = (handler.clone(), open_connections.clone(), idle.clone());
        task::spawn(async move {
            serve_connection(stream, request_timeout, &*handler, &idle).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Refuses the first request of a connection beyond the maximum, if fewer than `max_refused` such connections are
/// open. Others are closed at once, so that sockets stay free.
fn refuse_connection(
    mut stream: Box<dyn Stream>,
    request_timeout: Duration,
    refused_connections: &Arc<AtomicUsize>,
    max_refused: usize,
    metrics: &ConnectionMetrics,
) {
    if refused_connections.load(Ordering::Relaxed) >= max_refused {
        metrics.0.dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    metrics.0.refused.fetch_add(1, Ordering::Relaxed);
    refused_connections.fetch_add(1, Ordering::Relaxed);
    let refused_connections = refused_connections.clone();
    task::spawn(async move {
        // The connection is closed in any case.
        let _ = timeout(request_timeout, send_refusal(&mut stream)).await;
        refused_connections.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Reads the first request of a connection and answers it with status 503.
async fn send_refusal(stream: &mut Box<dyn Stream>) {
    if read_message(stream, &mut Vec::new(), parse_request).await.is_ok() {
        let refusal = Response::error(503, "too many connections");
        let refusal = Response { retry_after_s: Some(REFUSED_RETRY_AFTER_S), ..refusal };
        // The client may have closed the connection.
        let _ = stream.write_all(&encode_reply(&refusal, true)).await;
    }
}

/// Handles the requests of a connection one after the other until it is closed.
async fn serve_connection<H, F>(
    mut stream: Box<dyn Stream>,
    request_timeout: Duration,
    handler: &H,
    idle: &Mutex<IdleConnections>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        if buf.is_empty() && !wait_for_next_request(&mut stream, &mut buf, request_timeout, idle).await {
            return;
        }
        let (reply, close_after) =
            match timeout(request_timeout, read_message(&mut stream, &mut buf, parse_request)).await {
                Ok(Ok(Message { head, body, close_after })) => {
                    (handler(Request { method: head.method, path: head.path, body }).await, close_after)
                }
                Ok(Err(ReadError::Refused(status))) => (framing_refusal(status), true),
                Ok(Err(ReadError::Closed)) => return,
                Err(_) => (Response::error(408, "the request did not arrive in time"), true),
            };
        if timeout(request_timeout, stream.write_all(&encode_reply(&reply, close_after))).await.is_err() || close_after
        {
            return;
        }
    }
}

/// Waits for the first bytes of the next request; returns `false` if the connection is to be closed.
async fn wait_for_next_request(
    stream: &mut Box<dyn Stream>,
    buf: &mut Vec<u8>,
    request_timeout: Duration,
    idle: &Mutex<IdleConnections>,
) -> bool {
    let registration = IdleRegistration::new(idle);
    tokio::select! {
        biased;
        read = timeout(request_timeout * IDLE_TIMEOUT_FACTOR, read_available(stream, buf)) =>
            matches!(read, Ok(Ok(length)) if length > 0),
        () = registration.close_signal.notified() => false,
    }
}

/// Returns the response to a request that is refused by the framing with `status`.
fn framing_refusal(status: u16) -> Response {
    match status {
        // Sent as 400, since users retry a request after any other error status.
        413 => Response::error(400, BODY_TOO_LARGE),
        _ => Response::error(status, reason_phrase(status)),
    }
}

fn encode_reply(response: &Response, close_after: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let (status, reason_phrase) = (response.status, reason_phrase(response.status));
    let (content_type, length) = (response.content_type, response.body.len());
    // Writing to a vector cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {reason_phrase}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n"
    );
    if let Some(seconds) = response.retry_after_s {
        let _ = write!(out, "Retry-After: {seconds}\r\n");
    }
    if let Some(methods) = response.allow {
        let _ = write!(out, "Allow: {methods}\r\n");
    }
    if close_after {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    out
}
