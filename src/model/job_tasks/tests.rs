//! Tests of the states of tasks, against a plain list of states.

use super::*;
use proptest::prelude::*;

const TASKS: u32 = 700;

/// A change of one task or of a range of tasks.
#[derive(Debug, Clone)]
enum Change {
    Start { number: u32, host: HostIndex },
    Locate(u32),
    Stop(u32),
    Fail(u32),
    Complete { first: u32, end: u32 },
}

fn any_change() -> impl Strategy<Value = Change> {
    // A few numbers occur often, so that tasks go through several changes.
    let number = || prop_oneof![0..8u32, 0..TASKS];
    prop_oneof![
        (number(), 0..4usize).prop_map(|(number, host)| Change::Start { number, host }),
        number().prop_map(Change::Locate),
        number().prop_map(Change::Stop),
        number().prop_map(Change::Fail),
        (number(), 0..3u32).prop_map(|(first, tasks)| Change::Complete { first, end: first + tasks }),
        (number(), 0..TASKS).prop_map(|(first, tasks)| Change::Complete { first, end: first + tasks }),
    ]
}

/// Makes the change in the list and in the compact form.
fn apply(change: &Change, list: &mut [Task], tasks: &mut JobTasks) {
    let mut update = |number: u32, change: &dyn Fn(&mut Task)| {
        // No attempt of a done task changes its state.
        if list[number as usize] != DONE {
            change(&mut list[number as usize]);
            tasks.update(number, change);
        }
    };
    match *change {
        Change::Start { number, host } => update(number, &|task| {
            (task.place, task.located_by_leader) = (Place::OnHost(host, 7), true);
        }),
        Change::Locate(number) => update(number, &|task| task.located_by_leader = true),
        Change::Stop(number) => update(number, &|task| task.place = Place::Idle),
        Change::Fail(number) => update(number, &|task| {
            (task.place, task.failures, task.retry_after_ms) = (Place::Idle, task.failures + 1, 900);
        }),
        Change::Complete { first, end } => {
            let range = first as usize..(end as usize).min(list.len()).max(first as usize);
            let newly_done = list[range.clone()].iter().filter(|task| **task != DONE).count();
            list[range].fill(DONE);
            assert_eq!(tasks.complete(first, end), newly_done as u32);
        }
    }
}

/// Fails unless all ways to read the tasks agree with the list.
fn check(list: &[Task], tasks: &JobTasks) {
    let states: Vec<Task> = (0..TASKS).map(|number| tasks.get(number)).collect();
    assert_eq!(states, list);
    let is_done = |task: &Task| task.place == Place::Done;
    let conditions: [&dyn Fn(&Task) -> bool; 5] = [
        &is_done,
        &|task| task.place == Place::Idle,
        &|task| task.place == Place::Idle && task.located_by_leader,
        &|task| task.failures == 0 && task.retry_after_ms == 0,
        &|task| matches!(task.place, Place::OnHost(..)),
    ];
    for condition in conditions {
        let expected: Vec<u32> = (0..TASKS).filter(|number| condition(&list[*number as usize])).collect();
        assert_eq!(tasks.count(condition), expected.len() as u32);
        assert_eq!(tasks.any(condition), !expected.is_empty());
        assert_eq!(tasks.all(condition), expected.len() as u32 == TASKS);
        let next = |last: &u32| tasks.next(last + 1, condition);
        let found: Vec<u32> = std::iter::successors(tasks.next(0, condition), next).collect();
        assert_eq!(found, expected);
    }
    let on_hosts = (0..TASKS).filter_map(|number| match list[number as usize].place {
        Place::OnHost(host, attempt) => Some(PlacedTask { number, host, attempt }),
        Place::Idle | Place::Done => None,
    });
    assert_eq!(tasks.on_hosts().collect::<Vec<_>>(), on_hosts.collect::<Vec<_>>());
}

/// Fails unless the ranges of done tasks are those of the list, as few as possible and in order.
fn check_done_ranges(list: &[Task], tasks: &JobTasks) {
    let ranges = tasks.done_ranges();
    let in_ranges: Vec<u32> = ranges.iter().flat_map(|range| range.0..range.1).collect();
    assert_eq!(in_ranges, (0..TASKS).filter(|number| list[*number as usize] == DONE).collect::<Vec<_>>());
    assert!(ranges.windows(2).all(|pair| pair[0].1 < pair[1].0), "ranges are ordered and do not touch: {ranges:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]
    // Guards against a task that is lost, counted twice or shown in another state by one of the sets.
    #[test]
    fn tasks_have_the_states_that_a_list_of_all_tasks_has(changes in prop::collection::vec(any_change(), 1..120)) {
        let mut list = vec![UNTOUCHED; TASKS as usize];
        let mut tasks = JobTasks::new(TASKS);
        for change in &changes {
            apply(change, &mut list, &mut tasks);
        }
        check(&list, &tasks);
        check_done_ranges(&list, &tasks);
        // After the end of the job only the tasks that are on machines matter.
        tasks.retire();
        list.iter_mut().filter(|task| !matches!(task.place, Place::OnHost(..))).for_each(|task| *task = DONE);
        check(&list, &tasks);
        // What is still reported of the ended job.
        for change in &changes {
            apply(change, &mut list, &mut tasks);
        }
        check(&list, &tasks);
    }
}
