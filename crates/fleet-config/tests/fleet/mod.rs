//! Model of five regions, the messages between them, and the writes to their state services.

mod checks;

use badgerdrift_fleet_config::{
    Amount, Amounts, Ballot, Batch, Change, ChangeId, ConfigState, Confirmation, Document, DocumentName, Entry,
    Proposer, ProposerId, ReadVersion, RegionRecord, Rejection, Reply, Request, Share, Step, TeamDocument,
};

pub const REGIONS: usize = 5;
pub const TEAMS: usize = 2;
/// Share of each region in each team's limit in version 0.
const INITIAL_SHARE: u64 = 6;
/// Number of attempts within which a proposal must be agreed on.
const MAX_ATTEMPTS: usize = 20;

/// Outcome of the next write to a state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    /// The write is applied and answered.
    Answered,
    /// The write is applied, but not answered.
    AppliedWithoutAnswer,
    /// The write is applied later or never, and not answered.
    Delayed,
}

/// State service of a region: a record with a version on which writes are conditional.
#[derive(Debug)]
struct Store {
    record: RegionRecord,
    version: u64,
    fate: WriteFate,
}

/// A write without an answer that may still be applied.
#[derive(Debug)]
struct DelayedWrite {
    region: usize,
    expected_version: u64,
    record: RegionRecord,
}

#[derive(Debug, Clone)]
enum Message {
    Request { from: usize, to: usize, ballot: Ballot, request: Request },
    Reply { from: usize, to: usize, ballot: Ballot, reply: Reply },
}

/// Proposal of a region's controller, which is kept in memory only.
#[derive(Debug)]
struct Attempt {
    proposer: Proposer,
    entry: Entry,
}

/// Numbers of changes by outcome.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub taken: usize,
    pub conflicts: usize,
}

/// The regions, their messages and the history that they agreed on.
#[derive(Debug)]
pub struct Fleet {
    stores: Vec<Store>,
    attempts: Vec<Option<Attempt>>,
    messages: Vec<Message>,
    delayed_writes: Vec<DelayedWrite>,
    /// Regions that can exchange no messages with others.
    pub isolated: [bool; REGIONS],
    /// Batches agreed on, in the order of their versions.
    log: Vec<Batch>,
    /// State after each version, starting with version 0.
    states: Vec<ConfigState>,
    /// Version that the leader of each region has applied.
    applied_by_leader: [u64; REGIONS],
    incarnations: u64,
    changes: u64,
    last_change: Option<Change>,
}

fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

fn amounts(cpus: u64) -> Amounts {
    Amounts { cpus: Amount(cpus), gpus: Amount(0) }
}

fn document(team: usize, limit: u64, limits: [u64; REGIONS]) -> Document {
    let share = |limit: u64| Share { guarantee: Amounts::default(), limit: amounts(limit) };
    Document::Team(TeamDocument {
        name: team_name(team),
        removed: false,
        guarantee: Amounts::default(),
        limit: amounts(limit),
        shares: limits.iter().enumerate().map(|(region, limit)| (region_name(region), share(*limit))).collect(),
    })
}

impl Fleet {
    pub fn new() -> Fleet {
        let documents = (0..TEAMS).map(|team| document(team, INITIAL_SHARE * REGIONS as u64, [INITIAL_SHARE; REGIONS]));
        let state = ConfigState::initial((0..REGIONS).map(region_name).collect(), documents.collect());
        let store = || Store { record: RegionRecord::new(state.clone()), version: 1, fate: WriteFate::Answered };
        Fleet {
            stores: (0..REGIONS).map(|_| store()).collect(),
            attempts: (0..REGIONS).map(|_| None).collect(),
            messages: Vec::new(),
            delayed_writes: Vec::new(),
            isolated: [false; REGIONS],
            log: Vec::new(),
            states: vec![state],
            applied_by_leader: [0; REGIONS],
            incarnations: 0,
            changes: 0,
            last_change: None,
        }
    }

    // ---- steps ----

