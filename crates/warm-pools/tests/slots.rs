//! Slots, claims, bills and model names, one case at a time.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod common;

use badgerdrift_warm_pools::{
    Claim, ClaimError, ClockReading, EndCause, HoldKind, Model, PoolEvent, RecordKey, SlotId, SlotState, StoredRecord,
    WarmPools,
};
use common::{MIDNIGHT_MS, Store, at, place, pool, record_all, settings, warm_slot};

const HOUR_MS: u64 = 3_600_000;
const BOOT_MS: u64 = 30_000;

fn claim(team: &str, attempt: u64) -> Claim {
    Claim { job: format!("run-{attempt:06}"), task: 0, attempt, team: team.into() }
}

/// Returns pools with this many warm, recorded slots numbered from 1, with their store and the last
/// commit id.
fn warm_pools(count: u64) -> (WarmPools, Store, u64) {
    let (mut pools, mut store, mut write) = (WarmPools::new(settings(), at(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, at(0));
    (1..=count).for_each(|id| warm_slot(&mut pools, &mut store, &mut write, id, at(0)));
    (pools, store, write)
}

fn state(pools: &WarmPools, id: SlotId) -> SlotState {
    pools.slot(id).map_or(SlotState::Ended(EndCause::NotReported), |slot| slot.state.clone())
}

/// Returns the milliseconds charged to a team in the store: idle, claimed, and the estimated part of
/// both.
fn charged(store: &Store, team: &str) -> (u64, u64, u64) {
    let bills = store.records.iter().filter_map(|(key, (record, _))| match (key, record) {
        (RecordKey::Bill(_, payer), StoredRecord::Bill(bill)) if payer == team => Some(bill),
        _ => None,
    });
    bills
        .flat_map(|bill| bill.pools.values())
        .fold((0, 0, 0), |sum, total| (sum.0 + total.idle_ms, sum.1 + total.claimed_ms, sum.2 + total.estimated_ms))
}

#[test]
fn claimed_slot_refuses_a_second_claim_before_and_after_its_record() {
    let (mut pools, mut store, mut write) = warm_pools(1);
    assert_eq!(pools.claim(1, "notes", claim("blue", 7), at(1000)), Ok(()));
    assert_eq!(pools.claim(1, "notes", claim("red", 8), at(1000)), Err(ClaimError::NotFree));
    assert!(matches!(state(&pools, 1), SlotState::Claiming(_)), "not recorded yet");
    let events = record_all(&mut pools, &mut store, &mut write);
    assert_eq!(events, [PoolEvent::ClaimRecorded(1, claim("blue", 7))]);
    assert_eq!(pools.claim(1, "notes", claim("red", 8), at(1000)), Err(ClaimError::NotFree));
}

#[test]
fn unrecorded_slot_cannot_be_claimed() {
    let mut pools = WarmPools::new(settings(), at(0));
    pools.refresh(BOOT_MS, at(0));
    pools.create_slot(1, "counter", place("h1"), at(0));
    pools.mark_reported(1, true, at(0));
    assert_eq!(pools.claim(1, "notes", claim("red", 7), at(0)), Err(ClaimError::NotFree));
}

// A commit without an answer may be carried out at once, late or never. The claim must be recorded
// exactly once in each case, so that its task is ordered once.
#[test]
fn claim_is_recorded_once_when_its_commit_has_no_answer() {
    for (made_at_once, made_late) in [(true, false), (false, false), (false, true)] {
        let (mut pools, mut store, mut write) = warm_pools(1);
        pools.claim(1, "notes", claim("blue", 7), at(1000)).unwrap();
        let changes = pools.next_changes(50, 12).unwrap();
        if made_at_once {
            store.commit(&changes).unwrap();
        }
        pools.indeterminate();
        assert_eq!(pools.next_changes(51, 12), None, "the records must be read first");
        let mut events = pools.reread(store.read(&pools.keys_to_read()));
        if made_late {
            store.commit(&changes).unwrap();
            let again = pools.next_changes(52, 12).unwrap();
            assert_eq!(store.commit(&again), None, "the late commit was carried out first");
            pools.indeterminate();
            events.extend(pools.reread(store.read(&pools.keys_to_read())));
        }
        write = write.max(60);
        events.extend(record_all(&mut pools, &mut store, &mut write));
        let recorded: Vec<_> = events.iter().filter(|e| matches!(e, PoolEvent::ClaimRecorded(..))).collect();
        assert_eq!(recorded, [&PoolEvent::ClaimRecorded(1, claim("blue", 7))]);
        assert_eq!(store.commit(&changes), None, "the same commit fails when it is even later");
        assert_eq!(charged(&store, "red"), (1000, 0, 0));
    }
}

#[test]
fn abandoned_claim_frees_the_slot_only_after_that_is_recorded() {
    let (mut pools, mut store, mut write) = warm_pools(1);
    pools.claim(1, "notes", claim("blue", 7), at(1000)).unwrap();
    let late = pools.next_changes(50, 12).unwrap();
    pools.indeterminate();
    pools.abandon_claim(1);
    assert_eq!(pools.claim(1, "notes", claim("red", 8), at(1100)), Err(ClaimError::NotFree));
    // The claim is recorded late; only then is the slot recorded as free.
    store.commit(&late).unwrap();
    assert_eq!(pools.reread(store.read(&pools.keys_to_read())), []);
    assert_eq!(pools.claim(1, "notes", claim("red", 8), at(1200)), Err(ClaimError::NotFree));
    write = write.max(60);
    assert_eq!(record_all(&mut pools, &mut store, &mut write), [PoolEvent::SlotFree(1)]);
    assert_eq!(pools.claim(1, "notes", claim("red", 8), at(2000)), Ok(()));
    record_all(&mut pools, &mut store, &mut write);
    assert_eq!(charged(&store, "red"), (2000, 0, 0), "no claimant used the slot before");
}

#[test]
fn idle_time_is_billed_to_the_payer_and_claimed_time_to_the_claimant() {
    let (mut pools, mut store, mut write) = warm_pools(1);
    pools.claim(1, "notes", claim("blue", 7), at(10_000)).unwrap();
    record_all(&mut pools, &mut store, &mut write);
    pools.claim_ended(1, at(25_000));
    record_all(&mut pools, &mut store, &mut write);
    assert_eq!((charged(&store, "red"), charged(&store, "blue")), ((10_000, 0, 0), (0, 15_000, 0)));
    assert!(!store.records.contains_key(&RecordKey::Slot(1)) && pools.slots().next().is_none());
}

#[test]
fn charges_are_split_at_midnight_and_at_price_changes() {
    let now = |ms: u64| ClockReading { steady_ms: ms, wall_ms: MIDNIGHT_MS + 24 * HOUR_MS - 60_000 + ms };
    let (mut pools, mut store, mut write) = (WarmPools::new(settings(), now(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, now(0));
    warm_slot(&mut pools, &mut store, &mut write, 1, now(0));
    pools.set_price(1, 7_200_000, now(30_000));
    pools.refresh(BOOT_MS, now(360_000));
    record_all(&mut pools, &mut store, &mut write);
    let (today, tomorrow) = ("2026-12-02".parse().unwrap(), "2026-12-03".parse().unwrap());
    let total = |day| pools.bill(day, "red").unwrap().pools["counter"];
    // 30 s at 3.6 an hour, 30 s at 7.2, and five minutes at 7.2 on the next day.
    assert_eq!((total(today).idle_ms, total(today).idle_amount), (60_000, 90_000));
    assert_eq!((total(tomorrow).idle_ms, total(tomorrow).idle_amount), (300_000, 600_000));
}

#[test]
fn next_leader_restores_claims_and_bills_despite_a_wrong_clock() {
    let (mut pools, mut store, mut write) = warm_pools(2);
    pools.claim(1, "notes", claim("blue", 7), at(10_000)).unwrap();
    record_all(&mut pools, &mut store, &mut write);
    // The clock of the next leader is correct, one hour ahead, or one hour behind.
    for (wall_step, gap_ms) in [(0i64, 20_000), (HOUR_MS as i64, 900_000), (-(HOUR_MS as i64), 0)] {
        let mut store = store.clone();
        let begin = ClockReading { steady_ms: 5, wall_ms: (MIDNIGHT_MS + 30_000).saturating_add_signed(wall_step) };
        let mut next = WarmPools::new(settings(), begin);
        next.restore(store.all(), begin);
        assert_eq!(next.claim(1, "notes", claim("red", 9), begin), Err(ClaimError::NotFree));
        assert_eq!(state(&next, 1), SlotState::Claimed(claim("blue", 7)));
        let later = ClockReading { steady_ms: begin.steady_ms + 5000, wall_ms: begin.wall_ms + 5000 };
        next.mark_reported(1, true, begin);
        next.claim_ended(1, later);
        let mut write = 100;
        record_all(&mut next, &mut store, &mut write);
        // The unobserved time is marked as estimated and stays within `estimate_at_most_s`.
        assert_eq!(charged(&store, "blue"), (0, gap_ms + 5000, gap_ms), "step {wall_step}");
    }
}

// In a burst whose leader was killed, claimants were billed for replicas that they never had: the
// claims were recorded and never carried out.
#[test]
fn claim_that_was_never_carried_out_is_billed_to_the_payer() {
    let (mut pools, mut store, mut write) = warm_pools(1);
    pools.claim(1, "notes", claim("blue", 7), at(10_000)).unwrap();
    record_all(&mut pools, &mut store, &mut write);
    let mut next = WarmPools::new(settings(), at(30_000));
    next.restore(store.all(), at(30_000));
    next.refresh(BOOT_MS, at(400_000));
    next.void_claim(1, at(401_000));
    next.mark_reported(1, true, at(401_000));
    next.host_lost("h1", EndCause::MachineLost, at(405_000));
    record_all(&mut next, &mut store, &mut 100);
    assert_eq!((charged(&store, "red"), charged(&store, "blue")), ((405_000, 0, 391_000), (0, 0, 0)));
}

#[test]
fn bills_are_unaffected_by_wall_clock_steps() {
    let (mut pools, mut store, mut write) = warm_pools(1);
    for (minute, step) in [(0, 0), (10, HOUR_MS as i64), (20, -(HOUR_MS as i64)), (30, 0)] {
        let now = at(minute * 60_000);
        pools.refresh(BOOT_MS, ClockReading { wall_ms: now.wall_ms.saturating_add_signed(step), ..now });
        record_all(&mut pools, &mut store, &mut write);
    }
    assert_eq!(charged(&store, "red"), (30 * 60_000, 0, 0));
    assert_eq!(state(&pools, 1), SlotState::Idle);
}

// A wall clock that is off by one hour for ten minutes, within a window, must not end the window.
#[test]
fn wall_clock_step_that_is_short_drains_no_pool() {
    let mut settings = settings();
    pool(&mut settings).count = 0;
    let window =
        serde_json::from_str(r#"{"days": ["daily"], "from": "00:00", "to": "00:40", "zone": "UTC", "count": 1}"#);
    pool(&mut settings).windows.insert("night".into(), window.unwrap());
    let (mut pools, mut store, mut write) = (WarmPools::new(settings, at(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, at(0));
    warm_slot(&mut pools, &mut store, &mut write, 1, at(0));
    for minute in 1..10 {
        let now = at(minute * 60_000);
        pools.refresh(BOOT_MS, ClockReading { wall_ms: now.wall_ms + HOUR_MS, ..now });
        assert_eq!(state(&pools, 1), SlotState::Idle, "minute {minute}");
    }
    // The window still ends at its regular time.
    pools.refresh(BOOT_MS, at(41 * 60_000));
    pools.refresh(BOOT_MS, at(43 * 60_000));
    assert_eq!(state(&pools, 1), SlotState::Draining(EndCause::FewerWanted));
}

/// Returns pools that are restored from the store under changed settings.
fn with_settings(
    store: &Store,
    now: ClockReading,
    change: impl Fn(&mut badgerdrift_warm_pools::PoolSettings),
) -> WarmPools {
    let mut settings = settings();
    change(&mut settings);
    let mut pools = WarmPools::new(settings, now);
    pools.restore(store.all(), now);
    pools.refresh(BOOT_MS, now);
    pools
}

#[test]
fn slots_of_the_old_version_cannot_be_claimed_after_a_version_change() {
    let (_, mut store, _) = warm_pools(2);
    let version =
        |version: u64| Model { version, image: format!("notes-{version}"), size_gb: 40.0, names: vec!["notes".into()] };
    let mut pools = with_settings(&store, at(1000), |s| _ = s.models.insert("notes".into(), version(4)));
    for image in ["notes", "notes-3", "notes-4"] {
        assert_eq!(pools.claim(1, image, claim("red", 9), at(1000)), Err(ClaimError::AnotherModel), "{image}");
    }
    // Slots of the old version are drained one by one as slots of the new version become warm.
    assert_eq!(pools.missing_count("counter"), 2);
    let mut write = 100;
    for id in [11, 12] {
        let idle = |pools: &WarmPools| pools.slots().filter(|slot| slot.state == SlotState::Idle).count();
        assert!(idle(&pools) >= 2, "there are never fewer idle slots than the pool wants");
        warm_slot(&mut pools, &mut store, &mut write, id, at(2000));
        pools.refresh(BOOT_MS, at(2000));
    }
    assert_eq!([state(&pools, 1), state(&pools, 2)], [const { SlotState::Draining(EndCause::Replaced) }; 2]);
    assert_eq!(pools.claim(11, "notes", claim("red", 10), at(3000)), Ok(()));
}

#[test]
fn swapped_or_renamed_aliases_follow_the_model() {
    let (_, store, _) = warm_pools(2);
    let model =
        |image: &str, name: &str| Model { version: 3, image: image.into(), size_gb: 40.0, names: vec![name.into()] };
    let mut swapped = with_settings(&store, at(1000), |s| {
        s.models.insert("notes".into(), model("notes-3", "letters"));
        s.models.insert("letters".into(), model("letters-3", "notes"));
    });
    assert_eq!(swapped.claim(1, "notes", claim("red", 9), at(1000)), Err(ClaimError::AnotherModel));
    assert_eq!(swapped.claim(1, "letters", claim("red", 9), at(1000)), Ok(()));
    let mut renamed = with_settings(&store, at(1000), |s| {
        s.models.insert("notes".into(), model("notes-3", "parcels"));
    });
    assert_eq!(renamed.claim(1, "notes", claim("red", 9), at(1000)), Err(ClaimError::AnotherModel));
    assert_eq!(renamed.claim(1, "parcels", claim("red", 9), at(1000)), Ok(()));
}

// A worker without the model-loading extension fetches an image by the name that the job gives. An
// alias would make it fetch another image than the slot was prepared for.
#[test]
fn image_slot_can_be_claimed_only_by_the_image_name() {
    let mut settings = settings();
    pool(&mut settings).keep = HoldKind::Image;
    let (mut pools, mut store, mut write) = (WarmPools::new(settings, at(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, at(0));
    pools.create_slot(1, "counter", place("h1"), at(0));
    record_all(&mut pools, &mut store, &mut write);
    assert_eq!(pools.claim(1, "notes", claim("red", 9), at(0)), Err(ClaimError::AnotherModel));
    assert_eq!(pools.claim(1, "notes-3", claim("red", 9), at(0)), Ok(()));
}

#[test]
fn claim_by_a_team_that_is_no_claimant_is_refused() {
    let mut settings = settings();
    pool(&mut settings).claimants = vec!["red".into()];
    let (mut pools, mut store, mut write) = (WarmPools::new(settings, at(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, at(0));
    warm_slot(&mut pools, &mut store, &mut write, 1, at(0));
    assert_eq!(pools.claim(1, "notes", claim("blue", 9), at(0)), Err(ClaimError::NotAllowed));
}

#[test]
fn cost_limits_drain_idle_slots_and_no_claimed_ones() {
    let (_, store, _) = warm_pools(2);
    // Each slot costs 3.6 per hour.
    let capped = with_settings(&store, at(1000), |s| pool(s).idle_cost_per_hour = Some(4.0));
    assert_eq!([state(&capped, 1), state(&capped, 2)], [SlotState::Idle, SlotState::Draining(EndCause::CostLimit)]);
    assert_eq!(capped.startable_count("counter", 3_600_000, at(1000)), 0);
    let mut spent = with_settings(&store, at(1000), |s| pool(s).idle_budget_per_day = Some(0.05));
    spent.claim(1, "notes", claim("blue", 9), at(1000)).unwrap();
    let (mut store, mut write) = (store, 100);
    record_all(&mut spent, &mut store, &mut write);
    spent.refresh(BOOT_MS, at(301_000));
    spent.refresh(BOOT_MS, at(302_000));
    assert!(matches!(state(&spent, 1), SlotState::Claimed(_)));
    assert_eq!(state(&spent, 2), SlotState::Draining(EndCause::CostLimit));
    assert_eq!(spent.startable_count("counter", 3_600_000, at(302_000)), 0);
    // The budget is reset on the next day.
    assert_eq!(spent.startable_count("counter", 3_600_000, at(24 * HOUR_MS)), 2);
}

#[test]
fn slots_of_a_lost_machine_end_and_are_missing_again() {
    for cause in [EndCause::MachineLost, EndCause::SessionLost] {
        let (mut pools, mut store, mut write) = warm_pools(2);
        pools.claim(1, "notes", claim("blue", 7), at(0)).unwrap();
        record_all(&mut pools, &mut store, &mut write);
        pools.host_lost("h1", cause, at(5000));
        pools.host_lost("h2", cause, at(5000));
        assert_eq!(pools.missing_count("counter"), 2);
        record_all(&mut pools, &mut store, &mut write);
        assert_eq!((charged(&store, "red").0, charged(&store, "blue").1), (5000, 5000));
        assert!(pools.slots().next().is_none());
    }
}

#[test]
fn concurrent_loads_are_bounded_and_a_claimed_replica_is_missing() {
    let mut settings = settings();
    pool(&mut settings).count = 5;
    let (mut pools, mut store, mut write) = (WarmPools::new(settings, at(0)), Store::default(), 0);
    pools.refresh(BOOT_MS, at(0));
    assert_eq!((pools.missing_count("counter"), pools.startable_count("counter", 1, at(0))), (5, 2));
    pools.create_slot(1, "counter", place("h1"), at(0));
    assert_eq!(pools.startable_count("counter", 1, at(0)), 1);
    pools.mark_reported(1, true, at(0));
    record_all(&mut pools, &mut store, &mut write);
    pools.claim(1, "notes", claim("blue", 7), at(0)).unwrap();
    assert_eq!(pools.missing_count("counter"), 5);
}

// The state service limits the writes of a commit. The limit must not separate a slot from its bill,
// as only one of the two might then be written.
#[test]
fn commit_within_the_write_limit_keeps_slots_and_bills_together() {
    let (mut pools, mut store, _) = warm_pools(4);
    (1..=4).for_each(|id| pools.host_lost(&format!("h{id}"), EndCause::MachineLost, at(1000)));
    assert_eq!(pools.next_changes(50, 1), None, "a slot and its bill need two writes");
    let mut sizes = Vec::new();
    for write in 51.. {
        let Some(changes) = pools.next_changes(write, 3) else { break };
        sizes.push(changes.writes.len());
        let revision = store.commit(&changes).unwrap();
        pools.written(revision);
    }
    assert_eq!(sizes, [3, 3]);
    assert_eq!(charged(&store, "red").0, 4000);
}

// The first record of a slot may be written late, after the slot has ended. Nothing would ever
// delete it then.
#[test]
fn slot_that_ends_while_its_first_commit_is_open_leaves_no_record() {
    let (mut pools, mut store, mut write) = (WarmPools::new(settings(), at(0)), Store::default(), 60);
    pools.refresh(BOOT_MS, at(0));
    pools.create_slot(1, "counter", place("h1"), at(0));
    let late = pools.next_changes(50, 12).unwrap();
    pools.indeterminate();
    pools.host_lost("h1", EndCause::MachineLost, at(1000));
    pools.reread(store.read(&pools.keys_to_read()));
    record_all(&mut pools, &mut store, &mut write);
    assert_eq!(store.commit(&late), None);
    assert!(!store.records.contains_key(&RecordKey::Slot(1)));
    assert_eq!(charged(&store, "red").0, 1000);
}

// Guards against a transition that is noted for a slot that existed before and did not change.
#[test]
fn creating_a_slot_whose_id_is_in_use_changes_nothing() {
    let (mut pools, _, _) = warm_pools(1);
    pools.take_transitions();
    let before = state(&pools, 1);
    let found = pools.create_slot(1, "counter", place("h2"), at(1000)).unwrap();
    assert_eq!(found.host, "h1");
    assert_eq!(state(&pools, 1), before);
    assert_eq!(pools.take_transitions().len(), 0);
    pools.create_slot(2, "counter", place("h2"), at(1000)).unwrap();
    assert_eq!(pools.take_transitions().len(), 1);
}
