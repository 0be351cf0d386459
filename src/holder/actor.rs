//! The actor: its loop, and where each message goes.

use super::answers::handle_idle;
use super::load::Loaded;
use super::messages::{BeatAnswer, Msg, SessionEvent, SessionSender};
use super::tenure::Tenure;
use crate::clients::{Bucket, Cloud, State, Worker};
use crate::clock;
use crate::config::{Operator, Settings};
use crate::doors::Doors;
use crate::leader::Leader;
use crate::membership::{self, Bonds, Entitlement, Tenancy};
use crate::part::{Part, UserAnswer};
use crate::peer::Reply;
use crate::sched::Policy;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Messages that are taken into a round beside the first one, at the most.
const MORE_PER_ROUND: usize = 64;
/// Writes may come in bursts of so many seconds' worth.
const WRITE_BURST_S: f64 = 0.8;

/// What the actor works with.
pub struct Holder {
    /// Number of the part.
    pub id: u32,
    /// What the platform prescribes.
    pub settings: Settings,
    /// What the operator chooses.
    pub operator: Operator,
    /// The state service.
    pub state: State,
    /// The cloud.
    pub cloud: Cloud,
    /// The way to the workers.
    pub worker: Worker,
    /// Until when this node may act for the part.
    pub entitled: Entitlement,
    /// Promises between the controllers.
    pub bonds: Bonds,
    /// The way to the part's membership actor.
    pub members: mpsc::Sender<membership::Msg>,
    /// The ways to the other parts.
    pub doors: Doors,
    /// The way to this actor, for its background tasks.
    pub tx: mpsc::Sender<Msg>,
    /// Number of the tenancy under way; 0 if none.
    pub current: Arc<AtomicU64>,
}

impl Holder {
    /// Runs until nobody can send messages any more.
    pub async fn run(self, mut tenancy: mpsc::Receiver<Tenancy>, mut rx: mpsc::Receiver<Msg>) {
        let mut held: Option<Tenure> = None;
        let mut n = 0;
        let mut metrics = Default::default();
        loop {
            let wake = self.next_wake(held.as_ref());
            tokio::select! {
                biased;
                t = tenancy.recv() => match t {
                    Some(Tenancy::Begin { term, version, grant, start_ms }) => {
                        n += 1;
                        self.current.store(n, Ordering::Relaxed);
                        let mut tenure = self.begin(n, term, version, grant, start_ms);
                        tenure.part.metrics = std::mem::take(&mut metrics);
                        held = Some(tenure);
                    }
                    Some(Tenancy::End) => {
                        self.current.store(0, Ordering::Relaxed);
                        if let Some(h) = held.take() {
                            metrics = h.part.metrics;
                        }
                    }
                    None => return,
                },
                m = rx.recv() => match m {
                    Some(m) => {
                        self.handle(held.as_mut(), m);
                        // What has come meanwhile is taken into the same round.
                        for _ in 0..MORE_PER_ROUND {
                            let Ok(m) = rx.try_recv() else { break };
                            self.handle(held.as_mut(), m);
                        }
                    }
                    None => return,
                },
                () = sleep(wake) => {}
            }
            if let Some(h) = held.as_mut().filter(|h| h.loaded) {
                self.drive(h);
            }
        }
    }

    /// How long the actor may sleep if nothing comes.
    fn next_wake(&self, held: Option<&Tenure>) -> Duration {
        let most = self.settings.react_ms() / 2;
        let Some(h) = held.filter(|h| h.loaded) else { return Duration::from_millis(most) };
        let now = clock::now_ms();
        let mut at = h.next_upkeep_ms;
        if h.part.stirred {
            at = at.min(h.next_pass_ms);
        }
        if h.part.urgent {
            at = at.min(h.next_urgent_ms);
        }
        Duration::from_millis(at.saturating_sub(now).clamp(1, most))
    }

