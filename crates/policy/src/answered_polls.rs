//! Positions in a node's counts up to which the nodes that it polls have received them.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

use crate::recent_demand::WINDOW_MS;

/// Position in a node's counts that another node has received.
#[derive(Clone, Copy, Debug)]
struct Answered {
    position: u64,
    at: Millis,
}

/// Positions of the last answered poll of each node.
///
/// A node may poll a planner and a standby in turn while none has fresh data. With a single position
/// it would send each of them the same counts again and again. Positions are dropped with the counts
/// before them, which bounds their number to the nodes that are polled within the window.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::AnsweredPolls;
///
/// let (planner, standby) = ("n1".parse()?, "n2".parse()?);
/// let mut answered = AnsweredPolls::default();
/// answered.record(&planner, 7, 0);
/// answered.record(&standby, 8, 100);
/// assert_eq!(answered.position(&planner), 7);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct AnsweredPolls {
    nodes: HashMap<Name, Answered>,
}

impl AnsweredPolls {
    /// Records that a node answered a poll with counts up to this position.
    pub fn record(&mut self, node: &Name, position: u64, now: Millis) {
        self.nodes.retain(|_, answered| now < answered.at + WINDOW_MS);
        self.nodes.insert(node.clone(), Answered { position, at: now });
    }

    /// Position after the last counts that a node has received; 0 if it has received none of those
    /// that are still kept.
    pub fn position(&self, node: &Name) -> u64 {
        self.nodes.get(node).map_or(0, |answered| answered.position)
    }
}
