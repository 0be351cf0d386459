//! Tests of the cache of ended jobs. A status that may still change must not be remembered, as it would
//! be answered after the job has changed.

use super::*;
use crate::model::JobPhase;

/// Capacity of the caches in these tests.
const MAX_ENDS: usize = 100;

const DONE: EndedJob = EndedJob { end: JobEnd::Done, done: 3 };

fn answer(status: u16, phase: JobPhase) -> Response {
    Response::json(status, &wire::job_answer("a", phase, 3, 0))
}

#[test]
fn answers_of_a_leader_without_an_end_are_not_remembered() {
    let ended = EndedJobs::new(MAX_ENDS);
    ended.insert_stated("a", &answer(200, JobPhase::Pending));
    ended.insert_stated("a", &answer(200, JobPhase::Running));
    ended.insert_stated("a", &answer(503, JobPhase::Done));
    ended.insert_stated("a", &Response::error(404, "no such job"));
    assert_eq!(ended.get("a"), None);
    ended.insert_stated("a", &answer(200, JobPhase::Done));
    assert_eq!(ended.get("a"), Some(DONE));
    ended.insert_stated("b", &answer(200, JobPhase::Cancelled));
    assert_eq!(ended.get("b"), Some(EndedJob { end: JobEnd::Cancelled, done: 3 }));
}

#[test]
fn remembered_end_is_not_replaced() {
    let ended = EndedJobs::new(MAX_ENDS);
    ended.insert("a", DONE);
    ended.insert("a", EndedJob { done: 2, ..DONE });
    assert_eq!(ended.get("a"), Some(DONE));
}

#[test]
fn oldest_end_is_evicted_when_the_cache_is_full() {
    let ended = EndedJobs::new(MAX_ENDS);
    for number in 0..=MAX_ENDS {
        ended.insert(&number.to_string(), DONE);
    }
    assert_eq!(ended.ends.lock().unwrap().by_id.len(), MAX_ENDS);
    assert_eq!(ended.get("0"), None);
    assert_eq!(ended.get("1"), Some(DONE));
    assert_eq!(ended.get(&MAX_ENDS.to_string()), Some(DONE));
}
