//! What users are made to do on a simulated day.

use super::Sim;
use super::deployment::NODES;
use super::users;
use super::world::{Job, secs};
use rand::RngExt;
use std::time::Duration;
use tokio::time::sleep;

impl Sim {
    /// A job under the next id.
    pub fn job(&mut self, shape: &'static str, shards: u32) -> Job {
        self.next_job += 1;
        Job::new(&format!("run-{:06}", self.next_job), shape, shards)
    }

    pub fn random_job(&mut self) -> Job {
        self.next_job += 1;
        Job::random(&format!("run-{:06}", self.next_job), &mut self.rng)
    }

    /// A user submits this and polls for it from now on.
    pub fn submit(&mut self, job: Job) -> String {
        let id = job.id.clone();
        self.g.w.lock().unwrap().jobs.insert(id.clone(), job);
        tokio::spawn(users::user(self.g.clone(), id.clone(), self.rng.random()));
        id
    }

    /// Its user asks to cancel it, at these nodes in turn, until that is confirmed.
    pub fn cancel(&mut self, id: &str, nodes: &[usize]) {
        tokio::spawn(users::cancel(self.g.clone(), id.into(), nodes.to_vec(), self.rng.random()));
    }

    /// The same a while after now, or once the job is accepted.
    pub fn cancel_later(&mut self, id: &str, after: Duration) {
        let (g, id, seed) = (self.g.clone(), id.to_string(), self.rng.random());
        tokio::spawn(async move {
            sleep(after).await;
            while g.w.lock().unwrap().jobs[&id].accepted.is_none() {
                sleep(secs(0.1)).await;
            }
            users::cancel(g, id, (0..NODES).collect(), seed).await;
        });
    }

    /// Somebody asks about jobs that nobody has submitted, from now on.
    pub fn ask_about_unknown_jobs(&mut self) {
        tokio::spawn(users::stranger(self.g.clone(), self.rng.random()));
    }

    /// The user repeats the submission at all nodes at once.
    pub fn submit_again(&self, id: &str) {
        users::submit_again(&self.g, id);
    }

    /// The user asks at all nodes at once.
    pub fn ask_all(&self, id: &str) {
        users::ask_all(&self.g, id);
    }
}
