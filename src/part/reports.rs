//! What reports mean, and which orders follow.

use super::{Belongs, Part, Via};
use crate::model::{Copy, ExitReason, Host, HostIx, HostRecord, Place, Shape, TaskKey, TaskPhase, Unsaved, World};
use crate::wire::{Order, Report, ReportedTask};
use std::collections::HashSet;

/// Most orders in one reply, so that a line stays under 64 KiB.
pub(super) const REPLY_ORDERS: usize = 400;

/// What a report says that is new.
struct News {
    /// It was made under a token of this holder.
    current: bool,
    /// Seconds left until the machine is taken back, if that was not known.
    notice_s: Option<f64>,
}

impl Part {
    /// Does this part take the machine's reports?
    pub fn belongs(&mut self, r: &Report) -> Belongs {
        if self.world.host_ix.contains_key(&r.host) || self.released.contains(&r.host) {
            // A worker drops what carries a lower token than it has seen: a
            // higher term first.
            if let Some(h) = self.world.host_ix.get(&r.host).copied().and_then(|ix| self.world.host_mut(ix)) {
                h.fence = h.fence.max(r.fence);
            }
            return if r.fence > self.term { Belongs::NotYet } else { Belongs::Mine };
        }
        if self.id == 0 && !self.elsewhere.contains_key(&r.host) {
            return if r.fence > self.term { Belongs::NotYet } else { Belongs::Mine };
        }
        self.recheck.insert(r.host.clone());
        match self.elsewhere.get(&r.host) {
            Some(p) => Belongs::Elsewhere(*p),
            None => Belongs::Unknown,
        }
    }

    /// What the registry says now of a machine that reported here.
    pub fn rechecked(&mut self, id: &str, record: Option<HostRecord>, now: u64) {
        match record {
            // It is looked up again with its next report.
            Some(r) if r.part == self.id && self.moves_may_be_undone() => {}
            Some(r) if r.part == self.id => {
                self.elsewhere.remove(id);
                if !self.world.host_ix.contains_key(id) {
                    // The giver made sure that nothing is left on it.
                    let term = self.term;
                    let hix = self.add_registered(id.to_string(), r, now);
                    if let Some(h) = self.world.host_mut(hix) {
                        h.accounted = true;
                        h.min_fence = term;
                        tracing::info!(host = h.id, "machine joins this part");
                    }
                }
            }
            Some(r) => {
                self.elsewhere.insert(id.to_string(), r.part);
            }
            None => {
                self.elsewhere.remove(id);
            }
        }
    }

    /// Gives a free machine to another part; false if it is not free.
    pub fn give(&mut self, id: &str, to: u32) -> bool {
        let undone = self.moves_may_be_undone();
        let Some(&hix) = self.world.host_ix.get(id) else { return false };
        let Some(h) = self.world.host_mut(hix) else { return false };
        let free = h.copies.is_empty() && h.claims.is_empty() && !h.do_in_flight && !h.strays;
        if !free || undone || !h.registered || !h.accounted || h.releasing || h.notice || h.giving.is_some() {
            return false;
        }
        h.giving = Some(to);
        self.new_hosts.insert(hix);
        true
    }

    /// Takes a report and returns the orders of its reply.
    pub fn report(&mut self, r: &Report, via: Via, now: u64) -> Vec<Order> {
        if self.released.contains(&r.host) {
            return Vec::new();
        }
        let hix = self.reporting_host(r, now);
        let Some(h) = self.world.host_mut(hix) else { return Vec::new() };
        if via == Via::Beat {
            h.answered_ms = now;
        }
        // Late copies of older reports change nothing.
        if (r.tenure, r.serial) <= (h.tenure, h.serial) {
            return Vec::new();
        }
        self.session_seen(hix, r, now);
        let Some(news) = self.state_seen(hix, r, via, now) else { return Vec::new() };
        if !news.current {
            self.kick.insert(hix);
            return Vec::new();
        }
        self.account_for(hix, r);
        let mut orders = Vec::new();
        self.reported_tasks(hix, r, &mut orders, now);
        self.missing_tasks(hix, r, via);
        if let Some(left_s) = news.notice_s {
            self.give_up(hix, left_s, now);
        }
        if via == Via::Beat {
            self.orders_for(hix, &mut orders);
        }
        if let Some(h) = self.world.host_mut(hix).filter(|h| !h.copies.is_empty()) {
            h.idle_since_ms = now;
        }
        orders
    }

    /// The machine that reports, added if it is new.
    fn reporting_host(&mut self, r: &Report, now: u64) -> HostIx {
        if let Some(&hix) = self.world.host_ix.get(&r.host) {
            return hix;
        }
        let flavor = self.world.flavor(&r.flavor);
        let mut h = Host::new(r.host.clone(), r.zone.clone(), r.spot, flavor, now);
        h.min_fence = self.first_term;
        // Rented for another part: it is given away once it is registered.
        h.giving = self.destined.remove(&r.host).filter(|p| *p != self.id);
        self.world.add_host(h)
    }

