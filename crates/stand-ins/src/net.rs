//! A network in memory: latency from the seed, and cuts between pairs of hosts.

mod process;
mod streams;

use badgerdrift::transport::network::{Net, Stream};
use process::Process;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, Weak};
use streams::Pipe;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// What a cut does to a pair of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Connections fail at once, open ones are reset.
    Refuse,
    /// Bytes are kept, and come in order when the cut ends.
    Hold,
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
pub struct SimulatedNetwork(Shared<Inner>);

fn pair(a: IpAddr, b: IpAddr) -> (IpAddr, IpAddr) {
    (a.min(b), a.max(b))
}

impl SimulatedNetwork {
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork(Arc::new(Mutex::new(Inner {
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
        (Net::new(Process { network: self.clone(), host, life }), life)
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
