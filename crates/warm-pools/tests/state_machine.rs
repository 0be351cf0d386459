//! Random sequences of claims, lost and late commits, failovers and losses, against a reference
//! that keeps one line for each slot: whose it is, and since when.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod common;

use badgerdrift_warm_pools::{
    Claim, EndCause, Moment, PoolEvent, PoolSettings, RecordChanges, RecordKey, SlotId, SlotState, StoredRecord,
    WarmPools,
};
use common::{Store, at, place, settings};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const BOOT_MS: u64 = 30_000;
const TEAMS: [&str; 2] = ["red", "blue"];
/// Slots at a time, as the settings have it.
const POOL_SIZE: usize = 2;

/// What may happen.
#[derive(Debug, Clone)]
enum Transition {
    /// Time passes.
    Wait(u64),
    /// The leader looks, and begins with as many slots as it may.
    Refill,
    /// Workers report what they have.
    Report,
    /// A job of a team, by number, claims any slot.
    Claim(usize),
    /// The next commit, and what becomes of it.
    Commit(Outcome),
    /// The records are read that must be.
    Reread,
    /// A commit without an answer is made now, if any is left.
    LateCommit,
    /// Claims that are not recorded are given up.
    Abandon,
    /// The oldest claimed slot's task ends.
    ClaimEnds,
    /// The machine of the oldest slot is lost.
    MachineLost,
    /// Another leader takes over.
    Failover,
}

#[derive(Debug, Clone, Copy)]
enum Outcome {
    Done,
    Refused,
    MadeWithoutAnswer,
    Lost,
}

/// The reference only counts time: what happens to slots depends on the pools.
#[derive(Debug, Clone, Default)]
struct Clock {
    now_ms: u64,
}

impl ReferenceStateMachine for Clock {
    type State = Clock;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Clock> {
        Just(Clock::default()).boxed()
    }

    fn transitions(_: &Clock) -> BoxedStrategy<Transition> {
        let outcome = prop_oneof![
            5 => Just(Outcome::Done),
            1 => Just(Outcome::Refused),
            1 => Just(Outcome::MadeWithoutAnswer),
            1 => Just(Outcome::Lost)
        ];
        prop_oneof![
            4 => (1u64..400_000).prop_map(Transition::Wait),
            4 => Just(Transition::Refill),
            4 => Just(Transition::Report),
            4 => (0..TEAMS.len()).prop_map(Transition::Claim),
            10 => outcome.prop_map(Transition::Commit),
            4 => Just(Transition::Reread),
            2 => Just(Transition::LateCommit),
            1 => Just(Transition::Abandon),
            2 => Just(Transition::ClaimEnds),
            1 => Just(Transition::MachineLost),
            1 => Just(Transition::Failover)
        ]
        .boxed()
    }

    fn apply(mut state: Clock, transition: &Transition) -> Clock {
        if let Transition::Wait(ms) = transition {
            state.now_ms += ms;
        }
        state
    }
}

/// What the workers have: a slot is there from its recorded creation until its end.
struct System {
    now_ms: u64,
    pools: WarmPools,
    store: Store,
    next_number: u64,
    /// Commits that had no answer and were not made.
    lost: Vec<RecordChanges>,
    /// Tasks that were ordered after their claim was recorded, by slot.
    ordered: BTreeMap<SlotId, Claim>,
}

impl System {
    /// The workers report all recorded slots as ready, but for those that are being unloaded.
    fn report(&mut self, now: Moment) {
        let recorded: Vec<SlotId> = self.pools.slots().filter(|slot| slot.is_recorded()).map(|slot| slot.id).collect();
        for id in recorded {
            if matches!(self.pools.slot(id).unwrap().state, SlotState::Draining(_)) {
                self.pools.mark_missing(id, now);
            } else {
                self.pools.mark_reported(id, true, now);
            }
        }
    }

