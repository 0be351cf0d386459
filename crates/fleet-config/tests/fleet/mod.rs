//! Five regions, the messages between them, and the writes to their state services.

mod checks;

use badgerdrift_fleet_config::{
    Amount, Amounts, Ballot, Batch, Change, ChangeId, ConfigState, Confirmation, Document, DocumentName, Entry,
    Proposer, ProposerId, ReadVersion, RegionRecord, Rejection, Reply, Request, Share, Step, TeamDocument,
};

pub const REGIONS: usize = 5;
pub const TEAMS: usize = 2;
/// Each region's part of each team's limit at first.
const FIRST_SHARE: u64 = 6;
/// Attempts after which progress is overdue.
const MOST_ATTEMPTS: usize = 20;

/// What becomes of the next write to a state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    Answered,
    /// Carried out, without an answer.
    AnswerLost,
    /// Carried out later or never, without an answer.
    Late,
}

/// A region's state service: a record with a version that writes guard on.
#[derive(Debug)]
struct Store {
    record: RegionRecord,
    stamp: u64,
    fate: WriteFate,
}

#[derive(Debug)]
struct LateWrite {
    region: usize,
    guard: u64,
    record: RegionRecord,
}

#[derive(Debug, Clone)]
enum Message {
    Request { from: usize, to: usize, ballot: Ballot, request: Request },
    Reply { from: usize, to: usize, ballot: Ballot, reply: Reply },
}

/// What a region's controller proposes, in its memory only.
#[derive(Debug)]
struct Running {
    proposer: Proposer,
    entry: Entry,
}

#[derive(Debug, Default)]
pub struct Outcomes {
    pub taken: usize,
    pub conflicts: usize,
}

