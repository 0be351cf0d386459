//! Puts a controller together and runs it.

use crate::api::Api;
use crate::clients::{Cloud, State, Worker};
use crate::config::{Operator, Seed, Settings};
use crate::doors::{Door, Doors};
use crate::holder::Holder;
use crate::membership::{Bonds, Entitlement, Membership, Seat};
use crate::net::Net;
use crate::peer::{self, Peer};
use crate::sched::Policy;
use crate::{clock, http, task};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Serves for ever; an error means that a port can't be opened.
pub async fn run(settings: Settings, operator: Operator) -> std::io::Result<()> {
    run_on(Net::default(), settings, operator).await
}

/// The same over a given network.
pub async fn run_on(net: Net, settings: Settings, operator: Operator) -> std::io::Result<()> {
    clock::now_ms();
    let users = net.bind(settings.serve_on).await?;
    let internal = net.bind(settings.internal_addr).await?;
    tracing::info!(node = settings.node, serve_on = %settings.serve_on, "serving");

    let life_ms = settings.grant_life_ms();
    let state = State::on(&net, &settings);
    let cloud = Cloud::on(&net, &settings);
    let connect_limit = Duration::from_millis(life_ms / 4);
    let start = |s: &Seed| Peer::start_on(net.clone(), s.node.clone(), s.endpoint, connect_limit);
    let peers: Vec<Peer> = settings.seeds.iter().map(start).collect();

    let held = Arc::new(AtomicUsize::new(0));
    let mut nodes: Vec<&str> = settings.seeds.iter().map(|s| s.node.as_str()).collect();
    nodes.push(&settings.node);
    nodes.sort_unstable();
    let own = nodes.iter().position(|n| *n == settings.node).unwrap_or(0);

    let mut doors = Vec::new();
    let mut members = Vec::new();
    let mut holders = Vec::new();
    for part in 0..operator.parts {
        let (entitled, bonds) = (Entitlement::default(), Bonds::default());
        let (seat_tx, seat) = watch::channel(Seat::default());
        let (tenancy_tx, tenancy) = mpsc::channel(8);
        let (members_tx, members_rx) = mpsc::channel(256);
        let (holder_tx, holder_rx) = mpsc::channel(1024);
        let ours = part as usize % nodes.len() == own;
        let membership = Membership {
            part,
            node: settings.node.clone(),
            life_ms,
            lease_ms: settings.lease_ms(),
            state: state.clone(),
            peers: peers.clone(),
            entitled: entitled.clone(),
            bonds: bonds.clone(),
            seat: seat_tx,
            tenancy: tenancy_tx,
            held: held.clone(),
            courtesy_ms: if operator.parts > 1 && !ours { life_ms / 5 } else { 0 },
        };
        members.push((membership, members_tx.clone(), members_rx));
        holders.push((tenancy, holder_rx));
        doors.push(Door { seat, entitled, bonds, holder: holder_tx, members: members_tx });
    }
    let heard_ms = Arc::new((0..operator.parts).map(|_| AtomicU64::new(0)).collect());
    let doors = Doors { parts: Arc::new(doors), peers: Arc::new(peers), life_ms, heard_ms };
    for (membership, tx, rx) in members {
        task::spawn(membership.run(tx, rx));
    }
    for (id, (tenancy, rx)) in (0..).zip(holders) {
        let door = &doors.parts[id as usize];
        let holder = Holder {
            id,
            settings: settings.clone(),
            operator: operator.clone(),
            state: state.clone(),
            cloud: cloud.clone(),
            worker: Worker::on(&net, &settings),
            entitled: door.entitled.clone(),
            bonds: door.bonds.clone(),
            members: door.members.clone(),
            doors: doors.clone(),
            tx: door.holder.clone(),
            current: Arc::new(AtomicU64::new(0)),
        };
        task::spawn(holder.run(tenancy, rx));
    }

    let for_peers = doors.clone();
    task::spawn(peer::serve(internal, move |ask| {
        let doors = for_peers.clone();
        async move { doors.answer(ask).await }
    }));
    let teams = Arc::new(settings.parts_of_teams(operator.parts));
    let policy = Arc::new(Policy::new(&settings, &operator, 0));
    let value_bytes = (settings.params.state.value_kb * 1024.0) as usize;
    let api = Api { state, doors, teams, policy, value_bytes, places: Default::default() };
    // A quarter of the sockets is for what this node opens itself.
    let max_open = settings.params.limits.max_sockets * 3 / 4;
    let patience = Duration::from_millis(settings.lease_ms() / 2);
    http::serve(users, max_open, patience, move |req| api.clone().handle(req)).await;
    Ok(())
}
