//! Random sequences of claims, lost and late commits, failovers and machine losses, checked against
//! a reference that records the claimant and the lifetime of each slot.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod common;

use badgerdrift_warm_pools::{
    Claim, ClockReading, EndCause, PoolEvent, PoolSettings, RecordChanges, RecordKey, SlotId, SlotState, StoredRecord,
    WarmPools,
};
use common::{Store, at, place, settings};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;

const BOOT_MS: u64 = 30_000;
const TEAMS: [&str; 2] = ["red", "blue"];
/// Number of replicas of the pool, as in the settings.
const POOL_SIZE: usize = 2;

/// Event that is applied to the pools.
#[derive(Debug, Clone)]
enum Transition {
    /// This many milliseconds pass.
    Wait(u64),
    /// The leader refreshes the pools and starts as many replicas as it may.
    Refill,
    /// The workers report their slots.
    Report,
    /// A task of a team, given by its index, claims the first free slot.
    Claim(usize),
    /// The next commit is sent, with this outcome.
    Commit(Outcome),
    /// The records that have to be read are read.
    Reread,
    /// The latest lost commit is carried out now, if there is one.
    LateCommit,
    /// All unrecorded claims are abandoned.
    Abandon,
    /// The task of the oldest claimed slot ends.
    ClaimEnds,
    /// The machine of the oldest slot is lost.
    MachineLost,
    /// Another leader takes over.
    Failover,
}

/// Outcome of a commit.
#[derive(Debug, Clone, Copy)]
enum Outcome {
    Done,
    Refused,
    /// Carried out, and without an answer.
    MadeWithoutAnswer,
    /// Not carried out, and without an answer.
    Lost,
}

/// Reference state. It only counts time, as the effect of other events depends on the pools.
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

/// Pools under test with their store and workers. The workers have a slot from the time at which it
/// is recorded until its end.
struct System {
    now_ms: u64,
    pools: WarmPools,
    store: Store,
    next_number: u64,
    /// Commits that had no answer and were not carried out.
    lost_commits: Vec<RecordChanges>,
    /// Claims whose tasks were ordered, which is after the claim was recorded, by slot.
    ordered: BTreeMap<SlotId, Claim>,
}

impl System {
    /// Reports all recorded slots as warm, except draining ones, which are reported as missing.
    fn report(&mut self, now: ClockReading) {
        let recorded: Vec<SlotId> = self.pools.slots().filter(|slot| slot.is_recorded()).map(|slot| slot.id).collect();
        for id in recorded {
            if matches!(self.pools.slot(id).unwrap().state, SlotState::Draining(_)) {
                self.pools.handle_missing_report(id, now);
            } else {
                self.pools.mark_reported(id, true, now);
            }
        }
    }

    /// Claims the first free slot for a task of this team.
    fn claim_first_free(&mut self, team: usize, now: ClockReading) {
        let free: Vec<SlotId> = self.pools.slots().filter(|slot| slot.is_claimable()).map(|slot| slot.id).collect();
        if let Some(id) = free.first() {
            let attempt = self.next_id();
            let claim = Claim { job: format!("run-{attempt}"), task: 0, attempt, team: TEAMS[team].into() };
            assert!(!self.ordered.contains_key(id), "slot {id} was ordered for another task before");
            self.pools.claim(*id, "notes", claim, now).unwrap();
        }
    }

    /// Replaces the leader by one that restores the pools from the records.
    fn fail_over(&mut self, now: ClockReading) {
        // Late commits of the previous leader are refused by its guard from now on.
        self.settle();
        self.lost_commits.clear();
        self.pools = WarmPools::new(unbounded_estimates(), now);
        self.pools.restore(self.store.all(), now);
        self.pools.refresh(BOOT_MS, now);
    }

    fn commit(&mut self, outcome: Outcome) {
        let id = self.next_id();
        let Some(changes) = self.pools.next_changes(id, 12) else { return };
        match outcome {
            Outcome::Refused => self.pools.not_written(),
            Outcome::Lost => {
                self.pools.indeterminate();
                self.lost_commits.push(changes);
            }
            Outcome::MadeWithoutAnswer => {
                self.store.commit(&changes);
                self.pools.indeterminate();
            }
            Outcome::Done => match self.store.commit(&changes) {
                Some(revision) => {
                    let events = self.pools.written(revision);
                    self.apply_events(events);
                }
                None => self.pools.indeterminate(),
            },
        }
    }

    fn reread(&mut self) {
        let keys = self.pools.keys_to_read();
        if !keys.is_empty() {
            let events = self.pools.reread(self.store.read(&keys));
            self.apply_events(events);
        }
    }

