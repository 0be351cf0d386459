//! A network in memory: latency from the seed, and cuts between pairs of hosts.

use super::versions::{INTERNAL_PORT, production_frame};
use badgerdrift::net::{BoxFuture, Listener, Net, Network, ReadHalf, Stream, WriteHalf};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, Sleep};

/// What a cut does to a pair of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections fail at once, open ones are reset.
    Refuse,
    /// Bytes are kept, and come in order when the cut ends.
    Hold,
}

/// One direction of a connection.
struct Pipe {
    chunks: VecDeque<(Instant, Vec<u8>)>,
    /// The writer has closed it then.
    closed: Option<Instant>,
    reset: bool,
    held: bool,
    last: Instant,
    reader: Option<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        if let Some(w) = self.reader.take() {
            w.wake();
        }
    }
}

type Shared<T> = Arc<Mutex<T>>;

struct Link {
    ends: (IpAddr, IpAddr),
    /// Lives of the hosts that opened and accepted it.
    lives: (u64, u64),
    pipes: [Weak<Mutex<Pipe>>; 2],
}

struct Bound {
    life: u64,
    tx: mpsc::UnboundedSender<Box<dyn Stream>>,
}

struct Inner {
    rng: StdRng,
    cuts: HashMap<(IpAddr, IpAddr), Cut>,
    links: Vec<Link>,
    bound: HashMap<SocketAddr, Bound>,
    dead: Vec<u64>,
    next_life: u64,
    mended: Arc<Notify>,
    /// Connections that each process opened at an instant or close to it.
    opened: HashMap<u64, (Instant, u32)>,
    /// Processes of the version in production.
    production: HashSet<u64>,
    /// The first rule that was broken on the network.
    broken: Option<String>,
}

/// The whole network.
#[derive(Clone)]
pub struct Fabric(Shared<Inner>);

fn pair(a: IpAddr, b: IpAddr) -> (IpAddr, IpAddr) {
    (a.min(b), a.max(b))
}

impl Fabric {
    pub fn new(seed: u64) -> Fabric {
        Fabric(Arc::new(Mutex::new(Inner {
            rng: StdRng::seed_from_u64(seed),
            cuts: HashMap::new(),
            links: Vec::new(),
            bound: HashMap::new(),
            dead: Vec::new(),
            next_life: 0,
            mended: Arc::default(),
            opened: HashMap::new(),
            production: HashSet::new(),
            broken: None,
        })))
    }

    /// The network as one process on a host sees it, and that process's number.
    pub fn process(&self, host: IpAddr) -> (Net, u64) {
        let mut inner = self.0.lock().unwrap();
        inner.next_life += 1;
        let life = inner.next_life;
        (Net::new(Process { fabric: self.clone(), host, life }), life)
    }

    /// What the process says to other controllers, and hears from them, is in the form of the
    /// version in production.
    pub fn speak_as_production(&self, life: u64) {
        self.0.lock().unwrap().production.insert(life);
    }

    /// Ends a process as far as anybody can tell: what it had sent still arrives,
    /// what it does later goes nowhere.
    pub fn kill(&self, life: u64) {
        let mut inner = self.0.lock().unwrap();
        inner.dead.push(life);
        inner.bound.retain(|_, b| b.life != life);
        for l in &inner.links {
            for (way, writer, reader) in [(0, l.lives.0, l.lives.1), (1, l.lives.1, l.lives.0)] {
                let Some(p) = l.pipes[way].upgrade() else { continue };
                let mut p = p.lock().unwrap();
                if writer == life && p.closed.is_none() {
                    p.closed = Some(p.last);
                    p.wake();
                }
                if reader == life {
                    p.chunks.clear();
                    p.reset = true;
                    p.reader = None;
                }
            }
        }
    }

    /// A process that opened connections without end, or said what another can't read.
    pub fn broken(&self) -> Option<String> {
        self.0.lock().unwrap().broken.clone()
    }

