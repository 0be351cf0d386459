//! States of the tasks of a job, in memory that follows the tasks that run.

use super::{ClusterState, HostIndex, JobIndex, Place, Task, TaskAttempt, TaskKey};
use roaring::RoaringBitmap;

/// Number of newly done tasks after which the set of done tasks is compressed again.
const TASKS_PER_COMPRESSION: u64 = 256;

/// State of a task that was never started.
const UNTOUCHED: Task = Task { place: Place::Idle, located_by_leader: false, failures: 0, retry_after_ms: 0 };
/// State of a task that this leader has located, that is on no machine now and that never failed.
const LOCATED: Task = Task { located_by_leader: true, ..UNTOUCHED };
/// State of a task that is done.
const DONE: Task = Task { place: Place::Done, located_by_leader: true, failures: 0, retry_after_ms: 0 };

/// State of each task of a job, by its number.
///
/// Users submit arrays of many more tasks than run at a time. A task that was never started takes no memory, and one
/// that is done, or that was stopped and is idle again, at most two bits; ranges of such tasks take a few bytes. Only
/// tasks that are on a machine or have failed are stored one by one.
///
/// Invariant: a task is in at most one of `done`, `located` and `tracked`; in none of them if it was never started or,
/// once the job has ended, if it is on no machine.
#[derive(Debug, Clone)]
pub struct JobTasks {
    count: u32,
    /// True once the job has ended. No task may be started any more, and those in none of the sets count as done.
    retired: bool,
    /// Tasks in the state [`DONE`].
    done: RoaringBitmap,
    /// Tasks in the state [`LOCATED`].
    located: RoaringBitmap,
    /// All other tasks, in ascending order of their numbers.
    tracked: Vec<TrackedTask>,
}

/// A task that is on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedTask {
    /// Number of the task in its job.
    pub number: u32,
    /// Machine that the task is on.
    pub host: HostIndex,
    /// Number of the attempt that holds the place of the task.
    pub attempt: u64,
}

impl PlacedTask {
    /// Returns the attempt that holds the place of this task of the job; `None` if the machine no longer has it.
    pub fn attempt_in(self, cluster: &ClusterState, job: JobIndex) -> Option<&TaskAttempt> {
        let key = TaskKey { job, task: self.number };
        let attempts = &cluster.host(self.host)?.attempts;
        attempts.iter().find(|attempt| attempt.key == key && attempt.attempt == self.attempt)
    }
}

/// A task whose state is stored by itself.
#[derive(Debug, Clone, Copy)]
struct TrackedTask {
    number: u32,
    task: Task,
}

impl JobTasks {
    /// Creates `count` tasks that were never started.
    pub fn new(count: u32) -> JobTasks {
        JobTasks {
            count,
            retired: false,
            done: RoaringBitmap::new(),
            located: RoaringBitmap::new(),
            tracked: Vec::new(),
        }
    }

    /// Returns the state of a task. A task that is done counts as located and without failures.
    pub fn get(&self, number: u32) -> Task {
        match self.position(number) {
            Ok(position) => self.tracked[position].task,
            Err(_) if self.done.contains(number) => DONE,
            Err(_) if self.located.contains(number) => LOCATED,
            Err(_) => self.common_state(),
        }
    }

    /// Changes the state of a task, and returns what `change` returns. Of a task that is done, only that is kept.
    pub fn update<T>(&mut self, number: u32, change: impl FnOnce(&mut Task) -> T) -> T {
        let before = self.get(number);
        let mut task = before;
        let result = change(&mut task);
        if task != before {
            self.replace(number, task);
        }
        result
    }

    /// Marks the tasks of the range from `first` to before `end` as done. Returns how many were not done before.
    pub fn complete(&mut self, first: u32, end: u32) -> u32 {
        let range = first..end.min(self.count);
        if range.len() <= 1 || self.retired {
            let is_newly_done = |task: &mut Task| std::mem::replace(&mut task.place, Place::Done) != Place::Done;
            return range.map(|number| u32::from(self.update(number, is_newly_done))).sum();
        }
        self.located.remove_range(range.clone());
        self.tracked.retain(|tracked| !range.contains(&tracked.number));
        self.release_unused_capacity();
        self.change_done(|done| done.insert_range(range) as u32)
    }

    /// Returns the numbers of the done tasks as ordered ranges of the first number and one past the last. The ranges
    /// are forgotten with the end of the job.
    pub fn done_ranges(&self) -> Vec<(u32, u32)> {
        let mut done = self.done.iter();
        let ranges = std::iter::from_fn(|| done.next_range());
        ranges.map(|range| (*range.start(), *range.end() + 1)).collect()
    }

    /// Returns the tasks that are on a machine, in ascending order of their numbers.
    pub fn on_hosts(&self) -> impl Iterator<Item = PlacedTask> {
        self.tracked.iter().filter_map(|tracked| match tracked.task.place {
            Place::OnHost(host, attempt) => Some(PlacedTask { number: tracked.number, host, attempt }),
            Place::Idle | Place::Done => None,
        })
    }

    /// Returns the number of tasks whose state meets the condition.
    pub fn count(&self, condition: impl Fn(&Task) -> bool) -> u32 {
        self.groups().filter(|(task, _)| condition(task)).map(|(_, tasks)| tasks).sum()
    }

