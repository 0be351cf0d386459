//! Puts a controller together and runs it.

use crate::api::Api;
use crate::clients::{Cloud, State, Worker};
use crate::config::{Operator, Settings};
use crate::holder::Holder;
use crate::membership::{self, Entitlement, Membership, Seat};
use crate::peer::{self, Ask, Peer, Reply};
use crate::{clock, http};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// Serves for ever; an error means that a port can't be opened.
pub async fn run(settings: Settings, operator: Operator) -> std::io::Result<()> {
    clock::now_ms();
    let users = TcpListener::bind(settings.serve_on).await?;
    let internal = TcpListener::bind(settings.internal_addr).await?;
    tracing::info!(node = settings.node, serve_on = %settings.serve_on, "serving");

    let life_ms = settings.grant_life_ms();
    let state = State::new(&settings);
    let cloud = Cloud::new(&settings);
    let connect_limit = Duration::from_millis(life_ms / 4);
    let peers: Vec<Peer> =
        settings.seeds.iter().map(|s| Peer::start(s.node.clone(), s.endpoint, connect_limit)).collect();

    let entitled = Entitlement::default();
    let (seat_tx, seat) = watch::channel(Seat::default());
    let (tenancy_tx, tenancy) = mpsc::channel(8);
    let (members_tx, members_rx) = mpsc::channel(256);
    let (holder_tx, holder_rx) = mpsc::channel(1024);
    let membership = Membership {
        part: 0,
        node: settings.node.clone(),
        life_ms,
        state: state.clone(),
        peers: peers.clone(),
        entitled: entitled.clone(),
        seat: seat_tx,
        tenancy: tenancy_tx,
    };
    tokio::spawn(membership.run(members_tx.clone(), members_rx));
    let holder = Holder {
        id: 0,
        settings: settings.clone(),
        operator,
        state: state.clone(),
        cloud,
        worker: Worker::new(&settings),
        entitled: entitled.clone(),
        superseded: members_tx.clone(),
        tx: holder_tx.clone(),
        current: Arc::new(AtomicU64::new(0)),
    };
    tokio::spawn(holder.run(tenancy, holder_rx));

    let api = Api { state, seat, entitled, holder: holder_tx, peers, life_ms };
    let for_peers = api.clone();
    tokio::spawn(peer::serve(internal, move |ask| answer_peer(for_peers.clone(), members_tx.clone(), ask)));
    // A quarter of the sockets is for what this node opens itself.
    let max_open = settings.params.limits.max_sockets * 3 / 4;
    let patience = Duration::from_millis(settings.lease_ms() / 2);
    http::serve(users, max_open, patience, move |req| api.clone().handle(req)).await;
    Ok(())
}

async fn answer_peer(api: Api, members: mpsc::Sender<membership::Msg>, ask: Ask) -> Reply {
    match ask {
        Ask::Promise { term, for_ms, state_ok, .. } => {
            let (tx, rx) = oneshot::channel();
            let m = membership::Msg::Promise { term, for_ms, state_ok, reply: tx };
            if members.try_send(m).is_err() {
                return Reply::No;
            }
            if rx.await == Ok(true) { Reply::Promised } else { Reply::No }
        }
        ask => {
            let r = api.local(ask).await;
            Reply::User { status: r.status, body: r.body, retry_after_s: r.retry_after_s }
        }
    }
}
