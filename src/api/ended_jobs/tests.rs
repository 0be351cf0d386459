use super::*;
use crate::model::JobPhase;

/// Ends that are remembered in these tests.
const MOST: usize = 100;

const DONE: EndedJob = EndedJob { end: JobEnd::Done, done: 3 };

fn answer(status: u16, phase: JobPhase) -> Response {
    Response::json(status, &wire::job_answer("a", phase, 3, 0))
}

#[test]
fn only_ends_stated_by_a_leader_are_remembered() {
    let ended = EndedJobs::new(MOST);
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
fn a_remembered_end_is_not_replaced() {
    let ended = EndedJobs::new(MOST);
    ended.insert("a", DONE);
    ended.insert("a", EndedJob { done: 2, ..DONE });
    assert_eq!(ended.get("a"), Some(DONE));
}

#[test]
fn the_oldest_end_is_evicted_first() {
    let ended = EndedJobs::new(MOST);
    for n in 0..=MOST {
        ended.insert(&n.to_string(), DONE);
    }
    assert_eq!(ended.ends.lock().unwrap().by_id.len(), MOST);
    assert_eq!(ended.get("0"), None);
    assert_eq!(ended.get("1"), Some(DONE));
    assert_eq!(ended.get(&MOST.to_string()), Some(DONE));
}
