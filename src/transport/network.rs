//! How connections are made: over TCP, unless a test puts its own network in place.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// A boxed future of an I/O operation, so that the traits here can be used as objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;
/// The reading direction of a connection.
pub type ReadHalf = Box<dyn AsyncRead + Send + Unpin>;
/// The writing direction of a connection.
pub type WriteHalf = Box<dyn AsyncWrite + Send + Unpin>;

/// An open connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
    /// True if the other side has closed an idle connection meanwhile.
    fn is_closed(&self) -> bool;
    /// Splits the connection into both directions, for different tasks.
    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf);
}

/// A bound address.
pub trait Listener: Send + Sync + 'static {
    /// Waits for the next connection.
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>>;
}

/// What connections are made over.
pub trait Network: Send + Sync + 'static {
    /// Opens a connection to an address.
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>>;
    /// Binds an address, to accept connections at it.
    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>>;
}

/// A handle of a network; cheap to clone. TCP by default.
#[derive(Clone)]
pub struct Net(Arc<dyn Network>);

impl Net {
    /// A handle of the given network.
    pub fn new(network: impl Network) -> Net {
        Net(Arc::new(network))
    }

    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// The connection is refused or cannot be opened.
    pub async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        self.0.connect(addr).await
    }

    /// Binds an address, to accept connections at it.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(&self, addr: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.0.bind(addr).await
    }
}

impl Default for Net {
    fn default() -> Net {
        Net::new(TcpNetwork)
    }
}

struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move { TcpStream::connect(addr).await.map(disable_nagle) })
    }

    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(addr).await?) as Box<dyn Listener>) })
    }
}

fn disable_nagle(stream: TcpStream) -> Box<dyn Stream> {
    // Without it the connection is slower, and works.
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}

impl Listener for TcpListener {
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move { TcpListener::accept(self).await.map(|(stream, _)| disable_nagle(stream)) })
    }
}

impl Listener for Box<dyn Listener> {
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>> {
        (**self).accept()
    }
}

impl Stream for TcpStream {
    fn is_closed(&self) -> bool {
        let mut byte = [0u8; 1];
        !matches!(self.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf) {
        let (read, write) = self.into_split();
        (Box::new(read), Box::new(write))
    }
}
