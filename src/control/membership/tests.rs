use super::{
    AcquiredLeadership, Election, FailoverOrder, FencingTokenRecord, LeaderLease, PartitionRecord, PledgeRequest,
    partition_key,
};
use crate::model::FencingToken;
use crate::runtime::clock;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

const LEASE_TTL_MS: u64 = 2500;

/// Node `a`, which leads with so many peers by requests that were sent at 1000 ms.
fn leading(peers: usize) -> Election {
    let mut election = Election::new("a", LEASE_TTL_MS, peers, 0);
    let acquired = AcquiredLeadership { lease_id: 1, fencing_token: FencingToken(7), version: 3, start_ms: 0 };
    election.begin_leadership(&acquired, 1000);
    election
}

/// A request for a pledge for the whole duration of a lease.
fn pledge_request(leader: &str, token: u64, store_responsive: bool) -> PledgeRequest {
    let fencing_token = FencingToken(token);
    PledgeRequest { leader: leader.into(), fencing_token, for_ms: LEASE_TTL_MS, store_responsive }
}

#[test]
fn a_lease_counts_from_when_its_renewal_was_sent() {
    let mut election = leading(2);
    let first = election.lease_valid_until();
    assert!(first < 1000 + LEASE_TTL_MS && first > 1000 + LEASE_TTL_MS - 10, "less drift");
    election.lease_renewed(1, 2000, 2001);
    assert_eq!(election.lease_valid_until(), first + 1000);
    election.lease_renewed(1, 1500, 2002);
    assert_eq!(election.lease_valid_until(), first + 1000, "a late answer takes nothing back");
    election.lease_renewed(2, 9000, 9001);
    assert_eq!(election.lease_valid_until(), first + 1000, "the renewal of another lease does not count");
}

#[tokio::test(start_paused = true)]
async fn a_lease_expires_by_itself_on_the_steady_clock() {
    let (lease, now) = (LeaderLease::default(), clock::now_ms());
    assert!(!lease.holds(now), "not before it is acquired");
    lease.set_valid_until(now + LEASE_TTL_MS);
    tokio::time::advance(Duration::from_millis(LEASE_TTL_MS - 10)).await;
    assert!(lease.holds(clock::now_ms()));
    tokio::time::advance(Duration::from_millis(20)).await;
    assert!(!lease.holds(clock::now_ms()), "no message is needed for it to end");
}

#[test]
fn pledges_count_only_if_all_peers_gave_them() {
    let mut election = leading(2);
    let first = election.lease_valid_until();
    election.pledge_received(0, 3000, 3001);
    assert_eq!(election.lease_valid_until(), first);
    election.pledge_received(1, 2000, 2001);
    assert!(
        election.lease_valid_until() > 2000 && election.lease_valid_until() < 2000 + LEASE_TTL_MS,
        "the earliest one counts"
    );
    assert!(election.lease_valid_until() > first);
}

// A controller without a pledge may keep workers' leases alive: the leader must know of every
// moment in which one may have had none.
#[test]
fn a_gap_between_pledges_is_known_to_the_leader_and_frees_the_peer() {
    let mut election = leading(1);
    election.pledge_received(0, 2000, 2010);
    assert_eq!(election.peer_pledges().last_gap_ms, 2010, "without a pledge until the first answer");
    election.pledge_received(0, 3000, 3010);
    assert_eq!(election.peer_pledges().last_gap_ms, 2010, "without a gap since");
    let until = election.peer_pledges().valid_until_ms;
    assert!(until > 3000 && until < 3000 + LEASE_TTL_MS);
    election.pledge_received(0, until - 100, until + 1);
    assert_eq!(election.peer_pledges().last_gap_ms, until + 1, "asked in time, but maybe received too late");

    let mut restarted = Election::new("b", LEASE_TTL_MS, 1, 1000);
    assert!(restarted.pledged_until_ms() > 1000 + LEASE_TTL_MS, "a restarted node does not know what it pledged");
    assert!(restarted.pledge(9000, &pledge_request("a", 7, true), true));
    assert!(restarted.pledged_until_ms() > 9000 + LEASE_TTL_MS, "longer than the leader counts on it");
}

#[test]
fn a_leader_without_the_state_store_is_deposed_by_the_request_of_its_successor() {
    let election = leading(1);
    let end = election.lease_valid_until();
    assert!(!election.is_deposed_by(end - 1, FencingToken(8)), "its lease is valid");
    assert!(!election.is_deposed_by(end, FencingToken(7)) && election.is_deposed_by(end, FencingToken(8)));
}

#[test]
fn a_pledge_binds_longer_than_the_leader_counts_on_it() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 0);
    election.clear_earlier_pledges();
    assert!(election.may_campaign(10));
    assert!(election.pledge(1000, &pledge_request("a", 7, true), true));
    let mut asker = leading(1);
    asker.pledge_received(0, 1000, 1001);
    assert!(!election.may_campaign(asker.lease_valid_until()));
    assert!(election.may_campaign(1000 + LEASE_TTL_MS + 10));
}

#[test]
fn a_leader_that_alone_has_lost_the_state_store_gets_no_pledge() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 0);
    assert!(!election.pledge(1000, &pledge_request("a", 7, false), true), "only the asker has lost it");
    assert!(election.pledge(1000, &pledge_request("a", 7, false), false), "an outage");
    assert!(!leading(2).pledge(1000, &pledge_request("a", 7, true), true), "a leader gives no pledge");
}

