//! Model-based tests: five regions agree on changes and divide limits, while messages are lost,
//! delayed, duplicated and reordered, regions are isolated, controllers restart without memory, a state
//! service loses its data, and writes without an answer are applied late. The variable `PROPTEST_CASES`
//! sets the number of cases.

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

/// A step of a sequence. Numbers of messages and writes are taken modulo the number of those present.
#[derive(Debug, Clone)]
pub enum Transition {
    /// A region proposes a new limit of a team and a division by weights.
    Change { region: usize, team: usize, limit: u64, weights: [u64; REGIONS] },
    /// A region proposes the confirmation of the version that its leader has applied.
    Confirm { region: usize },
    /// A region tries its last proposal again with a larger ballot.
    Retry { region: usize },
    /// A message is delivered.
    Deliver { message: usize },
    /// Messages are delivered in order.
    DeliverSeveral { count: usize },
    /// A message is lost.
    DropMessage { message: usize },
    /// A message is sent a second time.
    DuplicateMessage { message: usize },
    /// These regions, and only these, are isolated from all others.
    Isolate { isolated: [bool; REGIONS] },
    /// A region's controller restarts without its memory.
    RestartController { region: usize },
    /// A region's state service loses its data.
    LoseStore { region: usize },
    /// The next write to a region's state service has this outcome.
    SetWriteFate { region: usize, fate: WriteFate },
    /// A delayed write is applied, if its condition still holds.
    ApplyDelayedWrite { write: usize },
    /// A region learns the versions that others have applied.
    CatchUp { region: usize },
    /// A region's leader applies the version that the region has applied.
    ApplyVersion { region: usize },
}

/// Reference without state: every step is possible at any time.
pub struct AnySequence;

impl ReferenceStateMachine for AnySequence {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let region = 0..REGIONS;
        let number = 0usize..1000;
        let fate =
            prop_oneof![Just(WriteFate::Answered), Just(WriteFate::AppliedWithoutAnswer), Just(WriteFate::Delayed)];
        prop_oneof![
            4 => (region.clone(), 0..TEAMS, 0u64..60, any::<[u8; REGIONS]>()).prop_map(|(region, team, limit, weights)| {
                Transition::Change { region, team, limit, weights: weights.map(u64::from) }
            }),
            3 => region.clone().prop_map(|region| Transition::Confirm { region }),
            2 => region.clone().prop_map(|region| Transition::Retry { region }),
            8 => number.clone().prop_map(|message| Transition::Deliver { message }),
            10 => (1usize..30).prop_map(|count| Transition::DeliverSeveral { count }),
            1 => number.clone().prop_map(|message| Transition::DropMessage { message }),
            1 => number.clone().prop_map(|message| Transition::DuplicateMessage { message }),
            1 => any::<[bool; REGIONS]>().prop_map(|isolated| Transition::Isolate { isolated }),
            1 => Just(Transition::Isolate { isolated: [false; REGIONS] }),
            1 => region.clone().prop_map(|region| Transition::RestartController { region }),
            1 => region.clone().prop_map(|region| Transition::LoseStore { region }),
            1 => (region.clone(), fate).prop_map(|(region, fate)| Transition::SetWriteFate { region, fate }),
            1 => number.prop_map(|write| Transition::ApplyDelayedWrite { write }),
            4 => region.clone().prop_map(|region| Transition::CatchUp { region }),
            4 => region.prop_map(|region| Transition::ApplyVersion { region }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = AnySequence;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Change { region, team, limit, weights } => fleet.propose_change(region, team, limit, weights),
            Transition::Confirm { region } => fleet.propose_confirmation(region),
            Transition::Retry { region } => fleet.retry(region),
            Transition::Deliver { message } => fleet.deliver(message),
            Transition::DeliverSeveral { count } => (0..count).for_each(|_| fleet.deliver(0)),
            Transition::DropMessage { message } => fleet.drop_message(message),
            Transition::DuplicateMessage { message } => fleet.duplicate_message(message),
            Transition::Isolate { isolated } => fleet.isolated = isolated,
            Transition::RestartController { region } => fleet.restart_controller(region),
            Transition::LoseStore { region } => fleet.lose_store(region),
            Transition::SetWriteFate { region, fate } => fleet.set_write_fate(region, fate),
            Transition::ApplyDelayedWrite { write } => fleet.apply_delayed_write(write),
            Transition::CatchUp { region } => fleet.catch_up(region),
            Transition::ApplyVersion { region } => fleet.apply_version(region),
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        fleet.check_limits();
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.recover_and_check();
    }
}

/// Number of cases in a run without `PROPTEST_CASES`.
const DEFAULT_CASES: u32 = 300;

prop_state_machine! {
    #![proptest_config(Config {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(22),
        max_shrink_iters: 2000,
        ..Config::default()
    })]

    #[test]
    fn regions_agree_on_one_history_keep_limits_and_progress_with_a_majority(sequential 1..180 => Fleet);
}

