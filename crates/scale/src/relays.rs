//! TCP relays through which other regions reach a region's controllers. They can cut regions off from
//! each other.

use crate::plan::RegionPlan;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Set of the regions that are cut off from the others.
#[derive(Clone)]
pub struct Cuts {
    regions: Arc<Vec<watch::Sender<bool>>>,
}

impl Cuts {
    pub fn new(regions: usize) -> Cuts {
        Cuts { regions: Arc::new((0..regions).map(|_| watch::Sender::new(false)).collect()) }
    }

    /// Cuts a region off, or reconnects it.
    pub fn set(&self, region: usize, cut: bool) {
        self.regions[region].send_replace(cut);
    }

    fn watch(&self, region: usize) -> watch::Receiver<bool> {
        self.regions[region].subscribe()
    }
}

/// Starts the relays of a region, one for each pair of a source region and a controller.
pub async fn start(plan: &RegionPlan, cuts: &Cuts) -> Result<(), String> {
    let networks = plan.networks();
    for from in 0..plan.scenario.regions {
        for controller in 0..plan.scenario.controllers_per_region {
            let at = networks.relay(from, controller);
            let listener = TcpListener::bind(at).await.map_err(|error| format!("{at}: {error}"))?;
            let ends = [cuts.watch(from), cuts.watch(plan.region)];
            // A region is never cut off from itself.
            let ends = if from == plan.region { Vec::new() } else { ends.to_vec() };
            tokio::spawn(relay(listener, networks.controller_internal(controller), ends));
        }
    }
    Ok(())
}

async fn relay(listener: TcpListener, to: SocketAddr, ends: Vec<watch::Receiver<bool>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if ends.iter().any(|cut| *cut.borrow()) {
            continue;
        }
        let mut ends = ends.clone();
        tokio::spawn(async move {
            let Ok(mut onward) = TcpStream::connect(to).await else { return };
            let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
            let cut = async {
                for end in &mut ends {
                    end.mark_unchanged();
                }
                match ends.as_mut_slice() {
                    [first, second] => tokio::select! { _ = first.changed() => {}, _ = second.changed() => {} },
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = copy_bidirectional(&mut stream, &mut onward) => {}
                () = cut => {}
            }
        });
    }
}
