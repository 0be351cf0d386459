//! What must hold of the regions, and what tests ask of them.

use super::{Fleet, MOST_ATTEMPTS, Outcomes, REGIONS, TEAMS, WriteFate, limit_in, region_name, team_name};
use badgerdrift_fleet_config::{Batch, ChangeOutcome, DocumentName};
use std::collections::BTreeSet;

impl Fleet {
    pub(super) fn note_agreed(&mut self, version: u64, batch: &Batch) {
        if let Some(known) = self.log.get(version as usize - 1) {
            assert_eq!(known, batch, "two histories at version {version}");
            return;
        }
        assert_eq!(self.log.len() as u64 + 1, version, "a version was left out");
        let mut state = self.states.last().unwrap().clone();
        state.apply(batch);
        self.log.push(batch.clone());
        self.states.push(state);
    }

    pub(super) fn note_applied(&self, region: usize) {
        let record = &self.stores[region].record;
        assert_eq!(record.acceptor.applied, record.state.version);
        let agreed = &self.states[record.state.version as usize];
        assert_eq!(*agreed, *record.state, "region {region} has applied something else");
    }

    /// What the leader of a region lets a team use now.
    pub fn limit_of(&self, region: usize, team: usize) -> u64 {
        if !self.stores[region].record.may_start_tasks() {
            return 0;
        }
        let state = &self.states[self.obeyed[region] as usize];
        state.allowance(&team_name(team), &region_name(region)).unwrap().limit.cpus.0
    }

    /// All regions together let a team use no more than the largest limit since the oldest
    /// version that a region has confirmed last.
    pub fn check_limits(&self) {
        let last = self.states.last().unwrap();
        let oldest = *last.confirmations.values().min().unwrap() as usize;
        for team in 0..TEAMS {
            let used: u64 = (0..REGIONS).map(|region| self.limit_of(region, team)).sum();
            let limits = self.states[oldest..].iter().map(|state| limit_in(state, team));
            let most = limits.max().unwrap();
            assert!(used <= most, "team {team} may use {used} of {most}, owners obey {:?}", self.obeyed);
        }
    }

    /// Delivers all messages in order.
    pub fn run(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
            self.check_limits();
        }
    }

    /// Delivers messages in order until so many regions have accepted a batch for the next version.
    pub fn deliver_until_accepted_by(&mut self, count: usize) {
        while self.stores.iter().filter(|store| store.record.acceptor.accepted.is_some()).count() < count {
            assert!(!self.messages.is_empty(), "fewer than {count} accept");
            self.deliver(0);
        }
    }

    pub fn agreed_versions(&self) -> usize {
        self.log.len()
    }

    /// The limit of a team in the last version, if it is not the first one's.
    pub fn agreed_limits(&self, team: usize) -> Option<u64> {
        let name = DocumentName::Team(team_name(team));
        let state = self.states.last().unwrap();
        (state.document_version(&name) > 0).then(|| limit_in(state, team))
    }

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

    /// All regions apply and confirm the last version.
    pub fn settle_confirmations(&mut self) {
        for region in 0..REGIONS {
            self.catch_up(region);
            self.apply_version(region);
            self.confirm(region);
            self.attempt_until_agreed(region);
        }
        for region in 0..REGIONS {
            self.catch_up(region);
            self.apply_version(region);
        }
        self.check_limits();
    }

    fn attempt_until_agreed(&mut self, region: usize) {
        let entry = self.running[region].as_ref().unwrap().entry.clone();
        for _ in 0..MOST_ATTEMPTS {
            self.run();
            if self.log.iter().any(|batch| batch.entries.contains(&entry)) {
                return;
            }
            self.retry(region);
        }
        panic!("no progress with all regions: {entry:?}");
    }

    /// With all troubles over, a change is agreed on in bounded time, all regions apply it, and
    /// each has all of its share once all have confirmed.
    pub fn settle(&mut self) {
        self.isolated = [false; REGIONS];
        self.messages.clear();
        for region in 0..REGIONS {
            self.stores[region].fate = WriteFate::Answered;
            self.restart_controller(region);
            self.catch_up(region);
        }
        self.check_limits();
        // Three of five are a majority; the other two come back later.
        self.isolated = [false, false, false, true, true];
        if (0..3).all(|region| self.votes(region)) {
            self.change(0, 0, 12, [1; REGIONS]);
            self.attempt_until_agreed(0);
        }
        self.isolated = [false; REGIONS];
        self.settle_confirmations();
        self.settle_confirmations();
        let last = self.states.last().unwrap();
        for team in 0..TEAMS {
            let sum: u64 = (0..REGIONS).map(|region| self.limit_of(region, team)).sum();
            assert!(sum <= limit_in(last, team));
            for region in 0..REGIONS {
                let allowance = last.allowance(&team_name(team), &region_name(region)).unwrap();
                assert!(allowance.complete, "region {region} lacks a part of its share of team {team}");
            }
        }
        let applied: BTreeSet<u64> = self.stores.iter().map(|store| store.record.acceptor.applied).collect();
        assert_eq!(applied.len(), 1, "all regions have applied the same version: {applied:?}");
    }

    fn votes(&self, region: usize) -> bool {
        self.stores[region].record.may_start_tasks()
    }
}