    /// Returns whether the state of any task meets the condition.
    pub fn any(&self, condition: impl Fn(&Task) -> bool) -> bool {
        self.groups().any(|(task, _)| condition(&task))
    }

    /// Returns whether the states of all tasks meet the condition.
    pub fn all(&self, condition: impl Fn(&Task) -> bool) -> bool {
        self.groups().all(|(task, _)| condition(&task))
    }

    /// Returns the number of the first task, from `first` on, whose state meets the condition.
    pub fn next(&self, first: u32, condition: impl Fn(&Task) -> bool) -> Option<u32> {
        let mut tracked = self.tracked[self.first_tracked(first)..].iter().peekable();
        let mut number = first;
        while number < self.count {
            let (task, end) = match tracked.next_if(|tracked| tracked.number == number) {
                Some(tracked) => (tracked.task, number + 1),
                None => self.equal_tasks(number, tracked.peek().map_or(self.count, |tracked| tracked.number)),
            };
            if condition(&task) {
                return Some(number);
            }
            number = end;
        }
        None
    }

    /// Forgets the tasks that are on no machine, as the job has ended. They count as done from now on.
    pub fn retire(&mut self) {
        self.retired = true;
        self.done = RoaringBitmap::new();
        self.located = RoaringBitmap::new();
        self.tracked.retain(|tracked| matches!(tracked.task.place, Place::OnHost(..)));
        self.tracked.shrink_to_fit();
    }

    /// Returns the state of the tasks that are in none of the sets.
    fn common_state(&self) -> Task {
        if self.retired { DONE } else { UNTOUCHED }
    }

    /// Returns the state of the task `number`, which is not tracked, and the end of a range of tasks that begins with
    /// it and that all have this state. No task before `next_tracked` is tracked.
    fn equal_tasks(&self, number: u32, next_tracked: u32) -> (Task, u32) {
        let in_set = |set: &RoaringBitmap| {
            let range = set.range(number..next_tracked).next_range();
            range.map_or(next_tracked..next_tracked, |range| *range.start()..*range.end() + 1)
        };
        let (done, located) = (in_set(&self.done), in_set(&self.located));
        if done.contains(&number) {
            (DONE, done.end)
        } else if located.contains(&number) {
            (LOCATED, located.end)
        } else {
            (self.common_state(), done.start.min(located.start))
        }
    }

    /// Returns each state that tasks have, with the number of such tasks; a state may occur several times.
    fn groups(&self) -> impl Iterator<Item = (Task, u32)> {
        let (done, located) = (self.done.len() as u32, self.located.len() as u32);
        let others = self.count - done - located - self.tracked.len() as u32;
        let equal = [(DONE, done), (LOCATED, located), (self.common_state(), others)];
        let equal = equal.into_iter().filter(|(_, tasks)| *tasks > 0);
        equal.chain(self.tracked.iter().map(|tracked| (tracked.task, 1)))
    }

    /// Moves a task to the set of the state `after`.
    fn replace(&mut self, number: u32, after: Task) {
        let after = if after.place == Place::Done { DONE } else { after };
        if after != LOCATED {
            self.located.remove(number);
        }
        if after != DONE {
            self.done.remove(number);
        }
        if after == self.common_state() {
            self.untrack(number);
        } else if after == DONE {
            self.untrack(number);
            self.change_done(|done| u32::from(done.insert(number)));
        } else if after == LOCATED {
            self.untrack(number);
            self.located.insert(number);
        } else {
            self.track(TrackedTask { number, task: after });
        }
    }

    /// Adds tasks to those that are done, and compresses the set from time to time, which needs a look at all of it.
    /// `add` returns the number of added tasks, as this function does.
    fn change_done(&mut self, add: impl FnOnce(&mut RoaringBitmap) -> u32) -> u32 {
        let before = self.done.len();
        let added = add(&mut self.done);
        if before / TASKS_PER_COMPRESSION != self.done.len() / TASKS_PER_COMPRESSION {
            self.done.optimize();
        }
        added
    }

    fn position(&self, number: u32) -> Result<usize, usize> {
        self.tracked.binary_search_by_key(&number, |tracked| tracked.number)
    }

    /// Returns the position of the first tracked task with this number or a higher one.
    fn first_tracked(&self, number: u32) -> usize {
        self.tracked.partition_point(|tracked| tracked.number < number)
    }

    fn track(&mut self, tracked: TrackedTask) {
        match self.position(tracked.number) {
            Ok(position) => self.tracked[position] = tracked,
            Err(position) => {
                if self.tracked.is_empty() {
                    // Most jobs have a single task.
                    self.tracked.reserve_exact(1);
                }
                self.tracked.insert(position, tracked);
            }
        }
    }

    fn untrack(&mut self, number: u32) {
        if let Ok(position) = self.position(number) {
            self.tracked.remove(position);
            self.release_unused_capacity();
        }
    }

    /// Frees memory after many tracked tasks were removed.
    fn release_unused_capacity(&mut self) {
        if self.tracked.len() < self.tracked.capacity() / 4 {
            self.tracked.shrink_to(2 * self.tracked.len());
        }
    }
}

#[cfg(test)]
mod tests;
