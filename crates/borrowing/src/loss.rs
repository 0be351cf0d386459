//! The work that is lost when tasks are stopped.

/// Running work that is considered for a stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptibleWork {
    /// Seconds since the work was started.
    pub ran_s: f64,
    /// Seconds between two checkpoints that the work saves by itself; 0 if it saves none.
    pub checkpoint_every_s: f64,
    /// Seconds that saving a checkpoint takes when the work is stopped.
    pub flush_s: f64,
    /// Seconds until the work's image is on a machine again.
    pub fetch_s: f64,
    /// Number of tasks that stop together: 1, or all tasks of a gang.
    pub tasks: u32,
}

impl PreemptibleWork {
    /// Returns the seconds of work that a stop loses, summed over the tasks that stop together: the
    /// time since the last checkpoint, the time to save and the time to fetch the image again. Work
    /// that saves no checkpoints loses all of its run time.
    pub fn lost_work_s(&self) -> f64 {
        let lost_progress_s = if self.can_save() { self.ran_s % self.checkpoint_every_s } else { self.ran_s };
        let saving_s = if self.can_save() { self.flush_s } else { 0.0 };
        f64::from(self.tasks) * (lost_progress_s + saving_s + self.fetch_s)
    }

    /// Returns whether the work saves its progress if it is given time before the stop.
    pub fn can_save(&self) -> bool {
        self.checkpoint_every_s > 0.0
    }
}
