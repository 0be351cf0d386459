//! Framing of HTTP messages, shared by the server and the client.

use super::message::MAX_BODY_BYTES;
use crate::transport::network::Stream;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::ready;
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum size, in bytes, of the head of a message.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are read from a connection at once.
const READ_CHUNK_BYTES: usize = 8192;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
/// Maximum size, in bytes, of the body of a reply. Replies of the state service have no size limit of their own; this
/// one bounds memory use.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Framing of a message: lengths of its head and body in bytes, and whether the connection is closed after it.
pub(super) struct Framing {
    head_len: usize,
    body_len: usize,
    close_after: bool,
}

/// Parses the headers that determine the framing of a message. `Err` holds the HTTP status with which the message is
/// refused.
fn parse_framing(head_len: usize, headers: &[httparse::Header<'_>], max_body: usize) -> Result<Framing, u16> {
    let mut framing = Framing { head_len, body_len: 0, close_after: false };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| 400u16)?.trim();
            framing.body_len = text.parse().map_err(|_| 400u16)?;
            if framing.body_len > max_body {
                return Err(413);
            }
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(501);
        } else if header.name.eq_ignore_ascii_case("connection") && header.value.eq_ignore_ascii_case(b"close") {
            framing.close_after = true;
        }
    }
    Ok(framing)
}

/// Completely received message, with the head of a request or a reply.
pub(super) struct Message<T> {
    pub(super) head: T,
    pub(super) body: Vec<u8>,
    pub(super) close_after: bool,
}

/// Method and path in the first line of a request.
pub(super) struct RequestLine {
    pub(super) method: String,
    pub(super) path: String,
}

/// Reads from `stream` into `buf` until `parse` finds a head and its body is complete, then removes the message from
/// `buf` and returns it.
pub(super) async fn read_message<T>(
    stream: &mut Box<dyn Stream>,
    buf: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Parsed<T>,
) -> Result<Message<T>, ReadError> {
    loop {
        if let Some((head, framing)) = parse(buf).map_err(ReadError::Refused)? {
            let total = framing.head_len + framing.body_len;
            while buf.len() < total {
                read_more(stream, buf).await?;
            }
            let body = buf[framing.head_len..total].to_vec();
            buf.drain(..total);
            return Ok(Message { head, body, close_after: framing.close_after });
        }
        if buf.len() > MAX_HEAD_BYTES {
            return Err(ReadError::Refused(431));
        }
        read_more(stream, buf).await?;
    }
}

/// Appends the next received bytes to `buf`; fails at the end of the stream.
async fn read_more(stream: &mut Box<dyn Stream>, buf: &mut Vec<u8>) -> Result<(), ReadError> {
    match read_available(stream, buf).await {
        Ok(length) if length > 0 => Ok(()),
        _ => Err(ReadError::Closed),
    }
}

/// Appends the next received bytes to `buf` and returns their number; 0 at the end of the stream. The chunk is on the
/// stack of the poll function: as a part of the future it would take memory for every idle connection and would be
/// cleared for every message.
pub(super) async fn read_available(stream: &mut Box<dyn Stream>, buf: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|context| {
        let mut chunk = [MaybeUninit::<u8>::uninit(); READ_CHUNK_BYTES];
        let mut chunk = ReadBuf::uninit(&mut chunk);
        ready!(Pin::new(&mut *stream).poll_read(context, &mut chunk))?;
        buf.extend_from_slice(chunk.filled());
        Ok(chunk.filled().len()).into()
    })
    .await
}

/// Reason why no message could be read.
pub(super) enum ReadError {
    /// The connection was closed.
    Closed,
    /// The message is refused with this HTTP status.
    Refused(u16),
}

/// Result of parsing a head: the head with the framing of its message, `None` if the head is incomplete, or the HTTP
/// status with which the message is refused.
pub(super) type Parsed<T> = Result<Option<(T, Framing)>, u16>;

/// Parses the head of a request.
pub(super) fn parse_request(buf: &[u8]) -> Parsed<RequestLine> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => {
            let framing = parse_framing(head_len, request.headers, MAX_BODY_BYTES)?;
            let method = request.method.unwrap_or("").to_string();
            let path = request.path.unwrap_or("").to_string();
            Ok(Some((RequestLine { method, path }, framing)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(431),
        Err(_) => Err(400),
    }
}

/// Parses the head of a reply; its head is the status.
pub(super) fn parse_reply(buf: &[u8]) -> Parsed<u16> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut reply = httparse::Response::new(&mut headers);
    match reply.parse(buf) {
        Ok(httparse::Status::Complete(head_len)) => {
            let framing = parse_framing(head_len, reply.headers, MAX_REPLY_BYTES)?;
            Ok(Some((reply.code.unwrap_or(0), framing)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(400),
    }
}
