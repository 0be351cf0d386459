//! A small HTTP/1.1 server and client over threads.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request as a handler gets it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the body as JSON; null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name)).map(|pair| pair.1.into())
    }

    /// Returns the path without the query.
    pub fn plain_path(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

/// A handler returns status and body; `None` closes the connection without an answer.
pub type Handler = dyn Fn(&Request) -> Option<(u16, Value)> + Send + Sync;

/// Serves a listener in threads of its own.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some((first, headers, body)) = read_message(&mut stream, &mut buf) {
        let mut words = first.split(' ');
        let request =
            Request { method: words.next().unwrap_or("").into(), path: words.next().unwrap_or("").into(), body };
        let Some((status, body)) = handler(&request) else { return };
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let close = headers.iter().any(|(name, value)| name == "connection" && value.eq_ignore_ascii_case("close"));
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n",
            body.len(),
            if close { "Connection: close\r\n" } else { "" }
        );
        if stream.write_all((head + &body).as_bytes()).is_err() || close {
            return;
        }
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

/// Reads a message: its first line, its headers and its body.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_string();
            let mut lines = head.split("\r\n");
            let first = lines.next()?.to_string();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
            while buf.len() < end + 4 + length {
                let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
                buf.extend_from_slice(&chunk[..read]);
            }
            let body = buf[end + 4..end + 4 + length].to_vec();
            buf.drain(..end + 4 + length);
            return Some((first, headers, body));
        }
        let read = stream.read(&mut chunk).ok().filter(|read| *read > 0)?;
        buf.extend_from_slice(&chunk[..read]);
    }
}

/// An answer as a client gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
    pub retry_after_s: Option<f64>,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallError {
    NotConnected,
    NoAnswer,
}

/// Sends a request on a new connection and waits for the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
    connect_timeout: Duration,
) -> Result<Answer, CallError> {
    let body = body.map(Value::to_string).unwrap_or_default();
    call_text(addr, method, path, &body, timeout, connect_timeout)
}

/// Like [`call`], with the body as text.
pub fn call_text(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
    connect_timeout: Duration,
) -> Result<Answer, CallError> {
    let deadline = Instant::now() + timeout;
    let mut stream =
        TcpStream::connect_timeout(&addr, connect_timeout.min(timeout)).map_err(|_| CallError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_write_timeout(Some(left));
    let _ = stream.set_read_timeout(Some(left));
    let _ = stream.write_all((head + body).as_bytes());
    let mut buf = Vec::new();
    let (first, headers, body) = read_message(&mut stream, &mut buf).ok_or(CallError::NoAnswer)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or(CallError::NoAnswer)?;
    let retry_after = headers.iter().find(|(name, _)| name == "retry-after");
    Ok(Answer {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        retry_after_s: retry_after.and_then(|(_, value)| value.parse().ok()),
    })
}