    /// A task of this team claims the first free slot.
    fn claim_first_free(&mut self, team: usize, now: Moment) {
        let free: Vec<SlotId> = self.pools.slots().filter(|slot| slot.is_claimable()).map(|slot| slot.id).collect();
        if let Some(id) = free.first() {
            let attempt = self.number();
            let claim = Claim { job: format!("run-{attempt}"), task: 0, attempt, team: TEAMS[team].into() };
            assert!(!self.ordered.contains_key(id), "slot {id} was given away before");
            self.pools.claim(*id, "notes", claim, now).unwrap();
        }
    }

    /// Another leader takes over with what is recorded.
    fn fail_over(&mut self, now: Moment) {
        // The records are as they are; commits of the leader before are refused by its guard.
        self.settle();
        self.lost.clear();
        self.pools = WarmPools::new(unbounded_estimates(), now);
        self.pools.restore(self.store.all(), now);
        self.pools.refresh(BOOT_MS, now);
    }

    fn commit(&mut self, outcome: Outcome) {
        let id = self.number();
        let Some(changes) = self.pools.next_changes(id, 12) else { return };
        match outcome {
            Outcome::Refused => self.pools.not_written(),
            Outcome::Lost => {
                self.pools.indeterminate();
                self.lost.push(changes);
            }
            Outcome::MadeWithoutAnswer => {
                self.store.commit(&changes);
                self.pools.indeterminate();
            }
            Outcome::Done => match self.store.commit(&changes) {
                Some(revision) => {
                    let events = self.pools.written(revision);
                    self.follow(events);
                }
                None => self.pools.indeterminate(),
            },
        }
    }

    fn reread(&mut self) {
        let keys = self.pools.keys_to_read();
        if !keys.is_empty() {
            let events = self.pools.reread(self.store.read(&keys));
            self.follow(events);
        }
    }

    fn follow(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            if let PoolEvent::ClaimRecorded(id, claim) = event {
                let before = self.ordered.insert(id, claim.clone());
                assert!(before.is_none(), "slot {id} is ordered for {claim:?} and was for {before:?}");
            }
        }
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn first(&self, holds: impl Fn(&SlotState) -> bool) -> Option<SlotId> {
        self.pools.slots().find(|slot| holds(&slot.state)).map(|slot| slot.id)
    }

    /// Nothing is lost any more, and the commits without an answer are settled.
    fn settle(&mut self) {
        for _ in 0..8 {
            self.reread();
            self.commit(Outcome::Done);
        }
    }

    /// Milliseconds in the bills.
    fn billed_ms(&self) -> u64 {
        let bills = self.store.records.values().filter_map(|(record, _)| match record {
            StoredRecord::Bill(bill) => Some(bill),
            StoredRecord::Slot(_) => None,
        });
        bills.flat_map(|bill| bill.pools.values()).map(|total| total.idle_ms + total.claimed_ms).sum()
    }
}

struct Pools;

/// All that was not observed is charged: the reference knows of no bound for that.
fn unbounded_estimates() -> PoolSettings {
    PoolSettings { estimate_at_most_s: 1e9, ..settings() }
}

/// The system under test with the reference's account of it.
struct Checked {
    system: System,
    /// When each slot began, by its first appearance.
    began_ms: BTreeMap<SlotId, u64>,
    /// Milliseconds of slots that are gone.
    ended_ms: u64,
    /// The leader has looked, and nothing has happened since.
    has_looked: bool,
}

impl Checked {
    /// Slots that are gone are charged until now: each transition ends them at its own time.
    fn account(&mut self) {
        let now_ms = self.system.now_ms;
        let alive: Vec<SlotId> = self
            .system
            .pools
            .slots()
            .filter(|slot| !matches!(slot.state, SlotState::Ended(_)))
            .map(|slot| slot.id)
            .collect();
        for id in &alive {
            self.began_ms.entry(*id).or_insert(now_ms);
        }
        let gone: Vec<SlotId> = self.began_ms.keys().copied().filter(|id| !alive.contains(id)).collect();
        for id in gone {
            let began_ms = self.began_ms.remove(&id).unwrap();
            // One that was never recorded held nothing: nothing was ordered for it.
            if self.system.pools.slot(id).is_some() {
                self.ended_ms += now_ms - began_ms;
            }
        }
    }
}

