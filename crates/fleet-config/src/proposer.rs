//! A proposer: one attempt to reach agreement on one version.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::change::Batch;
use crate::document::RegionName;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt to reach agreement on one version.
#[derive(Debug, Clone)]
pub struct Proposer {
    version: u64,
    ballot: Ballot,
    majority: usize,
    own_batch: Batch,
    phase: Phase,
}

#[derive(Debug, Clone)]
enum Phase {
    Preparing { promises: BTreeMap<RegionName, Option<Accepted>> },
    Accepting { batch: Batch, accepted: BTreeSet<RegionName> },
}

/// Next step after an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// More answers are needed.
    Wait,
    /// All regions must be asked to accept this batch.
    Accept(Batch),
    /// The regions have agreed on this batch.
    Decided(Batch),
}

impl Proposer {
    /// Creates an attempt of `ballot` to agree on `own_batch` as `version`, among `regions` regions.
    pub fn new(version: u64, ballot: Ballot, own_batch: Batch, regions: usize) -> Proposer {
        let phase = Phase::Preparing { promises: BTreeMap::new() };
        Proposer { version, ballot, majority: regions / 2 + 1, own_batch, phase }
    }

    /// Returns the version that the attempt is for.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the ballot of the attempt.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Records the promise of a region, with the batch that it had accepted before. At a majority of
    /// promises the batch with the largest ballot is proposed, as it may already be agreed on; if no
    /// region had accepted one, the proposer's own batch is.
    pub fn handle_promise(&mut self, region: RegionName, accepted: Option<Accepted>) -> Step {
        let Phase::Preparing { promises } = &mut self.phase else { return Step::Wait };
        promises.insert(region, accepted);
        if promises.len() < self.majority {
            return Step::Wait;
        }
        let latest = promises.values().flatten().max_by(|a, b| a.ballot.cmp(&b.ballot));
        let batch = latest.map_or_else(|| self.own_batch.clone(), |accepted| accepted.batch.clone());
        self.phase = Phase::Accepting { batch: batch.clone(), accepted: BTreeSet::new() };
        Step::Accept(batch)
    }

    /// Records that a region has accepted the batch under this ballot.
    pub fn handle_acceptance(&mut self, region: RegionName) -> Step {
        let Phase::Accepting { batch, accepted } = &mut self.phase else { return Step::Wait };
        accepted.insert(region);
        if accepted.len() == self.majority { Step::Decided(batch.clone()) } else { Step::Wait }
    }
}
