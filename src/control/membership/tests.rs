use super::{
    AcquiredLeadership, FencingTokenRecord, LeaderLease, MembershipRules, PartitionRecord, Succession, partition_key,
};
use crate::model::FencingToken;
use crate::runtime::clock;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

const LIFE: u64 = 2500;

fn holding(peers: usize) -> MembershipRules {
    let mut r = MembershipRules::new("a", LIFE, peers, 0);
    r.begin(&AcquiredLeadership { lease_id: 1, fencing_token: FencingToken(7), version: 3, start_ms: 0 }, 1000);
    r
}

#[test]
fn entitlement_counts_from_when_the_renewal_was_sent() {
    let mut r = holding(2);
    let first = r.lease_valid_until();
    assert!(first < 1000 + LIFE && first > 1000 + LIFE - 10, "less drift");
    r.extended(1, 2000, 2001);
    assert_eq!(r.lease_valid_until(), first + 1000);
    r.extended(1, 1500, 2002);
    assert_eq!(r.lease_valid_until(), first + 1000, "a late answer takes nothing back");
    r.extended(2, 9000, 9001);
    assert_eq!(r.lease_valid_until(), first + 1000, "another grant is another's");
}

#[tokio::test(start_paused = true)]
async fn entitlement_ends_by_itself_on_the_steady_clock() {
    let (e, now) = (LeaderLease::default(), clock::now_ms());
    assert!(!e.holds(now), "none before the first grant");
    e.set(now + LIFE);
    tokio::time::advance(Duration::from_millis(LIFE - 10)).await;
    assert!(e.holds(clock::now_ms()));
    tokio::time::advance(Duration::from_millis(20)).await;
    assert!(!e.holds(clock::now_ms()), "no message is needed for it to end");
}

#[test]
fn promises_count_only_if_all_others_gave_them() {
    let mut r = holding(2);
    let first = r.lease_valid_until();
    r.pledged(0, 3000, 3001);
    assert_eq!(r.lease_valid_until(), first);
    r.pledged(1, 2000, 2001);
    assert!(r.lease_valid_until() > 2000 && r.lease_valid_until() < 2000 + LIFE, "the earliest one counts");
    assert!(r.lease_valid_until() > first);
}

// Leases may be kept alive by a controller that is bound by no pledge: the
// leader must know of every moment in which one was not.
#[test]
fn a_break_between_promises_is_known_to_the_owner_and_frees_the_other() {
    let mut r = holding(1);
    r.pledged(0, 2000, 2010);
    assert_eq!(r.bound_to_us().0, 2010, "unbound until the first answer");
    r.pledged(0, 3000, 3010);
    assert_eq!(r.bound_to_us().0, 2010, "without a break since");
    let until = r.bound_to_us().1;
    assert!(until > 3000 && until < 3000 + LIFE);
    r.pledged(0, until - 100, until + 1);
    assert_eq!(r.bound_to_us().0, until + 1, "asked in time, and maybe heard too late");

    let mut b = MembershipRules::new("b", LIFE, 1, 1000);
    assert!(b.pledged_until_ms() > 1000 + LIFE, "a restarted node has forgotten what it promised");
    assert!(b.pledge(9000, ("a", FencingToken(7)), LIFE, true, true));
    assert!(b.pledged_until_ms() > 9000 + LIFE, "longer than the asker counts");
}

#[test]
fn an_owner_without_the_state_service_learns_from_the_next_one_that_it_is_over() {
    let r = holding(1);
    let end = r.lease_valid_until();
    assert!(!r.superseded_by(end - 1, FencingToken(8)), "its entitlement holds");
    assert!(!r.superseded_by(end, FencingToken(7)) && r.superseded_by(end, FencingToken(8)));
}

#[test]
fn a_promise_binds_longer_than_the_asker_counts_it() {
    let mut r = MembershipRules::new("b", LIFE, 2, 0);
    r.unbound();
    assert!(r.may_campaign(10));
    assert!(r.pledge(1000, ("a", FencingToken(7)), LIFE, true, true));
    let mut asker = holding(1);
    asker.pledged(0, 1000, 1001);
    assert!(!r.may_campaign(asker.lease_valid_until()));
    assert!(r.may_campaign(1000 + LIFE + 10));
}

#[test]
fn only_the_one_without_the_state_service_gets_no_promise() {
    let mut r = MembershipRules::new("b", LIFE, 2, 0);
    assert!(!r.pledge(1000, ("a", FencingToken(7)), LIFE, false, true), "others have it");
    assert!(r.pledge(1000, ("a", FencingToken(7)), LIFE, false, false), "an outage");
    assert!(!holding(2).pledge(1000, ("a", FencingToken(7)), LIFE, true, true), "a holder promises nothing");
}

