//! Who is given a replica, and when its task is ordered.

use super::*;

#[test]
fn a_pool_fills_is_claimed_and_is_filled_again() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(1);
    assert!(rig.attached(&job).is_some(), "it runs with a loaded model at once");
    rig.rounds(8);
    assert_eq!((rig.idle(), rig.claimed(), rig.runs(&job)), (POOL_SIZE, 1, 1));
}

#[test]
fn without_pools_no_record_is_written_and_no_slot_is_ordered() {
    let mut rig = Rig::cold(3, "loaded");
    rig.pools.pools.clear();
    rig.take_over();
    let job = rig.submit("blue", "notes");
    rig.rounds(10);
    assert_eq!((rig.loads, rig.runs(&job)), (0, 1));
    assert!(!rig.store.keys().any(|key| key.starts_with("pool/")));
}

// The claim is recorded before the order: a successor must not give the replica away again.
#[test]
fn nothing_is_ordered_before_the_claim_is_recorded() {
    let mut rig = Rig::new(2);
    let job = rig.submit("blue", "notes");
    rig.schedule();
    rig.dispatch();
    rig.now += ROUND_MS;
    for id in ["h0", "h1"] {
        rig.heartbeat(id);
    }
    rig.dispatch();
    assert_eq!((rig.runs(&job), rig.claimed()), (0, 0));
    rig.round();
    assert_eq!((rig.runs(&job), rig.claimed()), (1, 1));
}

#[test]
fn two_teams_that_want_the_last_replica_get_it_in_the_order_of_the_pass_and_the_other_a_place() {
    let mut rig = Rig::new(3);
    let first = rig.submit("red", "notes");
    rig.rounds(1);
    assert!(rig.attached(&first).is_some());
    // One is left, and two want it; the later one is more urgent.
    let ordinary = rig.submit("red", "notes");
    let urgent = rig.submit("blue", "notes");
    let index = rig.partition.cluster.job_index[&urgent];
    rig.partition.cluster.jobs[index].urgency = crate::model::Urgency::High;
    rig.rounds(1);
    assert!(rig.attached(&urgent).is_some());
    assert_eq!((rig.runs(&ordinary), rig.attached(&ordinary)), (1, None), "placed as usual, at once");
}

// A team at its limit gets no more by a pool, idle or not.
#[test]
fn a_claim_counts_against_the_limit_of_its_team() {
    let mut rig = Rig::new(3);
    rig.partition.policy.teams.get_mut("blue").unwrap().limit.gpus = 1.0;
    let jobs = [rig.submit("blue", "notes"), rig.submit("blue", "notes")];
    rig.rounds(6);
    assert_eq!(jobs.iter().map(|job| rig.runs(job)).sum::<usize>(), 1);
    assert_eq!(rig.idle(), POOL_SIZE);
}

#[test]
fn a_claim_whose_commit_has_no_answer_is_ordered_once_whatever_became_of_it() {
    for commits in [Commits::MadeWithoutAnswer, Commits::Late] {
        let mut rig = Rig::new(3);
        let job = rig.submit("blue", "notes");
        rig.commits = commits;
        rig.round();
        assert_eq!(rig.runs(&job), usize::from(commits == Commits::MadeWithoutAnswer && rig.claimed() == 1));
        rig.commits = Commits::Made;
        // The late one comes before or with the next.
        for late in std::mem::take(&mut rig.late) {
            rig.make(&late);
        }
        rig.rounds(10);
        assert_eq!((rig.runs(&job), rig.idle()), (1, POOL_SIZE), "{commits:?}");
        let told: Vec<u64> = rig.workers.values().flat_map(|worker| worker.slots.keys().copied()).collect();
        assert_eq!(told.len(), POOL_SIZE, "no slot is left behind");
    }
}

// An outage for longer than a lease: what waits is placed as usual, and pools go on after it.
#[test]
fn without_the_state_service_jobs_are_placed_as_usual() {
    let mut rig = Rig::new(3);
    let claimed_before = rig.submit("blue", "notes");
    rig.schedule();
    rig.commits = Commits::Refused;
    rig.partition.reservations_recordable = false;
    let job = rig.submit("red", "notes");
    rig.rounds(1);
    assert_eq!(rig.runs(&job), 1, "it does not wait for a claim that can't be recorded");
    rig.rounds(2 * LEASE as usize / ROUND_MS as usize);
    assert_eq!((rig.runs(&claimed_before), rig.runs(&job)), (1, 1));
    assert_eq!((rig.attached(&claimed_before), rig.attached(&job)), (None, None));
    rig.commits = Commits::Made;
    rig.rounds(8);
    assert_eq!(rig.idle(), POOL_SIZE);
}

#[test]
fn a_task_that_ends_ends_its_claim_and_its_charges() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(2);
    let (tx, _rx) = oneshot::channel();
    rig.partition.cancel(&job, rig.now, true, tx);
    rig.rounds(6);
    assert_eq!((rig.claimed(), rig.runs(&job), rig.idle()), (0, 0, POOL_SIZE));
    let (idle, claimed) = rig.billed("blue");
    assert!(idle == 0 && claimed > 0 && claimed <= 8 * ROUND_MS, "{claimed} ms");
    assert!(rig.billed("red").0 > 0 && rig.billed("red").1 == 0);
}
