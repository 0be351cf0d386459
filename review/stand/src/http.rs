//! Small blocking HTTP/1.1 server and client.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Req {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Req {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.to_string())
        })
    }
}

/// `None`: the connection is closed without an answer.
pub type Answer = Option<(u16, Value)>;
pub type Handler = Arc<dyn Fn(&Req) -> Answer + Send + Sync>;

/// Reads one message; returns its first line and body.
fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, Vec<u8>, Vec<(String, String)>)> {
    let mut chunk = [0u8; 16384];
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let n = stream.read(&mut chunk).ok()?;
        if n == 0 {
            return None;
        }
        buf.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_string();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':').map(|(k, v)| (k.trim().to_lowercase(), v.trim().to_string())))
        .collect();
    let len: usize = headers.iter().find(|(k, _)| k == "content-length").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let total = head_end + 4 + len;
    while buf.len() < total {
        let n = stream.read(&mut chunk).ok()?;
        if n == 0 {
            return None;
        }
        buf.extend_from_slice(&chunk[..n]);
    }
    let body = buf[head_end + 4..total].to_vec();
    buf.drain(..total);
    Some((first, body, headers))
}

/// Serves a listener on a thread of its own. `alive` ends the server and its connections.
pub fn serve(listener: TcpListener, alive: impl Fn() -> bool + Send + Sync + 'static, handler: Handler) {
    let alive = Arc::new(alive);
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        while alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let (handler, alive) = (handler.clone(), alive.clone());
                    std::thread::spawn(move || connection(stream, &handler, &*alive));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn connection(mut stream: TcpStream, handler: &Handler, alive: &dyn Fn() -> bool) {
    let mut buf = Vec::new();
    while alive() {
        let Some((first, body, _)) = read_message(&mut stream, &mut buf) else { return };
        if !alive() {
            return;
        }
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
        let Some((status, value)) = handler(&Req { method, path, body }) else { return };
        let body = value.to_string();
        let head =
            format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
        if !alive() || stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request on a connection of its own. `None`: no answer within the timeout, or no connection.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let left = timeout.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let text = body.map(Value::to_string).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (first, body, headers) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if let (Some((_, after)), Some(object)) = (headers.iter().find(|(k, _)| k == "retry-after"), value.as_object_mut())
    {
        object.insert("retry_after".into(), Value::String(after.clone()));
    }
    Some((status, value))
}
