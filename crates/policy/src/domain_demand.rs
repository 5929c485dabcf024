//! Demand that the nodes of a failure domain report to the node that they poll.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use heathpitch_core::{Millis, Name};

use crate::{DemandCount, DemandKey, RecentDemand};

/// Most entries of a message.
pub const MAX_DEMAND_ENTRIES: usize = 64;
/// Most streams in a message, which covers two seconds at most: more than one node can serve.
const MAX_ASKED: u32 = 20_000;
/// Time within which the same message from the same node is a repetition, milliseconds. A poll
/// without an answer is repeated on a new connection after at most 300 ms; others follow after 400.
const REPEAT_MS: Millis = 350;
/// Nodes whose last message is remembered, about 100 bytes each.
const MAX_NODES: usize = 2_048;

/// Why the demand of a node is not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DemandError {
    /// The node has not polled before; its counts may be known to the node that it polled then.
    #[error("the node has not polled this one before")]
    UnknownNode,
    /// The same message was received just before.
    #[error("the same counts were received less than {REPEAT_MS} ms ago")]
    Repeated,
    /// It has too many entries.
    #[error("expected at most {MAX_DEMAND_ENTRIES} entries, got {0}")]
    TooManyEntries(usize),
    /// It counts more streams than a node can serve.
    #[error("expected at most {MAX_ASKED} streams, got {0}")]
    TooManyStreams(u64),
    /// More streams were admitted than asked for.
    #[error("more streams were admitted than asked for")]
    Inconsistent,
}

/// Last message of a node.
#[derive(Clone, Copy, Debug)]
struct LastMessage {
    digest: u64,
    at: Millis,
}

/// Counts of the last two seconds from all nodes that poll this one.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{DemandCount, DemandError, DemandKey, DomainDemand};
///
/// let key = DemandKey { service: "chat".parse()?, rank: 0, account: 7 };
/// let entries = vec![(key, DemandCount::one(true))];
/// let mut demand = DomainDemand::default();
/// let node = "n2".parse()?;
/// assert_eq!(demand.receive(&node, true, entries.clone(), 0), Ok(()));
/// assert_eq!(demand.receive(&node, true, entries, 20), Err(DemandError::Repeated));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct DomainDemand {
    recent: RecentDemand,
    last: HashMap<Name, LastMessage>,
}

impl DomainDemand {
    /// Adds the counts of a node; `is_known` tells whether it has polled before.
    ///
    /// # Errors
    ///
    /// [`DemandError`] if the message is not counted.
    pub fn receive(
        &mut self,
        node: &Name,
        is_known: bool,
        entries: Vec<(DemandKey, DemandCount)>,
        now: Millis,
    ) -> Result<(), DemandError> {
        if entries.is_empty() {
            return Ok(());
        }
        let asked: u64 = entries.iter().map(|(_, c)| u64::from(c.asked)).sum();
        let message = LastMessage { digest: digest(&entries), at: now };
        let repeats =
            |last: &LastMessage| last.digest == message.digest && now < last.at + REPEAT_MS;
        match () {
            () if !is_known => return Err(DemandError::UnknownNode),
            () if entries.len() > MAX_DEMAND_ENTRIES => {
                return Err(DemandError::TooManyEntries(entries.len()));
            }
            () if asked > MAX_ASKED.into() => return Err(DemandError::TooManyStreams(asked)),
            () if entries.iter().any(|(_, c)| c.admitted > c.asked) => {
                return Err(DemandError::Inconsistent);
            }
            () if self.last.get(node).is_some_and(repeats) => return Err(DemandError::Repeated),
            () => {}
        }
        if self.last.len() >= MAX_NODES {
            self.last.retain(|_, last| now < last.at + REPEAT_MS);
        }
        if self.last.len() < MAX_NODES {
            self.last.insert(node.clone(), message);
        }
        entries.into_iter().for_each(|(key, count)| self.recent.record(key, count, now));
        Ok(())
    }

    /// Counts of the last two seconds.
    pub fn recent(&self) -> &RecentDemand {
        &self.recent
    }
}

fn digest(entries: &[(DemandKey, DemandCount)]) -> u64 {
    let mut hasher = DefaultHasher::new();
    entries.hash(&mut hasher);
    hasher.finish()
}
