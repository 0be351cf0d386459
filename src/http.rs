//! A small HTTP/1.1 server and client on one shared framing.

use crate::net::{Listener, Net, Stream};
use crate::task;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout, timeout_at};

/// Most that a request's body may hold.
pub const MAX_BODY: usize = 64 * 1024;
const TOO_LARGE: &str = "body: must be at most 64 KiB";
const MAX_HEAD: usize = 16 * 1024;
/// Replies of the state service have no size limit; this one only bounds memory.
const MAX_REPLY: usize = 8 * 1024 * 1024;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u64>,
    pub allow: Option<&'static str>,
    pub content_type: &'static str,
}

impl Response {
    pub fn json(status: u16, value: &impl serde::Serialize) -> Response {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Response { status, body, retry_after_s: None, allow: None, content_type: "application/json" }
    }

    pub fn error(status: u16, message: &str) -> Response {
        Response::json(status, &serde_json::json!({ "error": message }))
    }

    /// The holder works, and has more to do than it can now.
    pub fn busy(message: &str, after_s: u64) -> Response {
        Response { retry_after_s: Some(after_s), ..Response::error(429, message) }
    }

    /// What can't be served now is answered at once, with when to come back.
    pub fn later(message: &str) -> Response {
        Response { retry_after_s: Some(1), ..Response::error(503, message) }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// A head as framing sees it: where the body begins, how long it is, whether
/// the connection stays open.
struct Frame {
    head_len: usize,
    body_len: usize,
    close: bool,
}

/// Headers that framing needs; `Err` is the status of the refusal.
fn frame(head_len: usize, headers: &[httparse::Header<'_>], max_body: usize) -> Result<Frame, u16> {
    let mut f = Frame { head_len, body_len: 0, close: false };
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(h.value).map_err(|_| 400u16)?.trim();
            f.body_len = text.parse().map_err(|_| 400u16)?;
            if f.body_len > max_body {
                return Err(413);
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(501);
        } else if h.name.eq_ignore_ascii_case("connection") && h.value.eq_ignore_ascii_case(b"close") {
            f.close = true;
        }
    }
    Ok(f)
}

/// Reads from `stream` into `buf` until `parse` finds a head and its body is in.
async fn read_message<T>(
    stream: &mut Box<dyn Stream>,
    buf: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Parsed<T>,
) -> Result<(T, Vec<u8>, bool), ReadError> {
    let mut chunk = [0u8; 8192];
    loop {
        if let Some((head, f)) = parse(buf).map_err(ReadError::Refused)? {
            let total = f.head_len + f.body_len;
            while buf.len() < total {
                let n = stream.read(&mut chunk).await.map_err(|_| ReadError::Closed)?;
                if n == 0 {
                    return Err(ReadError::Closed);
                }
                buf.extend_from_slice(&chunk[..n]);
            }
            let body = buf[f.head_len..total].to_vec();
            buf.drain(..total);
            return Ok((head, body, f.close));
        }
        if buf.len() > MAX_HEAD {
            return Err(ReadError::Refused(431));
        }
        let n = stream.read(&mut chunk).await.map_err(|_| ReadError::Closed)?;
        if n == 0 {
            return Err(ReadError::Closed);
        }
        buf.extend_from_slice(&chunk[..n]);
    }
}

enum ReadError {
    Closed,
    Refused(u16),
}

/// A head that has arrived whole, with its frame; none if more must come.
type Parsed<T> = Result<Option<(T, Frame)>, u16>;

fn parse_request(buf: &[u8]) -> Parsed<(String, String)> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => {
            let f = frame(n, req.headers, MAX_BODY)?;
            let method = req.method.unwrap_or("").to_string();
            Ok(Some(((method, req.path.unwrap_or("").to_string()), f)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(431),
        Err(_) => Err(400),
    }
}

fn parse_reply(buf: &[u8]) -> Parsed<u16> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut rep = httparse::Response::new(&mut headers);
    match rep.parse(buf) {
        Ok(httparse::Status::Complete(n)) => {
            let f = frame(n, rep.headers, MAX_REPLY)?;
            Ok(Some((rep.code.unwrap_or(0), f)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(400),
    }
}

/// Connections that wait for their next request, by when they began to.
#[derive(Default)]
struct Idle {
    next: u64,
    waiting: BTreeMap<u64, Arc<Notify>>,
}

/// One connection's entry, for as long as it waits.
struct Waits<'a> {
    idle: &'a Mutex<Idle>,
    n: u64,
    asked_to_go: Arc<Notify>,
}

impl Waits<'_> {
    fn enter(idle: &Mutex<Idle>) -> Option<Waits<'_>> {
        let asked_to_go = Arc::new(Notify::new());
        let mut i = idle.lock().ok()?;
        i.next += 1;
        let n = i.next;
        i.waiting.insert(n, asked_to_go.clone());
        drop(i);
        Some(Waits { idle, n, asked_to_go })
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if let Ok(mut i) = self.idle.lock() {
            i.waiting.remove(&self.n);
        }
    }
}

/// Serves `listener` for ever. `patience` bounds how long a request may take
/// to arrive; idle connections may stay until there are too many, when the one
/// that waited longest goes: workers that were cut off leave theirs behind.
pub async fn serve<H, F>(listener: impl Listener, max_open: usize, patience: Duration, handler: H)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    let idle = Arc::new(Mutex::new(Idle::default()));
    loop {
        let Ok(stream) = listener.accept().await else {
            // No free socket: wait for one instead of spinning.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= max_open {
            let Some((_, oldest)) = idle.lock().ok().and_then(|mut i| i.waiting.pop_first()) else {
                drop(stream);
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

async fn connection<H, F>(mut stream: Box<dyn Stream>, patience: Duration, handler: &H, idle: &Mutex<Idle>)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut buf = Vec::new();
    loop {
        if buf.is_empty() {
            // An idle connection may wait long for its next request.
            let mut chunk = [0u8; 8192];
            let Some(waits) = Waits::enter(idle) else { return };
            tokio::select! {
                biased;
                read = timeout(patience * 30, stream.read(&mut chunk)) => match read {
                    Ok(Ok(n)) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                    _ => return,
                },
                () = waits.asked_to_go.notified() => return,
            }
        }
        let (reply, close) = match timeout(patience, read_message(&mut stream, &mut buf, parse_request)).await {
            Ok(Ok(((method, path), body, close))) => (handler(Request { method, path, body }).await, close),
            // Not asked again: users repeat what gets any status but 400.
            Ok(Err(ReadError::Refused(413))) => (Response::error(400, TOO_LARGE), true),
            Ok(Err(ReadError::Refused(status))) => (Response::error(status, reason(status)), true),
            Ok(Err(ReadError::Closed)) => return,
            Err(_) => (Response::error(408, "the request did not arrive in time"), true),
        };
        if timeout(patience, stream.write_all(&encode_reply(&reply, close))).await.is_err() || close {
            return;
        }
    }
}

fn encode_reply(r: &Response, close: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + r.body.len());
    out.extend_from_slice(
        format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            r.status,
            reason(r.status),
            r.content_type,
            r.body.len()
        )
        .as_bytes(),
    );
    if let Some(s) = r.retry_after_s {
        out.extend_from_slice(format!("Retry-After: {s}\r\n").as_bytes());
    }
    if let Some(a) = r.allow {
        out.extend_from_slice(format!("Allow: {a}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&r.body);
    out
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The request never left: it will not be carried out.
    NotSent,
    /// The request may have been carried out, or may be later.
    Unclear,
}

type Open = Box<dyn Stream>;

/// Idle connections by address; the one that was used longest ago goes first.
#[derive(Default)]
struct Pool {
    most: usize,
    next: u64,
    by_addr: HashMap<SocketAddr, Vec<(u64, Open)>>,
    by_age: BTreeMap<u64, SocketAddr>,
}

impl Pool {
    fn take(&mut self, addr: SocketAddr) -> Option<Open> {
        let (age, stream) = self.by_addr.get_mut(&addr)?.pop()?;
        self.by_age.remove(&age);
        Some(stream)
    }

    fn keep(&mut self, addr: SocketAddr, stream: Open) {
        let same = self.by_addr.entry(addr).or_default();
        if same.len() >= IDLE_PER_HOST || self.most == 0 {
            return;
        }
        same.push((self.next, stream));
        self.by_age.insert(self.next, addr);
        self.next += 1;
        if self.by_age.len() > self.most
            && let Some((oldest, addr)) = self.by_age.pop_first()
            && let Some(same) = self.by_addr.get_mut(&addr)
        {
            same.retain(|s| s.0 != oldest);
            if same.is_empty() {
                self.by_addr.remove(&addr);
            }
        }
    }

    fn forget(&mut self, addr: SocketAddr) {
        for (age, _) in self.by_addr.remove(&addr).unwrap_or_default() {
            self.by_age.remove(&age);
        }
    }
}

/// A client with a pool of idle connections.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<Pool>>,
    net: Net,
}

impl Default for Client {
    /// For a few servers that are asked all the time.
    fn default() -> Client {
        Client::keeping(FEW)
    }
}

const IDLE_PER_HOST: usize = 4;
/// Idle connections kept by a client of a few servers.
pub const FEW: usize = 16;

impl Client {
    /// A client that keeps so many idle connections at the most.
    pub fn keeping(most: usize) -> Client {
        Client::on(&Net::default(), most)
    }

    /// The same over a given network.
    pub fn on(net: &Net, most: usize) -> Client {
        Client { idle: Arc::new(Mutex::new(Pool { most, ..Pool::default() })), net: net.clone() }
    }

    pub async fn call(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let deadline = Instant::now() + limit;
        let reused = self.idle.lock().ok().and_then(|mut p| p.take(addr));
        let mut stream = match reused {
            Some(s) if !s.is_closed() => s,
            _ => match timeout_at(deadline, self.net.connect(addr)).await {
                Ok(Ok(s)) => s,
                _ => return Err(CallError::NotSent),
            },
        };
        let mut out = Vec::with_capacity(128 + body.map_or(0, <[u8]>::len));
        out.extend_from_slice(format!("{method} {path} HTTP/1.1\r\nHost: {addr}\r\n").as_bytes());
        if let Some(b) = body {
            out.extend_from_slice(
                format!("Content-Type: application/json\r\nContent-Length: {}\r\n", b.len()).as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body.unwrap_or(&[]));
        match timeout_at(deadline, stream.write_all(&out)).await {
            Ok(Ok(())) => {}
            _ => return Err(CallError::Unclear),
        }
        let mut buf = Vec::new();
        match timeout_at(deadline, read_message(&mut stream, &mut buf, parse_reply)).await {
            Ok(Ok((status, body, close))) => {
                if !close
                    && buf.is_empty()
                    && let Ok(mut idle) = self.idle.lock()
                {
                    idle.keep(addr, stream);
                }
                Ok((status, body))
            }
            _ => Err(CallError::Unclear),
        }
    }

    /// Forgets the idle connections to a machine that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.forget(addr);
        }
    }
}

#[cfg(test)]
mod tests;
