//! Which controller takes over from a leader that is lost.
//!
//! A worker whose controller does not answer tries the next one after a timeout, in an order
//! that all workers share, and its lease outlives one such timeout but hardly two. So the
//! controller that workers try next campaigns first: they reach the new leader with their first
//! retry.

/// The controllers of the deployment in the order in which workers try them.
#[derive(Debug, Clone)]
pub struct FailoverOrder {
    nodes: Vec<String>,
    own_index: usize,
}

impl FailoverOrder {
    /// The order of these nodes as seen from `own`.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> FailoverOrder {
        let mut nodes: Vec<String> = others.into_iter().map(String::from).collect();
        nodes.push(own.into());
        nodes.sort_unstable();
        let own_index = nodes.iter().position(|node| node == own).unwrap_or(0);
        FailoverOrder { nodes, own_index }
    }

    /// How many controllers come between a lost leader and this node; 0 if this node is its
    /// direct successor, or if the leader is none of the controllers.
    pub fn nodes_before(&self, lost_leader: &str) -> usize {
        let Some(lost) = self.nodes.iter().position(|node| node == lost_leader) else { return 0 };
        let steps = (self.own_index + self.nodes.len() - lost) % self.nodes.len();
        steps.saturating_sub(1)
    }
}
