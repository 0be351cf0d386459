//! What reports mean, and which orders follow.

use super::*;

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
        let hix = match self.world.host_ix.get(&r.host) {
            Some(&hix) => hix,
            None => {
                let flavor = self.world.flavor(&r.flavor);
                let mut h = Host::new(r.host.clone(), r.zone.clone(), r.spot, flavor, now);
                h.min_fence = self.first_term;
                // Rented for another part: it is given away once it is registered.
                h.giving = self.destined.remove(&r.host).filter(|p| *p != self.id);
                self.world.add_host(h)
            }
        };
        let flavor = self.world.flavor(&r.flavor);
        let Some(h) = self.world.host_mut(hix) else { return Vec::new() };
        if via == Via::Beat {
            h.answered_ms = now;
        }
        // Late copies of older reports change nothing.
        if (r.tenure, r.serial) <= (h.tenure, h.serial) {
            return Vec::new();
        }
        if r.tenure > h.tenure && h.tenure > 0 {
            tracing::info!(host = h.id, tenure = r.tenure, "machine lost its lease");
            self.lose_all(hix);
        }
        let Some(h) = self.world.host_mut(hix) else { return Vec::new() };
        if r.tenure > h.tenure {
            // A session's lease counts from its beginning, whenever we answered.
            h.answered_ms = h.answered_ms.max(now);
        }
        // A late copy of a report from before this holder's time may be the first that
        // it sees of a machine, which may be gone, and its tasks elsewhere.
        let news = r.fence >= h.min_fence;
        h.tenure = r.tenure;
        h.serial = r.serial;
        h.fence = h.fence.max(r.fence);
        h.addr = Some(r.addr);
        h.flavor = flavor;
        h.heard_ms = now;
        if via == Via::Direct {
            h.missed = 0;
        }
        let noticed = r.warning_s.filter(|_| !h.notice);
        if noticed.is_some() {
            h.notice = true;
            tracing::info!(host = h.id, "machine will be taken back");
        }
        // A worker that has seen a higher token refuses older direct commands.
        for c in &mut h.copies {
            if c.risk.is_some_and(|t| r.fence > t) {
                c.risk = None;
            }
        }
        if !news {
            self.kick.insert(hix);
            return Vec::new();
        }
        if !h.vouched() {
            // Not in the registry: no holder before us placed anything on it.
            tracing::info!(host = r.host, flavor = r.flavor, zone = r.zone, spot = r.spot, "machine is up");
            self.new_hosts.insert(hix);
        }
        if !h.accounted {
            h.accounted = true;
            self.recount();
        }
        let mut orders = Vec::new();
        self.reported_tasks(hix, r, &mut orders, now);
        self.missing_tasks(hix, r, via);
        if let Some(left_s) = noticed {
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

    pub(super) fn reported_tasks(&mut self, hix: HostIx, r: &Report, orders: &mut Vec<Order>, now: u64) {
        let mut strays = false;
        for t in &r.tasks {
            let Some((job, n)) = t.key() else { continue };
            let Some(&ix) = self.world.job_ix.get(job).filter(|ix| n < self.world.jobs[**ix].spec.tasks) else {
                // No such job: whatever it is must go.
                strays = true;
                if matches!(t.phase(), TaskPhase::Ended(_)) {
                    orders.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                } else {
                    orders.push(Order::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
                }
                continue;
            };
            let key = TaskKey { job: ix, task: n };
            let known = self.world.host_mut(hix).and_then(|h| h.copy_mut(key, t.attempt)).map(|c| c.phase);
            let before = match known {
                Some(phase) => phase,
                None => {
                    self.adopt(hix, key, t.attempt, t.phase(), now);
                    TaskPhase::Sent
                }
            };
            self.phase_seen(hix, key, t.attempt, before, t.phase(), now);
        }
        if let Some(h) = self.world.host_mut(hix) {
            if h.strays && !strays {
                self.stirred = true;
            }
            h.strays = strays;
        }
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
        let task = &mut jobs[key.job].tasks[key.task as usize];
        task.located |= !c.ended();
        let image = jobs[key.job].spec.image.clone();
        let since = c.since_ms;
        match phase {
            TaskPhase::Gathering | TaskPhase::Running => {
                h.image_ready(&image);
                if before != phase && phase == TaskPhase::Running {
                    let (class, waited) = {
                        let j = &self.world.jobs[key.job];
                        (j.spec.class.clone(), now.saturating_sub(since))
                    };
                    tracing::debug!(
                        job = self.world.jobs[key.job].spec.id,
                        class,
                        task = key.task,
                        attempt,
                        after_order = waited,
                        "running"
                    );
                    self.metrics.observe("start_after_order_ms", &class, waited);
                }
            }
            TaskPhase::Ended(reason) if before != phase => self.copy_ended(hix, key, attempt, reason, now),
            _ => {}
        }
    }

    pub(super) fn copy_ended(&mut self, hix: HostIx, key: TaskKey, attempt: u64, reason: ExitReason, now: u64) {
        self.stirred = true;
        let react_ms = self.policy.react_ms;
        let hosts = self.world.hosts.len();
        let job = &mut self.world.jobs[key.job];
        tracing::debug!(job = job.spec.id, task = key.task, attempt, reason = ?reason, "task ended");
        let shape = job.spec.shape;
        if reason == ExitReason::Done && shape != Shape::Service {
            // The tasks of a gang complete together.
            let done: Vec<u32> = if shape == Shape::Gang { (0..job.spec.tasks).collect() } else { vec![key.task] };
            self.tasks_done(key.job, &done, now);
            self.note_success(hix, key);
            return;
        }
        let task = &mut job.tasks[key.task as usize];
        if task.place != Place::On(hix, attempt) {
            return;
        }
        task.place = Place::Idle;
        // Urgent work may be what ended, or what waits for the room.
        let waited_for = self.world.hosts[hix].as_ref().is_some_and(|h| !h.claims.is_empty());
        self.urgent |= waited_for || job.spec.urgency >= Urgency::High;
        match reason {
            ExitReason::Error | ExitReason::NoSuch => {
                task.fails = task.fails.saturating_add(1);
                if task.fails >= 2 {
                    // Fails wherever it runs: ever longer pauses, so that it
                    // doesn't retake room in each pass.
                    task.retry_ms = now + react_ms * (1 << task.fails.min(6));
                }
                if reason == ExitReason::Error {
                    job.failed_on.insert(hix);
                    // Long enough for another machine to boot.
                    let boot_s = self.world.flavors.iter().map(|f| f.boot_s).fold(0.0, f64::max);
                    job.shuns_until_ms = now + 2 * self.policy.lease_ms + (boot_s * 1000.0) as u64;
                    let blames_job = job.failed_on.len() > 1 || hosts == 1;
                    for h in self.world.hosts.iter_mut().flatten() {
                        if blames_job {
                            h.failed_jobs.remove(&key.job);
                        }
                    }
                    if !blames_job && let Some(h) = self.world.host_mut(hix) {
                        h.failed_jobs.insert(key.job);
                    }
                }
            }
            ExitReason::NoRoom | ExitReason::InUse => {
                if let Some(h) = self.world.host_mut(hix) {
                    h.blocked_until_ms = now + 2 * react_ms;
                }
            }
            _ => {}
        }
        if shape == Shape::Gang {
            self.stop_all(key.job);
        }
    }

    /// A task is done on a machine: that one is sound, and where the task failed before, the
    /// machine was at fault.
    fn note_success(&mut self, sound: HostIx, key: TaskKey) {
        if let Some(h) = self.world.host_mut(sound) {
            h.failed_jobs.clear();
            h.succeeded_elsewhere = false;
        }
        let job = &self.world.jobs[key.job];
        let failed = job.spec.shape == Shape::Gang || job.tasks[key.task as usize].fails > 0;
        for host in job.failed_on.iter().filter(|_| failed) {
            if let Some(h) = self.world.hosts[*host].as_mut().filter(|h| h.failed_jobs.contains(&key.job)) {
                h.succeeded_elsewhere = true;
            }
        }
    }

    pub(super) fn tasks_done(&mut self, ix: JobIx, tasks: &[u32], now: u64) {
        let job = &mut self.world.jobs[ix];
        let mut new = 0;
        for t in tasks {
            let task = &mut job.tasks[*t as usize];
            if task.place != Place::Done {
                task.place = Place::Done;
                new += 1;
            }
        }
        if new == 0 || job.end.is_some() {
            return;
        }
        job.done += new;
        if job.done >= job.spec.tasks {
            // A cancellation that is on its way goes first; else the job is done.
            if !matches!(job.unsaved, Unsaved::End(_)) {
                job.unsaved = Unsaved::End(JobEnd::Done);
            }
        } else if job.unsaved == Unsaved::Nothing {
            job.unsaved = Unsaved::Progress;
            job.unsaved_since_ms = now;
        }
        self.dirty.insert(ix);
        // Another copy of a task that is done has nothing left to do.
        if job.spec.shape == Shape::Batch {
            for h in self.world.hosts.iter_mut().flatten() {
                for c in h.copies.iter_mut().filter(|c| c.key.job == ix && tasks.contains(&c.key.task)) {
                    if !c.ended() && c.stop.is_none() {
                        c.stop = Some(0.0);
                    }
                }
            }
        }
    }

    /// Stops all copies of a job at once: it is over, or a gang that lost a
    /// task, whose rest must go before the next attempt.
    pub(super) fn stop_all(&mut self, ix: JobIx) {
        for (hix, h) in self.world.hosts.iter_mut().enumerate() {
            let Some(h) = h else { continue };
            for c in h.copies.iter_mut().filter(|c| c.key.job == ix && !c.ended()) {
                if c.stop.is_none_or(|g| g > 0.0) {
                    c.stop = Some(0.0);
                    self.kick.insert(hix);
                }
            }
        }
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

    /// The copy is certainly not on the machine any more.
    pub(super) fn lose(&mut self, hix: HostIx, key: TaskKey, attempt: u64) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let ended = h.copy_mut(key, attempt).is_some_and(|c| c.ended());
        h.copies.retain(|c| c.key != key || c.attempt != attempt);
        self.stirred = true;
        self.copy_lost(hix, key, attempt, ended);
    }

    pub(super) fn copy_lost(&mut self, hix: HostIx, key: TaskKey, attempt: u64, ended: bool) {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        if task.place == Place::On(hix, attempt) {
            task.place = Place::Idle;
            self.urgent |= job.spec.urgency >= Urgency::High;
            self.metrics.count("tasks_lost", &job.spec.class);
            if !ended && job.spec.shape == Shape::Gang {
                self.stop_all(key.job);
            }
        }
    }

    /// All copies are gone: the machine, or its lease, ended.
    pub(super) fn lose_all(&mut self, hix: HostIx) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let copies = std::mem::take(&mut h.copies);
        h.strays = false;
        for c in copies {
            self.copy_lost(hix, c.key, c.attempt, c.ended());
        }
        self.stirred = true;
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
