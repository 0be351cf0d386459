//! End of a simulation: without faults, all work must finish in bounded time.

use super::Sim;
use super::deployment::NODES;
use super::world::BootFaults;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which unfinished work is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Number of checks between cancellations of services.
const CHECKS_PER_CANCELLATION: usize = 20;
/// Time without faults within which all work must be finished.
const SETTLE_LIMIT: Duration = Duration::from_secs(240);
/// Time within which every poll of a job must be answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(75);

impl Sim {
    /// Ends all faults and checks that all work finishes in bounded time and that every accepted job
    /// is still known.
    pub async fn settle(&mut self) {
        self.end_faults();
        self.finish_all_jobs().await;
        let known = self.accepted_jobs();
        self.expect_answers(&known).await;
        self.run(Duration::from_secs(1)).await;
        let world = self.context.world.lock().unwrap();
        println!("seed {}: {}", self.context.seed, world.summary());
        if std::env::var_os("BADGERDRIFT_HISTORY").is_some() {
            world.history.iter().for_each(|h| println!("{h}"));
        }
        let nothing = !known.is_empty() && world.starts == 0;
        drop(world);
        assert!(!nothing, "seed {}: no task of the accepted jobs started", self.context.seed);
    }

    fn end_faults(&mut self) {
        self.context.log("all faults end".into());
        self.state_down(false);
        for i in 0..NODES {
            self.refuse_state(i, false);
            self.pause(i, false);
            self.start(i);
        }
        {
            let mut world = self.context.world.lock().unwrap();
            (world.poll_rate, world.boot_faults) = (1.0, BootFaults::default());
            (world.late_writes, world.lost_answers, world.late_reports, world.cloud_down) = (0.0, 0.0, 0.0, false);
            (world.late_commands, world.repeated_commands) = (0.0, 0.0);
        }
        self.context.network.mend();
    }

    /// Runs until no job is unfinished, cancelling services one after the other.
    async fn finish_all_jobs(&mut self) {
        let over = Instant::now();
        let mut checks = 0;
        loop {
            self.run(CHECK_INTERVAL).await;
            let open = self.context.world.lock().unwrap().unsettled();
            if open.is_empty() {
                break;
            }
            checks += 1;
            if checks % CHECKS_PER_CANCELLATION == 0 {
                self.cancel_services(&open);
            }
            if over.elapsed() > SETTLE_LIMIT {
                let world = self.context.world.lock().unwrap();
                let text = format!(
                    "seed {}: jobs unfinished {SETTLE_LIMIT:?} after the last fault: {open:#?}\n{}",
                    self.context.seed,
                    world.recent(&open[0])
                );
                drop(world);
                panic!("{text}");
            }
        }
    }

    /// Cancels the services that run with all replicas, and the first of the others. Services that run
    /// with some of their replicas may together use up a team's limit, so that none of them completes.
    fn cancel_services(&mut self, open: &[String]) {
        let services: Vec<String> = {
            let world = self.context.world.lock().unwrap();
            let open = world.jobs.values().filter(|j| j.accepted.is_some() && !j.over() && !j.cancel_asked);
            open.filter(|j| j.shape == "service").map(|j| j.id.clone()).collect()
        };
        let (waiting, run): (Vec<String>, Vec<String>) =
            services.into_iter().partition(|id| open.iter().any(|o| o.starts_with(id.as_str())));
        for id in run.iter().chain(waiting.first()) {
            self.cancel(id, &[0, 1, 2]);
        }
    }

    fn accepted_jobs(&self) -> Vec<String> {
        let world = self.context.world.lock().unwrap();
        world.jobs.values().filter(|job| job.accepted.is_some()).map(|job| job.id.clone()).collect()
    }

    /// Polls these jobs at all nodes and checks that each one is known and answered.
    async fn expect_answers(&mut self, known: &[String]) {
        let asked = Instant::now();
        for id in known {
            self.run(Duration::from_millis(50)).await;
            self.ask_all(id);
        }
        self.until("every job is answered", ANSWER_LIMIT, |world| {
            known.iter().all(|id| world.jobs[id].answered.is_some_and(|a| a > asked))
        })
        .await;
    }
}
