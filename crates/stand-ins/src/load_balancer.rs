//! Load balancer of the users, written from the protocol: it probes `GET /ready` of every controller and chooses
//! a healthy one for each request. The gradual increase of the share of a node that becomes healthy is left out.

use super::ground::SimulationContext;
use super::users;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between two probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a node must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of failures in a row after which a node is unhealthy.
const FAILURES_IN_A_ROW: usize = 2;
/// Number of failures among the last [`RECENT_PROBES`] after which a node is unhealthy.
const RECENT_FAILURES: usize = 3;
const RECENT_PROBES: usize = 6;
/// Number of successes in a row after which an unhealthy node is healthy again.
const SUCCESSES_IN_A_ROW: usize = 2;
/// Time for which a node stays unhealthy after its first removal.
const FIRST_PAUSE: Duration = Duration::from_secs(3);
/// Longest time for which a node stays unhealthy after a removal.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Time since the last removal within which a further one doubles the pause.
const PAUSE_MEMORY: Duration = Duration::from_secs(120);
/// Interval between two polls of a user.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Last removal of a node and its pause.
#[derive(Debug, Clone, Copy)]
struct Removal {
    at: Instant,
    pause: Duration,
}

/// Health of a node as the load balancer sees it.
#[derive(Debug, Default)]
pub struct NodeHealth {
    healthy: bool,
    was_healthy: bool,
    /// Outcomes of the last probes, the newest at the back.
    probes: VecDeque<bool>,
    last_removal: Option<Removal>,
}

impl NodeHealth {
    /// Returns whether new connections may go to the node.
    pub fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, now: Instant, succeeded: bool) {
        self.probes.push_back(succeeded);
        if self.probes.len() > RECENT_PROBES {
            self.probes.pop_front();
        }
        let last_are = |count: usize, outcome: bool| {
            self.probes.len() >= count && self.probes.iter().rev().take(count).all(|probe| *probe == outcome)
        };
        let failures = self.probes.iter().filter(|probe| !**probe).count();
        if self.healthy && (last_are(FAILURES_IN_A_ROW, false) || failures >= RECENT_FAILURES) {
            self.remove(now);
        } else if !self.healthy && succeeded && !self.was_healthy {
            (self.healthy, self.was_healthy) = (true, true);
        } else if !self.healthy
            && last_are(SUCCESSES_IN_A_ROW, true)
            && self.last_removal.is_none_or(|removal| now >= removal.at + removal.pause)
        {
            self.healthy = true;
        }
    }

    fn remove(&mut self, now: Instant) {
        let pause = match self.last_removal {
            Some(last) if now < last.at + PAUSE_MEMORY => (last.pause * 2).min(LONGEST_PAUSE),
            _ => FIRST_PAUSE,
        };
        self.healthy = false;
        self.probes.clear();
        self.last_removal = Some(Removal { at: now, pause });
    }
}

/// Instants at which users were last answered about their jobs, by job.
type LastAnswers = Arc<Mutex<HashMap<String, Instant>>>;

/// Load balancer that probes all controllers; cheap to clone.
#[derive(Clone)]
pub struct LoadBalancer {
    context: SimulationContext,
    nodes: Arc<Mutex<Vec<NodeHealth>>>,
    last_answers: LastAnswers,
}

impl LoadBalancer {
    /// Starts to probe the controllers.
    pub fn start(context: &SimulationContext) -> LoadBalancer {
        let nodes = context.doors.iter().map(|_| NodeHealth::default()).collect();
        let balancer = LoadBalancer {
            context: context.clone(),
            nodes: Arc::new(Mutex::new(nodes)),
            last_answers: LastAnswers::default(),
        };
        for node in 0..context.doors.len() {
            tokio::spawn(balancer.clone().probe(node));
        }
        balancer
    }

    async fn probe(self, node: usize) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let door = self.context.doors[node];
            let answer = self.context.user.call(door, "GET", "/ready", None, PROBE_TIMEOUT).await;
            let succeeded = matches!(answer, Ok((200, _)));
            let mut nodes = self.nodes.lock().unwrap();
            let was_healthy = nodes[node].is_healthy();
            nodes[node].record_probe(Instant::now(), succeeded);
            if nodes[node].is_healthy() != was_healthy {
                self.context.log(format!("load balancer: n{node} healthy: {}", !was_healthy));
            }
        }
    }

    /// Returns the healthy nodes.
    pub fn healthy_nodes(&self) -> Vec<usize> {
        let nodes = self.nodes.lock().unwrap();
        nodes.iter().enumerate().filter(|(_, node)| node.is_healthy()).map(|(index, _)| index).collect()
    }

    /// Starts a user that polls a job through the load balancer from now on.
    pub fn poll(&self, id: &str) {
        let (balancer, id) = (self.clone(), id.to_string());
        tokio::spawn(async move {
            for count in 0_usize.. {
                let nodes = balancer.healthy_nodes();
                if let Some(node) = nodes.get(count % nodes.len().max(1))
                    && users::poll(&balancer.context, &id, *node).await
                {
                    balancer.last_answers.lock().unwrap().insert(id.clone(), Instant::now());
                }
                sleep(POLL_INTERVAL).await;
            }
        });
    }

    /// Returns the jobs among these whose users have not been answered since an instant.
    pub fn unanswered_since<'a>(&self, ids: &'a [String], since: Instant) -> Vec<&'a String> {
        let last_answers = self.last_answers.lock().unwrap();
        ids.iter().filter(|id| last_answers.get(*id).is_none_or(|answered| *answered < since)).collect()
    }
}