#[derive(Debug)]
pub struct Fleet {
    stores: Vec<Store>,
    running: Vec<Option<Running>>,
    messages: Vec<Message>,
    late_writes: Vec<LateWrite>,
    pub isolated: [bool; REGIONS],
    /// The one history, with the state after each version.
    log: Vec<Batch>,
    states: Vec<ConfigState>,
    /// The version that the leader of each region has applied.
    obeyed: [u64; REGIONS],
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
        let documents = (0..TEAMS).map(|team| document(team, FIRST_SHARE * REGIONS as u64, [FIRST_SHARE; REGIONS]));
        let state = ConfigState::initial((0..REGIONS).map(region_name).collect(), documents.collect());
        let store = || Store { record: RegionRecord::new(state.clone()), stamp: 1, fate: WriteFate::Answered };
        Fleet {
            stores: (0..REGIONS).map(|_| store()).collect(),
            running: (0..REGIONS).map(|_| None).collect(),
            messages: Vec::new(),
            late_writes: Vec::new(),
            isolated: [false; REGIONS],
            log: Vec::new(),
            states: vec![state],
            obeyed: [0; REGIONS],
            incarnations: 0,
            changes: 0,
            last_change: None,
        }
    }

    // ---- what can happen ----

    pub fn change(&mut self, region: usize, team: usize, limit: u64, weights: [u64; REGIONS]) {
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

    /// The region's leader tells that it has applied a version, and so will any successor.
    pub fn confirm(&mut self, region: usize) {
        let confirmation = Confirmation { region: region_name(region), version: self.obeyed[region] };
        self.propose(region, Entry::Confirmation(confirmation), 1);
    }

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
        self.running[region] = Some(Running { proposer, entry });
        self.ask_all(region, &ballot, &Request::Prepare { version, ballot: ballot.clone() });
    }

    /// Tries again with a larger ballot what is not agreed on yet.
    pub fn retry(&mut self, region: usize) {
        self.catch_up(region);
        let Some(Running { proposer, entry }) = self.running[region].take() else { return };
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
            self.take(message);
        }
    }

    pub fn lose(&mut self, message: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(message % self.messages.len());
        }
    }

    pub fn repeat(&mut self, message: usize) {
        if !self.messages.is_empty() {
            let again = self.messages[message % self.messages.len()].clone();
            self.messages.push(again);
        }
    }

    pub fn lose_all_messages(&mut self) {
        self.messages.clear();
    }

    /// The controller's memory is lost; its successor has applied what the state service has.
    pub fn restart_controller(&mut self, region: usize) {
        self.running[region] = None;
        self.obeyed[region] = self.stores[region].record.acceptor.applied;
    }

    pub fn set_write_fate(&mut self, region: usize, fate: WriteFate) {
        self.stores[region].fate = fate;
    }

    pub fn carry_out_late_write(&mut self, write: usize) {
        if self.late_writes.is_empty() {
            return;
        }
        let write = self.late_writes.remove(write % self.late_writes.len());
        let store = &mut self.stores[write.region];
        if store.stamp == write.guard {
            store.record = write.record;
            store.stamp += 1;
            self.note_applied(write.region);
        }
    }

    /// A region's state service loses everything. It takes over from a majority of the others,
    /// if it hears one; one region at a time forgets.
    pub fn forget_store(&mut self, region: usize) {
        let voting = |store: &Store| store.record.may_start_tasks();
        let heard: Vec<usize> =
            (0..REGIONS).filter(|other| *other != region && !self.isolated[*other] && !self.isolated[region]).collect();
        let all_vote = self.stores.iter().enumerate().all(|(other, store)| other == region || voting(store));
        if heard.len() < REGIONS / 2 + 1 || !all_vote {
            return;
        }
        let latest = heard.iter().max_by_key(|other| self.stores[**other].record.acceptor.applied).unwrap();
        let state = ConfigState::clone(&self.stores[*latest].record.state);
        let version = state.version;
        self.stores[region].record = RegionRecord::rejoin(state, version);
        self.stores[region].stamp += 1;
        self.restart_controller(region);
    }

    /// The region learns the next versions from others that it hears.
    pub fn catch_up(&mut self, region: usize) {
        while let Some(batch) = self.next_known_elsewhere(region) {
            let version = self.stores[region].record.acceptor.applied + 1;
            let (record, _) = self.stores[region].record.handle(&Request::Learn { version, batch });
            self.write(region, record.unwrap());
            if self.stores[region].record.acceptor.applied < version {
                return;
            }
        }
    }

    fn next_known_elsewhere(&self, region: usize) -> Option<Batch> {
        let applied = self.stores[region].record.acceptor.applied;
        let mut others = (0..REGIONS).filter(|other| !self.isolated[*other] && !self.isolated[region]);
        let known = others.any(|other| self.stores[other].record.acceptor.applied > applied);
        known.then(|| self.log[applied as usize].clone())
    }

    /// The region's leader has applied what the region has applied.
    pub fn apply_version(&mut self, region: usize) {
        self.obeyed[region] = self.stores[region].record.acceptor.applied;
    }

    // ---- messages ----

    fn ask_all(&mut self, from: usize, ballot: &Ballot, request: &Request) {
        for to in 0..REGIONS {
            self.messages.push(Message::Request { from, to, ballot: ballot.clone(), request: request.clone() });
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || (!self.isolated[from] && !self.isolated[to])
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Request { from, to, ballot, request } if self.reaches(from, to) => {
                let (record, reply) = self.stores[to].record.handle(&request);
                let answered = record.is_none_or(|record| self.write(to, record));
                if answered {
                    self.messages.push(Message::Reply { from: to, to: from, ballot, reply });
                }
            }
            Message::Reply { from, to, ballot, reply } if self.reaches(from, to) => {
                self.heard(from, to, &ballot, reply);
            }
            _ => {}
        }
    }

    /// Writes a region's record; true if that is answered.
    fn write(&mut self, region: usize, record: RegionRecord) -> bool {
        let store = &mut self.stores[region];
        match std::mem::replace(&mut store.fate, WriteFate::Answered) {
            WriteFate::Late => {
                self.late_writes.push(LateWrite { region, guard: store.stamp, record });
                false
            }
            fate => {
                store.record = record;
                store.stamp += 1;
                self.note_applied(region);
                fate == WriteFate::Answered
            }
        }
    }

    fn heard(&mut self, from: usize, to: usize, ballot: &Ballot, reply: Reply) {
        let Some(running) = self.running[to].as_mut().filter(|running| running.proposer.ballot() == ballot) else {
            return;
        };
        let version = running.proposer.version();
        let step = match reply {
            Reply::Promised(accepted) => running.proposer.promised(region_name(from), accepted),
            Reply::Accepted => running.proposer.accepted(region_name(from)),
            Reply::Learned => Step::Wait,
            Reply::Rejected { rejection, .. } => return self.rejected(from, to, &rejection),
        };
        match step {
            Step::Wait => {}
            Step::Accept(batch) => {
                let request = Request::Accept { version, ballot: ballot.clone(), batch };
                self.ask_all(to, ballot, &request);
            }
            Step::Decided(batch) => {
                self.note_agreed(version, &batch);
                self.ask_all(to, ballot, &Request::Learn { version, batch });
            }
        }
    }

    fn rejected(&mut self, from: usize, to: usize, rejection: &Rejection) {
        match rejection {
            Rejection::Decided => self.catch_up(to),
            Rejection::Behind => self.catch_up(from),
            Rejection::Outbid(_) | Rejection::NotVoting => {}
        }
    }
}

fn limit_in(state: &ConfigState, team: usize) -> u64 {
    match &state.documents[&DocumentName::Team(team_name(team))].document {
        Document::Team(team) => team.limit.cpus.0,
        Document::Operator(_) => unreachable!("not a team's document"),
    }
}
