//! Jobs submitted in one region.

use crate::names::{leak, team_name};
use crate::plan::RegionPlan;
use crate::scenario::{JobClass, Shape};
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::users;
use badgerdrift_stand_ins::world::{Job, secs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::sleep;

/// Number of images that the jobs of a region share.
const IMAGES: u32 = 12;

/// Source of the jobs of one class.
struct Arrivals {
    context: SimulationContext,
    class: JobClass,
    teams: usize,
    first_id: usize,
    ids_step: usize,
    rng: StdRng,
}

/// Starts the arrivals of all job classes in a region.
pub fn start(context: &SimulationContext, plan: &RegionPlan) {
    let classes = plan.scenario.class.len();
    for (number, class) in plan.scenario.class.values().enumerate() {
        let mut class = class.clone();
        class.jobs_per_s = plan.part(class.jobs_per_s);
        class.initial_jobs = plan.part(class.initial_jobs as f64).ceil() as usize;
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add((plan.region * classes + number) as u64);
        let arrivals = Arrivals {
            context: context.clone(),
            class,
            teams: plan.scenario.teams.count,
            first_id: number,
            ids_step: classes,
            rng: StdRng::seed_from_u64(seed),
        };
        tokio::spawn(arrivals.run());
    }
}

impl Arrivals {
    async fn run(mut self) {
        let mut id = self.first_id;
        for _ in 0..self.class.initial_jobs {
            self.submit(id);
            id += self.ids_step;
        }
        while self.class.jobs_per_s > 0.0 {
            let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            sleep(secs(-uniform.ln() / self.class.jobs_per_s)).await;
            self.submit(id);
            id += self.ids_step;
        }
    }

    /// Submits a job and follows it as its user; a service is cancelled after its run time.
    fn submit(&mut self, id: usize) {
        let job = self.job(id);
        let (id, run_s) = (job.id.clone(), job.run_s);
        let service = self.class.shape == Shape::Service;
        self.context.world.lock().unwrap().jobs.insert(id.clone(), job);
        tokio::spawn(users::user(self.context.clone(), id.clone(), self.rng.random()));
        if service {
            let (context, seed) = (self.context.clone(), self.rng.random());
            let nodes = (0..context.doors.len()).collect();
            tokio::spawn(async move {
                sleep(secs(run_s)).await;
                users::cancel(context, id, nodes, seed).await;
            });
        }
    }

    fn job(&mut self, id: usize) -> Job {
        let class = &self.class;
        let tasks = self.rng.random_range(class.tasks.0..=class.tasks.1);
        let mut job = Job::new(&format!("run-{id:06}"), class.shape.name(), tasks);
        job.team = leak(team_name(self.rng.random_range(class.first_team..self.teams)));
        job.urgency = class.urgency.name();
        (job.cores, job.cards, job.mem_gb) = (class.cores, class.cards, class.mem_gb);
        (job.checkpoint_s, job.flush_s) = (class.checkpoint_every_s, class.flush_s);
        job.run_s = self.rng.random_range(class.run_s.0..=class.run_s.1);
        job.bundle = self.rng.random_range(0..IMAGES);
        job
    }
}
