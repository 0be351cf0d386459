//! Abstraction of the network: TCP in production, a simulated network in tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Boxed future of an I/O operation; keeps the traits of this module usable as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;
/// Read half of a connection.
pub type ReadHalf = Box<dyn AsyncRead + Send + Unpin>;
/// Write half of a connection.
pub type WriteHalf = Box<dyn AsyncWrite + Send + Unpin>;

/// Open connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Returns whether the remote side has closed this connection while it was idle.
    fn is_closed(&self) -> bool;
    /// Splits the connection into its read half and its write half, for use in different tasks.
    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf);
}

/// Listening socket, bound to an address.
pub trait Listener: Send + Sync + 'static {
    /// Waits for the next incoming connection and returns it.
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>>;
}

/// Network that opens and accepts connections.
pub trait Network: Send + Sync + 'static {
    /// Opens a connection to `addr`.
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>>;
    /// Binds `addr` and listens for connections there.
    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>>;
}

/// Handle of a [`Network`]; cheap to clone. The default is TCP.
#[derive(Clone)]
pub struct Net(Arc<dyn Network>);

impl Net {
    /// Creates a handle of `network`.
    pub fn new(network: impl Network) -> Net {
        Net(Arc::new(network))
    }

    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the connection is refused or cannot be opened.
    pub async fn connect(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        self.0.connect(addr).await
    }

    /// Binds `addr` and listens for connections there.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(&self, addr: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.0.bind(addr).await
    }
}

impl Default for Net {
    fn default() -> Net {
        Net::new(TcpNetwork)
    }
}

/// Network of the operating system's TCP sockets.
struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move { TcpStream::connect(addr).await.map(disable_nagle) })
    }

    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(addr).await?) as Box<dyn Listener>) })
    }
}

/// Sets `TCP_NODELAY`, so that small messages are sent without delay.
fn disable_nagle(stream: TcpStream) -> Box<dyn Stream> {
    // On failure the connection still works, with a higher latency.
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
