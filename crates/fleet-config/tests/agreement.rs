//! Model-based tests: five regions agree on changes and divide limits, while messages are lost,
//! late, repeated and reordered, regions are cut off, controllers restart without memory, a state
//! service forgets, and writes without an answer are carried out late. `PROPTEST_CASES` raises the
//! number of cases.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod fleet;

use badgerdrift_fleet_config::{
    Acceptor, Amount, Amounts, Ballot, Batch, Change, ChangeId, ConfigState, Document, DocumentName, Entry, ProposerId,
    ReadVersion, Rejection, Share, TeamDocument,
};
use fleet::{Fleet, REGIONS, TEAMS, WriteFate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// What happens next; numbers choose among what there is.
#[derive(Debug, Clone)]
pub enum Transition {
    /// A region changes a team's limit and its division.
    Change {
        region: usize,
        team: usize,
        limit: u64,
        weights: [u64; REGIONS],
    },
    Confirm {
        region: usize,
    },
    Retry {
        region: usize,
    },
    Deliver {
        message: usize,
    },
    DeliverSeveral {
        count: usize,
    },
    Lose {
        message: usize,
    },
    Repeat {
        message: usize,
    },
    Isolate {
        isolated: [bool; REGIONS],
    },
    RestartController {
        region: usize,
    },
    ForgetStore {
        region: usize,
    },
    SetWriteFate {
        region: usize,
        fate: WriteFate,
    },
    CarryOutLateWrite {
        write: usize,
    },
    CatchUp {
        region: usize,
    },
    Obey {
        region: usize,
    },
}

pub struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let region = 0..REGIONS;
        let number = 0usize..1000;
        let fate = prop_oneof![Just(WriteFate::Answered), Just(WriteFate::AnswerLost), Just(WriteFate::Late)];
        prop_oneof![
            4 => (region.clone(), 0..TEAMS, 0u64..60, any::<[u8; REGIONS]>()).prop_map(|(region, team, limit, weights)| {
                Transition::Change { region, team, limit, weights: weights.map(u64::from) }
            }),
            3 => region.clone().prop_map(|region| Transition::Confirm { region }),
            2 => region.clone().prop_map(|region| Transition::Retry { region }),
            8 => number.clone().prop_map(|message| Transition::Deliver { message }),
            10 => (1usize..30).prop_map(|count| Transition::DeliverSeveral { count }),
            1 => number.clone().prop_map(|message| Transition::Lose { message }),
            1 => number.clone().prop_map(|message| Transition::Repeat { message }),
            1 => any::<[bool; REGIONS]>().prop_map(|isolated| Transition::Isolate { isolated }),
            1 => Just(Transition::Isolate { isolated: [false; REGIONS] }),
            1 => region.clone().prop_map(|region| Transition::RestartController { region }),
            1 => region.clone().prop_map(|region| Transition::ForgetStore { region }),
            1 => (region.clone(), fate).prop_map(|(region, fate)| Transition::SetWriteFate { region, fate }),
            1 => number.prop_map(|write| Transition::CarryOutLateWrite { write }),
            4 => region.clone().prop_map(|region| Transition::CatchUp { region }),
            4 => region.prop_map(|region| Transition::Obey { region }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Change { region, team, limit, weights } => fleet.change(region, team, limit, weights),
            Transition::Confirm { region } => fleet.confirm(region),
            Transition::Retry { region } => fleet.retry(region),
            Transition::Deliver { message } => fleet.deliver(message),
            Transition::DeliverSeveral { count } => (0..count).for_each(|_| fleet.deliver(0)),
            Transition::Lose { message } => fleet.lose(message),
            Transition::Repeat { message } => fleet.repeat(message),
            Transition::Isolate { isolated } => fleet.isolated = isolated,
            Transition::RestartController { region } => fleet.restart_controller(region),
            Transition::ForgetStore { region } => fleet.forget_store(region),
            Transition::SetWriteFate { region, fate } => fleet.set_write_fate(region, fate),
            Transition::CarryOutLateWrite { write } => fleet.carry_out_late_write(write),
            Transition::CatchUp { region } => fleet.catch_up(region),
            Transition::Obey { region } => fleet.apply_version(region),
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        fleet.check_limits();
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.settle();
    }
}

/// Cases in a run without `PROPTEST_CASES`.
const CASES: u32 = 300;

prop_state_machine! {
    #![proptest_config(Config {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(22),
        max_shrink_iters: 2000,
        ..Config::default()
    })]

    #[test]
    fn one_history_no_limit_exceeded_and_progress_with_a_majority(sequential 1..180 => Fleet);
}