    /// A session that is new to us: a lease that was before it has ended.
    fn session_seen(&mut self, hix: HostIx, r: &Report, now: u64) {
        let Some(h) = self.world.host_mut(hix).filter(|h| r.tenure > h.tenure) else { return };
        // A session's lease counts from its beginning, whenever we answered.
        h.answered_ms = h.answered_ms.max(now);
        if h.tenure > 0 {
            tracing::info!(host = h.id, tenure = r.tenure, "machine lost its lease");
            self.lose_all(hix);
        }
    }

    /// Takes what the report says of the machine itself.
    fn state_seen(&mut self, hix: HostIx, r: &Report, via: Via, now: u64) -> Option<News> {
        let flavor = self.world.flavor(&r.flavor);
        let h = self.world.host_mut(hix)?;
        // A late copy of a report from before this holder's time may be the first that
        // it sees of a machine, which may be gone, and its tasks elsewhere.
        let current = r.fence >= h.min_fence;
        h.tenure = r.tenure;
        h.serial = r.serial;
        h.fence = h.fence.max(r.fence);
        h.addr = Some(r.addr);
        h.flavor = flavor;
        h.heard_ms = now;
        if via == Via::Direct {
            h.missed = 0;
        }
        let notice_s = r.warning_s.filter(|_| !h.notice);
        if notice_s.is_some() {
            h.notice = true;
            tracing::info!(host = h.id, "machine will be taken back");
        }
        // A worker that has seen a higher token refuses older direct commands.
        for c in &mut h.copies {
            if c.risk.is_some_and(|t| r.fence > t) {
                c.risk = None;
            }
        }
        Some(News { current, notice_s })
    }

    /// The machine has reported under a token of this holder.
    fn account_for(&mut self, hix: HostIx, r: &Report) {
        let Some(h) = self.world.host_mut(hix) else { return };
        if !h.vouched() {
            // Not in the registry: no holder before us placed anything on it.
            tracing::info!(host = r.host, flavor = r.flavor, zone = r.zone, spot = r.spot, "machine is up");
            self.new_hosts.insert(hix);
        }
        if !h.accounted {
            h.accounted = true;
            self.recount();
        }
    }

