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
    own: Batch,
    phase: Phase,
}

#[derive(Debug, Clone)]
enum Phase {
    Preparing { promises: BTreeMap<RegionName, Option<Accepted>> },
    Accepting { batch: Batch, accepted: BTreeSet<RegionName> },
}

/// What an answer led to.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// More answers are needed.
    Wait,
    /// All regions are to be asked to accept this batch.
    Accept(Batch),
    /// The batch is agreed on.
    Decided(Batch),
}

impl Proposer {
    /// An attempt among so many regions.
    pub fn new(version: u64, ballot: Ballot, own: Batch, regions: usize) -> Proposer {
        let phase = Phase::Preparing { promises: BTreeMap::new() };
        Proposer { version, ballot, majority: regions / 2 + 1, own, phase }
    }

    /// The version that it is about.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The ballot of the attempt.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// A region has promised; it tells what it had accepted. With a majority of promises the batch
    /// of the largest ballot is taken up, as it may be agreed on already; else the own one.
    pub fn promised(&mut self, region: RegionName, accepted: Option<Accepted>) -> Step {
        let Phase::Preparing { promises } = &mut self.phase else { return Step::Wait };
        promises.insert(region, accepted);
        if promises.len() < self.majority {
            return Step::Wait;
        }
        let latest = promises.values().flatten().max_by(|a, b| a.ballot.cmp(&b.ballot));
        let batch = latest.map_or_else(|| self.own.clone(), |accepted| accepted.batch.clone());
        self.phase = Phase::Accepting { batch: batch.clone(), accepted: BTreeSet::new() };
        Step::Accept(batch)
    }

    /// A region has accepted the batch under this ballot.
    pub fn accepted(&mut self, region: RegionName) -> Step {
        let Phase::Accepting { batch, accepted } = &mut self.phase else { return Step::Wait };
        accepted.insert(region);
        if accepted.len() == self.majority { Step::Decided(batch.clone()) } else { Step::Wait }
    }
}