#[test]
fn a_restarted_node_waits_out_promises_it_has_forgotten() {
    let mut r = MembershipRules::new("b", LIFE, 2, 10_000);
    assert!(!r.may_campaign(10_000 + LIFE));
    assert!(r.may_campaign(10_000 + LIFE + 10));
    r = MembershipRules::new("b", LIFE, 2, 10_000);
    r.unbound();
    assert!(r.may_campaign(10_000), "nobody relied on them");
}

#[test]
fn a_late_release_does_not_undo_a_later_promise() {
    let mut r = MembershipRules::new("b", LIFE, 2, 0);
    r.unbound();
    assert!(r.pledge(1000, ("a", FencingToken(7)), LIFE, true, true));
    r.release_pledge(1100, FencingToken(7));
    assert!(r.may_campaign(1100));
    assert!(r.pledge(1200, ("a", FencingToken(8)), LIFE, true, true));
    r.release_pledge(1300, FencingToken(7));
    assert!(!r.may_campaign(1300));
}

#[test]
fn an_owner_does_not_abdicate_again_and_again() {
    let mut r = holding(2);
    assert!(r.may_yield_leadership(1000, 20_000));
    assert!(!r.may_yield_leadership(30_000, 20_000));
    assert!(r.may_yield_leadership(50_000, 20_000));
    assert!(!holding(0).may_yield_leadership(1000, 20_000), "there is nobody else");
}

// Found on a day of our own (the gap with a crash inside, went_back): a leader that was cut
// off had been followed by another, which called a job done and ended in the outage. The
// others then promised to the first one again, and it answered from its old memory.
#[test]
fn promises_bring_no_entitlement_back_that_has_lapsed() {
    let mut r = holding(2);
    let end = r.lease_valid_until();
    let both = |r: &mut MembershipRules, sent: u64| {
        r.pledged(0, sent, sent + 1);
        r.pledged(1, sent, sent + 1);
    };
    both(&mut r, end - 100);
    assert!(r.lease_valid_until() > end, "they go on from one that holds");
    let end = r.lease_valid_until();
    both(&mut r, end + 5);
    both(&mut r, end + 500);
    assert!(r.lease_valid_until() <= end, "another may have held the part, and ended");
    // An answer of the state service that comes too late says nothing of now.
    r.extended(1, end + 500, end + 500 + LIFE);
    both(&mut r, end + 600 + LIFE);
    assert!(r.lease_valid_until() < end + 600 + LIFE);
    r.extended(1, end + 4 * LIFE, end + 4 * LIFE + 5);
    both(&mut r, end + 5 * LIFE - 10);
    assert!(r.lease_valid_until() > end + 5 * LIFE, "the grant lives, and so nobody held it since");
}

#[test]
fn nobody_promises_to_an_owner_that_was_followed_by_another() {
    let mut r = MembershipRules::new("c", LIFE, 2, 0);
    r.record = Some(PartitionRecord { leader: "b".into(), fencing_token: FencingToken(8), lease_id: 2 });
    assert!(!r.pledge(1000, ("a", FencingToken(7)), LIFE, false, false));
    assert!(r.pledge(1000, ("b", FencingToken(7)), LIFE, false, false), "one that raised its term meanwhile");
    assert!(r.pledge(1000, ("a", FencingToken(9)), LIFE, false, false));
}

// What is stored keeps its spelling whatever the fields are called here: controllers of
// an earlier build read and write the same records.
#[test]
fn stored_records_keep_their_spelling() {
    let partition = PartitionRecord { leader: "a".into(), fencing_token: FencingToken(7), lease_id: 1 };
    assert_eq!(serde_json::to_value(partition).unwrap(), json!({ "holder": "a", "term": 7, "grant": 1 }));
    let fencing_token =
        FencingTokenRecord { n: FencingToken(7), start_ms: 5, leaders: BTreeMap::from([(0, "a".to_string())]) };
    assert_eq!(serde_json::to_value(fencing_token).unwrap(), json!({ "n": 7, "start_ms": 5, "holders": { "0": "a" } }));
    let host =
        crate::model::HostRecord { addr: None, instance_type: "s".into(), zone: "z".into(), spot: false, partition: 2 };
    let stored = json!({ "addr": null, "flavor": "s", "zone": "z", "spot": false, "part": 2 });
    assert_eq!(serde_json::to_value(host).unwrap(), stored);
    assert_eq!(partition_key(3), "part/3");
}

// Two controllers that were silent in turn cost a fleet all its leases: the workers tried the
// silent one that was lost before, and then the lease was over.
#[test]
fn a_lost_owner_is_succeeded_by_the_controller_that_its_workers_try_next() {
    let succession = |own: &str| Succession::new(own, ["a", "b", "c"].into_iter().filter(|n| *n != own));
    for (lost, first, second) in [("a", "b", "c"), ("b", "c", "a"), ("c", "a", "b")] {
        assert_eq!(succession(first).nodes_before(lost), 0, "{first} after {lost}");
        assert_eq!(succession(second).nodes_before(lost), 1, "{second} after {lost}");
    }
    assert_eq!(succession("a").nodes_before("unknown"), 0);
}