// Both changes read the same version. If both were applied, the second would overwrite the first unseen.
#[test]
fn second_of_two_concurrent_changes_of_a_team_is_a_conflict() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 30, [1; REGIONS]);
    fleet.propose_change(1, 0, 20, [1; REGIONS]);
    fleet.deliver_all();
    fleet.retry(0);
    fleet.retry(1);
    fleet.deliver_all();
    let outcomes = fleet.outcomes();
    assert_eq!(outcomes.taken, 1, "{outcomes:?}");
    assert_eq!(outcomes.conflicts, 1, "{outcomes:?}");
}

// A third region may have accepted the batch as well, so it may be agreed on. Another batch for the same
// version would split the history.
#[test]
fn batch_accepted_by_two_of_five_is_completed_by_the_next_proposer() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_until_accepted_by(2);
    fleet.restart_controller(0);
    fleet.drop_all_messages();
    // The next proposer reaches one of the two regions.
    fleet.isolated = [true, false, false, false, false];
    fleet.propose_change(2, 1, 10, [1; REGIONS]);
    fleet.deliver_all();
    fleet.retry(2);
    fleet.deliver_all();
    assert_eq!(fleet.agreed_limit(0), Some(30), "the batch of the stopped proposer is agreed on");
    assert_eq!(fleet.agreed_limit(1), Some(10), "the change of the next proposer follows it");
}

// Without its condition the write would replace the record of a newer version by an older one.
#[test]
fn delayed_write_after_a_newer_version_has_no_effect() {
    let mut fleet = Fleet::new();
    fleet.set_write_fate(4, WriteFate::Delayed);
    fleet.propose_change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_all();
    fleet.propose_change(0, 0, 20, [1; REGIONS]);
    fleet.deliver_all();
    fleet.catch_up(4);
    fleet.apply_delayed_write(0);
    assert_eq!(fleet.agreed_limit(0), Some(20));
    fleet.recover_and_check();
}

// A region that has lost its vote could form a second majority for another batch of the same version.
#[test]
fn region_with_a_lost_store_does_not_vote_again_on_earlier_versions() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_all();
    fleet.propose_change(0, 0, 20, [1; REGIONS]);
    // Regions 0, 1 and 2 accept the batch; 3 and 4 receive nothing.
    fleet.isolated = [false, false, false, true, true];
    fleet.deliver_until_accepted_by(3);
    fleet.drop_all_messages();
    fleet.restart_controller(0);
    fleet.isolated = [false; REGIONS];
    fleet.lose_store(2);
    // Regions 2, 3 and 4 together know nothing of the batch that was agreed on.
    fleet.isolated = [true, true, false, false, false];
    fleet.propose_change(3, 1, 10, [1; REGIONS]);
    fleet.deliver_all();
    assert_eq!(fleet.agreed_versions(), 1, "two voting regions are no majority");
    fleet.recover_and_check();
    assert_eq!(fleet.agreed_limit(0), Some(20));
}