#[test]
fn of_two_concurrent_changes_of_one_team_one_is_refused_as_a_conflict() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 30, [1; REGIONS]);
    fleet.change(1, 0, 20, [1; REGIONS]);
    fleet.run();
    fleet.retry(0);
    fleet.retry(1);
    fleet.run();
    let outcomes = fleet.outcomes();
    assert_eq!(outcomes.taken, 1, "{outcomes:?}");
    assert_eq!(outcomes.conflicts, 1, "{outcomes:?}");
}

#[test]
fn what_a_dead_proposer_had_accepted_by_two_of_five_is_finished_by_the_next() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_until_accepted_by(2);
    fleet.restart_controller(0);
    fleet.lose_all_messages();
    // The next proposer hears one of the two.
    fleet.isolated = [true, false, false, false, false];
    fleet.change(2, 1, 10, [1; REGIONS]);
    fleet.run();
    fleet.retry(2);
    fleet.run();
    assert_eq!(fleet.agreed_limits(0), Some(30), "finished");
    assert_eq!(fleet.agreed_limits(1), Some(10), "and the own change came after it");
}

#[test]
fn a_write_that_is_carried_out_late_after_a_newer_version_changes_nothing() {
    let mut fleet = Fleet::new();
    fleet.set_write_fate(4, WriteFate::Late);
    fleet.change(0, 0, 30, [1; REGIONS]);
    fleet.run();
    fleet.change(0, 0, 20, [1; REGIONS]);
    fleet.run();
    fleet.catch_up(4);
    fleet.carry_out_late_write(0);
    assert_eq!(fleet.agreed_limits(0), Some(20));
    fleet.settle();
}

#[test]
fn a_region_that_has_forgotten_its_votes_does_not_vote_on_them_again() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 30, [1; REGIONS]);
    fleet.run();
    fleet.change(0, 0, 20, [1; REGIONS]);
    // Regions 0, 1 and 2 accept; 3 and 4 hear nothing.
    fleet.isolated = [false, false, false, true, true];
    fleet.deliver_until_accepted_by(3);
    fleet.lose_all_messages();
    fleet.restart_controller(0);
    fleet.isolated = [false; REGIONS];
    fleet.forget_store(2);
    // 2, 3 and 4 alone know nothing of what was agreed on.
    fleet.isolated = [true, true, false, false, false];
    fleet.change(3, 1, 10, [1; REGIONS]);
    fleet.run();
    assert_eq!(fleet.agreed_versions(), 1, "two of them are no majority");
    fleet.settle();
    assert_eq!(fleet.agreed_limits(0), Some(20));
}

#[test]
fn a_region_grows_only_after_the_one_that_gives_has_confirmed() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 50, [1, 0, 0, 0, 0]);
    fleet.run();
    fleet.settle_confirmations();
    assert_eq!(fleet.limit_of(0, 0), 50);
    fleet.change(1, 0, 50, [0, 1, 0, 0, 0]);
    fleet.run();
    // The cut begins between shrinking and growing.
    fleet.isolated = [true, false, false, false, false];
    (1..REGIONS).for_each(|region| fleet.apply_version(region));
    assert_eq!(fleet.limit_of(1, 0), 0, "region 0 has not confirmed");
    fleet.apply_version(0);
    assert_eq!(fleet.limit_of(0, 0), 0, "it obeys its own part at once");
    fleet.confirm(0);
    fleet.run();
    assert_eq!(fleet.limit_of(1, 0), 0, "nobody heard the confirmation");
    fleet.isolated = [false; REGIONS];
    fleet.settle_confirmations();
    assert_eq!(fleet.limit_of(1, 0), 50);
}

