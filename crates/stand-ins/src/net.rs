//! Network in memory with seeded random latency and with cuts between pairs of hosts.

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

/// Effect of a cut on the connections between two hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused and open ones are reset.
    Refuse,
    /// Bytes are held back and delivered in order when the cut ends.
    Hold,
}

type Shared<T> = Arc<Mutex<T>>;

/// An open connection.
struct Link {
    /// Hosts that opened and accepted it.
    ends: (IpAddr, IpAddr),
    /// Numbers of the processes that opened and accepted it.
    process_ids: (u64, u64),
    pipes: [Weak<Mutex<Pipe>>; 2],
}

/// A listening socket.
struct Bound {
    process_id: u64,
    tx: mpsc::UnboundedSender<Box<dyn Stream>>,
}

/// State of the network.
struct Inner {
    rng: StdRng,
    cuts: HashMap<(IpAddr, IpAddr), Cut>,
    links: Vec<Link>,
    bound: HashMap<SocketAddr, Bound>,
    dead: Vec<u64>,
    next_process_id: u64,
    cuts_changed: Arc<Notify>,
    /// Start of the current period of a second and number of connections opened in it, for each process.
    opened: HashMap<u64, (Instant, u32)>,
    /// Processes that run the version in production.
    production: HashSet<u64>,
    /// First rule that was broken on the network.
    broken: Option<String>,
}

/// Handle to the simulated network.
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
            next_process_id: 0,
            cuts_changed: Arc::default(),
            opened: HashMap::new(),
            production: HashSet::new(),
            broken: None,
        })))
    }

    /// Creates a process on a host; returns its view of the network and its number.
    pub fn process(&self, host: IpAddr) -> (Net, u64) {
        let mut inner = self.0.lock().unwrap();
        inner.next_process_id += 1;
        let process_id = inner.next_process_id;
        (Net::new(Process { network: self.clone(), host, process_id }), process_id)
    }

    /// Converts all frames between the process and other controllers to the form of the version in
    /// production.
    pub fn use_production_format(&self, process_id: u64) {
        self.0.lock().unwrap().production.insert(process_id);
    }

    /// Ends a process. Bytes that it has sent still arrive; anything that it does later has no effect.
    pub fn kill(&self, process_id: u64) {
        let mut inner = self.0.lock().unwrap();
        inner.dead.push(process_id);
        inner.bound.retain(|_, socket| socket.process_id != process_id);
        for link in &inner.links {
            for (way, writer, reader) in
                [(0, link.process_ids.0, link.process_ids.1), (1, link.process_ids.1, link.process_ids.0)]
            {
                let Some(pipe) = link.pipes[way].upgrade() else { continue };
                let mut pipe = pipe.lock().unwrap();
                if writer == process_id && pipe.closed.is_none() {
                    pipe.closed = Some(pipe.last);
                    pipe.wake();
                }
                if reader == process_id {
                    pipe.chunks.clear();
                    pipe.reset = true;
                    pipe.reader = None;
                }
            }
        }
    }

    /// Returns the first rule broken on the network, if any: a process opened too many connections, or sent
    /// a frame that its peer cannot read.
    pub fn broken(&self) -> Option<String> {
        self.0.lock().unwrap().broken.clone()
    }

    /// Ends all cuts.
    pub fn mend(&self) {
        let cuts: Vec<_> = self.0.lock().unwrap().cuts.keys().copied().collect();
        cuts.into_iter().for_each(|(a, b)| self.cut(a, b, None));
    }

    /// Cuts the connections between two hosts; `None` ends the cut.
    pub fn cut(&self, a: IpAddr, b: IpAddr, cut: Option<Cut>) {
        let mut inner = self.0.lock().unwrap();
        let ends = pair(a, b);
        match cut {
            Some(c) => inner.cuts.insert(ends, c),
            None => inner.cuts.remove(&ends),
        };
        for link in inner.links.iter().filter(|link| pair(link.ends.0, link.ends.1) == ends) {
            for pipe in link.pipes.iter().filter_map(Weak::upgrade) {
                let mut pipe = pipe.lock().unwrap();
                pipe.held = cut == Some(Cut::Hold);
                if cut == Some(Cut::Refuse) {
                    pipe.reset = true;
                    pipe.chunks.clear();
                }
                pipe.wake();
            }
        }
        inner.cuts_changed.notify_waiters();
    }
}