    /// Ends all cuts.
    pub fn mend(&self) {
        let cuts: Vec<_> = self.0.lock().unwrap().cuts.keys().copied().collect();
        cuts.into_iter().for_each(|(a, b)| self.cut(a, b, None));
    }

    pub fn cut(&self, a: IpAddr, b: IpAddr, cut: Option<Cut>) {
        let mut inner = self.0.lock().unwrap();
        let ends = pair(a, b);
        match cut {
            Some(c) => inner.cuts.insert(ends, c),
            None => inner.cuts.remove(&ends),
        };
        for l in inner.links.iter().filter(|l| pair(l.ends.0, l.ends.1) == ends) {
            for p in l.pipes.iter().filter_map(Weak::upgrade) {
                let mut p = p.lock().unwrap();
                p.held = cut == Some(Cut::Hold);
                if cut == Some(Cut::Refuse) {
                    p.reset = true;
                    p.chunks.clear();
                }
                p.wake();
            }
        }
        inner.mended.notify_waiters();
    }
}

struct Process {
    fabric: Fabric,
    host: IpAddr,
    life: u64,
}

impl Process {
    async fn connect_to(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let lag = Duration::from_millis(self.fabric.0.lock().unwrap().rng.random_range(1..=5));
        tokio::time::sleep(lag).await;
        if self.storms(addr) {
            return std::future::pending().await;
        }
        loop {
            let mended = self.fabric.0.lock().unwrap().mended.clone();
            let mended = mended.notified();
            tokio::pin!(mended);
            mended.as_mut().enable();
            if let Some(done) = self.try_connect(addr) {
                return done;
            }
            mended.await;
        }
    }

    /// Over 1000 connections in a second: the clock would hardly go on.
    fn storms(&self, addr: SocketAddr) -> bool {
        let mut inner = self.fabric.0.lock().unwrap();
        let now = Instant::now();
        let (since, count) = inner.opened.entry(self.life).or_insert((now, 0));
        if now - *since > Duration::from_secs(1) {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let storms = *count > 1000;
        if storms {
            inner.broken = Some(format!("{} opens over 1000 connections a second, to {addr}", self.host));
        }
        storms
    }

    /// None while the way is held.
    fn try_connect(&self, addr: SocketAddr) -> Option<io::Result<Box<dyn Stream>>> {
        let mut inner = self.fabric.0.lock().unwrap();
        if inner.dead.contains(&self.life) {
            return None;
        }
        let refused = || Some(Err(ErrorKind::ConnectionRefused.into()));
        match inner.cuts.get(&pair(self.host, addr.ip())) {
            Some(Cut::Hold) => return None,
            Some(Cut::Refuse) => return refused(),
            None => {}
        }
        let Some(b) = inner.bound.get(&addr) else { return refused() };
        let (there, tx) = (b.life, b.tx.clone());
        let pipe = || {
            Arc::new(Mutex::new(Pipe {
                chunks: VecDeque::new(),
                closed: None,
                reset: false,
                held: false,
                last: Instant::now(),
                reader: None,
            }))
        };
        let (out, back) = (pipe(), pipe());
        let of_production = [self.life, there].iter().any(|life| inner.production.contains(life));
        let in_production_form = addr.port() == INTERNAL_PORT && of_production;
        let end = |read: &Shared<Pipe>, write: &Shared<Pipe>, life| MemStream {
            read: MemRead { pipe: read.clone(), timer: None },
            write: MemWrite { pipe: write.clone(), fabric: self.fabric.clone(), life, in_production_form },
        };
        let (ours, theirs) = (end(&back, &out, self.life), end(&out, &back, there));
        inner.links.retain(|l| l.pipes.iter().any(|p| p.strong_count() > 0));
        let pipes = [Arc::downgrade(&out), Arc::downgrade(&back)];
        inner.links.push(Link { ends: (self.host, addr.ip()), lives: (self.life, there), pipes });
        // An end that is dropped takes the lock.
        drop(inner);
        if tx.send(Box::new(theirs)).is_err() {
            return refused();
        }
        Some(Ok(Box::new(ours)))
    }
}

impl Network for Process {
    fn connect(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(self.connect_to(addr))
    }

