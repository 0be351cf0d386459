//! Context shared by all simulated services.

use super::deployment::REQUEST_TIMEOUT;
use super::net::SimulatedNetwork;
use super::world::Shared;
use badgerdrift::transport::http::{self, Client, Request, Response};
use badgerdrift::transport::network::Net;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Handles that all simulated services share.
#[derive(Clone)]
pub struct SimulationContext {
    pub seed: u64,
    pub world: Shared,
    pub network: SimulatedNetwork,
    pub user: Client,
    /// Addresses at which the controllers serve users and workers.
    pub doors: Arc<[SocketAddr]>,
    /// Network that replaces the one in memory in a run in real time.
    pub real_network: Option<Net>,
}

impl SimulationContext {
    /// Adds a line to the history.
    pub fn log(&self, what: String) {
        self.world.lock().unwrap().log(what);
    }

    /// Records that a simulated service could not bind its address.
    pub fn fail_bind(&self, at: SocketAddr, error: &std::io::Error) {
        self.world.lock().unwrap().fail_service(format!("{at} cannot be bound: {error}"));
    }

    /// Begins or ends an outage of the state service.
    pub fn state_down(&self, down: bool) {
        self.log(format!("state service down: {down}"));
        self.world.lock().unwrap().store.set_down(down);
    }

    /// Sets whether the state service answers every request of this node with 503.
    pub fn refuse_state(&self, node: usize, refused: bool) {
        self.log(format!("state service refuses n{node}: {refused}"));
        self.world.lock().unwrap().refused[node] = refused;
    }

    /// Serves HTTP at an address with `handler`. An address that cannot be bound fails the simulation.
    pub fn serve<F>(&self, at: SocketAddr, handler: impl Fn(SimulationContext, Request) -> F + Send + Sync + 'static)
    where
        F: Future<Output = Response> + Send + 'static,
    {
        let (context, net) = (self.clone(), self.process(at.ip()).0);
        tokio::spawn(async move {
            let listener = match net.bind(at).await {
                Ok(listener) => listener,
                Err(error) => return context.fail_bind(at, &error),
            };
            http::serve(listener, 500, REQUEST_TIMEOUT, move |req| handler(context.clone(), req)).await;
        });
    }

    /// Creates a process on a host; returns its view of the network and its number, which is 0 on a
    /// real network.
    pub fn process(&self, at: IpAddr) -> (Net, u64) {
        match &self.real_network {
            Some(net) => (net.clone(), 0),
            None => self.network.process(at),
        }
    }
}