    /// Records the tasks that are ordered because of these events.
    fn apply_events(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            if let PoolEvent::ClaimRecorded(id, claim) = event {
                let before = self.ordered.insert(id, claim.clone());
                assert!(before.is_none(), "slot {id} is ordered for {claim:?} after it was ordered for {before:?}");
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn first_slot(&self, matches_state: impl Fn(&SlotState) -> bool) -> Option<SlotId> {
        self.pools.slots().find(|slot| matches_state(&slot.state)).map(|slot| slot.id)
    }

    /// Reads and commits without further faults until all open commits are resolved.
    fn settle(&mut self) {
        for _ in 0..8 {
            self.reread();
            self.commit(Outcome::Done);
        }
    }

    /// Returns the total time in all bills, in milliseconds.
    fn billed_ms(&self) -> u64 {
        let bills = self.store.records.values().filter_map(|(record, _)| match record {
            StoredRecord::Bill(bill) => Some(bill),
            StoredRecord::Slot(_) => None,
        });
        bills.flat_map(|bill| bill.pools.values()).map(|total| total.idle_ms + total.claimed_ms).sum()
    }
}

struct PoolsTest;

/// Returns settings under which all unobserved time is charged, since the reference does not model
/// the limit on estimated charges.
fn unbounded_estimates() -> PoolSettings {
    PoolSettings { estimate_at_most_s: 1e9, ..settings() }
}

/// System under test with the lifetimes of its slots, as the reference determines them.
struct CheckedSystem {
    system: System,
    /// Time at which each current slot first appeared, in milliseconds.
    started_ms: BTreeMap<SlotId, u64>,
    /// Total lifetime of ended slots, in milliseconds.
    ended_total_ms: u64,
    /// Whether the last event was a refresh of the pools.
    just_refreshed: bool,
}

impl CheckedSystem {
    /// Updates the lifetimes after an event. A slot that is gone ended now, at the time of the event.
    fn update_lifetimes(&mut self) {
        let now_ms = self.system.now_ms;
        let alive: Vec<SlotId> = self
            .system
            .pools
            .slots()
            .filter(|slot| !matches!(slot.state, SlotState::Ended(_)))
            .map(|slot| slot.id)
            .collect();
        for id in &alive {
            self.started_ms.entry(*id).or_insert(now_ms);
        }
        let gone: Vec<SlotId> = self.started_ms.keys().copied().filter(|id| !alive.contains(id)).collect();
        for id in gone {
            let started_ms = self.started_ms.remove(&id).unwrap();
            // A slot that was never recorded is not billed: nothing was ordered for it.
            if self.system.pools.slot(id).is_some() {
                self.ended_total_ms += now_ms - started_ms;
            }
        }
    }
}

impl StateMachineTest for PoolsTest {
    type SystemUnderTest = CheckedSystem;
    type Reference = Clock;

    fn init_test(_: &Clock) -> CheckedSystem {
        let mut pools = WarmPools::new(unbounded_estimates(), at(0));
        pools.refresh(BOOT_MS, at(0));
        let store = Store::default();
        let system =
            System { now_ms: 0, pools, store, next_number: 0, lost_commits: Vec::new(), ordered: BTreeMap::new() };
        CheckedSystem { system, started_ms: BTreeMap::new(), ended_total_ms: 0, just_refreshed: true }
    }

    fn apply(mut checked: CheckedSystem, clock: &Clock, transition: Transition) -> CheckedSystem {
        let system = &mut checked.system;
        system.now_ms = clock.now_ms;
        checked.just_refreshed = matches!(transition, Transition::Refill);
        let now = at(system.now_ms);
        match transition {
            Transition::Wait(_) => {}
            Transition::Refill => {
                system.pools.refresh(BOOT_MS, now);
                for _ in 0..system.pools.startable_count("counter", 3_600_000, now) {
                    let id = system.next_id();
                    system.pools.create_slot(id, "counter", place(&format!("h{id}")), now);
                }
            }
            Transition::Report => system.report(now),
            Transition::Claim(team) => system.claim_first_free(team, now),
            Transition::Commit(outcome) => system.commit(outcome),
            Transition::Reread => system.reread(),
            Transition::LateCommit => {
                if let Some(changes) = system.lost_commits.pop() {
                    system.store.commit(&changes);
                }
            }
            Transition::Abandon => {
                for (id, _) in system.pools.claims_unrecorded_since(now.steady_ms) {
                    system.pools.abandon_claim(id);
                }
            }
            Transition::ClaimEnds => {
                if let Some(id) = system.first_slot(|state| matches!(state, SlotState::Claimed(_))) {
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
        checked.update_lifetimes();
        checked
    }

    fn check_invariants(checked: &CheckedSystem, _: &Clock) {
        let pools = &checked.system.pools;
        let available = pools.slots().filter(|slot| slot.is_available()).count();
        // An abandoned claim may free one slot more than wanted until the next refresh.
        assert!(!checked.just_refreshed || available <= POOL_SIZE, "{available} slots of a pool of {POOL_SIZE}");
        for slot in pools.slots() {
            if let (SlotState::Claimed(claim), Some(ordered)) = (&slot.state, checked.system.ordered.get(&slot.id)) {
                assert_eq!(claim, ordered, "slot {} has a claim that differs from the ordered one", slot.id);
            }
        }
    }

    fn teardown(mut checked: CheckedSystem, _: Clock) {
        // Without further faults, the bills cover the lifetime of every slot exactly once.
        let system = &mut checked.system;
        system.now_ms += 400_000;
        let now = at(system.now_ms);
        system.settle();
        system.lost_commits.clear();
        let all: Vec<String> = system.pools.slots().map(|slot| slot.host.clone()).collect();
        all.iter().for_each(|host| system.pools.host_lost(host, EndCause::MachineLost, now));
        checked.update_lifetimes();
        let system = &mut checked.system;
        system.settle();
        system.settle();
        assert_eq!(system.pools.slots().count(), 0, "all slots are removed");
        assert!(!system.store.records.keys().any(|key| matches!(key, RecordKey::Slot(_))), "no slot record is left");
        assert_eq!(system.billed_ms(), checked.ended_total_ms, "billed time and total lifetime of the slots");
        // The pool is refilled to its size.
        system.pools.refresh(BOOT_MS, now);
        assert_eq!(system.pools.startable_count("counter", 3_600_000, now), POOL_SIZE);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn slots_have_one_claimant_and_bills_cover_their_lifetimes(sequential 1..60 => PoolsTest);
}
