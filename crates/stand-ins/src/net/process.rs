//! Connections that a process on the simulated network opens and accepts.

use super::streams::{MemRead, MemStream, MemWrite, Pipe};
use super::{Bound, Cut, Link, Shared, SimulatedNetwork, pair};
use crate::versions::INTERNAL_PORT;
use badgerdrift::transport::network::{BoxFuture, Listener, Network, Stream};
use rand::RngExt;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

pub(super) struct Process {
    pub(super) network: SimulatedNetwork,
    pub(super) host: IpAddr,
    pub(super) process_id: u64,
}

impl Process {
    async fn connect_to(&self, addr: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let lag = Duration::from_millis(self.network.0.lock().unwrap().rng.random_range(1..=5));
        tokio::time::sleep(lag).await;
        if self.exceeds_connection_rate(addr) {
            return std::future::pending().await;
        }
        loop {
            let cuts_changed = self.network.0.lock().unwrap().cuts_changed.clone();
            let cuts_changed = cuts_changed.notified();
            tokio::pin!(cuts_changed);
            cuts_changed.as_mut().enable();
            if let Some(done) = self.try_connect(addr) {
                return done;
            }
            cuts_changed.await;
        }
    }

    /// Counts a connection; returns whether the process opened over 1000 within a second, which breaks a
    /// rule. Simulated time would hardly advance at such a rate.
    fn exceeds_connection_rate(&self, addr: SocketAddr) -> bool {
        let mut inner = self.network.0.lock().unwrap();
        let now = Instant::now();
        let (since, count) = inner.opened.entry(self.process_id).or_insert((now, 0));
        if now - *since > Duration::from_secs(1) {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        let exceeds_connection_rate = *count > 1000;
        if exceeds_connection_rate {
            inner.broken = Some(format!("{} opened over 1000 connections in a second, the last to {addr}", self.host));
        }
        exceeds_connection_rate
    }

    /// Tries to connect. Returns `None` while a cut holds the connection back, or if this process is dead.
    fn try_connect(&self, addr: SocketAddr) -> Option<io::Result<Box<dyn Stream>>> {
        let mut inner = self.network.0.lock().unwrap();
        if inner.dead.contains(&self.process_id) {
            return None;
        }
        let refused = || Some(Err(ErrorKind::ConnectionRefused.into()));
        match inner.cuts.get(&pair(self.host, addr.ip())) {
            Some(Cut::Hold) => return None,
            Some(Cut::Refuse) => return refused(),
            None => {}
        }
        let Some(socket) = inner.bound.get(&addr) else { return refused() };
        let (there, tx) = (socket.process_id, socket.tx.clone());
        let pipe = || Arc::new(Mutex::new(Pipe::new()));
        let (out, back) = (pipe(), pipe());
        let of_production = [self.process_id, there].iter().any(|process_id| inner.production.contains(process_id));
        let in_production_form = addr.port() == INTERNAL_PORT && of_production;
        let end = |read: &Shared<Pipe>, write: &Shared<Pipe>, process_id| MemStream {
            read: MemRead { pipe: read.clone(), timer: None },
            write: MemWrite { pipe: write.clone(), network: self.network.clone(), process_id, in_production_form },
        };
        let (ours, theirs) = (end(&back, &out, self.process_id), end(&out, &back, there));
        inner.links.retain(|l| l.pipes.iter().any(|pipe| pipe.strong_count() > 0));
        let pipes = [Arc::downgrade(&out), Arc::downgrade(&back)];
        inner.links.push(Link { ends: (self.host, addr.ip()), process_ids: (self.process_id, there), pipes });
        // Dropping an end of the connection takes this lock.
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
            let mut inner = self.network.0.lock().unwrap();
            if inner.bound.get(&addr).is_some_and(|socket| !socket.tx.is_closed()) {
                return Err(ErrorKind::AddrInUse.into());
            }
            let (tx, rx) = mpsc::unbounded_channel();
            inner.bound.insert(addr, Bound { process_id: self.process_id, tx });
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
                // The process is dead: no connection arrives any more.
                None => std::future::pending().await,
            }
        })
    }
}