    fn bind(&self, addr: SocketAddr) -> BoxFuture<'_, Box<dyn Listener>> {
        Box::pin(async move {
            let mut inner = self.fabric.0.lock().unwrap();
            if inner.bound.get(&addr).is_some_and(|b| !b.tx.is_closed()) {
                return Err(ErrorKind::AddrInUse.into());
            }
            let (tx, rx) = mpsc::unbounded_channel();
            inner.bound.insert(addr, Bound { life: self.life, tx });
            Ok(Box::new(MemListener(tokio::sync::Mutex::new(rx))) as Box<dyn Listener>)
        })
    }
}

struct MemListener(tokio::sync::Mutex<mpsc::UnboundedReceiver<Box<dyn Stream>>>);

impl Listener for MemListener {
    fn accept(&self) -> BoxFuture<'_, Box<dyn Stream>> {
        Box::pin(async move {
            match self.0.lock().await.recv().await {
                Some(s) => Ok(s),
                // The process is dead: nothing comes any more.
                None => std::future::pending().await,
            }
        })
    }
}

struct MemStream {
    read: MemRead,
    write: MemWrite,
}

struct MemRead {
    pipe: Shared<Pipe>,
    timer: Option<Pin<Box<Sleep>>>,
}

struct MemWrite {
    pipe: Shared<Pipe>,
    fabric: Fabric,
    life: u64,
    /// What is written are frames, which are put into the form of the version in production.
    in_production_form: bool,
}

impl AsyncRead for MemRead {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let me = &mut *self;
        loop {
            let mut p = me.pipe.lock().unwrap();
            if p.reset {
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            p.reader = Some(cx.waker().clone());
            if p.held {
                return Poll::Pending;
            }
            let now = Instant::now();
            let closed = p.closed;
            let due = match (p.chunks.front_mut(), closed) {
                (Some((at, bytes)), _) if *at <= now => {
                    let n = bytes.len().min(buf.remaining());
                    buf.put_slice(&bytes[..n]);
                    bytes.drain(..n);
                    if bytes.is_empty() {
                        p.chunks.pop_front();
                    }
                    return Poll::Ready(Ok(()));
                }
                (Some((at, _)), _) => *at,
                (None, Some(at)) if at <= now => return Poll::Ready(Ok(())),
                (None, Some(at)) => at,
                (None, None) => return Poll::Pending,
            };
            drop(p);
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
        if let Ok(mut p) = self.pipe.lock() {
            p.reader = None;
        }
    }
}

impl MemWrite {
    fn close(&self) {
        // Locked in the same order as by a cut.
        let inner = self.fabric.0.lock().unwrap();
        if inner.dead.contains(&self.life) {
            return;
        }
        let mut p = self.pipe.lock().unwrap();
        if p.closed.is_none() {
            p.closed = Some(p.last.max(Instant::now()));
            p.wake();
        }
    }
}

impl AsyncWrite for MemWrite {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.fabric.0.lock().unwrap();
        if inner.dead.contains(&self.life) {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let lag = Duration::from_millis(inner.rng.random_range(1..=5));
        let sent = match self.in_production_form.then(|| production_frame(buf)) {
            Some(Ok(frame)) => frame,
            Some(Err(broken)) => {
                inner.broken.get_or_insert(broken);
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            None => buf.to_vec(),
        };
        let mut p = self.pipe.lock().unwrap();
        if p.reset || p.closed.is_some() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let at = p.last.max(Instant::now() + lag);
        p.last = at;
        p.chunks.push_back((at, sent));
        p.wake();
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
        let p = self.read.pipe.lock().unwrap();
        let now = Instant::now();
        let ended = !p.held && p.closed.is_some_and(|at| at <= now);
        p.reset || ended || (!p.held && p.chunks.front().is_some_and(|c| c.0 <= now))
    }

    fn halves(self: Box<Self>) -> (ReadHalf, WriteHalf) {
        let MemStream { read, write } = *self;
        (Box::new(read), Box::new(write))
    }
}
