//! Which controller succeeds a leader that is lost.
//!
//! A worker whose controller gives no answer tries the next one after a time-out, in an
//! order that all workers share, and its lease outlives one such time-out, hardly two. So
//! the controller that workers try next takes the partition first: they reach the new leader
//! with their first try, and the controller that they would try after it is not the lost one.

/// The controllers of the deployment in the order in which workers try them.
#[derive(Debug, Clone)]
pub struct Succession {
    nodes: Vec<String>,
    own: usize,
}

impl Succession {
    /// The order as seen from `own`, one of the nodes.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> Succession {
        let mut nodes: Vec<String> = others.into_iter().map(String::from).collect();
        nodes.push(own.into());
        nodes.sort_unstable();
        let own = nodes.iter().position(|n| n == own).unwrap_or(0);
        Succession { nodes, own }
    }

    /// How many controllers come between a lost leader and this node; 0 if this node is its
    /// direct successor, or if the leader is none of the controllers.
    pub fn nodes_before(&self, lost_owner: &str) -> usize {
        let Some(lost) = self.nodes.iter().position(|n| n == lost_owner) else { return 0 };
        let steps = (self.own + self.nodes.len() - lost) % self.nodes.len();
        steps.saturating_sub(1)
    }
}
