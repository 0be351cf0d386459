//! TCP relays between the processes of a region, which can refuse, hold or delay what passes through them.

use crate::plan::RegionPlan;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Size of the buffer of one direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A path between processes of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From one controller to another.
    Peer { from: usize, to: usize },
    /// From a controller to the state service.
    State { controller: usize },
    /// From users and workers to a controller.
    Door { controller: usize },
}

/// What a link does with connections and data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Passes everything on.
    Open,
    /// Refuses new connections and closes open ones.
    Refusing,
    /// Keeps data until the link is open again.
    Holding,
    /// Passes data on after a delay.
    Delaying(Duration),
}

/// All links of a region; cheap to clone.
#[derive(Clone)]
pub struct Links(Arc<BTreeMap<Link, watch::Sender<LinkState>>>);

impl Links {
    /// Starts the relays of a region.
    pub async fn start(plan: &RegionPlan) -> Result<Links, String> {
        let (networks, count) = (plan.networks(), plan.scenario.controllers_per_region);
        let mut states = BTreeMap::new();
        for controller in 0..count {
            let mut links = vec![
                (Link::State { controller }, networks.state_link(controller), networks.state_service(controller)),
                (Link::Door { controller }, networks.door_link(controller), networks.controller(controller)),
            ];
            let others = (0..count).filter(|to| *to != controller);
            links.extend(others.map(|to| {
                let link = Link::Peer { from: controller, to };
                (link, networks.peer_link(controller, to), networks.controller_internal(to))
            }));
            for (link, at, onward) in links {
                let listener = TcpListener::bind(at).await.map_err(|error| format!("{at}: {error}"))?;
                let state = watch::Sender::new(LinkState::Open);
                tokio::spawn(relay(listener, onward, state.subscribe()));
                states.insert(link, state);
            }
        }
        Ok(Links(Arc::new(states)))
    }

    /// Sets what a link does from now on.
    pub fn set(&self, link: Link, state: LinkState) {
        if let Some(sender) = self.0.get(&link) {
            sender.send_replace(state);
        }
    }

    /// Opens all links.
    pub fn open_all(&self) {
        self.0.values().for_each(|sender| _ = sender.send_replace(LinkState::Open));
    }
}

async fn relay(listener: TcpListener, onward: SocketAddr, state: watch::Receiver<LinkState>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *state.borrow() == LinkState::Refusing {
            continue;
        }
        let state = state.clone();
        tokio::spawn(async move {
            let Ok(target) = TcpStream::connect(onward).await else { return };
            let _ = (stream.set_nodelay(true), target.set_nodelay(true));
            let (from_read, from_write) = stream.into_split();
            let (to_read, to_write) = target.into_split();
            // Either direction ends the connection.
            tokio::select! {
                _ = pass(from_read, to_write, state.clone()) => {}
                _ = pass(to_read, from_write, state.clone()) => {}
                () = until_refusing(state.clone()) => {}
            }
        });
    }
}

async fn until_refusing(mut state: watch::Receiver<LinkState>) {
    // Fails only once the run has ended.
    let _ = state.wait_for(|state| *state == LinkState::Refusing).await;
}

/// Passes data in one direction until the connection ends.
async fn pass(
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = read.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let current = state.wait_for(|state| *state != LinkState::Holding).await.map(|state| *state);
        if let Ok(LinkState::Delaying(delay)) = current {
            sleep(delay).await;
        }
        write.write_all(&buffer[..length]).await?;
    }
}
