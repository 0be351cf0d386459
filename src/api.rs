//! What users, workers and health checks ask of this node.

use crate::clients::State;
use crate::clock;
use crate::holder;
use crate::http::{Request, Response};
use crate::membership::{Entitlement, Seat};
use crate::model::{JobEnd, JobPhase, JobRecord};
use crate::part::{UserAnswer, job_key};
use crate::peer::{Ask, Peer, Reply};
use crate::wire::{self, Report};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// What answering needs; cheap to clone.
#[derive(Clone)]
pub struct Api {
    pub state: State,
    pub seat: watch::Receiver<Seat>,
    pub entitled: Entitlement,
    pub holder: mpsc::Sender<holder::Msg>,
    pub peers: Vec<Peer>,
    pub life_ms: u64,
}

impl Api {
    pub async fn handle(self, req: Request) -> Response {
        let path = req.path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (req.method.as_str(), parts.as_slice()) {
            ("POST", ["agent", "beat"]) => self.beat(&req.body).await,
            ("POST", ["v1", "jobs"]) => self.user(Ask::Submit(req.body)).await,
            ("GET", ["v1", "jobs", id]) => self.user(Ask::Status(id.to_string())).await,
            ("POST", ["v1", "jobs", id, "withdraw"]) => self.user(Ask::Cancel(id.to_string())).await,
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics().await,
            (_, ["agent", "beat"] | ["v1", "jobs"] | ["v1", "jobs", _, "withdraw"]) => not_allowed("POST"),
            (_, ["v1", "jobs", _] | ["ready"] | ["metrics"]) => not_allowed("GET"),
            _ => Response::error(404, "no such path"),
        }
    }

    /// Ready means: requests can really be taken, for the state service answers
    /// and somebody holds the jobs.
    fn ready(&self) -> Response {
        let now = clock::now_ms();
        let last = self.state.last_ok_ms();
        let state_ok = last > 0 && now.saturating_sub(last) < self.life_ms;
        let seat = self.seat.borrow();
        let held = if seat.mine { self.entitled.holds(now) } else { seat.holder.is_some() };
        if state_ok && held {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            Response::later("not ready")
        }
    }

    async fn metrics(&self) -> Response {
        let (tx, rx) = oneshot::channel();
        let sent = self.holder.try_send(holder::Msg::Metrics(tx)).is_ok();
        let text = if sent { rx.await.unwrap_or_default() } else { String::new() };
        Response {
            status: 200,
            body: text.into_bytes(),
            retry_after_s: None,
            allow: None,
            content_type: "text/plain; version=0.0.4",
        }
    }

    async fn beat(&self, body: &[u8]) -> Response {
        let Ok(report) = serde_json::from_slice::<Report>(body) else {
            return Response::error(400, "not a report");
        };
        let seat = self.seat.borrow().clone();
        if !seat.mine {
            return match seat.holder {
                Some(h) => Response::json(421, &wire::redirect(Some(&h))),
                None => Response::later("nobody holds the machines"),
            };
        }
        let (tx, rx) = oneshot::channel();
        if self.holder.try_send(holder::Msg::Beat(Box::new(report), tx)).is_err() {
            return Response::later("too many reports");
        }
        match rx.await {
            Ok(Some((term, orders))) => Response::json(200, &wire::orders(term, &orders)),
            _ => Response::later("not entitled to act"),
        }
    }

    async fn user(&self, ask: Ask) -> Response {
        let id = match &ask {
            Ask::Status(id) | Ask::Cancel(id) => Some(id.clone()),
            _ => None,
        };
        if id.as_ref().is_some_and(|id| !wire::is_job_id(id)) {
            return Response::error(404, "no such job");
        }
        let answer =
            if self.seat.borrow().mine { Some(self.local(ask.clone()).await) } else { self.forward(ask.clone()).await };
        match (answer, id) {
            // Only a fresh read can say that a job is not there.
            (Some(r), Some(id)) if r.status == 404 => self.fresh(&id, matches!(ask, Ask::Status(_))).await,
            (Some(r), Some(id)) if r.status == 503 && matches!(ask, Ask::Status(_)) => self.fresh(&id, true).await,
            (Some(r), _) => r,
            (None, Some(id)) => self.fresh(&id, matches!(ask, Ask::Status(_))).await,
            (None, None) => Response::later("the holder of the jobs can't be reached"),
        }
    }

    /// Asks the part's actor on this node.
    pub async fn local(&self, ask: Ask) -> Response {
        let (tx, rx) = oneshot::channel();
        if self.holder.try_send(holder::Msg::User(ask, tx)).is_err() {
            return Response::later("too many requests");
        }
        // A commit that takes longer is answered by the retry.
        match timeout(Duration::from_millis(self.life_ms), rx).await {
            Ok(Ok(a)) => to_response(a),
            _ => Response::later("no decision in time"),
        }
    }

    async fn forward(&self, ask: Ask) -> Option<Response> {
        let name = self.seat.borrow().holder.clone()?;
        let peer = self.peers.iter().find(|p| p.name == name)?;
        let limit = Duration::from_millis(self.life_ms * 2 / 5);
        match peer.ask(ask, limit).await? {
            Reply::User { status, body, retry_after_s } => {
                Some(Response { status, body, retry_after_s, allow: None, content_type: "application/json" })
            }
            _ => None,
        }
    }

    /// Answers from the job's record, read now.
    async fn fresh(&self, id: &str, status: bool) -> Response {
        if !self.state.within_budget() {
            return Response::later("too many requests");
        }
        match self.state.get(&job_key(id)).await {
            Ok((Some(item), _)) => match serde_json::from_value::<JobRecord>(item.value) {
                Ok(r) => {
                    let phase = match r.end {
                        Some(JobEnd::Done) => JobPhase::Done,
                        Some(JobEnd::Cancelled) => JobPhase::Cancelled,
                        None if status => JobPhase::Pending,
                        None => return Response::later("the holder of the jobs can't be reached"),
                    };
                    let recorded = r.done.iter().map(|d| d.1 - d.0).sum();
                    let done = if r.end == Some(JobEnd::Done) { r.spec.tasks } else { recorded };
                    Response::json(200, &wire::job_answer(id, phase, done, 0))
                }
                Err(_) => Response::later("the job's record can't be read"),
            },
            Ok((None, _)) => Response::error(404, "no such job"),
            Err(_) => Response::later("the state service gives no answer"),
        }
    }
}

fn not_allowed(allow: &'static str) -> Response {
    Response { allow: Some(allow), ..Response::error(405, "method not allowed") }
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
    }
}
