//! Frames between controllers: a length of four bytes and a numbered message in CBOR.

use crate::transport::frame_format::FrameFormat;
use crate::transport::http::MAX_BODY;
use crate::transport::network::{ReadHalf, WriteHalf};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;

/// Most that a frame may hold: a request's body with what is around it. What names machines is
/// kept shorter by its sender.
pub(crate) const MAX_FRAME: usize = 2 * MAX_BODY;

/// Frames are joined to one write until it is so long.
const JOINED_WRITE: usize = 16 * 1024;
/// Bytes that are read ahead on a connection: most frames are taken with one read.
const READ_AHEAD: usize = 2 * 1024;

/// The reading direction of a connection, with what was read ahead.
pub(super) type FrameReader = BufReader<ReadHalf>;

/// Reads frames from a connection.
pub(super) fn frame_reader(read: ReadHalf) -> FrameReader {
    BufReader::with_capacity(READ_AHEAD, read)
}

/// A message with the number of its request, and the format that its sender speaks.
#[derive(Serialize, Deserialize)]
struct Numbered<T> {
    n: u64,
    body: T,
    /// Left out by the version before, which ignores it.
    #[serde(default)]
    format: FrameFormat,
}

/// A frame that has come.
#[derive(Debug, PartialEq)]
pub(super) struct Frame<T> {
    /// Number of the request.
    pub(super) number: u64,
    /// The format that its sender speaks.
    pub(super) format: FrameFormat,
    /// The message; `None` if it is of a kind that this version does not know.
    pub(super) message: Option<T>,
}

/// A frame with a numbered message, unless it is too long.
pub(super) fn encode<T: Serialize>(n: u64, body: T) -> Option<Vec<u8>> {
    let mut out = vec![0; 4];
    ciborium::into_writer(&Numbered { n, body, format: FrameFormat::CURRENT }, &mut out).ok()?;
    let len = out.len() - 4;
    if len > MAX_FRAME {
        tracing::error!(bytes = len, most = MAX_FRAME, "message is too long for a frame");
        return None;
    }
    out[..4].copy_from_slice(&(len as u32).to_be_bytes());
    Some(out)
}

/// The next frame; none once the connection is of no more use.
pub(super) async fn read_frame<T: for<'a> Deserialize<'a>>(stream: &mut FrameReader) -> Option<Frame<T>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await.ok()?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME {
        return None;
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    decode(&body)
}

/// The frame in these bytes; `None` if there is none.
fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<Frame<T>> {
    if let Ok(Numbered { n, body, format }) = ciborium::from_reader::<Numbered<T>, _>(bytes) {
        return Some(Frame { number: n, format, message: Some(body) });
    }
    let Numbered { n, format, .. } = ciborium::from_reader::<Numbered<IgnoredAny>, _>(bytes).ok()?;
    Some(Frame { number: n, format, message: None })
}

/// Writes frames until nobody can send any more, or the connection takes no more. Those that
/// wait are written together.
pub(super) async fn write_frames(mut write: WriteHalf, mut rx: mpsc::Receiver<Vec<u8>>) {
    while let Some(mut bytes) = rx.recv().await {
        while bytes.len() < JOINED_WRITE
            && let Ok(frame) = rx.try_recv()
        {
            bytes.extend_from_slice(&frame);
        }
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