    fn begin(&self, n: u64, term: u64, version: u64, grant: u64, start_ms: u64) -> Tenure {
        let now = clock::now_ms();
        let p = &self.settings.params;
        let policy = Policy::new(&self.settings, &self.operator, start_ms);
        let teams = self.settings.parts_of_teams(self.operator.parts);
        let mut part = Part::new(policy, self.id, teams, p.state.txn_ops, p.state.value_kb);
        part.set_term(term, version);
        self.load(n);
        Tenure {
            part,
            leader: Leader::new(p.cloud.list_lag_s),
            n,
            grant,
            version,
            loaded: false,
            writes: Bucket::new(self.settings.writes_per_s(), WRITE_BURST_S, now),
            raising: false,
            raise_after_ms: 0,
            commit_after_ms: 0,
            next_pass_ms: 0,
            next_urgent_ms: 0,
            next_upkeep_ms: 0,
            upkeep_ms: now,
            next_plan_ms: 0,
            coming: Vec::new(),
        }
    }

    /// The way back to this actor for background tasks of a session.
    pub(super) fn sender(&self, session: u64) -> SessionSender {
        SessionSender { session, tx: self.tx.clone(), current: self.current.clone() }
    }

    fn handle(&self, held: Option<&mut Tenure>, m: Msg) {
        let Some(h) = held else {
            handle_idle(m);
            return;
        };
        let now = clock::now_ms();
        let entitled = self.entitled.holds(now);
        match m {
            Msg::Beat { report, reply } => {
                let answer = if entitled { self.beat(h, &report, now) } else { BeatAnswer::NotEntitled };
                let _ = reply.send(answer);
            }
            Msg::Needs { needs, reply } => {
                let known = entitled && h.loaded && self.id == 0;
                let _ = reply.send(if known { self.needs(h, needs, now) } else { Reply::No });
            }
            Msg::Give { host, to, reply } => {
                let given = entitled && h.loaded && h.part.give(&host, to);
                let _ = reply.send(if given { Reply::Promised } else { Reply::No });
            }
            Msg::User { call, reply } if entitled && h.loaded => self.user(h, call, reply, now),
            Msg::User { reply, .. } => {
                let _ = reply.send(UserAnswer::Later("the jobs are being taken over"));
            }
            Msg::Metrics(reply) => {
                let _ = reply.send(h.part.metrics.text());
            }
            // One of an earlier session must not pass for the one that is under way.
            Msg::Session { session, event } if session == h.n => self.handle_event(h, event, now),
            Msg::Session { .. } => {}
        }
    }

    fn handle_event(&self, h: &mut Tenure, event: SessionEvent, now: u64) {
        match event {
            SessionEvent::Coming { coming, refused } => self.coming(h, coming, &refused, now),
            SessionEvent::Rechecked { host, record } => h.part.rechecked(&host, record, now),
            SessionEvent::Loaded(loaded) => self.loaded(h, loaded, now),
            SessionEvent::DirectDone { command, result } => h.part.direct_done(&command, result, now),
            SessionEvent::Committed(result) => self.committed(h, result, now),
            SessionEvent::Reread(items) => {
                for i in items {
                    h.part.reread(i);
                }
            }
            SessionEvent::Inbox(items) => {
                for i in items {
                    h.part.adopt_job(i, now);
                }
            }
            SessionEvent::Raised(raised) => self.raised(h, raised, now),
            SessionEvent::Superseded => self.superseded(h),
            SessionEvent::Rented { name, result } => self.rented(h, &name, result, now),
            SessionEvent::Released { hosts, confirmed } => self.released(h, hosts, confirmed),
            SessionEvent::Listed(list) => {
                for op in h.leader.listed(&list, &h.part, now) {
                    self.cloud_op(h, op);
                }
            }
            SessionEvent::Flavors(flavors) => h.part.set_flavors(flavors),
        }
    }

    /// How long what one part told another counts.
    pub(super) fn patience(&self) -> u64 {
        3 * self.settings.report_ms()
    }

    fn loaded(&self, h: &mut Tenure, l: Loaded, now: u64) {
        // Once: begun anew, the part would forget what it has ordered since.
        if h.loaded {
            return;
        }
        let (term, version) = (h.part.term, h.version);
        h.part.begin(term, version, l.jobs, l.hosts, l.flavors, now);
        h.loaded = true;
        tracing::info!(term, jobs = h.part.world.live.len(), hosts = h.part.world.host_ix.len(), "loaded");
        self.watch_cloud(h.n, h.part.world.flavors.clone());
        self.watch_inbox(h.n);
    }
}
