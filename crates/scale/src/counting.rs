//! Network that counts the bytes of its connections.

use badgerdrift::transport::network::{BoxFuture, Listener, Net, Network, ReadHalf, Stream, WriteHalf};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Traffic of a network so far, in bytes of TCP payload.
#[derive(Debug, Default)]
pub struct Traffic {
    pub received: AtomicU64,
    pub sent: AtomicU64,
    pub connections: AtomicU64,
}

impl Traffic {
    /// Returns the bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }
}

/// Returns a TCP network that adds its traffic to `traffic`.
pub fn counting(traffic: Arc<Traffic>) -> Net {
    Net::new(CountingNetwork { inner: Net::default(), traffic })
}

struct CountingNetwork {
    inner: Net,
    traffic: Arc<Traffic>,
}

impl Network for CountingNetwork {
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move { Ok(count(self.inner.connect(addr).await?, &self.traffic)) })
    }

    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>> {
        Box::pin(async move {
            let inner = self.inner.bind(addr).await?;
            Ok(Box::new(CountingListener { inner, traffic: self.traffic.clone() }) as Box<dyn Listener>)
        })
    }
}

fn count(inner: Box<dyn Stream>, traffic: &Arc<Traffic>) -> Box<dyn Stream> {
    traffic.connections.fetch_add(1, Ordering::Relaxed);
    Box::new(Counted { inner, traffic: traffic.clone() })
}

struct CountingListener {
    inner: Box<dyn Listener>,
    traffic: Arc<Traffic>,
}

impl Listener for CountingListener {
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move { Ok(count(self.inner.accept().await?, &self.traffic)) })
    }
}

/// A connection, or one direction of it.
struct Counted<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.traffic.received.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.traffic.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Stream for Counted<Box<dyn Stream>> {
    fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }

    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf) {
        let Counted { inner, traffic } = *self;
        let (read, write) = inner.halves();
        (Box::new(Counted { inner: read, traffic: traffic.clone() }), Box::new(Counted { inner: write, traffic }))
    }
}
