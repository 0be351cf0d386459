//! Checks of the regions, and queries and procedures for tests.

use super::{Fleet, MAX_ATTEMPTS, Outcomes, REGIONS, TEAMS, WriteFate, limit_in, region_name, team_name};
use badgerdrift_fleet_config::{Batch, ChangeOutcome, DocumentName};
use std::collections::BTreeSet;

impl Fleet {
    /// Checks that a batch is the only one agreed on for its version, and adds it to the history.
    pub(super) fn record_agreed(&mut self, version: u64, batch: &Batch) {
        if let Some(known) = self.log.get(version as usize - 1) {
            assert_eq!(known, batch, "two different batches agreed on for version {version}");
            return;
        }
        assert_eq!(self.log.len() as u64 + 1, version, "a version was skipped");
        let mut state = self.states.last().unwrap().clone();
        state.apply(batch);
        self.log.push(batch.clone());
        self.states.push(state);
    }

    /// Checks that a region has applied exactly the batches agreed on.
    pub(super) fn check_applied(&self, region: usize) {
        let record = &self.stores[region].record;
        assert_eq!(record.acceptor.applied, record.state.version);
        let agreed = &self.states[record.state.version as usize];
        assert_eq!(*agreed, *record.state, "region {region} has applied another state than the one agreed on");
    }

    /// Returns the CPU amount that the leader of a region lets a team use now.
    pub fn effective_limit(&self, region: usize, team: usize) -> u64 {
        if !self.stores[region].record.may_start_tasks() {
            return 0;
        }
        let state = &self.states[self.applied_by_leader[region] as usize];
        state.allowance(&team_name(team), &region_name(region)).unwrap().limit.cpus.0
    }

    /// Checks that all regions together let a team use at most the largest limit of the versions since
    /// the oldest one that is some region's last confirmation.
    pub fn check_limits(&self) {
        let last = self.states.last().unwrap();
        let oldest = *last.confirmations.values().min().unwrap() as usize;
        for team in 0..TEAMS {
            let used: u64 = (0..REGIONS).map(|region| self.effective_limit(region, team)).sum();
            let limits = self.states[oldest..].iter().map(|state| limit_in(state, team));
            let max_limit = limits.max().unwrap();
            assert!(
                used <= max_limit,
                "team {team} may use {used} of {max_limit}, versions applied by the leaders: {:?}",
                self.applied_by_leader
            );
        }
    }

    /// Delivers all messages in order.
    pub fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
            self.check_limits();
        }
    }

    /// Delivers messages in order until `count` regions have accepted a batch for the next version.
    pub fn deliver_until_accepted_by(&mut self, count: usize) {
        while self.stores.iter().filter(|store| store.record.acceptor.accepted.is_some()).count() < count {
            assert!(!self.messages.is_empty(), "fewer than {count} accept");
            self.deliver(0);
        }
    }

    pub fn agreed_versions(&self) -> usize {
        self.log.len()
    }

    /// Returns the limit of a team in the last version agreed on; `None` if it never changed.
    pub fn agreed_limit(&self, team: usize) -> Option<u64> {
        let name = DocumentName::Team(team_name(team));
        let state = self.states.last().unwrap();
        (state.document_version(&name) > 0).then(|| limit_in(state, team))
    }

    /// Returns the numbers of changes by outcome.
    pub fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes::default();
        for recorded in &self.states.last().unwrap().history {
            match recorded.outcome {
                ChangeOutcome::Taken { .. } => outcomes.taken += 1,
                ChangeOutcome::Conflict { .. } => outcomes.conflicts += 1,
                _ => {}
            }
        }
        outcomes
    }

    /// Lets all regions apply and confirm the last version.
    pub fn confirm_everywhere(&mut self) {
        for region in 0..REGIONS {
            self.catch_up(region);
            self.apply_version(region);
            self.propose_confirmation(region);
            self.retry_until_agreed(region);
        }
        for region in 0..REGIONS {
            self.catch_up(region);
            self.apply_version(region);
        }
        self.check_limits();
    }

    /// Retries a region's proposal until it is agreed on, at most [`MAX_ATTEMPTS`] times.
    fn retry_until_agreed(&mut self, region: usize) {
        let entry = self.attempts[region].as_ref().unwrap().entry.clone();
        for _ in 0..MAX_ATTEMPTS {
            self.deliver_all();
            if self.log.iter().any(|batch| batch.entries.contains(&entry)) {
                return;
            }
            self.retry(region);
        }
        panic!("not agreed on after {MAX_ATTEMPTS} attempts: {entry:?}");
    }

    /// Ends all faults and checks that a change is agreed on in a bounded number of attempts, that all
    /// regions apply it, and that each has its whole share once all have confirmed.
    pub fn recover_and_check(&mut self) {
        self.isolated = [false; REGIONS];
        self.messages.clear();
        for region in 0..REGIONS {
            self.stores[region].fate = WriteFate::Answered;
            self.restart_controller(region);
            self.catch_up(region);
        }
        self.check_limits();
        // Three of five regions are a majority; the other two return later.
        self.isolated = [false, false, false, true, true];
        if (0..3).all(|region| self.is_voting(region)) {
            self.propose_change(0, 0, 12, [1; REGIONS]);
            self.retry_until_agreed(0);
        }
        self.isolated = [false; REGIONS];
        self.confirm_everywhere();
        self.confirm_everywhere();
        let last = self.states.last().unwrap();
        for team in 0..TEAMS {
            let sum: u64 = (0..REGIONS).map(|region| self.effective_limit(region, team)).sum();
            assert!(sum <= limit_in(last, team));
            for region in 0..REGIONS {
                let allowance = last.allowance(&team_name(team), &region_name(region)).unwrap();
                assert!(allowance.complete, "region {region} lacks a part of its share of team {team}");
            }
        }
        let applied: BTreeSet<u64> = self.stores.iter().map(|store| store.record.acceptor.applied).collect();
        assert_eq!(applied.len(), 1, "all regions have applied the same version: {applied:?}");
    }

    /// Returns whether a region votes again after a loss of its store.
    fn is_voting(&self, region: usize) -> bool {
        self.stores[region].record.may_start_tasks()
    }
}
