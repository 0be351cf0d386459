//! Directions and ends of a connection in memory.

use super::{Shared, SimulatedNetwork};
use crate::versions::production_frames;
use badgerdrift::transport::network::{ReadHalf, Stream, WriteHalf};
use rand::RngExt;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// One direction of a connection.
pub(super) struct Pipe {
    /// Bytes that were not read yet, each chunk with the instant of its arrival.
    pub(super) chunks: VecDeque<(Instant, Vec<u8>)>,
    /// Instant from which the reader sees the end of the stream; `None` while the writer is open.
    pub(super) closed: Option<Instant>,
    pub(super) reset: bool,
    /// Whether a cut holds the bytes back.
    pub(super) held: bool,
    /// Arrival of the last chunk.
    pub(super) last: Instant,
    pub(super) reader: Option<Waker>,
}

impl Pipe {
    /// Returns an empty, open direction.
    pub(super) fn new() -> Pipe {
        Pipe { chunks: VecDeque::new(), closed: None, reset: false, held: false, last: Instant::now(), reader: None }
    }

    pub(super) fn wake(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }
}

/// One end of a connection.
pub(super) struct MemStream {
    pub(super) read: MemRead,
    pub(super) write: MemWrite,
}

pub(super) struct MemRead {
    pub(super) pipe: Shared<Pipe>,
    pub(super) timer: Option<Pin<Box<Sleep>>>,
}

pub(super) struct MemWrite {
    pub(super) pipe: Shared<Pipe>,
    pub(super) network: SimulatedNetwork,
    pub(super) process_id: u64,
    /// Whether written bytes are frames that are converted to the form of the version in production.
    pub(super) in_production_form: bool,
}

impl AsyncRead for MemRead {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = &mut *self;
        loop {
            let mut pipe = me.pipe.lock().unwrap();
            if pipe.reset {
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            pipe.reader = Some(cx.waker().clone());
            if pipe.held {
                return Poll::Pending;
            }
            let now = Instant::now();
            let closed = pipe.closed;
            let due = match (pipe.chunks.front_mut(), closed) {
                (Some((at, bytes)), _) if *at <= now => {
                    let n = bytes.len().min(buf.remaining());
                    buf.put_slice(&bytes[..n]);
                    bytes.drain(..n);
                    if bytes.is_empty() {
                        pipe.chunks.pop_front();
                    }
                    return Poll::Ready(Ok(()));
                }
                (Some((at, _)), _) => *at,
                (None, Some(at)) if at <= now => return Poll::Ready(Ok(())),
                (None, Some(at)) => at,
                (None, None) => return Poll::Pending,
            };
            drop(pipe);
            let timer = me.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
            timer.as_mut().reset(due);
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl Drop for MemRead {
    fn drop(&mut self) {
        if let Ok(mut pipe) = self.pipe.lock() {
            pipe.reader = None;
        }
    }
}

impl MemWrite {
    fn close(&self) {
        // The locks are taken in the same order as by a cut: first the network's.
        let inner = self.network.0.lock().unwrap();
        if inner.dead.contains(&self.process_id) {
            return;
        }
        let mut pipe = self.pipe.lock().unwrap();
        if pipe.closed.is_none() {
            pipe.closed = Some(pipe.last.max(Instant::now()));
            pipe.wake();
        }
    }
}

impl AsyncWrite for MemWrite {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.network.0.lock().unwrap();
        if inner.dead.contains(&self.process_id) {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let lag = Duration::from_millis(inner.rng.random_range(1..=5));
        let sent = match self.in_production_form.then(|| production_frames(buf)) {
            Some(Ok(frame)) => frame,
            Some(Err(broken)) => {
                inner.broken.get_or_insert(broken);
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            None => buf.to_vec(),
        };
        let mut pipe = self.pipe.lock().unwrap();
        if pipe.reset || pipe.closed.is_some() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let at = pipe.last.max(Instant::now() + lag);
        pipe.last = at;
        pipe.chunks.push_back((at, sent));
        pipe.wake();
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close();
        Poll::Ready(Ok(()))
    }
}

impl Drop for MemWrite {
    fn drop(&mut self) {
        self.close();
    }
}

impl AsyncRead for MemStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.read).poll_read(cx, buf)
    }
}

impl AsyncWrite for MemStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

impl Stream for MemStream {
    fn is_closed(&self) -> bool {
        let pipe = self.read.pipe.lock().unwrap();
        let now = Instant::now();
        let ended = !pipe.held && pipe.closed.is_some_and(|at| at <= now);
        pipe.reset || ended || (!pipe.held && pipe.chunks.front().is_some_and(|c| c.0 <= now))
    }

    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf) {
        let MemStream { read, write } = *self;
        (Box::new(read), Box::new(write))
    }
}
