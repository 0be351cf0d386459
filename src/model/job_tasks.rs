//! States of the tasks of a job, in memory that follows the tasks that run.

use super::{ClusterState, HostIndex, JobIndex, Place, Task, TaskAttempt, TaskKey};
use roaring::RoaringBitmap;

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
/// tasks that are on a machine or have failed are stored one by one, and as many others at most, which move to the sets
/// together.
///
/// Invariant: a task is in at most one of `done`, `located` and `tracked`; in none of them if it was never started or,
/// once the job has ended, if it is on no machine.
#[derive(Debug, Clone)]
pub struct JobTasks {
    count: u32,
    /// True once the job has ended. No task may be started any more, and those in none of the sets count as done.
    retired: bool,
    /// Number of tracked tasks whose state a set can hold.
    settled: u32,
    /// Tasks in the state [`DONE`].
    done: RoaringBitmap,
    /// Tasks in the state [`LOCATED`].
    located: RoaringBitmap,
    /// All other tasks that were started, in ascending order of their numbers.
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
            settled: 0,
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
        let before = self.count(|task| task.place == Place::Done);
        self.located.remove_range(range.clone());
        self.tracked.retain(|tracked| !range.contains(&tracked.number));
        self.done.insert_range(range);
        self.move_settled_to_sets();
        self.count(|task| task.place == Place::Done) - before
    }

    /// Returns the numbers of the done tasks as ordered ranges of the first number and one past the last. The ranges
    /// are forgotten with the end of the job.
    pub fn done_ranges(&self) -> Vec<(u32, u32)> {
        let mut done = self.done.clone();
        done.extend(self.tracked.iter().filter(|tracked| tracked.task == DONE).map(|tracked| tracked.number));
        let mut done = done.iter();
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
        let in_sets: u32 =
            self.equal_groups().iter().map(|(task, tasks)| if condition(task) { *tasks } else { 0 }).sum();
        in_sets + self.tracked.iter().filter(|tracked| condition(&tracked.task)).count() as u32
    }

    /// Returns whether the state of any task meets the condition.
    pub fn any(&self, condition: impl Fn(&Task) -> bool) -> bool {
        self.equal_groups().iter().any(|(task, tasks)| *tasks > 0 && condition(task))
            || self.tracked.iter().any(|tracked| condition(&tracked.task))
    }

    /// Returns whether the states of all tasks meet the condition.
    pub fn all(&self, condition: impl Fn(&Task) -> bool) -> bool {
        !self.any(|task| !condition(task))
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
        self.settled = 0;
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

    /// Returns the states of the tasks that are not tracked, with the number of tasks in each.
    fn equal_groups(&self) -> [(Task, u32); 3] {
        let (done, located) = (self.done.len() as u32, self.located.len() as u32);
        let others = self.count - done - located - self.tracked.len() as u32;
        [(self.common_state(), others), (LOCATED, located), (DONE, done)]
    }

    /// Stores the new state of a task.
    fn replace(&mut self, number: u32, after: Task) {
        let after = if after.place == Place::Done { DONE } else { after };
        match self.position(number) {
            Ok(position) => {
                let before = std::mem::replace(&mut self.tracked[position].task, after);
                self.settled = self.settled + u32::from(is_settled(&after)) - u32::from(is_settled(&before));
            }
            Err(position) => {
                self.done.remove(number);
                self.located.remove(number);
                self.settled += u32::from(is_settled(&after));
                if self.tracked.is_empty() {
                    // Most jobs have a single task.
                    self.tracked.reserve_exact(1);
                }
                self.tracked.insert(position, TrackedTask { number, task: after });
            }
        }
        if 2 * self.settled as usize > self.tracked.len() {
            self.move_settled_to_sets();
        }
    }

    /// Moves the tracked tasks whose state a set can hold there, and frees memory that is no longer needed.
    fn move_settled_to_sets(&mut self) {
        if self.settled > 0 {
            let common_state = self.common_state();
            for tracked in self.tracked.extract_if(.., |tracked| is_settled(&tracked.task)) {
                match tracked.task {
                    task if task == common_state => {}
                    task if task.place == Place::Done => _ = self.done.insert(tracked.number),
                    task if task.located_by_leader => _ = self.located.insert(tracked.number),
                    _ => {}
                }
            }
            self.settled = 0;
        }
        self.done.optimize();
        if self.tracked.len() < self.tracked.capacity() / 4 {
            self.tracked.shrink_to(2 * self.tracked.len());
        }
    }

    /// Returns the position of a tracked task, or the one at which it would be inserted.
    fn position(&self, number: u32) -> Result<usize, usize> {
        let (Some(first), Some(last)) = (self.tracked.first(), self.tracked.last()) else { return Err(0) };
        if number < first.number {
            return Err(0);
        }
        if number > last.number {
            return Err(self.tracked.len());
        }
        // The numbers ascend, so that the task is at most as far from either end as its number.
        let begin = (self.tracked.len() - 1).saturating_sub((last.number - number) as usize);
        let end = self.tracked.len().min((number - first.number) as usize + 1);
        let found = self.tracked[begin..end].binary_search_by_key(&number, |tracked| tracked.number);
        found.map(|position| begin + position).map_err(|position| begin + position)
    }

    /// Returns the position of the first tracked task with this number or a higher one.
    fn first_tracked(&self, number: u32) -> usize {
        self.position(number).unwrap_or_else(|position| position)
    }
}

/// Returns whether a set can hold a task in this state, instead of an entry of its own.
fn is_settled(task: &Task) -> bool {
    !matches!(task.place, Place::OnHost(..)) && task.failures == 0 && task.retry_after_ms == 0
}

#[cfg(test)]
mod tests;