    /// Proposes a new limit of a team, divided among the regions in proportion to `weights`.
    pub fn propose_change(&mut self, region: usize, team: usize, limit: u64, weights: [u64; REGIONS]) {
        let sum = weights.iter().sum::<u64>().max(1);
        let limits = weights.map(|weight| limit * weight / sum);
        let name = DocumentName::Team(team_name(team));
        self.changes += 1;
        let change = Change {
            id: ChangeId(format!("change-{}", self.changes)),
            author: "test".into(),
            reason: "test".into(),
            at_ms: 0,
            reads: vec![ReadVersion {
                version: self.stores[region].record.state.document_version(&name),
                document: name,
            }],
            writes: vec![document(team, limit, limits)],
        };
        self.last_change = Some(change.clone());
        self.propose(region, Entry::Change(change), 1);
    }

    /// Proposes the confirmation that the region's leader, and any successor, applies the version that the
    /// leader has applied.
    pub fn propose_confirmation(&mut self, region: usize) {
        let confirmation = Confirmation { region: region_name(region), version: self.applied_by_leader[region] };
        self.propose(region, Entry::Confirmation(confirmation), 1);
    }

    /// Proposes the last change again from another region.
    pub fn propose_last_change_again(&mut self, region: usize) {
        let change = self.last_change.clone().unwrap();
        self.propose(region, Entry::Change(change), 1);
    }

    fn propose(&mut self, region: usize, entry: Entry, round: u64) {
        self.incarnations += 1;
        let proposer = ProposerId { node: region_name(region), incarnation: self.incarnations };
        let version = self.stores[region].record.acceptor.applied + 1;
        let ballot = Ballot { round, proposer };
        let batch = Batch { entries: vec![entry.clone()] };
        let proposer = Proposer::new(version, ballot.clone(), batch, REGIONS);
        self.attempts[region] = Some(Attempt { proposer, entry });
        self.send_to_all(region, &ballot, &Request::Prepare { version, ballot: ballot.clone() });
    }

    /// Tries the region's proposal again with a larger ballot, unless the change already has an outcome.
    pub fn retry(&mut self, region: usize) {
        self.catch_up(region);
        let Some(Attempt { proposer, entry }) = self.attempts[region].take() else { return };
        if let Entry::Change(change) = &entry
            && self.stores[region].record.state.outcome(&change.id).is_some()
        {
            return;
        }
        let largest = self.stores.iter().filter_map(|store| store.record.acceptor.promised.as_ref()).max();
        let round = largest.map_or(0, |ballot| ballot.round).max(proposer.ballot().round) + 1;
        self.propose(region, entry, round);
    }

