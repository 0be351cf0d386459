//! Tests of claims of slots, and of the orders that follow.

use super::*;

#[test]
fn a_claimed_slot_of_a_pool_is_replaced() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.rounds(1);
    assert!(harness.attached_slot(&job).is_some(), "the task starts with a loaded model at once");
    harness.rounds(8);
    assert_eq!((harness.idle_slots(), harness.claimed_slots(), harness.running_attempts(&job)), (POOL_SIZE, 1, 1));
}

#[test]
fn without_pools_no_record_is_written_and_no_slot_is_ordered() {
    let mut harness = Harness::cold(3, "loaded");
    harness.pools.pools.clear();
    harness.fail_over();
    let job = harness.submit("blue", "notes");
    harness.rounds(10);
    assert_eq!((harness.loads, harness.running_attempts(&job)), (0, 1));
    assert!(!harness.store.keys().any(|key| key.starts_with("pool/")));
}

// The claim must be recorded before the order, so that a new leader does not give the replica away again.
#[test]
fn a_task_is_not_ordered_before_its_claim_is_recorded() {
    let mut harness = Harness::new(2);
    let job = harness.submit("blue", "notes");
    harness.schedule();
    harness.dispatch();
    harness.now += ROUND_MS;
    for id in ["h0", "h1"] {
        harness.heartbeat(id);
    }
    harness.dispatch();
    assert_eq!((harness.running_attempts(&job), harness.claimed_slots()), (0, 0));
    harness.round();
    assert_eq!((harness.running_attempts(&job), harness.claimed_slots()), (1, 1));
}

#[test]
fn the_more_urgent_of_two_jobs_gets_the_last_replica_and_the_other_starts_cold() {
    let mut harness = Harness::new(3);
    let first = harness.submit("red", "notes");
    harness.rounds(1);
    assert!(harness.attached_slot(&first).is_some());
    // One replica is left for two jobs, the later of which is more urgent.
    let ordinary = harness.submit("red", "notes");
    let urgent = harness.submit("blue", "notes");
    let index = harness.partition.cluster.job_index[&urgent];
    harness.partition.cluster.jobs[index].urgency = crate::model::Urgency::High;
    harness.rounds(1);
    assert!(harness.attached_slot(&urgent).is_some());
    assert_eq!(
        (harness.running_attempts(&ordinary), harness.attached_slot(&ordinary)),
        (1, None),
        "the job is placed as usual at once"
    );
}

// A pool must not let a team exceed its limit.
#[test]
fn a_claim_counts_against_the_limit_of_its_team() {
    let mut harness = Harness::new(3);
    harness.partition.policy.teams.get_mut("blue").unwrap().limit.gpus = 1.0;
    let jobs = [harness.submit("blue", "notes"), harness.submit("blue", "notes")];
    harness.rounds(6);
    assert_eq!(jobs.iter().map(|job| harness.running_attempts(job)).sum::<usize>(), 1);
    assert_eq!(harness.idle_slots(), POOL_SIZE);
}

#[test]
fn a_claim_with_an_indeterminate_commit_is_ordered_exactly_once() {
    for commits in [CommitBehaviour::CommittedUnanswered, CommitBehaviour::Late] {
        let mut harness = Harness::new(3);
        let job = harness.submit("blue", "notes");
        harness.commits = commits;
        harness.round();
        assert_eq!(
            harness.running_attempts(&job),
            usize::from(commits == CommitBehaviour::CommittedUnanswered && harness.claimed_slots() == 1)
        );
        harness.commits = CommitBehaviour::Committed;
        // The late commit is applied before the next one.
        for late in std::mem::take(&mut harness.late) {
            harness.apply_commit(&late);
        }
        harness.rounds(10);
        assert_eq!((harness.running_attempts(&job), harness.idle_slots()), (1, POOL_SIZE), "{commits:?}");
        let loaded_slots: Vec<u64> = harness.workers.values().flat_map(|worker| worker.slots.keys().copied()).collect();
        assert_eq!(loaded_slots.len(), POOL_SIZE, "no superfluous slot stays loaded");
    }
}

// In an outage longer than a lease, waiting jobs are placed as usual. The pools are maintained again afterwards.
#[test]
fn without_the_state_service_jobs_are_placed_as_usual() {
    let mut harness = Harness::new(3);
    let claimed_before = harness.submit("blue", "notes");
    harness.schedule();
    harness.commits = CommitBehaviour::Refused;
    harness.partition.conditions.reservations_recordable = false;
    let job = harness.submit("red", "notes");
    harness.rounds(1);
    assert_eq!(harness.running_attempts(&job), 1, "the job does not wait for a claim that can't be recorded");
    harness.rounds(2 * LEASE_MS as usize / ROUND_MS as usize);
    assert_eq!((harness.running_attempts(&claimed_before), harness.running_attempts(&job)), (1, 1));
    assert_eq!((harness.attached_slot(&claimed_before), harness.attached_slot(&job)), (None, None));
    harness.commits = CommitBehaviour::Committed;
    harness.rounds(8);
    assert_eq!(harness.idle_slots(), POOL_SIZE);
}

#[test]
fn the_end_of_a_task_ends_its_claim_and_its_charges() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.rounds(2);
    let (tx, _rx) = oneshot::channel();
    harness.partition.cancel(&job, harness.now, true, tx);
    harness.rounds(6);
    assert_eq!((harness.claimed_slots(), harness.running_attempts(&job), harness.idle_slots()), (0, 0, POOL_SIZE));
    let (idle, claimed) = harness.billed_ms("blue");
    assert!(idle == 0 && claimed > 0 && claimed <= 8 * ROUND_MS, "{claimed} ms");
    assert!(harness.billed_ms("red").0 > 0 && harness.billed_ms("red").1 == 0);
}
