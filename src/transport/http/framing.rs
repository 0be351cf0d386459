//! The framing of messages that the server and the client share.

use super::message::MAX_BODY;
use crate::transport::network::Stream;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::ready;
use tokio::io::{AsyncRead, ReadBuf};

/// Most that the head of a message may hold.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// Most that is read from a connection at once.
const READ_CHUNK: usize = 8192;
/// Most headers of a message.
const MAX_HEADERS: usize = 64;
/// Replies of the state service have no size limit; this one only bounds memory.
const MAX_REPLY: usize = 8 * 1024 * 1024;

/// A head as framing sees it: where the body begins, how long it is, whether
/// the connection stays open.
pub(super) struct Frame {
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

/// A message that has arrived whole; the head is that of a request or a reply.
pub(super) struct Message<T> {
    pub(super) head: T,
    pub(super) body: Vec<u8>,
    pub(super) close: bool,
}

/// The first line of a request.
pub(super) struct RequestLine {
    pub(super) method: String,
    pub(super) path: String,
}

/// Reads from `stream` into `buf` until `parse` finds a head and its body is in.
pub(super) async fn read_message<T>(
    stream: &mut Box<dyn Stream>,
    buf: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Parsed<T>,
) -> Result<Message<T>, ReadError> {
    loop {
        if let Some((head, f)) = parse(buf).map_err(ReadError::Refused)? {
            let total = f.head_len + f.body_len;
            while buf.len() < total {
                read_more(stream, buf).await?;
            }
            let body = buf[f.head_len..total].to_vec();
            buf.drain(..total);
            return Ok(Message { head, body, close: f.close });
        }
        if buf.len() > MAX_HEAD {
            return Err(ReadError::Refused(431));
        }
        read_more(stream, buf).await?;
    }
}

/// Appends what arrives next to `buf`.
async fn read_more(stream: &mut Box<dyn Stream>, buf: &mut Vec<u8>) -> Result<(), ReadError> {
    match read_available(stream, buf).await {
        Ok(n) if n > 0 => Ok(()),
        _ => Err(ReadError::Closed),
    }
}

/// Appends what arrives next to `buf`, and tells how many bytes that is; 0 at the end of the
/// stream. What is read passes through the stack of the poll: a chunk in the future itself
/// would take its room in every idle connection, and be cleared for every message.
pub(super) async fn read_available(stream: &mut Box<dyn Stream>, buf: &mut Vec<u8>) -> io::Result<usize> {
    poll_fn(|context| {
        let mut chunk = [MaybeUninit::<u8>::uninit(); READ_CHUNK];
        let mut chunk = ReadBuf::uninit(&mut chunk);
        ready!(Pin::new(&mut *stream).poll_read(context, &mut chunk))?;
        buf.extend_from_slice(chunk.filled());
        Ok(chunk.filled().len()).into()
    })
    .await
}

/// Why no message could be read.
pub(super) enum ReadError {
    /// The connection ended.
    Closed,
    /// The message is refused with this status.
    Refused(u16),
}

/// A head that has arrived whole, with its frame; none if more must come.
pub(super) type Parsed<T> = Result<Option<(T, Frame)>, u16>;

/// Reads the head of a request.
pub(super) fn parse_request(buf: &[u8]) -> Parsed<RequestLine> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => {
            let f = frame(n, req.headers, MAX_BODY)?;
            let method = req.method.unwrap_or("").to_string();
            let path = req.path.unwrap_or("").to_string();
            Ok(Some((RequestLine { method, path }, f)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(431),
        Err(_) => Err(400),
    }
}

/// Reads the head of a reply: its status.
pub(super) fn parse_reply(buf: &[u8]) -> Parsed<u16> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
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
