//! What must be recorded: the next commit, what its answer means, records read again.

use super::*;

impl Part {
    /// The next commit, if one is due: ends and creations first, then machines,
    /// then progress that has waited for a while. At most `ops` changes.
    pub fn next_commit(&mut self, now: u64, ops: usize) -> Option<Commit> {
        if self.in_flight.is_some() || self.part_version == 0 {
            return None;
        }
        self.settle_cancellations();
        let ops = ops.min(self.txn_ops);
        let patience = 3 * self.policy.report_ms;
        let mut picked: Vec<(u8, JobIx)> = self
            .dirty
            .iter()
            .filter_map(|ix| {
                let j = &self.world.jobs[*ix];
                match j.unsaved {
                    Unsaved::End(_) => Some((0, *ix)),
                    Unsaved::Creation => Some((1, *ix)),
                    Unsaved::Progress if now >= j.unsaved_since_ms + patience => Some((3, *ix)),
                    _ => None,
                }
            })
            .collect();
        picked.sort_unstable();
        let hosts_at = picked.partition_point(|p| p.0 < 3);
        let mut commit = Commit { guards: vec![wire::guard(&self.part_key, self.part_version)], apply: Vec::new() };
        let mut saved = Vec::new();
        let mut bytes = 0;
        let most = (self.value_bytes / 2 / RANGE_BYTES).max(1);
        let jobs =
            |me: &mut Part, range: &[(u8, JobIx)], commit: &mut Commit, saved: &mut Vec<Saved>, bytes: &mut usize| {
                for (_, ix) in range {
                    if commit.apply.len() >= ops || *bytes > COMMIT_BYTES {
                        break;
                    }
                    let job = &mut me.world.jobs[*ix];
                    let end = match job.unsaved {
                        Unsaved::End(e) => Some(e),
                        _ => None,
                    };
                    let key = job_key(&job.spec.id);
                    let Ok(value) = serde_json::to_value(JobRecord::of(job, end, most)) else { continue };
                    *bytes += value.to_string().len() + 2 * key.len() + 64;
                    if *bytes > COMMIT_BYTES && !commit.apply.is_empty() {
                        break;
                    }
                    commit.guards.push(wire::guard(&key, job.version));
                    commit.apply.push(wire::put(&key, &value, None));
                    saved.push(Saved::Job(*ix, job.unsaved, job.end_open));
                    job.saving = true;
                    // From its sending on another node may read the end.
                    job.end_open |= end.is_some();
                    job.unsaved = Unsaved::Nothing;
                    me.dirty.remove(ix);
                }
            };
        jobs(self, &picked[..hosts_at], &mut commit, &mut saved, &mut bytes);
        for hix in self.new_hosts.clone() {
            if commit.apply.len() >= ops {
                break;
            }
            self.new_hosts.remove(&hix);
            let Some(h) = self.world.host(hix) else { continue };
            let flavor = h.flavor.map_or(String::new(), |f| self.world.flavors[f].name.clone());
            let part = h.giving.unwrap_or(self.id);
            let record = HostRecord { addr: h.addr, flavor, zone: h.zone.clone(), spot: h.spot, part };
            let Ok(value) = serde_json::to_value(record) else { continue };
            commit.apply.push(wire::put(&host_key(&h.id), &value, None));
            saved.push(h.giving.map_or(Saved::Host(hix), |to| Saved::Given(hix, to)));
        }
        jobs(self, &picked[hosts_at..], &mut commit, &mut saved, &mut bytes);
        while commit.apply.len() < ops {
            let Some(key) = self.gone_keys.pop_first() else { break };
            commit.apply.push(wire::delete(&key));
            saved.push(Saved::KeyGone(key));
        }
        if commit.apply.is_empty() {
            return None;
        }
        self.in_flight = Some(saved);
        Some(commit)
    }

    /// May a late write undo that a machine moves between the parts?
    pub(super) fn moves_may_be_undone(&self) -> bool {
        let one_part = self.teams.values().all(|p| *p == self.id);
        !one_part && self.open_host_write == Some(self.part_version)
    }

