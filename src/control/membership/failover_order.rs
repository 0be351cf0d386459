//! Order in which controllers take over from a failed leader.
//!
//! A worker whose controller does not answer tries the next one after a timeout, in an order
//! that all workers share. Its lease outlasts one such timeout but hardly two. The controller that
//! the workers try next therefore campaigns first, so that they reach the new leader with their
//! first retry.

/// Controllers of the deployment in the order in which workers try them.
#[derive(Debug, Clone)]
pub struct FailoverOrder {
    nodes: Vec<String>,
    own_index: usize,
}

impl FailoverOrder {
    /// Creates the order for node `own`, given the names of all other controllers.
    pub fn new<'a>(own: &str, others: impl IntoIterator<Item = &'a str>) -> FailoverOrder {
        let mut nodes: Vec<String> = others.into_iter().map(String::from).collect();
        nodes.push(own.into());
        nodes.sort_unstable();
        let own_index = nodes.iter().position(|node| node == own).unwrap_or(0);
        FailoverOrder { nodes, own_index }
    }

    /// Returns the number of controllers between a failed leader and this node in the order: 0 if
    /// this node is the direct successor, or if `lost_leader` is not one of the controllers.
    pub fn nodes_before(&self, lost_leader: &str) -> usize {
        let Some(lost) = self.nodes.iter().position(|node| node == lost_leader) else { return 0 };
        let steps = (self.own_index + self.nodes.len() - lost) % self.nodes.len();
        steps.saturating_sub(1)
    }
}
