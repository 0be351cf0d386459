//! Frames between controllers: a length of four bytes and a numbered message in CBOR.

use crate::transport::frame_format::FrameFormat;
use crate::transport::http::MAX_BODY;
use crate::transport::network::{ReadHalf, WriteHalf};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;

/// Longest body of a frame in bytes: a user's request with what is around it. Messages that name
/// machines are kept shorter by their sender.
pub(crate) const MAX_FRAME: usize = 2 * MAX_BODY;

/// Bytes of the length before each frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Frames are joined to one write until it has so many bytes.
const COMBINED_WRITE_BYTES: usize = 16 * 1024;
/// Bytes that are read ahead on a connection: most frames are taken with one read.
const READ_BUFFER_BYTES: usize = 2 * 1024;

/// The reading direction of a connection, with what was read ahead.
pub(super) type FrameReader = BufReader<ReadHalf>;

/// Reads frames from a connection.
pub(super) fn frame_reader(read: ReadHalf) -> FrameReader {
    BufReader::with_capacity(READ_BUFFER_BYTES, read)
}

/// A frame on the wire: a message with the number of its request, and the format that its sender
/// speaks. The names and the order of the fields are fixed.
#[derive(Serialize, Deserialize)]
struct WireFrame<T> {
    /// Number of the request.
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "body")]
    message: T,
    /// Left out by the version before, which ignores it.
    #[serde(default)]
    format: FrameFormat,
}

/// A frame that was received.
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
pub(super) fn encode<T: Serialize>(number: u64, message: T) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_PREFIX_BYTES];
    ciborium::into_writer(&WireFrame { number, message, format: FrameFormat::CURRENT }, &mut bytes).ok()?;
    let len = bytes.len() - LENGTH_PREFIX_BYTES;
    if len > MAX_FRAME {
        tracing::error!(bytes = len, most = MAX_FRAME, "message is too long for a frame");
        return None;
    }
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Some(bytes)
}

/// The next frame; `None` once the connection has ended, or can't be read any further.
pub(super) async fn read_frame<T: for<'a> Deserialize<'a>>(stream: &mut FrameReader) -> Option<Frame<T>> {
    let mut len = [0; LENGTH_PREFIX_BYTES];
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
    if let Ok(WireFrame { number, message, format }) = ciborium::from_reader::<WireFrame<T>, _>(bytes) {
        return Some(Frame { number, format, message: Some(message) });
    }
    let WireFrame { number, format, .. } = ciborium::from_reader::<WireFrame<IgnoredAny>, _>(bytes).ok()?;
    Some(Frame { number, format, message: None })
}

/// Writes frames until nobody can send any more, or the connection takes no more. Those that
/// wait are written together.
pub(super) async fn write_frames(mut write: WriteHalf, mut rx: mpsc::Receiver<Vec<u8>>) {
    while let Some(mut bytes) = rx.recv().await {
        while bytes.len() < COMBINED_WRITE_BYTES
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