// If the growing region used its new share at once, both regions together could exceed the limit.
#[test]
fn share_grows_only_after_the_shrinking_region_has_confirmed() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 50, [1, 0, 0, 0, 0]);
    fleet.deliver_all();
    fleet.confirm_everywhere();
    assert_eq!(fleet.effective_limit(0, 0), 50);
    fleet.propose_change(1, 0, 50, [0, 1, 0, 0, 0]);
    fleet.deliver_all();
    // Region 0 is isolated after the change is agreed on and before it has confirmed.
    fleet.isolated = [true, false, false, false, false];
    (1..REGIONS).for_each(|region| fleet.apply_version(region));
    assert_eq!(fleet.effective_limit(1, 0), 0, "region 0 has not confirmed");
    fleet.apply_version(0);
    assert_eq!(fleet.effective_limit(0, 0), 0, "region 0 applies its smaller share at once");
    fleet.propose_confirmation(0);
    fleet.deliver_all();
    assert_eq!(fleet.effective_limit(1, 0), 0, "the confirmation reached no other region");
    fleet.isolated = [false; REGIONS];
    fleet.confirm_everywhere();
    assert_eq!(fleet.effective_limit(1, 0), 50);
}

// An isolated region keeps using its old share, so the others must not divide that part among themselves.
#[test]
fn lowered_limit_applies_at_once_and_an_isolated_region_keeps_its_reservation() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 50, [1; REGIONS]);
    fleet.deliver_all();
    fleet.confirm_everywhere();
    fleet.isolated = [false, false, false, false, true];
    fleet.propose_change(0, 0, 25, [1, 1, 1, 1, 0]);
    fleet.deliver_all();
    (0..REGIONS - 1).for_each(|region| fleet.apply_version(region));
    // Region 4 keeps its 10 of 50, which stay reserved for it.
    assert_eq!(fleet.effective_limit(4, 0), 10);
    let others: u64 = (0..REGIONS - 1).map(|region| fleet.effective_limit(region, 0)).sum();
    assert!(others + 10 <= 50, "{others}");
    assert!((0..REGIONS - 1).all(|region| fleet.effective_limit(region, 0) <= 6));
}

// A proposer that gets no answer proposes the change again, although it may be agreed on already.
#[test]
fn repeated_proposal_of_a_change_is_applied_once() {
    let mut fleet = Fleet::new();
    fleet.propose_change(0, 0, 30, [1; REGIONS]);
    fleet.deliver_until_accepted_by(3);
    // The proposer does not learn that the change was agreed on and proposes it again.
    fleet.drop_all_messages();
    fleet.retry(0);
    fleet.deliver_all();
    fleet.propose_last_change_again(1);
    fleet.deliver_all();
    assert_eq!(fleet.outcomes().taken, 1);
}

// A version that is skipped or applied twice would lose a change.
#[test]
fn two_hundred_successive_changes_are_all_applied() {
    let mut fleet = Fleet::new();
    for number in 0..200 {
        fleet.propose_change(number % REGIONS, number % TEAMS, number as u64 % 50, [1; REGIONS]);
        fleet.deliver_all();
    }
    assert_eq!(fleet.outcomes().taken, 200);
    fleet.recover_and_check();
}

// A vote on a later version would be lost when the version before it is applied.
#[test]
fn region_that_lacks_a_version_rejects_votes_on_later_ones() {
    let ballot = Ballot { round: 1, proposer: ProposerId { node: "a".into(), incarnation: 1 } };
    let fresh = Acceptor::default();
    assert_eq!(fresh.prepare(2, &ballot), Err(Rejection::Behind));
    assert_eq!(fresh.accept(2, &ballot, &Batch::default()), Err(Rejection::Behind));
    assert!(fresh.prepare(1, &ballot).is_ok());
    assert_eq!(fresh.advanced().prepare(1, &ballot), Err(Rejection::Decided));
}

// An unlimited team has no shares to divide. A region that kept the old, unlimited share after the change
// would exceed the new limit.
#[test]
fn limit_set_on_an_unlimited_team_applies_to_each_region_at_once() {
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
    assert!(state.has_unconfirmed_reduction("a"), "an unlimited amount stays reserved until the region confirms");
}