impl StateMachineTest for Pools {
    type SystemUnderTest = Checked;
    type Reference = Clock;

    fn init_test(_: &Clock) -> Checked {
        let mut pools = WarmPools::new(unbounded_estimates(), at(0));
        pools.refresh(BOOT_MS, at(0));
        let store = Store::default();
        let system = System { now_ms: 0, pools, store, next_number: 0, lost: Vec::new(), ordered: BTreeMap::new() };
        Checked { system, began_ms: BTreeMap::new(), ended_ms: 0, has_looked: true }
    }

    fn apply(mut checked: Checked, clock: &Clock, transition: Transition) -> Checked {
        let system = &mut checked.system;
        system.now_ms = clock.now_ms;
        checked.has_looked = matches!(transition, Transition::Refill);
        let now = at(system.now_ms);
        match transition {
            Transition::Wait(_) => {}
            Transition::Refill => {
                system.pools.refresh(BOOT_MS, now);
                for _ in 0..system.pools.startable_count("counter", 3_600_000, now) {
                    let id = system.number();
                    system.pools.begin(id, "counter", place(&format!("h{id}")), now);
                }
            }
            Transition::Report => system.report(now),
            Transition::Claim(team) => system.claim_first_free(team, now),
            Transition::Commit(outcome) => system.commit(outcome),
            Transition::Reread => system.reread(),
            Transition::LateCommit => {
                if let Some(changes) = system.lost.pop() {
                    system.store.commit(&changes);
                }
            }
            Transition::Abandon => {
                for (id, _) in system.pools.claims_unrecorded_since(now.steady_ms) {
                    system.pools.abandon_claim(id);
                }
            }
            Transition::ClaimEnds => {
                if let Some(id) = system.first(|state| matches!(state, SlotState::Claimed(_))) {
                    system.pools.claim_ended(id, now);
                }
            }
            Transition::MachineLost => {
                let host = system.pools.slots().next().map(|slot| slot.host.clone());
                if let Some(host) = host {
                    system.pools.host_lost(&host, EndCause::MachineLost, now);
                }
            }
            Transition::Failover => system.fail_over(now),
        }
        checked.account();
        checked
    }

    fn check_invariants(checked: &Checked, _: &Clock) {
        let pools = &checked.system.pools;
        let available = pools.slots().filter(|slot| slot.is_available()).count();
        // A claim that is given up brings one more, until the leader looks.
        assert!(!checked.has_looked || available <= POOL_SIZE, "{available} slots of a pool of {POOL_SIZE}");
        for slot in pools.slots() {
            if let (SlotState::Claimed(claim), Some(ordered)) = (&slot.state, checked.system.ordered.get(&slot.id)) {
                assert_eq!(claim, ordered, "slot {} has another claimant than was ordered", slot.id);
            }
        }
    }

    fn teardown(mut checked: Checked, _: Clock) {
        // Once troubles end, bills tell the life of every slot, each moment once.
        let system = &mut checked.system;
        system.now_ms += 400_000;
        let now = at(system.now_ms);
        system.settle();
        system.lost.clear();
        let all: Vec<String> = system.pools.slots().map(|slot| slot.host.clone()).collect();
        all.iter().for_each(|host| system.pools.host_lost(host, EndCause::MachineLost, now));
        checked.account();
        let system = &mut checked.system;
        system.settle();
        system.settle();
        assert_eq!(system.pools.slots().count(), 0, "all are deleted");
        assert!(!system.store.records.keys().any(|key| matches!(key, RecordKey::Slot(_))), "no record is left");
        assert_eq!(system.billed_ms(), checked.ended_ms, "billed and lived");
        // And the pool comes back to its size.
        system.pools.refresh(BOOT_MS, now);
        assert_eq!(system.pools.startable_count("counter", 3_600_000, now), POOL_SIZE);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn slots_have_one_claimant_and_bills_tell_their_lives(sequential 1..60 => Pools);
}