    pub fn deliver(&mut self, message: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(message % self.messages.len());
            self.process(message);
        }
    }

    pub fn drop_message(&mut self, message: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(message % self.messages.len());
        }
    }

    pub fn duplicate_message(&mut self, message: usize) {
        if !self.messages.is_empty() {
            let again = self.messages[message % self.messages.len()].clone();
            self.messages.push(again);
        }
    }

    pub fn drop_all_messages(&mut self) {
        self.messages.clear();
    }

    /// Replaces a region's controller by one without its memory, which applies the stored version.
    pub fn restart_controller(&mut self, region: usize) {
        self.attempts[region] = None;
        self.applied_by_leader[region] = self.stores[region].record.acceptor.applied;
    }

    pub fn set_write_fate(&mut self, region: usize, fate: WriteFate) {
        self.stores[region].fate = fate;
    }

    /// Applies a delayed write if the record still has the expected version.
    pub fn apply_delayed_write(&mut self, write: usize) {
        if self.delayed_writes.is_empty() {
            return;
        }
        let write = self.delayed_writes.remove(write % self.delayed_writes.len());
        let store = &mut self.stores[write.region];
        if store.version == write.expected_version {
            store.record = write.record;
            store.version += 1;
            self.check_applied(write.region);
        }
    }

    /// Replaces a region's record by one recovered from the others, as after a loss of its state service.
    /// Has no effect unless it reaches a majority of the regions and all others vote, as at most one
    /// region may have lost its data at a time.
    pub fn lose_store(&mut self, region: usize) {
        let voting = |store: &Store| store.record.may_start_tasks();
        let reachable: Vec<usize> =
            (0..REGIONS).filter(|other| *other != region && !self.isolated[*other] && !self.isolated[region]).collect();
        let all_vote = self.stores.iter().enumerate().all(|(other, store)| other == region || voting(store));
        if reachable.len() < REGIONS / 2 + 1 || !all_vote {
            return;
        }
        let latest = reachable.iter().max_by_key(|other| self.stores[**other].record.acceptor.applied).unwrap();
        let state = ConfigState::clone(&self.stores[*latest].record.state);
        let version = state.version;
        self.stores[region].record = RegionRecord::recover(state, version);
        self.stores[region].version += 1;
        self.restart_controller(region);
    }

    /// Lets a region learn the next versions from the regions that it reaches.
    pub fn catch_up(&mut self, region: usize) {
        while let Some(batch) = self.next_batch_known_elsewhere(region) {
            let version = self.stores[region].record.acceptor.applied + 1;
            let (record, _) = self.stores[region].record.handle(&Request::Learn { version, batch });
            self.write(region, record.unwrap());
            if self.stores[region].record.acceptor.applied < version {
                return;
            }
        }
    }

    /// Returns the next batch for a region if another one that it reaches has applied it.
    fn next_batch_known_elsewhere(&self, region: usize) -> Option<Batch> {
        let applied = self.stores[region].record.acceptor.applied;
        let mut others = (0..REGIONS).filter(|other| !self.isolated[*other] && !self.isolated[region]);
        let known = others.any(|other| self.stores[other].record.acceptor.applied > applied);
        known.then(|| self.log[applied as usize].clone())
    }

    /// Lets a region's leader apply the version that the region has applied.
    pub fn apply_version(&mut self, region: usize) {
        self.applied_by_leader[region] = self.stores[region].record.acceptor.applied;
    }

    // ---- messages ----

    fn send_to_all(&mut self, from: usize, ballot: &Ballot, request: &Request) {
        for to in 0..REGIONS {
            self.messages.push(Message::Request { from, to, ballot: ballot.clone(), request: request.clone() });
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || (!self.isolated[from] && !self.isolated[to])
    }

    fn process(&mut self, message: Message) {
        match message {
            Message::Request { from, to, ballot, request } if self.reaches(from, to) => {
                let (record, reply) = self.stores[to].record.handle(&request);
                let answered = record.is_none_or(|record| self.write(to, record));
                if answered {
                    self.messages.push(Message::Reply { from: to, to: from, ballot, reply });
                }
            }
            Message::Reply { from, to, ballot, reply } if self.reaches(from, to) => {
                self.handle_reply(from, to, &ballot, reply);
            }
            _ => {}
        }
    }

    /// Writes a region's record. Returns whether the write is answered.
    fn write(&mut self, region: usize, record: RegionRecord) -> bool {
        let store = &mut self.stores[region];
        match std::mem::replace(&mut store.fate, WriteFate::Answered) {
            WriteFate::Delayed => {
                self.delayed_writes.push(DelayedWrite { region, expected_version: store.version, record });
                false
            }
            fate => {
                store.record = record;
                store.version += 1;
                self.check_applied(region);
                fate == WriteFate::Answered
            }
        }
    }

    fn handle_reply(&mut self, from: usize, to: usize, ballot: &Ballot, reply: Reply) {
        let Some(attempt) = self.attempts[to].as_mut().filter(|attempt| attempt.proposer.ballot() == ballot) else {
            return;
        };
        let version = attempt.proposer.version();
        let step = match reply {
            Reply::Promised(accepted) => attempt.proposer.handle_promise(region_name(from), accepted),
            Reply::Accepted => attempt.proposer.handle_acceptance(region_name(from)),
            Reply::Learned => Step::Wait,
            Reply::Rejected { rejection, .. } => return self.rejected(from, to, &rejection),
        };
        match step {
            Step::Wait => {}
            Step::Accept(batch) => {
                let request = Request::Accept { version, ballot: ballot.clone(), batch };
                self.send_to_all(to, ballot, &request);
            }
            Step::Decided(batch) => {
                self.record_agreed(version, &batch);
                self.send_to_all(to, ballot, &Request::Learn { version, batch });
            }
        }
    }

    fn rejected(&mut self, from: usize, to: usize, rejection: &Rejection) {
        match rejection {
            Rejection::Decided => self.catch_up(to),
            Rejection::Behind => self.catch_up(from),
            Rejection::BallotTooLow(_) | Rejection::NotVoting => {}
        }
    }
}

fn limit_in(state: &ConfigState, team: usize) -> u64 {
    match &state.documents[&DocumentName::Team(team_name(team))].document {
        Document::Team(team) => team.limit.cpus.0,
        Document::Operator(_) => unreachable!("not a team's document"),
    }
}