    /// Stops the array tasks that would hardly end before the machine is taken:
    /// they begin anew elsewhere now, and not when its loss is certain.
    pub(super) fn give_up(&mut self, hix: HostIx, left_s: f64, now: u64) {
        let World { jobs, hosts, .. } = &mut self.world;
        let Some(h) = hosts[hix].as_mut() else { return };
        for c in h.copies.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
            let spec = &jobs[c.key.job].spec;
            let ran_s = now.saturating_sub(c.since_ms) as f64 / 1000.0;
            if spec.shape == Shape::Batch && spec.expected_s - ran_s > left_s {
                c.stop = Some(spec.grace_s());
                self.kick.insert(hix);
            }
        }
    }

    /// Takes what the report says of tasks.
    pub(super) fn reported_tasks(&mut self, hix: HostIx, r: &Report, orders: &mut Vec<Order>, now: u64) {
        let mut strays = false;
        for t in &r.tasks {
            let Some((job, task)) = t.key() else { continue };
            let known = self.world.job_ix.get(job).filter(|ix| task < self.world.jobs[**ix].spec.tasks);
            match known {
                Some(&job) => self.reported_task(hix, TaskKey { job, task }, t, now),
                None => {
                    strays = true;
                    orders.push(removal(t));
                }
            }
        }
        if let Some(h) = self.world.host_mut(hix) {
            if h.strays && !strays {
                self.stirred = true;
            }
            h.strays = strays;
        }
    }

    fn reported_task(&mut self, hix: HostIx, key: TaskKey, t: &ReportedTask, now: u64) {
        let known = self.world.host_mut(hix).and_then(|h| h.copy_mut(key, t.attempt)).map(|c| c.phase);
        let before = known.unwrap_or_else(|| {
            self.adopt(hix, key, t.attempt, t.phase(), now);
            TaskPhase::Sent
        });
        self.phase_seen(hix, key, t.attempt, before, t.phase(), now);
    }

    /// A copy that we did not start: an earlier holder did, or a late order.
    pub(super) fn adopt(&mut self, hix: HostIx, key: TaskKey, attempt: u64, phase: TaskPhase, now: u64) {
        let job = &mut self.world.jobs[key.job];
        let idle = job.tasks[key.task as usize].place == Place::Idle;
        let ended = matches!(phase, TaskPhase::Ended(_));
        // What is first seen after its user asked for the cancellation must go, too.
        let mut wanted = job.active() && !ended && idle;
        if wanted && job.spec.shape == Shape::Gang {
            if attempt > job.gang_attempt {
                job.gang_attempt = attempt;
            }
            wanted = attempt == job.gang_attempt;
        }
        if wanted {
            job.tasks[key.task as usize].place = Place::On(hix, attempt);
        }
        let spec = &self.world.jobs[key.job].spec;
        let (image, gb, demand) = (spec.image.clone(), spec.image_gb, spec.demand);
        let cache = self.world.host(hix).and_then(|h| h.flavor).map_or(0.0, |f| self.world.flavors[f].cache_gb);
        if let Some(h) = self.world.host_mut(hix) {
            h.use_image(&image, gb, cache, now);
            let stop = (!wanted && !ended).then_some(0.0);
            h.copies.push(Copy { stop, ..Copy::sent(key, attempt, demand, now) });
        }
    }

    /// Takes the phase of an attempt that was in phase `before`.
    pub(super) fn phase_seen(
        &mut self,
        hix: HostIx,
        key: TaskKey,
        attempt: u64,
        before: TaskPhase,
        phase: TaskPhase,
        now: u64,
    ) {
        let World { jobs, hosts, .. } = &mut self.world;
        let Some(h) = hosts[hix].as_mut() else { return };
        let Some(c) = h.copy_mut(key, attempt) else { return };
        c.phase = phase;
        let job = &mut jobs[key.job];
        job.tasks[key.task as usize].located |= !c.ended();
        let after_order_ms = now.saturating_sub(c.since_ms);
        match phase {
            TaskPhase::Gathering | TaskPhase::Running => {
                h.image_ready(&job.spec.image);
                if before != phase && phase == TaskPhase::Running {
                    self.note_running(key, attempt, after_order_ms);
                }
            }
            TaskPhase::Ended(reason) if before != phase => self.copy_ended(hix, key, attempt, reason, now),
            _ => {}
        }
    }

    /// Logs and measures that an attempt has begun to run.
    fn note_running(&mut self, key: TaskKey, attempt: u64, after_order_ms: u64) {
        let spec = &self.world.jobs[key.job].spec;
        tracing::debug!(
            job = spec.id,
            class = spec.class,
            task = key.task,
            attempt,
            after_order = after_order_ms,
            "running"
        );
        self.metrics.observe("start_after_order_ms", &spec.class, after_order_ms);
    }

    /// Copies that we know of and the report does not.
    pub(super) fn missing_tasks(&mut self, hix: HostIx, r: &Report, via: Via) {
        let Some(h) = self.world.host(hix) else { return };
        let listed: HashSet<(&str, u64)> = r.tasks.iter().map(|t| (t.task.as_str(), t.attempt)).collect();
        let gone: Vec<(TaskKey, u64)> = h
            .copies
            .iter()
            .filter(|c| {
                let name = format!("{}/{}", self.world.jobs[c.key.job].spec.id, c.key.task);
                if listed.contains(&(name.as_str(), c.attempt)) {
                    return false;
                }
                match c.phase {
                    // Its `run` may still come: from a direct command that had
                    // no answer, or from a reply that is not over yet.
                    TaskPhase::Sent => c.stop.is_some() && via == Via::Beat && c.risk.is_none() && !c.in_flight,
                    _ => true,
                }
            })
            .map(|c| (c.key, c.attempt))
            .collect();
        for (key, attempt) in gone {
            self.lose(hix, key, attempt);
        }
    }

    /// The orders of a reply: everything that the worker should have done and,
    /// by its report, has not.
    pub(super) fn orders_for(&mut self, hix: HostIx, orders: &mut Vec<Order>) {
        let Some(h) = self.world.host(hix) else { return };
        for c in &h.copies {
            if orders.len() >= REPLY_ORDERS {
                break;
            }
            let job = &self.world.jobs[c.key.job];
            let id = &job.spec.id;
            match (c.phase, c.stop) {
                (TaskPhase::Ended(reason), _) => {
                    let safe = reason != ExitReason::Done
                        || job.end.is_some()
                        || (job.unsaved == Unsaved::Nothing && !job.saving);
                    if safe && c.risk.is_none() && !c.in_flight {
                        orders.push(Order::reap(id, c));
                    }
                }
                (TaskPhase::Saving, Some(grace)) if grace > 0.0 => {}
                (_, Some(grace)) => orders.push(Order::stop(id, c, grace)),
                (TaskPhase::Sent, None) => orders.push(Order::run(id, c)),
                _ => {}
            }
        }
    }
}

/// The order for a task that no job has: whatever it is must go.
fn removal(t: &ReportedTask) -> Order {
    match t.phase() {
        TaskPhase::Ended(_) => Order::Reap { task: t.task.clone(), attempt: t.attempt },
        _ => Order::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 },
    }
}
