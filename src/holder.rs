//! The actor of a part: owns its state, is spoken to by messages, and carries
//! out what `part` and `leader` decide.

use crate::clients::{Bucket, Cloud, RentResult, State, Worker};
use crate::clock;
use crate::config::{Operator, Settings};
use crate::doors::Doors;
use crate::leader::{CloudOp, Leader};
use crate::membership::{self, Bonds, Entitlement, PartRecord, Tenancy};
use crate::model::{Flavor, HostIx, HostRecord};
use crate::part::{self, Belongs, CommitResult, Direct, DirectResult, Part, Superseded, UserAnswer, Via, Waiter};
use crate::peer::{Ask, Machines, Needs, Reply, UserCall};
use crate::sched::{Coming, Policy};
use crate::task;
use crate::wire::{self, Item, Listed, Order, Report};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// Key under which the machine types are kept for a restart in a cloud outage.
pub const FLAVORS_KEY: &str = "flavors";

/// Messages to the actor of a part.
pub enum Msg {
    Beat(Box<Report>, oneshot::Sender<BeatAnswer>),
    User(UserCall, Waiter),
    Needs(Needs, oneshot::Sender<Reply>),
    Give(String, u32, oneshot::Sender<Reply>),
    Coming(u64, Vec<Machines>, Vec<Machines>),
    Rechecked(u64, String, Option<HostRecord>),
    Metrics(oneshot::Sender<String>),
    Loaded(u64, Loaded),
    DirectDone(u64, Direct, DirectResult),
    Committed(u64, CommitResult),
    Reread(u64, Vec<Item>),
    /// Jobs that other nodes accepted.
    Inbox(u64, Vec<Item>),
    Raised(u64, Option<(u64, u64)>),
    /// The part has another holder, or none.
    Superseded(u64),
    Rented(u64, String, RentResult),
    Released(u64, Vec<String>, bool),
    Listed(u64, Vec<Listed>),
    Flavors(u64, Vec<Flavor>),
}

/// What becomes of a report.
#[derive(Debug)]
pub enum BeatAnswer {
    /// The token and the orders.
    Orders(u64, Vec<Order>),
    /// This node may not act for the machine now.
    NotEntitled,
    /// The machine belongs to that part.
    Elsewhere(u32),
    /// The machine is not this part's.
    Unknown,
}

pub struct Loaded {
    jobs: Vec<Item>,
    hosts: Vec<Item>,
    flavors: Vec<Flavor>,
}

impl Loaded {
    async fn read(state: &State) -> Option<Loaded> {
        let jobs = state.list("job/").await.ok()?;
        let hosts = state.list("host/").await.ok()?;
        let flavors = state.get(FLAVORS_KEY).await.ok()?.0;
        let flavors = flavors.and_then(|i| serde_json::from_value(i.value).ok()).unwrap_or_default();
        Some(Loaded { jobs, hosts, flavors })
    }
}

/// What the actor works with.
pub struct Holder {
    pub id: u32,
    pub settings: Settings,
    pub operator: Operator,
    pub state: State,
    pub cloud: Cloud,
    pub worker: Worker,
    pub entitled: Entitlement,
    pub bonds: Bonds,
    pub members: mpsc::Sender<membership::Msg>,
    pub doors: Doors,
    pub tx: mpsc::Sender<Msg>,
    /// Number of the tenancy under way; 0 if none.
    pub current: Arc<AtomicU64>,
}

/// One tenancy of the part.
struct Tenure {
    part: Part,
    leader: Leader,
    /// Number of the tenancy: answers to an earlier one are dropped.
    n: u64,
    grant: u64,
    version: u64,
    loaded: bool,
    writes: Bucket,
    raising: bool,
    raise_after_ms: u64,
    commit_after_ms: u64,
    next_pass_ms: u64,
    next_urgent_ms: u64,
    next_upkeep_ms: u64,
    upkeep_ms: u64,
    next_plan_ms: u64,
    /// What the leader says is on its way here.
    coming: Vec<Coming>,
}