#[test]
fn a_lowered_limit_binds_at_once_and_a_cut_off_region_stays_counted() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 50, [1; REGIONS]);
    fleet.run();
    fleet.settle_confirmations();
    fleet.isolated = [false, false, false, false, true];
    fleet.change(0, 0, 25, [1, 1, 1, 1, 0]);
    fleet.run();
    (0..REGIONS - 1).for_each(|region| fleet.apply_version(region));
    // Region 4 keeps its 10 of 50 and is counted with them.
    assert_eq!(fleet.limit_of(4, 0), 10);
    let others: u64 = (0..REGIONS - 1).map(|region| fleet.limit_of(region, 0)).sum();
    assert!(others + 10 <= 50, "{others}");
    assert!((0..REGIONS - 1).all(|region| fleet.limit_of(region, 0) <= 6));
}

#[test]
fn asking_again_never_applies_a_change_twice() {
    let mut fleet = Fleet::new();
    fleet.change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_until_accepted_by(3);
    // The proposer does not learn that it was agreed on, and proposes it again.
    fleet.lose_all_messages();
    fleet.retry(0);
    fleet.run();
    fleet.propose_last_change_again(1);
    fleet.run();
    assert_eq!(fleet.outcomes().taken, 1);
}

#[test]
fn two_hundred_changes_in_a_row_stay_in_order() {
    let mut fleet = Fleet::new();
    for number in 0..200 {
        fleet.change(number % REGIONS, number % TEAMS, number as u64 % 50, [1; REGIONS]);
        fleet.run();
    }
    assert_eq!(fleet.outcomes().taken, 200);
    fleet.settle();
}

// A vote on a later version would be forgotten as the version before it is applied.
#[test]
fn a_region_that_lacks_a_version_votes_on_none_after_it() {
    let ballot = Ballot { round: 1, proposer: ProposerId { node: "a".into(), incarnation: 1 } };
    let fresh = Acceptor::default();
    assert_eq!(fresh.prepare(2, &ballot), Err(Rejection::Behind));
    assert_eq!(fresh.accept(2, &ballot, &Batch::default()), Err(Rejection::Behind));
    assert!(fresh.prepare(1, &ballot).is_ok());
    assert_eq!(fresh.advanced().prepare(1, &ballot), Err(Rejection::Decided));
}

// What the fleet has no limit for is divided among nobody; a limit that is set binds at once.
#[test]
fn a_limit_that_is_set_where_there_was_none_binds_each_region_at_once() {
    let names = ["a", "b"].map(String::from);
    let team = |limit: Amount, share: Amount| {
        let amounts = |cpus: Amount| Amounts { cpus, gpus: Amount::UNLIMITED };
        let share = Share { guarantee: Amounts::default(), limit: amounts(share) };
        Document::Team(TeamDocument {
            name: "t".into(),
            removed: false,
            guarantee: Amounts::default(),
            limit: amounts(limit),
            shares: names.iter().map(|name| (name.clone(), share)).collect(),
        })
    };
    let mut state = ConfigState::initial(names.to_vec(), vec![team(Amount::UNLIMITED, Amount::UNLIMITED)]);
    assert_eq!(state.allowance("t", "a").unwrap().limit.cpus, Amount::UNLIMITED);
    let change = Change {
        id: ChangeId("1".into()),
        author: String::new(),
        reason: String::new(),
        at_ms: 0,
        reads: vec![ReadVersion { document: DocumentName::Team("t".into()), version: 0 }],
        writes: vec![team(Amount(20), Amount(10))],
    };
    state.apply(&Batch { entries: vec![Entry::Change(change)] });
    assert_eq!(state.allowance("t", "a").unwrap().limit.cpus, Amount(10));
    assert!(state.waits_for("a"), "until it confirms it may use any amount");
}
