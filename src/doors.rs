//! The ways to the holders of the parts: the actors on this node, or the other
//! controllers.

use crate::clock;
use crate::holder;
use crate::http::Response;
use crate::membership::{self, Bonds, Entitlement, Seat};
use crate::part::UserAnswer;
use crate::peer::{Ask, Peer, Reply, UserCall};
use crate::wire;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

pub const SLOW: &str = "no decision in time";

/// The way to one part on this node.
#[derive(Clone)]
pub struct Door {
    pub seat: watch::Receiver<Seat>,
    pub entitled: Entitlement,
    pub bonds: Bonds,
    pub holder: mpsc::Sender<holder::Msg>,
    pub members: mpsc::Sender<membership::Msg>,
}

/// The ways to all parts; cheap to clone.
#[derive(Clone)]
pub struct Doors {
    pub parts: Arc<Vec<Door>>,
    pub peers: Arc<Vec<Peer>>,
    pub life_ms: u64,
    /// When the holder of each part was last heard to be at work.
    pub heard_ms: Arc<Vec<AtomicU64>>,
}

impl Doors {
    pub fn mine(&self, part: u32) -> bool {
        self.parts.get(part as usize).is_some_and(|d| d.seat.borrow().mine)
    }

    /// The node that holds a part, as far as is known here.
    pub fn holder(&self, part: u32) -> Option<String> {
        self.parts.get(part as usize)?.seat.borrow().holder.clone()
    }

    /// Asks the holder of a part, here or elsewhere.
    pub async fn ask(&self, part: u32, ask: Ask) -> Option<Reply> {
        if self.mine(part) {
            return Some(self.answer(ask).await);
        }
        let name = self.holder(part)?;
        let peer = self.peers.iter().find(|p| p.name == name)?;
        // A submission can be accepted without the holder: it need not wait
        // for one that may be gone.
        let submits = matches!(ask, Ask::User { call: UserCall::Submit(_), .. });
        let limit = match submits {
            true if self.at_work(part) => self.life_ms / 5,
            true => self.life_ms / 10,
            false => self.life_ms * 2 / 5,
        };
        peer.ask(ask, Duration::from_millis(limit)).await
    }

    /// Has the holder of the part asked for a promise just now? It does so five
    /// times in the life of one.
    pub fn at_work(&self, part: u32) -> bool {
        let heard = self.heard_ms.get(part as usize).map_or(0, |h| h.load(Ordering::Relaxed));
        heard > 0 && clock::now_ms() < heard + self.life_ms / 4
    }

    /// Asks the holder of a part on behalf of a user.
    pub async fn user(&self, part: u32, call: UserCall) -> Option<Response> {
        match self.ask(part, Ask::User { part, call }).await? {
            Reply::User { status, body, retry_after_s } => {
                Some(Response { status, body, retry_after_s, allow: None, content_type: "application/json" })
            }
            _ => None,
        }
    }

    /// Answers another controller, or this one, from the actors on this node.
    pub async fn answer(&self, ask: Ask) -> Reply {
        match ask {
            Ask::Promise { part, holder, term, for_ms, state_ok } => {
                let Some(door) = self.parts.get(part as usize) else { return Reply::No };
                if let Some(h) = self.heard_ms.get(part as usize) {
                    h.store(clock::now_ms(), Ordering::Relaxed);
                }
                let (reply, rx) = oneshot::channel();
                let m = membership::Msg::Promise { holder, term, for_ms, state_ok, reply };
                if door.members.try_send(m).is_ok() && rx.await == Ok(true) { Reply::Promised } else { Reply::No }
            }
            Ask::Release { part, term } => {
                if let Some(door) = self.parts.get(part as usize) {
                    let _ = door.members.try_send(membership::Msg::Release { term });
                }
                Reply::Promised
            }
            Ask::User { part, call } => {
                let r = self.local(part, call).await;
                Reply::User { status: r.status, body: r.body, retry_after_s: r.retry_after_s }
            }
            Ask::Needs(needs) => self.actor(0, |reply| holder::Msg::Needs { needs, reply }).await,
            Ask::Give { part, host, to } => self.actor(part, |reply| holder::Msg::Give { host, to, reply }).await,
        }
    }

    async fn actor(&self, part: u32, m: impl FnOnce(oneshot::Sender<Reply>) -> holder::Msg) -> Reply {
        let Some(door) = self.parts.get(part as usize) else { return Reply::No };
        let (reply, rx) = oneshot::channel();
        match door.holder.try_send(m(reply)) {
            Ok(()) => rx.await.unwrap_or(Reply::No),
            Err(_) => Reply::No,
        }
    }

    async fn local(&self, part: u32, call: UserCall) -> Response {
        let Some(door) = self.parts.get(part as usize) else { return Response::later("no such part") };
        let (tx, rx) = oneshot::channel();
        let submits = matches!(call, UserCall::Submit(_));
        if door.holder.try_send(holder::Msg::User { call, reply: tx }).is_err() {
            return Response::later("too many requests");
        }
        // A commit that takes longer is answered by the retry.
        match timeout(Duration::from_millis(self.life_ms), rx).await {
            Ok(Ok(a)) => to_response(a),
            _ if submits => Response::busy(SLOW, 1),
            _ => Response::later(SLOW),
        }
    }
}

fn to_response(a: UserAnswer) -> Response {
    match a {
        UserAnswer::Accepted { created, id, phase } => {
            let status = if created { 201 } else { 200 };
            Response::json(status, &wire::job_answer(&id, phase, 0, 0))
        }
        UserAnswer::Status { id, phase, done, running } => {
            Response::json(200, &wire::job_answer(&id, phase, done, running))
        }
        UserAnswer::Malformed(m) => Response::error(400, &m),
        UserAnswer::Impossible(m) => Response::error(422, &m),
        UserAnswer::Unknown => Response::error(404, "no such job"),
        UserAnswer::Later(m) => Response::later(m),
        UserAnswer::Busy(after_s) => Response::busy("too many submissions", after_s),
    }
}

#[cfg(test)]
mod tests;
