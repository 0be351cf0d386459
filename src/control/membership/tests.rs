use super::campaign::{CampaignParameters, check_earlier_pledges};
use super::{
    AcquiredLeadership, EarlierPledges, Election, ElectionMessage, FailoverOrder, FencingTokenRecord, LeaderLease,
    PartitionRecord, PledgeRequest, partition_key,
};
use crate::clients::StateStore;
use crate::model::{FencingToken, FencingTokenRange};
use crate::runtime::{clock, task};
use crate::settings::tests::settings;
use crate::transport::http::{self, Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const LEASE_TTL_MS: u64 = 2500;

/// The election on node `a`, which leads and has this many peers; its campaign began at 1000 ms.
fn election_led_by_a(peers: usize) -> Election {
    let mut election = Election::new("a", LEASE_TTL_MS, peers, 0);
    let acquired = AcquiredLeadership {
        lease_id: 1,
        tokens: FencingTokenRange::ending_at(FencingToken(7)),
        version: 3,
        start_ms: 0,
    };
    election.begin_leadership(&acquired, 1000);
    election
}

/// Request for a pledge of the whole duration of a lease.
fn pledge_request(leader: &str, token: u64, store_responsive: bool) -> PledgeRequest {
    let fencing_token = FencingToken(token);
    PledgeRequest { leader: leader.into(), fencing_token, for_ms: LEASE_TTL_MS, store_responsive }
}

#[test]
fn leader_lease_counts_from_the_sending_of_its_last_renewal() {
    let mut election = election_led_by_a(2);
    let first = election.lease_valid_until();
    assert!(first < 1000 + LEASE_TTL_MS && first > 1000 + LEASE_TTL_MS - 10, "the lease is shortened by clock drift");
    election.lease_renewed(1, 2000, 2001);
    assert_eq!(election.lease_valid_until(), first + 1000);
    election.lease_renewed(1, 1500, 2002);
    assert_eq!(election.lease_valid_until(), first + 1000, "a late answer does not shorten the lease");
    election.lease_renewed(2, 9000, 9001);
    assert_eq!(election.lease_valid_until(), first + 1000, "the renewal of another lease does not count");
}

#[tokio::test(start_paused = true)]
async fn leader_lease_expires_on_the_steady_clock_without_a_message() {
    let (lease, now) = (LeaderLease::default(), clock::now_ms());
    assert!(!lease.holds(now), "the lease is not valid before it is acquired");
    lease.set_valid_until(now + LEASE_TTL_MS);
    tokio::time::advance(Duration::from_millis(LEASE_TTL_MS - 10)).await;
    assert!(lease.holds(clock::now_ms()));
    tokio::time::advance(Duration::from_millis(20)).await;
    assert!(!lease.holds(clock::now_ms()), "the lease expires without a message");
}

#[test]
fn pledges_prolong_the_leader_lease_only_if_all_peers_gave_them() {
    let mut election = election_led_by_a(2);
    let first = election.lease_valid_until();
    election.pledge_received(0, 3000, 3001);
    assert_eq!(election.lease_valid_until(), first);
    election.pledge_received(1, 2000, 2001);
    assert!(
        election.lease_valid_until() > 2000 && election.lease_valid_until() < 2000 + LEASE_TTL_MS,
        "the pledge that expires first counts"
    );
    assert!(election.lease_valid_until() > first);
}

// A controller without a pledge may prolong workers' leases. A leader that misses a gap between
// pledges would rely on the expiry of a lease that was prolonged.
#[test]
fn gap_between_pledges_is_recorded_and_restarted_node_counts_as_pledged() {
    let mut election = election_led_by_a(1);
    election.pledge_received(0, 2000, 2010);
    assert_eq!(election.peer_pledges().last_gap_ms, 2010, "the peer had no pledge until the first answer");
    election.pledge_received(0, 3000, 3010);
    assert_eq!(election.peer_pledges().last_gap_ms, 2010, "there was no gap since");
    let until = election.peer_pledges().valid_until_ms;
    assert!(until > 3000 && until < 3000 + LEASE_TTL_MS);
    election.pledge_received(0, until - 100, until + 1);
    assert_eq!(
        election.peer_pledges().last_gap_ms,
        until + 1,
        "requested in time, but the answer may have come too late"
    );

    let mut restarted = Election::new("b", LEASE_TTL_MS, 1, 1000);
    assert!(restarted.pledged_until_ms() > 1000 + LEASE_TTL_MS, "a restarted node does not know its earlier pledges");
    assert!(restarted.pledge(9000, &pledge_request("a", 7, true), true));
    assert!(restarted.pledged_until_ms() > 9000 + LEASE_TTL_MS, "the pledge lasts longer than the leader relies on it");
}

#[test]
fn expired_leader_is_superseded_by_a_request_with_a_higher_token() {
    let election = election_led_by_a(1);
    let end = election.lease_valid_until();
    assert!(!election.is_superseded_by(end - 1, FencingToken(8)), "its lease is valid");
    assert!(!election.is_superseded_by(end, FencingToken(7)) && election.is_superseded_by(end, FencingToken(8)));
}

#[test]
fn pledge_outlasts_the_lease_that_the_leader_derives_from_it() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 0);
    election.clear_earlier_pledges();
    assert!(election.may_campaign(10));
    assert!(election.pledge(1000, &pledge_request("a", 7, true), true));
    let mut asker = election_led_by_a(1);
    asker.pledge_received(0, 1000, 1001);
    assert!(!election.may_campaign(asker.lease_valid_until()));
    assert!(election.may_campaign(1000 + LEASE_TTL_MS + 10));
}