impl Holder {
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
                        for _ in 0..64 {
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
            writes: Bucket::new(self.settings.writes_per_s(), 0.8, now),
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

    /// Reads what the state service holds, until that succeeds or the tenancy is over.
    fn load(&self, n: u64) {
        let (state, tx, current) = (self.state.clone(), self.tx.clone(), self.current.clone());
        task::spawn(async move {
            while current.load(Ordering::Relaxed) == n {
                if let Some(loaded) = Loaded::read(&state).await {
                    let _ = tx.send(Msg::Loaded(n, loaded)).await;
                    return;
                }
                sleep(state.pause()).await;
            }
        });
    }

    fn handle(&self, held: Option<&mut Tenure>, m: Msg) {
        let now = clock::now_ms();
        let entitled = self.entitled.holds(now);
        let Some(h) = held else {
            self.handle_idle(m);
            return;
        };
        let n = h.n;
        match m {
            Msg::Beat(r, reply) => {
                let answer = if entitled { self.beat(h, &r, now) } else { BeatAnswer::NotEntitled };
                let _ = reply.send(answer);
            }
            Msg::Needs(needs, reply) => {
                let known = entitled && h.loaded && self.id == 0;
                let _ = reply.send(if known {
                    let (coming, refused) = h.leader.needs(needs, &h.part, now, self.patience());
                    Reply::Coming { coming, refused }
                } else {
                    Reply::No
                });
            }
            Msg::Give(host, to, reply) => {
                let given = entitled && h.loaded && h.part.give(&host, to);
                let _ = reply.send(if given { Reply::Promised } else { Reply::No });
            }
            Msg::Coming(of, coming, refused) if of == n => {
                let world = &h.part.world;
                h.coming = coming
                    .into_iter()
                    .filter_map(|m| Some(Coming { flavor: world.flavor(&m.flavor)?, zone: m.zone, spot: m.spot }))
                    .collect();
                h.leader.set_refused(&refused, &h.part, now + self.patience());
            }
            Msg::Rechecked(of, id, record) if of == n => h.part.rechecked(&id, record, now),
            Msg::User(call, waiter) => {
                if !entitled || !h.loaded {
                    let _ = waiter.send(UserAnswer::Later("the jobs are being taken over"));
                    return;
                }
                // Refused at once: nothing can be recorded now.
                let silent = !self.state.answers(self.settings.grant_life_ms());
                match call {
                    UserCall::Submit(_) if silent => {
                        let _ = waiter.send(UserAnswer::Later("the state service gives no answer"));
                    }
                    UserCall::Submit(body) => h.part.submit(&body, now, clock::wall_ms(), waiter),
                    UserCall::Status(id) => {
                        let _ = waiter.send(h.part.status(&id));
                    }
                    UserCall::Cancel(id) => h.part.cancel(&id, now, !silent, waiter),
                }
            }
            Msg::Metrics(reply) => {
                let _ = reply.send(h.part.metrics.text());
            }
            // Once: begun anew, the part would forget what it has ordered since.
            Msg::Loaded(of, l) if of == n && !h.loaded => {
                let (term, version) = (h.part.term, h.version);
                h.part.begin(term, version, l.jobs, l.hosts, l.flavors, now);
                h.loaded = true;
                tracing::info!(term, jobs = h.part.world.live.len(), hosts = h.part.world.host_ix.len(), "loaded");
                self.watch_cloud(n, h.part.world.flavors.clone());
                self.watch_inbox(n);
            }
            // One of an earlier tenancy must not pass for the one that is under way.
            Msg::DirectDone(of, d, result) if of == n => h.part.direct_done(&d, result, now),
            Msg::Committed(of, result) if of == n => {
                if matches!(result, CommitResult::Refused | CommitResult::Unclear) {
                    h.commit_after_ms = now + self.settings.react_ms() / 5;
                }
                match h.part.committed(result) {
                    Ok(keys) if !keys.is_empty() => self.reread(n, keys),
                    Ok(_) => {}
                    // It may be our own raise of the term that came late.
                    Err(Superseded) => {
                        h.raising = true;
                        let (state, tx, id, grant) = (self.state.clone(), self.tx.clone(), self.id, h.grant);
                        task::spawn(async move { tx.send(look_at_part(&state, n, id, grant).await).await });
                    }
                }
            }
            Msg::Reread(of, items) if of == n => {
                for i in items {
                    h.part.reread(i);
                }
            }
            Msg::Inbox(of, items) if of == n => {
                for i in items {
                    h.part.adopt_job(i, now);
                }
            }
            Msg::Raised(of, result) if of == n => {
                h.raising = false;
                h.raise_after_ms = now + self.settings.react_ms();
                if let Some((term, version)) = result {
                    tracing::info!(term, "raised the term");
                    h.part.set_term(term, version);
                    h.version = version;
                }
            }
            Msg::Superseded(of) if of == n => {
                h.loaded = false;
                self.entitled.set(0);
                let _ = self.members.try_send(membership::Msg::Superseded);
            }
            Msg::Rented(of, name, result) if of == n => {
                if let Some(op) = h.leader.rented(&name, result, now) {
                    self.cloud_op(h, op);
                }
            }
            Msg::Released(of, ids, ok) if of == n => {
                if ok {
                    h.leader.released(&ids);
                    for id in &ids {
                        if let Some(addr) = h.part.world.host_ix.get(id).and_then(|ix| h.part.world.host(*ix)?.addr) {
                            self.worker.forget(addr);
                        }
                        h.part.host_gone(id);
                    }
                } else {
                    self.cloud_op(h, CloudOp::Release(ids));
                }
            }
            Msg::Listed(of, list) if of == n => {
                let ops = h.leader.listed(&list, &h.part, now);
                for op in ops {
                    self.cloud_op(h, op);
                }
            }
            Msg::Flavors(of, flavors) if of == n => h.part.set_flavors(flavors),
            _ => {}
        }
    }

    /// Without the part, users and workers are sent away.
    fn handle_idle(&self, m: Msg) {
        match m {
            Msg::Beat(_, reply) => {
                let _ = reply.send(BeatAnswer::NotEntitled);
            }
            Msg::User(_, waiter) => {
                let _ = waiter.send(UserAnswer::Later("this node does not hold the jobs"));
            }
            Msg::Metrics(reply) => {
                let _ = reply.send(String::new());
            }
            Msg::Needs(_, reply) | Msg::Give(_, _, reply) => {
                let _ = reply.send(Reply::No);
            }
            _ => {}
        }
    }

    /// Does what is due.
    fn drive(&self, h: &mut Tenure) {
        let now = clock::now_ms();
        if !self.entitled.holds(now) {
            return;
        }
        let react = self.settings.react_ms();
        if now >= h.next_upkeep_ms {
            h.next_upkeep_ms = now + react / 3;
            let stalled = now > h.upkeep_ms + 2 * react;
            h.upkeep_ms = now;
            if !stalled && h.part.cut_off(now) {
                let _ = self.members.try_send(membership::Msg::Abdicate);
            }
            let (release, probe) = h.part.upkeep(now, self.bonds.unbound_ms(now));
            for op in h.leader.release(release) {
                self.cloud_op(h, op);
            }
            // Not more than there are places for: one that waits here for its turn
            // would look deaf.
            let (free, kept) = self.worker.places();
            let mut left = free.saturating_sub(kept);
            for hix in probe {
                if left == 0 {
                    break;
                }
                left -= usize::from(self.send_direct(h, hix, now, true));
            }
        }
        if h.part.stirred && now >= h.next_pass_ms {
            let took = timed(h, "pass_ms", "all", |h| h.part.pass(now, clock::wall_ms()));
            // Rounds widen with the load: the costlier, the rarer.
            h.next_pass_ms = now + 2 + 5 * took;
            h.next_urgent_ms = h.next_urgent_ms.max(now + took);
        } else if h.part.urgent && now >= h.next_urgent_ms {
            // What is urgent need not wait for the next round of all work.
            let took = timed(h, "pass_ms", "urgent", |h| h.part.urgent_pass(now, clock::wall_ms()));
            h.next_urgent_ms = now + 2 + 5 * took;
        }
        let (mut free, _) = self.worker.places();
        for hix in std::mem::take(&mut h.part.kick) {
            if free == 0 || h.part.held_up(hix, now) {
                h.part.kick.insert(hix);
            } else {
                free -= usize::from(self.send_direct(h, hix, now, false));
            }
        }
        self.commit(h, now);
        if now >= h.next_plan_ms {
            h.next_plan_ms = now + react;
            // A waiting task's back-off may have ended, or a hold.
            h.part.stirred = true;
            timed(h, "plan_ms", "all", |h| self.plan(h, now));
        }
    }

    /// How long what one part told another counts.
    fn patience(&self) -> u64 {
        3 * self.settings.report_ms()
    }

    fn beat(&self, h: &mut Tenure, r: &Report, now: u64) -> BeatAnswer {
        if !h.loaded {
            // Leases live on while the records are read; but which machines
            // are whose is only known for sure if there is one part.
            let sure = self.operator.parts == 1 && r.fence <= h.part.term;
            return if sure { BeatAnswer::Orders(h.part.term, Vec::new()) } else { BeatAnswer::NotEntitled };
        }
        match h.part.belongs(r) {
            Belongs::Mine => BeatAnswer::Orders(h.part.term, h.part.report(r, Via::Beat, now)),
            Belongs::NotYet => BeatAnswer::NotEntitled,
            Belongs::Elsewhere(p) => BeatAnswer::Elsewhere(p),
            Belongs::Unknown => BeatAnswer::Unknown,
        }
    }

    /// Plans machines; what is needed goes to the leader.
    fn plan(&self, h: &mut Tenure, now: u64) {
        let wall = clock::wall_ms();
        if self.id == 0 {
            h.coming = h.leader.coming(0, &h.part, now, self.patience());
        }
        let (needs, mut ops) = h.leader.plan(&mut h.part, &h.coming, now, wall);
        if self.id == 0 {
            ops.extend(h.leader.lead(needs, &h.part, now, self.patience()));
            h.part.destined = h.leader.destined(0);
        } else {
            let (doors, tx, n) = (self.doors.clone(), self.tx.clone(), h.n);
            task::spawn(async move {
                if let Some(Reply::Coming { coming, refused }) = doors.ask(0, Ask::Needs(needs)).await {
                    let _ = tx.send(Msg::Coming(n, coming, refused)).await;
                }
            });
        }
        for op in ops {
            self.cloud_op(h, op);
        }
        for id in std::mem::take(&mut h.part.recheck) {
            let (state, tx, n) = (self.state.clone(), self.tx.clone(), h.n);
            task::spawn(async move {
                if let Ok((item, _)) = state.get(&part::host_key(&id)).await {
                    let record = item.and_then(|i| serde_json::from_value(i.value).ok());
                    let _ = tx.send(Msg::Rechecked(n, id, record)).await;
                }
            });
        }
    }

    fn commit(&self, h: &mut Tenure, now: u64) {
        if h.raising || h.part.committing() || now < h.commit_after_ms {
            return;
        }
        let (state, tx, n) = (self.state.clone(), self.tx.clone(), h.n);
        if h.part.needs_new_term() && now >= h.raise_after_ms {
            h.raising = true;
            let (id, node, version, grant) = (self.id, self.settings.node.clone(), h.version, h.grant);
            task::spawn(async move {
                let m = match membership::raise_term(&state, id, &node, version, grant).await {
                    Ok(of_part) => Msg::Raised(n, Some(of_part)),
                    Err(CommitResult::Conflict { .. }) => look_at_part(&state, n, id, grant).await,
                    Err(_) => Msg::Raised(n, None),
                };
                let _ = tx.send(m).await;
            });
            return;
        }
        let ops = h.writes.at_hand(now);
        if ops == 0 {
            return;
        }
        if let Some(c) = h.part.next_commit(now, ops) {
            h.writes.spend(c.apply.len());
            task::spawn(async move {
                let result = state.commit(&c.guards, &c.apply).await;
                let _ = tx.send(Msg::Committed(n, result)).await;
            });
        }
    }

    fn reread(&self, n: u64, keys: Vec<String>) {
        let (state, tx) = (self.state.clone(), self.tx.clone());
        task::spawn(async move {
            let mut items = Vec::new();
            for k in keys {
                if let Ok((Some(i), _)) = state.get(&k).await {
                    items.push(i);
                }
            }
            let _ = tx.send(Msg::Reread(n, items)).await;
        });
    }

    /// Sends a machine what it is due; false if that is nothing now.
    fn send_direct(&self, h: &mut Tenure, hix: HostIx, now: u64, probe: bool) -> bool {
        let Some(d) = h.part.direct(hix, now, probe) else { return false };
        let body = wire::direct(d.term, d.tenure, &d.orders);
        let (worker, tx, n) = (self.worker.clone(), self.tx.clone(), h.n);
        task::spawn(async move {
            let result = worker.direct(d.addr, &body).await;
            let _ = tx.send(Msg::DirectDone(n, d, result)).await;
        });
        true
    }

    fn cloud_op(&self, h: &mut Tenure, op: CloudOp) {
        let (cloud, tx, n) = (self.cloud.clone(), self.tx.clone(), h.n);
        let pause = Duration::from_millis(self.settings.react_ms());
        match op {
            CloudOp::Rent { name, rental } => {
                let flavor = h.part.world.flavors[rental.flavor].name.clone();
                task::spawn(async move {
                    let result = cloud.rent(&name, &flavor, &rental.zone, rental.spot, rental.count).await;
                    if result == RentResult::Again {
                        sleep(pause).await;
                    }
                    let _ = tx.send(Msg::Rented(n, name, result)).await;
                });
            }
            CloudOp::Give { from, host, to } => {
                let doors = self.doors.clone();
                task::spawn(async move { doors.ask(from, Ask::Give { part: from, host, to }).await });
            }
            CloudOp::Release(ids) => {
                for id in &ids {
                    h.part.mark_releasing(id);
                }
                task::spawn(async move {
                    let ok = cloud.release(&ids).await;
                    if !ok {
                        sleep(pause).await;
                    }
                    let _ = tx.send(Msg::Released(n, ids, ok)).await;
                });
            }
        }
    }

    /// Reads the jobs that other nodes accept, for as long as the tenancy lasts.
    fn watch_inbox(&self, n: u64) {
        let (state, tx, current) = (self.state.clone(), self.tx.clone(), self.current.clone());
        let prefix = part::inbox_key(self.id, "");
        let (wait_ms, pause) = (self.settings.lease_ms(), Duration::from_millis(self.settings.react_ms()));
        task::spawn(async move {
            while current.load(Ordering::Relaxed) == n {
                let round = async {
                    let (_, revision) = state.get(&prefix).await.ok()?;
                    let mut items = Vec::new();
                    for i in state.list(&prefix).await.ok()? {
                        let id = i.key.strip_prefix(&prefix)?;
                        items.extend(state.get(&part::job_key(id)).await.ok()?.0);
                    }
                    let any = !items.is_empty();
                    tx.send(Msg::Inbox(n, items)).await.ok()?;
                    // What was read stays listed until it is deleted.
                    if any { None } else { state.changes(&prefix, revision, wait_ms).await.ok() }
                };
                if round.await.is_none() {
                    sleep(pause).await;
                }
            }
        });
    }

    /// Reads the machine types and the list for as long as the tenancy lasts.
    fn watch_cloud(&self, n: u64, known: Vec<Flavor>) {
        let (cloud, state, tx) = (self.cloud.clone(), self.state.clone(), self.tx.clone());
        let pause = Duration::from_secs_f64((self.settings.params.cloud.list_lag_s / 2.0).max(1.0));
        let current = self.current.clone();
        let leads = self.id == 0;
        task::spawn(async move {
            let mut known = known;
            let mut round = 0u32;
            loop {
                if (round.is_multiple_of(8) || known.is_empty())
                    && let Some(flavors) = cloud.flavors().await
                {
                    if known.len() != flavors.len()
                        && let Ok(v) = serde_json::to_value(&flavors)
                    {
                        state.commit(&[], &[wire::put(FLAVORS_KEY, &v, None)]).await;
                    }
                    known.clone_from(&flavors);
                    if tx.send(Msg::Flavors(n, flavors)).await.is_err() {
                        return;
                    }
                }
                if leads
                    && let Some(list) = cloud.list().await
                    && tx.send(Msg::Listed(n, list)).await.is_err()
                {
                    return;
                }
                round += 1;
                sleep(if known.is_empty() { pause / 4 } else { pause }).await;
                // A later tenancy starts its own.
                if current.load(Ordering::Relaxed) != n {
                    return;
                }
            }
        });
    }
}

/// The part's key is not as it was: what to tell its actor. A raise of the term that had
/// no answer may have been carried out late: then the key's grant is still ours, and the
/// part goes on under the later term.
async fn look_at_part(state: &State, n: u64, part: u32, grant: u64) -> Msg {
    let found = loop {
        match state.get(&membership::part_key(part)).await {
            Ok((item, _)) => break item,
            // While this has no answer nothing can be committed either.
            Err(_) => sleep(state.pause()).await,
        }
    };
    let ours = found.and_then(|i| {
        let r: PartRecord = serde_json::from_value(i.value).ok()?;
        (r.grant == grant).then_some((r.term, i.version))
    });
    ours.map_or(Msg::Superseded(n), |of_part| Msg::Raised(n, Some(of_part)))
}

/// Does a piece of work and notes how many milliseconds it took.
fn timed(h: &mut Tenure, name: &'static str, label: &'static str, work: impl FnOnce(&mut Tenure)) -> u64 {
    let began = tokio::time::Instant::now();
    work(h);
    let took = began.elapsed().as_millis() as u64;
    h.part.metrics.observe(name, label, took);
    tracing::debug!(name, label, took, "done");
    took
}