#[test]
fn a_restarted_node_waits_until_pledges_from_before_the_restart_have_ended() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 10_000);
    assert!(!election.may_campaign(10_000 + LEASE_TTL_MS));
    assert!(election.may_campaign(10_000 + LEASE_TTL_MS + 10));
    election = Election::new("b", LEASE_TTL_MS, 2, 10_000);
    election.clear_earlier_pledges();
    assert!(election.may_campaign(10_000), "nobody relied on them");
}

#[test]
fn a_late_release_does_not_undo_a_later_pledge() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 0);
    election.clear_earlier_pledges();
    assert!(election.pledge(1000, &pledge_request("a", 7, true), true));
    election.release_pledge(1100, FencingToken(7));
    assert!(election.may_campaign(1100));
    assert!(election.pledge(1200, &pledge_request("a", 8, true), true));
    election.release_pledge(1300, FencingToken(7));
    assert!(!election.may_campaign(1300));
}

#[test]
fn a_leader_does_not_yield_leadership_again_and_again() {
    let mut election = leading(2);
    assert!(election.may_yield_leadership(1000, 20_000));
    assert!(!election.may_yield_leadership(30_000, 20_000));
    assert!(election.may_yield_leadership(50_000, 20_000));
    assert!(!leading(0).may_yield_leadership(1000, 20_000), "there is nobody else");
}

// A leader that was cut off had been succeeded by another, which reported a job as done and ended
// during the outage. The others then gave pledges to the first one again, and it answered from
// its outdated state.
#[test]
fn pledges_do_not_restore_a_lease_that_has_lapsed() {
    let mut election = leading(2);
    let end = election.lease_valid_until();
    let both = |election: &mut Election, sent: u64| {
        election.pledge_received(0, sent, sent + 1);
        election.pledge_received(1, sent, sent + 1);
    };
    both(&mut election, end - 100);
    assert!(election.lease_valid_until() > end, "they prolong one that holds");
    let end = election.lease_valid_until();
    both(&mut election, end + 5);
    both(&mut election, end + 500);
    assert!(election.lease_valid_until() <= end, "another may have led the partition, and ended");
    // An answer of the state store that comes too late shows nothing of the present.
    election.lease_renewed(1, end + 500, end + 500 + LEASE_TTL_MS);
    both(&mut election, end + 600 + LEASE_TTL_MS);
    assert!(election.lease_valid_until() < end + 600 + LEASE_TTL_MS);
    election.lease_renewed(1, end + 4 * LEASE_TTL_MS, end + 4 * LEASE_TTL_MS + 5);
    both(&mut election, end + 5 * LEASE_TTL_MS - 10);
    assert!(election.lease_valid_until() > end + 5 * LEASE_TTL_MS, "the lease lives, so no other node has led since");
}

#[test]
fn a_leader_with_a_successor_gets_no_pledge() {
    let mut election = Election::new("c", LEASE_TTL_MS, 2, 0);
    election.record = Some(PartitionRecord { leader: "b".into(), fencing_token: FencingToken(8), lease_id: 2 });
    assert!(!election.pledge(1000, &pledge_request("a", 7, false), false));
    assert!(
        election.pledge(1000, &pledge_request("b", 7, false), false),
        "the same leader, which has raised its token since"
    );
    assert!(election.pledge(1000, &pledge_request("a", 9, false), false));
}

// What is stored keeps its spelling whatever the fields are called here: controllers of
// an earlier build read and write the same records.
#[test]
fn stored_records_keep_their_spelling() {
    let partition = PartitionRecord { leader: "a".into(), fencing_token: FencingToken(7), lease_id: 1 };
    assert_eq!(serde_json::to_value(partition).unwrap(), json!({ "holder": "a", "term": 7, "grant": 1 }));
    let fencing_token = FencingTokenRecord {
        last_token: FencingToken(7),
        start_ms: 5,
        leaders: BTreeMap::from([(0, "a".to_string())]),
    };
    assert_eq!(serde_json::to_value(fencing_token).unwrap(), json!({ "n": 7, "start_ms": 5, "holders": { "0": "a" } }));
    let host =
        crate::model::HostRecord { addr: None, instance_type: "s".into(), zone: "z".into(), spot: false, partition: 2 };
    let stored = json!({ "addr": null, "flavor": "s", "zone": "z", "spot": false, "part": 2 });
    assert_eq!(serde_json::to_value(host).unwrap(), stored);
    assert_eq!(partition_key(3), "part/3");
}

// Two controllers that were unreachable in turn cost a fleet all its leases: the workers tried the
// one that had been lost before, and then their leases had expired.
#[test]
fn the_controller_that_workers_try_next_campaigns_first() {
    let order_of = |own: &str| FailoverOrder::new(own, ["a", "b", "c"].into_iter().filter(|node| *node != own));
    for (lost, first, second) in [("a", "b", "c"), ("b", "c", "a"), ("c", "a", "b")] {
        assert_eq!(order_of(first).nodes_before(lost), 0, "{first} after {lost}");
        assert_eq!(order_of(second).nodes_before(lost), 1, "{second} after {lost}");
    }
    assert_eq!(order_of("a").nodes_before("unknown"), 0);
}