#[test]
fn pledge_is_refused_if_only_the_leader_has_lost_the_state_store() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 0);
    assert!(
        !election.pledge(1000, &pledge_request("a", 7, false), true),
        "only the requester has lost the state service"
    );
    assert!(election.pledge(1000, &pledge_request("a", 7, false), false), "the state service is down for both");
    assert!(!election_led_by_a(2).pledge(1000, &pledge_request("a", 7, true), true), "a leader gives no pledge");
}

#[test]
fn restarted_node_does_not_campaign_until_earlier_pledges_have_expired() {
    let mut election = Election::new("b", LEASE_TTL_MS, 2, 10_000);
    assert!(!election.may_campaign(10_000 + LEASE_TTL_MS));
    assert!(election.may_campaign(10_000 + LEASE_TTL_MS + 10));
    election = Election::new("b", LEASE_TTL_MS, 2, 10_000);
    election.clear_earlier_pledges();
    assert!(election.may_campaign(10_000), "no leader relied on the earlier pledges");
}

#[test]
fn late_release_of_an_earlier_pledge_keeps_the_later_one() {
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
fn leadership_is_not_yielded_again_within_twice_the_pause() {
    let mut election = election_led_by_a(2);
    assert!(election.may_yield_leadership(1000, 20_000));
    assert!(!election.may_yield_leadership(30_000, 20_000));
    assert!(election.may_yield_leadership(50_000, 20_000));
    assert!(!election_led_by_a(0).may_yield_leadership(1000, 20_000), "there is no other node");
}

// Guards against answers from outdated state. A leader was partitioned off; its successor reported a
// job as done and failed during an outage of the state service. The other controllers then gave
// pledges to the first leader again.
#[test]
fn pledges_do_not_restore_a_lapsed_leader_lease() {
    let mut election = election_led_by_a(2);
    let end = election.lease_valid_until();
    let receive_both_pledges = |election: &mut Election, sent: u64| {
        election.pledge_received(0, sent, sent + 1);
        election.pledge_received(1, sent, sent + 1);
    };
    receive_both_pledges(&mut election, end - 100);
    assert!(election.lease_valid_until() > end, "pledges prolong a valid lease");
    let end = election.lease_valid_until();
    receive_both_pledges(&mut election, end + 5);
    receive_both_pledges(&mut election, end + 500);
    assert!(election.lease_valid_until() <= end, "another node may have led the partition since and ended");
    // A renewal whose answer comes after its expiry does not show that the lease still exists.
    election.lease_renewed(1, end + 500, end + 500 + LEASE_TTL_MS);
    receive_both_pledges(&mut election, end + 600 + LEASE_TTL_MS);
    assert!(election.lease_valid_until() < end + 600 + LEASE_TTL_MS);
    election.lease_renewed(1, end + 4 * LEASE_TTL_MS, end + 4 * LEASE_TTL_MS + 5);
    receive_both_pledges(&mut election, end + 5 * LEASE_TTL_MS - 10);
    assert!(
        election.lease_valid_until() > end + 5 * LEASE_TTL_MS,
        "the lease still exists, so no other node has led since"
    );
}

#[test]
fn pledge_is_refused_to_a_leader_that_has_a_successor() {
    let mut election = Election::new("c", LEASE_TTL_MS, 2, 0);
    election.record = Some(PartitionRecord { leader: "b".into(), fencing_token: FencingToken(8), lease_id: 2 });
    assert!(!election.pledge(1000, &pledge_request("a", 7, false), false));
    assert!(election.pledge(1000, &pledge_request("b", 7, false), false), "the same leader has raised its token since");
    assert!(election.pledge(1000, &pledge_request("a", 9, false), false));
}

// Controllers of an earlier version read and write the same records, so keys and field names in the
// state service must not follow a rename in the code.
#[test]
fn stored_records_keep_their_key_and_field_names() {
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

// Guards against the expiry of all worker leases when two controllers fail in turn: the workers first
// tried the controller that had failed before, and their leases expired meanwhile.
#[test]
fn controller_that_workers_try_next_takes_over_first() {
    let order_of = |own: &str| FailoverOrder::new(own, ["a", "b", "c"].into_iter().filter(|node| *node != own));
    for (lost, first, second) in [("a", "b", "c"), ("b", "c", "a"), ("c", "a", "b")] {
        assert_eq!(order_of(first).nodes_before(lost), 0, "{first} after {lost}");
        assert_eq!(order_of(second).nodes_before(lost), 1, "{second} after {lost}");
    }
    assert_eq!(order_of("a").nodes_before("unknown"), 0);
}

/// Answers of a state service in which these keys have these values.
async fn state_service(values: &'static [(&'static str, &'static str)]) -> StateStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = settings();
    settings.endpoints.state = listener.local_addr().unwrap();
    let answer = move |request: Request| {
        let key = request.path.strip_prefix("/store/").unwrap_or_default();
        match values.iter().find(|(known, _)| *known == key) {
            Some((_, value)) => {
                let body = format!(r#"{{"path": "{key}", "data": {value}, "stamp": 3}}"#);
                Response { body: body.into_bytes(), ..Response::json(200, &0) }
            }
            None => Response::json(404, &json!({"epoch": 9})),
        }
    };
    task::spawn(http::serve(listener, 10, Duration::from_secs(5), move |request| {
        let response = answer(request);
        async move { response }
    }));
    StateStore::new(&settings)
}

/// Returns what a node finds after its start about pledges from before.
async fn earlier_pledges(values: &'static [(&'static str, &'static str)]) -> EarlierPledges {
    let (election, mut messages) = mpsc::channel(8);
    let parameters = CampaignParameters { partition: 0, node: "a".into(), leader_lease_ttl_ms: LEASE_TTL_MS };
    check_earlier_pledges(state_service(values).await, parameters, election).await;
    loop {
        if let ElectionMessage::StartupRead(earlier_pledges) = messages.recv().await.unwrap() {
            return earlier_pledges;
        }
    }
}

// Guards against a node that considers itself free of its pledges, and may so depose a leader that relies on them,
// because a record that it cannot read counts as absent.
#[tokio::test]
async fn a_record_that_cannot_be_read_does_not_release_earlier_pledges() {
    let damaged: [&'static [(&str, &str)]; 3] = [
        &[("part/0", r#"{"holder": 3}"#)],
        &[("part/0", r#"{"holder": 3}"#), ("term", r#"{"n": 4, "start_ms": 1, "holders": {"0": "a"}}"#)],
        &[("term", r#"{"n": "four"}"#)],
    ];
    for values in damaged {
        let found = earlier_pledges(values).await;
        assert!(matches!(found, EarlierPledges::MayBind { record: None }), "{values:?}: {found:?}");
    }
    for absent in [&[][..], &[("term", r#"{"n": 4, "start_ms": 1, "holders": {"0": "a"}}"#)][..]] {
        assert!(matches!(earlier_pledges(absent).await, EarlierPledges::NoneBinding), "{absent:?}");
    }
}

#[test]
fn ranges_of_tokens_do_not_overlap_with_tokens_of_the_version_in_production() {
    let first = FencingTokenRange::following(FencingToken::NONE);
    let single = first.last.successor();
    let next = FencingTokenRange::following(single);
    assert_eq!(first.first, FencingToken::FIRST);
    assert!(first.last < single && single < next.first && next.first < next.last);
    for range in [first, next] {
        assert_eq!(FencingTokenRange::ending_at(range.last), range);
        assert!(range.first < range.renewal_threshold() && range.renewal_threshold() < range.last);
    }
}
