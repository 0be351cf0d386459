//! Frames between controllers: a length of four bytes and a numbered message in CBOR.

use crate::net::{ReadHalf, WriteHalf};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

/// Most that a frame may hold: a request's body with what is around it.
const MAX_FRAME: usize = 128 * 1024;

/// A message with the number of its request.
#[derive(Serialize, Deserialize)]
struct Numbered<T> {
    n: u64,
    body: T,
}

/// A frame with a numbered message, unless it is too long.
pub(super) fn encode<T: Serialize>(n: u64, body: T) -> Option<Vec<u8>> {
    let mut out = vec![0; 4];
    ciborium::into_writer(&Numbered { n, body }, &mut out).ok()?;
    let len = out.len() - 4;
    if len > MAX_FRAME {
        return None;
    }
    out[..4].copy_from_slice(&(len as u32).to_be_bytes());
    Some(out)
}

/// The next message and its number; none once the connection is of no more use.
pub(super) async fn read_frame<T: for<'a> Deserialize<'a>>(stream: &mut ReadHalf) -> Option<(u64, T)> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await.ok()?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME {
        return None;
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.ok()?;
    let m: Numbered<T> = ciborium::from_reader(body.as_slice()).ok()?;
    Some((m.n, m.body))
}

/// Writes frames until nobody can send any more, or the connection takes no more.
pub(super) async fn write_frames(mut write: WriteHalf, mut rx: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = rx.recv().await {
        if write.write_all(&frame).await.is_err() {
            return;
        }
    }
}
