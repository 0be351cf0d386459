//! The end of a day: once every fault is over, everything is done in bounded time.

use super::Sim;
use super::deployment::NODES;
use super::world::BootFaults;
use std::time::Duration;
use tokio::time::Instant;

impl Sim {
    /// All faults are over: within a bounded time everything is done.
    pub async fn settle(&mut self) {
        self.g.log("all troubles end".into());
        self.state_down(false);
        for i in 0..NODES {
            self.refuse_state(i, false);
            self.pause(i, false);
            self.start(i);
        }
        {
            let mut w = self.g.w.lock().unwrap();
            (w.poll_rate, w.boot_faults) = (1.0, BootFaults::default());
            (w.late_writes, w.lost_answers, w.late_reports, w.cloud_down) = (0.0, 0.0, 0.0, false);
            w.late_commands = 0.0;
        }
        self.g.network.mend();
        let over = Instant::now();
        let mut rounds = 0;
        loop {
            self.run(Duration::from_secs(2)).await;
            let open = self.g.w.lock().unwrap().unsettled();
            if open.is_empty() {
                break;
            }
            rounds += 1;
            // Services may take up a team's limit, each with a part of its replicas:
            // those that run have done so by now, and the first of the others goes too.
            if rounds % 20 == 0 {
                let services: Vec<String> = {
                    let w = self.g.w.lock().unwrap();
                    let open = w.jobs.values().filter(|j| j.accepted.is_some() && !j.over() && !j.cancel_asked);
                    open.filter(|j| j.shape == "service").map(|j| j.id.clone()).collect()
                };
                let (waiting, run): (Vec<String>, Vec<String>) =
                    services.into_iter().partition(|id| open.iter().any(|o| o.starts_with(id.as_str())));
                for id in run.iter().chain(waiting.first()) {
                    self.cancel(id, &[0, 1, 2]);
                }
            }
            if over.elapsed() > Duration::from_secs(240) {
                let w = self.g.w.lock().unwrap();
                let text = format!("seed {}: unfinished: {open:#?}\n{}", self.g.seed, w.recent(&open[0]));
                drop(w);
                panic!("{text}");
            }
        }
        // Every accepted job is still known, and answered.
        let asked = Instant::now();
        let known: Vec<String> =
            self.g.w.lock().unwrap().jobs.values().filter(|j| j.accepted.is_some()).map(|j| j.id.clone()).collect();
        for id in &known {
            self.run(Duration::from_millis(50)).await;
            self.ask_all(id);
        }
        self.until("every job is answered", Duration::from_secs(75), |w| {
            known.iter().all(|id| w.jobs[id].answered.is_some_and(|a| a > asked))
        })
        .await;
        self.run(Duration::from_secs(1)).await;
        let w = self.g.w.lock().unwrap();
        println!("seed {}: {}", self.g.seed, w.summary());
        if std::env::var_os("BADGERDRIFT_HISTORY").is_some() {
            w.history.iter().for_each(|h| println!("{h}"));
        }
        let nothing = !known.is_empty() && w.starts == 0;
        drop(w);
        assert!(!nothing, "seed {}: nothing ran", self.g.seed);
    }
}
