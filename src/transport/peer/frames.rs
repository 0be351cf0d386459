//! Frames between controllers: a length prefix of four bytes and a numbered message in CBOR.

use crate::transport::frame_format::FrameFormat;
use crate::transport::http::MAX_BODY_BYTES;
use crate::transport::network::{ReadHalf, WriteHalf};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::sync::mpsc;

/// Maximum length, in bytes, of the body of a frame: a user's request with its enclosing message. Senders
/// of messages that list machines keep them shorter.
pub(crate) const MAX_FRAME_BYTES: usize = 2 * MAX_BODY_BYTES;

/// Length, in bytes, of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Size, in bytes, from which no further queued frame is added to a combined write.
const COMBINED_WRITE_BYTES: usize = 16 * 1024;
/// Size, in bytes, of the read buffer of a connection; most frames fit into it and need one read.
const READ_BUFFER_BYTES: usize = 2 * 1024;

/// Buffered read half of a connection.
pub(super) type FrameReader = BufReader<ReadHalf>;

/// Returns a buffered reader of the frames of a connection.
pub(super) fn frame_reader(read: ReadHalf) -> FrameReader {
    BufReader::with_capacity(READ_BUFFER_BYTES, read)
}

/// Frame on the wire: a message with the number of its request and the format of its sender. The names and
/// the order of the fields are fixed.
#[derive(Serialize, Deserialize)]
struct WireFrame<T> {
    /// Number of the request.
    #[serde(rename = "n")]
    number: u64,
    #[serde(rename = "body")]
    message: T,
    /// Format of the sender; the previous version does not send it and ignores it on receipt.
    #[serde(default)]
    format: FrameFormat,
}

/// Received frame.
#[derive(Debug, PartialEq)]
pub(super) struct Frame<T> {
    /// Number of the request.
    pub(super) number: u64,
    /// Format of the sender.
    pub(super) format: FrameFormat,
    /// Message; `None` if this version does not know its kind.
    pub(super) message: Option<T>,
}

/// Encodes a numbered message as a frame with its length prefix; `None` if the message cannot be encoded or is
/// longer than [`MAX_FRAME_BYTES`].
pub(super) fn encode<T: Serialize>(number: u64, message: T) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_PREFIX_BYTES];
    ciborium::into_writer(&WireFrame { number, message, format: FrameFormat::CURRENT }, &mut bytes).ok()?;
    let len = bytes.len() - LENGTH_PREFIX_BYTES;
    if len > MAX_FRAME_BYTES {
        tracing::error!(bytes = len, most = MAX_FRAME_BYTES, "message exceeds the maximum frame length, not sent");
        return None;
    }
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Some(bytes)
}

/// Reads the next frame; `None` if the connection has ended or its data is not a valid frame.
pub(super) async fn read_frame<T: for<'a> Deserialize<'a>>(stream: &mut FrameReader) -> Option<Frame<T>> {
    let mut len = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut len).await.ok()?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME_BYTES {
        return None;
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    decode(&body)
}

/// Decodes the body of a frame; `None` if it is not a valid frame. The message of an unknown kind is ignored.
fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<Frame<T>> {
    if let Ok(WireFrame { number, message, format }) = ciborium::from_reader::<WireFrame<T>, _>(bytes) {
        return Some(Frame { number, format, message: Some(message) });
    }
    let WireFrame { number, format, .. } = ciborium::from_reader::<WireFrame<IgnoredAny>, _>(bytes).ok()?;
    Some(Frame { number, format, message: None })
}

/// Writes queued frames until all senders have been dropped or a write fails. Frames that are queued at the
/// same time are combined into one write.
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
