//! Actions of simulated users.

use super::Sim;
use super::deployment::NODES;
use super::users;
use super::world::{Job, TEAMS, secs};
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::sleep;

impl Sim {
    /// Creates a job with the next identifier, without submitting it.
    pub fn job(&mut self, shape: &'static str, shards: u32) -> Job {
        self.next_job += 1;
        Job::new(&format!("run-{:06}", self.next_job), shape, shards)
    }

    pub fn random_job(&mut self) -> Job {
        self.next_job += 1;
        Job::random(&format!("run-{:06}", self.next_job), &mut self.rng)
    }

    /// Starts a user that submits the job and polls it from now on.
    pub fn submit(&mut self, job: Job) -> String {
        let id = job.id.clone();
        self.context.world.lock().unwrap().jobs.insert(id.clone(), job);
        tokio::spawn(users::user(self.context.clone(), id.clone(), self.rng.random()));
        id
    }

    /// Starts a user that submits these jobs in turn, each once those that it waits for are accepted.
    pub fn submit_pipeline(&mut self, jobs: Vec<Job>) -> Vec<String> {
        let ids = jobs.iter().map(|job| job.id.clone()).collect();
        let seeds: Vec<u64> = jobs.iter().map(|_| self.rng.random()).collect();
        let context = self.context.clone();
        tokio::spawn(async move {
            for (job, seed) in jobs.into_iter().zip(seeds) {
                while !job.waits_on.iter().all(|id| context.world.lock().unwrap().may_be_dependency(id, job.comes_late))
                {
                    sleep(secs(0.05)).await;
                }
                let id = job.id.clone();
                context.world.lock().unwrap().jobs.insert(id.clone(), job);
                tokio::spawn(users::user(context.clone(), id, seed));
            }
        });
        ids
    }

    /// Creates a short array that waits for the given jobs.
    pub fn waiting_job(&mut self, waits_on: &[&str]) -> Job {
        let mut job = self.job("batch", 2);
        (job.cards, job.run_s) = (0.0, 3.0);
        job.waits_on = waits_on.iter().map(ToString::to_string).collect();
        job
    }

    /// Creates a pipeline of a random form: a chain, a fan-in, a fan-out, or a chain that splits and joins.
    pub fn random_pipeline(&mut self, rng: &mut StdRng) -> Vec<Job> {
        let forms: [&[&[usize]]; 4] = [
            &[&[], &[0], &[1], &[2]],
            &[&[], &[], &[], &[0, 1, 2], &[3]],
            &[&[], &[0], &[0], &[0], &[0]],
            &[&[], &[0], &[0], &[1, 2], &[3]],
        ];
        let form = forms[rng.random_range(0..forms.len())];
        let mut jobs: Vec<Job> = Vec::new();
        for (n, needs) in form.iter().enumerate() {
            let mut job = self.waiting_job(&[]);
            job.shape = ["batch", "group"][rng.random_range(0..2)];
            job.waits_on = needs.iter().map(|stage| jobs[*stage].id.clone()).collect();
            (job.team, job.run_s) = (TEAMS[rng.random_range(0..2)].0, rng.random_range(1.0..6.0));
            job.urgency = ["urgent", "standard", "best_effort"][rng.random_range(0..3)];
            if n + 1 == form.len() {
                job.due_s = Some(rng.random_range(20.0..90.0));
                job.comes_late = rng.random_bool(0.2);
            }
            jobs.push(job);
        }
        jobs
    }

    /// Requests the cancellation of a job at these nodes in turn until it is confirmed.
    pub fn cancel(&mut self, id: &str, nodes: &[usize]) {
        tokio::spawn(users::cancel(self.context.clone(), id.into(), nodes.to_vec(), self.rng.random()));
    }

    /// Requests the cancellation of a job after a delay, or once the job is accepted.
    pub fn cancel_later(&mut self, id: &str, after: Duration) {
        let (context, id, seed) = (self.context.clone(), id.to_string(), self.rng.random());
        tokio::spawn(async move {
            sleep(after).await;
            while context.world.lock().unwrap().jobs[&id].accepted.is_none() {
                sleep(secs(0.1)).await;
            }
            users::cancel(context, id, (0..NODES).collect(), seed).await;
        });
    }

    /// Starts a user that polls jobs which were never submitted.
    pub fn ask_about_unknown_jobs(&mut self) {
        tokio::spawn(users::poll_unknown_jobs(self.context.clone(), self.rng.random()));
    }

    /// Repeats the submission of a job at all nodes at once.
    pub fn submit_again(&self, id: &str) {
        users::submit_again(&self.context, id);
    }

    /// Polls a job at all nodes at once.
    pub fn ask_all(&self, id: &str) {
        users::ask_all(&self.context, id);
    }
}