    pub fn committing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Takes the result of the commit under way; returns the keys of jobs
    /// whose records must be read again, or `Err` if the part is lost.
    pub fn committed(&mut self, result: CommitResult) -> Result<Vec<String>, Superseded> {
        let saved = self.in_flight.take().unwrap_or_default();
        let mut reread = Vec::new();
        let mut superseded = false;
        let unclear = matches!(result, CommitResult::Unclear);
        match result {
            CommitResult::Done { revision } => {
                for s in saved {
                    match s {
                        Saved::Job(ix, what, _) => self.job_saved(ix, what, revision),
                        Saved::Host(hix) => {
                            if let Some(h) = self.world.host_mut(hix) {
                                h.registered = true;
                                self.stirred = true;
                            }
                        }
                        Saved::Given(hix, to) => {
                            if let Some(h) = self.world.remove_host(hix) {
                                tracing::info!(host = h.id, to, "machine given to another part");
                                self.elsewhere.insert(h.id, to);
                            }
                        }
                        Saved::KeyGone(_) => {}
                    }
                }
                return Ok(reread);
            }
            CommitResult::Conflict { failed } => {
                superseded = failed.contains(&self.part_key);
                reread = failed.into_iter().filter(|k| k.starts_with("job/")).collect();
            }
            CommitResult::Refused | CommitResult::Unclear => {}
        }
        for s in saved {
            match s {
                Saved::Job(ix, what, end_was_open) => {
                    let job = &mut self.world.jobs[ix];
                    job.saving = false;
                    // What was certainly refused is not open; an earlier write may be.
                    job.end_open &= unclear || end_was_open;
                    // Found to exist meanwhile: it need not be created any more.
                    if what == Unsaved::Creation && job.version > 0 {
                        continue;
                    }
                    // What came meanwhile weighs more, except against a creation or an end.
                    if !matches!(job.unsaved, Unsaved::End(_)) || matches!(what, Unsaved::End(_)) {
                        job.unsaved = what;
                    }
                    self.dirty.insert(ix);
                }
                Saved::Host(hix) | Saved::Given(hix, _) => {
                    self.new_hosts.insert(hix);
                    if unclear {
                        self.open_host_write = Some(self.part_version);
                    }
                }
                Saved::KeyGone(key) => {
                    self.gone_keys.insert(key);
                }
            }
        }
        if superseded { Err(Superseded) } else { Ok(reread) }
    }

    pub(super) fn job_saved(&mut self, ix: JobIx, what: Unsaved, version: u64) {
        let job = &mut self.world.jobs[ix];
        job.saving = false;
        job.version = version;
        // Earlier writes guard on an older version: they can't be carried out any more.
        job.end_open = false;
        match what {
            Unsaved::End(end) => self.ended(ix, end),
            Unsaved::Creation => {
                self.stirred = true;
                self.urgent |= job.spec.urgency >= Urgency::High;
                let spec = &job.spec;
                tracing::debug!(
                    job = spec.id,
                    class = spec.class,
                    team = spec.team,
                    tasks = spec.tasks,
                    expected_s = spec.expected_s,
                    due_s = spec.due_s.unwrap_or(0.0),
                    "accepted"
                );
                self.tell_submitters(ix, true);
            }
            _ => {}
        }
    }

    /// The job's record says that it is over.
    pub(super) fn ended(&mut self, ix: JobIx, end: JobEnd) {
        let job = &mut self.world.jobs[ix];
        job.end = Some(end);
        job.unsaved = Unsaved::Nothing;
        job.retire();
        self.dirty.remove(&ix);
        self.cancelling.remove(&ix);
        self.world.live.retain(|l| *l != ix);
        self.stop_all(ix);
        self.tell_end(ix);
        self.stirred = true;
    }

    /// Tells those who wait for the job to be accepted.
    fn tell_submitters(&mut self, ix: JobIx, created: bool) {
        let answer = self.accepted(ix, created);
        for w in self.submitters.remove(&ix).unwrap_or_default() {
            let _ = w.send(answer.clone());
        }
    }

    /// Tells all who wait for the job how it ended.
    fn tell_end(&mut self, ix: JobIx) {
        let answer = self.status_of(ix);
        let submitters = self.submitters.remove(&ix).unwrap_or_default();
        for w in self.cancellers.remove(&ix).unwrap_or_default().into_iter().chain(submitters) {
            let _ = w.send(answer.clone());
        }
    }

    /// A record as read again after a conflict: what it holds is true, what it
    /// lacks stays to be written.
    pub fn reread(&mut self, item: Item) {
        let Some(&ix) = item.key.strip_prefix("job/").and_then(|id| self.world.job_ix.get(id)) else { return };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        let job = &mut self.world.jobs[ix];
        // Read before the last write that is known to have been carried out.
        if item.version < job.version {
            return;
        }
        let created = job.version == 0;
        job.end_open &= item.version == job.version;
        job.version = item.version;
        if let Some(end) = record.end {
            if job.end.is_none() {
                self.ended(ix, end);
            }
            return;
        }
        if created {
            if job.unsaved == Unsaved::Creation {
                job.unsaved = Unsaved::Nothing;
                self.dirty.remove(&ix);
            }
            // Known already, maybe by our own commit whose answer was lost.
            job.accepted_ms = record.accepted_ms;
            self.stirred = true;
            self.tell_submitters(ix, false);
        }
    }
}
