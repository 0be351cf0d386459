//! Jobs with the answers that their users have received.

use super::parameters::{TEAMS, ZONES};
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::{BTreeSet, HashMap};
use tokio::time::Instant;

/// A job: its submission, its behaviour, and the answers that its user has received.
#[allow(clippy::struct_excessive_bools, reason = "independent facts of a simulated job")]
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub team: &'static str,
    pub shape: &'static str,
    pub shards: u32,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub flavors: Option<Vec<&'static str>>,
    pub region: Option<&'static str>,
    pub same_place: bool,
    pub apart: bool,
    pub preemptible: bool,
    pub urgency: &'static str,
    pub run_s: f64,
    pub checkpoint_s: f64,
    pub flush_s: f64,
    pub bundle: u32,
    /// Jobs that must be done before this one starts.
    pub waits_on: Vec<String>,
    pub due_s: Option<f64>,
    /// Whether the job is submitted only after the jobs that it waits for are over.
    pub comes_late: bool,
    /// Whether its tasks fail on every machine.
    pub mistaken: bool,
    /// Whether controllers must refuse the job.
    pub invalid: bool,
    pub submitted: bool,
    pub first_submitted: Option<Instant>,
    pub accepted: Option<Instant>,
    /// Instant at which its first task had its image.
    pub began: Option<Instant>,
    /// Number of starts of its tasks.
    pub starts: u32,
    pub cancel_asked: bool,
    pub cancelled: Option<Instant>,
    pub done_told: Option<Instant>,
    pub answered: Option<Instant>,
    pub done: BTreeSet<u32>,
    pub(super) saved_s: HashMap<u32, f64>,
}

impl Job {
    pub fn new(id: &str, shape: &'static str, shards: u32) -> Job {
        Job {
            id: id.into(),
            team: "red",
            shape,
            shards,
            cores: 1.0,
            cards: 1.0,
            mem_gb: 1.0,
            flavors: None,
            region: None,
            same_place: false,
            apart: false,
            preemptible: false,
            urgency: "standard",
            run_s: 5.0,
            checkpoint_s: 0.0,
            flush_s: 0.0,
            bundle: 0,
            waits_on: Vec::new(),
            due_s: None,
            comes_late: false,
            mistaken: false,
            invalid: false,
            submitted: false,
            first_submitted: None,
            accepted: None,
            began: None,
            starts: 0,
            cancel_asked: false,
            cancelled: None,
            done_told: None,
            answered: None,
            done: BTreeSet::new(),
            saved_s: HashMap::new(),
        }
    }

    /// Returns a random job that fits its team, or with a probability of 0.06 an invalid one.
    pub fn random(id: &str, rng: &mut StdRng) -> Job {
        let shape = ["batch", "batch", "group", "group", "service"][rng.random_range(0..5)];
        let mut job = Job::new(id, shape, 1);
        job.team = TEAMS[rng.random_range(0..2)].0;
        job.cards = [0.0, 1.0, 1.0, 2.0][rng.random_range(0..4)];
        job.cores = [1.0, 2.0, 4.0][rng.random_range(0..3)];
        job.shards = match shape {
            "batch" => rng.random_range(1..=6),
            "group" => rng.random_range(2..=3),
            _ => rng.random_range(1..=3),
        };
        job.preemptible = rng.random_bool(0.5);
        job.urgency = ["production", "urgent", "standard", "best_effort"][rng.random_range(0..4)];
        match rng.random_range(0..6) {
            0 => job.region = Some(ZONES[rng.random_range(0..2)]),
            1 => job.same_place = true,
            2 => job.apart = true,
            3 => job.flavors = Some(vec!["g4"]),
            _ => {}
        }
        job.run_s = rng.random_range(2.0..14.0);
        if rng.random_bool(0.5) && shape != "service" {
            (job.checkpoint_s, job.flush_s) = (5.0, rng.random_range(0.3..2.0));
        }
        job.bundle = rng.random_range(0..4);
        if rng.random_bool(0.06) {
            job.invalid = true;
            match rng.random_range(0..3) {
                0 => job.team = "nobody",
                1 => job.cards = 9.0,
                _ => job.flavors = Some(vec!["c8"]),
            }
            job.cards = job.cards.max(1.0);
        }
        job
    }

    /// Returns the body of the submission, as JSON.
    pub fn body(&self) -> String {
        let expected = if self.shape == "service" { 0.0 } else { self.run_s };
        let mut body = json!({"id": self.id, "jobclass": "c", "owner": self.team, "shape": self.shape, "urgency": self.urgency,
            "shards": self.shards, "cores": self.cores, "cards": self.cards, "mem_gb": self.mem_gb,
            "bundle": format!("img-{}", self.bundle), "size_gb": 1.0, "flavors": self.flavors, "region": self.region,
            "same_place": self.same_place, "apart": self.apart, "preemptible": self.preemptible,
            "expected_s": expected, "checkpoint_every_s": self.checkpoint_s, "flush_s": self.flush_s,
            "due_s": self.due_s});
        if !self.waits_on.is_empty() {
            body["waits_on"] = json!(self.waits_on);
        }
        body.to_string()
    }

    /// Returns whether all tasks are done; always false for a service.
    pub fn all_done(&self) -> bool {
        self.shape != "service" && self.done.len() == self.shards as usize
    }

    /// Returns whether the user was told that the job is done or cancelled.
    pub fn over(&self) -> bool {
        self.done_told.is_some() || self.cancelled.is_some()
    }
}
